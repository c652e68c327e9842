//! Orders of several holders on one log, with suspensions, lost answers and late appends.

use std::collections::HashMap;

use lease::{AppendLease, AppendLeaseTimes, SendPermit};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Minimum time between orders of two holders to one engine, in ms.
const LEASE_MS: u64 = 3_000;

/// Longest time for which the kernel retransmits unacknowledged bytes, in ms.
const IN_FLIGHT_MS: u64 = 4_000;

/// Longest time until the connection of an unanswered call is reset, in ms.
const CALL_MS: u64 = 700;

/// A log with conditional appends.
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

fn append(log: &mut Log, lease: &mut AppendLease, now_ms: u64) -> Option<SendPermit> {
    let end = lease.append_offset(now_ms)?;
    let offset = log.append_at(lease.holder(), end)?;
    Some(lease.record_append(now_ms, offset))
}

/// The first instance on an empty log may append at once. A second one that has read that order
/// waits until it cannot be in flight any more, and then gets a greater token.
#[test]
fn a_successor_waits_and_has_a_greater_token() {
    let mut log = Log::default();
    let (mut first, mut second) = (
        AppendLease::new(1, AppendLeaseTimes::for_orders(LEASE_MS)),
        AppendLease::new(2, AppendLeaseTimes::for_orders(LEASE_MS)),
    );
    log.read_by(&mut first, 0);
    let given = append(&mut log, &mut first, 10).expect("no other holder");
    log.read_by(&mut second, 20);
    assert_eq!(
        second.append_offset(given.expires_ms + IN_FLIGHT_MS + LEASE_MS),
        None
    );
    let later = append(&mut log, &mut second, 20_000).expect("the log was quiet for long enough");
    assert!(later.fence > given.fence);
}

/// Two instances have read the same empty log and append at the same time. Only one append meets
/// the condition, so the other instance sends nothing.
#[test]
fn only_one_of_two_concurrent_appends_is_permitted() {
    let mut log = Log::default();
    let (mut first, mut second) = (
        AppendLease::new(1, AppendLeaseTimes::for_orders(LEASE_MS)),
        AppendLease::new(2, AppendLeaseTimes::for_orders(LEASE_MS)),
    );
    log.read_by(&mut first, 0);
    log.read_by(&mut second, 0);
    assert!(append(&mut log, &mut first, 10).is_some());
    assert!(append(&mut log, &mut second, 10).is_none());
}

/// The process is suspended between append and send. When it resumes its permit has expired, since
/// the time since boot includes the suspension.
#[test]
fn a_permit_expires_while_its_holder_is_suspended() {
    let mut log = Log::default();
    let mut lease = AppendLease::new(1, AppendLeaseTimes::for_orders(LEASE_MS));
    log.read_by(&mut lease, 0);
    let permit = append(&mut log, &mut lease, 100).expect("no other holder");
    assert!(permit.is_valid(1_000));
    assert!(!permit.is_valid(9_000));
}

/// The answer to an append is lost, or records were dropped before they were read. The end of the
/// log is then unknown, and nothing may be appended until it is read again.
#[test]
fn nothing_is_appended_to_an_unread_log() {
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

/// A successor counts its wait from when it observed a holder's token, not from when it read the
/// record, but only if no record was appended after that token. Guards against a wait that restarts
/// with each read, and against one that ignores later records.
#[test]
fn a_successor_waits_from_when_it_observed_a_token() {
    let times = AppendLeaseTimes::for_api_calls(LEASE_MS);
    let quiet_ms = times.send_window_ms + times.in_flight_ms + times.lease_ms;
    let mut log = Log::default();
    let (mut first, mut second) = (AppendLease::new(1, times), AppendLease::new(2, times));
    log.read_by(&mut first, 0);
    let given = append(&mut log, &mut first, 10).expect("no other holder");
    second.observe_fence(20, given.fence);
    second.observe_fence(900, given.fence);
    log.read_by(&mut second, 4_000);
    assert_eq!(second.append_offset(20 + quiet_ms - 1), None);
    assert_eq!(second.append_offset(20 + quiet_ms), Some(1));
    append(&mut log, &mut first, 4_100).expect("the holder may append again");
    log.read_by(&mut second, 4_200);
    assert_eq!(second.append_offset(4_200 + quiet_ms - 1), None);
}

/// Next step of one of three instances.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Reads the log.
    Read,
    /// Appends and keeps the permit for later.
    Append,
    /// Appends, but the answer is lost, so the log must be read again.
    AppendUnanswered,
    /// Appends after a delay, in ms, since the request.
    AppendLate(u64),
    /// Sends the order that it has a permit for.
    Send,
    /// Observes the token of the last record, whoever appended it.
    Observe,
    /// The process is killed and another one starts on the same machine.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Read),
        4 => Just(Step::Append),
        1 => Just(Step::AppendUnanswered),
        1 => (1_u64..6_000).prop_map(Step::AppendLate),
        4 => Just(Step::Send),
        2 => Just(Step::Observe),
        1 => Just(Step::Restart),
    ]
}

/// Time between steps: usually that of a call, sometimes that of a suspension.
fn passed_ms() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0_u64..300, 1 => 0_u64..6_000]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(2_000)
    })]

    /// With lost and late answers, suspensions and restarts, and with several instances that order:
    /// sent tokens only increase, none is sent twice, and orders of two holders are at least the
    /// lease apart even if the first was in flight for the longest possible time.
    #[test]
    fn orders_of_two_holders_do_not_overlap(steps in steps()) {
        check_one_holder_at_a_time(AppendLeaseTimes::for_orders(LEASE_MS), IN_FLIGHT_MS, steps)?;
    }

    /// The same for calls to the platform, whose connections are reset on a timeout.
    #[test]
    fn calls_of_two_holders_do_not_overlap(steps in steps()) {
        check_one_holder_at_a_time(AppendLeaseTimes::for_api_calls(LEASE_MS), CALL_MS, steps)?;
    }
}

fn steps() -> impl Strategy<Value = Vec<(usize, Step, u64)>> {
    prop::collection::vec((0_usize..3, step(), passed_ms()), 1..250)
}

fn check_one_holder_at_a_time(
    times: AppendLeaseTimes,
    in_flight_ms: u64,
    steps: Vec<(usize, Step, u64)>,
) -> Result<(), TestCaseError> {
    let mut log = Log::default();
    let mut incarnations = 3;
    let mut leases: Vec<AppendLease> = (1..=3)
        .map(|holder| AppendLease::new(holder, times))
        .collect();
    let mut permits: HashMap<u64, (SendPermit, u64)> = HashMap::new();
    let mut sent: Vec<(u64, u64, u64)> = Vec::new();
    let mut now_ms = 10_000;
    for (index, step, passed_ms) in steps {
        now_ms += passed_ms;
        let lease = &mut leases[index];
        let holder = lease.holder();
        match step {
            Step::Read => log.read_by(lease, now_ms),
            Step::Observe => lease.observe_fence(now_ms, log.end()),
            Step::Append => {
                if let Some(permit) = append(&mut log, lease, now_ms) {
                    permits.insert(holder, (permit, holder));
                } else {
                    lease.invalidate_end();
                }
            }
            Step::AppendUnanswered => {
                if let Some(end) = lease.append_offset(now_ms) {
                    log.append_at(holder, end);
                }
                lease.invalidate_end();
            }
            Step::AppendLate(delay_ms) => {
                let requested_ms = now_ms - delay_ms;
                if let Some(offset) = lease
                    .append_offset(requested_ms)
                    .and_then(|end| log.append_at(holder, end))
                {
                    let permit = lease.record_append(requested_ms, offset);
                    permits.insert(holder, (permit, holder));
                }
            }
            Step::Send => {
                if let Some((permit, holder)) = permits.remove(&holder)
                    && permit.is_valid(now_ms)
                {
                    sent.push((now_ms, holder, permit.fence));
                }
            }
            Step::Restart => {
                incarnations += 1;
                permits.remove(&holder);
                *lease = AppendLease::new(incarnations, times);
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
