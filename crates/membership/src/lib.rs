//! The membership view of one relay: which hosts are listed ([`Catalog`]), who is believed about them ([`Members`]), and
//! which destinations are in use ([`ActiveSet`]). No I/O, no clock; times are arguments.
//!
//! What is listed costs some hundred bytes a host and nothing more; what decides and carries knows a destination only while
//! it is used. A change costs what it changes.

mod active_set;
mod catalog;
mod list;
mod members;
mod view;

pub use active_set::ActiveSet;
pub use catalog::{Catalog, Put};
pub use list::{Entry, List, ListNames, Status};
pub use members::{AppliedUpdate, Members, Tombstone};
pub use view::View;
