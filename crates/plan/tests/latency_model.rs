//! What is learned of engines, and how fast.

use plan::{EngineView, LatencyModel, PrefillSample};

/// Answer of an idle prefill engine that prefills `tokens_per_ms`.
fn answer(tokens: f64, tokens_per_ms: f64) -> PrefillSample {
    PrefillSample {
        own_tokens: tokens,
        queued_tokens: 0.0,
        elapsed_ms: 60.0 + tokens / tokens_per_ms,
    }
}

/// Guards against large prompts being placed and refused by the built-in speed for minutes: engines may be ten
/// times slower or faster than that.
#[test]
fn the_speed_of_unknown_engines_is_learned_within_some_dozens_of_answers() {
    for tokens_per_ms in [7.0, 20.0, 60.0, 250.0] {
        let mut model = LatencyModel::default();
        for each in 0..40_u32 {
            let tokens = 500.0 + f64::from(each * 7_919 % 12_000);
            model.record_prefill(&answer(tokens, tokens_per_ms));
        }
        let predicted_ms = model
            .predict_prefill(&EngineView::default(), 12_000.0)
            .total_ms();
        let actual_ms = 60.0 + plan::work_tokens(12_000.0, 0.0) / tokens_per_ms;
        let ratio = predicted_ms / actual_ms;
        assert!(
            (0.67..1.5).contains(&ratio),
            "{tokens_per_ms} tokens a ms: {predicted_ms:.0} ms predicted, {actual_ms:.0} ms taken"
        );
    }
}
