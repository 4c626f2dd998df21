//! What is to outlast the process.

use mulleinslip_journal::{Journal, KeptOutage, Taken, Verdict};
use std::fmt::Display;

/// Keeps what the engine has taken on and did for it. Each call has kept what it was given when it returns `Ok`;
/// after an error nothing of it is kept.
pub trait Store {
    /// Why something could not be kept.
    type Error: Display;
    /// A message is taken on. On an error it is not, and its sender is turned away.
    fn taken(&mut self, id: u64, taken: Taken) -> Result<(), Self::Error>;
    /// An attempt's first byte is about to go out, at this time. On an error it must not.
    fn begun(&mut self, id: u64, attempt: u32, at: f64, endpoint: &str) -> Result<(), Self::Error>;
    /// An attempt that had begun has an outcome, and its message goes on.
    fn outcome(
        &mut self, id: u64, attempt: u32, may_have_run: bool, may_run_yet: bool,
    ) -> Result<(), Self::Error>;
    /// A message is given up; that is still to be confirmed.
    fn verdict(&mut self, id: u64, verdict: Verdict) -> Result<(), Self::Error>;
    /// A message is over, and nothing is owed for it any more.
    fn ended(&mut self, id: u64) -> Result<(), Self::Error>;
    /// The outages that the module knows of; these take the place of any told before.
    fn outages(&mut self, outages: Vec<KeptOutage>) -> Result<(), Self::Error>;
}

impl Store for Journal {
    type Error = std::io::Error;
    fn taken(&mut self, id: u64, taken: Taken) -> Result<(), Self::Error> {
        Journal::taken(self, id, taken)
    }
    fn begun(&mut self, id: u64, attempt: u32, at: f64, endpoint: &str) -> Result<(), Self::Error> {
        Journal::begun(self, id, attempt, at, endpoint)
    }
    fn outcome(
        &mut self, id: u64, attempt: u32, may_have_run: bool, may_run_yet: bool,
    ) -> Result<(), Self::Error> {
        Journal::outcome(self, id, attempt, may_have_run, may_run_yet)
    }
    fn verdict(&mut self, id: u64, verdict: Verdict) -> Result<(), Self::Error> {
        Journal::verdict(self, id, verdict)
    }
    fn ended(&mut self, id: u64) -> Result<(), Self::Error> {
        Journal::ended(self, id)
    }
    fn outages(&mut self, outages: Vec<KeptOutage>) -> Result<(), Self::Error> {
        Journal::outages(self, outages)
    }
}

/// Keeps nothing: with it, what was taken on ends with the process, and an attempt that was out then may have run
/// without anybody knowing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forgetful;

impl Store for Forgetful {
    type Error = std::convert::Infallible;
    fn taken(&mut self, _: u64, _: Taken) -> Result<(), Self::Error> {
        Ok(())
    }
    fn begun(&mut self, _: u64, _: u32, _: f64, _: &str) -> Result<(), Self::Error> {
        Ok(())
    }
    fn outcome(&mut self, _: u64, _: u32, _: bool, _: bool) -> Result<(), Self::Error> {
        Ok(())
    }
    fn verdict(&mut self, _: u64, _: Verdict) -> Result<(), Self::Error> {
        Ok(())
    }
    fn ended(&mut self, _: u64) -> Result<(), Self::Error> {
        Ok(())
    }
    fn outages(&mut self, _: Vec<KeptOutage>) -> Result<(), Self::Error> {
        Ok(())
    }
}
