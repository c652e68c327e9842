//! A bundle arranged for look-ups on the path of a request.

use std::collections::HashMap;
use std::fmt::Write;

use keys::{KeyHash, Keyring};

use crate::{Bundle, Class, Model, Role, Service};

/// Who a request is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Member.
    pub member: String,
    /// The member's weight among members.
    pub share: u32,
    /// Workspace.
    pub workspace: String,
    /// Class of requests that name none.
    pub class: String,
    /// Most requests of the workspace in flight at one instance.
    pub in_flight: u32,
}

/// A bundle with its digest and its keys by hash.
#[derive(Debug, Clone)]
pub struct BundleIndex {
    bundle: Bundle,
    digest: String,
    tenants: Keyring<Tenant>,
    roles: HashMap<String, Vec<Role>>,
}

impl BundleIndex {
    /// Arranges a checked bundle.
    pub fn new(bundle: Bundle, digest: String) -> Self {
        let last = last_class(&bundle).to_owned();
        let mut tenants = Keyring::default();
        for member in &bundle.members {
            for workspace in &member.workspaces {
                let class = match workspace.class.as_str() {
                    "" => last.clone(),
                    class => class.to_owned(),
                };
                let tenant = Tenant {
                    member: member.name.clone(),
                    share: member.share,
                    workspace: workspace.name.clone(),
                    class,
                    in_flight: workspace.in_flight,
                };
                // A checked bundle holds hashes only.
                if let Ok(key) = workspace.key_sha256.parse() {
                    tenants.add(key, tenant);
                }
            }
        }
        let roles = bundle
            .engine_roles
            .iter()
            .map(|engine| (engine.engine.clone(), engine.roles.clone()))
            .collect();
        Self {
            bundle,
            digest,
            tenants,
            roles,
        }
    }

    /// The bundle itself.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Hexadecimal SHA-256 of the bundle's text.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// The tenant whose API key has this hash.
    pub fn tenant(&self, key: &KeyHash) -> Option<&Tenant> {
        self.tenants.owner(key)
    }

    /// A class by name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.bundle.classes.iter().find(|class| class.name == name)
    }

    /// A model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.bundle.models.iter().find(|model| model.name == name)
    }

    /// A plain service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.bundle
            .services
            .iter()
            .find(|service| service.name == name)
    }

    /// Whether an engine may play a role; one that the bundle does not name may play any.
    pub fn allows_role(&self, engine: &str, role: Role) -> bool {
        self.roles
            .get(engine)
            .is_none_or(|roles| roles.contains(&role))
    }
}

fn last_class(bundle: &Bundle) -> &str {
    let last = bundle.classes.iter().max_by_key(|class| class.rank);
    last.map_or("", |class| class.name.as_str())
}

/// Hexadecimal digits of a digest.
pub fn hex_sha256(digest: &[u8]) -> String {
    digest
        .iter()
        .fold(String::with_capacity(digest.len() * 2), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}
