//! Storage for data that must survive the process.

use mulleinslip_journal::{AcceptedMessage, EndedMessage, GivenUp, Journal, OutageRecord};
use std::fmt::Display;

/// Stores the accepted messages and the attempts made for them. A call that returns `Ok` has stored its data;
/// one that returns an error has stored nothing of it.
pub trait Store {
    /// Why data could not be stored.
    type Error: Display;
    /// Records that a message is accepted. On an error it is not accepted, and its sender gets a rejection.
    fn record_accepted(&mut self, id: u64, message: AcceptedMessage) -> Result<(), Self::Error>;
    /// Records that an attempt's first byte is about to be sent, at time `at`. On an error it must not be
    /// sent.
    fn record_attempt(&mut self, id: u64, attempt: u32, at: f64, endpoint: &str) -> Result<(), Self::Error>;
    /// Records the outcome of an attempt that had begun, where its message stays open.
    fn record_outcome(
        &mut self, id: u64, attempt: u32, may_have_run: bool, may_run_yet: bool,
    ) -> Result<(), Self::Error>;
    /// Records that a message is given up and that this is still to be confirmed.
    fn record_given_up(&mut self, id: u64, given_up: GivenUp) -> Result<(), Self::Error>;
    /// Records that an order key is paused until a time; `now` is the current one.
    fn record_key_pause(&mut self, key: &str, until: f64, now: f64) -> Result<(), Self::Error>;
    /// Records that a message has ended and that nothing more has to be done for it.
    fn record_ended(&mut self, id: u64) -> Result<(), Self::Error>;
    /// Records that a message has ended and that nothing more has to be done for it, and remembers it for a later
    /// process as long as there is room.
    fn record_ended_remembered(&mut self, id: u64, ended: EndedMessage) -> Result<(), Self::Error>;
    /// Records the outages that the module knows of, in place of any recorded before.
    fn record_outages(&mut self, outages: Vec<OutageRecord>) -> Result<(), Self::Error>;
}

impl Store for Journal {
    type Error = std::io::Error;
    fn record_accepted(&mut self, id: u64, message: AcceptedMessage) -> Result<(), Self::Error> {
        Journal::record_accepted(self, id, message)
    }
    fn record_attempt(&mut self, id: u64, attempt: u32, at: f64, endpoint: &str) -> Result<(), Self::Error> {
        Journal::record_attempt(self, id, attempt, at, endpoint)
    }
    fn record_outcome(
        &mut self, id: u64, attempt: u32, may_have_run: bool, may_run_yet: bool,
    ) -> Result<(), Self::Error> {
        Journal::record_outcome(self, id, attempt, may_have_run, may_run_yet)
    }
    fn record_given_up(&mut self, id: u64, given_up: GivenUp) -> Result<(), Self::Error> {
        Journal::record_given_up(self, id, given_up)
    }
    fn record_key_pause(&mut self, key: &str, until: f64, now: f64) -> Result<(), Self::Error> {
        Journal::record_key_pause(self, key, until, now)
    }
    fn record_ended(&mut self, id: u64) -> Result<(), Self::Error> {
        Journal::record_ended(self, id)
    }
    fn record_ended_remembered(&mut self, id: u64, ended: EndedMessage) -> Result<(), Self::Error> {
        Journal::record_ended_remembered(self, id, ended)
    }
    fn record_outages(&mut self, outages: Vec<OutageRecord>) -> Result<(), Self::Error> {
        Journal::record_outages(self, outages)
    }
}

/// Stores nothing: accepted messages are lost when the process ends, and an attempt in flight at that time
/// may have run without any record of it.
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
    fn record_key_pause(&mut self, _: &str, _: f64, _: f64) -> Result<(), Self::Error> {
        Ok(())
    }
    fn record_ended(&mut self, _: u64) -> Result<(), Self::Error> {
        Ok(())
    }
    fn record_ended_remembered(&mut self, _: u64, _: EndedMessage) -> Result<(), Self::Error> {
        Ok(())
    }
    fn record_outages(&mut self, _: Vec<OutageRecord>) -> Result<(), Self::Error> {
        Ok(())
    }
}
