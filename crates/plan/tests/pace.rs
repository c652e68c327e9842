//! The estimator of an upstream's pace.

use plan::{
    DecodeRequest, EngineView, LatencyModel, Pace, PaceEstimator, PrefillSample, speed_class,
    unexplained_silence_ms,
};
use proptest::prelude::*;

fn pace(percent: f64) -> Pace {
    Pace::from_percent(percent).expect("a sensible figure")
}

/// An estimator after figures at the given interval, the last one at the returned time.
fn after(figures: &[f64], interval_ms: u64) -> (PaceEstimator, u64) {
    let mut estimator = PaceEstimator::default();
    let mut now_ms = 0;
    for figure in figures {
        now_ms += interval_ms;
        estimator.record(now_ms, pace(*figure));
    }
    (estimator, now_ms)
}

/// An upstream without a figure must not change any prediction, even while it is silent.
#[test]
#[expect(clippy::float_cmp, reason = "the factor is exactly 1")]
fn unknown_pace_has_a_factor_of_exactly_one() {
    let mut estimator = PaceEstimator::default();
    estimator.record_silence(1_000, 900);
    assert_eq!(estimator.time_factor(1_000, 800), 1.0);
}

/// Slowdowns must not pass for a slow machine, nor a slow machine for one that is slowed down.
#[test]
fn lasting_pace_is_robust_against_slowdowns() {
    for lasting in [60.0, 100.0, 160.0] {
        let slowed = |step: usize| lasting * if step % 4 == 1 { 2.5 } else { 1.0 };
        let figures: Vec<f64> = (0..12).map(slowed).collect();
        let (estimator, now_ms) = after(&figures, 300);
        let later_ms = now_ms + 86_400_000;
        assert!((estimator.time_factor(later_ms, 0) - lasting / 100.0).abs() < 1e-9);
    }
}

/// A burst of answers within one slowdown is one observation, which the others outvote.
#[test]
fn burst_within_a_slowdown_counts_once() {
    let (mut estimator, now_ms) = after(&[100.0; 6], 400);
    for step in 1..40 {
        estimator.record(now_ms + 300 + step * 5, pace(250.0));
    }
    assert!((estimator.lasting_factor() - 1.0).abs() < 1e-9);
}

/// A slowdown counts while it may last, and no longer.
#[test]
fn slowdown_counts_for_some_hundred_ms() {
    let (mut estimator, now_ms) = after(&[100.0; 6], 400);
    estimator.record(now_ms + 400, pace(250.0));
    let at = |age_ms| estimator.time_factor(now_ms + 400 + age_ms, 0);
    assert!((at(0) - 2.5).abs() < 1e-9);
    assert!(at(200) < 2.0 && at(200) > 1.5);
    assert!((at(600) - 1.0).abs() < 1e-9);
}

/// New requests avoid a silent upstream before it is ejected, and come back with its first answer, whether this
/// instance or a peer got it.
#[test]
fn silence_slows_until_the_first_answer() {
    let (mut estimator, now_ms) = after(&[100.0; 6], 400);
    let at_ms = now_ms + 1_000;
    assert!(estimator.time_factor(at_ms, 0) < 1.1);
    assert!(estimator.time_factor(at_ms, 300) > 3.0);
    assert!(estimator.time_factor(at_ms, 600) > estimator.time_factor(at_ms, 300));
    estimator.record_silence(at_ms, 400);
    assert!(estimator.time_factor(at_ms, 0) > 4.0, "by a peer's report");
    assert!(
        estimator.time_factor(at_ms + 400, 0) < 1.1,
        "the report expires"
    );
    estimator.record(at_ms + 1, pace(100.0));
    assert!(estimator.time_factor(at_ms + 2, 600) < 1.1);
    assert_eq!(unexplained_silence_ms(900, 1_000.0), 0);
}

/// What peers know is used until the instance knows more itself.
#[test]
fn lasting_pace_of_peers_is_used_without_own_answers() {
    let mut estimator = PaceEstimator::default();
    estimator.record_lasting(pace(160.0));
    assert!((estimator.time_factor(9_000, 0) - 1.6).abs() < 1e-9);
    for at_ms in [1_000, 2_000, 3_000] {
        estimator.record(at_ms, pace(60.0));
    }
    assert!((estimator.time_factor(9_000, 0) - 0.6).abs() < 1e-9);
}

proptest! {
    /// Nonsense must neither be taken for a pace nor push the factor out of its bounds.
    #[test]
    fn factor_is_bounded(
        figures in proptest::collection::vec((any::<f64>(), 0_u64..5_000), 0..60),
        sensible in proptest::collection::vec((1.0_f64..3_000.0, 0_u64..5_000), 0..60),
        now_ms in 0_u64..10_000,
        silent_ms in any::<u64>(),
        told_ms in any::<u64>(),
    ) {
        let mut estimator = PaceEstimator::default();
        for (figure, at_ms) in figures.into_iter().chain(sensible) {
            let pace = Pace::from_percent(figure);
            prop_assert_eq!(pace.is_some(), (10.0..=2_000.0).contains(&figure));
            if let Some(pace) = pace {
                estimator.record(at_ms, pace);
            }
        }
        estimator.record_silence(now_ms, told_ms);
        let factor = estimator.time_factor(now_ms, silent_ms);
        prop_assert!((0.1..=20.0).contains(&factor), "{}", factor);
    }

    /// With a factor of 1 predictions and learned times are, bit by bit, what they are without one.
    #[test]
    fn factor_of_one_changes_nothing(
        tokens in 1.0_f64..20_000.0, queued in 0.0_f64..50_000.0, requests in 0.0_f64..30.0, elapsed_ms in 1.0_f64..3_000.0,
    ) {
        let model = LatencyModel::default();
        let view = EngineView { queued_tokens: queued, requests, slots: 12.0, ..EngineView::default() };
        let request = DecodeRequest {
            prompt_tokens: tokens, slot_turnover_ms: 250.0, gap_goal_ms: 200.0, event_tokens: 4.0,
        };
        let work = plan::work_tokens(tokens, 0.0);
        let prefill = model.predict_prefill(&view, tokens);
        let own_ms = model.prefill_base_ms() + work * model.token_ms();
        prop_assert_eq!(prefill.processing_ms.to_bits(), own_ms.to_bits());
        let wait_ms = model.pending_tokens(queued) * model.token_ms();
        prop_assert_eq!(prefill.wait_ms.to_bits(), wait_ms.to_bits());
        let decode = model.predict_decode(&view, &request);
        prop_assert_eq!(decode, decode.at_usual_speed(1.0));
        let sample = PrefillSample { own_tokens: tokens, queued_tokens: queued, elapsed_ms };
        prop_assert_eq!(sample, sample.at_usual_speed(1.0));
    }

    /// An engine of another speed takes its factor of the time, and teaches the same usual times.
    #[test]
    fn times_scale_with_the_factor(tokens in 1.0_f64..20_000.0, time_factor in 0.1_f64..20.0) {
        let model = LatencyModel::default();
        let usual = EngineView { queued_tokens: 9_000.0, slots: 12.0, ..EngineView::default() };
        let other = EngineView { time_factor, ..usual };
        let request = DecodeRequest {
            prompt_tokens: tokens, slot_turnover_ms: 250.0, gap_goal_ms: 200.0, event_tokens: 4.0,
        };
        let ratio = |of: &dyn Fn(&EngineView) -> f64| of(&other) / of(&usual) / time_factor;
        prop_assert!((ratio(&|view| model.predict_prefill(view, tokens).total_ms()) - 1.0).abs() < 1e-9);
        prop_assert!((ratio(&|view| model.predict_decode(view, &request).total_ms()) - 1.0).abs() < 1e-9);
    }
}

/// The three speeds fall into different classes; small differences into one.
#[test]
fn speeds_fall_into_classes() {
    assert!(speed_class(0.6) < 0 && speed_class(1.6) > 0);
    assert_eq!([0.95, 1.0, 1.05].map(speed_class), [0; 3]);
}
