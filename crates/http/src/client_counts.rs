//! Counts of clients' connections, for the metrics.

/// What clients' connections hold, and why they were closed, since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Number of open connections.
    pub connections: usize,
    /// Number of bytes that requests without an answer take, see [`crate::Clients::new`].
    pub input_bytes: usize,
    /// Connections that were dropped unread, as none made room for them.
    pub no_place: u64,
    /// Requests that were answered with 408, as they did not come in time.
    pub timed_out: u64,
    /// Incomplete requests that were answered with 503, as their connection or their memory was needed.
    pub refused_incomplete: u64,
}
