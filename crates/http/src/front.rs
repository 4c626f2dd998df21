//! The front as the engine sees it: a client that waits hears whether its message was taken on, and the platform
//! hears by notice how one ended that was taken on and not delivered.

use crate::answer::{Answer, Ticket};
use crate::audit::{self, Step};
use crate::notices::Notice;
use mulleinslip_engine::{Final, Told, Turned};
use mulleinslip_runtime::Front;
use tokio::sync::mpsc::UnboundedSender;

/// Passes on what the engine tells.
pub struct HttpFront {
    notices: UnboundedSender<Notice>,
}

impl HttpFront {
    /// `notices` goes to [`crate::run_notices`].
    pub fn new(notices: UnboundedSender<Notice>) -> HttpFront {
        HttpFront { notices }
    }
}

impl Front<Ticket, ()> for HttpFront {
    fn told(&mut self, told: Told<Ticket, ()>) {
        let (ticket, answer) = match told {
            Told::Taken { ticket, .. } | Told::Known { ticket, .. } => (ticket, Answer::Taken),
            Told::Turned { ticket, why: Turned::Refused { again_ms } } => {
                (ticket, Answer::Refused { retry_after_ms: again_ms })
            }
            Told::Turned { ticket, why: Turned::Failed } => (ticket, Answer::Failed),
            Told::Final { id, call_id, answer } => {
                let outcome = match &answer {
                    Final::Delivered(()) => "delivered",
                    Final::DeliveredLate(()) => "delivered_late",
                    Final::Over(_) => "over",
                    Final::Refused { .. } => "deferred",
                    Final::Failed { .. } => "undeliverable",
                };
                audit::note(&call_id, || Step::Final { outcome });
                let deferred = match answer {
                    // The partner's 200 or 410 is all that the platform needs.
                    Final::Delivered(()) | Final::Over(_) => return,
                    Final::Refused { again_ms, .. } => Some(again_ms),
                    Final::Failed { .. } | Final::DeliveredLate(()) => None,
                };
                let _stopped = self.notices.send(Notice { id, call_id, deferred });
                return;
            }
        };
        let _gone = ticket.send(answer);
    }

    /// A client that is gone without an answer takes its message with it.
    fn waits(&self, ticket: &Ticket) -> bool {
        !ticket.is_closed()
    }
}
