//! Benchmarks of the decision module, with all hosts healthy: the time to submit one message and report one
//! delivery at several numbers of destinations, queued messages and slots, and the memory of a queued
//! message. Run with `cargo bench --bench module`.
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};

#[path = "../tests/common/loaded.rs"]
#[allow(dead_code)]
mod loaded;
use loaded::Loaded;

/// Numbers of destinations, queued messages and slots.
const SIZES: [(u64, usize, usize); 6] = [
    (20, 10, 50),
    (20, 200, 50),
    (20, 2000, 50),
    (100, 2000, 200),
    (1000, 10_000, 2000),
    (10_000, 100_000, 5000),
];

fn message(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("message");
    for (destinations, queued, slots) in SIZES {
        let mut relay = Loaded::new(destinations, queued, slots);
        let name = format!("{destinations} destinations, {queued} held, {slots} slots");
        group.bench_function(BenchmarkId::from_parameter(name), |b| b.iter(|| relay.step()));
    }
    group.finish();
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Prints the memory of a queued message, from the difference between_kib 100,000 and 500,000 of them.
fn memory(_: &mut Criterion) {
    let (few, many) = (100_000, 500_000);
    let before_kib = resident_kib();
    let small = Loaded::new(1000, few, 2000);
    let between_kib = resident_kib();
    let large = Loaded::new(1000, many, 2000);
    let (small_kib, large_kib) = (between_kib - before_kib, resident_kib() - between_kib);
    let bytes = large_kib.saturating_sub(small_kib) * 1024 / (many - few) as u64;
    println!(
        "{bytes} bytes for each queued message ({small_kib} KiB with {few}, {large_kib} KiB with {many})"
    );
    drop((small, large));
}

criterion_group!(benches, memory, message);
criterion_main!(benches);
