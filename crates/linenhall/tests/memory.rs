//! Checks that the memory of a relay does not grow while endpoints are replaced and requests end.
mod common;
use common::*;
use linenhall::*;

fn endpoint_with(name: &str, destination: u64, kind: usize, status: EndpointStatus) -> Endpoint {
    Endpoint { kind, status, ..endpoint(name, destination) }
}

/// Guards against state of removed endpoints that is never freed. Every endpoint is replaced 500 times by
/// delta updates, as a watch sends them; some are removed while a call to them is in flight, and the
/// endpoints of kind 2 have limits of their own.
#[test]
fn removed_endpoints_leave_no_state() {
    for kind in [0, 2] {
        let mut harness = Harness::with_list(
            settings(),
            (0..4).map(|d| endpoint_with(&format!("g0-{d}"), d, kind, EndpointStatus::Active)).collect(),
        );
        let mut sizes_after_ten = [0; 4];
        for generation in 1..=500 {
            let mut in_flight = Vec::new();
            for destination in 0..4 {
                let (id, sent) = harness.submit(SAFE, destination);
                assert!(sent, "generation {generation}: a request was not sent at once");
                if (generation + destination) % 3 == 0 {
                    in_flight.push(id);
                } else {
                    harness.end_attempt(id, 0, Outcome::Delivered, 10.0);
                }
            }
            harness.now += 100.0;
            let name = |g: u64, destination: u64| format!("g{g}-{destination}");
            for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
                let changes = (0..4).flat_map(|d| {
                    [
                        endpoint_with(&name(generation - 1, d), d, kind, status),
                        endpoint_with(&name(generation, d), d, kind, EndpointStatus::Active),
                    ]
                });
                harness.handle(&[Event::ListUpdate(ListUpdate::Delta(changes.collect()))]);
            }
            for id in in_flight {
                harness.end_attempt(id, 0, Outcome::Delivered, 110.0);
            }
            harness.now += 100.0;
            // A watch that ends without changes.
            harness.handle(&[Event::ListUpdate(ListUpdate::Delta(Vec::new()))]);
            harness.relay.audit().unwrap();
            if generation == 10 {
                sizes_after_ten = harness.relay.sizes();
            }
        }
        assert_eq!(
            harness.relay.sizes(),
            sizes_after_ten,
            "kind {kind}: state has grown since generation 10"
        );
        assert_eq!(
            sizes_after_ten,
            [0, 0, 4, 4],
            "kind {kind}: there is state besides that of the listed endpoints"
        );
    }
}
