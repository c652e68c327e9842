//! Orders of many holders on one log, with suspensions, lost answers and late appends.

use std::collections::HashMap;

use lease::{AppendLease, AppendLeaseTimes, SendPermit};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Time by which orders of two holders to one engine must be apart, in ms.
const LEASE_MS: u64 = 3_000;

/// Longest time for which the kernel repeats bytes that are not acknowledged, in ms.
const IN_FLIGHT_MS: u64 = 4_000;

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

    fn read_by(&self, lease: &mut AppendLease, now_ms: u64) {
        lease.record_read(now_ms, self.holders.iter().copied(), self.end());
    }
}

fn order(log: &mut Log, lease: &mut AppendLease, now_ms: u64) -> Option<SendPermit> {
    let end = lease.append_offset(now_ms)?;
    let offset = log.append_at(lease.holder(), end)?;
    Some(lease.record_append(now_ms, offset))
}

/// The first instance on an empty log orders at once; a second one that has read that order waits
/// until it cannot be under way any more, and then its token is the greater one.
#[test]
fn a_successor_waits_and_has_a_greater_token() {
    let mut log = Log::default();
    let (mut first, mut second) = (
        AppendLease::new(1, AppendLeaseTimes::for_orders(LEASE_MS)),
        AppendLease::new(2, AppendLeaseTimes::for_orders(LEASE_MS)),
    );
    log.read_by(&mut first, 0);
    let given = order(&mut log, &mut first, 10).expect("nobody else has ordered");
    log.read_by(&mut second, 20);
    assert_eq!(
        second.append_offset(given.expires_ms + IN_FLIGHT_MS + LEASE_MS),
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
        AppendLease::new(1, AppendLeaseTimes::for_orders(LEASE_MS)),
        AppendLease::new(2, AppendLeaseTimes::for_orders(LEASE_MS)),
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
    let mut lease = AppendLease::new(1, AppendLeaseTimes::for_orders(LEASE_MS));
    log.read_by(&mut lease, 0);
    let permit = order(&mut log, &mut lease, 100).expect("nobody else has ordered");
    assert!(permit.is_valid(1_000));
    assert!(!permit.is_valid(9_000));
}

/// The answer to an append is lost, or the log's history was dropped unread: what stands in the log
/// is not known, so nothing is appended before it was read again.
#[test]
fn what_was_not_read_is_not_built_on() {
    let log = Log::default();
    let mut lease = AppendLease::new(1, AppendLeaseTimes::for_orders(LEASE_MS));
    log.read_by(&mut lease, 0);
    lease.invalidate_end();
    assert_eq!(lease.append_offset(100), None);
    log.read_by(&mut lease, 200);
    assert_eq!(lease.append_offset(300), Some(0));
    lease.invalidate_history(400);
    log.read_by(&mut lease, 500);
    assert_eq!(lease.append_offset(600), None);
    assert_eq!(lease.append_offset(400 + 1_500 + 5_000 + LEASE_MS), Some(0));
}

/// Guards against a successor that waits anew at each record though it had heard when it was made, and against one that counts
/// from what it heard though more was appended since.
#[test]
fn a_successor_counts_from_when_it_heard_of_a_record() {
    let times = AppendLeaseTimes::for_cloud_calls(LEASE_MS);
    let quiet_ms = times.send_window_ms + times.in_flight_ms + times.lease_ms;
    let mut log = Log::default();
    let (mut first, mut second) = (AppendLease::new(1, times), AppendLease::new(2, times));
    log.read_by(&mut first, 0);
    let given = order(&mut log, &mut first, 10).expect("nobody else has acted");
    second.observe_fence(20, given.fence);
    second.observe_fence(900, given.fence);
    log.read_by(&mut second, 4_000);
    assert_eq!(second.append_offset(20 + quiet_ms - 1), None);
    assert_eq!(second.append_offset(20 + quiet_ms), Some(1));
    order(&mut log, &mut first, 4_100).expect("it goes on");
    log.read_by(&mut second, 4_200);
    assert_eq!(second.append_offset(4_200 + quiet_ms - 1), None);
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
        hear_one_holder_at_a_time(AppendLeaseTimes::for_orders(LEASE_MS), IN_FLIGHT_MS, steps)?;
    }

    /// The same for calls, whose connections are reset when their time is up.
    #[test]
    fn no_call_is_heard_from_two_holders(steps in steps()) {
        hear_one_holder_at_a_time(AppendLeaseTimes::for_cloud_calls(LEASE_MS), CALL_MS, steps)?;
    }
}

fn steps() -> impl Strategy<Value = Vec<(usize, Step, u64)>> {
    prop::collection::vec((0_usize..3, step(), passed_ms()), 1..250)
}

fn hear_one_holder_at_a_time(
    times: AppendLeaseTimes,
    in_flight_ms: u64,
    steps: Vec<(usize, Step, u64)>,
) -> Result<(), TestCaseError> {
    let mut log = Log::default();
    let mut lives = 3;
    let mut all: Vec<AppendLease> = (1..=3)
        .map(|holder| AppendLease::new(holder, times))
        .collect();
    let mut rights: HashMap<u64, (SendPermit, u64)> = HashMap::new();
    let mut sent: Vec<(u64, u64, u64)> = Vec::new();
    let mut now_ms = 10_000;
    for (who, step, passed_ms) in steps {
        now_ms += passed_ms;
        let lease = &mut all[who];
        let holder = lease.holder();
        match step {
            Step::Read => log.read_by(lease, now_ms),
            Step::Hear => lease.observe_fence(now_ms, log.end()),
            Step::Append => {
                if let Some(permit) = order(&mut log, lease, now_ms) {
                    rights.insert(holder, (permit, holder));
                } else {
                    lease.invalidate_end();
                }
            }
            Step::AppendUnheard => {
                if let Some(end) = lease.append_offset(now_ms) {
                    log.append_at(holder, end);
                }
                lease.invalidate_end();
            }
            Step::AppendLate(late_ms) => {
                let asked_ms = now_ms - late_ms;
                if let Some(offset) = lease
                    .append_offset(asked_ms)
                    .and_then(|end| log.append_at(holder, end))
                {
                    let permit = lease.record_append(asked_ms, offset);
                    rights.insert(holder, (permit, holder));
                }
            }
            Step::Send => {
                if let Some((permit, holder)) = rights.remove(&holder)
                    && permit.is_valid(now_ms)
                {
                    sent.push((now_ms, holder, permit.fence));
                }
            }
            Step::Restart => {
                lives += 1;
                rights.remove(&holder);
                *lease = AppendLease::new(lives, times);
            }
        }
    }
    for pair in sent.windows(2) {
        let ((at_ms, holder, fence), (next_ms, next_holder, next_fence)) = (pair[0], pair[1]);
        prop_assert!(next_fence > fence, "{pair:?}");
        if holder != next_holder {
            prop_assert!(next_ms >= at_ms + in_flight_ms + LEASE_MS, "{pair:?}");
        }
    }
    Ok(())
}
