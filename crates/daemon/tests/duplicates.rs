//! Protection against duplicates: a message that may have run is sent again only while its partner is sure to
//! drop it as a repeat.

use mulleinslip_testkit::{config, program, until, Agent, Host, Relay, Reply};
use serde_json::json;
use std::io::{BufReader, ErrorKind, Read};
use std::net::TcpListener;
use std::time::Duration;

/// A keyed message may have run at a host that has left since. Its repeat is due well within the dedup
/// window, but the connection to the next host comes up only after it. Sent then, the message would take
/// effect twice.
#[test]
fn repeat_is_not_sent_when_its_connection_comes_up_after_the_dedup_window() {
    let first = Host::new(|_, _| Reply::Fails(300));
    let next = Host::unresponsive(900, |_, _| Reply::Status(200));
    let agent = Agent::new(&[("first", 1, &first)]);
    let mut config = config(agent.address);
    config["settings"]["Profiles"][1]["DedupWindowMs"] = json!(800.0);
    config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(3000.0);
    let relay = Relay::with(program!(), config, &agent);
    relay.take("keyed", "m", 1);
    first.wait_calls(1);
    agent.list("first", 1, first.address, "leaving");
    agent.list("next", 1, next.address, "active");
    assert_eq!(
        agent.wait_notice("m")["status"],
        "undeliverable",
        "the notice must say that the message may have run"
    );
    // The connection for the repeat comes up within the next second.
    until("a connection to the next host", || {
        (next.conns.load(std::sync::atomic::Ordering::SeqCst) > 0).then_some(())
    });
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!((first.calls_of("m"), next.calls_of("m")), (1, 0));
}

/// The answer of an attempt that is in flight at SIGKILL is lost, so the attempt may have run. The next
/// process sends a keyed message again within its dedup window and not after it, and an unsafe message never.
#[test]
fn attempt_in_flight_at_a_kill_counts_as_may_have_run() {
    let host = Host::new(|_, n| if n < 3 { Reply::Silent } else { Reply::Status(200) });
    let agent = Agent::new(&[("host", 1, &host)]);
    let mut config = config(agent.address);
    config["settings"]["Profiles"][1]["DedupWindowMs"] = json!(1500.0);
    let relay = Relay::with(program!(), config, &agent);
    ["unsafe", "keyed"].iter().for_each(|class| relay.take(class, class, 1));
    host.wait_calls(2);
    // The restart comes at once, so the repeat is within the window.
    let relay = relay.killed(|_| ());
    until("the repeat", || (host.calls_of("keyed") == 2).then_some(()));
    assert_eq!(agent.wait_notice("unsafe")["status"], "undeliverable");
    // The repeat gets no answer either. The next restart comes after the window, which began at the first
    // attempt.
    let _relay = relay.killed(|_| std::thread::sleep(Duration::from_millis(1600)));
    assert_eq!(agent.wait_notice("keyed")["status"], "undeliverable");
    assert_eq!((host.calls_of("unsafe"), host.calls_of("keyed")), (1, 2));
}

/// A host's kernel accepts the bytes of a call, no program reads them, and the connection is reset when the
/// host is back. The call may have run, so an unsafe message is not sent again. The relay resets the
/// connection of a call that it gives up, so that nothing of it arrives later.
#[test]
fn unread_call_may_have_run_and_is_reset_when_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let agent = Agent::new(&[]);
    agent.list("cut", 1, listener.local_addr().unwrap(), "active");
    let relay = Relay::start(program!(), &agent);
    relay.take("unsafe", "m", 1);
    let (stream, _) = listener.accept().unwrap();
    // Reset by the host with the bytes unread.
    std::thread::sleep(Duration::from_millis(300));
    drop(stream);
    assert_eq!(agent.wait_notice("m")["status"], "undeliverable");
    relay.take("keyed", "n", 1);
    let (stream, _) = listener.accept().unwrap();
    let mut stream = BufReader::new(stream);
    let call = mulleinslip_testkit::receive(&mut stream, 0).unwrap();
    assert_eq!(call.id(), "n");
    // The relay gives the call up with a reset, not with an orderly close.
    let end = stream.read(&mut [0; 1]);
    assert_eq!(end.map_err(|e| e.kind()), Err(ErrorKind::ConnectionReset));
}

/// An answer that is cut off or malformed doesn't prove that the call never ran, even if it begins like a
/// refusal: an unsafe message must not be sent again. A complete refusal does prove it.
#[test]
fn incomplete_refusal_does_not_prove_that_a_call_never_ran() {
    let incomplete_answers = [
        "HTTP/1.1 50",
        "HTTP/1.1 503 x\r\nContent-Le",
        "HTTP/1.1 503 x\r\nContent-Length: 5\r\n\r\nab",
        "HTTP/1.1 503 x\r\nContent Length: 0\r\n\r\n",
        "HTTP/1.1 429 x\r\nRetry-After: 0.1\r\nRetry-Af",
        "503 HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    ];
    for (n, bytes) in incomplete_answers.into_iter().enumerate() {
        let host = Host::new(move |_, n| if n == 0 { Reply::Raw(bytes) } else { Reply::Status(200) });
        let agent = Agent::new(&[("host", 1, &host)]);
        let relay = Relay::start(program!(), &agent);
        relay.take("unsafe", "m", 1);
        assert_eq!(agent.wait_notice("m")["status"], "undeliverable", "answer {n}");
        assert_eq!(host.calls_of("m"), 1, "answer {n}");
    }
    let host = Host::first(vec![Reply::Status(503)]);
    let agent = Agent::new(&[("host", 1, &host)]);
    let relay = Relay::start(program!(), &agent);
    relay.take("unsafe", "m", 1);
    until("the delivery", || host.delivered("m").then_some(()));
    assert_eq!(host.calls_of("m"), 2);
}

/// Relays share no state: a message that is submitted to two relays is sent by both, under one idempotency
/// key, by which the partner drops the second. Submitted twice to one relay, also across a kill, it stays one
/// message.
#[test]
fn message_submitted_twice_is_one_at_a_relay_and_has_one_key_for_its_partner() {
    let host = Host::new(|_, n| if n == 0 { Reply::Silent } else { Reply::Late(400) });
    let agent = Agent::new(&[("host", 1, &host)]);
    let first = Relay::start(program!(), &agent);
    let second = Relay::start(program!(), &agent);
    first.take("keyed", "m", 1);
    host.wait_calls(1);
    let first = first.killed(|_| ());
    // The message is pending from before the kill: it counts as accepted already, and is sent within its
    // window.
    first.take("keyed", "m", 1);
    second.take("keyed", "m", 1);
    until("two deliveries", || (host.all_answered().len() == 2).then_some(()));
    std::thread::sleep(Duration::from_millis(300));
    let keys: Vec<String> = host.received().iter().map(|h| h.header("Idempotency-Key").to_string()).collect();
    assert_eq!(
        keys, ["key-m"; 3],
        "expected the call without an answer, its repeat, and the other relay's call"
    );
}
