//! Parses and validates bundles, which define what a deployment serves, to whom and on which
//! upstreams.

use sha2::{Digest, Sha256};

use crate::check::Checker;
use crate::parse::parse;
use crate::{Bundle, Error, Result};

/// Longest deadline of a class or a service.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Returns the hexadecimal SHA-256 of a bundle's text, by which members identify the bundle in
/// force.
pub fn digest(text: &str) -> String {
    crate::hex_sha256(&Sha256::digest(text.as_bytes()))
}

/// Parses and validates a bundle; `file` only appears in error messages.
pub fn parse_bundle(text: &str, file: &str) -> Result<Bundle> {
    let bundle: Bundle = parse(text, file)?;
    let problems = validate(&bundle);
    if problems.is_empty() {
        return Ok(bundle);
    }
    Err(Error::Check {
        file: file.to_owned(),
        problems,
    })
}

fn validate(bundle: &Bundle) -> Vec<crate::Problem> {
    let mut checker = Checker::default();
    if bundle.version != bundle.base + 1 {
        checker.fail("version", format!("{} is not base + 1", bundle.version));
    }
    if bundle.models.is_empty() {
        checker.fail("models", "at least one is needed");
    }
    if bundle.classes.is_empty() {
        checker.fail("classes", "at least one is needed");
    }
    for (index, model) in bundle.models.iter().enumerate() {
        checker.name(format!("models[{index}].name"), &model.name);
        checker.name(format!("models[{index}].version"), &model.version);
    }
    for (index, class) in bundle.classes.iter().enumerate() {
        checker.name(format!("classes[{index}].name"), &class.name);
        let field = format!("classes[{index}].deadline_ms");
        checker.range(field, class.deadline_ms, 1, MAX_DEADLINE_MS);
    }
    checker.unique(
        "models",
        bundle.models.iter().map(|model| model.name.as_str()),
    );
    checker.unique(
        "classes",
        bundle.classes.iter().map(|class| class.name.as_str()),
    );
    checker.unique(
        "members",
        bundle.members.iter().map(|member| member.name.as_str()),
    );
    validate_members(bundle, &mut checker);
    validate_upstreams(bundle, &mut checker);
    let weight = bundle.policy.role_change_weight;
    if !(0.0..=1.0).contains(&weight) {
        checker.fail(
            "policy.role_change_weight",
            format!("{weight} is outside 0 to 1"),
        );
    }
    checker.problems
}

fn validate_members(bundle: &Bundle, checker: &mut Checker) {
    let mut fields_by_key = std::collections::BTreeMap::new();
    for (index, member) in bundle.members.iter().enumerate() {
        checker.name(format!("members[{index}].name"), &member.name);
        checker.range(
            format!("members[{index}].share"),
            member.share.into(),
            1,
            1_000,
        );
        for (place, workspace) in member.workspaces.iter().enumerate() {
            let field = format!("members[{index}].workspaces[{place}]");
            checker.name(format!("{field}.name"), &workspace.name);
            checker.sha256(format!("{field}.key_sha256"), &workspace.key_sha256);
            checker.range(
                format!("{field}.in_flight"),
                workspace.in_flight.into(),
                1,
                1 << 20,
            );
            let is_named = |class: &crate::Class| class.name == workspace.class;
            if !workspace.class.is_empty() && !bundle.classes.iter().any(is_named) {
                checker.fail(
                    format!("{field}.class"),
                    format!("no class `{}`", workspace.class),
                );
            }
            let key = workspace.key_sha256.to_ascii_lowercase();
            if let Some(other) = fields_by_key.insert(key, field.clone()) {
                checker.fail(
                    format!("{field}.key_sha256"),
                    format!("the same as {other}"),
                );
            }
        }
    }
}

fn validate_upstreams(bundle: &Bundle, checker: &mut Checker) {
    for (index, service) in bundle.services.iter().enumerate() {
        checker.name(format!("services[{index}].name"), &service.name);
        let field = format!("services[{index}].deadline_ms");
        checker.range(field, service.deadline_ms, 1, MAX_DEADLINE_MS);
        for (place, path) in service.once_paths.iter().enumerate() {
            if !path.starts_with('/') {
                checker.fail(
                    format!("services[{index}].once_paths[{place}]"),
                    format!("`{path}` does not begin with /"),
                );
            }
        }
    }
    for (index, engine) in bundle.engine_roles.iter().enumerate() {
        checker.name(format!("engine_roles[{index}].engine"), &engine.engine);
        if engine.roles.is_empty() {
            checker.fail(
                format!("engine_roles[{index}].roles"),
                "at least one is needed",
            );
        }
    }
    let engines = bundle
        .engine_roles
        .iter()
        .map(|engine| engine.engine.as_str());
    checker.unique("engine_roles", engines);
    let services = bundle.services.iter().map(|service| service.name.as_str());
    checker.unique("services", services);
}
