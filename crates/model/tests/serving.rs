//! Time of an emulated engine, which has to follow the tokens.

use model::{EngineSheet, Generation, Part, Progress, ServingEngine, ServingStage};

const SHEET: EngineSheet = EngineSheet {
    slots: 4,
    queue: 8,
    step_ms: 5.0,
    step_ms_per_slot: 0.2,
    context_ms_per_k: 0.004,
    prefill_tokens_per_ms: 60.0,
    pairs_ms_per_m: 0.5,
    chunk: 2_048,
    kv_tokens: 100_000,
    event_tokens: 10,
};

fn generation(id: u64, tokens: u32, events: u32, is_prefilled: bool) -> Generation {
    Generation {
        id,
        rank: 0,
        parts: vec![Part { id, tokens }],
        events,
        is_prefilled,
    }
}

/// Time until the progress of a request that is alone on the engine.
fn time_until(engine: &mut ServingEngine, id: u64, progress: Progress) -> f64 {
    let mut total_ms = 0.0;
    for _ in 0..10_000 {
        let iteration = engine.iterate();
        total_ms += iteration.duration_ms;
        if iteration.progress.contains(&(id, progress)) {
            return total_ms;
        }
    }
    panic!("request {id} never got there");
}

/// Guards against a stand-in that is kinder than an engine: prefill takes time by tokens and their pairs, twice
/// as long on a decode engine, nothing if it is cached, and output takes a step a token.
#[test]
fn time_follows_tokens() {
    let mut prefill = ServingEngine::new(SHEET, ServingStage::Prefill);
    let mut decode = ServingEngine::new(SHEET, ServingStage::Decode);
    let mut times_ms = Vec::new();
    for (id, tokens) in [(1, 1_000), (2, 4_000), (3, 16_000)] {
        prefill
            .push(generation(id, tokens, 0, false))
            .expect("room");
        times_ms.push(time_until(&mut prefill, id, Progress::Prefilled).round() as u64);
        decode.push(generation(id, tokens, 3, false)).expect("room");
        times_ms.push(time_until(&mut decode, id, Progress::Started).round() as u64);
        times_ms.push(time_until(&mut decode, id, Progress::Finished).round() as u64);
    }
    prefill.push(generation(3, 16_000, 0, false)).expect("room");
    times_ms.push(time_until(&mut prefill, 3, Progress::Prefilled).round() as u64);
    insta::assert_json_snapshot!(times_ms);
}

/// Guards against an engine without limits: requests beyond the slots wait, and those beyond the queue are
/// rejected.
#[test]
fn slots_and_queue_are_limited() {
    let mut engine = ServingEngine::new(SHEET, ServingStage::Decode);
    for id in 0..8 {
        engine.push(generation(id, 100, 5, false)).expect("room");
    }
    assert!(engine.push(generation(9, 100, 5, false)).is_err());
    engine.iterate();
    let load = engine.load();
    assert_eq!((load.running, load.waiting), (4, 4));
    engine.cancel(0);
    engine.iterate();
    assert_eq!(engine.load().waiting, 3);
}
