//! The I/O side of the engine, on one thread: the clock, the timers, the event queue, and attempts as tasks.
//! It makes no decisions. A [`Front`] and a [`Carrier`] do not know each other: both work through the engine
//! and its [`Handle`].
#![warn(missing_docs)]

mod clock;
mod serve;
mod traits;

pub use clock::Clock;
pub use mulleinslip_engine::Predecessor;
pub use serve::{ForwardedEnd, Handle, Queue, Runtime, ShutdownTimes};
pub use traits::{Cancellation, Carrier, Front, SendGate};
