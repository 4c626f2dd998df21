//! The decisions as they were before the module was indexed, by plain walks, to hold the module against.
//!
//! Where a decision itself was changed when the module was indexed, the reference was amended in the same way,
//! still by walks; docs/design.md gives the reasons:
//! - Credits are in fixed point, and mean times of calls in whole microseconds, so that sums are exact.
//! - Among destinations with the same credit the one goes first whose next message was taken first, as far as that
//!   was seen when each was last looked at. The reference takes the module's word for which of those with most
//!   credit it is, and for nothing else.
//! - What loses the same worth but for rounding goes in the order of arrival.
//! - The call that is called off is the one whose time was up first, not the one that is furthest over its time
//!   in proportion; and only if something would be sent in its slot.
//! - With the hold full, of each destination the newest message of each class and tenant is looked at, as if it
//!   went last; before, every message at its place.
//! - Ends of time are looked at 4 ms earlier for each 512 messages held.
//! - After a probe the other routes of the destination are tried in the same round.
#![allow(dead_code)]

mod logic;
mod state;

pub use logic::Relay;
