//! How often the store is asked while it is away.

use view::hubs;
use view::polling::{FreshnessBounds, ReaderRole, reader_role};

/// The store is away for seven seconds before fleets of several sizes, and each instance goes on asking for
/// the list and the configuration. Few instances ask often, so that its return is noticed at once; of hundreds
/// most wait for their word, and ask themselves within a fourth of the bound.
#[test]
fn an_outage_does_not_make_all_ask() {
    const AWAY_MS: u64 = 7_000;
    let bounds = FreshnessBounds {
        drain_ms: 4_000,
        config_ms: 4_000,
    };
    for (instances, most) in [(7, 700), (80, 2_000), (295, 5_600)] {
        let hubs = hubs::count(instances);
        let rests_ms =
            (0..instances).map(|rank| bounds.retry_pause_ms(reader_role(rank, instances, hubs)));
        let calls: u64 = rests_ms.clone().map(|rest_ms| 2 * AWAY_MS / rest_ms).sum();
        assert!(calls <= most, "{instances}: {calls}");
        assert!(rests_ms.max() <= Some(bounds.config_ms / 4));
    }
    assert_eq!(bounds.retry_pause_ms(ReaderRole::Hub), 150);
}
