//! The regression bounds detect a worse policy, and runs are deterministic.

use model::Deployment;
use perf::{
    Case, Policy, RunSettings, Suite, Trace, TraceKind, broken_bounds, committed_bounds, run,
};

fn case(policy: Policy) -> Case {
    Case {
        deployment: Deployment::Annabhandar,
        trace: TraceKind::Swing,
        load: 1.5,
        policy,
    }
}

fn bounds() -> Vec<perf::Bound> {
    let all = committed_bounds()
        .expect("the committed file is JSON")
        .into_iter();
    all.filter(|bound| {
        bound.deployment == "annabhandar" && bound.trace == "swing" && bound.load > 1.4
    })
    .collect()
}

#[test]
fn a_worse_policy_breaks_the_bounds() {
    let bounds = bounds();
    assert_eq!(bounds.len(), 1);
    let own = Suite::run(&[case(Policy::Own)], perf::BOUNDS_SEED);
    assert_eq!(
        broken_bounds(&own, &bounds, Policy::Own),
        Vec::<String>::new()
    );
    for worse in [
        Policy::RoundRobin,
        Policy::LeastReported,
        Policy::GreedyRoles,
    ] {
        let suite = Suite::run(&[case(worse)], perf::BOUNDS_SEED);
        assert!(
            !broken_bounds(&suite, &bounds, worse).is_empty(),
            "{worse} keeps the bounds"
        );
    }
}

#[test]
fn a_bound_without_a_run_is_broken() {
    assert!(!broken_bounds(&Suite::default(), &bounds(), Policy::Own).is_empty());
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let trace = Trace::new(TraceKind::Burst, Deployment::Annabhandar, 0.9, 5);
    let setting = RunSettings::new(Policy::Own, Deployment::Annabhandar, 5);
    assert_eq!(run(&trace, &setting), run(&trace, &setting));
}
