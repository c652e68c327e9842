//! Properties of a log follower under any order of reads and gossip.

mod common;

use common::log::{Log, follower_of};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use view::{GossipedChange, ListChange, LogPosition};

/// Longest delay of a position in the first property, in ms.
const MAX_DELAY_MS: u64 = 100;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::default()
    })]

    /// Positions are delayed in transit and in sockets, which their ages do not show. An instance
    /// may believe its knowledge to be younger by that delay, once for each instance that passed it
    /// on, but never by more: no change stays hidden.
    #[test]
    fn delays_hide_no_change_for_long(
        steps in prop::collection::vec((0_usize..3, 0_usize..3, 0_u8..24, 0_u64..MAX_DELAY_MS, 0_u64..MAX_DELAY_MS), 1..600)
    ) {
        let mut log = Log::default();
        let mut all = [follower_of(0), follower_of(1), follower_of(2)];
        // The last instance reads only once, like one that depends on the gossip of the readers.
        for each in &mut all {
            log.read_by(each, 1_000);
        }
        let mut in_transit: Vec<(u64, usize, LogPosition)> = Vec::new();
        let mut now_ms = 1_000;
        for (index, peer, step, passed_ms, delay_ms) in steps {
            now_ms += passed_ms / 8;
            match step {
                0 => log.write(now_ms, false),
                1 => log.write(now_ms, true),
                2..=4 if index < 2 => log.read_by(&mut all[index], now_ms),
                5 if index < 2 => all[index].record_snapshot(now_ms, log.end),
                _ => {
                    let position = all[index].position(now_ms, true);
                    in_transit.extend(position.map(|position| (now_ms + delay_ms, peer, position)));
                }
            }
            in_transit.retain(|(at_ms, to, position)| {
                let has_arrived = *at_ms <= now_ms;
                if has_arrived {
                    all[*to].receive_position(now_ms, position);
                }
                !has_arrived
            });
            let max_hidden_ms = MAX_DELAY_MS * all.len() as u64;
            for each in all.iter().filter(|each| !each.is_behind()) {
                let as_of_ms = now_ms - each.age_ms(now_ms);
                let unread = log.changes.iter().find(|(after, _)| each.next_offset() < Some(*after));
                let is_recent = |(_, at_ms): &(u64, u64)| at_ms + max_hidden_ms >= as_of_ms;
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

    /// An instance that claims to know all changes as of a time has read every change up to then,
    /// whatever instances read and gossip and however many positions are late or lost.
    #[test]
    fn believed_knowledge_is_true(
        steps in prop::collection::vec((0_usize..4, 0_usize..4, 0_u8..8, 0_u64..300), 1..300)
    ) {
        let mut log = Log::default();
        let mut all = [follower_of(0), follower_of(1), follower_of(2), follower_of(3)];
        let mut late: Vec<(usize, LogPosition, u64)> = Vec::new();
        let mut now_ms = 1_000;
        for (index, peer, step, passed_ms) in steps {
            now_ms += passed_ms;
            match step {
                0 => log.write(now_ms, false),
                1 => log.write(now_ms, true),
                2 => log.read_by(&mut all[index], now_ms),
                3 => {
                    if let Some(position) = all[index].position(now_ms, true) {
                        all[peer].receive_position(now_ms, &position);
                    }
                }
                4 => {
                    // A position that is received late seems younger than it is by its delay.
                    late.extend(all[index].position(now_ms, true).map(|position| (peer, position, now_ms)));
                }
                5 => all[index].require_full_read(),
                6 => all[index].record_snapshot(now_ms, log.end),
                _ => {
                    let last = log.changes.iter().rev();
                    let mut last = last.map(|(after, _)| *after);
                    if let Some(after) = last.next() {
                        let before = last.next().unwrap_or_default();
                        let change = GossipedChange {
                            previous_offset: before,
                            offset: after,
                            change: ListChange::Gone(String::new()),
                            unconfirmed_ms: 0,
                        };
                        all[index].apply_change(&change);
                    }
                }
            }
            for (to, position, sent_ms) in std::mem::take(&mut late) {
                if now_ms > sent_ms {
                    let delay_ms = now_ms - sent_ms;
                    let position = LogPosition { age_ms: position.age_ms + delay_ms as u32, ..position };
                    all[to].receive_position(now_ms, &position);
                } else {
                    late.push((to, position, sent_ms));
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
