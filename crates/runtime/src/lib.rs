//! The engine's I/O side, on one thread: the clock, the timers, the queue of what happens, and attempts as tasks.
//! It decides nothing. A [`Front`] and a [`Carrier`] meet only in the engine, behind [`Handle`].
#![warn(missing_docs)]

mod clock;
mod serve;
mod traits;

pub use clock::Clock;
pub use mulleinslip_engine::Predecessor;
pub use serve::{ForwardedEnd, Handle, Queue, Runtime, ShutdownTimes};
pub use traits::{Cancellation, Carrier, Front, SendGate};
