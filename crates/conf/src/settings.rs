//! Parses and validates the settings of an entry instance.

use crate::check::Checker;
use crate::parse::parse;
use crate::{Error, Result, Settings};

/// Upper bound of every duration in the settings.
const MAX_DURATION_MS: u64 = 3_600_000;

/// A renewal must be appended to the log and read back within the TTL. With a shorter TTL the
/// ordinary latency of the log would let leases expire.
const MIN_LEASE_TTL_MS: u64 = 300;

/// Reads a file and validates the settings in it.
pub fn read_settings(file: &str) -> Result<Settings> {
    let text = std::fs::read_to_string(file).map_err(|source| Error::Read {
        file: file.to_owned(),
        source,
    })?;
    parse_settings(&text, file)
}

/// Parses and validates settings; `file` only appears in error messages.
pub fn parse_settings(text: &str, file: &str) -> Result<Settings> {
    let settings: Settings = parse(text, file)?;
    let problems = validate(&settings);
    if problems.is_empty() {
        return Ok(settings);
    }
    Err(Error::Check {
        file: file.to_owned(),
        problems,
    })
}

/// Minimum time that a successor waits after the TTL. It covers the time for which the kernel may
/// retransmit an order (`lease::TCP_USER_TIMEOUT_MS`) plus the network delay to the engine.
const MIN_LEASE_MARGIN_MS: u64 = 500;

fn validate(settings: &Settings) -> Vec<crate::Problem> {
    let mut checker = Checker::default();
    checker.name("instance", &settings.instance);
    checker.name("zone", &settings.zone);
    checker.name("region", &settings.region);
    checker.address("caller_address", &settings.caller_address);
    checker.address("peer_address", &settings.peer_address);
    checker.address("platform.log", &settings.platform.log);
    checker.address("platform.instances", &settings.platform.instances);
    checker.range(
        "platform.poll_ms",
        settings.platform.poll_ms,
        1,
        MAX_DURATION_MS,
    );
    let records = settings.platform.snapshot_records;
    checker.range("platform.snapshot_records", records, 16, 1 << 20);
    for (index, key) in settings.operator_key_sha256.iter().enumerate() {
        let field = format!("operator_key_sha256[{index}]");
        checker.name(format!("{field}.operator"), &key.operator);
        checker.sha256(format!("{field}.sha256"), &key.sha256);
    }
    validate_durations(settings, &mut checker);
    let limits = &settings.limits;
    checker.range("limits.body_bytes", limits.body_bytes, 1024, 64 << 20);
    checker.range("limits.stream_tokens", limits.stream_tokens, 1, 1 << 20);
    checker.range("limits.connections", limits.connections, 1, 1 << 20);
    checker.problems
}

fn validate_durations(settings: &Settings, checker: &mut Checker) {
    let lease = &settings.lease;
    checker.range(
        "lease.ttl_ms",
        lease.ttl_ms,
        MIN_LEASE_TTL_MS,
        MAX_DURATION_MS,
    );
    let min_margin_ms = MIN_LEASE_MARGIN_MS + lease.ttl_ms / 20;
    checker.range(
        "lease.margin_ms",
        lease.margin_ms,
        min_margin_ms,
        MAX_DURATION_MS,
    );
    let limits = &settings.limits;
    checker.range(
        "limits.body_timeout_ms",
        limits.body_timeout_ms,
        1,
        MAX_DURATION_MS,
    );
    // A stopping instance must refuse new work after a few seconds.
    checker.range("limits.stop_grace_ms", limits.stop_grace_ms, 0, 3_000);
    let membership = &settings.membership;
    checker.range(
        "membership.beat_ms",
        membership.beat_ms,
        10,
        MAX_DURATION_MS,
    );
    checker.range(
        "membership.suspect_ms",
        membership.suspect_ms,
        membership.beat_ms * 2,
        MAX_DURATION_MS,
    );
    checker.range("membership.fan_out", membership.fan_out, 1, 64);
}
