//! The engine's queue as the HTTP sides see it.

use crate::answer::Ticket;
use crate::carrier::HttpCarrier;

/// What the front, discovery and notices put into the engine's queue.
pub type Handle = mulleinslip_runtime::Handle<Ticket, HttpCarrier>;
