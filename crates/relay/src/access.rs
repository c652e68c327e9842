//! Admission of requests by route and key.

use std::rc::Rc;

use crate::answer::Reason;
use crate::config::{Access, Config, Route, Workspace};
use crate::dialect::PresentedKey;

/// Result for a request that is admitted.
#[derive(Debug)]
pub struct Admitted {
    /// Its route.
    pub route: Rc<Route>,
    /// Workspace of the caller's key; none without a valid key.
    pub workspace: Option<Rc<Workspace>>,
}

/// Result for a request that is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Denied {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Name of its route in logs and metrics, or `-` if it matches none.
    pub route: String,
}

/// Finds the route and the workspace of a request.
///
/// A public route needs no key, and ignores an unknown one: the request is then served for no workspace. On
/// other routes a request with several keys is refused, since upstreams, proxies and this instance could each
/// use a different one.
pub fn admit(
    config: &Config,
    host: &str,
    path: &str,
    key: PresentedKey,
) -> Result<Admitted, Denied> {
    let Some(route) = config.route(host, path) else {
        return Err(Denied {
            reason: Reason::NoRoute,
            route: "-".to_owned(),
        });
    };
    let workspace = match &config.access {
        Access::Open => None,
        Access::Keyed { ring, .. } => {
            let workspace = match key {
                PresentedKey::Single(hash) => ring.owner(&hash).cloned(),
                PresentedKey::Missing | PresentedKey::Multiple => None,
            };
            if workspace.is_none() && !route.is_public {
                return Err(Denied {
                    reason: Reason::NoKey,
                    route: route.name.clone(),
                });
            }
            workspace
        }
    };
    Ok(Admitted {
        route: Rc::clone(route),
        workspace,
    })
}
