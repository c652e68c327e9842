//! The floors on what callers earn, by kind, zone and size.

use load::{Ending, Floors, ServedRequest, ServiceRecord};

/// A hundred requests of one kind and zone, of sizes 1 to 100; `ending` tells how each ends.
fn record(ending: impl Fn(u64) -> Ending) -> ServiceRecord {
    let request = |size: u64| {
        let ending = ending(size);
        let earned = match ending {
            Ending::OnTime => 1.0,
            Ending::Late => 0.3,
            Ending::Refused | Ending::Failed => 0.0,
        };
        ServedRequest {
            class: 0,
            zone: 0,
            at_ms: size * 100,
            size: size as f64,
            owed: 1.0,
            earned,
            ending,
        }
    };
    ServiceRecord {
        classes: vec!["questions".to_owned()],
        zones: vec!["a".to_owned()],
        requests: (1..=500).map(request).collect(),
    }
}

fn missed(ending: impl Fn(u64) -> Ending) -> Vec<String> {
    let shortfalls = record(ending).shortfalls(&Floors::QUIET);
    shortfalls.iter().map(ToString::to_string).collect()
}

/// Guards against checks that cannot fail: each floor is missed once, alone where that is possible.
#[test]
fn each_floor_is_missed_by_a_record_that_breaks_it() {
    let served_below = |most: u64| {
        move |size: u64| {
            if size <= most {
                Ending::OnTime
            } else {
                Ending::Refused
            }
        }
    };
    let all = [
        missed(|_| Ending::OnTime),
        missed(served_below(460)),
        missed(served_below(360)),
        missed(|size| {
            if size.is_multiple_of(2) {
                Ending::Late
            } else {
                Ending::OnTime
            }
        }),
        missed(|_| Ending::Late),
        missed(|size| {
            if size.is_multiple_of(3) {
                Ending::OnTime
            } else {
                Ending::Failed
            }
        }),
    ];
    insta::assert_json_snapshot!(all);
}

/// Guards against a check that passes because nothing was asked.
#[test]
fn too_few_requests_are_said_to_be_not_judged() {
    let few = record(|_| Ending::OnTime).between(0, 1_000);
    let shortfalls = few.shortfalls(&Floors::QUIET);
    let text: Vec<String> = shortfalls.iter().map(ToString::to_string).collect();
    assert_eq!(text, ["not judged: all requests: 9 requests"]);
}
