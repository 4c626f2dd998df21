//! The platform's protocol over HTTP/1.1: the front, which accepts messages from clients and reports
//! undelivered ones by notices, the carrier, which calls hosts, and the discovery client.

mod answer;
pub mod audit;
mod carrier;
mod client_connection;
mod client_counts;
mod client_socket;
mod clients;
mod close;
mod conn;
mod discovery;
mod front;
mod handle;
mod idle;
mod input_budget;
mod intake;
mod notices;
mod outcomes;
mod request_head;
mod schedule;
mod unanswered_input;

pub use answer::{Answer, Ticket};
pub use carrier::{CarrierSettings, HttpCarrier};
pub use client_counts::ClientCounts;
pub use clients::{Clients, HandedOverConnection};
pub use discovery::{Discovery, FetchError, MAX_LIST_BYTES};
pub use front::HttpFront;
pub use handle::Handle;
pub use intake::{DrainMode, Intake};
pub use mulleinslip_membership::{Entry, List, ListNames, Status};
pub use notices::{run as run_notices, Notice};
pub use outcomes::{retry_after_ms, ParsedOutcome};
pub use schedule::{FailureKind, ListCall, PollCost};
