//! Credit counters that all grow together, as virtual time does in fair queueing: one total grows, and each
//! queue keeps the total at which its credit would be zero.

use super::At;
use foldhash::fast::RandomState;
use std::collections::{BTreeSet, HashMap};

/// One turn's worth of credit. Fixed point: what is added up in another order gives the same sum, so that a
/// credit does not depend on who looked at it when. 2^40 a turn leaves room for 2^87 turns.
pub const TURN: i128 = 1 << 40;

/// A part of a turn. The caller's figures are of the size of a few turns at most.
pub fn turns(x: f64) -> i128 {
    (x * TURN as f64) as i128
}

/// Credits of the queues that may be served, the most first; and the total by which all have grown.
#[derive(Clone, Debug, Default)]
pub struct Credits {
    /// Either way no credit goes beyond it.
    cap: i128,
    total: i128,
    place: HashMap<u64, (i128, u64), RandomState>,
    /// By the total at which the credit would be zero, then by age.
    growing: BTreeSet<(i128, At, u64)>,
    /// Those that have reached the cap, by age. Each is moved here once for each time it is served.
    capped: BTreeSet<(At, u64)>,
}

/// Ages are whole numbers; their keys are counted as steps like all others.
fn age(n: u64) -> At {
    At::new(n as f64)
}

impl Credits {
    /// No queues; no credit goes beyond `cap` turns either way.
    pub fn new(cap: f64) -> Credits {
        Credits { cap: turns(cap), ..Credits::default() }
    }

    /// The base of a queue with no credit.
    pub fn zero(&self) -> i128 {
        self.total
    }

    /// The credit of a queue with this base.
    pub fn credit(&self, base: i128) -> i128 {
        (self.total - base).clamp(-self.cap, self.cap)
    }

    /// All queues gain `weight`, and one, with this base, pays `cost`: its new base.
    pub fn turn(&mut self, base: i128, weight: i128, cost: i128) -> i128 {
        let credit = (self.credit(base) + weight - cost).clamp(-self.cap, self.cap);
        self.total += weight;
        self.total - credit
    }

    /// A queue may be served. Among equals the one with the smaller `since` goes first.
    pub fn put(&mut self, queue: u64, base: i128, since: u64) {
        if self.place.get(&queue) != Some(&(base, since)) {
            self.take(queue);
            self.place.insert(queue, (base, since));
            self.growing.insert((base, age(since), queue));
        }
    }

    /// How many queues may be served.
    pub fn len(&self) -> usize {
        self.place.len()
    }

    /// Whether a queue may be served.
    pub fn has(&self, queue: u64) -> bool {
        self.place.contains_key(&queue)
    }

    /// A queue may not be served.
    pub fn take(&mut self, queue: u64) {
        if let Some((base, since)) = self.place.remove(&queue) {
            if !self.growing.remove(&(base, age(since), queue)) {
                self.capped.remove(&(age(since), queue));
            }
        }
    }

    /// The queue with most credit.
    pub fn first(&mut self) -> Option<u64> {
        while let Some((base, since, queue)) = self.growing.first().copied() {
            if self.total - base < self.cap {
                break;
            }
            self.growing.pop_first();
            self.capped.insert((since, queue));
        }
        self.capped.first().map(|x| x.1).or_else(|| self.growing.first().map(|x| x.2))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Every queue's credit is touched on every turn, as the design page words it.
    #[test]
    fn it_agrees_with_counters_that_are_all_touched() {
        for seed in 0..20 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut credits = Credits::new(2.0);
            let mut plain: Vec<(u64, i128, u64)> = Vec::new();
            let mut bases: HashMap<u64, i128> = HashMap::new();
            for age in 0..3000 {
                let queue = rng.u64(0..12);
                if rng.f64() < 0.3 {
                    plain.retain(|x| x.0 != queue);
                    credits.take(queue);
                    if rng.f64() < 0.7 {
                        plain.push((queue, 0, age));
                        bases.insert(queue, credits.zero());
                        credits.put(queue, credits.zero(), age);
                    }
                }
                let best = plain.iter().max_by_key(|x| (x.1, std::cmp::Reverse(x.2))).copied();
                assert_eq!(credits.first(), best.map(|x| x.0), "seed {seed}, turn {age}");
                let Some((served, _, since)) = best else { continue };
                let (weight, cost) = (TURN / plain.len() as i128, turns(rng.f64() * 2.5 + 0.5));
                for x in &mut plain {
                    let paid = if x.0 == served { cost } else { 0 };
                    x.1 = (x.1 + weight - paid).clamp(-2 * TURN, 2 * TURN);
                }
                let base = credits.turn(bases[&served], weight, cost);
                bases.insert(served, base);
                credits.put(served, base, since);
                assert!(plain.iter().all(|x| credits.credit(bases[&x.0]) == x.1), "seed {seed}, turn {age}");
            }
        }
    }
}
