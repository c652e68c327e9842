//! A request's story from several logs.

use ctl::request_timeline;

const ONE: &str = r#"{"wall_ms":1000,"level":"INFO","message":"upstream changed","upstream":"i-1"}
{"wall_ms":3000,"level":"INFO","message":"request not sent","request":"ab","upstream":"i-1","fault":"refused"}
not json
{"wall_ms":3010,"level":"INFO","message":"answer lost","request":"cd","upstream":"i-1"}
{"wall_ms":3020,"level":"INFO","message":"request not served","request":"ab","reason":"no upstream is free","sends":0}
"#;
const TWO: &str = r#"{"wall_ms":3005,"level":"INFO","message":"upstream left","upstream":"i-1"}
{"wall_ms":3500,"level":"INFO","message":"upstream left","upstream":"i-1"}
"#;

/// The lines of the request and of its upstream come in the order of time; those of other
/// requests, and what came after its end, do not.
#[test]
fn lines_of_one_request_are_gathered() {
    let logs = [
        ("a".to_owned(), ONE.to_owned()),
        ("b".to_owned(), TWO.to_owned()),
    ];
    insta::assert_snapshot!(request_timeline("ab", &logs));
}

#[test]
fn a_request_that_nobody_logged_is_said_to_be_so() {
    let logs = [("a".to_owned(), ONE.to_owned())];
    assert!(request_timeline("zz", &logs).contains("no line on zz"));
}
