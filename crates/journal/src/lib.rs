//! The journal in the state folder: one append-only file with the accepted messages and the attempts made for
//! them. Records are not synced to disk, as written data survives the end of the process. Each record is
//! framed by a marker, its length and its checksum, so that a torn or damaged record does not affect others.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::PathBuf;

const FRAME_MARKER: [u8; 4] = *b"\xf5mj\x01";
/// Marker, length of the payload and checksum.
const FRAME_HEADER_BYTES: usize = FRAME_MARKER.len() + 8;
/// The journal is compacted, which drops the records of ended messages, once it is larger than twice its live
/// records plus this.
const MAX_DEAD_BYTES: u64 = 256 * 1024;

/// A message that was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    pub call_id: String,
    pub class: String,
    pub tenant: String,
    pub order_key: Option<String>,
    pub idempotency_key: Option<Vec<u8>>,
    /// Deadline for its delivery, wall-clock time in milliseconds.
    pub due: f64,
    pub dest: u64,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// How a message ends that is given up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum GivenUp {
    Undeliverable,
    Deferred { retry_after_ms: Option<f64> },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Record {
    Accepted(u64, AcceptedMessage),
    /// An attempt is about to be sent: message, attempt number, wall-clock time, endpoint.
    AttemptBegun(u64, u32, f64, String),
    /// An attempt has an outcome: message, attempt number, whether it may have run, whether it may still be
    /// running.
    Outcome(u64, u32, bool, bool),
    GivenUp(u64, GivenUp),
    Ended(u64),
    /// The outages that the decision module knows of. Replaces any earlier record of this kind.
    Outages(Vec<OutageRecord>),
    /// Hosts that were reported as draining or removed. Replaces any earlier record of this kind.
    Tombstones(Vec<TombstoneRecord>),
}

/// Destination, endpoint, wall-clock time at which it recovered (if it has), and deliveries per second before
/// the outage.
pub type OutageRecord = (u64, String, Option<f64>, f64);

/// Host name, time of the host's last start, the agent that reported it, and the version of that agent's
/// list.
pub type TombstoneRecord = (String, f64, String, u64);

/// Key of [`Record::Outages`] among the live records. Message numbers start at 1.
const OUTAGES_ID: u64 = 0;
/// Key of [`Record::Tombstones`] among the live records. Message numbers never get so high.
const TOMBSTONES_ID: u64 = u64::MAX;

/// An attempt of a message that an earlier process accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub number: u32,
    /// Wall-clock time at which it was about to be sent, in milliseconds.
    pub at: f64,
    pub endpoint: String,
    pub may_have_run: bool,
    /// Whether it may still be running.
    pub may_run_yet: bool,
}

/// A message that has not ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredMessage {
    pub id: u64,
    pub message: AcceptedMessage,
    pub attempts: Vec<Attempt>,
    pub given_up: Option<GivenUp>,
}

/// The open journal of a state folder.
pub struct Journal {
    path: PathBuf,
    /// Handle on the folder, which holds its lock.
    lock: File,
    /// Whether another process may have the folder, so that nothing may be written.
    released: bool,
    file: File,
    size: u64,
    /// The frames of every message that has not ended, which are what compaction writes to a new file.
    live: BTreeMap<u64, Vec<u8>>,
    live_bytes: u64,
    max_bytes: u64,
    /// Space that is reserved for the records of messages that are already accepted.
    reserve_bytes: u64,
}

/// The state that an earlier process has left.
#[derive(Default)]
pub struct RecoveredState {
    pub messages: Vec<RecoveredMessage>,
    pub outages: Vec<OutageRecord>,
    pub tombstones: Vec<TombstoneRecord>,
    /// Log lines about damage in the file.
    pub damage_notes: Vec<String>,
}

fn frame(record: &Record) -> io::Result<Vec<u8>> {
    let payload = postcard::to_stdvec(record).map_err(io::Error::other)?;
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    frame.extend_from_slice(&FRAME_MARKER);
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// Returns the record at the start of `bytes` and the length of its frame, if the frame is complete and
/// undamaged.
fn unframe(bytes: &[u8]) -> Option<(Record, usize)> {
    let header = bytes.get(..FRAME_HEADER_BYTES).filter(|h| h.starts_with(&FRAME_MARKER))?;
    let read_u32 = |at: usize| Some(u32::from_le_bytes(header.get(at..at + 4)?.try_into().ok()?));
    let (length, checksum) = (read_u32(4)? as usize, read_u32(8)?);
    let payload = bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES.checked_add(length)?)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    Some((postcard::from_bytes(payload).ok()?, FRAME_HEADER_BYTES + length))
}

/// Returns all undamaged records. After damage it searches for the next undamaged record. Damage at the end
/// of the file is a torn tail, left by a process that was killed while it wrote.
fn read_records(bytes: &[u8], notes: &mut Vec<String>) -> Vec<Record> {
    let (mut records, mut offset) = (Vec::new(), 0);
    while offset < bytes.len() {
        if let Some((record, length)) = unframe(&bytes[offset..]) {
            records.push(record);
            offset += length;
            continue;
        }
        let next = (offset + 1..bytes.len()).find(|i| unframe(&bytes[*i..]).is_some());
        match next {
            Some(next) => notes.push(format!("journal: {} damaged bytes at {offset} skipped", next - offset)),
            None => notes.push(format!("journal: torn tail of {} bytes dropped", bytes.len() - offset)),
        }
        offset = next.unwrap_or(bytes.len());
    }
    records
}

/// Locks the folder for this process.
fn lock_folder(folder: &File) -> io::Result<()> {
    folder.try_lock().map_err(|e| match e {
        TryLockError::WouldBlock => io::Error::new(io::ErrorKind::WouldBlock, "in use by another process"),
        TryLockError::Error(e) => e,
    })
}

impl Journal {
    /// Opens the folder's journal and returns the state that an earlier process has left. `max_bytes` is
    /// the maximum size of the folder.
    ///
    /// # Errors
    /// Any error of reading and writing. `WouldBlock` if another process has the folder open; nothing in the
    /// folder is changed then.
    pub fn open(folder: PathBuf, max_bytes: u64) -> io::Result<(Journal, RecoveredState)> {
        let path = folder.join("journal");
        // The folder itself is locked, as its files are replaced. The lock ends with the process.
        let lock = File::open(&folder)?;
        lock_folder(&lock)?;
        // This file is left by an interrupted compaction. The file that it was to replace is complete.
        match fs::remove_file(folder.join("journal.new")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let bytes = match fs::read(&path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            other => other?,
        };
        let mut recovered = RecoveredState::default();
        let records = read_records(&bytes, &mut recovered.damage_notes);
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        // Files take up space in units of 512 bytes, and there are two files during a compaction.
        let max_bytes = max_bytes.saturating_sub(2 * 512);
        let reserve_bytes = (max_bytes / 8).min(128 * 1024);
        let size = bytes.len() as u64;
        let mut journal = Journal {
            path,
            lock,
            released: false,
            file,
            size,
            live: BTreeMap::new(),
            live_bytes: 0,
            max_bytes,
            reserve_bytes,
        };
        journal.replay(records, &mut recovered)?;
        // Compaction drops damaged records and a torn tail, so that records appended later can be read.
        if journal.live_bytes != journal.size {
            journal.compact()?;
        }
        Ok((journal, recovered))
    }

    /// Releases the folder to another process. From then on nothing is written, and each call that records
    /// something fails.
    ///
    /// # Errors
    /// Any error of unlocking; the folder is then not released.
    pub fn release(&mut self) -> io::Result<()> {
        self.lock.unlock()?;
        self.released = true;
        Ok(())
    }

    /// Takes the folder back and writes the journal anew. A process that had it meanwhile must not have acted
    /// on anything that it read.
    ///
    /// # Errors
    /// `WouldBlock` if another process has the folder, and any error of writing.
    pub fn reacquire(&mut self) -> io::Result<()> {
        lock_folder(&self.lock)?;
        self.released = false;
        self.compact()
    }

    fn replay(&mut self, records: Vec<Record>, recovered: &mut RecoveredState) -> io::Result<()> {
        let mut messages: BTreeMap<u64, RecoveredMessage> = BTreeMap::new();
        for record in records {
            let bytes = frame(&record)?;
            match record {
                Record::Accepted(id, message) => {
                    self.add_live(id, &bytes);
                    messages
                        .insert(id, RecoveredMessage { id, message, attempts: Vec::new(), given_up: None });
                }
                Record::Ended(id) => {
                    self.remove_live(id);
                    messages.remove(&id);
                }
                Record::Outages(outages) => {
                    self.remove_live(OUTAGES_ID);
                    self.add_live(OUTAGES_ID, &bytes);
                    recovered.outages = outages;
                }
                Record::Tombstones(tombstones) => {
                    self.remove_live(TOMBSTONES_ID);
                    self.add_live(TOMBSTONES_ID, &bytes);
                    recovered.tombstones = tombstones;
                }
                Record::AttemptBegun(id, number, at, endpoint) => {
                    let Some(message) = messages.get_mut(&id) else { continue };
                    let (may_have_run, may_run_yet) = (true, true);
                    message.attempts.push(Attempt { number, at, endpoint, may_have_run, may_run_yet });
                    self.add_live(id, &bytes);
                }
                Record::Outcome(id, number, may_have_run, may_run_yet) => {
                    let Some(message) = messages.get_mut(&id) else { continue };
                    for attempt in message.attempts.iter_mut().filter(|a| a.number == number) {
                        (attempt.may_have_run, attempt.may_run_yet) = (may_have_run, may_run_yet);
                    }
                    self.add_live(id, &bytes);
                }
                Record::GivenUp(id, given_up) => {
                    let Some(message) = messages.get_mut(&id) else { continue };
                    message.given_up = Some(given_up);
                    self.add_live(id, &bytes);
                }
            }
        }
        recovered.messages = messages.into_values().collect();
        Ok(())
    }

    fn add_live(&mut self, id: u64, bytes: &[u8]) {
        self.live_bytes += bytes.len() as u64;
        self.live.entry(id).or_default().extend_from_slice(bytes);
    }

    fn remove_live(&mut self, id: u64) {
        let frames = self.live.remove(&id).unwrap_or_default();
        self.live_bytes -= frames.len() as u64;
    }

    /// Writes all live records to a new file, which then replaces the old one.
    fn compact(&mut self) -> io::Result<()> {
        let new_path = self.path.with_extension("new");
        let mut contents = Vec::with_capacity(self.live_bytes as usize);
        self.live.values().for_each(|frames| contents.extend_from_slice(frames));
        let written = fs::write(&new_path, &contents).and_then(|()| fs::rename(&new_path, &self.path));
        if let Err(e) = written {
            let _ignored = fs::remove_file(&new_path);
            return Err(e);
        }
        self.file = OpenOptions::new().append(true).open(&self.path)?;
        self.size = contents.len() as u64;
        Ok(())
    }

    /// Appends a record. There must then still be space for `spare_bytes`, and for the new file of a
    /// compaction.
    fn append(&mut self, id: u64, record: &Record, spare_bytes: u64) -> io::Result<()> {
        if self.released {
            return Err(io::Error::other("the state folder was released to another process"));
        }
        let bytes = frame(record)?;
        let added = bytes.len() as u64;
        let fits = |j: &Journal| j.size + added + j.live_bytes + added + spare_bytes <= j.max_bytes;
        if self.size > 2 * self.live_bytes + MAX_DEAD_BYTES || !fits(self) {
            self.compact()?;
        }
        if !fits(self) {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        if let Err(e) = self.file.write_all(&bytes) {
            // A partial record must not precede the next one.
            self.file.set_len(self.size)?;
            return Err(e);
        }
        self.size += added;
        if matches!(record, Record::Ended(_) | Record::Outages(_) | Record::Tombstones(_)) {
            self.remove_live(id);
        }
        if !matches!(record, Record::Ended(_)) {
            self.add_live(id, &bytes);
        }
        Ok(())
    }

    /// Records that a message is accepted. On an error it is not accepted and must be refused.
    pub fn record_accepted(&mut self, id: u64, message: AcceptedMessage) -> io::Result<()> {
        self.append(id, &Record::Accepted(id, message), self.reserve_bytes)
    }

    /// Records that an attempt is about to be sent. On an error it must not be sent.
    pub fn record_attempt(&mut self, id: u64, attempt: u32, at: f64, endpoint: &str) -> io::Result<()> {
        self.append(id, &Record::AttemptBegun(id, attempt, at, endpoint.into()), self.reserve_bytes / 2)
    }

    /// Records the outcome of an attempt: whether it may have run, and whether it may still be running.
    pub fn record_outcome(
        &mut self, id: u64, attempt: u32, may_have_run: bool, may_run_yet: bool,
    ) -> io::Result<()> {
        self.append(id, &Record::Outcome(id, attempt, may_have_run, may_run_yet), 0)
    }

    /// Records that a message is given up. It stays in the journal until it has ended.
    pub fn record_given_up(&mut self, id: u64, given_up: GivenUp) -> io::Result<()> {
        self.append(id, &Record::GivenUp(id, given_up), 0)
    }

    /// Records the outages that the decision module knows of, in place of any recorded before.
    pub fn record_outages(&mut self, outages: Vec<OutageRecord>) -> io::Result<()> {
        self.append(OUTAGES_ID, &Record::Outages(outages), self.reserve_bytes / 2)
    }

    /// Records hosts that a later process must not send to, whatever list it starts from.
    ///
    /// # Errors
    /// Any error of writing; `StorageFull` if there is no space in the folder.
    pub fn record_tombstones(&mut self, tombstones: Vec<TombstoneRecord>) -> io::Result<()> {
        self.append(TOMBSTONES_ID, &Record::Tombstones(tombstones), 0)
    }

    /// Records that a message has ended. It is not recovered by a later process.
    pub fn record_ended(&mut self, id: u64) -> io::Result<()> {
        self.append(id, &Record::Ended(id), 0)
    }
}
