//! Set-up of a plug-in over an HTTP client with a connection pool, with scripted partners.
#![allow(dead_code)]
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use linenhall::{Class, DedupScope, Effect, Settings};
use mulleinslip_engine::Names;
use mulleinslip_testkit::Host as Partner;
use mulleinslip_tower::{shared, Builder, CallOptions, Client, Collected, Connect, Error, Host, Protocol};
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, Wake};
use std::time::Duration;

/// Time in which the partners drop repeats of keyed calls.
pub const DEDUP_WINDOW_MS: f64 = 1500.0;

/// Returns settings with the classes of [`names`], for one relay.
pub fn settings(slots: usize, max_open: usize) -> Settings {
    let class = |effect: Effect, in_order: bool| Class {
        aim_ms: 500.0,
        deadline_ms: 5000.0,
        effect,
        dedup_scope: DedupScope::All,
        dedup_window_ms: DEDUP_WINDOW_MS,
        value: 1.0,
        late_value: 0.3,
        in_order,
    };
    Settings {
        relays: 1,
        slots,
        max_open,
        max_attempts: 6,
        classes: vec![
            class(Effect::Safe, false),
            class(Effect::Keyed, false),
            class(Effect::Unsafe, false),
            class(Effect::Safe, true),
        ],
        tenant_rates: vec![1e6],
        over_share_value: 1.0,
        batch_by_kind: vec![1],
        own_limits: vec![false],
        may_cancel: true,
        conn_idle_ms: 3000.0,
        conn_streams: 1,
        cold_share: 0.5,
        warm_after_ms: 1000.0,
        fall_multiple: 3.0,
        fall_ms: 1000.0,
        order_pause_ms: 300.0,
        retry_after: true,
        max_retry_after_ms: 2000.0,
        tick_ms: 5.0,
        ..Settings::default()
    }
}

/// Returns the names of the classes and tenants.
pub fn names() -> Names {
    let classes = ["safe", "keyed", "unsafe", "ordered"].map(String::from).to_vec();
    Names { classes, tenants: vec!["acme".into()] }
}

pub type HttpClient = hyper_util::client::legacy::Client<HttpConnector, Collected>;

/// Returns an HTTP client that doesn't retry by itself.
pub fn http_client() -> HttpClient {
    let mut client = hyper_util::client::legacy::Client::builder(TokioExecutor::new());
    client.retry_canceled_requests(false).build(HttpConnector::new())
}

/// Returns a `Connect` with one HTTP client for all hosts.
pub fn connect_http() -> impl Fn(&Host) -> HttpClient {
    shared(http_client())
}

/// Returns a builder for plain HTTP with the given partners as hosts.
pub fn builder(slots: usize, max_open: usize, hosts: &[(&str, u64, &Partner)]) -> Builder {
    let hosts = hosts
        .iter()
        .map(|(name, destination, partner)| Host::new(*name, *destination, partner.address.to_string()))
        .collect();
    Builder::new(settings(slots, max_open), names()).protocol(Protocol::Http).seed(7).hosts(hosts)
}

/// Returns a request with the given options in its extensions.
pub fn order_request(options: CallOptions) -> http::Request<Collected> {
    let id = options.call_id.clone().unwrap_or_default();
    let request = http::Request::post("/orders").header("x-call-id", id).extension(options);
    request.body(Collected::new("4 tyres".into(), None)).unwrap()
}

/// Runs a future to completion on a thread without an async runtime.
pub fn block_on<F: Future>(future: F) -> F::Output {
    struct ThreadWaker(std::thread::Thread);
    impl Wake for ThreadWaker {
        fn wake(self: Arc<Self>) {
            self.0.unpark();
        }
    }
    let waker = Arc::new(ThreadWaker(std::thread::current())).into();
    let mut future = pin!(future);
    loop {
        if let Poll::Ready(output) = future.as_mut().poll(&mut Context::from_waker(&waker)) {
            return output;
        }
        std::thread::park_timeout(Duration::from_secs(30));
    }
}

/// Makes a call with `id` as its call id and idempotency key, and waits for its result.
pub fn call(
    client: &Client, class: &str, destination: u64, id: &str,
) -> Result<http::Response<Collected>, Error> {
    block_on(client.send(order_request(CallOptions::new(class, destination).key(id).call_id(id))))
}

/// Returns the name of a call's result.
pub fn result_name(result: &Result<http::Response<Collected>, Error>) -> &'static str {
    match result {
        Ok(_) => "delivered",
        Err(Error::Refused { .. }) => "refused",
        Err(Error::Failed { .. }) => "failed",
        Err(Error::BadCall(_)) => "bad call",
        Err(Error::Stopped { .. }) => "stopped",
    }
}

/// A service that passes each request to a function before it calls the inner service.
#[derive(Clone)]
pub struct Inspected<S, F>(pub S, pub F);

impl<S, B, F> tower_service::Service<http::Request<B>> for Inspected<S, F>
where
    S: tower_service::Service<http::Request<B>>,
    F: Fn(&http::Request<B>),
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;
    fn poll_ready(&mut self, cx: &mut Context) -> Poll<Result<(), S::Error>> {
        self.0.poll_ready(cx)
    }
    fn call(&mut self, request: http::Request<B>) -> S::Future {
        (self.1)(&request);
        self.0.call(request)
    }
}

/// Starts the relay; panics if that fails.
pub fn start<M: Connect>(builder: Builder, connect: M) -> (Client, mulleinslip_tower::Running) {
    builder.start(connect).unwrap_or_else(|e| panic!("{e}"))
}
