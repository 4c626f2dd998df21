//! The relay inside a client program: a [`tower_service::Service`] over HTTP requests, for `tonic` clients and any
//! other `tower` HTTP client. A call that goes through it is a message like any other: the one decision module
//! says which endpoint it goes to, when, whether it is tried again and whether it is turned away; it gets one final
//! answer.
//!
//! - [`Builder`] starts an engine on a thread of its own; [`Client`] is `Clone + Send + Sync` and may be called from
//!   any thread, with or without a runtime.
//! - What a call is — class, tenant, destination, budget, key — stands in its extensions ([`CallOptions`]) or in a
//!   table by path ([`Methods`]).
//! - Hosts come as a fixed list ([`Builder::hosts`]), from the caller's own news ([`Endpoints`]), or from the platform's
//!   discovery ([`Builder::discovery`]).
//! - [`Protocol`] says how answers are read: gRPC unary calls, or plain HTTP.
//!
//! # What is promised
//!
//! With a folder ([`Builder::folder`]), a call that was taken on outlasts the process: the next start on that folder
//! carries it on, and sends nothing again that its class forbids; its end is told to [`Builder::on_carried`].
//! **Without a folder nothing outlasts the process**: calls that are open when it ends are lost, those with an
//! attempt out may have run, and nobody will know. Within the process the rules hold all the same.
//!
//! The services that make the attempts run on the engine's thread. One that blocks holds up all calls; one that
//! panics costs the attempt it was making, which then may have run.
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
