//! The front of the plug-in, on the engine's thread: keeps the callers that wait and passes results on to
//! them.

use crate::body::Collected;
use crate::error::Error;
use http::Response;
use mulleinslip_engine::{FinalAnswer, FrontReply, Rejection};
use mulleinslip_runtime::Front;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

pub type CollectedResponse = Response<Collected>;
pub type CallResult = Result<CollectedResponse, Error>;

/// Value of [`CallState`] before the engine has accepted the call. Once accepted, the value is the message's
/// id.
const NOT_ACCEPTED: u64 = 0;
/// Value of [`CallState`] after the caller has dropped the call.
const ABANDONED: u64 = u64::MAX;
/// Value of [`CallState`] if several callers wait for the message, so that one of them can't withdraw it.
const SHARED: u64 = u64::MAX - 1;

/// Retry-after of calls that are refused without an answer of the engine.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// State of a call, shared between its caller and the engine's thread.
#[derive(Clone, Default)]
pub struct CallState(Arc<AtomicU64>);

impl CallState {
    /// Records that the caller has dropped the call. Returns the id of the message to withdraw, if there is
    /// one.
    pub fn abandon(&self) -> Option<u64> {
        match self.0.swap(ABANDONED, Ordering::AcqRel) {
            NOT_ACCEPTED | ABANDONED | SHARED => None,
            id => Some(id),
        }
    }

    /// Returns whether the engine has accepted the call.
    pub fn is_accepted(&self) -> bool {
        !matches!(self.0.load(Ordering::Acquire), NOT_ACCEPTED | ABANDONED)
    }

    /// Records that the call was accepted as message `id`. Returns `false` if the caller has already dropped
    /// it.
    fn accept(&self, id: u64) -> bool {
        self.0.compare_exchange(NOT_ACCEPTED, id, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Records that several callers wait for the message. `current` is the expected state: the message's id
    /// for the first caller, [`NOT_ACCEPTED`] for one that joins.
    fn share(&self, current: u64) {
        let _abandoned = self.0.compare_exchange(current, SHARED, Ordering::AcqRel, Ordering::Acquire);
    }
}

/// Permit of one call within the limit on waiting calls. It is held until the engine has dropped the call,
/// not only until the caller has: otherwise a caller that drops calls as fast as it makes them could fill the
/// queue.
pub struct WaitingPermit(Arc<AtomicUsize>);

impl WaitingPermit {
    /// Returns `None` if the limit is reached.
    pub fn new(waiting: &Arc<AtomicUsize>, max_calls: usize) -> Option<WaitingPermit> {
        let permit = WaitingPermit(waiting.clone());
        (waiting.fetch_add(1, Ordering::AcqRel) < max_calls).then_some(permit)
    }
}

impl Drop for WaitingPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What a caller submits along with its message: the way back for the result.
pub struct Ticket {
    pub state: CallState,
    pub result: oneshot::Sender<CallResult>,
    pub _permit: WaitingPermit,
}

/// Callback for the result of a call that an earlier process had accepted: the caller's id for the call, and
/// the result.
pub type RecoveredCallback = Box<dyn FnMut(&str, Result<&CollectedResponse, &Error>) + Send>;

/// Passes the engine's replies on to the callers.
pub struct TowerFront {
    waiting: HashMap<u64, Ticket>,
    /// Callers that submitted a call again while the first was open, by message id.
    duplicates: HashMap<u64, Vec<Ticket>>,
    on_recovered: RecoveredCallback,
    /// Queues the confirmation that the final answer of a message has been passed on.
    confirm: Box<dyn Fn(u64) + Send>,
    /// Queues the withdrawal of a message.
    withdraw: Box<dyn Fn(u64) + Send>,
}

impl TowerFront {
    pub fn new(
        on_recovered: RecoveredCallback, confirm: Box<dyn Fn(u64) + Send>, withdraw: Box<dyn Fn(u64) + Send>,
    ) -> TowerFront {
        TowerFront { waiting: HashMap::new(), duplicates: HashMap::new(), on_recovered, confirm, withdraw }
    }

    /// Sends the result of a message to all callers that wait for it.
    fn finish(&mut self, id: u64, call_id: &str, result: CallResult) {
        let duplicates = self.duplicates.remove(&id).unwrap_or_default();
        let Some(ticket) = self.waiting.remove(&id) else {
            // Accepted by an earlier process. Callers that submitted the call again get the result as well.
            (self.on_recovered)(call_id, result.as_ref());
            return duplicates.into_iter().for_each(|t| drop(t.result.send(copy_result(&result))));
        };
        duplicates.into_iter().for_each(|t| drop(t.result.send(copy_result(&result))));
        let _abandoned = ticket.result.send(result);
    }
}

/// Returns a copy of a result for another caller.
fn copy_result(result: &CallResult) -> CallResult {
    match result {
        Ok(response) => Ok(response.clone()),
        Err(Error::Refused { retry_after, may_have_run, last }) => {
            Err(Error::Refused { retry_after: *retry_after, may_have_run: *may_have_run, last: last.clone() })
        }
        Err(Error::Failed { may_have_run, last }) => {
            Err(Error::Failed { may_have_run: *may_have_run, last: last.clone() })
        }
        Err(Error::BadCall(why)) => Err(Error::BadCall(why)),
        Err(Error::Stopped { taken }) => Err(Error::Stopped { taken: *taken }),
    }
}

fn duration_from_ms(ms: Option<f64>) -> Option<Duration> {
    ms.map(|ms| Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1000.0))
}

impl Front<Ticket, CollectedResponse> for TowerFront {
    fn reply(&mut self, reply: FrontReply<Ticket, CollectedResponse>) {
        match reply {
            FrontReply::Accepted { id, ticket } => {
                let accepted = ticket.state.accept(id);
                self.waiting.insert(id, ticket);
                if !accepted {
                    (self.withdraw)(id);
                }
            }
            FrontReply::Duplicate { id, ticket } => {
                if let Some(first) = self.waiting.get(&id) {
                    first.state.share(id);
                }
                ticket.state.share(NOT_ACCEPTED);
                self.duplicates.entry(id).or_default().push(ticket);
            }
            FrontReply::Ended { ticket, delivered: _ } => {
                let _abandoned = ticket.result.send(Err(Error::Failed { may_have_run: true, last: None }));
            }
            FrontReply::Rejected { ticket, why } => {
                let (may_have_run, last) = (false, None);
                let _abandoned = ticket.result.send(Err(match why {
                    Rejection::Refused { retry_after_ms } => {
                        Error::Refused { retry_after: duration_from_ms(retry_after_ms), may_have_run, last }
                    }
                    Rejection::Failed => Error::Failed { may_have_run, last },
                }));
            }
            FrontReply::Final { id, call_id, answer } => {
                let (result, needs_confirmation) = match answer {
                    FinalAnswer::Delivered(response) | FinalAnswer::EndedByPartner(Some(response)) => {
                        (Ok(response), false)
                    }
                    FinalAnswer::DeliveredLate(response) | FinalAnswer::DeliveryDoubted(response) => {
                        (Ok(response), true)
                    }
                    FinalAnswer::EndedByPartner(None) => {
                        (Err(Error::Failed { may_have_run: false, last: None }), false)
                    }
                    FinalAnswer::Refused { retry_after_ms, may_have_run, last_response: last } => (
                        Err(Error::Refused {
                            retry_after: duration_from_ms(retry_after_ms),
                            may_have_run,
                            last: last.map(Box::new),
                        }),
                        true,
                    ),
                    FinalAnswer::Failed { may_have_run, last_response: last } => {
                        (Err(Error::Failed { may_have_run, last: last.map(Box::new) }), true)
                    }
                };
                self.finish(id, &call_id, result);
                // The result has reached its caller, or this process has no caller for it.
                if needs_confirmation {
                    (self.confirm)(id);
                }
            }
        }
    }

    fn is_waiting(&self, ticket: &Ticket) -> bool {
        !ticket.result.is_closed()
    }

    fn on_withdrawn(&mut self, id: u64) {
        self.waiting.remove(&id);
        // These callers joined after the first one had dropped the call. The message is withdrawn, but may
        // have run.
        for ticket in self.duplicates.remove(&id).unwrap_or_default() {
            let error =
                Error::Refused { retry_after: Some(DEFAULT_RETRY_AFTER), may_have_run: true, last: None };
            let _abandoned = ticket.result.send(Err(error));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ticket(waiting: &Arc<AtomicUsize>) -> (Ticket, CallState, oneshot::Receiver<CallResult>) {
        let (result, receiver) = oneshot::channel();
        let state = CallState::default();
        let _permit = WaitingPermit::new(waiting, 10).unwrap();
        (Ticket { state: state.clone(), result, _permit }, state, receiver)
    }

    // Guards against a caller that never gets an answer: it submitted a call again, and the first caller
    // dropped its own future before or after that.
    #[test]
    fn joined_call_is_answered_when_first_caller_drops() {
        let waiting = Arc::default();
        let mut front = TowerFront::new(Box::new(|_, _| ()), Box::new(|_| ()), Box::new(|_| ()));
        // The first caller drops before the second joins: the message is withdrawn.
        let (first, state, _receiver) = ticket(&waiting);
        front.reply(FrontReply::Accepted { id: 1, ticket: first });
        assert_eq!(state.abandon(), Some(1));
        let (second, joined, mut receiver) = ticket(&waiting);
        front.reply(FrontReply::Duplicate { id: 1, ticket: second });
        assert!(joined.is_accepted() && joined.abandon().is_none());
        front.on_withdrawn(1);
        assert!(matches!(receiver.try_recv(), Ok(Err(e)) if e.may_have_run()));
        // The first caller drops after the second has joined: the message stays.
        let (first, state, _receiver) = ticket(&waiting);
        front.reply(FrontReply::Accepted { id: 2, ticket: first });
        let (second, _, mut receiver) = ticket(&waiting);
        front.reply(FrontReply::Duplicate { id: 2, ticket: second });
        assert_eq!(state.abandon(), None);
        let answer = FinalAnswer::Delivered(Response::new(Collected::default()));
        front.reply(FrontReply::Final { id: 2, call_id: "c".into(), answer });
        assert!(matches!(receiver.try_recv(), Ok(Ok(_))));
        assert_eq!(waiting.load(Ordering::SeqCst), 0, "permits are still held after all calls have ended");
    }
}
