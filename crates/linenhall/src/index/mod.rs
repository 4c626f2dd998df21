//! Ordered structures that the decision module keeps up to date, so that an event costs the logarithm of what
//! is held and never a walk over it. Nothing here decides, knows the time or does I/O.
//!
//! In builds with debug assertions each comparison in them and each row walked over is counted ([`steps`]):
//! tests hold the module's cost to that figure, which no machine's speed moves.

pub mod agenda;
pub mod credits;
pub mod group_calls;
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

/// Elementary steps (comparisons and visits) taken by this thread so far; 0 without debug assertions.
pub fn steps() -> u64 {
    STEPS.with(Cell::get)
}

/// A time or another figure as an ordered key: the order is [`f64::total_cmp`]'s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct At(u64);

impl At {
    /// After every time.
    pub const NEVER: At = At(u64::MAX);

    /// The key of a figure. Minus zero counts as zero, so that equal figures have equal keys.
    pub fn new(x: f64) -> At {
        let bits = (x + 0.0).to_bits();
        At(if bits >> 63 == 0 { bits | 1 << 63 } else { !bits })
    }

    /// The figure.
    pub fn get(self) -> f64 {
        f64::from_bits(if self.0 >> 63 == 1 { self.0 & !(1 << 63) } else { !self.0 })
    }
}

impl Ord for At {
    fn cmp(&self, other: &At) -> Ordering {
        step();
        self.0.cmp(&other.0)
    }
}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &At) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// A number for the name, another one for each salt: FNV-1a over both, mixed as SplitMix64 ends.
pub fn spread(salt: u64, name: &str) -> u64 {
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
    fn keys_are_in_the_order_of_their_figures_and_give_them_back() {
        let figures = [f64::NEG_INFINITY, -3.5, -1e-300, 0.0, 1e-300, 1.0, 1.0f64.next_up(), 1e15, f64::MAX];
        for pair in figures.windows(2) {
            assert!(At::new(pair[0]) < At::new(pair[1]), "{pair:?}");
        }
        assert!(figures.iter().all(|x| At::new(*x).get() == *x));
        assert_eq!(At::new(-0.0), At::new(0.0));
        assert!(At::new(f64::INFINITY) < At::NEVER);
    }

    #[test]
    fn comparisons_are_counted() {
        let before = steps();
        let _less = At::new(1.0) < At::new(2.0);
        assert_eq!(steps() - before, u64::from(cfg!(debug_assertions)));
    }
}
