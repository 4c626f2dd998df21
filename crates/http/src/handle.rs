//! The engine's queue as this package uses it.

use crate::answer::Ticket;
use crate::carrier::HttpCarrier;

/// Handle by which the front, discovery and notices put events into the engine's queue.
pub type Handle = mulleinslip_runtime::Handle<Ticket, HttpCarrier>;
