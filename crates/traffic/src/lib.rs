//! Recorded traffic: the messages that clients submit, with their times.
//!
//! # Format, version 1
//! Lines of JSON in UTF-8, each terminated by a line feed. The first line is
//! `{"format":"mulleinslip-traffic","version":1}`. Each further line is a message, in the order of `at_us`:
//!
//! | field | |
//! | --- | --- |
//! | `at_us` | time at which its last byte was read, in microseconds from the start of the recording |
//! | `id` | the client's id of the message |
//! | `class`, `tenant` | names |
//! | `dest` | number of the destination |
//! | `budget_ms` | time within which it may be delivered |
//! | `key` | idempotency key, by which partners recognise a repeat; optional |
//! | `order_key` | messages with the same key are delivered in order; optional |
//! | `body` | base64, with padding |
//!
//! A last line without a line feed is incomplete, as the recorder was stopped while writing it; it is ignored.
#![warn(missing_docs)]

mod format;
mod record;

pub use format::{Message, ReadError, Reader, Writer};
pub use record::Recorder;
