//! An id that comes again: while its message is open, and after its end, at the same process and at the next one.
use mulleinslip_testkit::*;
use serde_json::json;
use std::time::Duration;
const PROGRAM: Program = mulleinslip_testkit::program!();

const WINDOW_MS: u64 = 600;

/// What the first handing-in of the id has come to when it comes again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum First {
    Delivered,
    /// Its call was reset, so that it may have run, and it was given up.
    GivenUp,
    /// Its call is out.
    Open,
}

/// Where the id comes again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    SameProcess,
    Takeover,
    TakeoverTwice,
    Kill,
    Terminate,
}

/// Returns the processes of which the first one serves now.
fn go_on(mut relay: Relay, place: Place) -> Vec<Relay> {
    match place {
        Place::SameProcess => vec![relay],
        Place::Takeover => vec![relay.beside(), relay],
        Place::TakeoverTwice => {
            let mut second = relay.beside();
            vec![second.beside(), second, relay]
        }
        Place::Kill => vec![relay.killed(|_| ())],
        Place::Terminate => {
            relay.terminate();
            relay.wait_exit();
            vec![relay.killed(|_| ())]
        }
    }
}

/// Hands in a message and closes the connection, with its answer read or not.
fn hand_in_and_leave(relay: &Relay, class: &str, read_answer: bool) {
    let mut client = relay.client();
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Call-Id: m\r\nX-Caller: acme\r\nX-Budget: 4000m\r\n\
         Idempotency-Key: k\r\nX-Envelope: dest=1\r\nContent-Length: 0\r\n\r\n"
    );
    client.send(head.as_bytes());
    if read_answer {
        assert_eq!(client.answer().map(|answer| answer.status()), Some(202));
    }
}

fn play(class: &str, first: First, place: Place, pause_ms: u64, read_answer: bool) {
    let case = format!("{class}, {first:?}, {place:?}, after {pause_ms} ms, answer read: {read_answer}");
    let host = Host::new(move |call, _| match (call.id(), first) {
        ("m", First::GivenUp) => Reply::Reset,
        ("m", First::Open) => Reply::Late(1500),
        _ => Reply::Status(200),
    });
    let agent = Agent::new(&[("host", 1, &host)]);
    let mut config = config(agent.address);
    config["settings"]["Profiles"][1]["DedupWindowMs"] = json!(WINDOW_MS);
    config["settings"]["Limits"]["MaxAttempts"] = json!(1);
    let relay = Relay::with(PROGRAM, config, &agent);
    relay.submit_accepted_once_listed("safe", "listed", 1);
    hand_in_and_leave(&relay, class, read_answer);
    until("the call", || (host.calls_of("m") > 0).then_some(()));
    match first {
        First::Delivered => until("the delivery", || host.delivered("m").then_some(())),
        First::GivenUp => drop(agent.wait_notice("m")),
        First::Open => {}
    }
    std::thread::sleep(Duration::from_millis(pause_ms));
    let relays = go_on(relay, place);
    let statuses = [0, 1].map(|_| {
        std::thread::sleep(Duration::from_millis(20));
        relays[0].client().submit(class, "m", 1, 4000, b"").status()
    });
    // A delivered message is answered as such, one that was given up as failed or, until that is confirmed, as open.
    for status in statuses {
        assert!(status == 202 || (first != First::Delivered && status == 500), "{case}: answered {status}");
    }
    std::thread::sleep(Duration::from_millis(700));
    if first == First::Open {
        std::thread::sleep(Duration::from_millis(1500));
    }
    assert_eq!(host.calls_of("m"), 1, "{case}: called again");
}

fn play_all(class: &'static str, pauses_ms: &[u64]) {
    let places = [Place::SameProcess, Place::Takeover, Place::TakeoverTwice, Place::Kill, Place::Terminate];
    for place in places {
        std::thread::scope(|scope| {
            for first in [First::Delivered, First::GivenUp, First::Open] {
                for pause_ms in pauses_ms.iter().copied() {
                    for read_answer in [true, false] {
                        scope.spawn(move || play(class, first, place, pause_ms, read_answer));
                    }
                }
            }
        });
    }
}

/// Guards against an unsafe message that runs twice, as its id comes again after it was delivered or given up and its
/// client had left.
#[test]
fn unsafe_message_whose_id_comes_again_runs_once() {
    play_all("unsafe", &[20, 300]);
}

/// The same for a keyed message after the time in which hosts drop its repeat.
#[test]
fn keyed_message_whose_id_comes_again_after_its_window_runs_once() {
    play_all("keyed", &[WINDOW_MS + 200]);
}

/// Guards against a client that is told of a failure although its message, which may be repeated, was delivered.
#[test]
fn delivered_message_that_may_be_repeated_is_taken_on_if_its_id_comes_again() {
    let host = Host::ok();
    let agent = Agent::new(&[("host", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.submit_accepted_once_listed("safe", "m", 1);
    until("the delivery", || host.delivered("m").then_some(()));
    relay.take("safe", "m", 1);
}
