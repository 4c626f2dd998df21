//! The relay as a process on loopback, and around it hosts, discovery and clients that give fixed replies.
mod agent;
#[cfg(feature = "grpc")]
pub mod grpc;
mod host;
mod relay;
mod wire;

pub use agent::Agent;
pub use host::{response, Host, Reply};
pub use relay::{call, command, config, Client, Program, Relay};
pub use wire::{receive, until, ReceivedRequest};

/// The program as built along with a test or benchmark of its package.
#[macro_export]
macro_rules! program {
    () => {
        $crate::Program::built(env!("CARGO_BIN_EXE_mulleinslip"), env!("CARGO_TARGET_TMPDIR"))
    };
}
