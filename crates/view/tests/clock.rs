//! The fleet's wall-clock time.

use view::{FleetClock, GossipMessage, InstanceKey, MessageKind};

/// When this machine booted, in ms since 1970.
const BOOT_MS: u64 = 1_700_000_000_000;

fn message(from: &str, kind: MessageKind, clock_ms: u64) -> GossipMessage {
    GossipMessage {
        clock_ms,
        ..GossipMessage::new(InstanceKey::of(from), kind)
    }
}

/// Guards against windows that close before their counts have arrived, when a third of the clocks
/// jump at once, the hub's own among them.
#[test]
fn hub_takes_the_median_clock() {
    let mut clock = FleetClock::default();
    for number in 0..9 {
        let jump_ms = if number < 3 { 5_000 } else { 0 };
        let message = message(
            &number.to_string(),
            MessageKind::Report,
            BOOT_MS + 1_000 + jump_ms,
        );
        clock.receive(1_000, &message);
    }
    assert_eq!(clock.now_ms(1_000, BOOT_MS + 6_000), BOOT_MS + 1_000);
}

/// Guards against an instance that uses its own clock instead of its hub's time, also between two
/// datagrams and after its clock was set.
#[test]
fn reporter_adopts_the_time_of_its_hub() {
    let mut clock = FleetClock::default();
    assert_eq!(clock.now_ms(500, BOOT_MS + 3_500), BOOT_MS + 3_500);
    clock.receive(1_000, &message("hub", MessageKind::Digest, BOOT_MS + 1_000));
    assert_eq!(clock.now_ms(1_200, BOOT_MS + 4_200), BOOT_MS + 1_200);
    assert_eq!(clock.now_ms(9_000, BOOT_MS), BOOT_MS + 9_000);
}

/// Guards against clocks of vanished instances that outvote the present ones.
#[test]
fn stale_clock_samples_do_not_count() {
    let mut clock = FleetClock::default();
    for from in ["a", "b", "c"] {
        clock.receive(0, &message(from, MessageKind::Sum, BOOT_MS + 60_000));
    }
    assert_eq!(clock.now_ms(4_000, BOOT_MS + 4_000), BOOT_MS + 64_000);
    clock.receive(5_000, &message("d", MessageKind::Sum, BOOT_MS + 5_000));
    clock.receive(5_000, &message("e", MessageKind::Sum, BOOT_MS + 5_000));
    assert_eq!(clock.now_ms(5_500, BOOT_MS + 5_500), BOOT_MS + 5_500);
}
