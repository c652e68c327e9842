//! The time of day that a fleet goes by.

use view::{FleetClock, GossipMessage, InstanceKey, MessageKind};

/// When this machine booted, in ms since 1970.
const BOOT_MS: u64 = 1_700_000_000_000;

fn told(from: &str, kind: MessageKind, clock_ms: u64) -> GossipMessage {
    GossipMessage {
        clock_ms,
        ..GossipMessage::new(InstanceKey::of(from), kind)
    }
}

/// Guards against a third of the clocks that jump at once, the own one among them: windows would be closed before their
/// counts have come.
#[test]
fn a_hub_goes_by_what_most_clocks_say() {
    let mut clock = FleetClock::default();
    for number in 0..9 {
        let jump_ms = if number < 3 { 5_000 } else { 0 };
        let told = told(
            &number.to_string(),
            MessageKind::Report,
            BOOT_MS + 1_000 + jump_ms,
        );
        clock.receive(1_000, &told);
    }
    assert_eq!(clock.now_ms(1_000, BOOT_MS + 6_000), BOOT_MS + 1_000);
}

/// Guards against an instance that counts by its own clock beside a hub that knows better, also between two words and after
/// its clock was set.
#[test]
fn who_hears_a_hub_takes_its_word() {
    let mut clock = FleetClock::default();
    assert_eq!(clock.now_ms(500, BOOT_MS + 3_500), BOOT_MS + 3_500);
    clock.receive(1_000, &told("hub", MessageKind::Digest, BOOT_MS + 1_000));
    assert_eq!(clock.now_ms(1_200, BOOT_MS + 4_200), BOOT_MS + 1_200);
    assert_eq!(clock.now_ms(9_000, BOOT_MS), BOOT_MS + 9_000);
}

/// Guards against clocks of instances that are gone: what they said last must not outvote those that are there.
#[test]
fn a_clock_that_is_no_longer_heard_does_not_count() {
    let mut clock = FleetClock::default();
    for from in ["a", "b", "c"] {
        clock.receive(0, &told(from, MessageKind::Sum, BOOT_MS + 60_000));
    }
    assert_eq!(clock.now_ms(4_000, BOOT_MS + 4_000), BOOT_MS + 64_000);
    clock.receive(5_000, &told("d", MessageKind::Sum, BOOT_MS + 5_000));
    clock.receive(5_000, &told("e", MessageKind::Sum, BOOT_MS + 5_000));
    assert_eq!(clock.now_ms(5_500, BOOT_MS + 5_500), BOOT_MS + 5_500);
}
