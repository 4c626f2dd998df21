//! Where a relay's slots and its messages' time went, from the events and actions of the decision module alone. It
//! does no I/O; times are milliseconds of the module's clock.
//!
//! [`Account`] is shown each round of the module; [`Sheet`] is what it has booked since it was last asked. Sheets of
//! several spans, processes and relays add up.
#![warn(missing_docs)]

mod account;
mod sheet;

pub use account::Account;
pub use sheet::{End, Sheet, Spent, State, Verdict};
