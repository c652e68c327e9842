//! Settings of a process and bundles of a deployment, read and checked.
//!
//! Both come from JSON Schemas under `schema/`, from which the plain structs are generated; this
//! crate adds the checks that a schema cannot state and says, for everything that is wrong,
//! where it stands. See docs/SETTINGS.md.

#[allow(missing_docs, dead_code, clippy::all, clippy::pedantic)]
#[path = "gen/bundle.rs"]
mod bundle_schema;
#[allow(missing_docs, dead_code, clippy::all, clippy::pedantic)]
#[path = "gen/settings.rs"]
mod settings_schema;

mod bundle;
mod check;
mod error;
mod index;
mod parse;
mod settings;

pub use bundle::{digest, parse_bundle};
pub use bundle_schema::{
    Bundle, Class, EngineRoles, Member, Model, PolicySettings, Role, Service, Workspace,
};
pub use check::{Problem, is_name};
pub use error::{Error, Result};
pub use index::{BundleIndex, Tenant, hex_sha256};
pub use settings::{parse_settings, read_settings};
pub use settings_schema::{LeaseSettings, Limits, Membership, OperatorKey, Platform, Settings};
