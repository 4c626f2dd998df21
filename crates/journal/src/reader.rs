//! Reads the records of a journal one after the other, with a part of the file in memory at a time.

use crate::record::{frame_length, unframe, Record, FRAME_HEADER_BYTES};
use std::io::{self, Read};

/// Number of bytes that are read at a time.
const CHUNK_BYTES: usize = 32 * 1024;

/// The records of a journal.
pub(crate) struct RecordReader<R> {
    source: R,
    /// Number of bytes of the source that are not read yet.
    unread_bytes: u64,
    /// What was read lately.
    window: Vec<u8>,
    /// Number of bytes of the window that were passed on.
    passed_on: usize,
    /// Number of bytes of the source that were passed on.
    offset: u64,
    /// Whether there was damage between records.
    pub(crate) has_damage: bool,
    /// Log lines about damage.
    pub(crate) notes: Vec<String>,
}

impl<R: Read> RecordReader<R> {
    /// Creates a reader of a source of this length.
    pub(crate) fn new(source: R, length: u64) -> RecordReader<R> {
        let (window, notes) = (Vec::new(), Vec::new());
        RecordReader {
            source,
            unread_bytes: length,
            window,
            passed_on: 0,
            offset: 0,
            has_damage: false,
            notes,
        }
    }

    /// Returns the next undamaged record with its frame, or `None` at the end. After damage it searches for the next
    /// undamaged record. Damage at the end of the source is a torn tail, left by a process that was killed while
    /// it wrote.
    ///
    /// # Errors
    /// Any error of reading.
    pub(crate) fn next(&mut self) -> io::Result<Option<Record>> {
        loop {
            self.fill(FRAME_HEADER_BYTES)?;
            if self.next_bytes().is_empty() {
                return Ok(None);
            }
            let length = frame_length(self.next_bytes()).filter(|length| *length as u64 <= self.left_bytes());
            self.fill(length.unwrap_or_default())?;
            if let Some((record, length)) = unframe(self.next_bytes()) {
                self.skip(length);
                return Ok(Some(record));
            }
            self.skip_damage()?;
        }
    }

    /// Returns what was read and is not passed on yet.
    fn next_bytes(&self) -> &[u8] {
        &self.window[self.passed_on..]
    }

    /// Returns the number of bytes up to the end of the source.
    fn left_bytes(&self) -> u64 {
        self.next_bytes().len() as u64 + self.unread_bytes
    }

    /// Reads until this many bytes are not passed on yet, or all that are left.
    fn fill(&mut self, length: usize) -> io::Result<()> {
        while self.next_bytes().len() < length && self.unread_bytes > 0 {
            self.window.drain(..std::mem::take(&mut self.passed_on));
            let count = self.unread_bytes.min(CHUNK_BYTES as u64);
            self.window.reserve_exact(count as usize);
            let read = self.source.by_ref().take(count).read_to_end(&mut self.window)? as u64;
            // The source may be shorter than it was said to be.
            self.unread_bytes = if read < count { 0 } else { self.unread_bytes - read };
        }
        Ok(())
    }

    fn skip(&mut self, length: usize) {
        self.passed_on += length;
        self.offset += length as u64;
    }

    /// Skips what can't be read, up to the next undamaged record or the end.
    fn skip_damage(&mut self) -> io::Result<()> {
        self.fill(usize::MAX)?;
        let (offset, bytes) = (self.offset, self.next_bytes());
        let length = bytes.len();
        let next = (1..length).find(|start| unframe(&bytes[*start..]).is_some());
        self.has_damage |= next.is_some();
        self.notes.push(match next {
            Some(next) => format!("journal: {next} damaged bytes at {offset} skipped"),
            None => format!("journal: torn tail of {length} bytes dropped"),
        });
        self.skip(next.unwrap_or(length));
        Ok(())
    }
}

#[cfg(test)]
mod tests;
