//! Bound on the input of unanswered requests that all client connections together hold. A connection that
//! holds little may always read on, so that large requests which do not come to their end keep no small one out.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::task::Waker;

/// A connection that holds less than this may read on in any case. A usual message has less.
pub const SMALL_INPUT_BYTES: usize = 4096;

/// How much input all connections hold, and which of them wait for room.
pub struct InputBudget {
    max_bytes: usize,
    held_bytes: Cell<usize>,
    /// The connections that wait, by number.
    waiting: RefCell<BTreeMap<u64, Waker>>,
}

impl InputBudget {
    /// Creates a budget of this many bytes.
    pub fn new(max_bytes: usize) -> InputBudget {
        InputBudget { max_bytes, held_bytes: Cell::default(), waiting: RefCell::default() }
    }

    /// Returns whether a connection that holds this much may read on. If not, `waker` is called when there may
    /// be room again.
    pub fn may_read(&self, connection: u64, held_bytes: usize, waker: &Waker) -> bool {
        if held_bytes < SMALL_INPUT_BYTES || self.held_bytes.get() < self.max_bytes {
            return true;
        }
        self.waiting.borrow_mut().insert(connection, waker.clone());
        false
    }

    /// Records that a connection holds `after` bytes, and held `before`.
    pub fn update(&self, before: usize, after: usize) {
        self.held_bytes.set(self.held_bytes.get() + after - before);
        if after < before && self.held_bytes.get() < self.max_bytes {
            std::mem::take(&mut *self.waiting.borrow_mut()).into_values().for_each(Waker::wake);
        }
    }

    /// Returns whether a connection waits for room.
    pub fn is_exhausted(&self) -> bool {
        !self.waiting.borrow().is_empty() && self.held_bytes.get() >= self.max_bytes
    }
}
