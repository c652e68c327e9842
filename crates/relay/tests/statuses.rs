//! Answers whose status is none of HTTP's final ones.

mod common;

use std::time::Duration;

use common::{Action, StubUpstream, TestInstance, in_other_zone, request};
use http::Method;
use relay::pool::call_on_new_connection;
use relay::upstream::Stage;
use tick::Clock;

const NO_FINAL_STATUS: [&str; 8] = ["000", "099", "101", "199", "600", "666", "999", "2000"];

fn answering(status: &'static str) -> StubUpstream {
    StubUpstream::start(move |received| {
        let headers = match status {
            "101" => "connection: upgrade\r\nupgrade: x\r\n",
            _ => "",
        };
        let text = received.response_text(&format!("{status} Odd"), headers, "odd");
        vec![Action::Write(text), Action::Wait(20), Action::Close]
    })
}

/// Guards against a failure of an upstream that its caller gets as an answer.
#[actix_rt::test]
async fn an_answer_without_a_final_status_is_lost() {
    let mut passed_on = Vec::new();
    for status in NO_FINAL_STATUS {
        for (method, path) in [(Method::GET, "/reads/x"), (Method::POST, "/claims/x")] {
            let instance =
                TestInstance::start(vec![answering(status).entry("one", "desk", Stage::Whole)]);
            let (got, _) = instance.fetch(request(method, path, "1")).await;
            if got != 502 {
                passed_on.push((status, path, got));
            }
        }
    }
    assert!(passed_on.is_empty(), "{passed_on:?}");
}

/// Guards against the same where another upstream can answer a request that may be repeated.
#[actix_rt::test]
async fn another_upstream_answers_in_place_of_one_without_a_final_status() {
    for status in NO_FINAL_STATUS {
        let odd = answering(status).entry("one", "desk", Stage::Whole);
        let sound = StubUpstream::start(|received| received.response("200 OK", "", "sound"));
        let beside = in_other_zone(sound.entry("two", "desk", Stage::Whole));
        let instance = TestInstance::start(vec![odd, beside]);
        let got = instance.fetch(request(Method::GET, "/reads/x", "1")).await;
        assert_eq!(got, (200, Some("sound".to_owned())), "{status}");
    }
}

/// Guards against the same at calls of the instance's own: to a peer, for a report, to the store.
#[actix_rt::test]
async fn an_own_call_gets_no_answer_without_a_final_status() {
    for status in NO_FINAL_STATUS {
        let stub = answering(status);
        let own = request(Method::GET, "/state", "1");
        let wait = Duration::from_secs(2);
        let got = call_on_new_connection(stub.address, Clock::default(), own, wait, 1_024).await;
        assert!(got.is_err(), "{status}: {got:?}");
    }
}
