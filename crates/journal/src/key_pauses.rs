//! Pauses of order keys: until when no other message of a key may be sent, as an attempt may still be running.
//! They outlast their messages, so they are records of their own.

use crate::record::{frame, Record};
use std::collections::BTreeMap;
use std::io;

/// The pauses that have not ended, and their frames.
#[derive(Default)]
pub(crate) struct KeyPauses {
    /// End of the pause, and the frame of its record, by key.
    rows: BTreeMap<String, (f64, Vec<u8>)>,
    bytes: u64,
}

impl KeyPauses {
    /// Returns the size of the frames, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Appends the frames to `contents`.
    pub(crate) fn write_to(&self, contents: &mut impl io::Write) -> io::Result<()> {
        self.rows.values().try_for_each(|(_, frame)| contents.write_all(frame))
    }

    /// Returns the keys and the ends of their pauses.
    pub(crate) fn list(&self) -> Vec<(String, f64)> {
        self.rows.iter().map(|(key, (until, _))| (key.clone(), *until)).collect()
    }

    /// Returns the frame of a pause.
    pub(crate) fn frame(key: &str, until: f64) -> io::Result<Vec<u8>> {
        frame(&Record::KeyPaused(key.into(), until))
    }

    /// Adds a pause, in place of an earlier one of the key.
    pub(crate) fn set(&mut self, key: String, until: f64, frame: Vec<u8>) {
        self.bytes += frame.len() as u64;
        let replaced = self.rows.insert(key, (until, frame));
        self.bytes -= replaced.map_or(0, |(_, frame)| frame.len() as u64);
    }

    /// Drops pauses that have ended at `now`.
    pub(crate) fn drop_ended(&mut self, now: f64) {
        self.rows.retain(|_, (until, _)| *until > now);
        self.bytes = self.rows.values().map(|(_, frame)| frame.len() as u64).sum();
    }
}
