//! The journal in the state folder: one append-only file with the accepted messages and the attempts made for
//! them. Records are not synced to disk, as written data survives the end of the process. Each record is
//! framed by a marker, its length and its checksum, so that a torn or damaged record does not affect others.

mod ended;
mod hosts;
mod key_pauses;
mod reader;
mod record;

pub use ended::{EndedMessage, ENDED_RETENTION_MS};
pub use hosts::HostChange;
pub use record::{AcceptedMessage, GivenUp, OutageRecord, StoredHost, StoredList, TombstoneRecord};

use ended::EndedTable;
use hosts::HostTable;
use key_pauses::KeyPauses;
use reader::RecordReader;
use record::{frame, Record};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

/// The journal is compacted, which drops the records of ended messages, once it is larger than twice its live
/// records plus this.
const MAX_DEAD_BYTES: u64 = 256 * 1024;
/// Number of bytes that a compaction writes at a time.
const COMPACTION_BUFFER_BYTES: usize = 64 * 1024;
/// Records about hosts may take this fraction (one fifth) of the folder, and twice as much during a
/// compaction. Into 3 MB fit 4,096 tombstones, and 3,200 hosts beside as many that are leaving.
const HOSTS_DIVISOR: u64 = 5;
/// Ended messages that are remembered may take this fraction of the folder, and twice as much during a compaction.
/// Into 3 MB fit 3,300 with ids of 32 characters.
const ENDED_DIVISOR: u64 = 16;
/// Pauses of keys may take this fraction of the space that is reserved for the records of accepted messages.
const KEY_PAUSES_DIVISOR: u64 = 2;
/// Memory of an open message besides its record and its body: indexes here, in the engine and in the decisions.
const OPEN_MESSAGE_BYTES: u64 = 1024;
/// Minimum size of a stored host, in bytes.
const MIN_HOST_BYTES: u64 = 40;

/// Key of [`Record::Outages`] among the live records. Message numbers start at 1.
const OUTAGES_ID: u64 = 0;

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
    hosts: HostTable,
    key_pauses: KeyPauses,
    ended: EndedTable,
    max_bytes: u64,
    /// Maximum memory of all open messages.
    max_message_memory: u64,
    /// Space that is reserved for the records of messages that are already accepted.
    reserve_bytes: u64,
}

/// The state that an earlier process has left.
#[derive(Default)]
pub struct RecoveredState {
    pub messages: Vec<RecoveredMessage>,
    pub outages: Vec<OutageRecord>,
    /// The messages that ended lately and are remembered, the oldest first, perhaps for longer than their time.
    pub ended: Vec<EndedMessage>,
    /// Order keys and the wall-clock times until which they are paused, perhaps past ones.
    pub key_pauses: Vec<(String, f64)>,
    /// The tombstones, the oldest first.
    pub tombstones: Vec<TombstoneRecord>,
    /// What [`RecoveredState::hosts`] stands for.
    pub list: StoredList,
    /// The listed hosts, sorted by name. Empty unless the stored list is complete.
    pub hosts: Vec<StoredHost>,
    /// Log lines about damage in the file.
    pub damage_notes: Vec<String>,
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
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        let size = file.metadata()?.len();
        let mut records = RecordReader::new(File::open(&path)?, size);
        let mut recovered = RecoveredState::default();
        // Files take up space in units of 512 bytes, and there are two files during a compaction.
        let max_bytes = max_bytes.saturating_sub(2 * 512);
        let reserve_bytes = (max_bytes / 8).min(128 * 1024);
        let mut journal = Journal {
            path,
            lock,
            released: false,
            file,
            size,
            live: BTreeMap::new(),
            live_bytes: 0,
            hosts: HostTable::default(),
            key_pauses: KeyPauses::default(),
            ended: EndedTable::default(),
            max_bytes,
            max_message_memory: u64::MAX,
            reserve_bytes,
        };
        journal.replay(&mut records, &mut recovered)?;
        recovered.damage_notes = std::mem::take(&mut records.notes);
        if records.has_damage {
            // The damaged record may be the departure of a host.
            journal.hosts.give_up_list()?;
        }
        recovered.key_pauses = journal.key_pauses.list();
        recovered.list = journal.hosts.list().clone();
        recovered.hosts = journal.hosts.listed_hosts();
        recovered.tombstones =
            journal.hosts.tombstones().into_iter().map(|(_, tombstone)| tombstone).collect();
        // Compaction drops damaged records and a torn tail, so that records appended later can be read.
        if journal.live_size() != journal.size {
            journal.compact()?;
        }
        Ok((journal, recovered))
    }

    /// Sets how much memory all open messages may take: their records, which are kept here, their bodies, which
    /// the engine keeps as well, and what else each one needs. A message beyond it is not accepted.
    pub fn set_max_message_memory(&mut self, bytes: u64) {
        self.max_message_memory = bytes;
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

    fn replay(&mut self, records: &mut RecordReader<File>, recovered: &mut RecoveredState) -> io::Result<()> {
        let mut messages: BTreeMap<u64, RecoveredMessage> = BTreeMap::new();
        while let Some(record) = records.next()? {
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
                Record::Tombstones(tombstones) => self.hosts.apply_all_tombstones(tombstones)?,
                record @ (Record::Host(_)
                | Record::HostRemoved(_)
                | Record::Tombstone(..)
                | Record::TombstoneRemoved(_)
                | Record::HostList(_)) => self.hosts.apply(record, bytes),
                Record::Remembered(ended) => {
                    self.ended.add(ended.at, bytes, self.max_bytes / ENDED_DIVISOR);
                    recovered.ended.push(ended);
                }
                Record::KeyPaused(key, until) => self.key_pauses.set(key, until, bytes),
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
        let frames = self.live.entry(id).or_default();
        frames.reserve_exact(bytes.len());
        frames.extend_from_slice(bytes);
    }

    fn remove_live(&mut self, id: u64) {
        let frames = self.live.remove(&id).unwrap_or_default();
        self.live_bytes -= frames.len() as u64;
    }

    /// Writes all live records to a new file, which then replaces the old one.
    fn compact(&mut self) -> io::Result<()> {
        let new_path = self.path.with_extension("new");
        let written = self.write_live(&new_path).and_then(|()| fs::rename(&new_path, &self.path));
        if let Err(e) = written {
            let _ignored = fs::remove_file(&new_path);
            return Err(e);
        }
        self.file = OpenOptions::new().append(true).open(&self.path)?;
        self.size = self.live_size();
        Ok(())
    }

    /// Writes all live records to a file.
    fn write_live(&self, path: &Path) -> io::Result<()> {
        let mut contents = BufWriter::with_capacity(COMPACTION_BUFFER_BYTES, File::create(path)?);
        for frames in self.live.values() {
            contents.write_all(frames)?;
        }
        self.ended.write_to(&mut contents)?;
        self.hosts.write_to(&mut contents)?;
        self.key_pauses.write_to(&mut contents)?;
        contents.flush()
    }

    /// Returns the size of all live records, which is what a compacted file has.
    fn live_size(&self) -> u64 {
        self.live_bytes + self.hosts.bytes() + self.key_pauses.bytes() + self.ended.bytes()
    }

    /// Returns whether the folder was released to another process.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Appends frames to the file. There must then still be space for `spare_bytes`, and for the new file of
    /// a compaction.
    fn write(&mut self, frames: &[u8], spare_bytes: u64) -> io::Result<()> {
        if self.released {
            return Err(io::Error::other("the state folder was released to another process"));
        }
        let added = frames.len() as u64;
        let fits = |j: &Journal| j.size + added + j.live_size() + added + spare_bytes <= j.max_bytes;
        if self.size > 2 * self.live_size() + MAX_DEAD_BYTES || !fits(self) {
            self.compact()?;
        }
        if !fits(self) {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        if let Err(e) = self.file.write_all(frames) {
            // A partial record must not precede the next one.
            self.file.set_len(self.size)?;
            return Err(e);
        }
        self.size += added;
        Ok(())
    }

    /// Appends a record of a message or of the outages.
    fn append(&mut self, id: u64, record: &Record, spare_bytes: u64) -> io::Result<()> {
        self.append_framed(id, record, frame(record)?, spare_bytes)
    }

    /// Appends a record in its frame.
    fn append_framed(
        &mut self, id: u64, record: &Record, bytes: Vec<u8>, spare_bytes: u64,
    ) -> io::Result<()> {
        self.write(&bytes, spare_bytes)?;
        if matches!(record, Record::Ended(_) | Record::Outages(_)) {
            self.remove_live(id);
        }
        if !matches!(record, Record::Ended(_)) {
            self.add_live(id, &bytes);
        }
        Ok(())
    }

    /// Records that a message is accepted. On an error it is not accepted and must be refused.
    ///
    /// # Errors
    /// Any error of writing; `StorageFull` if there is no space in the folder, `QuotaExceeded` if the open messages
    /// would take too much memory.
    pub fn record_accepted(&mut self, id: u64, message: AcceptedMessage) -> io::Result<()> {
        let record = Record::Accepted(id, message);
        let bytes = frame(&record)?;
        let messages = self.live.len() as u64 + 1;
        let memory = 2 * (self.live_bytes + bytes.len() as u64) + messages * OPEN_MESSAGE_BYTES;
        if memory > self.max_message_memory {
            return Err(io::Error::from(io::ErrorKind::QuotaExceeded));
        }
        self.append_framed(id, &record, bytes, self.reserve_bytes)
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

    /// Records that a key is paused until a wall-clock time; `now` is the current one.
    ///
    /// # Errors
    /// Any error of writing; `StorageFull` if too many keys are paused. Nothing is recorded then.
    pub fn record_key_pause(&mut self, key: &str, until: f64, now: f64) -> io::Result<()> {
        self.key_pauses.drop_ended(now);
        let bytes = KeyPauses::frame(key, until)?;
        let max_bytes = self.reserve_bytes / KEY_PAUSES_DIVISOR;
        if self.key_pauses.bytes() + bytes.len() as u64 > max_bytes {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        self.write(&bytes, 0)?;
        self.key_pauses.set(key.to_string(), until, bytes);
        Ok(())
    }

    /// Records that a message has ended. It is not recovered by a later process.
    pub fn record_ended(&mut self, id: u64) -> io::Result<()> {
        self.append(id, &Record::Ended(id), 0)
    }

    /// Records that a message has ended, and remembers it for [`ENDED_RETENTION_MS`] while there is room.
    ///
    /// # Errors
    /// Any error of writing. Nothing is recorded then.
    pub fn record_ended_remembered(&mut self, id: u64, ended: EndedMessage) -> io::Result<()> {
        let at = ended.at;
        let remembered = frame(&Record::Remembered(ended))?;
        // In one write, and the end last: a message that is torn between them is still open.
        let both = [&remembered[..], &frame(&Record::Ended(id))?].concat();
        match self.write(&both, 0) {
            Err(e) if e.kind() == io::ErrorKind::StorageFull => return self.record_ended(id),
            other => other?,
        }
        self.remove_live(id);
        self.ended.add(at, remembered, self.max_bytes / ENDED_DIVISOR);
        Ok(())
    }

    /// Returns what the stored hosts stand for.
    pub fn stored_list(&self) -> &StoredList {
        self.hosts.list()
    }

    /// Whether a list of so many hosts could fit into the folder.
    pub fn may_store_hosts(&self, hosts: usize) -> bool {
        hosts as u64 * MIN_HOST_BYTES <= self.max_bytes / HOSTS_DIVISOR
    }

    /// Records changes of the hosts, in their order.
    ///
    /// # Errors
    /// Any error of writing; `StorageFull` if there is no space in the folder. Nothing is recorded then, and
    /// [`Journal::give_up_list`] must follow if the stored list is a complete one.
    pub fn record_host_changes(&mut self, changes: Vec<HostChange>) -> io::Result<()> {
        let (mut records, mut bytes) = (Vec::with_capacity(changes.len()), Vec::new());
        for change in changes {
            let record = self.hosts.record(change);
            let row = frame(&record)?;
            bytes.extend_from_slice(&row);
            records.push((record, row));
        }
        let size = self.hosts.bytes() as i64 + self.hosts.growth(&records);
        if size > (self.max_bytes / HOSTS_DIVISOR) as i64 {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        self.write(&bytes, 0)?;
        records.into_iter().for_each(|(record, row)| self.hosts.apply(record, row));
        Ok(())
    }

    /// Drops the stored hosts, as a change of them could not be recorded: the next process then waits for the
    /// list of an agent. Needs no further space in the folder. While the folder is released nothing is
    /// written, as the process that has it records its own list.
    ///
    /// # Errors
    /// Any error of writing.
    pub fn give_up_list(&mut self) -> io::Result<()> {
        self.hosts.give_up_list()?;
        if self.released {
            return Ok(());
        }
        self.compact()
    }
}
