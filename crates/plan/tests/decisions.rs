//! Single decisions: roles, fair shares, ejection, deadlines, rollout and routing.

use conf::Role;
use plan::{
    AttemptTimeout, Engine, EngineProfile, Fleet, Forecast, Health, HealthStatus, MemberShares,
    PrefixIndex, Presence, RefusalReason, Request, RetryBudget, RolePlanner, RoleSettings,
    RouteSettings, Router, should_switch_version,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

fn fleet(engines: usize, profile: EngineProfile) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..engines {
        fleet.add(Engine::new(
            &format!("engine-{number}"),
            "model",
            "group",
            profile,
        ));
    }
    fleet
}

fn request(rank: usize, prompt_tokens: f64, left_ms: f64) -> Request<'static> {
    Request {
        member: "member",
        share: 1,
        model: "model",
        rank,
        prompt_tokens,
        output_tokens: 20.0,
        left_ms,
    }
}

/// Only long prompts, more than engines in the mixed role can prefill.
fn long_prompts() -> Forecast {
    let mut forecast = Forecast::default();
    for second in 0..60 {
        forecast.record_arrival(second * 1_000, 2, 40_000.0, 100.0);
    }
    forecast
}

/// An engine whose fixed time per iteration makes small chunks costly.
fn costly_chunks() -> EngineProfile {
    EngineProfile {
        base_ms: 38.0,
        ..EngineProfile::default()
    }
}

/// Number of role changes planned within 20 s of long prompts.
fn count_changes(weight: f64, profile: EngineProfile) -> usize {
    let fleet = fleet(6, profile);
    let indices: Vec<usize> = (0..6).collect();
    let mut planner = RolePlanner::new(RoleSettings {
        change_weight: weight,
        ..RoleSettings::default()
    });
    let mut count = 0;
    for step in 0..40 {
        let now_ms = 60_000 + step * 500;
        count += planner
            .plan(now_ms, &fleet, &indices, &long_prompts(), |_, _| true)
            .len();
    }
    count
}

#[test]
fn lasting_long_prompts_justify_a_role_change_where_small_chunks_are_costly() {
    assert!(count_changes(0.0, costly_chunks()) > 0);
}

#[test]
fn the_change_weight_reduces_role_changes() {
    assert_eq!(count_changes(1.0, costly_chunks()), 0);
    assert!(count_changes(0.0, costly_chunks()) >= count_changes(0.3, costly_chunks()));
}

#[test]
fn a_role_that_the_bundle_forbids_is_not_planned() {
    let fleet = fleet(6, costly_chunks());
    let indices: Vec<usize> = (0..6).collect();
    let mut planner = RolePlanner::new(RoleSettings {
        change_weight: 0.0,
        settle_ms: 0,
        ..RoleSettings::default()
    });
    let changes = planner.plan(60_000, &fleet, &indices, &long_prompts(), |_, role| {
        role != Role::Prefill
    });
    assert!(changes.iter().all(|change| change.role != Role::Prefill));
}

#[test]
fn only_requests_that_would_miss_their_deadline_are_refused() {
    let fleet = fleet(3, EngineProfile::default());
    let mut router = Router::default();
    let mut rng = Pcg64::seed_from_u64(1);
    let mut route = |left_ms| {
        router.route(
            0,
            &fleet,
            &request(2, 6_000.0, left_ms),
            |_| 0.0,
            &[],
            &mut rng,
        )
    };
    assert_eq!(
        route(100.0).expect_err("too late").reason,
        RefusalReason::Deadline
    );
    assert!(route(10_000.0).is_ok());
}

#[test]
fn leaving_and_tried_engines_get_no_requests() {
    let mut fleet = fleet(3, EngineProfile::default());
    fleet.get_mut(0).presence = Presence::Leaving;
    let mut router = Router::default();
    let mut rng = Pcg64::seed_from_u64(1);
    for _ in 0..50 {
        let choice = router.route(
            0,
            &fleet,
            &request(1, 100.0, 5_000.0),
            |_| 0.0,
            &[1],
            &mut rng,
        );
        assert_eq!(choice.expect("one is left").engine, 2);
    }
    let none = router.route(
        0,
        &fleet,
        &request(1, 100.0, 5_000.0),
        |_| 0.0,
        &[1, 2],
        &mut rng,
    );
    assert_eq!(
        none.expect_err("none is left").reason,
        RefusalReason::NoUpstream
    );
}

#[test]
fn a_request_goes_to_the_engine_that_caches_its_prefix() {
    let fleet = fleet(4, EngineProfile::default());
    let mut prefixes = PrefixIndex::default();
    prefixes.record_holder(7, 2, 5_000.0);
    let mut router = Router::new(RouteSettings::default());
    let mut rng = Pcg64::seed_from_u64(1);
    let cached = |engine| prefixes.cached_tokens(7, engine);
    let choice = router.route(
        0,
        &fleet,
        &request(2, 6_000.0, 10_000.0),
        cached,
        &[],
        &mut rng,
    );
    assert_eq!(choice.expect("routed").engine, 2);
}

#[test]
fn a_member_above_its_share_is_held_back_only_if_others_ask_for_theirs() {
    let mut shares = MemberShares::default();
    for step in 0..200 {
        shares.record(step * 50, "flood", 1, 100.0, true);
        shares.record(step * 50, "modest", 1, 80.0, step % 4 == 0);
    }
    assert!(!shares.allows(10_000, "flood", 100.0));
    assert!(shares.allows(10_000, "modest", 80.0));
    let mut alone = MemberShares::default();
    for step in 0..200 {
        alone.record(step * 50, "only", 1, 100.0, true);
    }
    assert!(alone.allows(10_000, "only", 100.0));
}

/// Guards against a sound upstream that gets no requests for seconds because one answer was late: it may be silent for
/// a second and go on. One that stays slow is ejected by the next answer.
#[test]
fn one_late_answer_ejects_no_upstream() {
    let mut health = Health::default();
    health.record_latency(1_000, 15.0, 1_500.0);
    assert_eq!(health.status(1_000), HealthStatus::Healthy);
    health.record_latency(2_500, 15.0, 1_500.0);
    assert_eq!(health.status(2_500), HealthStatus::Ejected);
}

#[test]
fn a_slow_engine_is_ejected_and_probed() {
    let mut health = Health::default();
    for answer in 0..40 {
        health.record_latency(answer * 10, 10.0, 60.0);
    }
    assert_eq!(health.status(400), HealthStatus::Ejected);
    assert_eq!(health.status(30_000), HealthStatus::Probe);
    health.start_probe();
    assert_eq!(health.status(30_000), HealthStatus::Ejected);
    health.record_latency(30_100, 10.0, 10.0);
    assert_eq!(health.status(30_100), HealthStatus::Healthy);
}

#[test]
fn an_attempt_leaves_time_for_another_upstream_and_needs_a_minimum() {
    assert_eq!(
        AttemptTimeout::next(1_000, 1).map(|budget| budget.timeout_ms),
        Some(600)
    );
    assert_eq!(
        AttemptTimeout::next(1_000, 0).map(|budget| budget.timeout_ms),
        Some(1_000)
    );
    assert_eq!(AttemptTimeout::next(5, 3), None);
}

#[test]
fn retries_stop_when_the_budget_is_used_up() {
    let mut budget = RetryBudget::default();
    let allowed = (0..1_000).filter(|_| budget.try_withdraw()).count();
    assert!(allowed <= 20, "{allowed}");
    for _ in 0..100 {
        budget.deposit();
    }
    assert_eq!((0..1_000).filter(|_| budget.try_withdraw()).count(), 10);
}

#[test]
fn requests_switch_when_half_of_the_engines_have_the_new_version() {
    assert!(!should_switch_version(4, 1, 4));
    assert!(should_switch_version(4, 2, 4));
    assert!(should_switch_version(4, 0, 0));
}

#[test]
fn a_probe_is_never_urgent_and_an_ejected_engine_is_better_than_none() {
    // One of two engines became slow and is ejected. After the ejection the next request that is
    // not urgent is sent to it as a probe, and no other. If both engines are ejected, requests
    // still go to one of them and are not refused.
    let mut fleet = fleet(2, EngineProfile::default());
    let eject = |fleet: &mut Fleet, index: usize| {
        for _ in 0..40 {
            fleet.get_mut(index).health.record_latency(0, 10.0, 100.0);
        }
    };
    eject(&mut fleet, 0);
    let mut router = Router::default();
    let mut rng = Pcg64::seed_from_u64(1);
    let mut route = |fleet: &Fleet, rank, now_ms| {
        let request = request(rank, 100.0, 9_000.0);
        router
            .route(now_ms, fleet, &request, |_| 0.0, &[], &mut rng)
            .map(|choice| choice.engine)
    };
    assert_eq!(route(&fleet, 1, 100), Ok(1));
    assert_eq!(route(&fleet, 0, 60_000), Ok(1));
    assert_eq!(route(&fleet, 1, 60_000), Ok(0));
    fleet.get_mut(0).record_sent(60_000, 1, 100.0, 20.0);
    assert_eq!(route(&fleet, 1, 60_000), Ok(1));
    eject(&mut fleet, 1);
    assert!(route(&fleet, 0, 100).is_ok());
}
