//! A tonic client over the plug-in, with a partner on the loopback interface. Run it with
//! `cargo run -p mulleinslip-tower --example tonic`.
//!
//! Generated clients work in the same way: `OrdersClient::new(client)` instead of
//! `tonic::client::Grpc::new(client)`.
use bytes::Bytes;
use mulleinslip_testkit::grpc::{GrpcPartner, GrpcReply};
use mulleinslip_tower::{Builder, CallOptions, Methods};
use std::time::Duration;

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/grpc.rs"]
mod grpc;

fn main() {
    // The partner rejects the first call with a gRPC pushback and accepts the following ones.
    let partner = GrpcPartner::new(|call, n| match n {
        0 => GrpcReply::Alone(14, vec![("grpc-retry-pushback-ms", "200".into())]),
        _ => GrpcReply::Ok(call.body.slice(5..)),
    });
    let (client, running) = Builder::new(common::settings(8, 100), common::names())
        .hosts(vec![grpc::host("north-1", 1, &partner)])
        .methods(Methods::default().with("/orders.Orders/Place", CallOptions::new("unsafe", 1)))
        .start(grpc::connect)
        .expect("the relay starts");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        for order in ["4 tyres", "2 chains"] {
            let answer = grpc::unary(client.clone(), "/orders.Orders/Place", Bytes::from(order), None).await;
            println!("{order}: {:?}", answer.map(|a| a.into_inner()));
        }
        // No host serves this destination, so the call is refused at once with a retry-after.
        let unknown_destination = Some(CallOptions::new("safe", 99));
        let answer =
            grpc::unary(client.clone(), "/orders.Orders/Place", Bytes::from("1 bell"), unknown_destination)
                .await;
        println!(
            "1 bell: {:?}",
            answer.map(|a| a.into_inner()).map_err(|s| (s.code(), s.metadata().clone()))
        );
    });
    println!("every attempt has ended: {}", running.shutdown(Duration::from_secs(2)));
}
