//! Attempts, made by the caller's own services.

use crate::body::{collect, Collected, NotWhole};
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

/// Makes a service for a host, on the engine's thread, when the first attempt goes there. Closures are such.
///
/// An attempt waits until its service is ready and only then counts as begun. So a service that connects before it
/// is ready lets a refused connection, or a time-out while connecting, be known for an attempt that never ran.
pub trait Connect: Send + 'static {
    /// The service; each attempt uses a clone.
    type Service: Service<Request<Collected>, Response = Response<Self::Body>, Error = Self::Error>
        + Clone
        + 'static;
    /// What its answers carry.
    type Body: Body + 'static;
    /// How it fails.
    type Error: Into<Box<dyn Error + Send + Sync>> + 'static;
    /// Makes one.
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

/// One service for all hosts, which reads from the request's URI where to go, as HTTP clients with a pool do.
pub fn shared<S: Clone>(service: S) -> impl Fn(&Host) -> S {
    move |_| service.clone()
}

/// News of the hosts.
pub enum News {
    /// All of them; what is missing is gone.
    Whole(Vec<Host>),
    /// Those that changed.
    Changes(Vec<Host>),
}

impl News {
    /// What the platform's discovery says. Its hosts speak plain HTTP.
    pub fn of(list: &List, names: &ListNames) -> News {
        let host = |e: &Entry| {
            let known = names.to_endpoint(e);
            Host {
                name: known.name,
                scheme: "http".into(),
                authority: e.address.to_string(),
                destination: known.destination,
                zone: known.zone,
                kind: known.kind,
                weight: known.weight,
                state: known.status,
            }
        };
        let hosts = list.endpoints.iter().map(host).collect();
        match list.snapshot {
            true => News::Whole(hosts),
            false => News::Changes(hosts),
        }
    }
}

struct Known<S> {
    host: Host,
    service: Option<S>,
}

/// What shares a told wait: a destination, or one host where hosts are routes apart.
type EndpointGroupKey = (u64, Option<String>);

pub struct TowerCarrier<M: Connect> {
    connect: M,
    protocol: Protocol,
    most_answer: usize,
    own_limits: Vec<bool>,
    hosts: RefCell<HashMap<String, Known<M::Service>>>,
    /// Told waits; one that is over goes when the next is told.
    waits: RefCell<HashMap<EndpointGroupKey, Instant>>,
}

impl<M: Connect> TowerCarrier<M> {
    pub fn new(connect: M, protocol: Protocol, most_answer: usize, own_limits: Vec<bool>) -> TowerCarrier<M> {
        let (hosts, waits) = (RefCell::default(), RefCell::default());
        TowerCarrier { connect, protocol, most_answer, own_limits, hosts, waits }
    }

    fn group(&self, host: &Host) -> EndpointGroupKey {
        let own_limits = self.own_limits.get(host.kind).copied().unwrap_or(false);
        (host.destination, own_limits.then(|| host.name.clone()))
    }

    /// Whether an attempt for this destination may be sent there now.
    fn may_send(&self, endpoint: &str, destination: u64) -> bool {
        let hosts = self.hosts.borrow();
        let Some(host) = hosts.get(endpoint).map(|k| &k.host) else { return false };
        let here = host.state == EndpointStatus::Active && host.destination == destination;
        here && self.waits.borrow().get(&self.group(host)).is_none_or(|until| *until <= Instant::now())
    }

    /// The host's service, and where requests to it go.
    fn service(&self, endpoint: &str) -> Option<(M::Service, Host)> {
        let mut hosts = self.hosts.borrow_mut();
        let known = hosts.get_mut(endpoint)?;
        let service = known.service.get_or_insert_with(|| self.connect.connect(&known.host));
        Some((service.clone(), known.host.clone()))
    }

    async fn exchange(
        &self, attempt: &Attempt, gate: &dyn SendGate, begun: &Cell<bool>, wait: Duration,
    ) -> AttemptEnd<Answer> {
        let Some((mut service, host)) = self.service(&attempt.endpoint) else {
            return AttemptEnd::without_response(Outcome::NotSent);
        };
        if poll_fn(|cx| service.poll_ready(cx)).await.is_err() {
            // It may be of no use any more; the next attempt gets a new one.
            self.forget(&attempt.endpoint);
            return AttemptEnd::without_response(Outcome::NoConnection);
        }
        let Some(mut request) = stored::decode(&attempt.body, &host.scheme, &host.authority) else {
            return AttemptEnd::without_response(Outcome::NotSent);
        };
        let key = attempt.idempotency_key.as_deref();
        self.protocol.prepare(&mut request, &attempt.call_id, key, attempt.attempt, wait);
        // While it became ready, the host may have begun to leave, or a wait may have been told.
        if !self.may_send(&attempt.endpoint, attempt.destination) || !gate.begin() {
            return AttemptEnd::without_response(Outcome::NotSent);
        }
        begun.set(true);
        let answer = match service.call(request).await {
            Ok(answer) => answer,
            Err(e) => {
                let e: Box<dyn Error + Send + Sync> = e.into();
                return AttemptEnd::without_response(self.protocol.broke(&*e));
            }
        };
        let (head, body) = answer.into_parts();
        let body = match collect(body, self.most_answer).await {
            Ok(body) => body,
            Err(NotWhole::TooLong | NotWhole::Broken) => return AttemptEnd::without_response(Outcome::Error),
        };
        let answer = Response::from_parts(head, body);
        let meaning = self.protocol.read(&answer);
        if meaning.retry_after_ms > 0.0 {
            let (now, wait) = (Instant::now(), Duration::from_secs_f64(meaning.retry_after_ms / 1000.0));
            let mut waits = self.waits.borrow_mut();
            waits.retain(|_, until| *until > now);
            let until = waits.entry(self.group(&host)).or_insert(now);
            *until = (*until).max(now + wait);
        }
        AttemptEnd {
            outcome: meaning.outcome,
            settled: meaning.settled,
            retry_after_ms: meaning.retry_after_ms,
            report: Vec::new(),
            response: Some(answer),
        }
    }

    fn forget(&self, endpoint: &str) {
        if let Some(known) = self.hosts.borrow_mut().get_mut(endpoint) {
            known.service = None;
        }
    }
}

/// What comes back.
pub type Answer = Response<Collected>;

impl<M: Connect> Carrier for TowerCarrier<M> {
    type Response = Answer;
    type List = News;

    fn apply_list(&self, news: News) -> ListUpdate {
        let mut hosts = self.hosts.borrow_mut();
        let (list, whole) = match news {
            News::Whole(list) => (list, true),
            News::Changes(list) => (list, false),
        };
        if whole {
            let named: HashSet<&str> = list.iter().map(|h| h.name.as_str()).collect();
            hosts.retain(|name, _| named.contains(name.as_str()));
        }
        let endpoints = list.iter().map(Host::endpoint).collect::<Vec<Endpoint>>();
        for host in list {
            if host.state == EndpointStatus::Removed {
                hosts.remove(&host.name);
                continue;
            }
            let same =
                |k: &Known<M::Service>| k.host.authority == host.authority && k.host.scheme == host.scheme;
            let service = hosts.remove(&host.name).filter(same).and_then(|k| k.service);
            hosts.insert(host.name.clone(), Known { host, service });
        }
        if whole {
            ListUpdate::Full(endpoints)
        } else {
            ListUpdate::Delta(endpoints)
        }
    }

    async fn attempt(
        &self, attempt: &Attempt, gate: &dyn SendGate, mut off: Cancellation,
    ) -> AttemptEnd<Answer> {
        let wait = attempt.wait();
        let begun = Cell::new(false);
        let outcome = tokio::select! {
            biased;
            () = off.requested() => Outcome::Cancelled,
            ended = tokio::time::timeout(wait, self.exchange(attempt, gate, &begun, wait)) => match ended {
                Ok(ended) => return ended,
                Err(_) => Outcome::TimedOut,
            }
        };
        AttemptEnd::without_response(if begun.get() { outcome } else { Outcome::NoConnection })
    }

    /// There is nothing to look at but a service that is ready.
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
