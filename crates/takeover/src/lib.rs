//! A new process of a relay takes over from the one that serves, in the middle of its work.
//!
//! The two share the lasting folder, and a Unix socket in it. What each side may do when is [`protocol`], without
//! I/O; [`channel`] carries the frames and descriptors.
//!
//! ```text
//! new                              old
//!  | ---- Ask ---------------------> |  stops in the middle: nothing begins, nothing is recorded, the folder is left
//!  | <--- Out, Waits, Ready + listener |
//!  | opens the folder, reads it      |
//!  | ---- Taken -------------------> |  from here on it will never write again
//!  | <--- Go ----------------------- |
//!  | serves                          |  makes the attempts that are out to their end
//!  | <--- Client + connection, Ended |
//!  | ---- CallOff -----------------> |
//! ```
//!
//! Whoever dies before `Go` changes nothing: the old process takes the folder back, the new one has done nothing. After
//! it the attempts of an old process that dies may have run.
#![warn(missing_docs)]

pub mod channel;
pub mod message;
pub mod protocol;
