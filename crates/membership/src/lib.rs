//! The membership view of one relay: the listed hosts ([`Catalog`]), which source is trusted about them
//! ([`Members`]), and the active destinations ([`ActiveSet`]). No I/O, no clock; times are arguments.
//!
//! A listed host takes about a hundred bytes of memory. The decision module and the carrier know a
//! destination only while it is active. Applying a change takes time in proportion to what it changes.

mod active_set;
mod catalog;
mod list;
mod members;
mod view;

pub use active_set::ActiveSet;
pub use catalog::{Catalog, Upsert};
pub use list::{Entry, List, ListNames, Status};
pub use members::{AppliedUpdate, Members, Tombstone, TombstoneChange};
pub use view::{View, ViewUpdate};
