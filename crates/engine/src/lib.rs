//! The engine: the only caller of the decision module (`linenhall`). It takes [`Input`]s with the current
//! time and returns [`Output`]s in the order in which they are to be carried out. It does no I/O and knows no
//! protocol. Decisions about hosts, retries and rejected messages are made by `linenhall`.
//!
//! The engine sits between two components. A *front* submits messages and receives one final answer for each
//! ([`FrontReply`]). A *carrier* makes attempts and reports how each ended and whether it may have run
//! ([`AttemptEnd`]). Data that must survive the process goes through a [`Store`], in this order:
//!
//! - a message is stored before its front receives [`FrontReply::Accepted`];
//! - an attempt is stored before its first byte is sent ([`Engine::begin`]);
//! - a message stays stored until its final answer is confirmed: immediately if no confirmation is needed,
//!   else when the front confirms it ([`Input::AnswersConfirmed`]).
//!
//! So a process can end at any point: the next one still knows of each message that needs an answer, and of
//! each attempt that is not safe to repeat.
#![warn(missing_docs)]

mod destination_table;
mod ended_messages;
mod engine;
mod message;
mod open_messages;
mod store;
mod tally;
mod timers;
mod untried;

pub use engine::{AttemptBlocked, Engine, Names, Observer, Predecessor};
pub use message::{
    Attempt, AttemptEnd, DeliveryVerdict, FinalAnswer, FrontReply, Input, Message, Output, Rejection,
    RetryAfter,
};
pub use mulleinslip_journal as journal;
pub use store::{Store, VolatileStore};
pub use tally::{OutcomeCounts, Tally};
