//! Engines that cut, mix up, lose or stall answers, are drained, or load new weights.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use chicoryrack::standin::{
    EndingBehavior, EngineFaults, EngineStandin, POISON_MARKER, PoisonBehavior, expected_text,
};
use futures_util::future::join_all;
use serde_json::json;

use crate::common::{MEMBER_KEY, Platform, Reply, admin, bundle, send, start_serving, wait_until};
use crate::helpers::{complete, completion};

#[actix_rt::test]
async fn a_stream_cut_by_its_engine_is_resumed_without_a_gap() {
    // The engine closes the connection after four tokens. The instance resumes the stream after
    // the last token it has received, so the caller gets a complete answer. Tokens are numbered, so
    // none is repeated.
    let platform = Platform::start(1).await;
    let daemon = start_serving(&platform).await;
    platform.engines[0].set_faults(EngineFaults {
        cut_after: 4,
        ..EngineFaults::default()
    });
    let reply = complete(&daemon.caller_address, "cut", 12).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.json()["choices"][0]["text"], expected_text("cut", 12));
}

#[actix_rt::test]
async fn an_answer_of_another_request_is_dropped() {
    // One engine answers with the ID of another request. The instance drops and counts these answers
    // and retries at the other engine, so the caller gets its own answer. The healthy engine is busy
    // with long answers, so that the requests are sent to the faulty one first.
    let platform = Platform::start(2).await;
    let daemon = start_serving(&platform).await;
    platform.engines[0].set_faults(EngineFaults {
        cross_ids: true,
        ..EngineFaults::default()
    });
    let busy = keep_busy(&daemon.caller_address, &platform.engines[1], "engine-1").await;
    for number in 0..6 {
        let prompt = format!("question {number}");
        let reply = complete(&daemon.caller_address, &prompt, 6).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(
            reply.json()["choices"][0]["text"],
            expected_text(&prompt, 6)
        );
    }
    let metrics = send("GET", &daemon.caller_address, "/metrics", "", &[], "").await;
    let metrics = metrics.expect("metrics").text();
    let counted = metrics
        .lines()
        .any(|line| line.contains("strays_total") && line.contains("crossed"));
    assert!(counted, "{metrics}");
    for answer in busy {
        let reply = answer.await.expect("the task ends");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
}

/// Sends long requests while the other engine is drained, so that all go to this one, then ends the
/// drain.
async fn keep_busy(address: &str, engine: &EngineStandin, other: &str) -> Vec<JoinHandle<Reply>> {
    const ANSWERS: usize = 8;
    const TOKENS: u32 = 400;
    let drained = admin(address, "POST", &format!("engines/{other}/drain"), "").await;
    assert_eq!(drained.status, 200, "{}", drained.text());
    let requests = (0..ANSWERS).map(|number| {
        let address = address.to_owned();
        let prompt = format!("long answer {number}");
        actix_rt::spawn(async move { complete(&address, &prompt, TOKENS).await })
    });
    let requests: Vec<_> = requests.collect();
    wait_until("the engine has all of them", || async {
        engine.unfinished_requests() == ANSWERS
    })
    .await;
    let undrained = admin(address, "POST", &format!("engines/{other}/undrain"), "").await;
    assert_eq!(undrained.status, 200, "{}", undrained.text());
    requests
}

#[actix_rt::test]
async fn another_engine_continues_the_answer_of_a_crashed_engine() {
    // The engine loses the request after some tokens and cannot resume it. The instance lets the
    // other engine continue from the text so far, so the caller gets a complete answer.
    let platform = Platform::start(2).await;
    let daemon = start_serving(&platform).await;
    let address = daemon.caller_address.clone();
    let pending = actix_rt::spawn(async move { complete(&address, "crash", 150).await });
    wait_until("an engine has the request", || async {
        platform
            .engines
            .iter()
            .any(|engine| engine.unfinished_requests() > 0)
    })
    .await;
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    for engine in platform
        .engines
        .iter()
        .filter(|engine| engine.unfinished_requests() > 0)
    {
        engine.crash();
    }
    let reply = pending.await.expect("the task ends");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(
        reply.json()["choices"][0]["text"],
        expected_text("crash", 150)
    );
}

#[actix_rt::test]
async fn a_drained_engine_gets_no_new_requests() {
    // An operator drains one of two engines. As soon as the drain is in force, the other one gets
    // every request.
    let platform = Platform::start(2).await;
    let daemon = start_serving(&platform).await;
    let address = daemon.caller_address.clone();
    let drained = admin(&address, "POST", "engines/engine-1/drain", "").await;
    assert_eq!(drained.status, 200, "{}", drained.text());
    platform.engines[0].set_faults(EngineFaults {
        stall: true,
        ..EngineFaults::default()
    });
    for number in 0..8 {
        let reply = complete(&address, &format!("drain {number}"), 4).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(platform.engines[0].unfinished_requests(), 0);
}

#[actix_rt::test]
async fn a_roll_loads_the_new_version_while_the_old_one_serves_without_refusals() {
    // A bundle with new weights is rolled while requests arrive. The lease holder orders the engines
    // to load them, one group at a time; the old version serves until they have.
    let platform = Platform::start(2).await;
    let daemon = start_serving(&platform).await;
    let address = daemon.caller_address.clone();
    let reply = complete(&address, "before", 4).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let mut next = bundle(2);
    next["models"][0]["version"] = json!("v2");
    let published = admin(&address, "POST", "bundles", next.to_string()).await;
    assert_eq!(published.status, 200, "{}", published.text());
    for verb in ["sign", "roll"] {
        let done = admin(&address, "POST", &format!("bundles/2/{verb}"), "").await;
        assert_eq!(done.status, 200, "{}", done.text());
    }
    wait_until("both engines have loaded the new version", || async {
        let reply = complete(&address, "during", 3).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        let engines = admin(&address, "GET", "engines", "").await.text();
        engines.matches("annagrade-llm@v2").count() == 2
    })
    .await;
    let reply = complete(&address, "after", 4).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
}

#[actix_rt::test]
async fn a_request_at_a_stalled_engine_is_retried_before_its_deadline() {
    // One engine accepts requests and produces nothing. As it shows no activity for any request, the
    // attempt times out after 60 % of the deadline and the other engine answers in time.
    let platform = Platform::start(2).await;
    let daemon = start_serving(&platform).await;
    let address = daemon.caller_address.clone();
    platform.engines[0].set_faults(EngineFaults {
        stall: true,
        ..EngineFaults::default()
    });
    for number in 0..4 {
        let prompt = format!("silent {number}");
        let body = completion(&prompt, 4, false);
        let headers = [("x-deadline-ms", "4000")];
        let reply = send(
            "POST",
            &address,
            "/v1/completions",
            MEMBER_KEY,
            &headers,
            body,
        )
        .await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(
            reply.json()["choices"][0]["text"],
            expected_text(&prompt, 4)
        );
    }
}

#[actix_rt::test]
async fn a_poison_prompt_does_not_crash_all_engines() {
    // A caller's prompt crashes every engine that starts it. The instance retries it at another
    // engine, which crashes too, and the caller sends it five times. If each loss were attributed to
    // the engine alone, the prompt would crash one engine after the other until none is left.
    let platform = Platform::start(5).await;
    let daemon = start_serving(&platform).await;
    for engine in &platform.engines {
        engine.set_faults(EngineFaults {
            poison_behavior: PoisonBehavior::Crashes,
            ..EngineFaults::default()
        });
    }
    for _ in 0..5 {
        let reply = complete(&daemon.caller_address, POISON_MARKER, 8).await;
        assert_ne!(reply.status, 200, "{}", reply.text());
    }
    let alive = platform.engines.iter().filter(|it| it.is_listening());
    let alive = alive.count();
    assert!(alive >= 2, "{alive} left");
    let reply = complete(&daemon.caller_address, "another", 8).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
}

/// Guards against a prompt that crashes engine after engine where an engine's listener outlives its streams, whether
/// requests are answered meanwhile or not, and against harmless prompts that are sent to engines that are ending.
#[actix_rt::test]
async fn a_poison_prompt_does_not_crash_all_engines_that_end_slowly() {
    for (ending_ms, while_ending) in [
        (20, EndingBehavior::Answered),
        (400, EndingBehavior::Answered),
        (2_000, EndingBehavior::Answered),
        (20, EndingBehavior::Held),
        (400, EndingBehavior::Held),
        (2_000, EndingBehavior::Held),
    ] {
        let platform = Platform::start(5).await;
        let daemon = start_serving(&platform).await;
        for engine in &platform.engines {
            engine.set_faults(EngineFaults {
                poison_behavior: PoisonBehavior::Crashes,
                ending_ms,
                while_ending,
                ..EngineFaults::default()
            });
        }
        for _ in 0..5 {
            let reply = complete(&daemon.caller_address, POISON_MARKER, 8).await;
            assert_ne!(reply.status, 200, "{}", reply.text());
        }
        let alive = platform.engines.iter().filter(|it| it.is_listening());
        let alive = alive.count();
        assert!(alive >= 2, "{alive} left, {ending_ms} ms, {while_ending:?}");
        let harmless = (0..20).map(|number| {
            let address = daemon.caller_address.clone();
            async move { complete(&address, &format!("another {number}"), 8).await }
        });
        for reply in join_all(harmless).await {
            let text = reply.text();
            assert_eq!(
                reply.status, 200,
                "{ending_ms} ms, {while_ending:?}: {text}"
            );
        }
    }
}
