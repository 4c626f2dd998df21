//! The records of the journal, and the frames in which they are stored: the order and types of variants and
//! fields must not change, as a relay reads journals of earlier versions.

use crate::ended::EndedMessage;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;

const FRAME_MARKER: [u8; 4] = *b"\xf5mj\x01";
/// Marker, length of the payload and checksum.
pub(crate) const FRAME_HEADER_BYTES: usize = FRAME_MARKER.len() + 8;

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

/// A record of the journal.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Record {
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
    /// All tombstones. Read only: earlier versions recorded them all at once.
    Tombstones(Vec<TombstoneRecord>),
    /// A host is listed. Replaces any earlier record of the host.
    Host(StoredHost),
    /// The host of this name is not listed any more.
    HostRemoved(String),
    /// Sequence number and tombstone of a host. Replaces any earlier tombstone of the host.
    Tombstone(u64, TombstoneRecord),
    /// The tombstone of the host of this name no longer applies.
    TombstoneRemoved(String),
    /// What the listed hosts stand for. [`StoredList::Incomplete`] removes all hosts and tombstones that come
    /// before it.
    HostList(StoredList),
    /// No other message of this key is sent before this wall-clock time. Replaces any earlier record of the key.
    KeyPaused(String, f64),
    /// A message ends and is remembered by its sender's id. [`Record::Ended`] follows.
    Remembered(EndedMessage),
}

/// Destination, endpoint, wall-clock time at which it recovered (if it has), and deliveries per second before
/// the outage.
pub type OutageRecord = (u64, String, Option<f64>, f64);

/// Host name, time of the host's last start, the agent that reported it, and the version of that agent's
/// list.
pub type TombstoneRecord = (String, f64, String, u64);

/// A listed host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredHost {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub destination: u64,
    /// Whether the host is leaving: nothing new goes there.
    pub leaving: bool,
    pub weight: f64,
    /// The host's last start as listed, in milliseconds since 1970.
    pub since_ms: f64,
}

/// What the stored hosts stand for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum StoredList {
    /// No list of an agent was ever stored in this folder.
    #[default]
    Never,
    /// The stored hosts are the whole list of this agent.
    Complete {
        /// The agent's address.
        agent: String,
        /// Version of the list. A later version that changes no host is not recorded.
        index: u64,
    },
    /// There was no space for the list, or a record of it is damaged. Hosts may have left since the list in
    /// the configuration, and it is not known which ones.
    Incomplete,
}

/// Returns a record's frame.
pub(crate) fn frame(record: &Record) -> io::Result<Vec<u8>> {
    let payload = postcard::to_stdvec(record).map_err(io::Error::other)?;
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    frame.extend_from_slice(&FRAME_MARKER);
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// Returns the length of the frame that `bytes` begin with, as its header tells, if they begin with one.
pub(crate) fn frame_length(bytes: &[u8]) -> Option<usize> {
    let header = bytes.get(..FRAME_HEADER_BYTES).filter(|h| h.starts_with(&FRAME_MARKER))?;
    let length = u32::from_le_bytes(header.get(4..8)?.try_into().ok()?);
    FRAME_HEADER_BYTES.checked_add(length as usize)
}

/// Returns the record at the start of `bytes` and the length of its frame, if the frame is complete and
/// undamaged.
pub(crate) fn unframe(bytes: &[u8]) -> Option<(Record, usize)> {
    let length = frame_length(bytes)?;
    let checksum = u32::from_le_bytes(bytes.get(8..FRAME_HEADER_BYTES)?.try_into().ok()?);
    let payload = bytes.get(FRAME_HEADER_BYTES..length)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    Some((postcard::from_bytes(payload).ok()?, length))
}
