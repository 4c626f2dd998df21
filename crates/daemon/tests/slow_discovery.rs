//! A discovery that answers each call, and takes long for it: a change counts as told 6 s after it had it.
use mulleinslip_testkit::*;
use serde_json::json;
use std::time::Duration;
const PROGRAM: Program = mulleinslip_testkit::program!();

/// What counts as told, the grace, and 50 ms for each of the two limits.
const TOLD_AFTER: Duration = Duration::from_millis(6000 + 250 + 50 + 50);
/// Longest time of an answer: a call to discovery has 2 s.
const DELAYS_MS: [u64; 3] = [900, 1300, 1900];

/// Where the relay meets the slow discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Met {
    AtTheStart,
    AfterSighup,
    AfterAKill,
}

fn play(met: Met, relays: usize, discovery: &str, delay_ms: u64) {
    let case = format!("{met:?}, {relays} relays, {discovery}, {delay_ms} ms");
    let (leaving, host) = (Host::ok(), Host::ok());
    let listed = [("gone", 1, &leaving)];
    let (quick, slow) = (Agent::new(&listed), Agent::new(&listed));
    slow.delay_lists(Duration::from_millis(delay_ms));
    let first = if met == Met::AtTheStart { &slow } else { &quick };
    let mut config = config(first.address);
    config["settings"]["Balancers"] = json!(relays);
    config["settings"]["Discovery"] = json!(discovery);
    config["known"]["endpoints"] = json!([{"name": "gone", "address": leaving.address.to_string(), "zone": "z", "type": "k",
        "group": 1, "status": "active", "weight": 1.0, "since_ms": 0}]);
    let mut relay = Relay::with(PROGRAM, config.clone(), first);
    if met != Met::AtTheStart {
        until("a watch", || (quick.watches() > 0).then_some(()));
        config["discovery"] = json!(slow.address.to_string());
        std::fs::write(relay.folder.join("config.json"), config.to_string()).unwrap();
    }
    match met {
        Met::AtTheStart => {}
        Met::AfterSighup => relay.signal("HUP"),
        Met::AfterAKill => relay = relay.killed(|_| ()),
    }
    until(&format!("a call: {case}"), || (slow.calls() > 0).then_some(()));
    std::thread::sleep(Duration::from_millis(500));
    slow.list("gone", 1, leaving.address, "leaving");
    slow.list("host", 1, host.address, "active");
    std::thread::sleep(TOLD_AFTER);
    for number in 0..10 {
        relay.take("safe", &format!("m{number}"), 1);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(leaving.received().len(), 0, "{case}: calls to a host that has left");
    until(&format!("deliveries: {case}"), || (0..10).all(|n| host.delivered(&format!("m{n}"))).then_some(()));
}

/// Guards against a relay that never learns a list, as it gives each call up before its answer comes and asks anew:
/// messages went to whoever had the address of a host that had left.
#[test]
fn host_that_leaves_while_discovery_is_slow_gets_no_call_after_six_seconds() {
    std::thread::scope(|scope| {
        for met in [Met::AtTheStart, Met::AfterSighup, Met::AfterAKill] {
            for (relays, discovery) in [(1, "push"), (300, "push"), (3, "ask"), (7, "ask"), (8, "ask")] {
                for delay_ms in DELAYS_MS {
                    scope.spawn(move || play(met, relays, discovery, delay_ms));
                }
            }
        }
    });
}
