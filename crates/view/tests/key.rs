//! Keys in datagrams.

use view::RequestKey;

/// Attempts of one request arrive at different instances with different ids. Log lines and evidence
/// must find them under one key, and no other request under that key.
#[test]
fn attempts_of_a_request_share_its_key() {
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

/// Guards against callers that send the same small request being taken for one: what ends upstreams for one of them would
/// be refused for all.
#[test]
fn requests_of_different_callers_have_different_keys() {
    let key = RequestKey::of("host.test", "GET", "/a/1", b"");
    assert_ne!(key.of_caller(Some("one")), key.of_caller(Some("other")));
    assert_eq!(key.of_caller(Some("one")), key.of_caller(Some("one")));
    assert_eq!(key.of_caller(None), key);
}
