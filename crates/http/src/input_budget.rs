//! Bound on the input of unanswered requests that all client connections together hold. A connection that
//! holds little may always read on, so that large requests which do not come to their end keep no small one out.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::task::Waker;

/// A connection may hold this much in any case. A usual message has less.
pub const SMALL_INPUT_BYTES: usize = 4096;
/// Maximum number of bytes per read.
pub const MAX_READ_BYTES: usize = 4096;

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

    /// Returns whether there is room. If not, `waker` is called when there may be some again.
    pub fn has_room(&self, connection: u64, waker: &Waker) -> bool {
        let has_room = self.held_bytes.get() < self.max_bytes;
        if !has_room {
            self.waiting.borrow_mut().insert(connection, waker.clone());
        }
        has_room
    }

    /// Returns how many bytes a connection that holds this much may read. If none, `waker` is called when there
    /// may be room again.
    pub fn readable_bytes(&self, connection: u64, held_bytes: usize, waker: &Waker) -> usize {
        match SMALL_INPUT_BYTES.saturating_sub(held_bytes) {
            0 if !self.has_room(connection, waker) => 0,
            0 => MAX_READ_BYTES,
            readable_bytes if self.held_bytes.get() >= self.max_bytes => readable_bytes,
            _ => MAX_READ_BYTES,
        }
    }

    /// Records that a connection holds `after` bytes, and held `before`.
    pub fn update(&self, before: usize, after: usize) {
        self.held_bytes.set(self.held_bytes.get() + after - before);
        if after < before && self.held_bytes.get() < self.max_bytes {
            std::mem::take(&mut *self.waiting.borrow_mut()).into_values().for_each(Waker::wake);
        }
    }

    /// Returns how many bytes all connections hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    /// Returns whether a connection waits for room.
    pub fn is_exhausted(&self) -> bool {
        !self.waiting.borrow().is_empty() && self.held_bytes.get() >= self.max_bytes
    }
}
