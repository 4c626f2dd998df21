//! Interfaces of the two components that the engine sits between: the front and the carrier.

use linenhall::{ListUpdate, Outcome};
use mulleinslip_engine::{Attempt, AttemptEnd, DeliveryVerdict, FrontReply};
use std::future::Future;
use tokio::sync::oneshot;

/// Submits messages through [`crate::Handle`] and receives one final answer for each. `T` is the ticket that
/// it submits along with a message, `R` the carrier's response type.
pub trait Front<T, R> {
    /// Receives a reply. Called on the engine's thread, in the order of events; it must not block.
    fn reply(&mut self, reply: FrontReply<T, R>);

    /// Returns whether the sender of a message that is not yet accepted still waits for an answer. If not,
    /// the message is dropped.
    fn is_waiting(&self, _ticket: &T) -> bool {
        true
    }

    /// The sender no longer waits for this message, so it gets no final answer.
    fn on_withdrawn(&mut self, _id: u64) {}
}

/// Permission to send an attempt, to be requested before its first byte.
pub trait SendGate {
    /// Records that the attempt begins, and returns whether it may still be sent. If not, nothing may be
    /// sent, and the attempt ends as [`Outcome::NotSent`]. Must be called again before the attempt is sent on
    /// another connection.
    fn begin(&self) -> bool;
}

/// Tells a carrier that an attempt is cancelled.
#[derive(Debug)]
pub struct Cancellation(pub(crate) oneshot::Receiver<()>);

impl Cancellation {
    /// Completes when the attempt is cancelled, and never otherwise.
    pub async fn requested(&mut self) {
        if (&mut self.0).await.is_err() {
            std::future::pending().await
        }
    }
}

/// Makes attempts. It does no retries of its own, and calls [`SendGate::begin`] before the first byte of an
/// attempt.
pub trait Carrier: 'static {
    /// A partner's response.
    type Response: 'static;
    /// The host list as it comes from discovery.
    type List: 'static;

    /// Applies a list update, before the decision module gets it.
    fn apply_list(&self, list: Self::List) -> ListUpdate;

    /// Activates a destination before a message for it is submitted. Returns a list update that must be
    /// applied first, if the destination was not active.
    fn activate(&self, _destination: u64) -> Option<Self::List> {
        None
    }

    /// Evicts the least recently used destinations if there are too many, as far as `forget_in_engine` has
    /// removed them too (see [`mulleinslip_engine::Engine::forget_destination`]). Called between two rounds.
    fn evict_unused(&self, _forget_in_engine: &mut dyn FnMut(u64) -> Option<bool>) {}

    /// Makes one attempt, within [`Attempt::wait_ms`]. If the future is dropped or panics, the attempt counts
    /// as one that may have run.
    fn attempt(
        &self, attempt: &Attempt, gate: &dyn SendGate, cancellation: Cancellation,
    ) -> impl Future<Output = AttemptEnd<Self::Response>>;

    /// Waits until a delivery with a finite [`AttemptEnd::verification_ms`] is verified or can't be. Called once,
    /// after the attempt's end has been reported.
    fn verify_delivery(&self, _attempt: &Attempt) -> impl Future<Output = DeliveryVerdict> {
        std::future::ready(DeliveryVerdict::Doubted { retry_after: None })
    }

    /// Probes an endpoint, and returns the outcome and the load report.
    fn probe(&self, endpoint: &str) -> impl Future<Output = (Outcome, Vec<f64>)>;

    /// Closes the idle connections to an endpoint.
    fn close_idle(&self, endpoint: &str);
}
