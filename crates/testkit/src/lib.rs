//! Test support: runs the relay as a process on loopback, with scripted partner hosts, a discovery agent and
//! clients around it.
mod agent;
mod crowd;
mod framing;
#[cfg(feature = "grpc")]
pub mod grpc;
mod host;
mod memory;
mod partner;
mod relay;
mod wire;

pub use agent::Agent;
pub use crowd::{play_crowd, random_request, slow_requests, SlowRequest, MAX_BODY_BYTES};
pub use framing::Framing;
pub use host::{response, Host, Reply};
pub use memory::{MemorySample, MemoryWatch};
pub use partner::{Partner, PartnerCall, PartnerFaults, Random};
pub use relay::{call, command, config, Client, Program, Relay, CONNECTION_REST};
pub use wire::{receive, until, ReceivedRequest};

/// Returns the relay program that Cargo builds together with a test or benchmark of the program's package.
#[macro_export]
macro_rules! program {
    () => {
        $crate::Program::built(env!("CARGO_BIN_EXE_mulleinslip"), env!("CARGO_TARGET_TMPDIR"))
    };
}
