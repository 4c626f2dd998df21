//! What is remembered does not grow with time: endpoints are replaced, requests end, and nothing of them stays.
mod common;
use common::*;
use linenhall::*;

fn with(name: &str, destination: u64, kind: usize, listed: EndpointStatus) -> Endpoint {
    Endpoint { kind, status: listed, ..endpoint(name, destination) }
}

/// Five hundred generations, told by changes alone, as a watch tells them. Some endpoints go with a call out that ends later,
/// some destinations are routes apart.
#[test]
fn replaced_endpoints_leave_nothing_behind() {
    for kind in [0, 2] {
        let mut rig = Rig::listed(
            settings(),
            (0..4).map(|d| with(&format!("g0-{d}"), d, kind, EndpointStatus::Active)).collect(),
        );
        let mut bound = [0; 4];
        for generation in 1..=500 {
            let mut out = Vec::new();
            for dest in 0..4 {
                let (id, sent) = rig.ask(SAFE, dest);
                assert!(sent, "generation {generation}");
                if (generation + dest) % 3 == 0 {
                    out.push(id);
                } else {
                    rig.end(id, 0, Outcome::Delivered, 10.0);
                }
            }
            rig.now += 100.0;
            let name = |g: u64, dest: u64| format!("g{g}-{dest}");
            for listed in [EndpointStatus::Draining, EndpointStatus::Removed] {
                let changes = (0..4).flat_map(|d| {
                    [
                        with(&name(generation - 1, d), d, kind, listed),
                        with(&name(generation, d), d, kind, EndpointStatus::Active),
                    ]
                });
                rig.give(&[Event::ListUpdate(ListUpdate::Delta(changes.collect()))]);
            }
            for id in out {
                rig.end(id, 0, Outcome::Delivered, 110.0);
            }
            rig.now += 100.0;
            // A watch that ends without news.
            rig.give(&[Event::ListUpdate(ListUpdate::Delta(Vec::new()))]);
            rig.relay.audit().unwrap();
            if generation == 10 {
                bound = rig.relay.sizes();
            }
        }
        assert_eq!(rig.relay.sizes(), bound, "kind {kind}: as much as after ten generations");
        assert_eq!(bound, [0, 0, 4, 4], "kind {kind}: what is listed, and nothing else");
    }
}
