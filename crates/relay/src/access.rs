//! Who a request is for, and whether it may be served at all.

use std::rc::Rc;

use crate::answer::Reason;
use crate::config::{Access, Config, Route, Workspace};
use crate::dialect::PresentedKey;

/// A request that may be served.
#[derive(Debug)]
pub struct Admitted {
    /// Its route.
    pub route: Rc<Route>,
    /// Workspace that its caller's key is of, if it presented one.
    pub workspace: Option<Rc<Workspace>>,
}

/// A request that may not be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Denied {
    /// Why.
    pub reason: Reason,
    /// Name of its route, for logs.
    pub route: String,
}

/// Finds the route and the workspace of a request.
///
/// On a public route a caller needs no key, and a key that is nobody's is no harm there: its request is served for no
/// workspace. Several keys in one request are refused elsewhere, since upstreams, proxies and this instance could each
/// take another one for the one that counts.
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
                PresentedKey::Key(hash) => ring.owner(&hash).cloned(),
                PresentedKey::Nothing | PresentedKey::Several => None,
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
