//! When heartbeat records are written to the store and read from it.

use view::heartbeats::{ReadSchedule, WriteSchedule};
use view::{InstanceKey, Member, Members};

fn member(name: &str) -> Member {
    Member {
        name: name.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        gossip_address: None,
        zone: "here".to_owned(),
        ready: true,
        heartbeat_seq: 1,
        link_mbps: 20,
    }
}

/// Reads and writes of one instance in its first minute, in a fleet of this size. The instance is
/// ready after 400 ms and receives gossip from 1.1 s on.
fn count_calls(instances: u64) -> (u32, u32) {
    let mut members = Members::default();
    let (mut read_schedule, mut write_schedule) = (ReadSchedule::default(), WriteSchedule::new(0));
    let (mut reads, mut writes) = (0, 0);
    for now_ms in (0..60_000).step_by(50) {
        if read_schedule.is_due(now_ms, &members, &write_schedule) {
            reads += 1;
            read_schedule.next_offset = Some(now_ms);
            read_schedule.record_read(now_ms);
            members.record_store_read(now_ms);
            // The list is empty until the other instances have written.
            for other in 0..if now_ms < 600 { 0 } else { instances } {
                members.record_heartbeat(now_ms, member(&format!("entry-{other}")));
            }
        }
        if now_ms >= 1_100 {
            members.record_alive(now_ms, InstanceKey::of("entry-1"));
        }
        if write_schedule.is_due(now_ms, now_ms >= 400, &members) {
            writes += 1;
            write_schedule.record_write(now_ms, now_ms >= 400, true);
        }
    }
    (reads, writes)
}

/// Guards against dozens of store calls per instance when a fleet of three hundred starts at once,
/// as heartbeats every few seconds caused.
#[test]
fn startup_takes_few_store_calls() {
    let (reads, writes) = count_calls(295);
    assert!(reads <= 3, "{reads}");
    assert_eq!(writes, 1);
    let (reads, writes) = count_calls(7);
    assert!(reads <= 8 && writes <= 6, "{reads} {writes}");
}

/// Guards against an instance that stays unknown for minutes, because its only record was not
/// acknowledged and the next regular one is far off.
#[test]
fn unacknowledged_heartbeat_is_retried() {
    let members = Members::default();
    let mut write_schedule = WriteSchedule::new(0);
    assert!(write_schedule.is_due(0, true, &members));
    write_schedule.record_write(700, true, false);
    assert!(!write_schedule.is_due(800, true, &members));
    assert!(write_schedule.is_due(1_300, true, &members));
    write_schedule.record_write(1_310, true, true);
    assert!(!write_schedule.is_due(2_000, true, &members));
    assert!(
        write_schedule.is_due(2_000, false, &members),
        "its readiness has changed"
    );
}

/// Guards against an instance that receives no gossip and stops reading, and so knows nothing of
/// its peers.
#[test]
fn isolated_instance_keeps_reading() {
    let mut members = Members::default();
    let write_schedule = WriteSchedule::new(0);
    let mut read_schedule = ReadSchedule::default();
    for other in 0..300 {
        members.record_heartbeat(0, member(&format!("entry-{other}")));
    }
    let mut reads = 0;
    for now_ms in (0..60_000).step_by(50) {
        if read_schedule.is_due(now_ms, &members, &write_schedule) {
            reads += 1;
            members.begin_store_read(now_ms);
            members.record_store_read(now_ms);
            read_schedule.next_offset = Some(1);
            read_schedule.record_read(now_ms);
        }
    }
    assert_eq!(reads, 1, "its own record is not written yet");
    let mut write_schedule = write_schedule;
    write_schedule.record_write(100, true, true);
    for now_ms in (60_000..120_000).step_by(50) {
        if read_schedule.is_due(now_ms, &members, &write_schedule) {
            reads += 1;
            members.begin_store_read(now_ms);
            members.record_store_read(now_ms);
            read_schedule.record_read(now_ms);
        }
    }
    assert!((20..30).contains(&reads), "{reads}");
}
