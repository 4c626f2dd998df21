//! The input of a client connection that is not answered yet, as received.

use crate::conn::MAX_BODY_BYTES;
use crate::input_budget::{InputBudget, SMALL_INPUT_BYTES};
use bytes::Bytes;
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::Waker;

/// Maximum size of a request's head, which is also hyper's buffer size. The head of a message has about 300
/// bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a request with its head, and of what may be read ahead; chunked encoding may make a request
/// larger than its body.
const MAX_UNANSWERED_BYTES: usize = 2 * MAX_HEAD_BYTES + MAX_BODY_BYTES + 16 * 1024;
/// Input grows in steps of this size, so that little more is allocated than is held.
const GROWTH_BYTES: usize = 8 * 1024;
/// The same for a small request.
const SMALL_GROWTH_BYTES: usize = 1024;

/// The unanswered input of a connection: another process can read it again, and the body of a message is taken
/// from it.
pub struct UnansweredInput {
    bytes: Vec<u8>,
    /// Number of bytes of the current request that its server has read.
    delivered_bytes: usize,
    /// Lengths of the complete requests in `bytes`.
    complete_lengths: VecDeque<usize>,
    /// Number of bytes examined of the incomplete request.
    incomplete_bytes: usize,
    /// The input was too large to keep.
    too_large: bool,
    /// Number of bytes that are held elsewhere for the current request.
    elsewhere_bytes: usize,
    /// Number of bytes that the budget counts.
    counted_bytes: usize,
    budget: Rc<InputBudget>,
}

impl UnansweredInput {
    /// Creates the state of a new connection.
    pub fn new(budget: Rc<InputBudget>) -> UnansweredInput {
        UnansweredInput {
            bytes: Vec::new(),
            delivered_bytes: 0,
            complete_lengths: VecDeque::new(),
            incomplete_bytes: 0,
            too_large: false,
            elsewhere_bytes: 0,
            counted_bytes: 0,
            budget,
        }
    }

    /// Appends received bytes, unless the input becomes too large to keep.
    pub fn append(&mut self, bytes: &[u8]) {
        let length = self.bytes.len() + bytes.len();
        if self.too_large || length > MAX_UNANSWERED_BYTES {
            self.too_large = true;
            self.clear();
            return;
        }
        if length > self.bytes.capacity() {
            let step = if length > SMALL_INPUT_BYTES { GROWTH_BYTES } else { SMALL_GROWTH_BYTES };
            self.bytes.reserve_exact(length.next_multiple_of(step) - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        self.update_budget();
    }

    /// Drops all input.
    pub fn clear(&mut self) {
        (self.bytes, self.complete_lengths) = Default::default();
        (self.delivered_bytes, self.incomplete_bytes) = (0, 0);
        self.update_budget();
    }

    /// Returns whether there is no input.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether the input begins with these bytes.
    pub fn begins_with(&self, bytes: &[u8]) -> bool {
        self.bytes.starts_with(bytes)
    }

    /// Adds bytes to the length of the incomplete request.
    pub fn add_to_incomplete(&mut self, count: usize) {
        self.incomplete_bytes += count;
    }

    /// Returns the number of bytes examined of the incomplete request.
    pub fn incomplete_bytes(&self) -> usize {
        self.incomplete_bytes
    }

    /// Returns the first bytes of the incomplete request; `None` if they are not kept.
    pub fn incomplete_request(&self, length: usize) -> Option<&[u8]> {
        let start: usize = self.complete_lengths.iter().sum();
        self.bytes.get(start..)?.get(..length)
    }

    /// Records that the incomplete request is complete.
    pub fn complete_request(&mut self) {
        self.complete_lengths.push_back(std::mem::take(&mut self.incomplete_bytes));
    }

    /// Returns whether there is a complete request.
    pub fn has_complete_request(&self) -> bool {
        !self.complete_lengths.is_empty()
    }

    /// Returns bytes of the first request that were not returned before, `max_bytes` at most, as read by its
    /// server; of a request that is not complete, all that was received.
    pub fn deliver(&mut self, max_bytes: usize) -> &[u8] {
        let first = self.complete_lengths.front().copied();
        let available = first.unwrap_or(self.bytes.len()).min(self.bytes.len());
        let start = self.delivered_bytes.min(available);
        let end = available.min(start.saturating_add(max_bytes));
        self.delivered_bytes = end;
        &self.bytes[start..end]
    }

    /// Discards the first complete request, as it is answered. Returns whether there was one.
    pub fn discard_first(&mut self) -> bool {
        let first = self.complete_lengths.pop_front();
        // A copy: the next request may be much smaller.
        self.bytes = self.bytes.get(first.unwrap_or(0)..).unwrap_or_default().to_vec();
        (self.delivered_bytes, self.elsewhere_bytes) = (0, 0);
        self.update_budget();
        first.is_some()
    }

    /// Returns a copy of the body of the first complete request, which has this length.
    pub fn first_body(&self, length: usize) -> Option<Bytes> {
        let request = self.bytes.get(..*self.complete_lengths.front()?)?;
        let (head, body) = request.split_at_checked(request.len().checked_sub(length)?)?;
        head.ends_with(b"\n").then(|| Bytes::copy_from_slice(body))
    }

    /// Returns the input for another process, unless it was too large to keep.
    pub fn to_hand_over(&self) -> Option<Vec<u8>> {
        (!self.too_large).then(|| self.bytes.clone())
    }

    /// Records that this many more bytes are held elsewhere for the current request.
    pub fn hold_elsewhere(&mut self, count: usize) {
        self.elsewhere_bytes += count;
        self.update_budget();
    }

    /// Returns how many bytes may be read, see [`InputBudget::readable_bytes`].
    pub fn readable_bytes(&self, connection: u64, waker: &Waker) -> usize {
        self.budget.readable_bytes(connection, self.held_bytes(), waker)
    }

    /// Returns whether there is room, see [`InputBudget::has_room`].
    pub fn has_room(&self, connection: u64, waker: &Waker) -> bool {
        self.budget.has_room(connection, waker)
    }

    /// Returns whether so much is held that a connection may have to wait for room.
    pub fn is_large(&self) -> bool {
        self.held_bytes() >= SMALL_INPUT_BYTES
    }

    fn held_bytes(&self) -> usize {
        self.bytes.len() + self.elsewhere_bytes
    }

    fn update_budget(&mut self) {
        let allocated = self.bytes.capacity() + self.elsewhere_bytes;
        self.budget.update(self.counted_bytes, allocated);
        self.counted_bytes = allocated;
    }
}

impl Drop for UnansweredInput {
    fn drop(&mut self) {
        self.budget.update(self.counted_bytes, 0);
    }
}
