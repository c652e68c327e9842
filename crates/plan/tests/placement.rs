//! Loads that the decisions on reading, repeating and leaving alone answer.

use plan::{
    BudgetShare, DecodeRequest, EngineView, FleetRetryBudget, Health, HealthStatus, LatencyModel,
    PrefillSample, RetryBudgetSettings, cheapest, work_tokens,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TERMS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 52.0,
};

/// The share of one of so many instances that have been running for long.
fn among(instances: usize) -> BudgetShare {
    BudgetShare {
        instances,
        age_ms: 60_000,
    }
}

/// A rush: an upstream fails everything it gets for a minute, at 20 requests a second and
/// instance. Six instances that know nothing of each other stay within the bound of all.
#[test]
fn six_instances_keep_one_bound_on_repeats() {
    let mut all: Vec<FleetRetryBudget> = (0..6).map(|_| FleetRetryBudget::default()).collect();
    let mut log: Vec<(u64, u32, u32)> = Vec::new();
    for now_ms in (0..60_000).step_by(50) {
        let mut again = 0;
        for repeats in &mut all {
            repeats.record_first_send(now_ms, &TERMS);
            again += u32::from(repeats.try_retry(now_ms, &TERMS, &among(6)));
        }
        log.push((now_ms, 6, again));
    }
    for start in 0..log.len() {
        let window = log[start..]
            .iter()
            .take_while(|each| each.0 < log[start].0 + 10_000);
        let (first, again) = window.fold((0, 0), |sum, each| (sum.0 + each.1, sum.1 + each.2));
        assert!(f64::from(again) <= 0.2 * f64::from(first) + 52.0);
    }
    let again: u32 = log.iter().map(|each| each.2).sum();
    assert!(again > 800, "the budget is used: {again}");
}

/// An answer to a prompt before which nothing stood.
fn alone(own_tokens: f64, elapsed_ms: f64) -> PrefillSample {
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

    /// Whatever comes, one instance alone keeps the bound in every window.
    #[test]
    fn one_instance_keeps_the_bound(gaps_ms in prop::collection::vec(0_u64..400, 1..400)) {
        let mut repeats = FleetRetryBudget::default();
        let mut now_ms = 0;
        let mut log = Vec::new();
        for gap_ms in gaps_ms {
            now_ms += gap_ms;
            repeats.record_first_send(now_ms, &TERMS);
            log.push((now_ms, repeats.try_retry(now_ms, &TERMS, &among(1))));
        }
        for start in 0..log.len() {
            let window = log[start..].iter().take_while(|each| each.0 < log[start].0 + 10_000);
            let (first, again) = window.fold((0, 0), |sum, each| (sum.0 + 1, sum.1 + u32::from(each.1)));
            // Firsts of the window before may have paid for repeats in this one.
            prop_assert!(f64::from(again) <= 0.2 * 2.0 * f64::from(first) + 52.0);
        }
    }

    /// The learned pace stays within its bounds whatever times are seen.
    #[test]
    fn the_pace_stays_sane(seen in prop::collection::vec((0.0_f64..200_000.0, 0.0_f64..20_000.0), 0..200)) {
        let mut pace = LatencyModel::default();
        for (tokens, elapsed_ms) in seen {
            pace.record_prefill(&alone(tokens, elapsed_ms));
        }
        prop_assert!((0.002..=0.2).contains(&pace.token_ms()));
        prop_assert!(pace.prefill_base_ms() >= 0.0);
    }
}

/// The engines read 61 tokens a ms, answer 90 ms after, and attend as the work counts it. After
/// a hundred prompts of mixed lengths the prediction is within a tenth.
#[test]
fn the_pace_is_learned_from_answers() {
    let mut pace = LatencyModel::default();
    for each in 0..300_u32 {
        let own = 500.0 + f64::from(each * 7_919 % 12_000);
        let work = work_tokens(13_000.0 + own, 13_000.0);
        pace.record_prefill(&alone(work, 90.0 + work / 61.0));
    }
    let view = EngineView {
        cached_tokens: 13_000.0,
        ..EngineView::default()
    };
    let predicted = pace.predict_prefill(&view, 17_000.0).total_ms();
    let actual = 90.0 + work_tokens(17_000.0, 13_000.0) / 61.0;
    assert!(
        (predicted / actual - 1.0).abs() < 0.1,
        "{predicted} {actual}"
    );
}

/// Prompts that share a part come in a rush. They stay at the engine that has read it while its
/// queue costs less than reading the part again, and go elsewhere beyond that.
#[test]
fn a_hot_part_spills_when_its_queue_costs_more_than_reading_it_again() {
    let pace = LatencyModel::default();
    let chosen = |queued_tokens: f64| {
        let home = EngineView {
            queued_tokens,
            cached_tokens: 13_000.0,
            ..EngineView::default()
        };
        let other = EngineView::default();
        cheapest(
            [home, other]
                .iter()
                .map(|view| pace.predict_prefill(view, 17_000.0)),
        )
        .unwrap()
        .0
    };
    assert_eq!(chosen(0.0), 0);
    assert_eq!(chosen(10_000.0), 0);
    assert_eq!(chosen(30_000.0), 1);
}

/// Long prompts and short questions share engines for output. A long prompt costs more at an
/// engine at which others make output than its own time, since all of them wait meanwhile.
#[test]
fn a_long_read_is_kept_from_engines_at_work() {
    let pace = LatencyModel::default();
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
    let ask = DecodeRequest {
        prompt_tokens: 17_000.0,
        slot_turnover_ms: 250.0,
        gap_goal_ms: 150.0,
        event_tokens: 11.0,
    };
    let costs = [busy, idle].map(|view| pace.predict_decode(&view, &ask));
    assert_eq!(cheapest(costs.into_iter()).unwrap().0, 1);
}

/// A machine has gone dark: opening a connection takes a third of a second and fails. The next
/// request is not sent there; after a rest one that can be repeated tries it.
#[test]
fn an_unreachable_upstream_rests_at_once() {
    let mut health = Health::default();
    health.record_unreachable(1_000);
    assert_eq!(health.status(1_001), HealthStatus::Ejected);
    assert_eq!(health.status(4_000), HealthStatus::Probe);
}

/// The sheets of two fleets: at one, seven tokens come with an event that may take 300 ms, at the
/// other eleven in 150 ms. A long prompt is read beside output in pieces, so at the first few
/// pauses get too long, while at the second everyone's answer is late.
#[test]
fn a_read_in_pieces_harms_only_where_pauses_get_too_long() {
    let pace = LatencyModel::default();
    let busy = EngineView {
        slots: 12.0,
        requests: 6.0,
        context_tokens: 40_000.0,
        cached_tokens: 13_000.0,
        ..EngineView::default()
    };
    let harm_ms = |gap_goal_ms: f64, event_tokens: f64| {
        let ask = DecodeRequest {
            prompt_tokens: 17_000.0,
            slot_turnover_ms: 250.0,
            gap_goal_ms,
            event_tokens,
        };
        pace.predict_decode(&busy, &ask).interference_ms
    };
    let (low, high) = (harm_ms(300.0, 7.0), harm_ms(150.0, 11.0));
    assert!(low * 3.0 < high, "{low} {high}");
}

/// A prompt that will be late anyway is being read when one comes that can be on time. It is not
/// put back, so the new one waits for about half of it; an engine without it is chosen.
#[test]
fn a_late_prompt_that_is_being_read_is_waited_for() {
    let pace = LatencyModel::default();
    let reading = EngineView {
        lower_priority_tokens: 20_000.0,
        ..EngineView::default()
    };
    let queued = EngineView {
        queued_tokens: 5_000.0,
        ..EngineView::default()
    };
    let wait_ms = |view: &EngineView| pace.predict_prefill(view, 4_000.0).wait_ms;
    assert!(wait_ms(&reading) > wait_ms(&queued));
    let both = [reading, queued];
    let predicted = both.iter().map(|view| pace.predict_prefill(view, 4_000.0));
    assert_eq!(cheapest(predicted).unwrap().0, 1);
}

/// In a rush two answers in five wait behind work that nobody could see. The learned pace must
/// follow the engine's own and not take those waits for it: prompts would seem too long to be on
/// time, and would be put behind all others.
#[test]
fn unseen_waits_do_not_make_engines_seem_slow() {
    let mut pace = LatencyModel::default();
    for each in 0..600_u32 {
        let work = 2_000.0 + f64::from(each * 7_919 % 8_000);
        let unseen_ms = if each % 5 < 2 { 400.0 } else { 0.0 };
        pace.record_prefill(&alone(work, 90.0 + work / 61.0 + unseen_ms));
    }
    let predicted_ms = pace
        .predict_prefill(&EngineView::default(), 5_000.0)
        .total_ms();
    let actual_ms = 90.0 + work_tokens(5_000.0, 0.0) / 61.0;
    assert!(
        predicted_ms < actual_ms * 1.35,
        "{predicted_ms} {actual_ms}"
    );
}

/// Questions of 380 tokens come to an engine every 10 ms, read in 6 and answered 90 ms after. Ten of
/// them have no answer yet and none waits; taken for a queue they made new ones seem too late, and
/// these were refused by an engine with room.
#[test]
fn what_was_read_and_not_yet_answered_is_not_waited_for() {
    let mut pace = LatencyModel::default();
    for each in 0..400_u32 {
        let work = 300.0 + f64::from(each * 7_919 % 12_000);
        pace.record_prefill(&alone(work, 90.0 + work / 61.0));
    }
    let unanswered = EngineView {
        queued_tokens: 10.0 * 380.0,
        ..EngineView::default()
    };
    assert!(pace.predict_prefill(&unanswered, 380.0).wait_ms < 1.0);
    let queue = EngineView {
        queued_tokens: 40.0 * 380.0,
        ..EngineView::default()
    };
    let wait_ms = pace.predict_prefill(&queue, 380.0).wait_ms;
    let true_ms = 40.0 * 380.0 / 61.0 - 90.0;
    assert!(
        (wait_ms / true_ms - 1.0).abs() < 0.25,
        "{wait_ms} {true_ms}"
    );
}

/// Prompts come in a rush, and each answer waits behind up to 0.4 s of work that was known of. Engines
/// answer 15 ms after reading. Taken for the engines' own time, the waits made every read seem 100 ms
/// longer, and what could be on time was refused.
#[test]
fn known_waits_teach_little() {
    let mut pace = LatencyModel::default();
    for each in 0..600_u32 {
        let own_tokens = 500.0 + f64::from(each * 7_919 % 6_000);
        let queued_tokens = f64::from(each * 104_729 % 24_000);
        // What stood before takes up to half as long again as its tokens tell.
        let late = 1.0 + f64::from(each % 5) * 0.1;
        let elapsed_ms = 15.0 + (own_tokens + queued_tokens * late) / 61.0;
        pace.record_prefill(&PrefillSample {
            own_tokens,
            queued_tokens,
            elapsed_ms,
        });
    }
    let predicted_ms = pace
        .predict_prefill(&EngineView::default(), 1_000.0)
        .processing_ms;
    let actual_ms = 15.0 + work_tokens(1_000.0, 0.0) / 61.0;
    assert!(
        (predicted_ms - actual_ms).abs() < 20.0,
        "{predicted_ms} {actual_ms}"
    );
}

/// Two fleets read alike when they do nothing else; beside output one answers 10 ms after a read and
/// the other 90. Each is learned from its own answers, and so is the time of a hand-over.
#[test]
fn fixed_times_beside_output_and_of_a_hand_over_are_their_own() {
    let ask = DecodeRequest {
        prompt_tokens: 800.0,
        slot_turnover_ms: 250.0,
        gap_goal_ms: 150.0,
        event_tokens: 11.0,
    };
    let idle = EngineView {
        slots: 64.0,
        ..EngineView::default()
    };
    let handed = EngineView {
        cached_tokens: 800.0,
        ..idle
    };
    for fixed_ms in [10.0, 90.0] {
        let mut pace = LatencyModel::default();
        for _ in 0..200 {
            let first = pace.predict_decode(&idle, &ask);
            let read_ms = first.processing_ms - pace.decode_base_ms();
            pace.record_decode_prefill(
                read_ms + fixed_ms - first.total_ms(),
                first.wait_ms,
                first.processing_ms,
            );
            let first = pace.predict_decode(&handed, &ask);
            pace.record_kv_transfer(fixed_ms / 2.0 - first.total_ms());
        }
        assert!((pace.decode_base_ms() - fixed_ms).abs() < 5.0, "{pace:?}");
        assert!(
            (pace.kv_transfer_ms() - fixed_ms / 2.0).abs() < 5.0,
            "{pace:?}"
        );
        assert!(
            pace.prefill_base_ms() > 30.0,
            "that of engines that only read is left: {pace:?}"
        );
    }
}

/// Questions of 900 tokens come one after the other, each read in 40 ms beside twenty answers whose
/// events may be 150 ms apart. One such read harms nobody. A third one behind two makes one pause with
/// them that is too long, so it goes to an engine that reads nothing, though that one is further away.
#[test]
fn reads_are_not_piled_into_one_long_pause() {
    let pace = LatencyModel::default();
    let ask = DecodeRequest {
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
    let reading = EngineView {
        queued_tokens: 1_800.0,
        one_way_delay_ms: 0.2,
        ..quiet
    };
    let costs = [reading, quiet].map(|view| pace.predict_decode(&view, &ask));
    assert!(costs[1].interference_ms < 1.0, "{costs:?}");
    assert!(costs[0].interference_ms > 500.0, "{costs:?}");
    assert_eq!(cheapest(costs.into_iter()).unwrap().0, 1);
}
