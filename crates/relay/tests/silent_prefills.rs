//! Engines that fall silent under a separate prefill, and go on.

mod common;

use common::{
    Action, EVENTS, StubUpstream, TestInstance, generation_request, is_prefill, settings,
};
use plan::RetryBudgetSettings;
use relay::upstream::Stage;

/// Tokens of a prompt that is long enough for a separate prefill.
const PROMPT_TOKENS: usize = 17_000;

/// Sends a generation whose prefill engine is silent for this many ms, while no retry is left; returns its status, and
/// whether the decode engine got the prefilled KV cache.
async fn generate_with_silent_prefill(path: &str, silence_ms: u64) -> (u16, bool) {
    let prefill = StubUpstream::start(move |received| {
        let mut actions = vec![Action::Wait(silence_ms)];
        actions.extend(received.response("200 OK", "", "kv-1"));
        actions
    });
    let decode = StubUpstream::start(|received| received.response("200 OK", "", EVENTS));
    let mut settings = settings();
    settings.retry_budget = RetryBudgetSettings {
        ratio: 0.0,
        slack: 0.0,
        ..settings.retry_budget
    };
    let entries = vec![
        prefill.entry("prefill", "llm", Stage::Prefill),
        decode.entry("decode", "llm", Stage::Decode),
    ];
    let instance = TestInstance::start_with(settings, entries);
    let request = generation_request(path, 1, PROMPT_TOKENS);
    let (status, _) = instance.fetch(request).await;
    assert!(prefill.received.borrow().iter().all(is_prefill));
    let received = decode.received.borrow();
    let is_reused = received.iter().any(|each| each.header("x-kv").is_some());
    (status, is_reused)
}

/// Guards against a request that is refused because its prefill was given up at a silent engine and no retry was left
/// for the decode.
#[actix_rt::test]
async fn a_prefill_is_given_up_only_if_the_decode_may_be_sent() {
    for path in ["/grades/x", "/once/x"] {
        for silence_ms in [1_000, 1_500, 2_400] {
            let outcome = generate_with_silent_prefill(path, silence_ms).await;
            assert_eq!(outcome, (200, true), "{path}, {silence_ms} ms");
        }
    }
}
