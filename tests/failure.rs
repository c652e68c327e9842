//! Real programs that are killed, paused and stopped under real requests.

mod common;

use std::time::Duration;

use chicoryrack::standin::{EngineFaults, LogFaults, ServiceFaults, expected_text};
use common::{
    Daemon, MEMBER_KEY, MODEL, Platform, admin, bundle, knows, ready, roll, send, serve, until,
};
use serde_json::{Value, json};

fn completion(prompt: &str, tokens: u32, stream: bool) -> String {
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream });
    body.to_string()
}

async fn ask(address: &str, prompt: &str, tokens: u32) -> common::Reply {
    let body = completion(prompt, tokens, false);
    let reply = send("POST", address, "/v1/completions", MEMBER_KEY, &[], body).await;
    reply.expect("an answer")
}

async fn key(address: &str, own: &str) -> String {
    let lookup = send("GET", address, "/v1/lookup", "", &[], "")
        .await
        .expect("a lookup")
        .json();
    let prefix = lookup["key_prefix"]
        .as_str()
        .expect("a witness is there")
        .to_owned();
    format!("{prefix}{own}")
}

async fn claim(address: &str, key: &str, body: &str, deadline_ms: &str) -> Option<common::Reply> {
    let headers = [("idempotency-key", key), ("x-deadline-ms", deadline_ms)];
    send(
        "POST",
        address,
        "/v1/services/claimdesk/claim",
        MEMBER_KEY,
        &headers,
        body,
    )
    .await
}

async fn three(platform: &Platform, engines: usize) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for (name, zone) in [
        ("entry-1", "salt-lake"),
        ("entry-2", "howrah"),
        ("entry-3", "garia"),
    ] {
        daemons.push(Daemon::start(name, zone, platform));
    }
    for daemon in &daemons {
        ready(&daemon.caller_address).await;
    }
    roll(&daemons[0].caller_address, 1).await;
    for daemon in &daemons {
        knows(&daemon.caller_address, 3, engines).await;
    }
    daemons
}

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
    // asks the other engine; the caller sees its own answer.
    let platform = Platform::start(2).await;
    let daemon = serve(&platform).await;
    platform.engines[0].set_faults(EngineFaults {
        cross_ids: true,
        ..EngineFaults::default()
    });
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
        platform.engines.iter().any(|engine| engine.held() > 0)
    })
    .await;
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    for engine in platform.engines.iter().filter(|engine| engine.held() > 0) {
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
async fn a_planned_stop_cuts_no_request_even_when_asked_twice() {
    // The instance is told to stop, twice, while it answers. It ends the answer, takes nothing
    // new, is handed out no more, and exits with 0.
    let platform = Platform::start(1).await;
    let mut daemons = three(&platform, 1).await;
    let address = daemons[0].caller_address.clone();
    let asking = actix_rt::spawn(async move { ask(&address, "stop", 200).await });
    until("the engine has begun", || async {
        platform.engines[0].held() > 0
    })
    .await;
    daemons[0].signal(libc::SIGTERM);
    daemons[0].signal(libc::SIGTERM);
    let other = daemons[1].caller_address.clone();
    let leaving = daemons[0].caller_address.clone();
    until("it is handed out no more", || async {
        let lookup = send("GET", &other, "/v1/lookup", "", &[], "")
            .await
            .expect("a lookup");
        !lookup.text().contains(&leaving)
    })
    .await;
    let reply = asking.await.expect("the task ends");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(
        reply.json()["choices"][0]["text"],
        expected_text("stop", 200)
    );
    assert_eq!(daemons[0].ended().await, Some(0));
}

/// Sends one request on an open connection and gives the first line of its answer.
fn exchange(stream: &mut std::net::TcpStream, request: &str) -> String {
    use std::io::{Read, Write};
    stream
        .write_all(request.as_bytes())
        .expect("the connection is open");
    let mut answer = [0; 1_024];
    let read = stream.read(&mut answer).expect("an answer");
    let text = String::from_utf8_lossy(&answer[..read]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

#[actix_rt::test]
async fn a_connection_kept_open_brings_a_leaving_instance_nothing_new() {
    // A caller keeps its connection open while the instance leaves. The listener is closed after
    // the grace, but this connection is not: a request on it is refused as not run, while the
    // answer that was under way comes whole.
    let platform = Platform::start(1).await;
    let daemon = serve(&platform).await;
    let address = daemon.caller_address.clone();
    let mut kept = std::net::TcpStream::connect(&address).expect("a connection");
    let line = exchange(&mut kept, "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n");
    assert!(line.starts_with("HTTP/1.1 200"), "{line}");
    let asking = actix_rt::spawn(async move { ask(&address, "leave", 400).await });
    until("the engine has begun", || async {
        platform.engines[0].held() > 0
    })
    .await;
    daemon.signal(libc::SIGTERM);
    until("the listener is closed", || async {
        std::net::TcpStream::connect(&daemon.caller_address).is_err()
    })
    .await;
    let request =
        format!("GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {MEMBER_KEY}\r\n\r\n");
    let line = exchange(&mut kept, &request);
    assert!(line.starts_with("HTTP/1.1 503"), "{line}");
    let reply = asking.await.expect("the task ends");
    assert_eq!(
        reply.json()["choices"][0]["text"],
        expected_text("leave", 400)
    );
}

#[actix_rt::test]
async fn the_rest_of_an_answer_comes_from_another_instance_after_a_kill() {
    // The caller streams from an instance that is killed with SIGKILL. It asks another instance
    // for the rest with the token it was given and the last number it has, and gets every token
    // once.
    let platform = Platform::start(1).await;
    let mut daemons = three(&platform, 1).await;
    let first = daemons[0].caller_address.clone();
    let tokens = 120;
    let client = awc::Client::builder().disable_timeout().finish();
    let mut response = client
        .post(format!("http://{first}/v1/completions"))
        .bearer_auth(MEMBER_KEY)
        .send_body(completion("kill", tokens, true))
        .await
        .expect("a stream");
    let mut seen = String::new();
    while seen.matches("\ndata: ").count() < 5 {
        let chunk = futures_util::StreamExt::next(&mut response).await;
        let chunk = chunk.expect("more").expect("bytes");
        seen.push_str(&String::from_utf8_lossy(&chunk));
    }
    daemons[0].kill();
    let mut events = events(&seen);
    let (last, token) = events
        .last()
        .map(|event| (event.0, event.2.clone()))
        .expect("events");
    let last = last.to_string();
    let path = format!("/v1/streams/{token}");
    let headers = [("last-event-id", last.as_str())];
    let other = &daemons[1].caller_address;
    let rest = send("GET", other, &path, MEMBER_KEY, &headers, "").await;
    let rest = rest.expect("the rest").text();
    events.extend(self::events(&rest));
    let numbers: Vec<u64> = events.iter().map(|event| event.0).collect();
    let all: Vec<u64> = (1..=u64::from(tokens)).collect();
    assert_eq!(numbers, all);
    let text: String = events.iter().map(|event| event.1.clone()).collect();
    assert_eq!(text, expected_text("kill", tokens as usize));
    assert!(rest.ends_with("data: [DONE]\n\n"), "{rest}");
}

/// Number, text and token of each whole token event.
fn events(text: &str) -> Vec<(u64, String, String)> {
    let whole = text
        .split_inclusive("\n\n")
        .filter(|event| event.ends_with("\n\n"));
    whole
        .filter_map(|event| {
            let number = event.lines().find_map(|line| line.strip_prefix("id: "))?;
            let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
            let data: Value = serde_json::from_str(data).ok()?;
            let text = data["choices"][0]["text"].as_str()?.to_owned();
            let token = data["resume"].as_str()?.to_owned();
            Some((number.parse().ok()?, text, token))
        })
        .collect()
}

#[actix_rt::test]
async fn a_retry_of_a_claim_gets_the_same_answer_and_runs_nothing() {
    // The caller asks twice under one key, at the home and at another instance. Both answers
    // are the same and the service ran the claim once. Another body under the key is refused.
    let platform = Platform::start(1).await;
    let daemons = three(&platform, 1).await;
    let key = key(&daemons[0].caller_address, "a").await;
    let first = claim(&daemons[0].caller_address, &key, "lot 1", "4000")
        .await
        .expect("an answer");
    let second = claim(&daemons[1].caller_address, &key, "lot 1", "4000")
        .await
        .expect("an answer");
    assert_eq!(
        (first.status, second.status),
        (200, 200),
        "{}",
        second.text()
    );
    assert_eq!(first.body, second.body);
    assert_eq!(platform.service.effects()["/claim lot 1"], 1);
    let other = claim(&daemons[2].caller_address, &key, "lot 2", "4000")
        .await
        .expect("an answer");
    assert_eq!(other.status, 422, "{}", other.text());
    assert!(!platform.service.effects().contains_key("/claim lot 2"));
}

#[actix_rt::test]
async fn a_claim_whose_home_died_before_it_is_closed_and_truly_never_runs() {
    // The home is killed before it hears of the claim. Another instance asks the witness, which
    // closes the key: the caller is told `not_run` and gets a prefix for a new key, under which
    // the claim runs once.
    let platform = Platform::start(1).await;
    let mut daemons = three(&platform, 1).await;
    let key = key(&daemons[0].caller_address, "b").await;
    let witness = key
        .split('~')
        .nth(1)
        .and_then(|place| place.split(':').next())
        .expect("a witness");
    let other = daemons
        .iter()
        .position(|daemon| daemon.name != "entry-1" && daemon.name != witness);
    let other = daemons[other.expect("a third instance")]
        .caller_address
        .clone();
    daemons[0].kill();
    let refused = claim(&other, &key, "lot 3", "4000")
        .await
        .expect("an answer");
    assert_eq!(refused.json()["ran"], "not_run", "{}", refused.text());
    let again = claim(&other, &key, "lot 3", "4000")
        .await
        .expect("an answer");
    assert_eq!(again.json()["ran"], "not_run", "{}", again.text());
    assert!(platform.service.effects().is_empty());
    let prefix = again.json()["key_prefix"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let fresh = claim(&other, &format!("{prefix}b2"), "lot 3", "4000")
        .await
        .expect("an answer");
    assert_eq!(fresh.status, 200, "{}", fresh.text());
    assert_eq!(platform.service.effects()["/claim lot 3"], 1);
}

#[actix_rt::test]
async fn a_claim_whose_home_is_paused_in_its_midst_runs_at_most_once() {
    // The home is stopped with SIGSTOP after it has dispatched the claim. The caller asks
    // another instance, which cannot reach the home; the witness has noted the key, so it says
    // `unknown` and runs nothing. When the home wakes up, the same key gets its answer.
    let platform = Platform::start(1).await;
    let daemons = three(&platform, 1).await;
    let key = key(&daemons[0].caller_address, "c").await;
    platform.service.set_faults(ServiceFaults {
        slow_ms: 800,
        lose_answers: false,
    });
    let (address, own) = (daemons[0].caller_address.clone(), key.clone());
    let asking = actix_rt::spawn(async move { claim(&address, &own, "lot 4", "20000").await });
    until("the claim runs", || async {
        !platform.service.effects().is_empty()
    })
    .await;
    daemons[0].signal(libc::SIGSTOP);
    let other = claim(&daemons[1].caller_address, &key, "lot 4", "1000")
        .await
        .expect("an answer");
    assert_eq!(other.json()["ran"], "unknown", "{}", other.text());
    daemons[0].signal(libc::SIGCONT);
    let first = asking.await.expect("the task ends").expect("an answer");
    assert_eq!(first.status, 200, "{}", first.text());
    assert_eq!(platform.service.effects()["/claim lot 4"], 1);
}

#[actix_rt::test]
async fn a_bundle_stays_in_force_and_reaches_a_new_instance_while_the_log_is_down() {
    // The log goes down after a roll. Requests are served, claims run, publishing is refused as
    // not run, and an instance that starts now learns the bundle from a peer.
    let platform = Platform::start(1).await;
    let daemons = three(&platform, 1).await;
    platform.log.set_faults(LogFaults {
        down: true,
        ..LogFaults::default()
    });
    let first = daemons[0].caller_address.clone();
    until("the instance has noticed", || async {
        let reply = admin(&first, "POST", "bundles", bundle(2).to_string()).await;
        reply.status == 503 && reply.json()["ran"] == "not_run"
    })
    .await;
    let late = Daemon::start("entry-4", "salt-lake", &platform);
    ready(&late.caller_address).await;
    let status = admin(&late.caller_address, "GET", "status", "")
        .await
        .json();
    assert_eq!(status["version"], 1, "{status}");
    assert_ne!(status["learned_from"], "log");
    knows(&late.caller_address, 4, 1).await;
    let reply = ask(&late.caller_address, "log down", 5).await;
    assert_eq!(
        reply.json()["choices"][0]["text"],
        expected_text("log down", 5)
    );
    let key = key(&first, "d").await;
    let claimed = claim(&first, &key, "lot 5", "4000")
        .await
        .expect("an answer");
    assert_eq!(claimed.status, 200, "{}", claimed.text());
}

#[actix_rt::test]
async fn an_append_whose_answer_is_lost_takes_effect_once() {
    // The log takes every record and loses every answer. The instance appends again until it
    // reads its record back; readers drop the copies. The operator sees one accepted bundle.
    let platform = Platform::start(1).await;
    let daemon = Daemon::start("entry-1", "salt-lake", &platform);
    ready(&daemon.caller_address).await;
    platform.log.set_faults(LogFaults {
        lose_answers: true,
        ..LogFaults::default()
    });
    let reply = admin(
        &daemon.caller_address,
        "POST",
        "bundles",
        bundle(1).to_string(),
    )
    .await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let audit = admin(&daemon.caller_address, "GET", "audit", "")
        .await
        .json();
    let published = audit.as_array().into_iter().flatten();
    let published = published.filter(|entry| {
        entry["action"]
            .as_str()
            .is_some_and(|action| action.starts_with("publish"))
    });
    assert_eq!(published.count(), 1, "{audit}");
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
    assert_eq!(platform.engines[0].held(), 0);
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
async fn a_new_instance_learns_the_bundle_from_a_log_that_has_dropped_its_roll() {
    // Operators drain and undrain until the roll of the bundle in force is older than all that
    // the log keeps. The instance has written snapshots meanwhile; a new one, alone with the log
    // after the first is killed, finds the bundle in a snapshot and serves.
    let platform = Platform::start(1).await;
    let mut first = serve(&platform).await;
    for _ in 0..60 {
        for verb in ["drain", "undrain"] {
            let path = format!("engines/engine-1/{verb}");
            let reply = admin(&first.caller_address, "POST", &path, "").await;
            assert_eq!(reply.status, 200, "{}", reply.text());
        }
    }
    let address = first.caller_address.clone();
    until("the last snapshot is near the end of the log", || async {
        let metrics = send("GET", &address, "/metrics", "", &[], "")
            .await
            .expect("metrics")
            .text();
        let mut lines = metrics
            .lines()
            .filter(|line| line.contains("records_since_snapshot{"));
        let since = lines
            .next()
            .and_then(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        since.is_some_and(|since| since < 16)
    })
    .await;
    first.kill();
    platform.log.set_faults(LogFaults {
        keep: 64,
        ..LogFaults::default()
    });
    let late = Daemon::start("entry-9", "howrah", &platform);
    ready(&late.caller_address).await;
    let status = admin(&late.caller_address, "GET", "status", "")
        .await
        .json();
    assert_eq!(
        (&status["version"], &status["learned_from"]),
        (&json!(1), &json!("log")),
        "{status}"
    );
    let audit = admin(&late.caller_address, "GET", "audit", "").await.text();
    assert!(audit.contains("roll bundle 1"), "{audit}");
}
