//! Rest that upstreams ask for.

use plan::{MAX_REST_MS, Rest, common_rest_ms};
use proptest::prelude::*;

/// Guards against a later rejection that shortens the rest of an earlier one, and against one that is kept for
/// hours.
#[test]
fn a_rest_is_extended_and_bounded() {
    let mut rest = Rest::default();
    assert_eq!(rest.left_ms(1_000), 0);
    assert!(rest.extend(1_000, 3_000));
    assert!(!rest.extend(2_000, 500));
    assert_eq!(rest.left_ms(2_000), 2_000);
    assert!(rest.extend(3_000, 3_000));
    assert_eq!((rest.left_ms(5_999), rest.left_ms(6_000)), (1, 0));
    assert!(rest.extend(7_000, u64::MAX));
    assert_eq!(rest.left_ms(7_000), MAX_REST_MS);
}

/// Guards against a service that counts as resting while one of its upstreams may be used.
#[test]
fn a_service_rests_only_as_a_whole() {
    assert_eq!(common_rest_ms([]), None);
    assert_eq!(common_rest_ms([900, 0, 300]), None);
    assert_eq!(common_rest_ms([900, 300]), Some(300));
}

proptest! {
    /// Each rejection's time is kept to its end, whatever comes after it.
    #[test]
    fn each_rest_is_kept_to_its_end(asked in prop::collection::vec((0u64..500, 0u64..5_000), 1..20)) {
        let mut rest = Rest::default();
        let mut now_ms = 0;
        let mut longest_ms = 0;
        for (pause_ms, rest_ms) in asked {
            now_ms += pause_ms;
            rest.extend(now_ms, rest_ms);
            longest_ms = longest_ms.max(now_ms + rest_ms);
            prop_assert_eq!(rest.left_ms(now_ms), longest_ms - now_ms);
        }
    }
}
