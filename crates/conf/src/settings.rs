//! Settings of an entry instance.

use crate::check::Checker;
use crate::parse::parse;
use crate::{Error, Result, Settings};

/// Longest time that any setting may give, in ms.
const LONGEST_MS: u64 = 3_600_000;

/// Shortest lease. Below it a renewal would have to come back from the log faster than the
/// log's own answer time, and leases would lapse without a fault.
const SHORTEST_LEASE_MS: u64 = 300;

/// Reads and checks the settings in a file.
pub fn read_settings(file: &str) -> Result<Settings> {
    let text = std::fs::read_to_string(file).map_err(|source| Error::Read {
        file: file.to_owned(),
        source,
    })?;
    parse_settings(&text, file)
}

/// Parses and checks settings; `file` is only for messages.
pub fn parse_settings(text: &str, file: &str) -> Result<Settings> {
    let settings: Settings = parse(text, file)?;
    let problems = check(&settings);
    if problems.is_empty() {
        return Ok(settings);
    }
    Err(Error::Check {
        file: file.to_owned(),
        problems,
    })
}

/// Least time that a successor waits beyond the ttl: the time for which the kernel may hold back
/// an order (`lease::TCP_USER_TIMEOUT_MS`), with room for the way to the engine.
const LEAST_MARGIN_MS: u64 = 500;

fn check(settings: &Settings) -> Vec<crate::Problem> {
    let mut checker = Checker::default();
    checker.name("instance", &settings.instance);
    checker.name("zone", &settings.zone);
    checker.name("region", &settings.region);
    checker.address("caller_address", &settings.caller_address);
    checker.address("peer_address", &settings.peer_address);
    checker.address("platform.log", &settings.platform.log);
    checker.address("platform.instances", &settings.platform.instances);
    checker.range("platform.poll_ms", settings.platform.poll_ms, 1, LONGEST_MS);
    let records = settings.platform.snapshot_records;
    checker.range("platform.snapshot_records", records, 16, 1 << 20);
    for (index, key) in settings.operator_key_sha256.iter().enumerate() {
        let field = format!("operator_key_sha256[{index}]");
        checker.name(format!("{field}.operator"), &key.operator);
        checker.sha256(format!("{field}.sha256"), &key.sha256);
    }
    check_times(settings, &mut checker);
    let limits = &settings.limits;
    checker.range("limits.body_bytes", limits.body_bytes, 1024, 64 << 20);
    checker.range("limits.stream_tokens", limits.stream_tokens, 1, 1 << 20);
    checker.range("limits.connections", limits.connections, 1, 1 << 20);
    checker.problems
}

fn check_times(settings: &Settings, checker: &mut Checker) {
    let lease = &settings.lease;
    checker.range("lease.ttl_ms", lease.ttl_ms, SHORTEST_LEASE_MS, LONGEST_MS);
    let least_margin_ms = LEAST_MARGIN_MS + lease.ttl_ms / 20;
    checker.range(
        "lease.margin_ms",
        lease.margin_ms,
        least_margin_ms,
        LONGEST_MS,
    );
    let limits = &settings.limits;
    checker.range(
        "limits.body_timeout_ms",
        limits.body_timeout_ms,
        1,
        LONGEST_MS,
    );
    // The brief gives a leaving process a few seconds in which it may still get new work.
    checker.range("limits.stop_grace_ms", limits.stop_grace_ms, 0, 3_000);
    let membership = &settings.membership;
    checker.range("membership.beat_ms", membership.beat_ms, 10, LONGEST_MS);
    checker.range(
        "membership.suspect_ms",
        membership.suspect_ms,
        membership.beat_ms * 2,
        LONGEST_MS,
    );
    checker.range("membership.fan_out", membership.fan_out, 1, 64);
}
