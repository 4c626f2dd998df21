//! The audit of messages: a line in the log for each step in a message's life, with its sender's id, so that it can be
//! followed through a relay and from one process to the next. Off unless it is asked for; each step then costs one load.

use serde::Serialize;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Begins a line of the audit.
const MARK: &str = "audit ";

static ENABLED: AtomicBool = AtomicBool::new(false);

/// A step in a message's life.
#[derive(Debug, Serialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step<'a> {
    /// Its request has been read whole and goes to the engine.
    Handed {
        /// The client's connection, counted by this process.
        client: u64,
        /// When its time is up, in milliseconds since 1970.
        due: f64,
        /// The index of its class.
        class: usize,
        /// Its destination.
        destination: u64,
    },
    /// The engine has said what its client hears.
    Answered {
        /// The client's connection.
        client: u64,
        /// The answer's status.
        status: u16,
    },
    /// The answer's last byte has been accepted by the client's socket.
    AnswerWritten {
        /// The client's connection.
        client: u64,
    },
    /// Its client has gone, or its connection was closed, before the answer was written.
    ClientGone {
        /// The client's connection.
        client: u64,
    },
    /// An earlier process had taken it on and left it.
    Restored {
        /// When its time is up, in milliseconds since 1970.
        due: f64,
        /// Attempts that were begun.
        attempts: usize,
        /// It was given up already; only the notice was owed.
        given_up: bool,
    },
    /// An attempt is about to be written.
    Begun {
        /// Counted from 0.
        attempt: u32,
        /// The host.
        endpoint: &'a str,
        /// The connection to it, by its local port.
        port: u16,
        /// Requests that this connection carried before.
        carried: u32,
    },
    /// An attempt has ended.
    Ended {
        /// Counted from 0.
        attempt: u32,
        /// What it came to.
        outcome: String,
        /// Nothing more is owed.
        settled: bool,
        /// The status in the first line that came back.
        status: Option<u16>,
        /// Whether it was written whole.
        whole: bool,
    },
    /// It is over, and this is said of it to the platform; nothing, if it was delivered.
    Final {
        /// How.
        outcome: &'a str,
    },
    /// Its notice has been answered.
    Notified {
        /// The answer's status.
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

/// Writes the audit from now on.
pub fn enable() {
    ENABLED.store(true, Ordering::Relaxed);
}

/// Whether the audit is written.
pub fn enabled() -> bool {
    ENABLED.load(Ordering::Relaxed)
}

/// Notes a step of the message with this id.
pub fn note<'a>(id: &'a str, step: impl FnOnce() -> Step<'a>) {
    if !enabled() {
        return;
    }
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
    if let Ok(line) = serde_json::to_string(&Line { at, id, step: step() }) {
        eprintln!("mulleinslip: {MARK}{line}");
    }
}

#[cfg(test)]
mod tests;
