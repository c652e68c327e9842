//! How often the store is called during an outage.

use view::hubs;
use view::polling::{FreshnessBounds, ReaderRole, reader_role};

/// Guards against a flood of calls during a seven-second outage, in which each instance retries its
/// reads of the list and the configuration. A few instances retry fast, so that the store's return
/// is noticed at once; the others wait, but no longer than a quarter of the bound.
#[test]
fn few_instances_retry_fast_during_an_outage() {
    const OUTAGE_MS: u64 = 7_000;
    let bounds = FreshnessBounds {
        drain_ms: 4_000,
        config_ms: 4_000,
    };
    for (instances, max_calls) in [(7, 700), (80, 2_000), (295, 5_600)] {
        let hubs = hubs::count(instances);
        let pauses_ms =
            (0..instances).map(|rank| bounds.retry_pause_ms(reader_role(rank, instances, hubs)));
        let calls: u64 = pauses_ms
            .clone()
            .map(|pause_ms| 2 * OUTAGE_MS / pause_ms)
            .sum();
        assert!(calls <= max_calls, "{instances}: {calls}");
        assert!(pauses_ms.max() <= Some(bounds.config_ms / 4));
    }
    assert_eq!(bounds.retry_pause_ms(ReaderRole::Hub), 150);
}
