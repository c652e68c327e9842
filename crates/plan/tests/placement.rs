//! Placement of prefill and decode, the latency model behind it, retries and ejection.

use plan::{
    BudgetShare, DecodeRequest, EngineView, FleetRetryBudget, Health, HealthStatus, LatencyModel,
    PrefillSample, RetryBudgetSettings, cheapest, work_tokens,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 52.0,
};

/// The share of one of this many instances that have been running for longer than a window.
fn share_among(instances: usize) -> BudgetShare {
    BudgetShare {
        instances,
        age_ms: 60_000,
    }
}

/// An upstream fails every request for a minute, at 20 requests per second and instance. Six
/// instances that exchange nothing must together stay within the limit, and use it.
#[test]
fn six_instances_together_keep_the_retry_limit() {
    let mut budgets: Vec<FleetRetryBudget> = (0..6).map(|_| FleetRetryBudget::default()).collect();
    let mut log: Vec<(u64, u32, u32)> = Vec::new();
    for now_ms in (0..60_000).step_by(50) {
        let mut retries = 0;
        for budget in &mut budgets {
            budget.record_first_send(now_ms, &SETTINGS);
            retries += u32::from(budget.try_retry(now_ms, &SETTINGS, &share_among(6)));
        }
        log.push((now_ms, 6, retries));
    }
    for start in 0..log.len() {
        let window = log[start..]
            .iter()
            .take_while(|each| each.0 < log[start].0 + 10_000);
        let (first, retries) = window.fold((0, 0), |sum, each| (sum.0 + each.1, sum.1 + each.2));
        assert!(f64::from(retries) <= 0.2 * f64::from(first) + 52.0);
    }
    let retries: u32 = log.iter().map(|each| each.2).sum();
    assert!(retries > 800, "the budget is used: {retries}");
}

/// The answer to a prompt that did not have to queue.
fn without_queue(own_tokens: f64, elapsed_ms: f64) -> PrefillSample {
    PrefillSample {
        own_tokens,
        queued_tokens: 0.0,
        elapsed_ms,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(1_000)
    })]

    /// A single instance keeps the limit in every window, whenever its requests arrive.
    #[test]
    fn one_instance_keeps_the_retry_limit(gaps_ms in prop::collection::vec(0_u64..400, 1..400)) {
        let mut budget = FleetRetryBudget::default();
        let mut now_ms = 0;
        let mut log = Vec::new();
        for gap_ms in gaps_ms {
            now_ms += gap_ms;
            budget.record_first_send(now_ms, &SETTINGS);
            log.push((now_ms, budget.try_retry(now_ms, &SETTINGS, &share_among(1))));
        }
        for start in 0..log.len() {
            let window = log[start..].iter().take_while(|each| each.0 < log[start].0 + 10_000);
            let (first, retries) =
                window.fold((0, 0), |sum, each| (sum.0 + 1, sum.1 + u32::from(each.1)));
            // First sends of the preceding window may have paid for retries in this one.
            prop_assert!(f64::from(retries) <= 0.2 * 2.0 * f64::from(first) + 52.0);
        }
    }

    /// The learned times stay within their bounds whatever times are measured.
    #[test]
    fn learned_times_stay_within_bounds(
        answers in prop::collection::vec((0.0_f64..200_000.0, 0.0_f64..20_000.0), 0..200),
    ) {
        let mut model = LatencyModel::default();
        for (tokens, elapsed_ms) in answers {
            model.record_prefill(&without_queue(tokens, elapsed_ms));
        }
        prop_assert!((0.000_5..=2.0).contains(&model.token_ms()));
        prop_assert!(model.prefill_base_ms() >= 0.0);
    }
}

/// Engines prefill 61 tokens per ms and answer 90 ms later. After 300 prompts of different lengths
/// the prediction must be within a tenth.
#[test]
fn prefill_times_are_learned_from_answers() {
    let mut model = LatencyModel::default();
    for each in 0..300_u32 {
        let own = 500.0 + f64::from(each * 7_919 % 12_000);
        let work = work_tokens(13_000.0 + own, 13_000.0);
        model.record_prefill(&without_queue(work, 90.0 + work / 61.0));
    }
    let view = EngineView {
        cached_tokens: 13_000.0,
        ..EngineView::default()
    };
    let predicted = model.predict_prefill(&view, 17_000.0).total_ms();
    let actual = 90.0 + work_tokens(17_000.0, 13_000.0) / 61.0;
    assert!(
        (predicted / actual - 1.0).abs() < 0.1,
        "{predicted} {actual}"
    );
}

/// In a burst, prompts that share a prefix must stay at the engine that caches it while its queue
/// costs less than prefilling the prefix again, and go to another engine beyond that.
#[test]
fn a_hot_prefix_spills_when_its_queue_costs_more_than_another_prefill() {
    let model = LatencyModel::default();
    let chosen = |queued_tokens: f64| {
        let holder = EngineView {
            queued_tokens,
            cached_tokens: 13_000.0,
            ..EngineView::default()
        };
        let other = EngineView::default();
        cheapest(
            [holder, other]
                .iter()
                .map(|view| model.predict_prefill(view, 17_000.0)),
        )
        .unwrap()
        .0
    };
    assert_eq!(chosen(0.0), 0);
    assert_eq!(chosen(10_000.0), 0);
    assert_eq!(chosen(30_000.0), 1);
}

/// Long prompts and short questions share decode engines. A long prefill on an engine with running
/// output costs more than its own time, since all that output is interrupted meanwhile.
#[test]
fn a_long_prefill_avoids_decode_engines_with_running_output() {
    let model = LatencyModel::default();
    let idle = EngineView {
        slots: 12.0,
        queued_tokens: 3_000.0,
        ..EngineView::default()
    };
    let busy = EngineView {
        slots: 12.0,
        requests: 8.0,
        context_tokens: 100_000.0,
        ..EngineView::default()
    };
    let request = DecodeRequest {
        prompt_tokens: 17_000.0,
        slot_turnover_ms: 250.0,
        gap_goal_ms: 150.0,
        event_tokens: 11.0,
    };
    let costs = [busy, idle].map(|view| model.predict_decode(&view, &request));
    assert_eq!(cheapest(costs.into_iter()).unwrap().0, 1);
}

/// Opening a connection to a machine that is down takes a third of a second and fails. The next
/// request must not be sent there; after the ejection a request that can be retried probes it.
#[test]
fn an_unreachable_upstream_is_ejected_at_once() {
    let mut health = Health::default();
    health.record_unreachable(1_000);
    assert_eq!(health.status(1_001), HealthStatus::Ejected);
    assert_eq!(health.status(4_000), HealthStatus::Probe);
}

/// Two kinds of engines: with seven tokens per event and an objective of 300 ms between events, and
/// with eleven and 150 ms. A long prompt is prefilled in chunks between the output tokens. On the
/// first kind few gaps between events get too long, on the second all answers are late.
#[test]
fn chunked_prefill_interferes_only_where_gaps_get_too_long() {
    let model = LatencyModel::default();
    let busy = EngineView {
        slots: 12.0,
        requests: 6.0,
        context_tokens: 40_000.0,
        cached_tokens: 13_000.0,
        ..EngineView::default()
    };
    let interference_ms = |gap_goal_ms: f64, event_tokens: f64| {
        let request = DecodeRequest {
            prompt_tokens: 17_000.0,
            slot_turnover_ms: 250.0,
            gap_goal_ms,
            event_tokens,
        };
        model.predict_decode(&busy, &request).interference_ms
    };
    let (low, high) = (interference_ms(300.0, 7.0), interference_ms(150.0, 11.0));
    assert!(low * 3.0 < high, "{low} {high}");
}

/// A late prompt is being prefilled when a prompt arrives that can be in time. The running prefill
/// is not preempted, so the new prompt waits for about half of it; an engine without one must be
/// chosen.
#[test]
fn a_running_prefill_of_a_late_prompt_delays_new_prompts() {
    let model = LatencyModel::default();
    let running = EngineView {
        lower_priority_tokens: 20_000.0,
        ..EngineView::default()
    };
    let queued = EngineView {
        queued_tokens: 5_000.0,
        ..EngineView::default()
    };
    let wait_ms = |view: &EngineView| model.predict_prefill(view, 4_000.0).wait_ms;
    assert!(wait_ms(&running) > wait_ms(&queued));
    let both = [running, queued];
    let predicted = both.iter().map(|view| model.predict_prefill(view, 4_000.0));
    assert_eq!(cheapest(predicted).unwrap().0, 1);
}

/// In a burst, two of five answers wait behind work that this instance does not know of. The model
/// must learn the engines' own times without those waits. Otherwise prompts would seem too long to
/// be in time and be queued behind all others.
#[test]
fn waits_for_unknown_work_do_not_make_engines_seem_slow() {
    let mut model = LatencyModel::default();
    for each in 0..600_u32 {
        let work = 2_000.0 + f64::from(each * 7_919 % 8_000);
        let unknown_ms = if each % 5 < 2 { 400.0 } else { 0.0 };
        model.record_prefill(&without_queue(work, 90.0 + work / 61.0 + unknown_ms));
    }
    let predicted_ms = model
        .predict_prefill(&EngineView::default(), 5_000.0)
        .total_ms();
    let actual_ms = 90.0 + work_tokens(5_000.0, 0.0) / 61.0;
    assert!(
        predicted_ms < actual_ms * 1.35,
        "{predicted_ms} {actual_ms}"
    );
}

/// An engine gets a question of 380 tokens every 10 ms, prefills it in 6 ms and answers 90 ms
/// later. So ten questions have no answer, but none is queued. If they counted as a queue, new
/// questions would seem late and be refused although the engine has capacity.
#[test]
fn what_was_read_and_not_yet_answered_is_not_waited_for() {
    let mut model = LatencyModel::default();
    for each in 0..400_u32 {
        let work = 300.0 + f64::from(each * 7_919 % 12_000);
        model.record_prefill(&without_queue(work, 90.0 + work / 61.0));
    }
    let unanswered = EngineView {
        queued_tokens: 10.0 * 380.0,
        ..EngineView::default()
    };
    assert!(model.predict_prefill(&unanswered, 380.0).wait_ms < 1.0);
    let queue = EngineView {
        queued_tokens: 40.0 * 380.0,
        ..EngineView::default()
    };
    let wait_ms = model.predict_prefill(&queue, 380.0).wait_ms;
    let true_ms = 40.0 * 380.0 / 61.0 - 90.0;
    assert!(
        (wait_ms / true_ms - 1.0).abs() < 0.25,
        "{wait_ms} {true_ms}"
    );
}

/// In a burst each answer waits behind up to 0.4 s of known work, and engines answer 15 ms after
/// the prefill. If the model took these waits for the engines' own time, every prefill would seem
/// 100 ms longer, and requests that could be in time would be refused.
#[test]
fn answers_after_a_queue_change_the_model_little() {
    let mut model = LatencyModel::default();
    for each in 0..600_u32 {
        let own_tokens = 500.0 + f64::from(each * 7_919 % 6_000);
        let queued_tokens = f64::from(each * 104_729 % 24_000);
        // The queued work takes up to 40% longer than its tokens suggest.
        let late = 1.0 + f64::from(each % 5) * 0.1;
        let elapsed_ms = 15.0 + (own_tokens + queued_tokens * late) / 61.0;
        model.record_prefill(&PrefillSample {
            own_tokens,
            queued_tokens,
            elapsed_ms,
        });
    }
    let predicted_ms = model
        .predict_prefill(&EngineView::default(), 1_000.0)
        .processing_ms;
    let actual_ms = 15.0 + work_tokens(1_000.0, 0.0) / 61.0;
    assert!(
        (predicted_ms - actual_ms).abs() < 20.0,
        "{predicted_ms} {actual_ms}"
    );
}

/// Two kinds of engines have the same prefill times on prefill engines, but on decode engines one
/// answers 10 ms after the prefill and the other 90 ms. Both that time and the KV transfer time
/// must be learned separately from the fixed time of prefill engines.
#[test]
fn fixed_times_of_decode_engines_and_kv_transfers_are_learned_separately() {
    let request = DecodeRequest {
        prompt_tokens: 800.0,
        slot_turnover_ms: 250.0,
        gap_goal_ms: 150.0,
        event_tokens: 11.0,
    };
    let idle = EngineView {
        slots: 64.0,
        ..EngineView::default()
    };
    let transferred = EngineView {
        cached_tokens: 800.0,
        ..idle
    };
    for fixed_ms in [10.0, 90.0] {
        let mut model = LatencyModel::default();
        for _ in 0..200 {
            let first = model.predict_decode(&idle, &request);
            let prefill_ms = first.processing_ms - model.decode_base_ms();
            model.record_decode_prefill(
                prefill_ms + fixed_ms - first.total_ms(),
                first.wait_ms,
                first.processing_ms,
            );
            let first = model.predict_decode(&transferred, &request);
            model.record_kv_transfer(fixed_ms / 2.0 - first.total_ms());
        }
        assert!((model.decode_base_ms() - fixed_ms).abs() < 5.0, "{model:?}");
        assert!(
            (model.kv_transfer_ms() - fixed_ms / 2.0).abs() < 5.0,
            "{model:?}"
        );
        assert!(
            model.prefill_base_ms() > 30.0,
            "the time of prefill engines must not change: {model:?}"
        );
    }
}

/// Questions of 900 tokens are each prefilled in 40 ms on an engine with 20 running answers, whose
/// events may be 150 ms apart. One such prefill makes no answer late, but a third one after two
/// would cause one long pause together with them. So it must go to an engine without queued
/// prefills, although that engine is further away.
#[test]
fn prefills_do_not_add_up_to_one_long_pause() {
    let model = LatencyModel::default();
    let request = DecodeRequest {
        prompt_tokens: 900.0,
        slot_turnover_ms: 250.0,
        gap_goal_ms: 150.0,
        event_tokens: 11.0,
    };
    let quiet = EngineView {
        requests: 20.0,
        slots: 64.0,
        one_way_delay_ms: 1.4,
        ..EngineView::default()
    };
    let queued = EngineView {
        queued_tokens: 1_800.0,
        one_way_delay_ms: 0.2,
        ..quiet
    };
    let costs = [queued, quiet].map(|view| model.predict_decode(&view, &request));
    assert!(costs[1].interference_ms < 1.0, "{costs:?}");
    assert!(costs[0].interference_ms > 500.0, "{costs:?}");
    assert_eq!(cheapest(costs.into_iter()).unwrap().0, 1);
}
