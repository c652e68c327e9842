//! Detection of poison requests, and how it spreads in fleets of several sizes.

mod common;

use common::{Fleet, one_in_ten, upstream};
use view::poison::RETENTION_MS;
use view::{FailureEvidence, PoisonTracker, RequestKey};

/// Fleet sizes: two full meshes, and two with hubs.
const SIZES: [usize; 4] = [2, 7, 80, 295];

/// Time in which evidence reaches all instances, in ms: a report, a sum, a digest, and their
/// transit.
const SPREAD_MS: u64 = 350;

/// The same if a tenth of the datagrams is lost, in ms. Full datagrams are sent five times a second
/// on each of the three ways.
const SPREAD_LOSSY_MS: u64 = 1_500;

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

fn tracker_after(evidence: &[FailureEvidence]) -> PoisonTracker {
    let mut poison = PoisonTracker::default();
    for each in evidence {
        poison.receive(0, *each);
    }
    poison
}

/// Guards against blaming a request for upstreams that end for their own reasons, or that close
/// connections and stay up. Only two ended upstreams make it poison, in whatever order and however
/// often the evidence arrives.
#[test]
fn two_ended_upstreams_make_a_request_poison() {
    let cases: [(&[FailureEvidence], bool); 6] = [
        (&[lost(1), ended(1)], false),
        (&[lost(1), lost(1), ended(1), ended(1), ended(2)], false),
        (&[lost(1), ended(1), lost(2)], false),
        (&[ended(2), lost(2), lost(1), ended(1)], true),
        (&[lost(1), lost(2), lost(3), lost(4)], false),
        (&[lost(1), lost(2), lost(3), ended(3), ended(1)], true),
    ];
    for (evidence, is_poison) in cases {
        assert_eq!(
            tracker_after(evidence).is_poison(0, REQUEST),
            is_poison,
            "{evidence:?}"
        );
    }
}

/// Guards against a third upstream that gets a request while two that lost its answer may be ending slowly, and against
/// callers kept waiting for the first one.
#[test]
fn a_request_waits_while_as_many_upstreams_may_have_ended_as_make_it_poison() {
    let asked_for_ms = |ages_ms: [Option<u64>; 2]| {
        move |key| match key {
            key if key == upstream(1) => ages_ms[0],
            key if key == upstream(2) => ages_ms[1],
            _ => None,
        }
    };
    let one = tracker_after(&[lost(1)]);
    assert!(one.is_in_doubt(REQUEST, asked_for_ms([Some(10), None])));
    assert!(!one.is_in_doubt(REQUEST, asked_for_ms([Some(400), None])));
    let two = tracker_after(&[lost(1), lost(2)]);
    assert!(two.is_in_doubt(REQUEST, asked_for_ms([Some(2_000), Some(400)])));
    assert!(!two.is_in_doubt(REQUEST, asked_for_ms([None, Some(400)])));
    let one_ended = tracker_after(&[lost(1), ended(1), lost(2)]);
    assert!(one_ended.is_in_doubt(REQUEST, asked_for_ms([None, Some(400)])));
    assert!(!one_ended.is_in_doubt(REQUEST, asked_for_ms([None, None])));
    assert_eq!(one.critical_loss_ms(REQUEST), None);
    assert_eq!(two.critical_loss_ms(REQUEST), Some(0));
}

/// Guards against an end that goes unnoticed because the upstream restarts so fast that a check of
/// the connection reaches its successor. The replaced entry shows the end. The removal of an
/// upstream without a loss is no evidence.
#[test]
fn unlisted_upstream_counts_as_ended() {
    let mut poison = tracker_after(&[lost(1), ended(1), lost(2)]);
    poison.upstream_unlisted(1, upstream(3));
    assert!(!poison.is_poison(1, REQUEST));
    poison.upstream_unlisted(1, upstream(2));
    assert!(poison.is_poison(1, REQUEST));
}

/// Guards against blocking a request that many callers send alike, such as one without a body, when
/// its upstreams end for another reason. An answer clears it, even if losses from before the answer
/// arrive again on a longer path.
#[test]
fn answered_request_is_cleared() {
    let mut poison = tracker_after(&[lost(1), ended(1), lost(2), ended(2)]);
    assert!(poison.is_poison(0, REQUEST));
    assert!(poison.receive(1, FailureEvidence::Answered(REQUEST)));
    for each in [lost(1), lost(2), FailureEvidence::Answered(REQUEST)] {
        assert!(!poison.receive(2, each), "{each:?} is not new");
    }
    poison.mark_poison(2, REQUEST);
    assert!(!poison.is_poison(2, REQUEST));
    poison.receive(3, lost(3));
    poison.receive(3, ended(3));
    poison.receive(3, lost(4));
    poison.receive(3, ended(4));
    assert!(poison.is_poison(3, REQUEST));
}

/// Guards against refusing requests for ever whose answers were lost because an instance lost its own path: the losses
/// do not count, also if they arrive again, and later ones of other upstreams do.
#[test]
fn excused_losses_do_not_count() {
    let excused = |number| FailureEvidence::Excused {
        request: REQUEST,
        upstream: upstream(number),
    };
    let mut poison = tracker_after(&[lost(1), lost(2), excused(1), excused(2)]);
    for each in [lost(1), lost(2), excused(1)] {
        assert!(!poison.receive(1, each), "{each:?} is not new");
    }
    poison.receive(1, ended(1));
    poison.receive(1, ended(2));
    assert!(!poison.is_poison(1, REQUEST));
    for each in [lost(3), ended(3), lost(4), ended(4)] {
        poison.receive(2, each);
    }
    assert!(poison.is_poison(2, REQUEST));
}

/// Guards against blocking a request for ever after the upstreams were fixed. It may run again when
/// it has not arrived for a while, and stays refused while it keeps arriving.
#[test]
fn request_that_stays_away_is_forgotten() {
    let mut poison = tracker_after(&[lost(1), ended(1), lost(2), ended(2)]);
    poison.record_refusal(RETENTION_MS - 1, REQUEST);
    assert!(poison.is_poison(RETENTION_MS, REQUEST));
    assert!(!poison.is_poison(2 * RETENTION_MS, REQUEST));
    poison.receive(2 * RETENTION_MS, lost(3));
    assert!(!poison.is_poison(2 * RETENTION_MS, REQUEST));
}

/// Guards against unbounded memory, and against forgetting a poison request, when hundreds of
/// engines end with a dozen answers each, over and over.
#[test]
fn flood_of_losses_evicts_no_poison_request() {
    let mut poison = tracker_after(&[lost(1), ended(1), lost(2), ended(2)]);
    for number in 0..20_000 {
        let request = RequestKey(100 + number);
        let upstream = upstream(10 + number as usize / 12);
        poison.receive(1 + number, FailureEvidence::Lost { request, upstream });
        poison.receive(1 + number, FailureEvidence::Ended(upstream));
    }
    assert!(poison.is_poison(20_001, REQUEST));
    assert!(!poison.is_tracked(RequestKey(100)));
}

/// Guards against a request that ends one engine at each instance that receives it. No instance has
/// observed two ends itself; all must know of them before the caller retries.
#[test]
fn evidence_of_two_instances_reaches_all() {
    for instances in SIZES {
        let mut fleet = Fleet::new(instances);
        fleet.run(1_000, |_, _| false);
        let (first, second) = (0, instances - 1);
        for (index, nth) in [(first, 1), (second, 2)] {
            let now_ms = fleet.now_ms;
            fleet.all[index].observe(now_ms, lost(nth));
            fleet.all[index].observe(now_ms, ended(nth));
            fleet.run(SPREAD_MS, |_, _| false);
        }
        let unaware_count = unaware_count(&fleet);
        assert_eq!(unaware_count, 0, "of {instances}");
    }
}

fn unaware_count(fleet: &Fleet) -> usize {
    let knows = |each: &&common::Instance| each.poison.is_poison(fleet.now_ms, REQUEST);
    fleet.running().count() - fleet.running().filter(knows).count()
}

/// Guards against an instance that was cut off or frozen while the fleet detected the request, and
/// then loses further upstreams to it. It must learn of the request soon, with a tenth of the
/// datagrams lost.
#[test]
fn isolated_instance_learns_poison_requests() {
    for instances in SIZES {
        let mut fleet = Fleet::new(instances);
        let mut is_lost = one_in_ten();
        fleet.run(1_000, |_, _| is_lost());
        let isolated = instances / 2;
        let now_ms = fleet.now_ms;
        for each in [lost(1), ended(1), lost(2), ended(2)] {
            fleet.all[0].observe(now_ms, each);
        }
        fleet.run(3_000, |from, to| {
            from == isolated || to == isolated || is_lost()
        });
        let expected = usize::from(isolated != 0);
        assert_eq!(
            unaware_count(&fleet),
            expected,
            "of {instances}, while one is away"
        );
        fleet.run(SPREAD_LOSSY_MS, |_, _| is_lost());
        assert_eq!(unaware_count(&fleet), 0, "of {instances}");
    }
}

/// Guards against a request that ends upstreams and is let through again, because an instance took itself for cut off
/// and excused the losses: the list shows later that their upstreams have ended.
#[test]
fn an_excuse_does_not_outlast_the_end_that_the_list_shows() {
    let excused = |number| FailureEvidence::Excused {
        request: REQUEST,
        upstream: upstream(number),
    };
    let mut poison = tracker_after(&[
        lost(1),
        lost(2),
        lost(3),
        excused(1),
        excused(2),
        excused(3),
    ]);
    assert!(!poison.is_poison(0, REQUEST));
    poison.upstream_unlisted(3_600, upstream(1));
    assert!(!poison.is_poison(3_600, REQUEST));
    poison.upstream_unlisted(3_600, upstream(2));
    assert!(poison.is_poison(3_600, REQUEST));
}

/// Guards against a request that is held for connections that upstreams reset long before they end for another reason.
#[test]
fn an_end_long_after_a_loss_is_no_evidence() {
    let mut poison = tracker_after(&[lost(1), lost(2)]);
    poison.receive(60_000, ended(1));
    poison.upstream_unlisted(60_000, upstream(2));
    assert!(!poison.is_poison(60_000, REQUEST));
}

/// Guards against a request that stays held at an instance which missed that it was answered: a peer tells it.
#[test]
fn a_peer_that_holds_an_answered_request_is_told() {
    let mut poison = tracker_after(&[lost(1), ended(1), lost(2), ended(2)]);
    poison.receive(1, FailureEvidence::Answered(REQUEST));
    assert!(poison.mark_poison(1_000, REQUEST));
    assert!(!poison.mark_poison(1_100, REQUEST), "once in a while");
    assert!(!poison.is_poison(1_100, REQUEST));
}

/// Guards against evidence that goes through the fleet for ever: where more upstreams lost an answer than are kept, each
/// copy that gossip repeats would be new again.
#[test]
fn repeated_losses_beyond_those_kept_are_not_new() {
    let mut poison = PoisonTracker::default();
    for index in 0..60 {
        poison.receive(index as u64, lost(index));
    }
    let new = (0..60).filter(|index| poison.receive(1_000, lost(*index)));
    assert_eq!(new.count(), 0);
    let mut answered = PoisonTracker::default();
    for index in 0..60 {
        answered.receive(index as u64, lost(index));
        answered.receive(index as u64, FailureEvidence::Answered(REQUEST));
    }
    let new = (0..60).filter(|index| answered.receive(1_000, lost(*index)));
    assert_eq!(new.count(), 0);
}

/// Guards against trials that are used up without a send: a list that tells of a claim which is given back a moment later
/// would count it for good.
#[test]
fn a_claim_is_told_with_the_list_only_once_it_was_sent() {
    let own = view::InstanceKey(1);
    let mut poison = tracker_after(&[lost(1), ended(1), lost(2), ended(2)]);
    let trial = view::RequestTrial {
        request: REQUEST,
        number: 1,
        instance: own,
        nonce: 0,
    };
    assert!(poison.claim_trial(3_000, trial));
    assert_eq!(poison.trial_counts(3_300, &[REQUEST]), []);
    assert_eq!(poison.trial_counts(3_600, &[REQUEST]), [(REQUEST, 1)]);
    assert!(poison.give_back_trial(3_700, trial));
    assert_eq!(poison.trial_counts(9_000, &[REQUEST]), []);
}
