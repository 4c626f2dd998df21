//! Takeover: a new process of a relay replaces the one that serves, without waiting for the work in progress
//! to end.
//!
//! The two processes share the state folder and a Unix socket in it. [`protocol`] defines which side may do
//! what at which time, without I/O; [`channel`] carries the frames and descriptors. [`calls_lock`] tells a process that
//! starts after the new one has died whether the old one still has calls in flight.
//!
//! ```text
//! new                                   old
//!  | ---- Ask --------------------------> |  starts no attempt, records nothing, releases the folder
//!  | <--- AttemptsInFlight, RetryAfters,  |
//!  |      Learnt, List, Ready + listener  |
//!  | opens the folder, reads it           |
//!  | ---- FolderOpened -----------------> |  never writes to the folder again
//!  | <--- Go ---------------------------- |
//!  | serves                               |  completes the attempts in flight
//!  | <--- Client + connection, Ended,     |
//!  |      Host + connection               |
//!  | ---- CancelAttempt ----------------> |
//! ```
//!
//! If either process dies before `Go`, nothing has changed: the old process takes the folder back, and the
//! new one has not acted. If the old process dies after `Go`, its attempts in flight may have run.
#![warn(missing_docs)]

pub mod calls_lock;
pub mod channel;
pub mod message;
pub mod protocol;
