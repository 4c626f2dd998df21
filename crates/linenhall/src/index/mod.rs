//! Ordered structures that the decision module keeps up to date, so that an event costs the logarithm of what
//! is queued and never a walk over it. Nothing here makes decisions, knows the time or does I/O.
//!
//! In builds with debug assertions, every comparison in these structures and every row walked over is counted
//! ([`steps`]): tests bound the cost of the module by this count, which does not depend on the speed of the
//! machine.

pub mod credits;
pub mod group_calls;
pub mod ordered_index;
pub mod sub_queue;
pub mod table;

use std::cell::Cell;
use std::cmp::Ordering;

thread_local! {
    static STEPS: Cell<u64> = const { Cell::new(0) };
}

/// Counts one elementary step, in builds with debug assertions.
#[inline]
pub fn step() {
    if cfg!(debug_assertions) {
        STEPS.with(|s| s.set(s.get().wrapping_add(1)));
    }
}

/// Returns the elementary steps (comparisons and visits) of this thread so far; 0 without debug assertions.
pub fn step_count() -> u64 {
    STEPS.with(Cell::get)
}

/// A time or another number as an ordered key, in the order of [`f64::total_cmp`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OrderedF64(u64);

impl OrderedF64 {
    /// Sorts after every time.
    pub const NEVER: OrderedF64 = OrderedF64(u64::MAX);

    /// Returns the key of a number. Minus zero counts as zero, so that equal numbers have equal keys.
    pub fn new(x: f64) -> OrderedF64 {
        let bits = (x + 0.0).to_bits();
        OrderedF64(if bits >> 63 == 0 { bits | 1 << 63 } else { !bits })
    }

    /// Returns the number.
    pub fn get(self) -> f64 {
        f64::from_bits(if self.0 >> 63 == 1 { self.0 & !(1 << 63) } else { !self.0 })
    }
}

impl Ord for OrderedF64 {
    fn cmp(&self, other: &OrderedF64) -> Ordering {
        step();
        self.0.cmp(&other.0)
    }
}

impl PartialOrd for OrderedF64 {
    fn partial_cmp(&self, other: &OrderedF64) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Returns a hash of a name that differs with the salt: FNV-1a over both, with the final mix of SplitMix64.
pub fn salted_hash(salt: u64, name: &str) -> u64 {
    let bytes = salt.to_le_bytes().into_iter().chain(name.bytes());
    let hash =
        bytes.fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^ (hash >> 27)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_sort_like_their_values_and_convert_back() {
        let values = [f64::NEG_INFINITY, -3.5, -1e-300, 0.0, 1e-300, 1.0, 1.0f64.next_up(), 1e15, f64::MAX];
        for pair in values.windows(2) {
            assert!(OrderedF64::new(pair[0]) < OrderedF64::new(pair[1]), "{pair:?}");
        }
        assert!(values.iter().all(|x| OrderedF64::new(*x).get() == *x));
        assert_eq!(OrderedF64::new(-0.0), OrderedF64::new(0.0));
        assert!(OrderedF64::new(f64::INFINITY) < OrderedF64::NEVER);
    }

    #[test]
    fn counts_comparisons() {
        let before = step_count();
        let _less = OrderedF64::new(1.0) < OrderedF64::new(2.0);
        assert_eq!(step_count() - before, u64::from(cfg!(debug_assertions)));
    }
}
