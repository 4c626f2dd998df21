//! An order key is paused after a time-out, reset or cancel, as the attempt may still be running at the host. The
//! pause outlasts the message and the process.
use mulleinslip_testkit::*;
use serde_json::json;
use std::time::Duration;
const PROGRAM: Program = mulleinslip_testkit::program!();

const BUDGET_MS: u64 = 12_000;
const PAUSE: Duration = Duration::from_millis(3000);
/// Allowed for the clocks of the test.
const MARGIN: Duration = Duration::from_millis(50);

/// How the first message of a key ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstEnd {
    /// Its first call is reset, its second one delivered.
    DeliveredAfterReset,
    /// Its call hangs until its time is up, and the notice is confirmed.
    GivenUp,
    /// The same, and no notice is confirmed before the change.
    GivenUpUnconfirmed,
}

/// How the next process comes to serve.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    Kill,
    Terminate,
    Takeover,
    TakeoverTwice,
    TakeoverAndKill,
}

/// Serves on by another process. The processes before it are returned as well, as they may serve on for a while.
fn change(mut relay: Relay, how: Change) -> Vec<Relay> {
    match how {
        Change::Kill => vec![relay.killed(|_| ())],
        Change::Terminate => {
            relay.terminate();
            relay.wait_exit();
            vec![relay.killed(|_| ())]
        }
        Change::Takeover => vec![relay.beside(), relay],
        Change::TakeoverTwice => {
            let mut second = relay.beside();
            vec![second.beside(), second, relay]
        }
        Change::TakeoverAndKill => {
            let second = relay.beside();
            relay.terminate();
            vec![second.killed(|_| ()), relay]
        }
    }
}

fn play(first_end: FirstEnd, how: Change) {
    let case = format!("{first_end:?}, {how:?}");
    let host = Host::new(move |call, earlier_calls| match (call.id(), first_end) {
        ("first", FirstEnd::DeliveredAfterReset) if earlier_calls == 1 => Reply::Reset,
        ("first", FirstEnd::GivenUp | FirstEnd::GivenUpUnconfirmed) => Reply::Silent,
        _ => Reply::Status(200),
    });
    let agent = Agent::new(&[("host", 1, &host)]);
    let mut config = config(agent.address);
    config["settings"]["Safety"]["OrderPauseMs"] = json!(PAUSE.as_millis() as u64);
    // A process that ends after SIGTERM takes some seconds of the messages' time.
    config["settings"]["Profiles"][3]["DeadlineMs"] = json!(BUDGET_MS);
    let relay = Relay::with(PROGRAM, config, &agent);
    relay.submit_accepted_once_listed("safe", "listed", 1);
    until("a delivery", || host.delivered("listed").then_some(()));
    if first_end == FirstEnd::GivenUpUnconfirmed {
        agent.reply_to_notices(vec![500; 10_000]);
    }
    let budget_ms = if first_end == FirstEnd::DeliveredAfterReset { BUDGET_MS } else { 500 };
    assert_eq!(relay.client().submit("ordered/k", "first", 1, budget_ms, b"").status(), 202);
    assert_eq!(relay.client().submit("ordered/k", "second", 1, BUDGET_MS, b"").status(), 202);
    let paused_at = match first_end {
        FirstEnd::DeliveredAfterReset => {
            until("the delivery", || host.delivered("first").then_some(()));
            host.received()[1].at
        }
        FirstEnd::GivenUp | FirstEnd::GivenUpUnconfirmed => {
            agent.wait_notice("first");
            host.wait_abandoned("first")
        }
    };
    let relays = change(relay, how);
    agent.reply_to_notices(Vec::new());
    assert_eq!(relays[0].client().submit("ordered/k", "third", 1, BUDGET_MS, b"").status(), 202);
    until(&format!("the delivery: {case}"), || host.delivered("third").then_some(()));
    let calls = host.received();
    let second =
        calls.iter().position(|call| call.id() == "second").expect("the second message was not sent");
    let third = calls.iter().position(|call| call.id() == "third").expect("the third message was not sent");
    assert!(second < third, "{case}: out of order");
    let paused = calls[second].at.saturating_duration_since(paused_at);
    assert!(paused + MARGIN >= PAUSE, "{case}: the next message of the key came after {paused:?}");
}

/// Guards against a process that does not know of a pause as the message that caused it is over: the next message
/// of the key was sent at once, and was applied before the first one.
#[test]
fn order_key_stays_paused_in_the_next_process() {
    std::thread::scope(|scope| {
        for first_end in [FirstEnd::DeliveredAfterReset, FirstEnd::GivenUp, FirstEnd::GivenUpUnconfirmed] {
            for how in [
                Change::Kill,
                Change::Terminate,
                Change::Takeover,
                Change::TakeoverTwice,
                Change::TakeoverAndKill,
            ] {
                scope.spawn(move || play(first_end, how));
            }
        }
    });
}
