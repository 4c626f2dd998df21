//! What may have run is sent again only while its partner is sure to drop it as a repeat.

use mulleinslip_testkit::{config, program, until, Agent, Host, Relay, Reply};
use serde_json::json;
use std::io::{BufReader, ErrorKind, Read};
use std::net::TcpListener;
use std::time::Duration;

/// A keyed message may have run at a host that has left since, and its repeat is due well within the window; but the
/// connection to the next host takes a second. Sent then, it would be booked twice.
#[test]
fn a_repeat_whose_connection_comes_up_after_the_window_is_not_sent() {
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
    assert_eq!(agent.wait_notice("m")["status"], "undeliverable", "it may have run, and is told as that");
    // The connection that was tried comes up in the second after.
    until("connections", || (next.conns.load(std::sync::atomic::Ordering::SeqCst) > 0).then_some(()));
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!((first.calls_of("m"), next.calls_of("m")), (1, 0));
}

/// The answer of an attempt that was out at SIGKILL is lost. The next process sends what is keyed again while its window is
/// open and not after, and never what is unsafe.
#[test]
fn an_attempt_out_at_a_kill_may_have_run_for_the_next_process() {
    let host = Host::new(|_, n| if n < 3 { Reply::Silent } else { Reply::Status(200) });
    let agent = Agent::new(&[("host", 1, &host)]);
    let mut config = config(agent.address);
    config["settings"]["Profiles"][1]["DedupWindowMs"] = json!(1500.0);
    let relay = Relay::with(program!(), config, &agent);
    ["unsafe", "keyed"].iter().for_each(|class| relay.take(class, class, 1));
    host.wait_calls(2);
    // At once: within the window.
    let relay = relay.killed(|_| ());
    until("the repeat", || (host.calls_of("keyed") == 2).then_some(()));
    assert_eq!(agent.wait_notice("unsafe")["status"], "undeliverable");
    // That one is silent as well. Killed once more, for longer than the window from the first attempt.
    let _relay = relay.killed(|_| std::thread::sleep(Duration::from_millis(1600)));
    assert_eq!(agent.wait_notice("keyed")["status"], "undeliverable");
    assert_eq!((host.calls_of("unsafe"), host.calls_of("keyed")), (1, 2));
}

/// A host's kernel takes the bytes, nobody reads them, and the connection is reset when the host is back: the call may have
/// run, and is not made again. What the relay gave up it resets as well, so that nothing of it arrives later.
#[test]
fn a_call_that_nobody_read_may_have_run_and_is_reset_when_it_is_given_up() {
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
    // Given up by the relay: a reset, and not the end of a stream.
    let end = stream.read(&mut [0; 1]);
    assert_eq!(end.map_err(|e| e.kind()), Err(ErrorKind::ConnectionReset));
}

/// Answers that are cut off in the status line, or refusals whose head is spoilt or cut, prove nothing: what is unsafe may
/// have run. A refusal that came whole does prove it.
#[test]
fn an_answer_that_did_not_come_whole_does_not_prove_that_a_call_never_ran() {
    let spoilt = [
        "HTTP/1.1 50",
        "HTTP/1.1 503 x\r\nContent-Le",
        "HTTP/1.1 503 x\r\nContent-Length: 5\r\n\r\nab",
        "HTTP/1.1 503 x\r\nContent Length: 0\r\n\r\n",
        "HTTP/1.1 429 x\r\nRetry-After: 0.1\r\nRetry-Af",
        "503 HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    ];
    for (n, bytes) in spoilt.into_iter().enumerate() {
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
    until("a delivery", || host.delivered("m").then_some(()));
    assert_eq!(host.calls_of("m"), 2);
}

/// Relays share nothing: a message handed to two goes out by both, under one key, by which its partner drops the second.
/// Handed twice to one, also across a kill, it is one message.
#[test]
fn a_message_handed_in_twice_is_one_at_a_relay_and_one_at_its_partner() {
    let host = Host::new(|_, n| if n == 0 { Reply::Silent } else { Reply::Late(400) });
    let agent = Agent::new(&[("host", 1, &host)]);
    let first = Relay::start(program!(), &agent);
    let second = Relay::start(program!(), &agent);
    first.take("keyed", "m", 1);
    host.wait_calls(1);
    let first = first.killed(|_| ());
    // Owed from before: taken on once, and sent within its window.
    first.take("keyed", "m", 1);
    second.take("keyed", "m", 1);
    until("deliveries", || (host.all_answered().len() == 2).then_some(()));
    std::thread::sleep(Duration::from_millis(300));
    let keys: Vec<String> = host.received().iter().map(|h| h.header("Idempotency-Key").to_string()).collect();
    assert_eq!(keys, ["key-m"; 3], "the lost one, its repeat, and the other relay's");
}
