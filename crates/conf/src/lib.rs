//! Parses and validates the settings of a process and the bundles of a deployment.
//!
//! The structs are generated from the JSON Schemas under `schema/`. This crate adds the checks
//! that JSON Schema cannot express and reports the path of every invalid field. See
//! docs/SETTINGS.md.

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
pub use parse::parse as parse_commented_json;
pub use settings::{parse_settings, read_settings};
pub use settings_schema::{LeaseSettings, Limits, Membership, OperatorKey, Platform, Settings};
