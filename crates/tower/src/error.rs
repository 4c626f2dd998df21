//! Errors of calls that were not delivered.

use crate::body::Collected;
use std::fmt;
use std::time::Duration;

/// Why a call was not delivered. Each call ends exactly once, with a response or with one of these errors.
#[derive(Debug)]
pub enum Error {
    /// The call was not delivered. The rules of its class allow the caller to send it again later.
    Refused {
        /// Time after which the caller may try again, if known.
        retry_after: Option<Duration>,
        /// Whether the partner may have processed an attempt.
        may_have_run: bool,
        /// What a partner answered last, if one did.
        last: Option<Box<http::Response<Collected>>>,
    },
    /// The relay gave the call up, and a repeat is not known to be harmless.
    Failed {
        /// Whether the partner may have processed an attempt. If so, check what the partner has done before
        /// sending the call again.
        may_have_run: bool,
        /// What a partner answered last, if one did.
        last: Option<Box<http::Response<Collected>>>,
    },
    /// The call is invalid and no attempt was made. The text says what is wrong with it.
    BadCall(&'static str),
    /// The relay has been shut down. A call that had been accepted may have run; with a state folder, the
    /// next process on that folder continues it.
    Stopped {
        /// Whether the call had been accepted.
        taken: bool,
    },
}

impl Error {
    /// Returns whether the partner may have processed the call.
    pub fn may_have_run(&self) -> bool {
        match self {
            Error::Refused { may_have_run, .. } | Error::Failed { may_have_run, .. } => *may_have_run,
            Error::BadCall(_) => false,
            Error::Stopped { taken } => *taken,
        }
    }

    /// Returns the time after which the caller may try again, if known.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::Refused { retry_after, .. } => *retry_after,
            _ => None,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let run_note = if self.may_have_run() { "; it may have run" } else { "; it did not run" };
        match self {
            Error::Refused { retry_after: Some(after), .. } => {
                write!(f, "refused, come back in {} ms{run_note}", after.as_millis())
            }
            Error::Refused { .. } => write!(f, "refused{run_note}"),
            Error::Failed { .. } => write!(f, "not delivered{run_note}"),
            Error::BadCall(why) => write!(f, "the call can't be taken: {why}"),
            Error::Stopped { .. } => write!(f, "the relay was shut down{run_note}"),
        }
    }
}

impl std::error::Error for Error {}
