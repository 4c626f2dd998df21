//! Random worlds: moods of partners, withdrawn messages, a store without room, stops and crashes at any moment.
//! `ENGINE_SEEDS=N` tries more of them.
mod common;
use common::{Fails, World};

fn seeds() -> u64 {
    std::env::var("ENGINE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(60)
}

fn play(seed: u64, crashes: bool) -> World {
    let mut random = fastrand::Rng::with_seed(seed ^ 0xa5a5);
    let mut world = World::new(seed);
    for _ in 0..400 {
        match random.u32(..100) {
            0..70 => world.submit(),
            70..80 => world.change_a_mood(),
            80..83 => world.all_well(),
            83..88 => world.withdraw_one(),
            88..90 => {
                let fails = if random.bool() { Fails::Full } else { Fails::Nothing };
                world.store.0.borrow_mut().fails = fails;
            }
            90..94 if crashes => world.crash(),
            94 if crashes => {
                world.stop();
                world.pass(random.f64() * 1500.0);
                world.crash();
            }
            _ => world.pass(random.f64() * 400.0),
        }
        world.pass(random.f64() * 20.0);
    }
    world.settle();
    world
}

#[test]
fn each_message_has_one_answer_and_none_takes_effect_twice() {
    let mut counts = [0; 5];
    for seed in 0..seeds() {
        let world = play(seed, false);
        counts.iter_mut().zip(world.counts()).for_each(|(all, n)| *all += n);
    }
    assert!(counts.iter().all(|n| *n > 100), "every end is met: {counts:?}");
}

#[test]
fn so_it_is_with_crashes_at_any_moment() {
    let (mut counts, mut crashes) = ([0; 5], 0);
    for seed in 1000..1000 + seeds() {
        let world = play(seed, true);
        crashes += world.crashes;
        counts.iter_mut().zip(world.counts()).for_each(|(all, n)| *all += n);
    }
    assert!(crashes > 500, "{crashes} crashes");
    assert!(counts.iter().all(|n| *n > 100), "every end is met: {counts:?}");
}
