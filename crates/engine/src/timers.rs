//! The timers that the decision module has set.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Times with the tokens that are returned at them. Times are whole microseconds, as integers can be ordered.
#[derive(Default)]
pub struct Timers(BinaryHeap<Reverse<(u64, u64)>>);

impl Timers {
    pub fn set(&mut self, at: f64, token: u64) {
        self.0.push(Reverse(((at * 1000.0).ceil() as u64, token)));
    }

    /// Returns the earliest time, in milliseconds.
    pub fn next(&self) -> Option<f64> {
        self.0.peek().map(|t| t.0 .0 as f64 / 1000.0)
    }

    /// Removes one timer that is due and returns its token.
    pub fn pop_due(&mut self, now: f64) -> Option<u64> {
        self.0.peek().filter(|t| t.0 .0 <= (now * 1000.0) as u64)?;
        self.0.pop().map(|t| t.0 .1)
    }
}

#[cfg(test)]
mod tests {
    use super::Timers;

    /// Guards against timers that fire early or out of order: 10.0004 ms is rounded up to the next
    /// microsecond.
    #[test]
    fn timers_fire_in_order_and_not_early() {
        let mut timers = Timers::default();
        timers.set(20.0, 1);
        timers.set(10.0004, 2);
        assert_eq!(timers.next(), Some(10.001));
        assert_eq!(timers.pop_due(10.0), None);
        assert_eq!(timers.pop_due(10.001), Some(2));
        assert_eq!(timers.pop_due(20.0), Some(1));
        assert_eq!((timers.pop_due(1e9), timers.next()), (None, None));
    }
}
