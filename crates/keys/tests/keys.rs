//! Hashes of API keys, and their owners.

use keys::{KeyHash, KeyHashError, Keyring};

#[test]
fn hash_round_trips_in_hexadecimal() {
    let hash = KeyHash::of(b"abc");
    let text = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(hash.to_string(), text);
    assert_eq!(text.to_uppercase().parse(), Ok(hash));
    let json = serde_json::to_string(&hash).unwrap();
    assert_eq!(serde_json::from_str::<KeyHash>(&json).unwrap(), hash);
}

#[test]
fn malformed_hash_is_rejected() {
    for text in ["", "ba78", &"z".repeat(64), &"é".repeat(32)] {
        assert_eq!(text.parse::<KeyHash>(), Err(KeyHashError), "{text}");
    }
}

/// A key in another case, or with a blank, is another key.
#[test]
fn each_byte_of_a_key_counts() {
    let mut keyring = Keyring::default();
    keyring.add(KeyHash::of(b"key"), "one");
    let owner = |key: &[u8]| keyring.owner(&KeyHash::of(key)).copied();
    assert_eq!(owner(b"key"), Some("one"));
    for other in [&b"KEY"[..], b" key", b"key ", b"ke", b""] {
        assert_eq!(owner(other), None);
    }
}

/// Guards against a later entry that takes over the callers of an earlier one with the same key.
#[test]
fn a_key_stays_with_its_first_owner() {
    let mut keyring = Keyring::default();
    keyring.add(KeyHash::of(b"key"), "one");
    keyring.add(KeyHash::of(b"key"), "two");
    assert_eq!(keyring.owner(&KeyHash::of(b"key")), Some(&"one"));
    assert_eq!(keyring.len(), 1);
}
