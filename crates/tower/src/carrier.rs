//! The carrier of the plug-in: makes the attempts with services that the program supplies.

use crate::body::{collect, BodyError, Collected};
use crate::host::Host;
use crate::protocol::Protocol;
use crate::stored;
use http::{Request, Response};
use http_body::Body;
use linenhall::{Endpoint, EndpointStatus, ListUpdate, Outcome};
use mulleinslip_engine::{Attempt, AttemptEnd};
use mulleinslip_http::{Entry, List, ListNames};
use mulleinslip_runtime::{Cancellation, Carrier, SendGate};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::error::Error;
use std::future::poll_fn;
use std::time::{Duration, Instant};
use tower_service::Service;

/// Makes the service for a host, on the engine's thread, before the first attempt to that host. Closures
/// implement this trait.
///
/// An attempt waits until its service is ready and counts as begun only then. If the service connects before
/// it is ready, an attempt whose connection is refused or times out is therefore known not to have run.
pub trait Connect: Send + 'static {
    /// Type of the service. Each attempt uses a clone.
    type Service: Service<Request<Collected>, Response = Response<Self::Body>, Error = Self::Error>
        + Clone
        + 'static;
    /// Type of the response bodies.
    type Body: Body + 'static;
    /// Error type of the service.
    type Error: Into<Box<dyn Error + Send + Sync>> + 'static;
    /// Returns a service that sends requests to the host.
    fn connect(&self, host: &Host) -> Self::Service;
}

impl<F, S, B, E> Connect for F
where
    F: Fn(&Host) -> S + Send + 'static,
    S: Service<Request<Collected>, Response = Response<B>, Error = E> + Clone + 'static,
    B: Body + 'static,
    E: Into<Box<dyn Error + Send + Sync>> + 'static,
{
    type Service = S;
    type Body = B;
    type Error = E;
    fn connect(&self, host: &Host) -> S {
        self(host)
    }
}

/// Uses one service for all hosts. The service must read the host from the request's URI, as HTTP clients
/// with a connection pool do.
pub fn shared<S: Clone>(service: S) -> impl Fn(&Host) -> S {
    move |_| service.clone()
}

/// Update of the list of hosts.
pub enum HostUpdate {
    /// The full list: hosts that are not in it are removed.
    Full(Vec<Host>),
    /// Only the hosts that have changed.
    Delta(Vec<Host>),
}

impl HostUpdate {
    /// Converts a list of the platform's discovery. Its hosts use plain HTTP.
    pub fn from_list(list: &List, names: &ListNames) -> HostUpdate {
        let host = |entry: &Entry| {
            let endpoint = names.to_endpoint(entry);
            Host {
                name: endpoint.name,
                scheme: "http".into(),
                authority: entry.address.to_string(),
                destination: endpoint.destination,
                zone: endpoint.zone,
                kind: endpoint.kind,
                weight: endpoint.weight,
                state: endpoint.status,
            }
        };
        let hosts = list.endpoints.iter().map(host).collect();
        match list.snapshot {
            true => HostUpdate::Full(hosts),
            false => HostUpdate::Delta(hosts),
        }
    }
}

struct KnownHost<S> {
    host: Host,
    service: Option<S>,
}

/// Key of what shares a Retry-After: a destination, or a single host where each host has its own limit.
type EndpointGroupKey = (u64, Option<String>);

/// Makes attempts with the services of a [`Connect`].
pub struct TowerCarrier<M: Connect> {
    connect: M,
    protocol: Protocol,
    max_response_bytes: usize,
    own_limits: Vec<bool>,
    hosts: RefCell<HashMap<String, KnownHost<M::Service>>>,
    /// End of each Retry-After received. Entries that have expired are removed when the next one is received.
    retry_afters: RefCell<HashMap<EndpointGroupKey, Instant>>,
}

impl<M: Connect> TowerCarrier<M> {
    pub fn new(
        connect: M, protocol: Protocol, max_response_bytes: usize, own_limits: Vec<bool>,
    ) -> TowerCarrier<M> {
        let (hosts, retry_afters) = (RefCell::default(), RefCell::default());
        TowerCarrier { connect, protocol, max_response_bytes, own_limits, hosts, retry_afters }
    }

    fn group(&self, host: &Host) -> EndpointGroupKey {
        let own_limits = self.own_limits.get(host.kind).copied().unwrap_or(false);
        (host.destination, own_limits.then(|| host.name.clone()))
    }

    /// Returns whether an attempt for this destination may be sent to the endpoint now.
    fn may_send(&self, endpoint: &str, destination: u64) -> bool {
        let hosts = self.hosts.borrow();
        let Some(host) = hosts.get(endpoint).map(|known| &known.host) else { return false };
        let accepts_attempts = host.state == EndpointStatus::Active && host.destination == destination;
        accepts_attempts
            && self.retry_afters.borrow().get(&self.group(host)).is_none_or(|until| *until <= Instant::now())
    }

    /// Returns the service for an endpoint and its host.
    fn service(&self, endpoint: &str) -> Option<(M::Service, Host)> {
        let mut hosts = self.hosts.borrow_mut();
        let known = hosts.get_mut(endpoint)?;
        let service = known.service.get_or_insert_with(|| self.connect.connect(&known.host));
        Some((service.clone(), known.host.clone()))
    }

    /// Makes an attempt. Sets `begun` just before the request is sent.
    async fn exchange(
        &self, attempt: &Attempt, gate: &dyn SendGate, begun: &Cell<bool>, wait: Duration,
    ) -> AttemptEnd<CollectedResponse> {
        let Some((mut service, host)) = self.service(&attempt.endpoint) else {
            return AttemptEnd::without_response(Outcome::NotSent);
        };
        if poll_fn(|cx| service.poll_ready(cx)).await.is_err() {
            // The service may stay unusable, so the next attempt gets a new one.
            self.forget(&attempt.endpoint);
            return AttemptEnd::without_response(Outcome::NoConnection);
        }
        let Some(mut request) = stored::decode(&attempt.body, &host.scheme, &host.authority) else {
            return AttemptEnd::without_response(Outcome::NotSent);
        };
        let key = attempt.idempotency_key.as_deref();
        self.protocol.prepare(&mut request, &attempt.call_id, key, attempt.attempt, wait);
        // While the service became ready, the host may have begun to drain, or a Retry-After may have been
        // received.
        if !self.may_send(&attempt.endpoint, attempt.destination) || !gate.begin() {
            return AttemptEnd::without_response(Outcome::NotSent);
        }
        begun.set(true);
        let response = match service.call(request).await {
            Ok(response) => response,
            Err(e) => {
                let error: Box<dyn Error + Send + Sync> = e.into();
                return AttemptEnd::without_response(self.protocol.outcome_of_error(&*error));
            }
        };
        let (head, body) = response.into_parts();
        let body = match collect(body, self.max_response_bytes).await {
            Ok(body) => body,
            Err(BodyError::TooLong | BodyError::Broken) => {
                return AttemptEnd::without_response(Outcome::Error)
            }
        };
        let response = Response::from_parts(head, body);
        let parsed = self.protocol.parse(&response);
        if parsed.retry_after_ms > 0.0 {
            let (now, wait) = (Instant::now(), Duration::from_secs_f64(parsed.retry_after_ms / 1000.0));
            let mut retry_afters = self.retry_afters.borrow_mut();
            retry_afters.retain(|_, until| *until > now);
            let until = retry_afters.entry(self.group(&host)).or_insert(now);
            *until = (*until).max(now + wait);
        }
        AttemptEnd {
            outcome: parsed.outcome,
            settled: parsed.settled,
            retry_after_ms: parsed.retry_after_ms,
            report: Vec::new(),
            response: Some(response),
            verification_ms: 0.0,
        }
    }

    /// Drops the service of an endpoint; the next attempt makes a new one.
    fn forget(&self, endpoint: &str) {
        if let Some(known) = self.hosts.borrow_mut().get_mut(endpoint) {
            known.service = None;
        }
    }
}

/// A partner's response, completely read.
pub type CollectedResponse = Response<Collected>;

impl<M: Connect> Carrier for TowerCarrier<M> {
    type Response = CollectedResponse;
    type List = HostUpdate;

    fn apply_list(&self, update: HostUpdate) -> ListUpdate {
        let mut hosts = self.hosts.borrow_mut();
        let (list, is_full) = match update {
            HostUpdate::Full(list) => (list, true),
            HostUpdate::Delta(list) => (list, false),
        };
        if is_full {
            let listed: HashSet<&str> = list.iter().map(|h| h.name.as_str()).collect();
            hosts.retain(|name, _| listed.contains(name.as_str()));
        }
        let endpoints = list.iter().map(Host::endpoint).collect::<Vec<Endpoint>>();
        for host in list {
            if host.state == EndpointStatus::Removed {
                hosts.remove(&host.name);
                continue;
            }
            let same_address = |known: &KnownHost<M::Service>| {
                known.host.authority == host.authority && known.host.scheme == host.scheme
            };
            let service = hosts.remove(&host.name).filter(same_address).and_then(|known| known.service);
            hosts.insert(host.name.clone(), KnownHost { host, service });
        }
        if is_full {
            ListUpdate::Full(endpoints)
        } else {
            ListUpdate::Delta(endpoints)
        }
    }

    async fn attempt(
        &self, attempt: &Attempt, gate: &dyn SendGate, mut cancellation: Cancellation,
    ) -> AttemptEnd<CollectedResponse> {
        let wait = attempt.wait();
        let begun = Cell::new(false);
        let outcome = tokio::select! {
            biased;
            () = cancellation.requested() => Outcome::Cancelled,
            ended = tokio::time::timeout(wait, self.exchange(attempt, gate, &begun, wait)) => match ended {
                Ok(ended) => return ended,
                Err(_) => Outcome::TimedOut,
            }
        };
        AttemptEnd::without_response(if begun.get() { outcome } else { Outcome::NoConnection })
    }

    /// Probes whether the endpoint's service becomes ready; without a message there is nothing else to test.
    async fn probe(&self, endpoint: &str) -> (Outcome, Vec<f64>) {
        let Some((mut service, _)) = self.service(endpoint) else {
            return (Outcome::NoConnection, Vec::new());
        };
        let ready = poll_fn(|cx| service.poll_ready(cx));
        let outcome = match tokio::time::timeout(Duration::from_secs(1), ready).await {
            Ok(Ok(())) => Outcome::Delivered,
            Ok(Err(_)) => Outcome::NoConnection,
            Err(_) => Outcome::TimedOut,
        };
        (outcome, Vec::new())
    }

    fn close_idle(&self, endpoint: &str) {
        self.forget(endpoint);
    }
}
