//! Short names.

use view::RequestKey;

/// Attempts of one request come in at different instances under ids of their own; lines and beliefs on them
/// must meet under one name, and those on any other request must not.
#[test]
fn a_request_has_one_name_whichever_attempt_it_is() {
    let key = RequestKey::of("host.test", "POST", "/a/1", b"body");
    assert_eq!(key, RequestKey::of("host.test", "POST", "/a/1", b"body"));
    assert_eq!(key.to_string().parse(), Ok(key));
    let others = [
        RequestKey::of("other.test", "POST", "/a/1", b"body"),
        RequestKey::of("host.test", "GET", "/a/1", b"body"),
        RequestKey::of("host.test", "POST", "/a/1?x", b"body"),
        RequestKey::of("host.test", "POST", "/a/", b"1body"),
        RequestKey::of("host.test", "POST", "/a/1", b""),
    ];
    assert!(others.iter().all(|other| *other != key), "{others:?}");
}
