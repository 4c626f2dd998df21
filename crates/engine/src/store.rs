//! What is to outlast the process.

use mulleinslip_journal::{AcceptedMessage, GivenUp, Journal, OutageRecord};
use std::fmt::Display;

/// Keeps what the engine has taken on and did for it. Each call has kept what it was given when it returns `Ok`;
/// after an error nothing of it is kept.
pub trait Store {
    /// Why something could not be kept.
    type Error: Display;
    /// A message is taken on. On an error it is not, and its sender is turned away.
    fn record_accepted(&mut self, id: u64, taken: AcceptedMessage) -> Result<(), Self::Error>;
    /// An attempt's first byte is about to go out, at this time. On an error it must not.
    fn record_attempt(&mut self, id: u64, attempt: u32, at: f64, endpoint: &str) -> Result<(), Self::Error>;
    /// An attempt that had begun has an outcome, and its message goes on.
    fn record_outcome(
        &mut self, id: u64, attempt: u32, may_have_run: bool, may_run_yet: bool,
    ) -> Result<(), Self::Error>;
    /// A message is given up; that is still to be confirmed.
    fn record_given_up(&mut self, id: u64, verdict: GivenUp) -> Result<(), Self::Error>;
    /// A message is over, and nothing is owed for it any more.
    fn record_ended(&mut self, id: u64) -> Result<(), Self::Error>;
    /// The outages that the module knows of; these take the place of any told before.
    fn record_outages(&mut self, outages: Vec<OutageRecord>) -> Result<(), Self::Error>;
}

impl Store for Journal {
    type Error = std::io::Error;
    fn record_accepted(&mut self, id: u64, taken: AcceptedMessage) -> Result<(), Self::Error> {
        Journal::record_accepted(self, id, taken)
    }
    fn record_attempt(&mut self, id: u64, attempt: u32, at: f64, endpoint: &str) -> Result<(), Self::Error> {
        Journal::record_attempt(self, id, attempt, at, endpoint)
    }
    fn record_outcome(
        &mut self, id: u64, attempt: u32, may_have_run: bool, may_run_yet: bool,
    ) -> Result<(), Self::Error> {
        Journal::record_outcome(self, id, attempt, may_have_run, may_run_yet)
    }
    fn record_given_up(&mut self, id: u64, verdict: GivenUp) -> Result<(), Self::Error> {
        Journal::record_given_up(self, id, verdict)
    }
    fn record_ended(&mut self, id: u64) -> Result<(), Self::Error> {
        Journal::record_ended(self, id)
    }
    fn record_outages(&mut self, outages: Vec<OutageRecord>) -> Result<(), Self::Error> {
        Journal::record_outages(self, outages)
    }
}

/// Keeps nothing: with it, what was taken on ends with the process, and an attempt that was out then may have run
/// without anybody knowing.
#[derive(Clone, Copy, Debug, Default)]
pub struct VolatileStore;

impl Store for VolatileStore {
    type Error = std::convert::Infallible;
    fn record_accepted(&mut self, _: u64, _: AcceptedMessage) -> Result<(), Self::Error> {
        Ok(())
    }
    fn record_attempt(&mut self, _: u64, _: u32, _: f64, _: &str) -> Result<(), Self::Error> {
        Ok(())
    }
    fn record_outcome(&mut self, _: u64, _: u32, _: bool, _: bool) -> Result<(), Self::Error> {
        Ok(())
    }
    fn record_given_up(&mut self, _: u64, _: GivenUp) -> Result<(), Self::Error> {
        Ok(())
    }
    fn record_ended(&mut self, _: u64) -> Result<(), Self::Error> {
        Ok(())
    }
    fn record_outages(&mut self, _: Vec<OutageRecord>) -> Result<(), Self::Error> {
        Ok(())
    }
}
