//! The engine's front over HTTP: answers the waiting client whether its message was accepted, and queues a
//! notice to the platform for each accepted message that was not delivered.

use crate::answer::{Answer, Ticket};
use crate::audit::{self, Step};
use crate::notices::Notice;
use mulleinslip_engine::{FinalAnswer, FrontReply, Rejection};
use mulleinslip_runtime::Front;
use tokio::sync::mpsc::UnboundedSender;

/// Forwards the engine's replies to clients and notices.
pub struct HttpFront {
    notices: UnboundedSender<Notice>,
}

impl HttpFront {
    /// Creates a front; `notices` is the sending side of the queue that [`crate::run_notices`] reads.
    pub fn new(notices: UnboundedSender<Notice>) -> HttpFront {
        HttpFront { notices }
    }
}

impl Front<Ticket, ()> for HttpFront {
    fn reply(&mut self, reply: FrontReply<Ticket, ()>) {
        let (ticket, answer) = match reply {
            FrontReply::Accepted { ticket, .. } | FrontReply::Duplicate { ticket, .. } => {
                (ticket, Answer::Accepted)
            }
            FrontReply::Rejected { ticket, why: Rejection::Refused { retry_after_ms } } => {
                (ticket, Answer::Refused { retry_after_ms })
            }
            FrontReply::Ended { ticket, delivered: true } => (ticket, Answer::Accepted),
            FrontReply::Ended { ticket, delivered: false }
            | FrontReply::Rejected { ticket, why: Rejection::Failed } => (ticket, Answer::Failed),
            FrontReply::Final { id, call_id, answer } => {
                let outcome = match &answer {
                    FinalAnswer::Delivered(()) => "delivered",
                    FinalAnswer::DeliveredLate(()) => "delivered_late",
                    FinalAnswer::DeliveryDoubted(()) => "delivery_doubted",
                    FinalAnswer::EndedByPartner(_) => "over",
                    FinalAnswer::Refused { .. } => "deferred",
                    FinalAnswer::Failed { .. } => "undeliverable",
                };
                audit::log_step(&call_id, || Step::Final { outcome });
                let deferred = match answer {
                    // The platform learns of these from the partner's 200 or 410 and needs no notice.
                    FinalAnswer::Delivered(()) | FinalAnswer::EndedByPartner(_) => return,
                    FinalAnswer::Refused { retry_after_ms, .. } => Some(retry_after_ms),
                    FinalAnswer::Failed { .. }
                    | FinalAnswer::DeliveredLate(())
                    | FinalAnswer::DeliveryDoubted(()) => None,
                };
                let _stopped = self.notices.send(Notice { id, call_id, deferred });
                return;
            }
        };
        let _gone = ticket.send(answer);
    }

    /// A client that leaves before it has an answer withdraws its message.
    fn is_waiting(&self, ticket: &Ticket) -> bool {
        !ticket.is_closed()
    }
}
