//! A plug-in over an HTTP client with a pool, beside partners that answer as told.
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

pub const WINDOW_MS: f64 = 1500.0;

pub fn settings(slots: usize, max_open: usize) -> Settings {
    let class = |effect: Effect, in_order: bool| Class {
        aim_ms: 500.0,
        deadline_ms: 5000.0,
        effect,
        dedup_scope: DedupScope::All,
        dedup_window_ms: WINDOW_MS,
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

pub fn names() -> Names {
    let classes = ["safe", "keyed", "unsafe", "ordered"].map(String::from).to_vec();
    Names { classes, tenants: vec!["acme".into()] }
}

pub type Http = hyper_util::client::legacy::Client<HttpConnector, Collected>;

/// A client that sends nothing again by itself.
pub fn plain() -> Http {
    let mut client = hyper_util::client::legacy::Client::builder(TokioExecutor::new());
    client.retry_canceled_requests(false).build(HttpConnector::new())
}

pub fn http() -> impl Fn(&Host) -> Http {
    shared(plain())
}

pub fn builder(slots: usize, max_open: usize, hosts: &[(&str, u64, &Partner)]) -> Builder {
    let hosts = hosts.iter().map(|(name, dest, p)| Host::new(*name, *dest, p.address.to_string())).collect();
    Builder::new(settings(slots, max_open), names()).protocol(Protocol::Http).seed(7).hosts(hosts)
}

/// An order; its options stand in its extensions.
pub fn order(options: CallOptions) -> http::Request<Collected> {
    let id = options.call_id.clone().unwrap_or_default();
    let request = http::Request::post("/orders").header("x-call-id", id).extension(options);
    request.body(Collected::new("4 tyres".into(), None)).unwrap()
}

/// Waits for a future on a thread that has no runtime.
pub fn wait<F: Future>(future: F) -> F::Output {
    struct Here(std::thread::Thread);
    impl Wake for Here {
        fn wake(self: Arc<Self>) {
            self.0.unpark();
        }
    }
    let waker = Arc::new(Here(std::thread::current())).into();
    let mut future = pin!(future);
    loop {
        if let Poll::Ready(done) = future.as_mut().poll(&mut Context::from_waker(&waker)) {
            return done;
        }
        std::thread::park_timeout(Duration::from_secs(30));
    }
}

pub fn call(client: &Client, class: &str, dest: u64, id: &str) -> Result<http::Response<Collected>, Error> {
    wait(client.send(order(CallOptions::new(class, dest).key(id).call_id(id))))
}

/// How a call ended, in a word.
pub fn word(end: &Result<http::Response<Collected>, Error>) -> &'static str {
    match end {
        Ok(_) => "delivered",
        Err(Error::Refused { .. }) => "refused",
        Err(Error::Failed { .. }) => "failed",
        Err(Error::BadCall(_)) => "bad call",
        Err(Error::Stopped { .. }) => "stopped",
    }
}

/// A service whose calls pass through `each` first.
#[derive(Clone)]
pub struct Tapped<S, F>(pub S, pub F);

impl<S, B, F> tower_service::Service<http::Request<B>> for Tapped<S, F>
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

pub fn start<M: Connect>(builder: Builder, connect: M) -> (Client, mulleinslip_tower::Running) {
    builder.start(connect).unwrap_or_else(|e| panic!("{e}"))
}
