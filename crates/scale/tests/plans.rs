//! Runs a small plan from end to end, checks figures that do not depend on the machine, and the errors for
//! plans that can't be run.
use mulleinslip_scale::{plan::Plan, propagation, report, run, slope};
use std::path::Path;

#[global_allocator]
static ALLOCATED: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

fn heap() -> usize {
    let stats = ALLOCATED.stats();
    stats.bytes_allocated - stats.bytes_deallocated
}

/// Guards against a relay that grows beyond its budgets: a listed destination costs more than its entry in
/// the catalog, too many destinations stay in use, or a change or its propagation costs more. Guards too
/// against runs that differ with the same seed, and against a broken budget that is not reported. It is one
/// test, as the heap is that of the whole process.
#[test]
fn small_plan_keeps_its_budgets_and_repeats_its_counts() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scale/small.json5");
    let plan = Plan::read(&file).unwrap();
    let measured = run::run(&plan, &heap).unwrap();
    let text = report::table(&plan, &measured);
    println!("{text}");
    for verdict in report::verdicts(&plan, &measured) {
        assert_ne!(
            verdict.within_budget,
            Some(false),
            "budget exceeded: {}: {} of {:?}\n{text}",
            verdict.name,
            verdict.measured,
            verdict.budget
        );
    }
    for size in &measured.sizes {
        let count = size.destinations;
        // At most 1,024 are in use, and a few more as long as they may not be forgotten.
        assert!(
            size.active <= 1024 + 60 && size.active >= count.min(1000),
            "{count} destinations: {} in use",
            size.active
        );
        assert!(
            size.catalog_bytes / (count as f64) < 110.0,
            "{count} destinations: the catalog takes {} bytes",
            size.catalog_bytes
        );
        assert!(
            size.plain_bytes > 2.0 * size.catalog_bytes,
            "{count} destinations: a plain map takes {} bytes, less than twice the catalog",
            size.plain_bytes
        );
        assert_eq!(size.counts.messages, 2000);
        assert!(size.counts.calls > 1500, "{count} destinations: too few calls: {:?}", size.counts);
        assert_eq!(
            size.counts.activated > 0,
            count > 1024,
            "{count} destinations: they come into use only if there are more than 1,024: {:?}",
            size.counts
        );
    }
    // A destination that is not in use costs its entry in the catalog alone: a tenth of one in use.
    let points: Vec<(f64, f64)> =
        measured.sizes.iter().skip(1).map(|s| (s.destinations as f64, s.listed_bytes)).collect();
    let line = slope::fit(&points).unwrap();
    assert!(line.slope < 240.0, "{} bytes per destination that is not in use", line.slope);
    let again = run::run(&plan, &heap).unwrap();
    for (first, second) in measured.sizes.iter().zip(&again.sizes) {
        let counts =
            |s: &run::SizeMeasurement| (s.counts.messages, s.counts.calls, s.counts.lost, s.counts.activated);
        assert_eq!(counts(first), counts(second), "counts differ between two runs with the same seed");
    }
    assert_eq!(measured.propagation.last_relay_ms, again.propagation.last_relay_ms);

    let broken =
        Plan::parse(&std::fs::read_to_string(&file).unwrap().replace("bytes: 6000", "bytes: 1")).unwrap();
    let verdicts = report::verdicts(&broken, &measured);
    assert!(
        verdicts.iter().any(|v| v.within_budget == Some(false)),
        "a budget of one byte per second was not reported as broken"
    );
    let folder = std::env::temp_dir().join(format!("scale-plots-{}", std::process::id()));
    report::plots(&folder, &measured).unwrap();
    let plot = std::fs::read_to_string(folder.join("listed.svg")).unwrap();
    assert_eq!(plot.matches("<circle").count(), measured.sizes.len());
    std::fs::remove_dir_all(folder).unwrap();
}

/// Guards against a plan with a value out of range or a misspelt field that runs all the same, and against an
/// error that does not tell which field is wrong and what is allowed.
#[test]
fn plan_errors_name_the_field_and_the_allowed_values() {
    let rows = [
        ("{relays: 0}", "relays: 0, allowed is 1 to 100000"),
        ("{destinations: [1, 2]}", "destinations (how many sizes): 2, allowed is 4 to 20"),
        ("{destinations: [1, 20, 30, 40]}", "destinations: 1, allowed is 10 to 1000000"),
        ("{regions: 16}", "regions: 16, allowed is 1 to 15"),
        ("{down: -0.1}", "down: -0.1, allowed is 0 to 0.5"),
        ("{seconds: NaN}", "seconds: NaN, allowed is 0 to 600"),
        ("{budgets: {memory: 1}}", "unknown field `memory`"),
        ("{relays: 'many'}", "expected number at line 1 column 10"),
        ("{relays: 5", "1"),
    ];
    for (text, expected) in rows {
        let error = Plan::parse(text).expect_err(text);
        assert!(error.contains(expected), "{text}: the error lacks {expected:?}: {error}");
    }
    assert!(Plan::read(Path::new("/absent.json5")).unwrap_err().starts_with("/absent.json5: "));
}

/// Guards against a simulation that ignores the limit of discovery's answers per second: the last relay gets
/// a change only once discovery has answered all relays of its region.
#[test]
fn propagation_time_is_bounded_by_discovery_answer_rate() {
    let plan = Plan { relays: 400, regions: 4, zones: 4, answers: 100.0, ..Plan::default() };
    let slow = propagation::simulate_propagation(&plan, 0.2, 200.0, 30).unwrap();
    assert!(
        (900..1400).contains(&slow.last_relay_ms[0]),
        "100 relays per region and 100 answers per second should take about a second: {:?}",
        slow.last_relay_ms
    );
    let fast =
        propagation::simulate_propagation(&Plan { answers: 10_000.0, ..plan }, 0.2, 200.0, 30).unwrap();
    assert!(fast.last_relay_ms[0] <= 20, "10,000 answers per second take too long: {:?}", fast.last_relay_ms);
    assert!(slow.bytes[0] <= slow.bytes[2] && slow.recovery_ms > fast.recovery_ms);
}

/// Guards against a fit that misses a straight line, reports a curve as one, or fits a line to one point.
#[test]
fn fit_finds_a_line_and_reports_the_deviation_of_a_curve() {
    let line: Vec<(f64, f64)> = [1.0, 2.0, 3.0, 4.0].iter().map(|x| (*x, 3.0 + 2.0 * x)).collect();
    let fit = slope::fit(&line).unwrap();
    assert!((fit.intercept - 3.0).abs() < 1e-9 && (fit.slope - 2.0).abs() < 1e-9 && fit.max_deviation < 1e-9);
    let square: Vec<(f64, f64)> = [1.0f64, 2.0, 3.0, 4.0].iter().map(|x| (*x, x * x)).collect();
    assert!(slope::fit(&square).unwrap().max_deviation > 0.05);
    assert!(slope::fit(&line[..1]).is_none());
}
