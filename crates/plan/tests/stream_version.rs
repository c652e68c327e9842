//! Which version began a stream without a record, as rollouts pass by.

use plan::{OriginEvidence, STREAM_AGE_MS, ServiceVersions, origin_version};

const START_MS: u64 = 100_000;

/// A service whose versions came at these times.
fn versions(came: &[(&'static str, u64)]) -> ServiceVersions<&'static str> {
    let mut versions = ServiceVersions::default();
    for (version, at_ms) in came {
        versions.join(*at_ms, *version);
    }
    versions
}

/// Guards against streams that are turned away, or that mix, as a new version comes in.
#[test]
fn a_stream_without_a_record_began_before_the_new_version_came() {
    let rollout = versions(&[("v1", 0), ("v2", START_MS)]);
    assert!(rollout.are_mixed(START_MS));
    assert_eq!(rollout.unrecorded(START_MS + 100), Some("v1"));
    // Every stream has a record by now; without one it could be of either.
    assert_eq!(rollout.unrecorded(START_MS + STREAM_AGE_MS), None);
}

/// Guards against a stream of a version that is gone and goes on at the one that took its place.
#[test]
fn a_version_counts_for_a_while_after_its_last_upstream_left() {
    let mut rollout = versions(&[("v1", 0), ("v2", START_MS)]);
    rollout.leave(START_MS + 1_000, "v1");
    assert_eq!(rollout.unrecorded(START_MS + 2_000), Some("v1"));
    assert!(rollout.are_mixed(START_MS + 2_000));
    let later_ms = START_MS + 1_000 + STREAM_AGE_MS;
    assert!(!rollout.are_mixed(later_ms));
    assert_eq!(rollout.unrecorded(later_ms), Some("v2"));
}

/// Guards against an instance that has just started and takes what it sees first for what was there before.
#[test]
fn versions_that_came_together_tell_nothing() {
    let started = versions(&[("v1", START_MS), ("v2", START_MS + 40)]);
    assert_eq!(started.unrecorded(START_MS), None);
    assert_eq!(
        versions(&[("v1", START_MS)]).unrecorded(START_MS),
        Some("v1")
    );
    let third = versions(&[("v1", 0), ("v2", 0), ("v3", START_MS)]);
    assert_eq!(third.unrecorded(START_MS), None);
}

/// Guards against a stream that goes on at another version on the word of an instance that knows less.
#[test]
fn a_record_counts_most_and_guesses_have_to_agree() {
    use OriginEvidence::{Recorded, Unrecorded};
    let told = [Unrecorded(Some("v2")), Recorded("v1")];
    assert_eq!(origin_version(&told), Some("v1"));
    assert_eq!(
        origin_version(&[Unrecorded(None), Unrecorded(Some("v1"))]),
        Some("v1")
    );
    assert_eq!(
        origin_version(&[Unrecorded(Some("v1")), Unrecorded(Some("v2"))]),
        None
    );
    assert_eq!(origin_version::<&str>(&[]), None);
}
