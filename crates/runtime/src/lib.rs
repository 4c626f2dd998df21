//! The engine's I/O side, on one thread: the clock, the timers, the queue of what happens, and attempts as tasks.
//! It decides nothing. A [`Front`] and a [`Carrier`] meet only in the engine, behind [`Handle`].
#![warn(missing_docs)]

mod clock;
mod seams;
mod serve;

pub use clock::Clock;
pub use mulleinslip_engine::Alive;
pub use seams::{CallOff, Carrier, Front, Gate};
pub use serve::{EndedHere, Handle, Queue, Runtime, StopTimes};
