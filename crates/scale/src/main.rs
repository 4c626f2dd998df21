//! The command `mulleinslip-scale`: runs a plan, prints the report and checks the budgets.

use clap::{Parser, Subcommand};
use mulleinslip_scale::{plan::Plan, report, run};
use std::path::PathBuf;
use std::process::ExitCode;

/// Counts allocations, so that memory is measured in bytes that do not depend on the machine.
#[global_allocator]
static ALLOCATED: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// Measures what a fleet of relays costs at the sizes of a plan.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a plan; fails if a budget is exceeded.
    Run {
        /// The plan, as JSON5.
        plan: PathBuf,
        /// Folder for plots of each figure by size, as SVG.
        #[arg(long)]
        out: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let Command::Run { plan, out } = Args::parse().command;
    let result = Plan::read(&plan).and_then(|plan| {
        let heap = || {
            let stats = ALLOCATED.stats();
            stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
        };
        let measured = run::run(&plan, &heap)?;
        print!("{}", report::table(&plan, &measured));
        if let Some(out) = out {
            report::plots(&out, &measured)?;
        }
        Ok(report::verdicts(&plan, &measured).iter().all(|v| v.within_budget != Some(false)))
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("mulleinslip-scale: {error}");
            ExitCode::from(2)
        }
    }
}
