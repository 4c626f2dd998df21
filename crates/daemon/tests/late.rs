//! Answers of hosts that come at the end of a message's time. They caused lost messages in one of ten
//! simulated days on which hosts hang and answer late: a message was accepted, attempted once, and its client
//! got no final answer, although the relay had read a 200. `mulleinslip serve --audit` showed what all twelve
//! losses that were examined have in common:
//!
//!     20.433 {"id":"d68e08f771c0201d","step":"handed","due":1796278319679.1475}
//!     20.946 {"id":"d68e08f771c0201d","step":"begun","attempt":0,"endpoint":"s-8e8a4f56","port":30017,
//!            "carried":17}
//!     29.431 {"at":1796278319679.9287,"id":"d68e08f771c0201d","step":"ended",
//!            "outcome":"Delivered","status":200}
//!
//! The 200 was read 0.69 to 1.33 ms after the message's deadline, before the relay's timer, which is exact to
//! a millisecond, had given the call up. The relay counted it as a delivery in time and sent no notice; for
//! the platform the time was over and the final answer still pending.
//!
//! In these tests the answer comes a little before the deadline, as they can't hit that millisecond;
//! `engine/tests/late.rs` does.
use mulleinslip_testkit::*;
const PROGRAM: Program = mulleinslip_testkit::program!();

const BUDGET_MS: u64 = 700;
/// Delay of the host's answer: it comes within the last 200 ms of the budget. On a busy machine it may come
/// later, and then the call is given up.
const ANSWER_MS: u64 = 620;

/// A delivery shortly before the deadline is confirmed to the client by a notice, and the message is not sent
/// again.
#[test]
fn delivery_shortly_before_the_deadline_is_confirmed_by_notice() {
    for class in ["safe", "unsafe", "ordered/k"] {
        let host = Host::new(|_, _| Reply::Late(ANSWER_MS));
        let agent = Agent::new(&[("a", 1, &host)]);
        let relay = Relay::start(PROGRAM, &agent);
        assert_eq!(relay.client().submit(class, "m", 1, BUDGET_MS, b"order").status(), 202);
        agent.wait_notice("m");
        assert_eq!(host.calls_of("m"), 1, "{class}: the message was sent again");
    }
}

/// The notice of a late delivery that was not confirmed before a kill is sent by the next process.
#[test]
fn notice_of_late_delivery_survives_a_kill() {
    let host = Host::new(|_, _| Reply::Late(ANSWER_MS));
    let agent = Agent::new(&[("a", 1, &host)]);
    agent.reply_to_notices(vec![500; 10_000]);
    let relay = Relay::start(PROGRAM, &agent);
    assert_eq!(relay.client().submit("unsafe", "m", 1, BUDGET_MS, b"order").status(), 202);
    until("a first notice", || (!agent.notices_of("m").is_empty()).then_some(()));
    let notices_before = agent.notices_of("m").len();
    let _next = relay.killed(|_| agent.reply_to_notices(Vec::new()));
    until("a notice of the next process", || (agent.notices_of("m").len() > notices_before).then_some(()));
    assert_eq!(host.calls_of("m"), 1);
}

/// A delivery well before the deadline causes no notice.
#[test]
fn delivery_in_good_time_needs_no_notice() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.take("unsafe", "m", 1);
    host.wait_reuse(&relay, 1);
    assert!(agent.all_notices().is_empty());
}

/// The call is in flight in the old process at a takeover: the new process must send the notice of the late
/// delivery.
#[test]
fn late_delivery_of_call_in_flight_at_a_takeover_is_confirmed_by_notice() {
    let host = Host::new(|_, _| Reply::Late(ANSWER_MS));
    let agent = Agent::new(&[("a", 1, &host)]);
    let mut old = Relay::start(PROGRAM, &agent);
    assert_eq!(old.client().submit("unsafe", "m", 1, BUDGET_MS, b"order").status(), 202);
    host.wait_calls(1);
    let _new = old.beside();
    agent.wait_notice("m");
    assert_eq!(host.calls_of("m"), 1);
}

/// A message with a budget of a few milliseconds is refused at once, or accepted and ended with a notice;
/// none is left without a final answer.
#[test]
fn message_with_little_time_left_gets_its_final_answer() {
    let host = Host::new(|_, n| if n.is_multiple_of(3) { Reply::Late(15) } else { Reply::Status(200) });
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.submit_accepted_once_listed("safe", "first", 1);
    let mut client = relay.client();
    let mut accepted = Vec::new();
    for (n, budget_ms) in (1..=50).enumerate() {
        let class = ["safe", "unsafe", "ordered/k"][n % 3];
        let id = format!("m{budget_ms}");
        match client.submit(class, &id, 1, budget_ms, b"order").status() {
            202 => accepted.push(id),
            status => assert_eq!(status, 503, "{id}"),
        }
    }
    assert!(accepted.len() > 10, "{} messages accepted", accepted.len());
    for id in accepted {
        agent.wait_notice(&id);
        assert!(host.calls_of(&id) <= 1, "{id} was called more than once");
    }
}
