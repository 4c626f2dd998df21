//! The front as the engine sees it: a client that waits hears whether its message was taken on, and the platform
//! hears by notice how one ended that was taken on and not delivered.

use crate::answer::{Answer, Ticket};
use crate::audit::{self, Step};
use crate::notices::Notice;
use mulleinslip_engine::{FinalAnswer, FrontReply, Rejection};
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
    fn reply(&mut self, told: FrontReply<Ticket, ()>) {
        let (ticket, answer) = match told {
            FrontReply::Accepted { ticket, .. } | FrontReply::Duplicate { ticket, .. } => {
                (ticket, Answer::Taken)
            }
            FrontReply::Rejected { ticket, why: Rejection::Refused { retry_after_ms } } => {
                (ticket, Answer::Refused { retry_after_ms })
            }
            FrontReply::Rejected { ticket, why: Rejection::Failed } => (ticket, Answer::Failed),
            FrontReply::Final { id, call_id, answer } => {
                let outcome = match &answer {
                    FinalAnswer::Delivered(()) => "delivered",
                    FinalAnswer::DeliveredLate(()) => "delivered_late",
                    FinalAnswer::EndedByPartner(_) => "over",
                    FinalAnswer::Refused { .. } => "deferred",
                    FinalAnswer::Failed { .. } => "undeliverable",
                };
                audit::note(&call_id, || Step::Final { outcome });
                let deferred = match answer {
                    // The partner's 200 or 410 is all that the platform needs.
                    FinalAnswer::Delivered(()) | FinalAnswer::EndedByPartner(_) => return,
                    FinalAnswer::Refused { retry_after_ms, .. } => Some(retry_after_ms),
                    FinalAnswer::Failed { .. } | FinalAnswer::DeliveredLate(()) => None,
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
