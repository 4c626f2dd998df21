//! The client: submits calls to the engine and waits for their results.

use crate::body::{collect, BodyError, Collected};
use crate::error::Error;
use crate::front::{CallResult, CallState, CollectedResponse, Ticket, WaitingPermit, DEFAULT_RETRY_AFTER};
use crate::options::{CallOptions, Methods};
use crate::protocol::Protocol;
use crate::stored;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use linenhall::{Class, Effect};
use mulleinslip_engine::{Message, Names};
use mulleinslip_runtime::Clock;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;
use tower_service::Service;

/// Maximum length of a call id, idempotency key or order key.
const MAX_ID_BYTES: usize = 256;
/// Queue of the engine, independent of the type of its carrier.
pub trait EngineQueue: Send + Sync {
    /// Submits a message. Returns `false` if the engine has ended.
    fn submit(&self, message: Box<Message>, ticket: Ticket) -> bool;
    /// Withdraws a message.
    fn withdraw(&self, id: u64);
}

/// What all clones of a [`Client`] share.
pub struct Shared {
    pub queue: Box<dyn EngineQueue>,
    pub names: Names,
    pub classes: Vec<Class>,
    pub methods: Methods,
    pub protocol: Protocol,
    pub clock: Clock,
    pub max_request_bytes: usize,
    /// Maximum number of calls that wait for a result at once. Each keeps its request in memory.
    pub max_waiting_calls: usize,
    pub waiting_calls: Arc<AtomicUsize>,
    /// Random prefix that makes generated call ids unique among processes.
    pub id_prefix: u128,
    /// Number of call ids generated so far.
    pub generated_ids: AtomicU64,
}

/// The relay as a service. Clones are handles to the same relay.
#[derive(Clone)]
pub struct Client(pub(crate) Arc<Shared>);

/// A call that waits for its result. Withdraws the call if dropped before the result.
struct PendingCall<'a> {
    shared: &'a Shared,
    state: CallState,
    finished: bool,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.state.abandon().into_iter().for_each(|id| self.shared.queue.withdraw(id));
        }
    }
}

impl Client {
    /// Returns whether the table of methods has options for a path.
    pub fn knows(&self, path: &str) -> bool {
        self.0.methods.of(path).is_some()
    }

    /// Makes a call with the options in the request's extensions and in the table of methods. The future
    /// needs no async runtime.
    ///
    /// Dropping the future withdraws the call: an attempt in flight is cancelled, and may have run.
    ///
    /// # Errors
    /// See [`Error`]. Each call has exactly one result.
    pub async fn send<B: Body>(&self, request: Request<B>) -> Result<CollectedResponse, Error> {
        let shared = &*self.0;
        // Checked before the body is read, so that calls over the limit cost no memory for their bodies.
        let Some(permit) = WaitingPermit::new(&shared.waiting_calls, shared.max_waiting_calls) else {
            return Err(Error::Refused {
                retry_after: Some(DEFAULT_RETRY_AFTER),
                may_have_run: false,
                last: None,
            });
        };
        let message = shared.message(request).await?;
        let (result, receiver) = oneshot::channel::<CallResult>();
        let state = CallState::default();
        let ticket = Ticket { state: state.clone(), result, _permit: permit };
        if !shared.queue.submit(Box::new(message), ticket) {
            return Err(Error::Stopped { taken: false });
        }
        let mut pending = PendingCall { shared, state: state.clone(), finished: false };
        let result = receiver.await;
        pending.finished = true;
        result.unwrap_or_else(|_| Err(Error::Stopped { taken: state.is_accepted() }))
    }
}

impl Shared {
    /// Makes the message of a request.
    async fn message<B: Body>(&self, request: Request<B>) -> Result<Message, Error> {
        let (mut parts, body) = request.into_parts();
        let own = parts.extensions.remove::<CallOptions>().unwrap_or_default();
        let options = own.with_defaults(self.methods.of(parts.uri.path()));
        let class = options.class.as_deref().ok_or(Error::BadCall("no class is given for it"))?;
        let class = self.names.classes.iter().position(|c| c == class);
        let class = class.ok_or(Error::BadCall("there is no such class"))?;
        let settings = self.classes.get(class).ok_or(Error::BadCall("there is no such class"))?;
        let tenant = match &options.tenant {
            None => Some(0),
            Some(name) => self.names.tenants.iter().position(|t| t == name),
        };
        let tenant = tenant.ok_or(Error::BadCall("there is no such tenant"))?;
        let destination = options.destination.ok_or(Error::BadCall("no destination is given for it"))?;
        if settings.effect == Effect::Keyed && options.key.is_none() {
            return Err(Error::BadCall("its class needs a key"));
        }
        let ids = [&options.key, &options.call_id, &options.order_key];
        if ids.into_iter().flatten().any(|id| id.is_empty() || id.len() > MAX_ID_BYTES) {
            return Err(Error::BadCall("an id or key is empty or too long"));
        }
        let plain = |id: &String| id.bytes().all(|b| b.is_ascii_graphic());
        if !options.key.iter().chain(&options.call_id).all(plain) {
            return Err(Error::BadCall("an id or key is not plain text"));
        }
        let body = collect(body, self.max_request_bytes).await.map_err(|e| match e {
            BodyError::TooLong => Error::BadCall("its body is too long"),
            BodyError::Broken => Error::BadCall("its body broke off"),
        })?;
        let max_budget = Duration::from_secs_f64(settings.deadline_ms.clamp(0.0, 1e9) / 1000.0);
        let budget = options.budget.unwrap_or(max_budget).min(max_budget);
        let stored = stored::encode(&parts, body.data()).ok_or(Error::BadCall("it can't be stored"))?;
        Ok(Message {
            call_id: options.call_id.unwrap_or_else(|| self.generate_id()),
            class,
            tenant,
            destination,
            due: self.clock.now() + budget.as_secs_f64() * 1000.0,
            order_key: options.order_key.filter(|_| settings.in_order),
            idempotency_key: options.key.map(Into::into),
            body: stored,
        })
    }

    fn generate_id(&self) -> String {
        format!("{:032x}-{:x}", self.id_prefix, self.generated_ids.fetch_add(1, Ordering::Relaxed))
    }
}

impl<B> Service<Request<B>> for Client
where
    B: Body + Send + 'static,
    B::Data: Send,
{
    type Response = Response<Collected>;
    type Error = Error;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Collected>, Error>> + Send>>;

    /// Always ready. Under overload, the call itself fails at once with [`Error::Refused`] and a retry-after.
    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Error>> {
        Poll::Ready(Ok(()))
    }

    /// Makes a call. With [`Protocol::Grpc`], an error is returned as a gRPC status; see [`grpc_status`].
    fn call(&mut self, request: Request<B>) -> Self::Future {
        let client = self.clone();
        Box::pin(async move {
            match client.send(request).await {
                Err(e) if client.0.protocol == Protocol::Grpc => Ok(grpc_status(e)),
                other => other,
            }
        })
    }
}

/// Converts an error to a gRPC response. If a partner's response with a gRPC status is the last known one, it
/// is returned with its own status, and the fields below are set in it.
///
/// | error | status | `grpc-retry-pushback-ms` |
/// | --- | --- | --- |
/// | refused, did not run | `UNAVAILABLE` | retry-after, if known |
/// | refused, may have run | `UNKNOWN` | -1, so that clients don't retry by themselves |
/// | failed, may have run | `DEADLINE_EXCEEDED` | -1 |
/// | failed, did not run | `DEADLINE_EXCEEDED` | |
/// | invalid call | `INVALID_ARGUMENT` | -1 |
/// | relay shut down | `UNAVAILABLE`; `UNKNOWN` if the call had been accepted | |
///
/// Each response carries `mulleinslip-end` (`refused`, `failed`, `bad-call`, `stopped`) and
/// `mulleinslip-may-have-run` (`true`, `false`).
fn grpc_status(error: Error) -> Response<Collected> {
    let may_have_run = error.may_have_run();
    let message = error.to_string();
    let (end, status, pushback, last) = match error {
        Error::Refused { retry_after, last, .. } => {
            let retry_after_ms = retry_after.map(|a| a.as_millis().min(i32::MAX as u128) as i64);
            (
                "refused",
                if may_have_run { 2 } else { 14 },
                if may_have_run { Some(-1) } else { retry_after_ms },
                last,
            )
        }
        Error::Failed { last, .. } => ("failed", 4, may_have_run.then_some(-1), last),
        Error::BadCall(_) => ("bad-call", 3, Some(-1), None),
        Error::Stopped { .. } => ("stopped", if may_have_run { 2 } else { 14 }, None, None),
    };
    let message = HeaderValue::from_str(&message).unwrap_or(HeaderValue::from_static("not delivered"));
    // A partner's response is kept if it has a gRPC status. Its pushback is not kept: whether and when to retry is
    // no longer the partner's decision.
    let last = last.filter(|response| response.status() == StatusCode::OK).map(|response| *response);
    let (mut response, fields) = match last.map(Response::into_parts) {
        Some((head, body)) if body.trailers().is_some_and(|t| t.contains_key("grpc-status")) => {
            let fields = body.trailers().cloned().unwrap_or_default();
            (Response::from_parts(head, body), Some(fields))
        }
        Some((head, body)) if head.headers.contains_key("grpc-status") && body.data().is_empty() => {
            (Response::from_parts(head, body), None)
        }
        _ => {
            let mut response = Response::new(Collected::default());
            let headers = response.headers_mut();
            headers.insert("content-type", HeaderValue::from_static("application/grpc"));
            headers.insert("grpc-status", HeaderValue::from(status));
            headers.insert("grpc-message", message);
            (response, None)
        }
    };
    let may_have_run = HeaderValue::from_static(if may_have_run { "true" } else { "false" });
    let add_fields = |fields: &mut HeaderMap| {
        fields.insert("mulleinslip-end", HeaderValue::from_static(end));
        fields.insert("mulleinslip-may-have-run", may_have_run);
        fields.remove("grpc-retry-pushback-ms");
        pushback
            .into_iter()
            .for_each(|ms| _ = fields.insert("grpc-retry-pushback-ms", HeaderValue::from(ms)));
    };
    match fields {
        None => add_fields(response.headers_mut()),
        Some(mut trailers) => {
            add_fields(&mut trailers);
            let data = response.body().data().clone();
            *response.body_mut() = Collected::new(data, Some(trailers));
        }
    }
    response
}
