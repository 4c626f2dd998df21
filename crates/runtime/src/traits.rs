//! What stands on both sides of the engine.

use linenhall::{ListUpdate, Outcome};
use mulleinslip_engine::{Attempt, AttemptEnd, FrontReply};
use std::future::Future;
use tokio::sync::oneshot;

/// Hands messages in, by [`crate::Handle`], and is told each one's single final answer. `T` is what it hands in
/// along with a message, `R` what the carrier brings back.
pub trait Front<T, R> {
    /// Called on the engine's thread, in the order of events; it must not block.
    fn reply(&mut self, told: FrontReply<T, R>);

    /// Whether whoever handed a message in, not yet taken on, still waits for an answer. If not, it is dropped.
    fn waits(&self, _ticket: &T) -> bool {
        true
    }

    /// Nobody waits for this message any more: it gets no final answer.
    fn withdrawn(&mut self, _id: u64) {}
}

/// To be passed before an attempt's first byte.
pub trait SendGate {
    /// Records that the attempt begins, and looks whether it may yet. If it gives `false`, nothing may be sent, and the
    /// attempt ends as [`Outcome::NotSent`]. Asked again before each connection that it is tried on.
    fn begin(&self) -> bool;
}

/// Whether an attempt is called off.
#[derive(Debug)]
pub struct Cancellation(pub(crate) oneshot::Receiver<()>);

impl Cancellation {
    /// Ready once nobody waits for the attempt any more; else never.
    pub async fn requested(&mut self) {
        if (&mut self.0).await.is_err() {
            std::future::pending().await
        }
    }
}

/// Makes attempts. It sends nothing again by itself, and passes the gate before the first byte.
pub trait Carrier: 'static {
    /// What comes back from a partner.
    type Response: 'static;
    /// The list as it comes from discovery.
    type List: 'static;

    /// Takes a list over before the module hears of it.
    fn apply_list(&self, list: Self::List) -> ListUpdate;

    /// A message for this destination is about to be handed in: what is to be learnt of it first, where it was not in use.
    fn activate(&self, _destination: u64) -> Option<Self::List> {
        None
    }

    /// Forgets destinations that are too many, not used for longest, and of which `others` says that they have forgotten them:
    /// see [`mulleinslip_engine::Engine::forget`]. Between two rounds.
    fn forget(&self, _others: &mut dyn FnMut(u64) -> Option<bool>) {}

    /// Makes one attempt, within [`Attempt::wait_ms`]. If it is dropped, or panics, the attempt counts as one that
    /// may have run.
    fn attempt(
        &self, attempt: &Attempt, gate: &dyn SendGate, off: Cancellation,
    ) -> impl Future<Output = AttemptEnd<Self::Response>>;

    /// Looks how an endpoint does: its outcome and load report.
    fn probe(&self, endpoint: &str) -> impl Future<Output = (Outcome, Vec<f64>)>;

    /// Closes connections to an endpoint that stand idle.
    fn close_idle(&self, endpoint: &str);
}
