//! Detection of prompt parts that end upstreams.

mod common;

use common::part_storm::{Outcome, Storm, play};
use common::{Fleet, Instance, STEP_MS};
use view::parts::{MAX_TRACKED, Trial};
use view::{
    AnswerProgress, InstanceKey, PartEvidence, PartKey, PartTracker, PartVerdict, Suspicion,
    UpstreamKey,
};

/// Fleet sizes.
const SIZES: [usize; 3] = [6, 90, 300];

/// Plays of each storm.
const SEEDS: std::ops::Range<u64> = 1..11;

/// Most requests with a bad part that may reach engines later than 3 s after the fifth end.
const MAX_LATE: usize = 3;

/// Time between a claim and its request, in ms.
const CLAIM_MS: u64 = 200;

const OWN: InstanceKey = InstanceKey(1);
const PEER: InstanceKey = InstanceKey(2);

fn part(id: u64) -> PartKey {
    PartKey::of(id)
}

fn upstream(index: u32) -> UpstreamKey {
    UpstreamKey(index)
}

fn trial(id: u64, instance: InstanceKey) -> Trial {
    Trial {
        part: part(id),
        instance,
    }
}

/// An answer on these parts is lost just after its head, and its upstream ends.
fn end_under(tracker: &mut PartTracker, now_ms: u64, index: u32, ids: &[u64]) -> Vec<PartEvidence> {
    let parts: Vec<PartKey> = ids.iter().map(|id| part(*id)).collect();
    tracker.record_loss(now_ms, upstream(index), &parts, AnswerProgress::Begun, None);
    tracker.upstream_ended(now_ms, OWN, upstream(index))
}

/// The same in a trial of the part.
fn fail_trial(tracker: &mut PartTracker, now_ms: u64, index: u32, id: u64) -> Vec<PartEvidence> {
    let trial = trial(id, OWN);
    tracker.claim_trial(now_ms, trial);
    let progress = AnswerProgress::Begun;
    tracker.record_loss(now_ms, upstream(index), &[part(id)], progress, Some(trial));
    tracker.upstream_ended(now_ms, OWN, upstream(index))
}

/// Guards against holding a part after one end, which most parts meet by chance, and against sending it freely after two.
#[test]
fn two_ends_hold_a_part() {
    let mut tracker = PartTracker::default();
    end_under(&mut tracker, 0, 1, &[9]);
    assert_eq!(tracker.decide(10, &[part(9)]), PartVerdict::Allowed);
    end_under(&mut tracker, 20, 2, &[9]);
    assert_eq!(tracker.decide(30, &[part(9)]), PartVerdict::MayTry(part(9)));
    assert_eq!(tracker.held_count(30), 1);
}

/// Guards against holding bystanders: what waited in a queue counts half, what went on or was a prefill does not count.
#[test]
fn an_end_says_less_against_answers_that_had_not_begun() {
    for (progress, ends_to_hold) in [
        (AnswerProgress::NotSent, None),
        (AnswerProgress::Waiting, Some(4)),
        (AnswerProgress::Begun, Some(2)),
        (AnswerProgress::FirstEvent, Some(4)),
        (AnswerProgress::WentOn, None),
    ] {
        let mut tracker = PartTracker::default();
        let held_after = (1..=8).find(|index| {
            tracker.record_loss(0, upstream(*index), &[part(9)], progress, None);
            tracker.upstream_ended(0, OWN, upstream(*index));
            tracker.held_count(0) > 0
        });
        assert_eq!(held_after, ends_to_hold, "{progress:?}");
    }
}

/// Guards against blaming the part that all share: an answer that went on clears it, at whichever instance.
#[test]
fn an_answer_that_went_on_clears_a_part_at_all_instances() {
    let mut accuser = PartTracker::default();
    let mut server = PartTracker::default();
    server.record_went_on(0, part(1));
    let mut replies = Vec::new();
    for index in 1..=2 {
        for evidence in end_under(&mut accuser, 10, index, &[1, 9]) {
            replies.extend(server.receive(20, evidence).reply);
        }
    }
    assert_eq!(replies, [PartEvidence::WentOn(part(1))]);
    assert_eq!(
        accuser.decide(30, &[part(1), part(9)]),
        PartVerdict::Held,
        "which of both it is shows a request with one of them"
    );
    assert!(accuser.receive(40, replies[0]).is_new);
    assert_eq!(accuser.decide(50, &[part(1)]), PartVerdict::Allowed);
    assert_eq!(accuser.decide(50, &[part(9)]), PartVerdict::MayTry(part(9)));
}

/// Guards against instances that keep a part sound for each other although no answer goes on any more.
#[test]
fn hearsay_is_not_repeated() {
    let mut tracker = PartTracker::default();
    tracker.receive(0, PartEvidence::WentOn(part(1)));
    let accusation = PartEvidence::EndedUnder {
        part: part(1),
        upstream: upstream(1),
        suspicion: Suspicion::Strong,
    };
    assert_eq!(tracker.receive(10, accusation).reply, None);
}

/// Guards against several trials at once: of two claims that cross, both instances keep the same one.
#[test]
fn one_trial_runs_at_a_time() {
    let held = || {
        let mut tracker = PartTracker::default();
        end_under(&mut tracker, 0, 1, &[9]);
        end_under(&mut tracker, 0, 2, &[9]);
        tracker
    };
    let (mut own, mut peer) = (held(), held());
    let of_own = own.claim_trial(10, trial(9, OWN));
    let of_peer = peer.claim_trial(10, trial(9, PEER));
    own.receive(60, of_peer);
    peer.receive(60, of_own);
    assert!(own.holds_trial(100, trial(9, OWN)));
    assert!(!peer.holds_trial(100, trial(9, PEER)));
    assert_eq!(peer.decide(100, &[part(9)]), PartVerdict::Held);
    let over = own.abandon_trial(trial(9, OWN)).expect("evidence");
    assert!(peer.receive(150, over).is_new);
    assert!(!peer.receive(160, of_own).is_new, "gossip repeats itself");
    assert_eq!(peer.decide(170, &[part(9)]), PartVerdict::MayTry(part(9)));
}

/// Guards against a trial that keeps all others waiting although its instance is gone.
#[test]
fn a_trial_lapses() {
    let mut tracker = PartTracker::default();
    end_under(&mut tracker, 0, 1, &[9]);
    end_under(&mut tracker, 0, 2, &[9]);
    tracker.receive(10, PartEvidence::TrialBegan(trial(9, PEER)));
    assert_eq!(tracker.decide(3_009, &[part(9)]), PartVerdict::Held);
    assert_eq!(
        tracker.decide(3_010, &[part(9)]),
        PartVerdict::MayTry(part(9))
    );
}

/// Guards against a part that is tried for ever, and against one that is never tried again.
#[test]
fn a_convicted_part_is_tried_twice_more() {
    let mut tracker = PartTracker::default();
    end_under(&mut tracker, 0, 1, &[9]);
    end_under(&mut tracker, 0, 2, &[9]);
    let found = fail_trial(&mut tracker, 100, 3, 9);
    let convicted = PartEvidence::Convicted {
        part: part(9),
        failed_trials: 1,
    };
    assert_eq!(found.last(), Some(&convicted));
    assert_eq!(tracker.decide(200, &[part(9)]), PartVerdict::Convicted);
    assert_eq!(
        tracker.decide(60_100, &[part(9)]),
        PartVerdict::MayTry(part(9))
    );
    fail_trial(&mut tracker, 60_200, 4, 9);
    assert_eq!(tracker.decide(60_300, &[part(9)]), PartVerdict::Convicted);
    assert_eq!(
        tracker.decide(120_300, &[part(9)]),
        PartVerdict::MayTry(part(9))
    );
    fail_trial(&mut tracker, 120_300, 5, 9);
    assert_eq!(
        tracker.decide(3_000_000, &[part(9)]),
        PartVerdict::Convicted
    );
    assert_eq!(
        tracker.decide(9_000_000, &[part(9)]),
        PartVerdict::Allowed,
        "forgotten"
    );
}

/// Guards against a second trial at an instance that heard of the conviction a moment later, and so does not take the
/// claim of the first for due.
#[test]
fn a_claim_counts_a_moment_before_the_part_is_due() {
    let mut tracker = PartTracker::default();
    let convicted = PartEvidence::Convicted {
        part: part(9),
        failed_trials: 1,
    };
    tracker.receive(200, convicted);
    assert!(
        tracker
            .receive(60_100, PartEvidence::TrialBegan(trial(9, PEER)))
            .is_new
    );
    assert_eq!(tracker.decide(60_300, &[part(9)]), PartVerdict::Held);
}

/// Guards against a sound part that stays refused after its engine ended by chance during the trial.
#[test]
fn a_convicted_part_is_cleared_by_an_answer() {
    let mut tracker = PartTracker::default();
    end_under(&mut tracker, 0, 1, &[9]);
    end_under(&mut tracker, 0, 2, &[9]);
    fail_trial(&mut tracker, 100, 3, 9);
    assert!(tracker.is_convicted(part(9)));
    assert_eq!(
        tracker.record_went_on(60_300, part(9)),
        Some(PartEvidence::WentOn(part(9)))
    );
    assert_eq!(tracker.decide(60_400, &[part(9)]), PartVerdict::Allowed);
}

/// Guards against trials of all the parts that lost answers beside a bad one.
#[test]
fn ends_under_a_convicted_part_accuse_no_other() {
    let mut tracker = PartTracker::default();
    end_under(&mut tracker, 0, 1, &[5, 9]);
    end_under(&mut tracker, 0, 2, &[5, 9]);
    assert_eq!(tracker.held_count(10), 2);
    fail_trial(&mut tracker, 100, 3, 9);
    assert_eq!(tracker.decide(200, &[part(5)]), PartVerdict::Allowed);
}

/// Guards against requests that are never tried because two of their parts are held and none comes with one of them.
#[test]
fn of_two_held_parts_the_deeper_one_is_tried_after_a_while() {
    let mut tracker = PartTracker::default();
    end_under(&mut tracker, 0, 1, &[5, 9]);
    end_under(&mut tracker, 0, 2, &[5, 9]);
    let parts = [part(5), part(9)];
    assert_eq!(tracker.decide(1_999, &parts), PartVerdict::Held);
    assert_eq!(tracker.decide(2_000, &parts), PartVerdict::MayTry(part(9)));
}

/// Guards against accusing what was lost on a path that was cut.
#[test]
fn excused_losses_accuse_nothing() {
    let mut tracker = PartTracker::default();
    let progress = AnswerProgress::Begun;
    tracker.record_loss(0, upstream(1), &[part(9)], progress, None);
    tracker.excuse(10, upstream(1));
    assert_eq!(tracker.upstream_ended(20, OWN, upstream(1)), []);
}

/// Guards against memory that grows with the parts accused.
#[test]
fn tracked_parts_are_bounded_and_convicted_ones_stay() {
    let mut tracker = PartTracker::default();
    tracker.convict(0, part(9), 1);
    for id in 0..2 * MAX_TRACKED as u64 {
        end_under(&mut tracker, 1 + id, id as u32, &[1_000 + id]);
    }
    assert_eq!(tracker.tracked_count(), MAX_TRACKED);
    assert!(tracker.is_convicted(part(9)));
    assert_eq!(view::sound_parts::SoundParts::BYTES, 32 * 1_024);
}

/// Runs a fleet until all instances fulfil a condition; returns how long that took, in ms.
fn spread_ms(fleet: &mut Fleet, is_known: impl Fn(&Instance) -> bool) -> u64 {
    let began_ms = fleet.now_ms;
    while !fleet.running().all(&is_known) && fleet.now_ms < began_ms + 2_000 {
        fleet.run(STEP_MS, |_, _| false);
    }
    fleet.now_ms - began_ms
}

/// Guards against evidence that stays within the group of one hub: accusations, objections and claims reach all, and a
/// claim does so before its request is sent.
#[test]
fn evidence_on_parts_reaches_all_instances() {
    for instances in [2, 7, 80, 295] {
        let mut fleet = Fleet::new(instances);
        fleet.run(1_000, |_, _| false);
        let (accuser, server) = (instances - 1, 0);
        let now_ms = fleet.now_ms;
        fleet.all[server].parts.record_went_on(now_ms, part(1));
        let bytes_before: usize = fleet.running().map(|each| each.sent_bytes).sum();
        for index in 1..=2 {
            let found = end_under(&mut fleet.all[accuser].parts, now_ms, index, &[1, 9]);
            fleet.all[accuser].tell_of_parts(found);
        }
        let held_ms = spread_ms(&mut fleet, |each| {
            each.parts.ended_under(part(9)).len() == 2
        });
        let cleared_ms = spread_ms(&mut fleet, |each| {
            each.parts.ended_under(part(1)).is_empty()
        });
        let now_ms = fleet.now_ms;
        let claimed = trial(9, OWN);
        let claim = fleet.all[accuser].parts.claim_trial(now_ms, claimed);
        fleet.all[accuser].tell_of_parts([claim]);
        let claimed_ms = spread_ms(&mut fleet, |each| each.parts.holds_trial(now_ms, claimed));
        let bytes: usize = fleet.running().map(|each| each.sent_bytes).sum();
        println!(
            "{instances} instances: held after {held_ms} ms, first part cleared {cleared_ms} ms later, claim known \
             after {claimed_ms} ms, {} bytes an instance in all",
            (bytes - bytes_before) / instances
        );
        assert!(held_ms <= 350 && cleared_ms <= 350, "of {instances}");
        assert!(claimed_ms <= CLAIM_MS, "of {instances}: {claimed_ms} ms");
    }
}

fn storm(instances: usize) -> Storm {
    Storm {
        seed: 0,
        instances,
        engines: 8 + instances / 3,
        seconds: 60,
        sound_per_s: 60.0,
        sessions: 50,
        bad_per_s: 0.0,
        bad_from_ms: 10_000,
        bad_parts: 1,
        ends_per_min: 0.0,
        lost: 0.0,
        restart_ms: None,
    }
}

fn plays(storm: Storm, seeds: std::ops::Range<u64>) -> Vec<Outcome> {
    seeds.map(|seed| play(Storm { seed, ..storm })).collect()
}

/// The figures of the design note.
fn summary(storm: &Storm, all: &[Outcome]) -> String {
    let most = |of: &dyn Fn(&Outcome) -> u64| all.iter().map(of).max().unwrap_or_default();
    let sum = |of: &dyn Fn(&Outcome) -> u64| all.iter().map(of).sum::<u64>();
    let ends = sum(&|it| it.bad_ends.len() as u64) as f64 / all.len() as f64;
    let until_conviction = |it: &Outcome| {
        it.first_convicted_ms
            .map_or(0, |at_ms| at_ms.saturating_sub(storm.bad_from_ms))
    };
    format!(
        "{} instances: {ends:.1} ends (most {}), convicted after {} ms at most, {} late, {} wrongly convicted, \
         {} of {} sound refused, longest hold {} ms, evidence {} items {} bytes, {} parts tracked",
        storm.instances,
        most(&|it| it.bad_ends.len() as u64),
        most(&until_conviction),
        most(&|it| it.late_sends() as u64),
        sum(&|it| it.wrongly_convicted.len() as u64),
        sum(&|it| u64::from(it.refused())),
        sum(&|it| it.sound.values().map(|(came, _)| u64::from(*came)).sum()),
        most(&|it| it.longest_hold_ms),
        most(&|it| it.evidence),
        most(&|it| it.evidence_bytes),
        most(&|it| it.most_tracked as u64),
    )
}

/// Plays a storm with a bad part at all sizes, and checks the bounds that callers rely on.
fn check_bad_part(name: &str, shape: impl Fn(Storm) -> Storm) {
    for instances in SIZES {
        let storm = shape(storm(instances));
        let all = plays(storm, SEEDS);
        let found = summary(&storm, &all);
        println!("{name}: {found}");
        for outcome in &all {
            let is_bounded = outcome.first_convicted_ms.is_some()
                && outcome.wrongly_convicted.is_empty()
                && outcome.late_sends() <= MAX_LATE
                && outcome.sound_share(0..storm.seconds) >= 0.98;
            assert!(is_bounded, "{name}: {found}");
        }
    }
}

/// Guards against sound requests that are refused because engines end for reasons of their own, 30 a minute.
#[test]
fn ends_at_random_refuse_hardly_anyone() {
    for instances in SIZES {
        for (sound_per_s, sessions) in [(60.0, 5), (60.0, 50), (60.0, 5_000), (4.0, 5)] {
            let storm = Storm {
                ends_per_min: 30.0,
                sound_per_s,
                sessions,
                ..storm(instances)
            };
            let all = plays(storm, SEEDS);
            let found = summary(&storm, &all);
            println!("ends at random, {sessions} sessions, {sound_per_s} a second: {found}");
            for outcome in &all {
                let is_sound = outcome.wrongly_convicted.is_empty()
                    && outcome.sound_share(0..60) >= 0.99
                    && outcome.longest_hold_ms <= 10_000;
                assert!(is_sound, "{found}");
            }
        }
    }
}

/// Guards against the same when engines end 600 times a minute, which takes most answers.
#[test]
fn many_ends_at_random_convict_nobody_for_long() {
    for instances in SIZES {
        let storm = Storm {
            ends_per_min: 600.0,
            ..storm(instances)
        };
        let all = plays(storm, SEEDS);
        println!("600 ends a minute: {}", summary(&storm, &all));
        for outcome in &all {
            assert!(
                outcome.sound_share(0..60) >= 0.9,
                "{}",
                summary(&storm, &all)
            );
        }
    }
}

/// Guards against a bad part that ends engine after engine, however many sessions are alive beside it.
#[test]
fn a_bad_part_is_convicted_among_any_number_of_sessions() {
    for sessions in [5, 50, 5_000] {
        for bad_per_s in [1.0, 5.0] {
            let name = format!("{bad_per_s} a second among {sessions} sessions");
            check_bad_part(&name, |storm| Storm {
                sessions,
                bad_per_s,
                ..storm
            });
        }
    }
}

/// Guards against two bad parts that hide behind each other.
#[test]
fn two_bad_parts_are_convicted() {
    check_bad_part("two bad parts", |storm| Storm {
        bad_per_s: 5.0,
        bad_parts: 2,
        ..storm
    });
}

/// Guards against evidence that does not reach all: a tenth is lost.
#[test]
fn lost_evidence_does_not_free_a_bad_part() {
    check_bad_part("a tenth of the evidence lost", |storm| Storm {
        bad_per_s: 5.0,
        lost: 0.1,
        ..storm
    });
}

/// Guards against a bad part that hides among engines that end for reasons of their own.
#[test]
fn a_bad_part_is_convicted_among_ends_at_random() {
    check_bad_part("30 ends a minute beside", |storm| Storm {
        bad_per_s: 3.0,
        ends_per_min: 30.0,
        sessions: 500,
        ..storm
    });
}

/// Guards against a fleet that has served nothing yet, and so knows no sound part.
#[test]
fn a_bad_part_is_convicted_in_a_cold_fleet() {
    check_bad_part("from the first second", |storm| Storm {
        bad_per_s: 3.0,
        bad_from_ms: 0,
        ..storm
    });
}

/// Guards against a bad part that is free again after all instances were killed.
#[test]
fn a_conviction_outlives_all_instances() {
    check_bad_part("all instances killed at 20 s", |storm| Storm {
        bad_per_s: 3.0,
        restart_ms: Some(20_000),
        ..storm
    });
}

/// Guards against a bad part that is tried again and again as long as its requests come.
#[test]
fn a_bad_part_stays_refused_for_as_long_as_it_comes() {
    let storm = Storm {
        bad_per_s: 2.0,
        seconds: 900,
        ..storm(6)
    };
    let all = plays(storm, SEEDS);
    println!("for 15 minutes: {}", summary(&storm, &all));
    for outcome in &all {
        assert!(
            outcome.late_sends() <= MAX_LATE,
            "{}",
            summary(&storm, &all)
        );
    }
}

/// Guards against a sound part that stays refused because two of its trials met crashes of another cause.
#[test]
fn a_sound_part_whose_trials_met_two_other_crashes_is_tried_within_seconds() {
    let mut tracker = PartTracker::default();
    end_under(&mut tracker, 0, 1, &[9]);
    end_under(&mut tracker, 0, 2, &[9]);
    fail_trial(&mut tracker, 100, 3, 9);
    let back_ms = 3_000;
    let mut now_ms = back_ms;
    while tracker.decide(now_ms, &[part(9)]) != PartVerdict::MayTry(part(9)) {
        now_ms += 100;
        assert!(now_ms <= back_ms + 6_000, "not tried after the first trial");
    }
    fail_trial(&mut tracker, now_ms, 4, 9);
    let back_ms = now_ms + 3_000;
    let mut now_ms = back_ms;
    while tracker.decide(now_ms, &[part(9)]) != PartVerdict::MayTry(part(9)) {
        now_ms += 100;
        assert!(
            now_ms <= back_ms + 6_000,
            "not tried after the second trial"
        );
    }
    tracker.claim_trial(now_ms, trial(9, OWN));
    tracker.record_went_on(now_ms + 300, part(9));
    assert_eq!(
        tracker.decide(now_ms + 400, &[part(9)]),
        PartVerdict::Allowed
    );
}
