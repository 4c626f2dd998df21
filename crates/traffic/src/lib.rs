//! Recorded traffic: what clients hand in, and when.
//!
//! # Format, version 1
//! Lines of JSON in UTF-8, each ended by a line feed. The first is `{"format":"mulleinslip-traffic","version":1}`. Each
//! other one is a message, in the order of `at_us`:
//!
//! | field | |
//! | --- | --- |
//! | `at_us` | when its last byte was read, in microseconds from the recording's start |
//! | `id` | the sender's id for it |
//! | `class`, `tenant` | by name |
//! | `dest` | the destination's number |
//! | `budget_ms` | for how long it may be delivered |
//! | `key` | what partners know a repeat by, if it has one |
//! | `order_key` | the key within which messages go in order, if it has one |
//! | `body` | base64, with padding |
//!
//! A last line without its line feed was cut off with the recorder, and is left out.
#![warn(missing_docs)]

mod format;
mod record;

pub use format::{Message, ReadError, Reader, Writer};
pub use record::Recorder;
