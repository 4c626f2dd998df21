//! How a call ends that was not delivered.

use crate::body::Collected;
use std::fmt;
use std::time::Duration;

/// Each call ends once, delivered or with one of these.
#[derive(Debug)]
pub enum Error {
    /// Not delivered; handing it in again later is harmless as its class sees it.
    Refused {
        /// When to come back, where that can be told.
        retry_after: Option<Duration>,
        /// Whether an attempt may have run.
        may_have_run: bool,
        /// What a partner answered last, if one did.
        last: Option<Box<http::Response<Collected>>>,
    },
    /// Given up, with no promise.
    Failed {
        /// Whether an attempt may have run: if so, only whoever knows what the partner has booked may send it again.
        may_have_run: bool,
        /// What a partner answered last, if one did.
        last: Option<Box<http::Response<Collected>>>,
    },
    /// The call can't be taken as it stands; it was not tried. The words say what is wrong with it.
    BadCall(&'static str),
    /// The relay has been shut down. A call that it had taken on may have run; with a folder, the next start on it
    /// carries the call on.
    Stopped {
        /// Whether it had been taken on.
        taken: bool,
    },
}

impl Error {
    /// Whether the partner may have acted on the call.
    pub fn may_have_run(&self) -> bool {
        match self {
            Error::Refused { may_have_run, .. } | Error::Failed { may_have_run, .. } => *may_have_run,
            Error::BadCall(_) => false,
            Error::Stopped { taken } => *taken,
        }
    }

    /// When to come back, where that is told.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::Refused { retry_after, .. } => *retry_after,
            _ => None,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ran = if self.may_have_run() { "; it may have run" } else { "; it did not run" };
        match self {
            Error::Refused { retry_after: Some(after), .. } => {
                write!(f, "refused, come back in {} ms{ran}", after.as_millis())
            }
            Error::Refused { .. } => write!(f, "refused{ran}"),
            Error::Failed { .. } => write!(f, "not delivered{ran}"),
            Error::BadCall(why) => write!(f, "the call can't be taken: {why}"),
            Error::Stopped { .. } => write!(f, "the relay was shut down{ran}"),
        }
    }
}

impl std::error::Error for Error {}
