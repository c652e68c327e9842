//! Indexes a bundle for the lookups that handling a request needs.

use std::collections::HashMap;
use std::fmt::Write;

use keys::{KeyHash, Keyring};

use crate::{Bundle, Class, Model, Role, Service};

/// A workspace and its member, as found by the API key of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Name of the member that owns the workspace.
    pub member: String,
    /// Weight of the member when members compete for capacity.
    pub share: u32,
    /// Name of the workspace.
    pub workspace: String,
    /// Class of requests that do not name one.
    pub class: String,
    /// Maximum number of the workspace's requests in flight at one instance.
    pub in_flight: u32,
}

/// A bundle with its digest, its tenants by API key hash and its engine roles by name.
#[derive(Debug, Clone)]
pub struct BundleIndex {
    bundle: Bundle,
    digest: String,
    tenants: Keyring<Tenant>,
    roles: HashMap<String, Vec<Role>>,
}

impl BundleIndex {
    /// Indexes a bundle that [`parse_bundle`](crate::parse_bundle) has validated.
    pub fn new(bundle: Bundle, digest: String) -> Self {
        let default_class = lowest_priority_class(&bundle).to_owned();
        let mut tenants = Keyring::default();
        for member in &bundle.members {
            for workspace in &member.workspaces {
                let class = match workspace.class.as_str() {
                    "" => default_class.clone(),
                    class => class.to_owned(),
                };
                let tenant = Tenant {
                    member: member.name.clone(),
                    share: member.share,
                    workspace: workspace.name.clone(),
                    class,
                    in_flight: workspace.in_flight,
                };
                // Always succeeds: validation accepts only hexadecimal hashes here.
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

    /// The bundle as it was parsed.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Hexadecimal SHA-256 of the bundle's text.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Finds a tenant by the hash of its API key.
    pub fn tenant(&self, key: &KeyHash) -> Option<&Tenant> {
        self.tenants.owner(key)
    }

    /// Finds a request class by name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.bundle.classes.iter().find(|class| class.name == name)
    }

    /// Finds a model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.bundle.models.iter().find(|model| model.name == name)
    }

    /// Finds a plain service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.bundle
            .services
            .iter()
            .find(|service| service.name == name)
    }

    /// Whether an engine may take a role. An engine that `engine_roles` does not list may take any.
    pub fn allows_role(&self, engine: &str, role: Role) -> bool {
        self.roles
            .get(engine)
            .is_none_or(|roles| roles.contains(&role))
    }
}

/// The class with the highest rank, since rank 0 is served first.
fn lowest_priority_class(bundle: &Bundle) -> &str {
    let last = bundle.classes.iter().max_by_key(|class| class.rank);
    last.map_or("", |class| class.name.as_str())
}

/// Formats the bytes of a SHA-256 digest in lowercase hexadecimal.
pub fn hex_sha256(digest: &[u8]) -> String {
    digest
        .iter()
        .fold(String::with_capacity(digest.len() * 2), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}
