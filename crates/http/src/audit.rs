//! The audit log: one line for each step of a message's life, with the client's id of the message, so that a
//! message can be followed through a relay and across takeovers. It is off by default; each step then costs
//! one atomic load.

use serde::Serialize;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Prefix of each audit line.
const LINE_PREFIX: &str = "audit ";

static ENABLED: AtomicBool = AtomicBool::new(false);

/// A step of a message's life.
#[derive(Debug, Serialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step<'a> {
    /// The message's request was read in full and goes to the engine.
    Handed {
        /// Number of the client's connection in this process.
        client: u64,
        /// The message's deadline, in milliseconds since 1970.
        due: f64,
        /// Index of the message's class.
        class: usize,
        /// The message's destination.
        destination: u64,
    },
    /// The engine has decided the answer to the client.
    Answered {
        /// Number of the client's connection.
        client: u64,
        /// HTTP status of the answer.
        status: u16,
    },
    /// The client's socket has accepted the last byte of the answer.
    AnswerWritten {
        /// Number of the client's connection.
        client: u64,
    },
    /// The client left, or its connection was closed, before the answer was written.
    ClientGone {
        /// Number of the client's connection.
        client: u64,
    },
    /// The message was recovered from the journal of an earlier process.
    Restored {
        /// The message's deadline, in milliseconds since 1970.
        due: f64,
        /// Number of attempts that the earlier process began.
        attempts: usize,
        /// Whether the message was given up already and only its notice was pending.
        given_up: bool,
    },
    /// An attempt is about to be written to a host.
    Begun {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The host.
        endpoint: &'a str,
        /// Local port of the connection to the host.
        port: u16,
        /// Number of requests that the connection carried before.
        carried: u32,
        /// Time since the last response on the connection, in milliseconds; missing for a new connection.
        #[serde(skip_serializing_if = "Option::is_none")]
        idle_ms: Option<u64>,
    },
    /// An attempt has ended.
    Ended {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The outcome of the attempt.
        outcome: String,
        /// Whether the message is finished with this attempt.
        settled: bool,
        /// HTTP status in the response's status line, if one was received.
        status: Option<u16>,
        /// Whether the request was written in full.
        whole: bool,
    },
    /// A delivery by a response on a connection that carried earlier requests was verified, or can't be.
    Verified {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Whether nothing more came on the connection while it rested.
        verified: bool,
    },
    /// The message has its final answer; the platform gets a notice unless the message was delivered or ended
    /// by the partner.
    Final {
        /// The final answer.
        outcome: &'a str,
    },
    /// The platform has answered the message's notice.
    Notified {
        /// HTTP status of that answer.
        status: u16,
    },
}

#[derive(Serialize)]
struct Line<'a> {
    at: f64,
    id: &'a str,
    #[serde(flatten)]
    step: Step<'a>,
}

/// Turns the audit log on.
pub fn enable() {
    ENABLED.store(true, Ordering::Relaxed);
}

/// Returns whether the audit log is on.
pub fn enabled() -> bool {
    ENABLED.load(Ordering::Relaxed)
}

/// Logs a step of the message with this id, if the audit log is on.
pub fn log_step<'a>(id: &'a str, step: impl FnOnce() -> Step<'a>) {
    if !enabled() {
        return;
    }
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
    if let Ok(line) = serde_json::to_string(&Line { at, id, step: step() }) {
        eprintln!("mulleinslip: {LINE_PREFIX}{line}");
    }
}

#[cfg(test)]
mod tests;
