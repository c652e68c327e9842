//! Engines that cut, cross, lose or stall answers, or are drained or given new weights.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use chicoryrack::standin::{
    EngineFaults, EngineStandin, POISON_MARKER, PoisonBehavior, expected_text,
};
use serde_json::json;

use crate::common::{MEMBER_KEY, Platform, Reply, admin, bundle, send, serve, until};
use crate::helpers::{ask, completion};

#[actix_rt::test]
async fn a_stream_cut_by_its_engine_is_resumed_without_a_gap() {
    // The caller sees one whole answer. The engine cuts the connection after four tokens; the
    // instance opens the stream again after the last one it has. No token comes twice, as each
    // has its number.
    let platform = Platform::start(1).await;
    let daemon = serve(&platform).await;
    platform.engines[0].set_faults(EngineFaults {
        cut_after: 4,
        ..EngineFaults::default()
    });
    let reply = ask(&daemon.caller_address, "cut", 12).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.json()["choices"][0]["text"], expected_text("cut", 12));
}

#[actix_rt::test]
async fn an_answer_of_another_request_is_dropped() {
    // One engine names another request in its answers. The instance drops them, counts them and
    // asks the other engine; the caller sees its own answer. The sound engine has long answers
    // under way, so that the questions go to the faulty one first.
    let platform = Platform::start(2).await;
    let daemon = serve(&platform).await;
    platform.engines[0].set_faults(EngineFaults {
        cross_ids: true,
        ..EngineFaults::default()
    });
    let busy = keep_busy(&daemon.caller_address, &platform.engines[1], "engine-1").await;
    for number in 0..6 {
        let prompt = format!("question {number}");
        let reply = ask(&daemon.caller_address, &prompt, 6).await;
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

/// Gives one engine long answers to make, while the other one is drained, and takes the other back.
async fn keep_busy(address: &str, engine: &EngineStandin, other: &str) -> Vec<JoinHandle<Reply>> {
    const ANSWERS: usize = 8;
    const TOKENS: u32 = 400;
    let drained = admin(address, "POST", &format!("engines/{other}/drain"), "").await;
    assert_eq!(drained.status, 200, "{}", drained.text());
    let asked = (0..ANSWERS).map(|number| {
        let address = address.to_owned();
        let prompt = format!("long answer {number}");
        actix_rt::spawn(async move { ask(&address, &prompt, TOKENS).await })
    });
    let asked: Vec<_> = asked.collect();
    until("the engine makes all of them", || async {
        engine.unfinished_requests() == ANSWERS
    })
    .await;
    let back = admin(address, "POST", &format!("engines/{other}/undrain"), "").await;
    assert_eq!(back.status, 200, "{}", back.text());
    asked
}

#[actix_rt::test]
async fn an_engine_that_crashes_mid_answer_is_replaced_by_another() {
    // The engine loses the request after some tokens. The instance cannot resume there, so it
    // lets the other engine continue from the text so far; the caller sees one whole answer.
    let platform = Platform::start(2).await;
    let daemon = serve(&platform).await;
    let address = daemon.caller_address.clone();
    let asking = actix_rt::spawn(async move { ask(&address, "crash", 150).await });
    until("an engine has begun", || async {
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
    let reply = asking.await.expect("the task ends");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(
        reply.json()["choices"][0]["text"],
        expected_text("crash", 150)
    );
}

#[actix_rt::test]
async fn a_drained_engine_gets_nothing_new() {
    // An operator drains one of two engines. From the moment that the drain is in force the
    // other one gets every request.
    let platform = Platform::start(2).await;
    let daemon = serve(&platform).await;
    let address = daemon.caller_address.clone();
    let drained = admin(&address, "POST", "engines/engine-1/drain", "").await;
    assert_eq!(drained.status, 200, "{}", drained.text());
    platform.engines[0].set_faults(EngineFaults {
        stall: true,
        ..EngineFaults::default()
    });
    for number in 0..8 {
        let reply = ask(&address, &format!("drain {number}"), 4).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(platform.engines[0].unfinished_requests(), 0);
}

#[actix_rt::test]
async fn a_roll_loads_the_new_version_beside_the_old_one_and_refuses_nothing() {
    // A bundle with new weights is rolled while requests come. Engines load them by the lease
    // holder's orders, one group at a time; until then the old version answers.
    let platform = Platform::start(2).await;
    let daemon = serve(&platform).await;
    let address = daemon.caller_address.clone();
    let reply = ask(&address, "before", 4).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let mut next = bundle(2);
    next["models"][0]["version"] = json!("v2");
    let published = admin(&address, "POST", "bundles", next.to_string()).await;
    assert_eq!(published.status, 200, "{}", published.text());
    for verb in ["sign", "roll"] {
        let done = admin(&address, "POST", &format!("bundles/2/{verb}"), "").await;
        assert_eq!(done.status, 200, "{}", done.text());
    }
    until("both engines have loaded the new version", || async {
        let reply = ask(&address, "during", 3).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        let engines = admin(&address, "GET", "engines", "").await.text();
        engines.matches("annagrade-llm@v2").count() == 2
    })
    .await;
    let reply = ask(&address, "after", 4).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
}

#[actix_rt::test]
async fn an_engine_that_falls_silent_is_left_in_time_for_another() {
    // One engine takes requests and produces nothing. A request there is given up after six
    // tenths of its time, as the engine has shown nobody a sign of life, and the other engine
    // answers it before its deadline.
    let platform = Platform::start(2).await;
    let daemon = serve(&platform).await;
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
async fn a_prompt_that_ends_engines_does_not_end_the_fleet() {
    // A caller's prompt ends the engine that begins with it. The instance lets another engine go on, which
    // ends too, and the caller comes back with the same prompt, five times. Held against the engines alone,
    // each loss hands it to the next one, until nobody is left for other callers.
    let platform = Platform::start(5).await;
    let daemon = serve(&platform).await;
    for engine in &platform.engines {
        engine.set_faults(EngineFaults {
            poison_behavior: PoisonBehavior::Crashes,
            ..EngineFaults::default()
        });
    }
    for _ in 0..5 {
        let reply = ask(&daemon.caller_address, POISON_MARKER, 8).await;
        assert_ne!(reply.status, 200, "{}", reply.text());
    }
    let alive = platform.engines.iter().filter(|it| it.is_listening());
    let alive = alive.count();
    assert!(alive >= 2, "{alive} left");
    let reply = ask(&daemon.caller_address, "another", 8).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
}
