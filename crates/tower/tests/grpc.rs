//! tonic clients over the plug-in: handling of partners' gRPC responses, and the statuses that callers see.
mod common;
#[path = "common/grpc.rs"]
mod tonic_client;
use bytes::Bytes;
use common::*;
use mulleinslip_testkit::grpc::{GrpcPartner, GrpcReply};
use mulleinslip_tower::{Builder, CallOptions, Client, Host, Methods, RelayLayer, Running};
use std::time::{Duration, Instant};
use tonic::Code;
use tonic_client::{connect, host, unary};
use tower_layer::Layer;

const PLACE_PATH: &str = "/orders.Orders/Place";

fn relay(partner: &GrpcPartner) -> (Client, Running) {
    let hosts = vec![host("h", 1, partner), Host::new("nobody", 2, "127.0.0.1:9")];
    let methods = Methods::default().with("/orders.Orders/", CallOptions::new("unsafe", 1));
    start(Builder::new(settings(8, 40), names()).seed(7).hosts(hosts).methods(methods), connect)
}

fn order_bytes() -> Bytes {
    Bytes::from_static(b"4 tyres")
}

fn metadata_field(status: &tonic::Status, field: &str) -> String {
    status.metadata().get(field).and_then(|v| v.to_str().ok()).unwrap_or("").to_string()
}

fn place_order(
    client: &Client, options: Option<CallOptions>,
) -> Result<tonic::Response<Bytes>, tonic::Status> {
    block_on(unary(client.clone(), PLACE_PATH, order_bytes(), options))
}

// Guards against a call or response that loses its message, headers or trailers on the way, and against a
// missing or too long timeout.
#[test]
fn unary_call_returns_message_and_trailers() {
    let partner = GrpcPartner::new(|call, _| {
        GrpcReply::Trailers(call.body.slice(5..), 0, vec![("x-order", "17".into())])
    });
    let (client, running) = relay(&partner);
    let answer = place_order(&client, None).unwrap();
    assert_eq!(answer.get_ref(), &order_bytes());
    assert_eq!(answer.metadata().get("x-order").unwrap(), "17");
    let received = &partner.received()[0];
    assert_eq!(
        (received.path.as_str(), received.headers.get("te").unwrap().as_bytes()),
        (PLACE_PATH, &b"trailers"[..])
    );
    let timeout = received.headers.get("grpc-timeout").unwrap().to_str().unwrap();
    let micros: u64 = timeout.strip_suffix('u').unwrap().parse().unwrap();
    assert!((1..=5_000_000).contains(&micros), "{timeout}");
    assert!(running.shutdown(Duration::from_secs(5)));
}

// Guards against retries of a call that the partner has answered: statuses that say no are final even for
// calls that are safe to repeat, and are passed on unchanged.
#[test]
fn final_status_of_partner_is_passed_on_without_retry() {
    for code in [3, 5, 6, 7, 9, 10, 11, 12, 16] {
        let partner =
            GrpcPartner::new(move |_, _| GrpcReply::Alone(code, vec![("grpc-message", "no".into())]));
        let (client, _running) = relay(&partner);
        let status = place_order(&client, Some(CallOptions::new("safe", 1))).unwrap_err();
        assert_eq!((status.code() as u32, status.message()), (code, "no"));
        assert_eq!(
            metadata_field(&status, "mulleinslip-end"),
            "",
            "code {code}: the status is not the partner's own"
        );
        assert_eq!(partner.received().len(), 1, "code {code}: not sent exactly once");
    }
}

// Guards against repeats of unsafe calls after a response that doesn't prove that the call did not run: an
// error status, a truncated response, or an error of a gateway. Safe calls are retried.
#[test]
fn ambiguous_response_is_retried_only_for_safe_calls() {
    let responses: Vec<(&str, GrpcReply)> = vec![
        ("unknown", GrpcReply::Trailers(Bytes::new(), 2, vec![])),
        (
            "unavailable in trailers",
            GrpcReply::Trailers(order_bytes(), 14, vec![("grpc-retry-pushback-ms", "5".into())]),
        ),
        ("internal", GrpcReply::Alone(13, vec![])),
        ("cut off after the message", GrpcReply::Cut(order_bytes())),
        ("no trailers after the message", GrpcReply::NoTrailers(order_bytes())),
        ("a gateway", GrpcReply::Http(502)),
    ];
    for (what, reply) in responses {
        let partner =
            GrpcPartner::new(move |_, n| if n == 0 { reply.clone() } else { GrpcReply::Ok(order_bytes()) });
        let (client, _running) = relay(&partner);
        let status = place_order(&client, Some(CallOptions::new("unsafe", 1).budget(Duration::from_secs(1))));
        let status = status.expect_err(what);
        assert_eq!(
            metadata_field(&status, "mulleinslip-may-have-run"),
            "true",
            "{what}: not reported as possibly run: {status:?}"
        );
        assert_ne!(
            metadata_field(&status, "mulleinslip-end"),
            "",
            "{what}: no mulleinslip-end in the status"
        );
        assert_eq!(partner.received().len(), 1, "{what}: the unsafe call was not sent exactly once");
        // Safe to repeat, so it is retried.
        let safe = CallOptions::new("safe", 1);
        assert!(place_order(&client, Some(safe)).is_ok(), "{what}: the safe call was not retried");
    }
}

// Guards against a pushback that is ignored: without a message it proves that the call did not run, so that
// even an unsafe call is retried, but not before the time that the partner asks for.
#[test]
fn pushback_delays_retry_and_counts_as_not_run() {
    let partner = GrpcPartner::new(|_, n| match n {
        0 => GrpcReply::Alone(14, vec![("grpc-retry-pushback-ms", "300".into())]),
        _ => GrpcReply::Ok(order_bytes()),
    });
    let (client, running) = relay(&partner);
    let start = Instant::now();
    assert!(place_order(&client, None).is_ok(), "the unsafe call was not retried after a pushback");
    assert!(start.elapsed() >= Duration::from_millis(300));
    let received = partner.received();
    assert_eq!(received[1].headers.get("grpc-previous-rpc-attempts").unwrap(), "1");
    assert!(running.shutdown(Duration::from_secs(5)));
}

// Guards against errors that a gRPC client can't act on: the status, pushback, reason and whether the call
// may have run are set for a refused call, an invalid one, one without a reachable host and one after the
// shutdown.
#[test]
fn refused_invalid_and_stopped_calls_have_matching_status() {
    let partner = GrpcPartner::new(|_, _| GrpcReply::Ok(order_bytes()));
    let (client, running) = relay(&partner);
    let status = place_order(&client, Some(CallOptions::new("safe", 99))).unwrap_err();
    assert_eq!(
        (status.code(), metadata_field(&status, "mulleinslip-end").as_str()),
        (Code::Unavailable, "refused")
    );
    assert_eq!(metadata_field(&status, "grpc-retry-pushback-ms"), "500");
    assert_eq!(metadata_field(&status, "mulleinslip-may-have-run"), "false");
    let status = place_order(&client, Some(CallOptions::new("none", 1))).unwrap_err();
    assert_eq!(
        (status.code(), metadata_field(&status, "mulleinslip-end").as_str()),
        (Code::InvalidArgument, "bad-call")
    );
    assert!(status.message().contains("no such class"));
    // Nothing listens at the host's address: the call is retried until its budget ends and never runs.
    let options = CallOptions::new("unsafe", 2).budget(Duration::from_millis(400));
    let status = place_order(&client, Some(options)).unwrap_err();
    assert_eq!(metadata_field(&status, "mulleinslip-may-have-run"), "false", "{status:?}");
    assert!(running.shutdown(Duration::from_secs(5)));
    let status = place_order(&client, None).unwrap_err();
    assert_eq!(
        (status.code(), metadata_field(&status, "mulleinslip-end").as_str()),
        (Code::Unavailable, "stopped")
    );
}

// Guards against a time-out that is reported as harmless: at the deadline an attempt is in flight and may
// have run.
#[test]
fn deadline_with_attempt_in_flight_reports_may_have_run() {
    let partner = GrpcPartner::new(|_, _| GrpcReply::Silent);
    let (client, running) = relay(&partner);
    let status = place_order(&client, Some(CallOptions::new("unsafe", 1).budget(Duration::from_millis(300))))
        .unwrap_err();
    assert_eq!(metadata_field(&status, "mulleinslip-may-have-run"), "true");
    assert!([Code::DeadlineExceeded, Code::Unknown].contains(&status.code()), "{status:?}");
    assert!(running.shutdown(Duration::from_secs(5)));
}

// Guards against calls that take the wrong way through the layer: only calls with options or with a path in
// the table of methods go through the relay.
#[test]
fn layer_relays_only_known_paths_and_calls_with_options() {
    let (relayed, direct) = (
        GrpcPartner::new(|_, _| GrpcReply::Ok(order_bytes())),
        GrpcPartner::new(|_, _| GrpcReply::Ok(order_bytes())),
    );
    let (client, running) = relay(&relayed);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let through = RelayLayer::new(client).layer(tonic_client::channel(&direct.address.to_string()));
        assert!(unary(through.clone(), PLACE_PATH, order_bytes(), None).await.is_ok());
        assert!(unary(through.clone(), "/stock.Stock/Set", order_bytes(), None).await.is_ok());
        let options = CallOptions::new("safe", 1);
        assert!(unary(through, "/stock.Stock/Set", order_bytes(), Some(options)).await.is_ok());
    });
    let paths = |p: &GrpcPartner| p.received().into_iter().map(|h| h.path).collect::<Vec<_>>();
    assert_eq!(paths(&relayed), [PLACE_PATH, "/stock.Stock/Set"]);
    assert_eq!(paths(&direct), ["/stock.Stock/Set"]);
    assert!(running.shutdown(Duration::from_secs(5)));
}
