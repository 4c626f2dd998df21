//! The engine: the only caller of the decision module. What happens goes in as [`Input`]s, with the time; what is
//! to be done comes out as [`Output`]s, in order. It does no I/O, knows no protocol and decides nothing about
//! servers, retries or what to turn away: that is `linenhall`'s.
//!
//! Two seams stand around it. A *front* hands messages in and is told each one's single final answer ([`Told`]). A
//! *carrier* makes an attempt and tells how it ended and whether it may have run ([`Ended`]). What is to outlast
//! the process goes through a [`Store`], in this order:
//!
//! - a message is in the store before its front hears [`Told::Taken`];
//! - an attempt is in it before its first byte ([`Engine::begin`]);
//! - a message stays in it until its end has reached whom it concerns: at once where that is this process or the
//!   partner, else when the front confirms it ([`Input::Confirmed`]).
//!
//! So a process that ends at any instant leaves nothing that the next one would not know to be owed, or would
//! take for safe to repeat.
#![warn(missing_docs)]

mod engine;
mod message;
mod open;
mod places;
mod store;
mod tally;
mod timers;
mod untried;

pub use engine::{Alive, Engine, Held, Names, Observer};
pub use message::{Attempt, Ended, Final, Input, Message, Output, Told, Turned};
pub use mulleinslip_journal as journal;
pub use store::{Forgetful, Store};
pub use tally::{Ends, Tally};
