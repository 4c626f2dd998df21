//! The second address, for on-call staff and what watches the relay: each connection carries one line and gets one
//! answer. What a call means and how figures are written is without I/O ([`answer`], [`Figures`]); [`serve`] is the
//! thin side with sockets.
#![warn(missing_docs)]

mod call;
mod figures;
mod serve;

pub use call::{answer, Operated, MOST_LINE};
pub use figures::{Ends, Figures};
pub use serve::{serve, MOST_CALLERS};
