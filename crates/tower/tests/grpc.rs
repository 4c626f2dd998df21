//! tonic clients over the plug-in: what partners answer, and how ends look to the RPC library's users.
mod common;
#[path = "common/grpc.rs"]
mod over;
use bytes::Bytes;
use common::*;
use mulleinslip_testkit::grpc::{GrpcPartner, GrpcReply};
use mulleinslip_tower::{Builder, CallOptions, Client, Host, Methods, RelayLayer, Running};
use over::{connect, host, unary};
use std::time::{Duration, Instant};
use tonic::Code;
use tower_layer::Layer;

const PLACE: &str = "/orders.Orders/Place";

fn relay(partner: &GrpcPartner) -> (Client, Running) {
    let hosts = vec![host("h", 1, partner), Host::new("nobody", 2, "127.0.0.1:9")];
    let methods = Methods::default().with("/orders.Orders/", CallOptions::new("unsafe", 1));
    start(Builder::new(settings(8, 40), names()).seed(7).hosts(hosts).methods(methods), connect)
}

fn data() -> Bytes {
    Bytes::from_static(b"4 tyres")
}

fn told(status: &tonic::Status, field: &str) -> String {
    status.metadata().get(field).and_then(|v| v.to_str().ok()).unwrap_or("").to_string()
}

fn asked(client: &Client, options: Option<CallOptions>) -> Result<tonic::Response<Bytes>, tonic::Status> {
    wait(unary(client.clone(), PLACE, data(), options))
}

#[test]
fn a_unary_call_is_delivered_with_its_message_and_trailers() {
    let partner = GrpcPartner::new(|call, _| {
        GrpcReply::Trailers(call.body.slice(5..), 0, vec![("x-order", "17".into())])
    });
    let (client, running) = relay(&partner);
    let answer = asked(&client, None).unwrap();
    assert_eq!(answer.get_ref(), &data());
    assert_eq!(answer.metadata().get("x-order").unwrap(), "17");
    let heard = &partner.received()[0];
    assert_eq!((heard.path.as_str(), heard.headers.get("te").unwrap().as_bytes()), (PLACE, &b"trailers"[..]));
    let timeout = heard.headers.get("grpc-timeout").unwrap().to_str().unwrap();
    let micros: u64 = timeout.strip_suffix('u').unwrap().parse().unwrap();
    assert!((1..=5_000_000).contains(&micros), "{timeout}");
    assert!(running.shutdown(Duration::from_secs(5)));
}

#[test]
fn a_partners_own_word_is_passed_on_and_not_tried_again() {
    for code in [3, 5, 6, 7, 9, 10, 11, 12, 16] {
        let partner =
            GrpcPartner::new(move |_, _| GrpcReply::Alone(code, vec![("grpc-message", "no".into())]));
        let (client, _running) = relay(&partner);
        let status = asked(&client, Some(CallOptions::new("safe", 1))).unwrap_err();
        assert_eq!((status.code() as u32, status.message()), (code, "no"));
        assert_eq!(told(&status, "mulleinslip-end"), "", "it is the partner's answer");
        assert_eq!(partner.received().len(), 1, "code {code}");
    }
}

#[test]
fn what_may_have_run_goes_again_only_as_its_class_allows() {
    let broken: Vec<(&str, GrpcReply)> = vec![
        ("unknown", GrpcReply::Trailers(Bytes::new(), 2, vec![])),
        (
            "unavailable in trailers",
            GrpcReply::Trailers(data(), 14, vec![("grpc-retry-pushback-ms", "5".into())]),
        ),
        ("internal", GrpcReply::Alone(13, vec![])),
        ("cut off after the message", GrpcReply::Cut(data())),
        ("no trailers after the message", GrpcReply::NoTrailers(data())),
        ("a gateway", GrpcReply::Http(502)),
    ];
    for (what, reply) in broken {
        let partner =
            GrpcPartner::new(move |_, n| if n == 0 { reply.clone() } else { GrpcReply::Ok(data()) });
        let (client, _running) = relay(&partner);
        let status = asked(&client, Some(CallOptions::new("unsafe", 1).budget(Duration::from_secs(1))));
        let status = status.expect_err(what);
        assert_eq!(told(&status, "mulleinslip-may-have-run"), "true", "{what}: {status:?}");
        assert_ne!(told(&status, "mulleinslip-end"), "", "{what}");
        assert_eq!(partner.received().len(), 1, "{what}: sent once");
        // Safe to repeat: it goes again.
        let again = CallOptions::new("safe", 1);
        assert!(asked(&client, Some(again)).is_ok(), "{what}");
    }
}

#[test]
fn a_pushback_is_heeded_and_counted_as_never_run() {
    let partner = GrpcPartner::new(|_, n| match n {
        0 => GrpcReply::Alone(14, vec![("grpc-retry-pushback-ms", "300".into())]),
        _ => GrpcReply::Ok(data()),
    });
    let (client, running) = relay(&partner);
    let start = Instant::now();
    assert!(asked(&client, None).is_ok(), "unsafe, and tried again");
    assert!(start.elapsed() >= Duration::from_millis(300));
    let heard = partner.received();
    assert_eq!(heard[1].headers.get("grpc-previous-rpc-attempts").unwrap(), "1");
    assert!(running.shutdown(Duration::from_secs(5)));
}

#[test]
fn a_refusal_says_when_to_come_back_and_a_bad_call_what_is_wrong() {
    let partner = GrpcPartner::new(|_, _| GrpcReply::Ok(data()));
    let (client, running) = relay(&partner);
    let status = asked(&client, Some(CallOptions::new("safe", 99))).unwrap_err();
    assert_eq!((status.code(), told(&status, "mulleinslip-end").as_str()), (Code::Unavailable, "refused"));
    assert_eq!(told(&status, "grpc-retry-pushback-ms"), "500");
    assert_eq!(told(&status, "mulleinslip-may-have-run"), "false");
    let status = asked(&client, Some(CallOptions::new("none", 1))).unwrap_err();
    assert_eq!(
        (status.code(), told(&status, "mulleinslip-end").as_str()),
        (Code::InvalidArgument, "bad-call")
    );
    assert!(status.message().contains("no such class"));
    // Nobody listens there: it never ran, to the end of its budget.
    let options = CallOptions::new("unsafe", 2).budget(Duration::from_millis(400));
    let status = asked(&client, Some(options)).unwrap_err();
    assert_eq!(told(&status, "mulleinslip-may-have-run"), "false", "{status:?}");
    assert!(running.shutdown(Duration::from_secs(5)));
    let status = asked(&client, None).unwrap_err();
    assert_eq!((status.code(), told(&status, "mulleinslip-end").as_str()), (Code::Unavailable, "stopped"));
}

#[test]
fn a_deadline_with_an_attempt_out_is_told_as_one() {
    let partner = GrpcPartner::new(|_, _| GrpcReply::Silent);
    let (client, running) = relay(&partner);
    let status =
        asked(&client, Some(CallOptions::new("unsafe", 1).budget(Duration::from_millis(300)))).unwrap_err();
    assert_eq!(told(&status, "mulleinslip-may-have-run"), "true");
    assert!([Code::DeadlineExceeded, Code::Unknown].contains(&status.code()), "{status:?}");
    assert!(running.shutdown(Duration::from_secs(5)));
}

#[test]
fn the_layer_passes_by_what_the_relay_does_not_know() {
    let (known, other) =
        (GrpcPartner::new(|_, _| GrpcReply::Ok(data())), GrpcPartner::new(|_, _| GrpcReply::Ok(data())));
    let (client, running) = relay(&known);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let through = RelayLayer::new(client).layer(over::channel(&other.address.to_string()));
        assert!(unary(through.clone(), PLACE, data(), None).await.is_ok());
        assert!(unary(through.clone(), "/stock.Stock/Set", data(), None).await.is_ok());
        let options = CallOptions::new("safe", 1);
        assert!(unary(through, "/stock.Stock/Set", data(), Some(options)).await.is_ok());
    });
    let paths = |p: &GrpcPartner| p.received().into_iter().map(|h| h.path).collect::<Vec<_>>();
    assert_eq!(paths(&known), [PLACE, "/stock.Stock/Set"]);
    assert_eq!(paths(&other), ["/stock.Stock/Set"]);
    assert!(running.shutdown(Duration::from_secs(5)));
}
