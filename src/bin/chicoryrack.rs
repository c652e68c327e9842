//! Runs the demo, the benches and the stand-ins.

#![allow(
    missing_docs,
    reason = "the help texts of the grammar are the documentation"
)]

use std::process::ExitCode;

use chicoryrack::benches::{self, BenchKind};
use chicoryrack::model::Deployment;
use chicoryrack::perf::{self, TraceKind};

xflags::xflags! {
    /// Demo and benches of chicoryrack.
    cmd chicoryrack {
        /// Runs a deployment under load on embedded stand-ins, with rolls, drains and failures.
        cmd demo {
            /// annabhandar or lakeshore; defaults to both, one after the other.
            optional --deployment deployment: Deployment
            /// Prints JSON.
            optional --json
        }
        /// Runs the stand-ins of a deployment until SIGTERM or SIGINT.
        cmd standin {
            /// annabhandar or lakeshore; defaults to annabhandar.
            optional --deployment deployment: Deployment
        }
        /// Prints the fault matrix: which fault is injected at which step.
        cmd faults { }
        /// Runs a bench: policy, views, bounds, slopes, live or report. All but live and slopes are deterministic.
        cmd bench {
            /// Name of the bench; defaults to policy.
            optional name: BenchKind
            /// Lists the benches, traces and policies.
            optional --list
            /// With bounds: prints newly measured bounds instead of checking the committed ones.
            optional --print
            /// annabhandar or lakeshore; defaults to both.
            optional --deployment deployment: Deployment
            /// With report: output file; defaults to report.html.
            optional --out file: String
            /// Seed of the traces and of random choices.
            optional --seed seed: u64
            /// Only this trace.
            optional --trace trace: TraceKind
            /// Only this load factor.
            optional --load load: f64
            /// Prints JSON.
            optional --json
        }
    }
}

fn main() -> ExitCode {
    chicoryrack::logging::start("error");
    let flags = Chicoryrack::from_env_or_exit();
    match flags.subcommand {
        ChicoryrackCmd::Demo(demo) => run_demo(&demo),
        ChicoryrackCmd::Standin(standin) => run_standin(standin.deployment.unwrap_or_default()),
        ChicoryrackCmd::Faults(_) => {
            print!("{}", chicoryrack::fault::markdown());
            ExitCode::SUCCESS
        }
        ChicoryrackCmd::Bench(bench) => run_bench(&bench),
    }
}

fn run_demo(flags: &Demo) -> ExitCode {
    let deployments = match flags.deployment {
        Some(deployment) => vec![deployment],
        None => vec![Deployment::Annabhandar, Deployment::Lakeshore],
    };
    let mut correct = true;
    for deployment in deployments {
        let progress = |line: &str| {
            if !flags.json {
                println!("  {line}");
            }
        };
        let run = chicoryrack::demo::run(deployment, progress);
        match actix_rt::System::new().block_on(run) {
            Ok(report) => {
                correct &= report.is_correct();
                print_report(&report, flags.json);
            }
            Err(error) => {
                eprintln!("chicoryrack: demo: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    if correct {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run_standin(deployment: Deployment) -> ExitCode {
    match actix_rt::System::new().block_on(chicoryrack::demo::run_standins(deployment)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chicoryrack: standin: {error}");
            ExitCode::FAILURE
        }
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
        report.role_changes, report.at_most_once_violations, report.roll_ms
    );
}

fn run_bench(flags: &Bench) -> ExitCode {
    let seed = flags.seed.unwrap_or(perf::BOUNDS_SEED);
    if flags.list {
        print!("{}", benches::list());
        return ExitCode::SUCCESS;
    }
    match flags.name.unwrap_or_default() {
        BenchKind::Policy => {
            let filter = benches::PolicyFilter {
                deployment: flags.deployment,
                trace: flags.trace,
                load: flags.load,
                seed,
            };
            println!("{}", benches::run_policy(&filter, flags.json));
            ExitCode::SUCCESS
        }
        BenchKind::Views => {
            for deployment in benches::deployments(flags.deployment) {
                println!(
                    "{deployment}, seed {seed}\n\n{}",
                    perf::staleness_markdown(deployment, seed)
                );
            }
            ExitCode::SUCCESS
        }
        BenchKind::Slopes => {
            println!("{}", perf::slopes_markdown(&perf::slopes()));
            ExitCode::SUCCESS
        }
        BenchKind::Live => run_live(),
        BenchKind::Report => run_report(flags, seed),
        BenchKind::Bounds => run_bounds(flags.print),
    }
}

fn run_live() -> ExitCode {
    match actix_rt::System::new().block_on(chicoryrack::demo::live::run()) {
        Ok(table) => {
            println!("{table}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("chicoryrack: live: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_report(flags: &Bench, seed: u64) -> ExitCode {
    let file = flags
        .out
        .clone()
        .unwrap_or_else(|| "report.html".to_owned());
    let page = match perf::report(&benches::deployments(flags.deployment), seed) {
        Ok(page) => page,
        Err(error) => {
            eprintln!("chicoryrack: report: {error}");
            return ExitCode::FAILURE;
        }
    };
    if let Err(error) = std::fs::write(&file, page) {
        eprintln!("chicoryrack: report: {file}: {error}");
        return ExitCode::FAILURE;
    }
    println!("{file}");
    ExitCode::SUCCESS
}

fn run_bounds(print: bool) -> ExitCode {
    if print {
        println!("{}", benches::measure_bounds());
        return ExitCode::SUCCESS;
    }
    match benches::check_bounds() {
        Ok(count) => {
            println!("{count} bounds hold");
            ExitCode::SUCCESS
        }
        Err(lines) => {
            eprintln!("{}", lines.join("\n"));
            ExitCode::FAILURE
        }
    }
}
