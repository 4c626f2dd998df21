//! The platform's protocol over HTTP/1.1: the front that takes messages from clients and tells their ends by
//! notices, the carrier that calls hosts, and discovery.

mod carrier;
mod clients;
mod conn;
mod discovery;
mod front;
mod guest;
mod idle;
mod intake;
mod list;
mod notices;

pub use carrier::{CarrierSettings, HttpCarrier};
pub use clients::Clients;
pub use discovery::Discovery;
pub use front::HttpFront;
pub use intake::{Answer, Intake};
pub use list::{Entry, List, ListNames, Status};
pub use notices::{run as run_notices, Notice};

/// What the front hands in along with a message: where its client waits.
pub type Ticket = tokio::sync::oneshot::Sender<Answer>;
/// What the front, discovery and notices put into the engine's queue.
pub type Handle = mulleinslip_runtime::Handle<Ticket, HttpCarrier>;
