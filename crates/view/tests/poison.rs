//! Requests under which upstreams end: what is believed of them, and how fleets of several sizes learn it.

mod common;

use common::{Fleet, one_in_ten, upstream};
use view::poison::RETENTION_MS;
use view::{FailureEvidence, PoisonTracker, RequestKey};

/// Sizes of fleets: each tells each, a few hubs, many.
const SIZES: [usize; 4] = [2, 7, 80, 295];

/// Time in which what one has seen is known to all, in ms: its report, a sum, a digest, and their ways.
const KNOWN_MS: u64 = 350;

/// The same where a tenth of the datagrams get lost, in ms: what is told with all there is comes five times a
/// second on each of the three ways.
const KNOWN_LOSSY_MS: u64 = 1_500;

const REQUEST: RequestKey = RequestKey(7);

fn lost(index: usize) -> FailureEvidence {
    FailureEvidence::Lost {
        request: REQUEST,
        upstream: upstream(index),
    }
}

fn ended(index: usize) -> FailureEvidence {
    FailureEvidence::Ended(upstream(index))
}

fn after(fates: &[FailureEvidence]) -> PoisonTracker {
    let mut suspects = PoisonTracker::default();
    for fate in fates {
        suspects.receive(0, *fate);
    }
    suspects
}

/// An upstream ends by itself with all that it has, and others break connections off and live. A request that
/// met one that ended and any number that live may run again. Met with two ends it is the likelier cause, in
/// whatever order and how often the instance hears of them.
#[test]
fn two_ends_are_held_against_a_request() {
    let cases: [(&[FailureEvidence], bool); 6] = [
        (&[lost(1), ended(1)], false),
        (&[lost(1), lost(1), ended(1), ended(1), ended(2)], false),
        (&[lost(1), ended(1), lost(2)], false),
        (&[ended(2), lost(2), lost(1), ended(1)], true),
        (&[lost(1), lost(2), lost(3), lost(4)], false),
        (&[lost(1), lost(2), lost(3), ended(3), ended(1)], true),
    ];
    for (fates, is_poisonous) in cases {
        assert_eq!(
            after(fates).is_poison(0, REQUEST),
            is_poisonous,
            "{fates:?}"
        );
    }
}

/// An upstream ends under a request and is back so soon that the look for it finds its successor. Its place in the
/// list goes to that one. Of one that nothing was lost at, leaving says nothing.
#[test]
fn one_that_is_no_longer_listed_has_ended() {
    let mut suspects = after(&[lost(1), ended(1), lost(2)]);
    suspects.upstream_unlisted(1, upstream(3));
    assert!(!suspects.is_poison(1, REQUEST));
    suspects.upstream_unlisted(1, upstream(2));
    assert!(suspects.is_poison(1, REQUEST));
}

/// Many callers ask the same of a service, without a body. Its upstreams end for another reason with some of
/// these requests, and answer others. Whoever hears of an answer lets them all go on, even if the losses
/// from before it come once more, by a longer way.
#[test]
fn a_request_that_is_answered_is_not_to_blame() {
    let mut suspects = after(&[lost(1), ended(1), lost(2), ended(2)]);
    assert!(suspects.is_poison(0, REQUEST));
    assert!(suspects.receive(1, FailureEvidence::Answered(REQUEST)));
    for fate in [lost(1), lost(2), FailureEvidence::Answered(REQUEST)] {
        assert!(!suspects.receive(2, fate), "{fate:?} is not new");
    }
    suspects.mark_poison(2, REQUEST);
    assert!(!suspects.is_poison(2, REQUEST));
    suspects.receive(3, lost(3));
    suspects.receive(3, ended(3));
    suspects.receive(3, lost(4));
    suspects.receive(3, ended(4));
    assert!(suspects.is_poison(3, REQUEST));
}

/// Operators mend the upstreams; the request that ended them comes no more for long, and may run again then.
/// While it comes it stays refused.
#[test]
fn what_comes_no_more_is_forgotten() {
    let mut suspects = after(&[lost(1), ended(1), lost(2), ended(2)]);
    suspects.record_refusal(RETENTION_MS - 1, REQUEST);
    assert!(suspects.is_poison(RETENTION_MS, REQUEST));
    assert!(!suspects.is_poison(2 * RETENTION_MS, REQUEST));
    suspects.receive(2 * RETENTION_MS, lost(3));
    assert!(!suspects.is_poison(2 * RETENTION_MS, REQUEST));
}

/// Hundreds of engines end at once, each with a dozen answers, over and over. What is remembered stays
/// bounded, and the request that was found out before is still refused.
#[test]
fn a_flood_of_losses_hides_no_poisonous_request() {
    let mut suspects = after(&[lost(1), ended(1), lost(2), ended(2)]);
    for number in 0..20_000 {
        let request = RequestKey(100 + number);
        let upstream = upstream(10 + number as usize / 12);
        suspects.receive(1 + number, FailureEvidence::Lost { request, upstream });
        suspects.receive(1 + number, FailureEvidence::Ended(upstream));
    }
    assert!(suspects.is_poison(20_001, REQUEST));
    assert!(!suspects.is_tracked(RequestKey(100)));
}

/// A request ends an engine at one instance, comes to another one, ends another engine there, and goes on to a
/// third. No instance has seen both ends; all must know of them by the time that a caller takes to come back.
#[test]
fn all_instances_know_what_two_saw() {
    for instances in SIZES {
        let mut fleet = Fleet::new(instances);
        fleet.run(1_000, |_, _| false);
        let (first, second) = (0, instances - 1);
        for (index, nth) in [(first, 1), (second, 2)] {
            let now_ms = fleet.now_ms;
            fleet.all[index].saw(now_ms, lost(nth));
            fleet.all[index].saw(now_ms, ended(nth));
            fleet.run(KNOWN_MS, |_, _| false);
        }
        let ignorant = ignorant(&fleet);
        assert_eq!(ignorant, 0, "of {instances}");
    }
}

fn ignorant(fleet: &Fleet) -> usize {
    let knows = |each: &&common::Instance| each.suspects.is_poison(fleet.now_ms, REQUEST);
    fleet.running().count() - fleet.running().filter(knows).count()
}

/// A tenth of all datagrams get lost, and an instance was cut off from all others, or frozen, while the fleet found the
/// request out. It knows soon after, without losing an upstream of its own: the caller of such a request may
/// reach it first.
#[test]
fn one_that_was_away_learns_it_from_the_others() {
    for instances in SIZES {
        let mut fleet = Fleet::new(instances);
        let mut is_lost = one_in_ten();
        fleet.run(1_000, |_, _| is_lost());
        let away = instances / 2;
        let now_ms = fleet.now_ms;
        for fate in [lost(1), ended(1), lost(2), ended(2)] {
            fleet.all[0].saw(now_ms, fate);
        }
        fleet.run(3_000, |from, to| from == away || to == away || is_lost());
        let most = usize::from(away != 0);
        assert_eq!(ignorant(&fleet), most, "of {instances}, while one is away");
        fleet.run(KNOWN_LOSSY_MS, |_, _| is_lost());
        assert_eq!(ignorant(&fleet), 0, "of {instances}");
    }
}
