//! Where a relay's slots and its messages' time went, from the events and actions of the decision module alone. It
//! does no I/O; times are milliseconds of the module's clock.
//!
//! [`Account`] is shown each round of the module; [`UsageReport`] is what it has booked since it was last asked. Sheets of
//! several spans, processes and relays add up.
#![warn(missing_docs)]

mod account;
mod usage_report;

pub use account::Account;
pub use usage_report::{CallOutcome, CountAndTime, HealthState, MessageOutcome, UsageReport};
