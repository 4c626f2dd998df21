#![doc = include_str!("../README.md")]
#![warn(missing_docs)]

pub mod interface;
pub mod logic;
mod state;

pub use interface::*;
pub use logic::Relay;
