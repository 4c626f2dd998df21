//! The frames that the two processes exchange, in postcard form: the order and types of variants and fields
//! must not change.

use linenhall::Outcome;
use serde::{Deserialize, Serialize};

/// Version of the protocol. Version 2 adds [`ToNew::Learnt`] and the variants after it. The old process uses
/// the version that the new one asks for; the new process falls back to [`FIRST_VERSION`] if this version is
/// rejected.
pub const VERSION: u16 = 2;
/// Oldest supported version of the protocol.
pub const FIRST_VERSION: u16 = 1;
/// Maximum number of accepted [`ToNew::Learnt`] frames, and of [`ToNew::List`] frames: enough for some ten
/// thousand endpoint groups.
pub const MAX_PARTS: usize = 1024;
/// Maximum number of rows in a [`ToNew::Learnt`] frame, so that it fits: an endpoint group has up to 256
/// sends of at most about 50 bytes.
pub const MAX_LEARNT_ROWS: usize = 8;
/// Maximum number of hosts in a [`ToNew::List`] frame. Low, as the length of names is not limited.
pub const MAX_LIST_ROWS: usize = 64;
/// Maximum length of a frame: enough for a client's unanswered request, or for [`MAX_ROWS`] rows. A socket's
/// buffer holds more.
pub const MAX_FRAME_BYTES: usize = 160 * 1024;
/// Maximum number of rows in a [`ToNew::AttemptsInFlight`] or [`ToNew::RetryAfters`] frame; a row of the
/// latter takes about 40 bytes and a name.
pub const MAX_ROWS: usize = 256;

/// Frames from the new process to the old one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToOld {
    /// Asks for the takeover. The new process has everything else that it needs to serve.
    Ask {
        /// [`VERSION`].
        version: u16,
    },
    /// The new process has opened the folder and read it.
    FolderOpened,
    /// Cancels an attempt whose result is no longer needed.
    CancelAttempt {
        /// The message's id.
        id: u64,
        /// The attempt's number.
        attempt: u32,
    },
}

/// Frames from the old process to the new one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToNew {
    /// Rejects the takeover, with the reason: the version is not supported, or a frame is not expected.
    Rejected(String),
    /// Attempts in flight: the message's id and the attempt's number.
    AttemptsInFlight(Vec<(u64, u32)>),
    /// Retry-After times: the destination, the endpoint (empty for all of the destination), and the remaining
    /// milliseconds.
    RetryAfters(Vec<(u64, String, f64)>),
    /// The state is complete and the folder is released. Carries the listener's descriptor.
    Ready {
        /// Whether clients are being sent elsewhere (drain).
        drained: bool,
    },
    /// The new process serves from now on.
    Go,
    /// A client's connection. Carries its descriptor.
    ClientConnection {
        /// The bytes that were received and belong to no answered request.
        unread: Vec<u8>,
    },
    /// An attempt in flight has ended.
    Ended(AttemptEnd),
    /// A part of the learnt state, before [`ToNew::Ready`]. In JSON, as versions may differ in what they
    /// learn.
    Learnt(String),
    /// A part of the list of hosts, in JSON, and the agent that it came from. Without it, if discovery does
    /// not answer, the new process could send to hosts of which the old one knows that they drain. From
    /// version 2 on, before [`ToNew::Ready`].
    List {
        /// The agent's address.
        agent: String,
        /// Some of the hosts, in JSON.
        part: String,
    },
    /// An idle connection to a host. Carries its descriptor. From version 2 on, after [`ToNew::Go`].
    IdleConnection {
        /// The host's name in the list.
        endpoint: String,
        /// Time for which the connection has been idle, in milliseconds.
        idle_ms: f64,
    },
}

/// End of an attempt that the old process made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The message's id.
    pub id: u64,
    /// The attempt's number.
    pub attempt: u32,
    /// Time since the attempt was requested, in milliseconds.
    pub took_ms: f64,
    /// The attempt's outcome.
    #[serde(with = "WireOutcome")]
    pub outcome: Outcome,
    /// Whether the message has ended and no further answer is pending.
    pub settled: bool,
    /// Whether the host sent a response.
    pub answered: bool,
    /// Retry-After time that the host gave, in milliseconds. A [`ToNew::RetryAfters`] frame precedes this
    /// one.
    pub retry_after_ms: f64,
    /// The load report; empty if there is none.
    pub report: Vec<f64>,
}

/// Serialised form of [`Outcome`].
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
