//! The decision module: one message handed in and one delivery reported, all hosts healthy, with so many
//! destinations, messages held and slots. `cargo bench --bench module`.
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};

#[path = "../tests/common/loaded.rs"]
#[allow(dead_code)]
mod loaded;
use loaded::Loaded;

const SIZES: [(u64, usize, usize); 6] = [
    (20, 10, 50),
    (20, 200, 50),
    (20, 2000, 50),
    (100, 2000, 200),
    (1000, 10_000, 2000),
    (10_000, 100_000, 5000),
];

fn message(c: &mut Criterion) {
    let mut group = c.benchmark_group("message");
    for (dests, held, slots) in SIZES {
        let mut relay = Loaded::new(dests, held, slots);
        let name = format!("{dests} destinations, {held} held, {slots} slots");
        group.bench_function(BenchmarkId::from_parameter(name), |b| b.iter(|| relay.step()));
    }
    group.finish();
}

/// Resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}

/// What a held message takes in the module: the difference that 400,000 more of them make.
fn memory(_: &mut Criterion) {
    let (few, many) = (100_000, 500_000);
    let start = resident_kib();
    let small = Loaded::new(1000, few, 2000);
    let between = resident_kib();
    let large = Loaded::new(1000, many, 2000);
    let (small_kib, large_kib) = (between - start, resident_kib() - between);
    let bytes = large_kib.saturating_sub(small_kib) * 1024 / (many - few) as u64;
    println!("{bytes} bytes a held message ({small_kib} KiB with {few}, {large_kib} KiB with {many})");
    drop((small, large));
}

criterion_group!(benches, memory, message);
criterion_main!(benches);
