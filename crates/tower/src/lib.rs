//! The relay embedded in a client program: a [`tower_service::Service`] over HTTP requests, for `tonic`
//! clients and any other `tower` HTTP client. Each call becomes a message like in the stand-alone relay: the
//! decision module selects its endpoint, schedules it, retries it or rejects it, and it gets exactly one
//! final answer.
//!
//! - [`Builder`] starts an engine on its own thread; [`Client`] is `Clone + Send + Sync` and can be called
//!   from any thread, with or without an async runtime.
//! - The properties of a call (class, tenant, destination, budget, key) are set in the request's extensions
//!   ([`CallOptions`]) or in a table by path ([`Methods`]).
//! - Hosts come from a fixed list ([`Builder::hosts`]), from updates that the program itself supplies
//!   ([`Endpoints`]), or from the platform's discovery ([`Builder::discovery`]).
//! - [`Protocol`] says how responses are interpreted: gRPC unary calls, or plain HTTP.
//!
//! # Guarantees
//!
//! With a state folder ([`Builder::folder`]), an accepted call survives the process: the next process that
//! starts on that folder continues it, never repeats an attempt that the call's class forbids to repeat, and
//! reports the result to [`Builder::on_carried`]. **Without a folder nothing survives the process**: calls
//! that are open when it ends are lost. Those with an attempt in flight may have run, and their outcome is
//! unknown. Within one process, the same rules apply with and without a folder.
//!
//! The services that make the attempts run on the engine's thread. A service that blocks delays all calls. A
//! service that panics loses the attempt that it was making, and that attempt counts as one that may have
//! run.
#![warn(missing_docs)]

mod body;
mod builder;
mod carrier;
mod client;
mod error;
mod front;
mod host;
mod layer;
mod options;
mod protocol;
mod stored;

pub use body::Collected;
pub use builder::{Builder, Endpoints, Running, StartError};
pub use carrier::{shared, Connect};
pub use client::Client;
pub use error::Error;
pub use host::Host;
pub use layer::{RelayLayer, Through};
pub use mulleinslip_http::ListNames;
pub use options::{CallOptions, Methods};
pub use protocol::Protocol;
