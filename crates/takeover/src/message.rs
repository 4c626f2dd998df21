//! What the two processes tell each other.

use linenhall::Outcome;
use serde::{Deserialize, Serialize};

/// Of these frames and of what they mean. 2 has [`ToNew::Learnt`] and what follows it. A process that is asked speaks the version of the
/// one that asks; one that asks tries [`FIRST_VERSION`] if this one is refused.
pub const VERSION: u16 = 2;
/// The oldest version that is spoken.
pub const FIRST_VERSION: u16 = 1;
/// Parts of what was learnt that are taken: some ten thousand lanes.
pub const MOST_PARTS: usize = 1024;
/// Rows in such a part at most, so that it fits a frame: a lane tells up to 256 sends of some 50 bytes at most.
pub const PART_ROWS: usize = 8;
/// Hosts in a part of the list at most: names are short, but nobody says how short.
pub const LIST_ROWS: usize = 64;
/// The longest frame: a client's request that is not answered, or [`ROWS`] rows. A socket's buffer holds more.
pub const MAX_FRAME_BYTES: usize = 160 * 1024;
/// Rows in one frame at most; a wait takes some 40 bytes and a name.
pub const ROWS: usize = 256;

/// From the new process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToOld {
    /// It would go on, and has all else that it needs.
    Ask {
        /// [`VERSION`].
        version: u16,
    },
    /// It has the folder and has read it.
    FolderOpened,
    /// Nobody waits for this attempt any more.
    CancelAttempt {
        /// The message.
        id: u64,
        /// The attempt.
        attempt: u32,
    },
}

/// From the old process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToNew {
    /// It can't be asked: another version, or it is ending already.
    Rejected(String),
    /// Attempts that are out: message and number.
    AttemptsInFlight(Vec<(u64, u32)>),
    /// Waits: destination, endpoint or nothing, and for how many milliseconds more.
    RetryAfters(Vec<(u64, String, f64)>),
    /// That was all, and the folder is free. With the listener.
    Ready {
        /// Clients are being sent elsewhere.
        drained: bool,
    },
    /// It is the new process's now.
    Go,
    /// A client's connection, with this of it not answered. With the connection.
    Client {
        /// As it came.
        unread: Vec<u8>,
    },
    /// An attempt that was out has ended.
    Ended(AttemptEnd),
    /// A part of what it has learnt, as JSON: versions may differ in what they learn. Before [`ToNew::Ready`].
    Learnt(String),
    /// A part of the list of hosts as it has it, as JSON, and the agent that told it: with discovery silent the new process
    /// would know less, and send to hosts of which the old one had heard that they drain. From version 2 on, before
    /// [`ToNew::Ready`].
    List {
        /// The agent's address.
        agent: String,
        /// Some of the hosts.
        part: String,
    },
    /// A connection to a host that stands idle. With the connection. From version 2 on, after [`ToNew::Go`].
    Host {
        /// The host's name in the list.
        endpoint: String,
        /// For how long it has stood idle, in milliseconds.
        idle_ms: f64,
    },
}

/// How an attempt ended that the old process made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The message.
    pub id: u64,
    /// The attempt.
    pub attempt: u32,
    /// Since it was asked for, in milliseconds.
    pub took_ms: f64,
    /// What it came to.
    #[serde(with = "WireOutcome")]
    pub outcome: Outcome,
    /// The message is over.
    pub settled: bool,
    /// Whether something came back.
    pub answered: bool,
    /// A wait that was told, in milliseconds; [`ToNew::RetryAfters`] has gone ahead of it.
    pub wait_ms: f64,
    /// A load report, empty if there is none.
    pub report: Vec<f64>,
}

/// [`Outcome`], as it stands in a frame.
#[derive(Serialize, Deserialize)]
#[serde(remote = "Outcome")]
enum WireOutcome {
    Delivered,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Broken,
    Stale,
    Cancelled,
    NotSent,
}
