//! Which version began a stream without a record, as rollouts pass by and instances start.

use plan::{
    KnownSince, OriginEvidence, SPREAD_MS, STREAM_AGE_MS, ServiceVersions, Unrecorded,
    origin_version,
};

const START_MS: u64 = 100_000;

/// An instance that has known all versions of a service for long.
const LONG: KnownSince = KnownSince::Always;

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
    assert!(rollout.are_mixed(START_MS, LONG));
    let told = rollout.unrecorded(START_MS + 100, LONG, None);
    assert_eq!(told, Unrecorded::Before("v1"));
    // Every stream has a record by now; without one it could be of either.
    let late = rollout.unrecorded(START_MS + STREAM_AGE_MS, LONG, None);
    assert_eq!(late, Unrecorded::Several);
}

/// Guards against a stream of a version that is gone and goes on at the one that took its place.
#[test]
fn a_version_counts_for_a_while_after_its_last_upstream_left() {
    let mut rollout = versions(&[("v1", 0), ("v2", START_MS)]);
    rollout.leave(START_MS + 1_000, "v1");
    let told = rollout.unrecorded(START_MS + 2_000, LONG, None);
    assert_eq!(told, Unrecorded::Before("v1"));
    assert!(rollout.are_mixed(START_MS + 2_000, LONG));
    let later_ms = START_MS + 1_000 + STREAM_AGE_MS;
    assert!(!rollout.are_mixed(later_ms, LONG));
    let later = rollout.unrecorded(later_ms, LONG, None);
    assert_eq!(later, Unrecorded::Only("v2"));
}

/// Guards against an instance that has just started and takes what it sees first for what was there before.
#[test]
fn versions_that_came_together_tell_nothing() {
    let started = versions(&[("v1", START_MS), ("v2", START_MS + 40)]);
    assert_eq!(
        started.unrecorded(START_MS + 40, LONG, None),
        Unrecorded::Several
    );
    let third = versions(&[("v1", 0), ("v2", 0), ("v3", START_MS)]);
    assert_eq!(third.unrecorded(START_MS, LONG, None), Unrecorded::Several);
}

/// Guards against a started instance that takes the only version of its first list for the only one there ever was.
#[test]
fn an_instance_that_has_just_started_says_no_version_until_it_has_watched_or_was_told() {
    let alone = versions(&[("v1", START_MS)]);
    let unknown = KnownSince::default();
    assert_eq!(
        alone.unrecorded(START_MS, unknown, None),
        Unrecorded::Unknown
    );
    assert!(alone.are_mixed(START_MS, unknown));
    let watched = KnownSince::At(START_MS);
    let age_ms = START_MS + STREAM_AGE_MS;
    assert_eq!(
        alone.unrecorded(age_ms - 1, watched, None),
        Unrecorded::Unknown
    );
    assert!(alone.are_mixed(age_ms - 1, watched));
    assert_eq!(
        alone.unrecorded(age_ms, watched, None),
        Unrecorded::Only("v1")
    );
    assert!(!alone.are_mixed(age_ms, watched));
    assert_eq!(
        alone.unrecorded(START_MS, LONG, None),
        Unrecorded::Only("v1")
    );
}

/// Guards against an instance that starts after a swap and does not learn that the old version left a second ago.
#[test]
fn the_stores_set_tells_of_versions_that_have_left() {
    let mut started = versions(&[("v2", START_MS)]);
    started.load(START_MS, &["v1", "v2"]);
    assert!(started.are_mixed(START_MS, LONG));
    assert_eq!(
        started.unrecorded(START_MS, LONG, None),
        Unrecorded::Several
    );
    let later_ms = START_MS + STREAM_AGE_MS;
    assert_eq!(
        started.unrecorded(later_ms, LONG, None),
        Unrecorded::Only("v2")
    );
}

/// Guards against streams refused because a version that nobody could have used yet counts as one that began them.
#[test]
fn a_listed_version_that_the_set_does_not_name_has_begun_nothing() {
    let mut started = versions(&[("v1", START_MS), ("v2", START_MS)]);
    started.load(START_MS, &["v1"]);
    let told = started.unrecorded(START_MS + 100, LONG, None);
    assert_eq!(told, Unrecorded::Before("v1"));
    assert!(started.is_recorded("v1") && !started.is_recorded("v2"));
    // The same set read again, with the version that this instance wrote itself, changes nothing about the past.
    started.load(START_MS + 50, &["v1", "v2"]);
    let again = started.unrecorded(START_MS + 100, LONG, None);
    assert_eq!(again, Unrecorded::Before("v1"));
}

/// Guards against one version said while another instance has put a second one to use that is not listed here yet.
#[test]
fn a_version_that_another_instance_wrote_counts_before_it_is_listed_here() {
    let mut waiting = versions(&[("v1", 0)]);
    waiting.load(0, &["v1"]);
    waiting.load(START_MS, &["v1", "v2"]);
    assert!(waiting.are_mixed(START_MS, LONG));
    assert_eq!(
        waiting.unrecorded(START_MS, LONG, None),
        Unrecorded::Before("v1")
    );
}

/// Guards against a stream of the new version, of which all records were lost with instances, taken for one of the old.
#[test]
fn after_a_loss_a_missing_record_does_not_tell_the_version_of_before() {
    let rollout = versions(&[("v1", 0), ("v2", START_MS)]);
    let told = |lost_ms| rollout.unrecorded(START_MS + 1_000, LONG, Some(lost_ms));
    assert_eq!(told(START_MS + 500), Unrecorded::Several);
    assert_eq!(told(START_MS - SPREAD_MS), Unrecorded::Several);
    assert_eq!(told(START_MS - SPREAD_MS - 1), Unrecorded::Before("v1"));
}

/// Guards against a version dropped from the store's set while a stream of it may still be taken up.
#[test]
fn a_version_is_forgotten_once_no_stream_of_it_can_be_taken_up_anywhere() {
    let mut rollout = versions(&[("v1", 0)]);
    rollout.load(0, &["v1", "v2"]);
    let over_ms = STREAM_AGE_MS + SPREAD_MS;
    assert!(rollout.forgettable(over_ms - 1).is_empty());
    assert_eq!(rollout.forgettable(over_ms), ["v2"]);
    // One that comes back is new, and written anew where it was dropped meanwhile.
    rollout.load(over_ms, &["v1"]);
    rollout.join(over_ms, "v2");
    assert!(!rollout.is_recorded("v2"));
    assert_eq!(
        rollout.unrecorded(over_ms, LONG, None),
        Unrecorded::Before("v1")
    );
}

/// Guards against a stream that goes on at another version on the word of an instance that knows less.
#[test]
fn a_record_counts_most_and_guesses_have_to_agree() {
    use OriginEvidence::{Recorded, Unrecorded as Without};
    use Unrecorded::{Before, Only, Several, Unknown};
    let told = |evidence: &[OriginEvidence<&'static str>]| origin_version(evidence, true);
    assert_eq!(
        told(&[Without(Only("v2")), Recorded("v1"), Without(Several)]),
        Some("v1")
    );
    assert_eq!(told(&[Recorded("v1"), Recorded("v2")]), None);
    assert_eq!(told(&[Without(Unknown), Without(Only("v1"))]), Some("v1"));
    assert_eq!(told(&[Without(Only("v1")), Without(Only("v2"))]), None);
    assert_eq!(told(&[Without(Only("v1")), Without(Several)]), None);
    assert_eq!(told(&[Without(Unknown)]), None);
    assert_eq!(origin_version::<&str>(&[], true), None);
    assert_eq!(
        origin_version(&[Without(Only("v1"))], false),
        Some("v1"),
        "no record is missed where one version served"
    );
    assert_eq!(
        told(&[Without(Before("v1")), Without(Only("v1"))]),
        Some("v1")
    );
    assert_eq!(told(&[Without(Before("v1")), Without(Unknown)]), None);
    assert_eq!(origin_version(&[Without(Before("v1"))], false), None);
}
