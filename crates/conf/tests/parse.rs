//! Parsing of settings and bundles: comments, positions in errors, and arbitrary input.

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
fn comments_are_accepted_and_missing_fields_get_their_defaults() {
    let settings = parse_settings(SETTINGS, "file").expect("valid settings");
    assert_eq!(settings.instance, "entry-1");
    assert_eq!(settings.lease.ttl_ms, 5_000);
    assert_eq!(settings.membership.fan_out, 3);
}

#[test]
fn an_unknown_key_is_rejected_with_its_line_number() {
    let text = SETTINGS.replace("\"region\"", "\"regoin\"");
    let error = parse_settings(&text, "file")
        .expect_err("invalid settings are rejected")
        .to_string();
    assert!(error.starts_with("file:5:"), "{error}");
    assert!(error.contains("regoin"), "{error}");
}

#[test]
fn a_duration_in_the_wrong_unit_is_rejected_with_its_field() {
    let text = SETTINGS.replace("\"region\"", "\"lease\": { \"ttl_ms\": 5 }, \"region\"");
    let error = parse_settings(&text, "file")
        .expect_err("invalid settings are rejected")
        .to_string();
    assert!(error.contains("lease.ttl_ms"), "{error}");
    let text = SETTINGS.replace("\"region\"", "\"lease\": { \"ttl_s\": 5 }, \"region\"");
    let error = parse_settings(&text, "file")
        .expect_err("invalid settings are rejected")
        .to_string();
    assert!(error.contains("ttl_s"), "{error}");
}

#[test]
fn a_lease_margin_shorter_than_a_delayed_order_is_rejected() {
    let text = SETTINGS.replace(
        "\"region\"",
        "\"lease\": { \"margin_ms\": 100 }, \"region\"",
    );
    let error = parse_settings(&text, "file")
        .expect_err("invalid settings are rejected")
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
    fn arbitrary_text_is_an_error_and_never_panics(text in ".{0,200}") {
        prop_assert!(parse_settings(&text, "file").is_err());
        prop_assert!(parse_bundle(&text, "file").is_err());
    }

    #[test]
    fn settings_with_one_changed_byte_are_rejected_or_still_valid(place in any::<prop::sample::Index>(), with in "[ -~]") {
        let place = place.index(SETTINGS.len());
        let mut text = SETTINGS.to_owned();
        text.replace_range(place..=place, &with);
        if let Ok(settings) = parse_settings(&text, "file") {
            prop_assert!(conf::is_name(&settings.instance));
        }
    }
}
