//! The folder that lasts: what the relay has taken on and what it did for it, in one append-only file. No
//! record needs a sync, as what was written outlasts the process. Each record is framed by a mark, its length
//! and its checksum, so that a torn or damaged one costs only itself.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::PathBuf;

const MARK: [u8; 4] = *b"\xf5mj\x01";
const FRAME: usize = MARK.len() + 8;
/// What is written of messages that are over is thrown out once it is more than this.
const MOST_DEAD: u64 = 256 * 1024;

/// A message that was taken on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    pub call_id: String,
    pub class: String,
    pub tenant: String,
    pub order_key: Option<String>,
    pub idempotency_key: Option<Vec<u8>>,
    /// Wall time, in milliseconds.
    pub due: f64,
    pub dest: u64,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// How a message ends that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum GivenUp {
    Undeliverable,
    Deferred { retry_after_ms: Option<f64> },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Record {
    Taken(u64, AcceptedMessage),
    /// An attempt is about to be written: number, wall time, endpoint.
    Begun(u64, u32, f64, String),
    /// An attempt has an outcome: number, whether it may have run, whether it may run yet.
    Outcome(u64, u32, bool, bool),
    Verdict(u64, GivenUp),
    Ended(u64),
    /// The outages that the module knows of; it takes the place of any earlier one.
    Outages(Vec<OutageRecord>),
    /// Hosts that were told to be leaving or gone; it takes the place of any earlier one.
    Departed(Vec<TombstoneRecord>),
}

/// Destination, endpoint, wall time of its return if it is back, deliveries a second before.
pub type OutageRecord = (u64, String, Option<f64>, f64);

/// Name, when the host had last started, who told, in which version of its list.
pub type TombstoneRecord = (String, f64, String, u64);

/// The place of [`Record::Outages`] among what is live; messages are numbered from 1.
const OUTAGES: u64 = 0;
/// The place of [`Record::Departed`]; so many messages are never taken.
const DEPARTED: u64 = u64::MAX;

/// An attempt of a message that an earlier process took on.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub number: u32,
    pub at: f64,
    pub endpoint: String,
    pub may_have_run: bool,
    pub may_run_yet: bool,
}

/// A message that is still owed its end.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredMessage {
    pub id: u64,
    pub message: AcceptedMessage,
    pub attempts: Vec<Attempt>,
    pub given_up: Option<GivenUp>,
}

/// The folder's journal, open.
pub struct Journal {
    path: PathBuf,
    /// Holds the folder's lock.
    lock: File,
    /// Another process may have the folder: nothing may be written.
    released: bool,
    file: File,
    size: u64,
    /// The frames of every message that is not over: what a new file would hold.
    live: BTreeMap<u64, Vec<u8>>,
    live_bytes: u64,
    most: u64,
    /// Room that is kept for the records of messages already taken on.
    reserve: u64,
}

/// What an earlier process left.
#[derive(Default)]
pub struct RecoveredState {
    pub messages: Vec<RecoveredMessage>,
    pub outages: Vec<OutageRecord>,
    pub tombstones: Vec<TombstoneRecord>,
    pub notes: Vec<String>,
}

fn frame(record: &Record) -> io::Result<Vec<u8>> {
    let payload = postcard::to_stdvec(record).map_err(io::Error::other)?;
    let mut frame = Vec::with_capacity(FRAME + payload.len());
    frame.extend_from_slice(&MARK);
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// The record at the start of `bytes` and the length of its frame, if it is whole.
fn unframe(bytes: &[u8]) -> Option<(Record, usize)> {
    let head = bytes.get(..FRAME).filter(|h| h.starts_with(&MARK))?;
    let number = |at: usize| Some(u32::from_le_bytes(head.get(at..at + 4)?.try_into().ok()?));
    let (length, sum) = (number(4)? as usize, number(8)?);
    let payload = bytes.get(FRAME..FRAME.checked_add(length)?)?;
    if crc32fast::hash(payload) != sum {
        return None;
    }
    Some((postcard::from_bytes(payload).ok()?, FRAME + length))
}

/// All whole records. After damage the next whole one is looked for; damage that nothing follows is a torn
/// tail, left by a process that was killed while it wrote.
fn read_records(bytes: &[u8], notes: &mut Vec<String>) -> Vec<Record> {
    let (mut records, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if let Some((record, length)) = unframe(&bytes[at..]) {
            records.push(record);
            at += length;
            continue;
        }
        let next = (at + 1..bytes.len()).find(|i| unframe(&bytes[*i..]).is_some());
        match next {
            Some(next) => notes.push(format!("journal: {} damaged bytes at {at} skipped", next - at)),
            None => notes.push(format!("journal: torn tail of {} bytes dropped", bytes.len() - at)),
        }
        at = next.unwrap_or(bytes.len());
    }
    records
}

/// Locks the folder for this process.
fn take(folder: &File) -> io::Result<()> {
    folder.try_lock().map_err(|e| match e {
        TryLockError::WouldBlock => io::Error::new(io::ErrorKind::WouldBlock, "in use by another process"),
        TryLockError::Error(e) => e,
    })
}

impl Journal {
    /// Opens the folder's journal and tells what is still owed. `most` bounds the folder, in bytes.
    ///
    /// # Errors
    /// What reading and writing give; `WouldBlock` if another process has the folder open, before anything in it is
    /// touched.
    pub fn open(folder: PathBuf, most: u64) -> io::Result<(Journal, RecoveredState)> {
        let path = folder.join("journal");
        // The folder itself is locked, as its files are replaced. The lock goes with the process.
        let lock = File::open(&folder)?;
        take(&lock)?;
        // What is left of a compaction that was cut off: the file that it would have replaced is whole.
        match fs::remove_file(folder.join("journal.new")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let bytes = match fs::read(&path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            other => other?,
        };
        let mut left = RecoveredState::default();
        let records = read_records(&bytes, &mut left.notes);
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        // Each file counts in whole 512 bytes, and there are two while one replaces the other.
        let most = most.saturating_sub(2 * 512);
        let reserve = (most / 8).min(128 * 1024);
        let size = bytes.len() as u64;
        let mut journal = Journal {
            path,
            lock,
            released: false,
            file,
            size,
            live: BTreeMap::new(),
            live_bytes: 0,
            most,
            reserve,
        };
        journal.replay(records, &mut left)?;
        // A new file leaves damage and a torn tail behind, so that what is appended can be read.
        if journal.live_bytes != journal.size {
            journal.compact()?;
        }
        Ok((journal, left))
    }

    /// Leaves the folder to another process. From now on nothing is written, and each call fails.
    ///
    /// # Errors
    /// What unlocking gives; the folder is kept then.
    pub fn release(&mut self) -> io::Result<()> {
        self.lock.unlock()?;
        self.released = true;
        Ok(())
    }

    /// Takes the folder back, as if nobody had had it meanwhile: whoever did has acted on nothing that it read.
    ///
    /// # Errors
    /// `WouldBlock` if another process has it; else what writing gives.
    pub fn retake(&mut self) -> io::Result<()> {
        take(&self.lock)?;
        self.released = false;
        self.compact()
    }

    fn replay(&mut self, records: Vec<Record>, left: &mut RecoveredState) -> io::Result<()> {
        let mut kept: BTreeMap<u64, RecoveredMessage> = BTreeMap::new();
        for record in records {
            let bytes = frame(&record)?;
            match record {
                Record::Taken(id, taken) => {
                    self.remember(id, &bytes);
                    kept.insert(
                        id,
                        RecoveredMessage { id, message: taken, attempts: Vec::new(), given_up: None },
                    );
                }
                Record::Ended(id) => {
                    self.forget(id);
                    kept.remove(&id);
                }
                Record::Outages(outages) => {
                    self.forget(OUTAGES);
                    self.remember(OUTAGES, &bytes);
                    left.outages = outages;
                }
                Record::Departed(departed) => {
                    self.forget(DEPARTED);
                    self.remember(DEPARTED, &bytes);
                    left.tombstones = departed;
                }
                Record::Begun(id, number, at, endpoint) => {
                    let Some(k) = kept.get_mut(&id) else { continue };
                    let (may_have_run, may_run_yet) = (true, true);
                    k.attempts.push(Attempt { number, at, endpoint, may_have_run, may_run_yet });
                    self.remember(id, &bytes);
                }
                Record::Outcome(id, number, may_have_run, may_run_yet) => {
                    let Some(k) = kept.get_mut(&id) else { continue };
                    for a in k.attempts.iter_mut().filter(|a| a.number == number) {
                        (a.may_have_run, a.may_run_yet) = (may_have_run, may_run_yet);
                    }
                    self.remember(id, &bytes);
                }
                Record::Verdict(id, verdict) => {
                    let Some(k) = kept.get_mut(&id) else { continue };
                    k.given_up = Some(verdict);
                    self.remember(id, &bytes);
                }
            }
        }
        left.messages = kept.into_values().collect();
        Ok(())
    }

    fn remember(&mut self, id: u64, bytes: &[u8]) {
        self.live_bytes += bytes.len() as u64;
        self.live.entry(id).or_default().extend_from_slice(bytes);
    }

    fn forget(&mut self, id: u64) {
        let frames = self.live.remove(&id).unwrap_or_default();
        self.live_bytes -= frames.len() as u64;
    }

    /// Writes all that is live to a new file and puts it in the old one's place.
    fn compact(&mut self) -> io::Result<()> {
        let new = self.path.with_extension("new");
        let mut all = Vec::with_capacity(self.live_bytes as usize);
        self.live.values().for_each(|frames| all.extend_from_slice(frames));
        let written = fs::write(&new, &all).and_then(|()| fs::rename(&new, &self.path));
        if let Err(e) = written {
            let _gone_or_not = fs::remove_file(&new);
            return Err(e);
        }
        self.file = OpenOptions::new().append(true).open(&self.path)?;
        self.size = all.len() as u64;
        Ok(())
    }

    /// Appends a frame if the folder then still has room for itself and `spare`, and for the new file that
    /// would replace the old one.
    fn append(&mut self, id: u64, record: &Record, spare: u64) -> io::Result<()> {
        if self.released {
            return Err(io::Error::other("the folder is left to another process"));
        }
        let bytes = frame(record)?;
        let more = bytes.len() as u64;
        let fits = |j: &Journal| j.size + more + j.live_bytes + more + spare <= j.most;
        if self.size > 2 * self.live_bytes + MOST_DEAD || !fits(self) {
            self.compact()?;
        }
        if !fits(self) {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        if let Err(e) = self.file.write_all(&bytes) {
            // Half a record must not stand before the next one.
            self.file.set_len(self.size)?;
            return Err(e);
        }
        self.size += more;
        if matches!(record, Record::Ended(_) | Record::Outages(_) | Record::Departed(_)) {
            self.forget(id);
        }
        if !matches!(record, Record::Ended(_)) {
            self.remember(id, &bytes);
        }
        Ok(())
    }

    /// A message is taken on. On an error it is not, and must be refused.
    pub fn record_accepted(&mut self, id: u64, taken: AcceptedMessage) -> io::Result<()> {
        self.append(id, &Record::Taken(id, taken), self.reserve)
    }

    /// An attempt's bytes are about to go out. On an error they must not.
    pub fn record_attempt(&mut self, id: u64, attempt: u32, at: f64, endpoint: &str) -> io::Result<()> {
        self.append(id, &Record::Begun(id, attempt, at, endpoint.into()), self.reserve / 2)
    }

    pub fn record_outcome(
        &mut self, id: u64, attempt: u32, may_have_run: bool, may_run_yet: bool,
    ) -> io::Result<()> {
        self.append(id, &Record::Outcome(id, attempt, may_have_run, may_run_yet), 0)
    }

    pub fn record_given_up(&mut self, id: u64, verdict: GivenUp) -> io::Result<()> {
        self.append(id, &Record::Verdict(id, verdict), 0)
    }

    pub fn record_outages(&mut self, outages: Vec<OutageRecord>) -> io::Result<()> {
        self.append(OUTAGES, &Record::Outages(outages), self.reserve / 2)
    }

    /// Hosts that a later process must not send to, whatever list it starts from.
    ///
    /// # Errors
    /// What writing gives; `StorageFull` where the folder has no room.
    pub fn record_tombstones(&mut self, departed: Vec<TombstoneRecord>) -> io::Result<()> {
        self.append(DEPARTED, &Record::Departed(departed), 0)
    }

    pub fn record_ended(&mut self, id: u64) -> io::Result<()> {
        self.append(id, &Record::Ended(id), 0)
    }
}
