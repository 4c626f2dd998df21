//! The messages that ended lately and are remembered, so that a later process does not send one again if its id
//! comes again.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;

/// Time for which an ended message is remembered.
pub const ENDED_RETENTION_MS: f64 = 60_000.0;

/// A message that ended, may have run, and must not run again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedMessage {
    /// The sender's id for it.
    pub call_id: String,
    /// Whether it was delivered, rather than given up.
    pub delivered: bool,
    /// Wall-clock time of the end, in milliseconds.
    pub at: f64,
}

/// The frames of the remembered messages, the oldest first.
#[derive(Default)]
pub(crate) struct EndedTable {
    rows: VecDeque<(f64, Vec<u8>)>,
    bytes: u64,
}

impl EndedTable {
    /// Returns the size of the frames, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Appends the frames to `contents`.
    pub(crate) fn write_to(&self, contents: &mut impl io::Write) -> io::Result<()> {
        self.rows.iter().try_for_each(|(_, frame)| contents.write_all(frame))
    }

    /// Adds a message that ended at `at`, and drops those whose time is over, and the oldest beyond `max_bytes`.
    pub(crate) fn add(&mut self, at: f64, frame: Vec<u8>, max_bytes: u64) {
        self.bytes += frame.len() as u64;
        self.rows.push_back((at, frame));
        let is_over =
            |table: &EndedTable| table.rows.front().is_some_and(|row| row.0 + ENDED_RETENTION_MS <= at);
        while self.bytes > max_bytes || is_over(self) {
            let dropped = self.rows.pop_front();
            self.bytes -= dropped.map_or(0, |(_, frame)| frame.len() as u64);
        }
    }
}
