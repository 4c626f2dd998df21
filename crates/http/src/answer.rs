//! What a client hears at once, and where it waits for that.

/// What a client is told.
#[derive(Debug)]
pub enum Answer {
    Taken,
    Refused { retry_after_ms: Option<f64> },
    Failed,
}

/// What the front hands in along with a message: where its client waits.
pub type Ticket = tokio::sync::oneshot::Sender<Answer>;
