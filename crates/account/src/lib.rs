//! Accounts for the use of a relay's slots and the waiting time of its messages, from the events and actions
//! of the decision module alone. It does no I/O; times are milliseconds of the module's clock.
//!
//! [`Account`] records each round of the module; [`UsageReport`] is what it has recorded since the last
//! report. Reports of several periods, processes and relays can be added up.
#![warn(missing_docs)]

mod account;
mod usage_report;

pub use account::Account;
pub use usage_report::{CallOutcome, CountAndTime, HealthState, MessageOutcome, UsageReport};
