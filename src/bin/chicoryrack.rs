//! The demo, the benches and the stand-ins.

#![allow(
    missing_docs,
    reason = "the help texts of the grammar are the documentation"
)]

use std::process::ExitCode;

use chicoryrack::model::Deployment;
use chicoryrack::perf::TraceKind;

xflags::xflags! {
    /// Demo and benches of chicoryrack.
    cmd chicoryrack {
        /// Runs the main job on embedded stand-ins.
        cmd demo {
            /// annabhandar or lakeshore; both in turn otherwise.
            optional --deployment deployment: Deployment
            /// Machine-readable output.
            optional --json
        }
        /// Deterministic benches of the decisions.
        cmd bench {
            /// policy, or another of those that --list names.
            optional name: String
            /// Lists the benches, traces and policies.
            optional --list
            /// annabhandar or lakeshore; both otherwise.
            optional --deployment deployment: Deployment
            /// Seed of traces and choices.
            optional --seed seed: u64
            /// Only this trace.
            optional --trace trace: TraceKind
            /// Only this load.
            optional --load load: f64
            /// Machine-readable output.
            optional --json
        }
    }
}

fn main() -> ExitCode {
    chicoryrack::logging::start("error");
    let flags = Chicoryrack::from_env_or_exit();
    match flags.subcommand {
        ChicoryrackCmd::Demo(demo) => run_demo(&demo),
        ChicoryrackCmd::Bench(bench) => run_bench(&bench),
    }
}

fn run_demo(flags: &Demo) -> ExitCode {
    let deployments = match flags.deployment {
        Some(deployment) => vec![deployment],
        None => vec![Deployment::Annabhandar, Deployment::Lakeshore],
    };
    let mut right = true;
    for deployment in deployments {
        let say = |line: &str| {
            if !flags.json {
                println!("  {line}");
            }
        };
        let run = chicoryrack::demo::run(deployment, say);
        match actix_rt::System::new().block_on(run) {
            Ok(report) => {
                right &= report.is_right();
                print_report(&report, flags.json);
            }
            Err(error) => {
                eprintln!("chicoryrack: demo: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    if right {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_report(report: &chicoryrack::demo::Report, json: bool) {
    if json {
        println!("{}", serde_json::to_string(report).unwrap_or_default());
        return;
    }
    println!("\n{}", report.table);
    println!(
        "role changes {}, calls that ran wrongly {}, slowest roll {} ms\n",
        report.role_changes, report.ran_wrongly, report.roll_ms
    );
}

fn run_bench(flags: &Bench) -> ExitCode {
    use chicoryrack::perf::{Policy, Suite, cases, load_factors, markdown};
    let deployments = match flags.deployment {
        Some(deployment) => vec![deployment],
        None => vec![Deployment::Annabhandar, Deployment::Lakeshore],
    };
    let traces = flags
        .trace
        .map_or(TraceKind::ALL.to_vec(), |trace| vec![trace]);
    let loads = flags
        .load
        .map_or(load_factors().to_vec(), |load| vec![load]);
    let mut policies = vec![Policy::Own];
    policies.extend(Policy::BASELINES);
    policies.extend(Policy::ABLATIONS);
    let suite = Suite::run(
        &cases(&deployments, &traces, &loads, &policies),
        flags.seed.unwrap_or(1),
    );
    if flags.json {
        println!("{}", serde_json::to_string(&suite).unwrap_or_default());
        return ExitCode::SUCCESS;
    }
    for deployment in deployments {
        println!("{}", markdown(&suite, deployment, &policies));
    }
    ExitCode::SUCCESS
}
