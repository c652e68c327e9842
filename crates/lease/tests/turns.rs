//! Orders of many holders on one log, with suspensions, lost answers and late appends.

use std::collections::HashMap;

use lease::{Ticket, TurnTimes, Turns};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Time by which orders of two holders to one engine must be apart, in ms.
const LEASE_MS: u64 = 3_000;

/// Longest time for which the kernel repeats bytes that are not acknowledged, in ms.
const UNDERWAY_MS: u64 = 4_000;

/// Longest time after which a call without an answer has its connection reset, in ms.
const CALL_MS: u64 = 700;

/// A log that appends under a condition.
#[derive(Default)]
struct Log {
    holders: Vec<u64>,
}

impl Log {
    fn end(&self) -> u64 {
        self.holders.len() as u64
    }

    fn append_at(&mut self, holder: u64, end: u64) -> Option<u64> {
        (end == self.end()).then(|| {
            self.holders.push(holder);
            end
        })
    }

    fn read_by(&self, turns: &mut Turns, now_ms: u64) {
        turns.read(now_ms, self.holders.iter().copied(), self.end());
    }
}

fn order(log: &mut Log, turns: &mut Turns, now_ms: u64) -> Option<Ticket> {
    let end = turns.may_append(now_ms)?;
    let offset = log.append_at(turns.holder(), end)?;
    Some(turns.appended(now_ms, offset))
}

/// The first instance on an empty log orders at once; a second one that has read that order waits
/// until it cannot be under way any more, and then its token is the greater one.
#[test]
fn a_successor_waits_and_has_a_greater_token() {
    let mut log = Log::default();
    let (mut first, mut second) = (
        Turns::new(1, TurnTimes::of_orders(LEASE_MS)),
        Turns::new(2, TurnTimes::of_orders(LEASE_MS)),
    );
    log.read_by(&mut first, 0);
    let given = order(&mut log, &mut first, 10).expect("nobody else has ordered");
    log.read_by(&mut second, 20);
    assert_eq!(
        second.may_append(given.until_ms + UNDERWAY_MS + LEASE_MS),
        None
    );
    let later = order(&mut log, &mut second, 20_000).expect("quiet for long");
    assert!(later.fence > given.fence);
}

/// Both have read the same empty log and append at once. One append meets the condition, and the
/// other instance sends nothing.
#[test]
fn of_two_at_once_one_gets_the_right() {
    let mut log = Log::default();
    let (mut first, mut second) = (
        Turns::new(1, TurnTimes::of_orders(LEASE_MS)),
        Turns::new(2, TurnTimes::of_orders(LEASE_MS)),
    );
    log.read_by(&mut first, 0);
    log.read_by(&mut second, 0);
    assert!(order(&mut log, &mut first, 10).is_some());
    assert!(order(&mut log, &mut second, 10).is_none());
}

/// The append is done and the process is suspended before it sends. On waking its right has lapsed,
/// since time since boot went on.
#[test]
fn a_right_lapses_while_its_holder_is_suspended() {
    let mut log = Log::default();
    let mut turns = Turns::new(1, TurnTimes::of_orders(LEASE_MS));
    log.read_by(&mut turns, 0);
    let ticket = order(&mut log, &mut turns, 100).expect("nobody else has ordered");
    assert!(ticket.is_valid(1_000));
    assert!(!ticket.is_valid(9_000));
}

/// The answer to an append is lost, or the log's history was dropped unread: what stands in the log
/// is not known, so nothing is appended before it was read again.
#[test]
fn what_was_not_read_is_not_built_on() {
    let log = Log::default();
    let mut turns = Turns::new(1, TurnTimes::of_orders(LEASE_MS));
    log.read_by(&mut turns, 0);
    turns.lost_end();
    assert_eq!(turns.may_append(100), None);
    log.read_by(&mut turns, 200);
    assert_eq!(turns.may_append(300), Some(0));
    turns.lost_history(400);
    log.read_by(&mut turns, 500);
    assert_eq!(turns.may_append(600), None);
    assert_eq!(turns.may_append(400 + 1_500 + 5_000 + LEASE_MS), Some(0));
}

/// Guards against a successor that waits anew at each record though it had heard when it was made, and against one that counts
/// from what it heard though more was appended since.
#[test]
fn a_successor_counts_from_when_it_heard_of_a_record() {
    let times = TurnTimes::of_calls(LEASE_MS);
    let quiet_ms = times.send_ms + times.underway_ms + times.lease_ms;
    let mut log = Log::default();
    let (mut first, mut second) = (Turns::new(1, times), Turns::new(2, times));
    log.read_by(&mut first, 0);
    let given = order(&mut log, &mut first, 10).expect("nobody else has acted");
    second.heard(20, given.fence);
    second.heard(900, given.fence);
    log.read_by(&mut second, 4_000);
    assert_eq!(second.may_append(20 + quiet_ms - 1), None);
    assert_eq!(second.may_append(20 + quiet_ms), Some(1));
    order(&mut log, &mut first, 4_100).expect("it goes on");
    log.read_by(&mut second, 4_200);
    assert_eq!(second.may_append(4_200 + quiet_ms - 1), None);
}

/// What one of three instances does next.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// It reads the log.
    Read,
    /// It appends and keeps the right for later.
    Append,
    /// It appends and never hears of it; it has to read again.
    AppendUnheard,
    /// Its append is done now, though asked for some ms ago.
    AppendLate(u64),
    /// It sends what it has a right to.
    Send,
    /// It hears of the last record, whoever appended it.
    Hear,
    /// Its process is killed and another one starts on the same machine.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Read),
        4 => Just(Step::Append),
        1 => Just(Step::AppendUnheard),
        1 => (1_u64..6_000).prop_map(Step::AppendLate),
        4 => Just(Step::Send),
        2 => Just(Step::Hear),
        1 => Just(Step::Restart),
    ]
}

/// Mostly the time of a call, at times that of a suspension.
fn passed_ms() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0_u64..300, 1 => 0_u64..6_000]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(2_000)
    })]

    /// Whatever is lost, late, suspended or restarted, and whoever believes to be the one to order:
    /// no token is less than one that was sent before by another holder, none is sent twice, and sends
    /// of two holders are apart by the lease even if the first was under way for as long as can be.
    #[test]
    fn no_engine_hears_two_holders(steps in steps()) {
        hear_one_holder_at_a_time(TurnTimes::of_orders(LEASE_MS), UNDERWAY_MS, steps)?;
    }

    /// The same for calls, whose connections are reset when their time is up.
    #[test]
    fn no_call_is_heard_from_two_holders(steps in steps()) {
        hear_one_holder_at_a_time(TurnTimes::of_calls(LEASE_MS), CALL_MS, steps)?;
    }
}

fn steps() -> impl Strategy<Value = Vec<(usize, Step, u64)>> {
    prop::collection::vec((0_usize..3, step(), passed_ms()), 1..250)
}

fn hear_one_holder_at_a_time(
    times: TurnTimes,
    underway_ms: u64,
    steps: Vec<(usize, Step, u64)>,
) -> Result<(), TestCaseError> {
    let mut log = Log::default();
    let mut lives = 3;
    let mut all: Vec<Turns> = (1..=3).map(|holder| Turns::new(holder, times)).collect();
    let mut rights: HashMap<u64, (Ticket, u64)> = HashMap::new();
    let mut sent: Vec<(u64, u64, u64)> = Vec::new();
    let mut now_ms = 10_000;
    for (who, step, passed_ms) in steps {
        now_ms += passed_ms;
        let turns = &mut all[who];
        let holder = turns.holder();
        match step {
            Step::Read => log.read_by(turns, now_ms),
            Step::Hear => turns.heard(now_ms, log.end()),
            Step::Append => {
                if let Some(ticket) = order(&mut log, turns, now_ms) {
                    rights.insert(holder, (ticket, holder));
                } else {
                    turns.lost_end();
                }
            }
            Step::AppendUnheard => {
                if let Some(end) = turns.may_append(now_ms) {
                    log.append_at(holder, end);
                }
                turns.lost_end();
            }
            Step::AppendLate(late_ms) => {
                let asked_ms = now_ms - late_ms;
                if let Some(offset) = turns
                    .may_append(asked_ms)
                    .and_then(|end| log.append_at(holder, end))
                {
                    let ticket = turns.appended(asked_ms, offset);
                    rights.insert(holder, (ticket, holder));
                }
            }
            Step::Send => {
                if let Some((ticket, holder)) = rights.remove(&holder)
                    && ticket.is_valid(now_ms)
                {
                    sent.push((now_ms, holder, ticket.fence));
                }
            }
            Step::Restart => {
                lives += 1;
                rights.remove(&holder);
                *turns = Turns::new(lives, times);
            }
        }
    }
    for pair in sent.windows(2) {
        let ((at_ms, holder, fence), (next_ms, next_holder, next_fence)) = (pair[0], pair[1]);
        prop_assert!(next_fence > fence, "{pair:?}");
        if holder != next_holder {
            prop_assert!(next_ms >= at_ms + underway_ms + LEASE_MS, "{pair:?}");
        }
    }
    Ok(())
}
