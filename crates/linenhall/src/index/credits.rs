//! Credit counters that all grow together, like virtual time in fair queueing: one total grows, and each
//! queue stores the total at which its credit would be zero (its base).

use super::OrderedF64;
use foldhash::fast::RandomState;
use std::collections::{BTreeSet, HashMap};

/// The credit of one turn. Credits are fixed-point numbers: sums do not depend on the order of additions, so
/// a credit does not depend on who read it when. 2^40 per turn leaves room for 2^87 turns.
pub const CREDIT_PER_TURN: i128 = 1 << 40;

/// Converts turns to credit. Callers pass at most a few turns.
pub fn credit_units(turns: f64) -> i128 {
    (turns * CREDIT_PER_TURN as f64) as i128
}

/// Credits of the queues that may be served, the highest first, and the total by which all have grown.
#[derive(Clone, Debug, Default)]
pub struct Credits {
    /// Bound of a credit in either direction.
    cap: i128,
    /// The total by which all credits have grown.
    total: i128,
    /// Base and age of each queue.
    places: HashMap<u64, (i128, u64), RandomState>,
    /// Queues below the cap, by base, then by age.
    growing: BTreeSet<(i128, OrderedF64, u64)>,
    /// Queues at the cap, by age. A queue moves here at most once for each time it is served.
    capped: BTreeSet<(OrderedF64, u64)>,
}

/// Returns the key of an age, which is a whole number; comparisons of these keys are counted as steps like
/// all others.
fn age_key(sequence: u64) -> OrderedF64 {
    OrderedF64::new(sequence as f64)
}

impl Credits {
    /// Returns an empty set; no credit exceeds `cap` turns in either direction.
    pub fn new(cap: f64) -> Credits {
        Credits { cap: credit_units(cap), ..Credits::default() }
    }

    /// Returns the base of a queue without credit.
    pub fn zero_base(&self) -> i128 {
        self.total
    }

    /// Returns the credit of a queue with this base.
    pub fn credit(&self, base: i128) -> i128 {
        (self.total - base).clamp(-self.cap, self.cap)
    }

    /// Gives `weight` to all queues and takes `cost` from the one with this base. Returns its new base.
    pub fn charge(&mut self, base: i128, weight: i128, cost: i128) -> i128 {
        let credit = (self.credit(base) + weight - cost).clamp(-self.cap, self.cap);
        self.total += weight;
        self.total - credit
    }

    /// Adds a queue that may be served. Among equals the one with the smaller `since` goes first.
    pub fn insert(&mut self, queue: u64, base: i128, since: u64) {
        if self.places.get(&queue) != Some(&(base, since)) {
            self.remove(queue);
            self.places.insert(queue, (base, since));
            self.growing.insert((base, age_key(since), queue));
        }
    }

    /// Returns the number of queues that may be served.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether a queue may be served.
    pub fn contains(&self, queue: u64) -> bool {
        self.places.contains_key(&queue)
    }

    /// Removes a queue that may not be served.
    pub fn remove(&mut self, queue: u64) {
        if let Some((base, since)) = self.places.remove(&queue) {
            if !self.growing.remove(&(base, age_key(since), queue)) {
                self.capped.remove(&(age_key(since), queue));
            }
        }
    }

    /// Returns the queue with the highest credit.
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

    /// Compares with the definition on the design page, which updates the credit of every queue on every
    /// turn.
    #[test]
    fn agrees_with_counters_updated_one_by_one() {
        for seed in 0..20 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut credits = Credits::new(2.0);
            let mut plain: Vec<(u64, i128, u64)> = Vec::new();
            let mut bases: HashMap<u64, i128> = HashMap::new();
            for age in 0..3000 {
                let queue = rng.u64(0..12);
                if rng.f64() < 0.3 {
                    plain.retain(|x| x.0 != queue);
                    credits.remove(queue);
                    if rng.f64() < 0.7 {
                        plain.push((queue, 0, age));
                        bases.insert(queue, credits.zero_base());
                        credits.insert(queue, credits.zero_base(), age);
                    }
                }
                let best = plain.iter().max_by_key(|x| (x.1, std::cmp::Reverse(x.2))).copied();
                assert_eq!(credits.first(), best.map(|x| x.0), "seed {seed}, turn {age}");
                let Some((served, _, since)) = best else { continue };
                let (weight, cost) =
                    (CREDIT_PER_TURN / plain.len() as i128, credit_units(rng.f64() * 2.5 + 0.5));
                for x in &mut plain {
                    let paid = if x.0 == served { cost } else { 0 };
                    x.1 = (x.1 + weight - paid).clamp(-2 * CREDIT_PER_TURN, 2 * CREDIT_PER_TURN);
                }
                let base = credits.charge(bases[&served], weight, cost);
                bases.insert(served, base);
                credits.insert(served, base, since);
                assert!(plain.iter().all(|x| credits.credit(bases[&x.0]) == x.1), "seed {seed}, turn {age}");
            }
        }
    }
}
