//! Callers that wait, on the engine's side.

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

pub type Answer = Response<Collected>;
pub type End = Result<Answer, Error>;

/// What is known of a call's message on both sides: the engine's number for it, or one of these.
const NOT_TAKEN: u64 = 0;
/// The caller has gone.
const GONE: u64 = u64::MAX;
/// Others wait for it too, so its caller's going away ends nothing.
const SHARED: u64 = u64::MAX - 1;

/// When to come back, for a call that is refused before the engine has it.
pub const COME_AGAIN: Duration = Duration::from_millis(500);

/// Where a call is between its caller and the engine.
#[derive(Clone, Default)]
pub struct Place(Arc<AtomicU64>);

impl Place {
    /// The caller goes away. Gives the message to be withdrawn, if there is one.
    pub fn leave(&self) -> Option<u64> {
        match self.0.swap(GONE, Ordering::AcqRel) {
            NOT_TAKEN | GONE | SHARED => None,
            id => Some(id),
        }
    }

    /// Whether it was taken on.
    pub fn taken(&self) -> bool {
        !matches!(self.0.load(Ordering::Acquire), NOT_TAKEN | GONE)
    }

    /// It is taken on. `false` if the caller has gone before.
    fn take(&self, id: u64) -> bool {
        self.0.compare_exchange(NOT_TAKEN, id, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Others wait for its message as well; `from` is the message, or [`NOT_TAKEN`] for one of the others.
    fn share(&self, from: u64) {
        let _gone = self.0.compare_exchange(from, SHARED, Ordering::AcqRel, Ordering::Acquire);
    }
}

/// A call that counts against the bound on calls that wait. It lasts until the engine has let go of the call, not
/// only until its caller has: whoever drops calls as fast as it makes them must not fill the queue.
pub struct Counted(Arc<AtomicUsize>);

impl Counted {
    /// `None` if as many wait as may.
    pub fn new(waiting: &Arc<AtomicUsize>, most: usize) -> Option<Counted> {
        let counted = Counted(waiting.clone());
        (waiting.fetch_add(1, Ordering::AcqRel) < most).then_some(counted)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What a caller hands in along with its message.
pub struct Ticket {
    pub place: Place,
    pub end: oneshot::Sender<End>,
    pub _counted: Counted,
}

/// Told of the end of a call that an earlier process had taken on: the caller's id for it, and the end.
pub type OnCarried = Box<dyn FnMut(&str, Result<&Answer, &Error>) + Send>;

pub struct TowerFront {
    waiting: HashMap<u64, Ticket>,
    /// Those that handed in the same call once more.
    also: HashMap<u64, Vec<Ticket>>,
    on_carried: OnCarried,
    /// Puts what these need back into the engine's queue.
    confirm: Box<dyn Fn(u64) + Send>,
    withdraw: Box<dyn Fn(u64) + Send>,
}

impl TowerFront {
    pub fn new(
        on_carried: OnCarried, confirm: Box<dyn Fn(u64) + Send>, withdraw: Box<dyn Fn(u64) + Send>,
    ) -> TowerFront {
        TowerFront { waiting: HashMap::new(), also: HashMap::new(), on_carried, confirm, withdraw }
    }

    fn end(&mut self, id: u64, call_id: &str, end: End) {
        let also = self.also.remove(&id).unwrap_or_default();
        let Some(ticket) = self.waiting.remove(&id) else {
            // Taken on by an earlier process; whoever has handed it in again hears as well.
            (self.on_carried)(call_id, end.as_ref());
            return also.into_iter().for_each(|t| drop(t.end.send(again(&end))));
        };
        also.into_iter().for_each(|t| drop(t.end.send(again(&end))));
        let _gone = ticket.end.send(end);
    }
}

/// The same end for another that waits for it.
fn again(end: &End) -> End {
    match end {
        Ok(answer) => Ok(answer.clone()),
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

fn span(ms: Option<f64>) -> Option<Duration> {
    ms.map(|ms| Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1000.0))
}

impl Front<Ticket, Answer> for TowerFront {
    fn reply(&mut self, told: FrontReply<Ticket, Answer>) {
        match told {
            FrontReply::Accepted { id, ticket } => {
                let here = ticket.place.take(id);
                self.waiting.insert(id, ticket);
                if !here {
                    (self.withdraw)(id);
                }
            }
            FrontReply::Duplicate { id, ticket } => {
                if let Some(first) = self.waiting.get(&id) {
                    first.place.share(id);
                }
                ticket.place.share(NOT_TAKEN);
                self.also.entry(id).or_default().push(ticket);
            }
            FrontReply::Rejected { ticket, why } => {
                let (may_have_run, last) = (false, None);
                let _gone = ticket.end.send(Err(match why {
                    Rejection::Refused { retry_after_ms } => {
                        Error::Refused { retry_after: span(retry_after_ms), may_have_run, last }
                    }
                    Rejection::Failed => Error::Failed { may_have_run, last },
                }));
            }
            FrontReply::Final { id, call_id, answer } => {
                let (end, owed) = match answer {
                    FinalAnswer::Delivered(answer) | FinalAnswer::EndedByPartner(Some(answer)) => {
                        (Ok(answer), false)
                    }
                    FinalAnswer::DeliveredLate(answer) => (Ok(answer), true),
                    FinalAnswer::EndedByPartner(None) => {
                        (Err(Error::Failed { may_have_run: false, last: None }), false)
                    }
                    FinalAnswer::Refused { retry_after_ms, may_have_run, last_response: last } => (
                        Err(Error::Refused {
                            retry_after: span(retry_after_ms),
                            may_have_run,
                            last: last.map(Box::new),
                        }),
                        true,
                    ),
                    FinalAnswer::Failed { may_have_run, last_response: last } => {
                        (Err(Error::Failed { may_have_run, last: last.map(Box::new) }), true)
                    }
                };
                self.end(id, &call_id, end);
                // It has reached its caller, or there is none in this process any more.
                if owed {
                    (self.confirm)(id);
                }
            }
        }
    }

    fn is_waiting(&self, ticket: &Ticket) -> bool {
        !ticket.end.is_closed()
    }

    fn on_withdrawn(&mut self, id: u64) {
        self.waiting.remove(&id);
        // They came between the first caller's going and this. The message is gone, and may have run.
        for ticket in self.also.remove(&id).unwrap_or_default() {
            let end = Error::Refused { retry_after: Some(COME_AGAIN), may_have_run: true, last: None };
            let _gone = ticket.end.send(Err(end));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ticket(waiting: &Arc<AtomicUsize>) -> (Ticket, Place, oneshot::Receiver<End>) {
        let (end, ended) = oneshot::channel();
        let place = Place::default();
        let _counted = Counted::new(waiting, 10).unwrap();
        (Ticket { place: place.clone(), end, _counted }, place, ended)
    }

    #[test]
    fn whoever_joins_a_call_is_answered_whatever_its_first_caller_does() {
        let waiting = Arc::default();
        let mut front = TowerFront::new(Box::new(|_, _| ()), Box::new(|_| ()), Box::new(|_| ()));
        // The first goes before the second joins, and its message with it.
        let (first, place, _ended) = ticket(&waiting);
        front.reply(FrontReply::Accepted { id: 1, ticket: first });
        assert_eq!(place.leave(), Some(1));
        let (second, joined, mut ended) = ticket(&waiting);
        front.reply(FrontReply::Duplicate { id: 1, ticket: second });
        assert!(joined.taken() && joined.leave().is_none());
        front.on_withdrawn(1);
        assert!(matches!(ended.try_recv(), Ok(Err(e)) if e.may_have_run()));
        // It goes after: the message stays.
        let (first, place, _ended) = ticket(&waiting);
        front.reply(FrontReply::Accepted { id: 2, ticket: first });
        let (second, _, mut ended) = ticket(&waiting);
        front.reply(FrontReply::Duplicate { id: 2, ticket: second });
        assert_eq!(place.leave(), None);
        let answer = FinalAnswer::Delivered(Response::new(Collected::default()));
        front.reply(FrontReply::Final { id: 2, call_id: "c".into(), answer });
        assert!(matches!(ended.try_recv(), Ok(Ok(_))));
        assert_eq!(waiting.load(Ordering::SeqCst), 0, "nothing counts any more");
    }
}
