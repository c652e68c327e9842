//! Settings and bundles: comments, places of errors, and no text that does harm.

use conf::{parse_bundle, parse_settings};
use proptest::prelude::*;

const SETTINGS: &str = r#"{
  // An instance of the exchange.
  "instance": "entry-1",
  "zone": "salt-lake", /* nearest to the docks */
  "region": "kolkata",
  "platform": { "log": "127.0.0.1:1", "instances": "127.0.0.1:2" }
}"#;

#[test]
fn comments_are_allowed_and_defaults_filled_in() {
    let settings = parse_settings(SETTINGS, "file").expect("well formed");
    assert_eq!(settings.instance, "entry-1");
    assert_eq!(settings.lease.ttl_ms, 5_000);
    assert_eq!(settings.membership.fan_out, 3);
}

#[test]
fn an_unknown_key_is_refused_with_its_line() {
    let text = SETTINGS.replace("\"region\"", "\"regoin\"");
    let error = parse_settings(&text, "file")
        .expect_err("refused")
        .to_string();
    assert!(error.starts_with("file:5:"), "{error}");
    assert!(error.contains("regoin"), "{error}");
}

#[test]
fn a_time_in_the_wrong_unit_is_refused_by_name() {
    let text = SETTINGS.replace("\"region\"", "\"lease\": { \"ttl_ms\": 5 }, \"region\"");
    let error = parse_settings(&text, "file")
        .expect_err("refused")
        .to_string();
    assert!(error.contains("lease.ttl_ms"), "{error}");
    let text = SETTINGS.replace("\"region\"", "\"lease\": { \"ttl_s\": 5 }, \"region\"");
    let error = parse_settings(&text, "file")
        .expect_err("refused")
        .to_string();
    assert!(error.contains("ttl_s"), "{error}");
}

#[test]
fn a_margin_that_an_order_could_outlast_is_refused() {
    let text = SETTINGS.replace(
        "\"region\"",
        "\"lease\": { \"margin_ms\": 100 }, \"region\"",
    );
    let error = parse_settings(&text, "file")
        .expect_err("refused")
        .to_string();
    assert!(error.contains("lease.margin_ms"), "{error}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn foreign_text_is_an_error_and_no_panic(text in ".{0,200}") {
        prop_assert!(parse_settings(&text, "file").is_err());
        prop_assert!(parse_bundle(&text, "file").is_err());
    }

    #[test]
    fn damaged_settings_are_an_error_or_still_sound(place in any::<prop::sample::Index>(), with in "[ -~]") {
        let place = place.index(SETTINGS.len());
        let mut text = SETTINGS.to_owned();
        text.replace_range(place..=place, &with);
        if let Ok(settings) = parse_settings(&text, "file") {
            prop_assert!(conf::is_name(&settings.instance));
        }
    }
}
