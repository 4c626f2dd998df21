//! The second address, for on-call staff and monitoring: each connection carries one line and gets one
//! answer. Commands and the format of metrics are implemented without I/O ([`answer`], [`Metrics`]);
//! [`serve`] handles the sockets.
#![warn(missing_docs)]

mod call;
mod metrics;
mod serve;

pub use call::{answer, RelayControl, MAX_LINE_BYTES};
pub use metrics::{ClientMetrics, Metrics, OutcomeCounts};
pub use serve::{serve, MAX_CALLERS};
