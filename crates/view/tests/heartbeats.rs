//! Records of instances in the store: when they are written and read.

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

/// Calls of one instance in its first minute, that is ready from 400 ms on and hears the others from 1.1 s
/// on, among so many.
fn calls(instances: u64) -> (u32, u32) {
    let mut members = Members::default();
    let (mut reading, mut written) = (ReadSchedule::default(), WriteSchedule::new(0));
    let (mut reads, mut writes) = (0, 0);
    for now_ms in (0..60_000).step_by(50) {
        if reading.is_due(now_ms, &members, &written) {
            reads += 1;
            reading.next_offset = Some(now_ms);
            reading.record_read(now_ms);
            members.record_store_read(now_ms);
            // Before the others have written, the list is empty.
            for other in 0..if now_ms < 600 { 0 } else { instances } {
                members.record_heartbeat(now_ms, member(&format!("entry-{other}")));
            }
        }
        if now_ms >= 1_100 {
            members.record_alive(now_ms, InstanceKey::of("entry-1"));
        }
        if written.is_due(now_ms, now_ms >= 400, &members) {
            writes += 1;
            written.record_write(now_ms, now_ms >= 400, true);
        }
    }
    (reads, writes)
}

/// Three hundred instances start at once. Each makes three or four calls for its record and those of the
/// others in its first minute, where heartbeats every few seconds made dozens.
#[test]
fn records_are_few() {
    let (reads, writes) = calls(295);
    assert!(reads <= 3, "{reads}");
    assert_eq!(writes, 1);
    let (reads, writes) = calls(7);
    assert!(reads <= 8 && writes <= 6, "{reads} {writes}");
}

/// The store does not acknowledge an instance's only record. It writes again within a second: with the next
/// regular one, in minutes, nobody would know of it.
#[test]
fn an_unheard_record_is_written_again() {
    let members = Members::default();
    let mut written = WriteSchedule::new(0);
    assert!(written.is_due(0, true, &members));
    written.record_write(700, true, false);
    assert!(!written.is_due(800, true, &members));
    assert!(written.is_due(1_300, true, &members));
    written.record_write(1_310, true, true);
    assert!(!written.is_due(2_000, true, &members));
    assert!(written.is_due(2_000, false, &members), "it leaves");
}

/// One that hears nobody reads on every few seconds; it has nothing else to go by.
#[test]
fn who_hears_nobody_reads_on() {
    let mut members = Members::default();
    let written = WriteSchedule::new(0);
    let mut reading = ReadSchedule::default();
    for other in 0..300 {
        members.record_heartbeat(0, member(&format!("entry-{other}")));
    }
    let mut reads = 0;
    for now_ms in (0..60_000).step_by(50) {
        if reading.is_due(now_ms, &members, &written) {
            reads += 1;
            reading.next_offset = Some(1);
            reading.record_read(now_ms);
        }
    }
    assert_eq!(reads, 1, "its own record is not out yet");
    let mut written = written;
    written.record_write(100, true, true);
    for now_ms in (60_000..120_000).step_by(50) {
        if reading.is_due(now_ms, &members, &written) {
            reads += 1;
            reading.record_read(now_ms);
        }
    }
    assert!((20..30).contains(&reads), "{reads}");
}
