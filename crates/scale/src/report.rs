//! The report on a run: a table, a verdict for each budget, and plots.

use crate::plan::Plan;
use crate::run::{Measured, SizeMeasurement};
use crate::slope::fit;
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;

/// A measured figure and its budget. `budget` and `within_budget` are `None` if the plan sets no budget.
pub struct Verdict {
    pub name: &'static str,
    pub measured: f64,
    pub budget: Option<f64>,
    pub within_budget: Option<bool>,
}

/// Compares the measurements at the plan's largest size with the budgets. Where the program ran at that size
/// or a larger one, the larger of the simulated and the real figure counts for memory and changes, and the
/// real one for the start.
pub fn verdicts(plan: &Plan, measured: &Measured) -> Vec<Verdict> {
    let Some(last) = measured.sizes.iter().max_by_key(|s| s.destinations) else { return Vec::new() };
    let real =
        measured.real.iter().max_by_key(|r| r.destinations).filter(|r| r.destinations >= last.destinations);
    let budgets = &plan.budgets;
    let memory_mb = real.map_or(last.traffic_bytes, |r| r.memory as f64).max(last.traffic_bytes) / 1e6;
    let change_us = real.map_or(last.change_us, |r| r.change_us).max(last.change_us);
    let rows = [
        ("memory of a relay for control, MB", memory_mb, budgets.memory_mb),
        (
            "CPU of a relay for control, share of a core",
            change_us * measured.changes_per_second / 1e6,
            budgets.cpu,
        ),
        ("bytes a second of a relay for control, worst 10 s", measured.propagation.bytes[2], budgets.bytes),
        (
            "a change in force at the last relay, s",
            measured.propagation.last_relay_ms[2] as f64 / 1000.0,
            budgets.in_force_s,
        ),
        ("one change, microseconds of CPU", change_us, budgets.change_us),
        (
            "a start with a whole list, s of CPU",
            real.map_or(last.start_s, |r| r.start_cpu_s),
            budgets.start_s,
        ),
    ];
    let verdict = |(name, measured, budget): (&'static str, f64, Option<f64>)| Verdict {
        name,
        measured,
        budget,
        within_budget: budget.map(|budget| measured <= budget),
    };
    rows.map(verdict).into_iter().collect()
}

/// File name of the plot, text in the table, and the figure.
type Column = (&'static str, &'static str, fn(&SizeMeasurement) -> f64);

const COLUMNS: [Column; 8] = [
    ("listed", "MB of heap with the list", |s| s.listed_bytes / 1e6),
    ("traffic", "MB of heap after traffic", |s| s.traffic_bytes / 1e6),
    ("catalog", "MB of the catalog", |s| s.catalog_bytes / 1e6),
    ("plain", "MB of a plain map instead", |s| s.plain_bytes / 1e6),
    ("list", "MB of a whole list", |s| s.list_bytes / 1e6),
    ("start", "s for a whole list", |s| s.start_s),
    ("change", "us a change", |s| s.change_us),
    ("message", "us a message", |s| s.message_us),
];

/// Returns the table and the verdicts as text.
pub fn table(plan: &Plan, measured: &Measured) -> String {
    let mut out = String::new();
    let _infallible = writeln!(out, "hollow, each of {}:", plan.hollow);
    let _infallible =
        writeln!(out, "{:>28} {}", "destinations", row(measured.sizes.iter().map(|s| s.destinations as f64)));
    let _infallible =
        writeln!(out, "{:>28} {}", "in use", row(measured.sizes.iter().map(|s| s.active as f64)));
    for (_, label, figure) in COLUMNS {
        let points: Vec<(f64, f64)> =
            measured.sizes.iter().map(|s| (s.destinations as f64, figure(s))).collect();
        let line = fit(&points).map_or(String::new(), |line| {
            format!(
                "  = {:.4} + {:.3e} x n, off by {:.0}%",
                line.intercept,
                line.slope,
                line.max_deviation * 100.0
            )
        });
        let _infallible = writeln!(out, "{label:>28} {}{line}", row(measured.sizes.iter().map(figure)));
    }
    let lost = |s: &SizeMeasurement| s.counts.lost as f64 / s.counts.messages.max(1) as f64;
    let _infallible =
        writeln!(out, "{:>28} {}", "calls lost a message", row(measured.sizes.iter().map(lost)));
    let activated = |s: &SizeMeasurement| s.counts.activated as f64 / s.counts.messages.max(1) as f64;
    let _infallible =
        writeln!(out, "{:>28} {}", "come into use a message", row(measured.sizes.iter().map(activated)));
    for real in &measured.real {
        let _infallible = writeln!(
            out,
            "real, {} destinations: {:.1} MB, peak {:.1}, start {:.3} s of CPU, a change {:.1} us and {:.0} bytes, list {:.2} MB",
            real.destinations,
            real.memory as f64 / 1e6,
            real.peak as f64 / 1e6,
            real.start_cpu_s,
            real.change_us,
            real.bytes_per_change,
            real.list_bytes as f64 / 1e6
        );
    }
    let propagation = &measured.propagation;
    let _infallible = writeln!(
        out,
        "spread over {} relays in {} regions, {:.1} changes a second of {:.0} bytes: last relay after {} ms (median), {} (99%), \
         {} (most); {:.2} calls and {:.0} bytes a second, {:.0} at the 99th percentile of seconds, {:.0} in the worst 10 s; after \
         8 s without discovery all is known within {} ms",
        plan.relays,
        plan.regions,
        measured.changes_per_second,
        measured.entry_bytes,
        propagation.last_relay_ms[0],
        propagation.last_relay_ms[1],
        propagation.last_relay_ms[2],
        propagation.calls,
        propagation.bytes[0],
        propagation.bytes[1],
        propagation.bytes[2],
        propagation.recovery_ms
    );
    for verdict in verdicts(plan, measured) {
        let result = match verdict.within_budget {
            Some(true) => "kept",
            Some(false) => "BROKEN",
            None => "no budget",
        };
        let budget = verdict.budget.map_or("-".into(), |b| b.to_string());
        let _infallible =
            writeln!(out, "{:>52}: {:.4} of {budget}: {result}", verdict.name, verdict.measured);
    }
    out
}

/// Formats the figures of one row.
fn row(values: impl Iterator<Item = f64>) -> String {
    values.map(|v| format!("{v:>12.4}")).collect()
}

/// Plots each figure by size, with its fitted line, into a file named after the figure. The plots have no
/// text, as that would need fonts.
pub fn plots(folder: &Path, measured: &Measured) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    for (name, _, figure) in COLUMNS {
        let points: Vec<(f64, f64)> =
            measured.sizes.iter().map(|s| (s.destinations as f64, figure(s))).collect();
        let file = folder.join(format!("{name}.svg"));
        plot(&file, &points).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(())
}

fn plot(file: &Path, points: &[(f64, f64)]) -> Result<(), Box<dyn std::error::Error>> {
    let axis_end =
        |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(f64::MIN_POSITIVE, f64::max) * 1.05;
    let root = SVGBackend::new(file, (640, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let (x_end, y_end) = (axis_end(|p| p.0), axis_end(|p| p.1));
    let mut chart = ChartBuilder::on(&root).margin(30).build_cartesian_2d(0.0..x_end, 0.0..y_end)?;
    if let Some(line) = fit(points) {
        chart.draw_series(LineSeries::new(
            [(0.0, line.intercept.max(0.0)), (x_end, line.intercept + line.slope * x_end)],
            &BLUE,
        ))?;
    }
    chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, RED.filled())))?;
    root.present()?;
    Ok(())
}
