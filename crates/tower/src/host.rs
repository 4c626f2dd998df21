//! A host of a destination, as the plug-in describes it.

use linenhall::{Endpoint, EndpointStatus};

/// A host of a destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Name of the host. It stays the same when the address changes.
    pub name: String,
    /// URI scheme, `http` or `https`.
    pub scheme: String,
    /// Host name or IP address, and port.
    pub authority: String,
    /// Destination that the host serves.
    pub destination: u64,
    /// Index of the host's zone.
    pub zone: u32,
    /// Index of the destination's kind.
    pub kind: usize,
    /// Weight of the host; see [`linenhall::WeightMeaning`].
    pub weight: f64,
    /// Whether the host is active, draining or removed.
    pub state: EndpointStatus,
}

impl Host {
    /// Returns an active host with the scheme `http`, in zone 0, of kind 0, with weight 1.
    pub fn new(name: impl Into<String>, destination: u64, authority: impl Into<String>) -> Host {
        Host {
            name: name.into(),
            scheme: "http".into(),
            authority: authority.into(),
            destination,
            zone: 0,
            kind: 0,
            weight: 1.0,
            state: EndpointStatus::Active,
        }
    }

    /// Sets the state.
    pub fn state(mut self, state: EndpointStatus) -> Host {
        self.state = state;
        self
    }

    pub(crate) fn endpoint(&self) -> Endpoint {
        Endpoint {
            name: self.name.clone(),
            destination: self.destination,
            zone: self.zone,
            kind: self.kind,
            weight: self.weight,
            status: self.state,
        }
    }
}
