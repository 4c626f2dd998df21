//! The second address, for on-call staff and what watches the relay: each connection carries one line and gets one
//! answer. What a call means and how figures are written is without I/O ([`answer`], [`Metrics`]); [`serve`] is the
//! thin side with sockets.
#![warn(missing_docs)]

mod call;
mod metrics;
mod serve;

pub use call::{answer, RelayControl, MOST_LINE};
pub use metrics::{Metrics, OutcomeCounts};
pub use serve::{serve, MOST_CALLERS};
