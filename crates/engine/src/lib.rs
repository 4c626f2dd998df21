//! The engine: the only caller of the decision module. What happens goes in as [`Input`]s, with the time; what is
//! to be done comes out as [`Output`]s, in order. It does no I/O, knows no protocol and decides nothing about
//! servers, retries or what to turn away: that is `linenhall`'s.
//!
//! Two seams stand around it. A *front* hands messages in and is told each one's single final answer ([`FrontReply`]). A
//! *carrier* makes an attempt and tells how it ended and whether it may have run ([`AttemptEnd`]). What is to outlast
//! the process goes through a [`Store`], in this order:
//!
//! - a message is in the store before its front hears [`FrontReply::Accepted`];
//! - an attempt is in it before its first byte ([`Engine::begin`]);
//! - a message stays in it until its end has reached whom it concerns: at once where that is this process or the
//!   partner, else when the front confirms it ([`Input::AnswersConfirmed`]).
//!
//! So a process that ends at any instant leaves nothing that the next one would not know to be owed, or would
//! take for safe to repeat.
#![warn(missing_docs)]

mod destination_table;
mod engine;
mod message;
mod open;
mod store;
mod tally;
mod timers;
mod untried;

pub use engine::{AttemptBlocked, Engine, Names, Observer, Predecessor};
pub use message::{Attempt, AttemptEnd, FinalAnswer, FrontReply, Input, Message, Output, Rejection};
pub use mulleinslip_journal as journal;
pub use store::{Store, VolatileStore};
pub use tally::{OutcomeCounts, Tally};
