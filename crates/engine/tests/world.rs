//! Randomised simulation of the engine: changing behaviour of partners, withdrawn messages, a full store,
//! shutdowns and crashes at any moment. `ENGINE_SEEDS=N` runs more seeds.
mod common;
use common::{Simulation, StoreFailure};

fn seed_count() -> u64 {
    std::env::var("ENGINE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(60)
}

fn run_simulation(seed: u64, crashes: bool) -> Simulation {
    let mut random = fastrand::Rng::with_seed(seed ^ 0xa5a5);
    let mut simulation = Simulation::new(seed);
    for _ in 0..400 {
        match random.u32(..100) {
            0..70 => simulation.submit(),
            70..80 => simulation.change_a_behaviour(),
            80..83 => simulation.make_all_healthy(),
            83..88 => simulation.withdraw_one(),
            88..90 => {
                let failure = if random.bool() { StoreFailure::Full } else { StoreFailure::None };
                simulation.store.0.borrow_mut().failure = failure;
            }
            90..94 if crashes => simulation.crash(),
            94 if crashes => {
                simulation.stop();
                simulation.advance(random.f64() * 1500.0);
                simulation.crash();
            }
            _ => simulation.advance(random.f64() * 400.0),
        }
        simulation.advance(random.f64() * 20.0);
    }
    simulation.run_to_completion();
    simulation
}

/// Guards against a message without a final answer, with two different answers, or with a second effect at a
/// partner, while partners fail, senders withdraw messages and the store is full at times.
#[test]
fn each_message_gets_one_answer_and_takes_effect_at_most_once() {
    let mut counts = [0; 5];
    for seed in 0..seed_count() {
        let simulation = run_simulation(seed, false);
        counts.iter_mut().zip(simulation.counts()).for_each(|(all, n)| *all += n);
    }
    assert!(counts.iter().all(|n| *n > 100), "the simulation covers some kind of end too rarely: {counts:?}");
}

/// Guards against the same faults when the process also crashes or shuts down at any moment, and the next one
/// restores the messages from the store.
#[test]
fn each_message_gets_one_answer_and_takes_effect_at_most_once_despite_crashes() {
    let (mut counts, mut crashes) = ([0; 5], 0);
    for seed in 1000..1000 + seed_count() {
        let simulation = run_simulation(seed, true);
        crashes += simulation.crashes;
        counts.iter_mut().zip(simulation.counts()).for_each(|(all, n)| *all += n);
    }
    assert!(crashes > 500, "the simulation has too few crashes: {crashes}");
    assert!(counts.iter().all(|n| *n > 100), "the simulation covers some kind of end too rarely: {counts:?}");
}
