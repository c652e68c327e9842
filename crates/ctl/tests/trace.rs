//! Timelines of requests from several logs.

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

/// Includes the lines of the request and of its upstream in order of time, but neither lines of
/// other requests nor lines after its end.
#[test]
fn lines_of_one_request_are_gathered() {
    let logs = [
        ("a".to_owned(), ONE.to_owned()),
        ("b".to_owned(), TWO.to_owned()),
    ];
    insta::assert_snapshot!(request_timeline("ab", &logs));
}

#[test]
fn a_request_without_log_lines_is_reported() {
    let logs = [("a".to_owned(), ONE.to_owned())];
    assert!(request_timeline("zz", &logs).contains("no line on zz"));
}

/// Guards against a refusal whose cause is not shown, since the request was sent to no upstream: one upstream of
/// its service announced long before that it leaves, one rests, and one has rested.
#[test]
fn announcements_that_hold_are_gathered() {
    let log = r#"{"wall_ms":1000,"message":"upstream announces that it is leaving","upstream":"i-1","service":"desk"}
{"wall_ms":2000,"message":"upstream asks for rest","upstream":"i-2","service":"desk","rest_left_ms":30000}
{"wall_ms":2000,"message":"upstream asks for rest","upstream":"i-3","service":"desk","rest_left_ms":3000}
{"wall_ms":2000,"message":"upstream asks for rest","upstream":"i-4","service":"llm","rest_left_ms":30000}
{"wall_ms":20000,"message":"request not served","request":"ab","service":"desk","reason":"all upstreams asked for rest"}
"#;
    let logs = [("a".to_owned(), log.to_owned())];
    let timeline = request_timeline("ab", &logs);
    let is_shown = ["i-1", "i-2", "i-3", "i-4"].map(|id| timeline.contains(id));
    assert_eq!(is_shown, [true, true, false, false], "{timeline}");
}

/// Guards against a request that seems served or refused by chance, since its instance was cut off and a peer served it:
/// the paths that held at the instances of the request are shown, and no others.
#[test]
fn the_paths_of_the_requests_instances_are_gathered() {
    let cut_off = r#"{"wall_ms":1000,"message":"path to the upstreams of a service changed","service":"desk","before":"Reached","after":"CutOff"}
{"wall_ms":1000,"message":"path to the upstreams of a service changed","service":"llm","before":"Reached","after":"CutOff"}
{"wall_ms":9000,"message":"request served by another instance: this one is cut off from upstreams","request":"ab","service":"desk","to":"b"}
"#;
    let helping = r#"{"wall_ms":500,"message":"path to the upstreams of a service changed","service":"desk","before":"Reached","after":"Down"}
{"wall_ms":800,"message":"path to the upstreams of a service changed","service":"desk","before":"Down","after":"Reached"}
{"wall_ms":8990,"message":"request taken over from another instance: that one is cut off from upstreams","request":"ab","service":"desk","from":"a"}
"#;
    let idle = r#"{"wall_ms":1000,"message":"path to the upstreams of a service changed","service":"desk","before":"Reached","after":"CutOff"}
"#;
    let logs = [("a", cut_off), ("b", helping), ("c", idle)];
    let logs = logs.map(|(name, log)| (name.to_owned(), log.to_owned()));
    insta::assert_snapshot!(request_timeline("ab", &logs));
}
