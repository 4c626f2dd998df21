//! A host, as the plug-in knows it.

use linenhall::{Endpoint, EndpointStatus};

/// A host of a destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name, the same wherever it listens.
    pub name: String,
    /// `http` or `https`.
    pub scheme: String,
    /// Host and port.
    pub authority: String,
    /// Its destination.
    pub destination: u64,
    /// Index of its zone.
    pub zone: u32,
    /// Index of the kind of its destination.
    pub kind: usize,
    /// See [`linenhall::WeightMeaning`].
    pub weight: f64,
    /// Whether it takes calls, drains or is gone.
    pub state: EndpointStatus,
}

impl Host {
    /// A host over plain HTTP, in the first zone, of the first kind.
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

    /// In another state.
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
