//! Executes commands.

use serde_json::Value;

use crate::client::Client;
use crate::flags::{BundleCmd, Chicoryctl, ChicoryctlCmd, EngineCmd};
use crate::output::{shorten_digest, table};
use crate::trace::request_timeline;
use crate::{Error, Result};

const BUNDLE_COLUMNS: [&str; 7] = [
    "version",
    "base",
    "digest",
    "offset",
    "signed_by",
    "withdrawn",
    "in_force",
];
const INSTANCE_COLUMNS: [&str; 5] = [
    "instance",
    "zone",
    "condition",
    "bundle_version",
    "applied_offset",
];
const ENGINE_COLUMNS: [&str; 7] = [
    "engine", "group", "role", "presence", "loaded", "drained", "slowness",
];
const AUDIT_COLUMNS: [&str; 5] = ["offset", "wall_ms", "actor", "action", "outcome"];
const WORKSPACE_COLUMNS: [&str; 3] = ["member", "workspace", "in_flight"];

/// Executes a command and returns the text to print.
pub async fn run(flags: &Chicoryctl) -> Result<String> {
    if let ChicoryctlCmd::Bundle(bundle) = &flags.subcommand
        && let BundleCmd::Check(check_flags) = &bundle.subcommand
    {
        return check(&check_flags.file);
    }
    if let ChicoryctlCmd::Trace(trace_flags) = &flags.subcommand {
        return trace(&trace_flags.request, &trace_flags.files);
    }
    let client = Client::new(address(flags)?, key(flags)?);
    let json = flags.json;
    match &flags.subcommand {
        ChicoryctlCmd::Bundle(bundle) => run_bundle(&client, &bundle.subcommand, json).await,
        ChicoryctlCmd::Engine(engine) => run_engine(&client, &engine.subcommand, json).await,
        ChicoryctlCmd::Trace(trace_flags) => trace(&trace_flags.request, &trace_flags.files),
        ChicoryctlCmd::Audit(audit) => {
            let query = audit
                .before
                .map_or(String::new(), |offset| format!("?before={offset}"));
            let rows = client.get("audit", &format!("audit{query}")).await?;
            Ok(rows_or_json(&rows, &AUDIT_COLUMNS, json))
        }
        ChicoryctlCmd::Workspaces(workspaces) => {
            let member = workspaces
                .member
                .as_ref()
                .map(|member| format!("&member={member}"));
            let after = workspaces.after.clone().unwrap_or_default();
            let path = format!("workspaces?after={after}{}", member.unwrap_or_default());
            let rows = client.get("workspaces", &path).await?;
            Ok(rows_or_json(&rows, &WORKSPACE_COLUMNS, json))
        }
    }
}

fn trace(request: &str, files: &[String]) -> Result<String> {
    let mut logs = Vec::new();
    for file in files {
        let (name, path) = file.split_once('=').unwrap_or((file, file));
        logs.push((name.to_owned(), read_file(path)?));
    }
    if logs.is_empty() {
        return Err(Error::Usage {
            detail: "trace needs at least one log file".to_owned(),
        });
    }
    Ok(request_timeline(request, &logs))
}

fn address(flags: &Chicoryctl) -> Result<String> {
    flags
        .address
        .clone()
        .or_else(|| std::env::var("CHICORYRACK_ADDRESS").ok())
        .ok_or_else(|| Error::Usage {
            detail: "--address or CHICORYRACK_ADDRESS is needed".to_owned(),
        })
}

fn key(flags: &Chicoryctl) -> Result<String> {
    if let Some(file) = &flags.key_file {
        return Ok(read_file(file)?.trim().to_owned());
    }
    std::env::var("CHICORYRACK_KEY").map_err(|_| Error::Usage {
        detail: "--key-file or CHICORYRACK_KEY is needed".to_owned(),
    })
}

fn read_file(file: &str) -> Result<String> {
    std::fs::read_to_string(file).map_err(|source| Error::File {
        file: file.to_owned(),
        source,
    })
}

/// Validates a bundle locally, so that it can be checked before an instance runs.
fn check(file: &str) -> Result<String> {
    let text = read_file(file)?;
    match conf::parse_bundle(&text, file) {
        Ok(bundle) => {
            let digest = conf::digest(&text);
            Ok(format!(
                "bundle {} is well formed, digest {}\n",
                bundle.version,
                shorten_digest(&digest)
            ))
        }
        Err(error) => Err(Error::Refused {
            detail: error.to_string(),
        }),
    }
}

async fn run_bundle(client: &Client, command: &BundleCmd, json: bool) -> Result<String> {
    match command {
        BundleCmd::Check(check_flags) => check(&check_flags.file),
        BundleCmd::Publish(publish) => {
            let text = read_file(&publish.file)?;
            let response = client.post("publish", "bundles", text).await?;
            let digest = shorten_digest(response["digest"].as_str().unwrap_or_default()).to_owned();
            Ok(format_outcome(
                &response,
                json,
                &format!("published {} as {digest}", response["version"]),
            ))
        }
        BundleCmd::Sign(sign) => post_bundle(client, "sign", sign.version, json).await,
        BundleCmd::Roll(roll) => post_bundle(client, "roll", roll.version, json).await,
        BundleCmd::Withdraw(withdraw) => {
            post_bundle(client, "withdraw", withdraw.version, json).await
        }
        BundleCmd::Show(show) => {
            if let Some(version) = show.version {
                return client.text("show", &format!("bundles/{version}")).await;
            }
            let rows = client.get("show", "bundles").await?;
            Ok(rows_or_json(&rows, &BUNDLE_COLUMNS, json))
        }
        BundleCmd::Status(_) => {
            let status = client.get("status", "status").await?;
            if json {
                return Ok(pretty(&status));
            }
            let digest = shorten_digest(status["digest"].as_str().unwrap_or_default()).to_owned();
            let (version, offset) = (&status["version"], &status["offset"]);
            let head = format!("bundle {version} ({digest}) in force since offset {offset}\n\n");
            let instances = table(&status["instances"], &INSTANCE_COLUMNS);
            let engines = table(&status["engines"], &ENGINE_COLUMNS);
            Ok(format!("{head}{instances}\n{engines}"))
        }
    }
}

async fn post_bundle(
    client: &Client,
    verb: &'static str,
    version: u64,
    json: bool,
) -> Result<String> {
    let response = client
        .post(verb, &format!("bundles/{version}/{verb}"), String::new())
        .await?;
    Ok(format_outcome(
        &response,
        json,
        &format!("{verb} of bundle {version}"),
    ))
}

async fn run_engine(client: &Client, command: &EngineCmd, json: bool) -> Result<String> {
    let (step, engine) = match command {
        EngineCmd::Drain(drain) => ("drain", &drain.engine),
        EngineCmd::Undrain(undrain) => ("undrain", &undrain.engine),
        EngineCmd::List(_) => {
            let rows = client.get("list", "engines").await?;
            return Ok(rows_or_json(&rows, &ENGINE_COLUMNS, json));
        }
    };
    let response = client
        .post(step, &format!("engines/{engine}/{step}"), String::new())
        .await?;
    Ok(format_outcome(
        &response,
        json,
        &format!("{step} of {engine}"),
    ))
}

fn format_outcome(response: &Value, json: bool, text: &str) -> String {
    if json {
        return pretty(response);
    }
    format!(
        "{text}: {} at offset {}\n",
        response["outcome"].as_str().unwrap_or_default(),
        response["offset"]
    )
}

fn rows_or_json(rows: &Value, columns: &[&str], json: bool) -> String {
    if json {
        pretty(rows)
    } else {
        table(rows, columns)
    }
}

fn pretty(value: &Value) -> String {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    format!("{text}\n")
}
