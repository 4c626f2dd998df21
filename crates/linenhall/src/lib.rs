//! The decisions of an outbound relay: which message goes to which partner endpoint, when, and what is tried
//! again. The crate does no I/O; the time and the seed of its random numbers are arguments. [`Relay::handle`]
//! takes events and returns actions.
#![warn(missing_docs)]

mod audit;
mod fleet;
mod handover;
mod index;
pub mod interface;
mod keys;
mod learnt;
mod limits;
pub mod logic;
mod meter;
mod state;
mod upkeep;
mod view;

pub use index::step_count;
pub use interface::*;
pub use learnt::{Learnt, LearntDestination, LearntGroup, LearntHost, Rate};
pub use logic::Relay;
pub use upkeep::InUse;
pub use view::{GroupHealth, WaitReason};
