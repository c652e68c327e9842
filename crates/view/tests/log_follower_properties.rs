//! What an instance believes of a log, in any order of readings and words.

mod common;

use common::log::{Log, of};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use view::{GossipedChange, ListChange, LogPosition};

/// Longest time that a word waits on its way in the first property, in ms.
const WAIT_MS: u64 = 100;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::default()
    })]

    /// Words wait on their way and in sockets, and their ages do not tell it. An instance may think its knowledge younger by
    /// as much, once for each instance that passed it on, and never by more: no change is hidden for good.
    #[test]
    fn what_waits_hides_nothing_for_long(
        steps in prop::collection::vec((0_usize..3, 0_usize..3, 0_u8..24, 0_u64..WAIT_MS, 0_u64..WAIT_MS), 1..600)
    ) {
        let mut log = Log::default();
        let mut all = [of(0), of(1), of(2)];
        // The last one reads nothing any more, as where others read for it.
        for each in &mut all {
            log.read_by(each, 1_000);
        }
        let mut waiting: Vec<(u64, usize, LogPosition)> = Vec::new();
        let mut now_ms = 1_000;
        for (who, other, step, passed_ms, wait_ms) in steps {
            now_ms += passed_ms / 8;
            match step {
                0 => log.write(now_ms, false),
                1 => log.write(now_ms, true),
                2..=4 if who < 2 => log.read_by(&mut all[who], now_ms),
                5 if who < 2 => all[who].record_snapshot(now_ms, log.end),
                _ => {
                    let mark = all[who].position(now_ms, true);
                    waiting.extend(mark.map(|mark| (now_ms + wait_ms, other, mark)));
                }
            }
            waiting.retain(|(at_ms, to, mark)| {
                let is_there = *at_ms <= now_ms;
                if is_there {
                    all[*to].receive_position(now_ms, mark);
                }
                !is_there
            });
            let most_ms = WAIT_MS * all.len() as u64;
            for each in all.iter().filter(|each| !each.is_behind()) {
                let as_of_ms = now_ms - each.age_ms(now_ms);
                let unread = log.changes.iter().find(|(after, _)| each.next_offset() < Some(*after));
                let is_recent = |(_, at_ms): &(u64, u64)| at_ms + most_ms >= as_of_ms;
                prop_assert!(unread.is_none_or(is_recent), "{unread:?} {each:?}");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(2_000)
    })]

    /// Whoever reads, tells, hears late, or loses its place: an instance that believes to know all
    /// changes as of a time has read every change up to then.
    #[test]
    fn what_is_believed_is_true(
        steps in prop::collection::vec((0_usize..4, 0_usize..4, 0_u8..8, 0_u64..300), 1..300)
    ) {
        let mut log = Log::default();
        let mut all = [of(0), of(1), of(2), of(3)];
        let mut late: Vec<(usize, LogPosition, u64)> = Vec::new();
        let mut now_ms = 1_000;
        for (who, other, step, passed_ms) in steps {
            now_ms += passed_ms;
            match step {
                0 => log.write(now_ms, false),
                1 => log.write(now_ms, true),
                2 => log.read_by(&mut all[who], now_ms),
                3 => {
                    if let Some(mark) = all[who].position(now_ms, true) {
                        all[other].receive_position(now_ms, &mark);
                    }
                }
                4 => {
                    // A telling that is written now and heard later looks younger than it is by as
                    // much as the network holds it up.
                    late.extend(all[who].position(now_ms, true).map(|mark| (other, mark, now_ms)));
                }
                5 => all[who].require_full_read(),
                6 => all[who].record_snapshot(now_ms, log.end),
                _ => {
                    let last = log.changes.iter().rev();
                    let mut last = last.map(|(after, _)| *after);
                    if let Some(after) = last.next() {
                        let before = last.next().unwrap_or_default();
                        let news = GossipedChange { previous_offset: before, offset: after, change: ListChange::Gone(String::new()), unconfirmed_ms: 0, };
                        all[who].apply_change(&news);
                    }
                }
            }
            for (to, mark, sent_ms) in std::mem::take(&mut late) {
                if now_ms > sent_ms {
                    let held_up = now_ms - sent_ms;
                    let mark = LogPosition { age_ms: mark.age_ms + held_up as u32, ..mark };
                    all[to].receive_position(now_ms, &mark);
                } else {
                    late.push((to, mark, sent_ms));
                }
            }
            for each in &all {
                if each.is_behind() {
                    continue;
                }
                let as_of_ms = now_ms - each.age_ms(now_ms);
                let unread = log.changes.iter().find(|(after, _)| each.next_offset() < Some(*after));
                prop_assert!(unread.is_none_or(|(_, at_ms)| *at_ms >= as_of_ms), "{unread:?} {each:?}");
            }
        }
    }
}
