//! The control address: its calls, metrics and drains.
use mulleinslip_testkit::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const PROGRAM: Program = program!();

/// Returns the name of the metric that counts messages of `class` with `outcome`.
fn handled(class: &str, outcome: &str) -> String {
    format!("edge_router_handled_total{{category=\"{class}\",outcome=\"{outcome}\"}}")
}

/// Each message counts once, under the outcome that it ends with, and messages in progress are counted. After
/// a restart the counters start at zero, but messages from the journal are in progress.
#[test]
fn metrics_count_each_final_answer_once_and_start_at_zero() {
    let host = Host::first(vec![Reply::Status(200), Reply::Status(500), Reply::Status(500)]);
    let agent = Agent::new(&[("a", 1, &host)]);
    agent.hold(2);
    let relay = Relay::start(PROGRAM, &agent);
    let initial = relay.call("vars");
    assert!(initial.starts_with("+OK\n") && initial.ends_with("\n.\n"), "{initial}");
    let lines = initial.lines().filter(|l| l.starts_with("edge_router_"));
    assert_eq!(
        lines.clone().count(),
        4 * 3 + 12,
        "expected three outcomes of each of four classes, and twelve more: {initial}"
    );
    let may_be_above_zero = |l: &str| l.contains("_hosts ") || l.contains("_resident_bytes ");
    assert!(lines.clone().all(|l| l.ends_with(" 0") || may_be_above_zero(l)), "{initial}");

    relay.take("safe", "good", 1);
    until("its end", || (relay.figure(&handled("safe", "passed")) == 1).then_some(()));
    // The host answers both with an error: the unsafe message is given up, the keyed one is sent again.
    relay.take("unsafe", "bad", 1);
    agent.wait_notice("bad");
    relay.take("keyed", "again", 1);
    until("its end", || (relay.figure(&handled("keyed", "passed")) == 1).then_some(()));
    // An unknown destination is refused at once.
    assert_eq!(relay.submit("safe", "nowhere", 9).status(), 503);
    // This message is accepted and queued, as its destination has no active host.
    relay.take("ordered", "waits", 2);
    let vars = relay.call("vars");
    for (metric, count) in [
        (handled("safe", "passed"), 1),
        (handled("safe", "dropped"), 1),
        (handled("unsafe", "bad_gateway"), 1),
        (handled("keyed", "passed"), 1),
        (handled("keyed", "bad_gateway"), 0),
        ("edge_router_upstream_tries_total".into(), 4),
        ("edge_router_in_progress".into(), 1),
        ("edge_router_known_hosts".into(), 2),
        ("edge_router_skipped_hosts".into(), 1),
    ] {
        assert!(vars.contains(&format!("{metric} {count}\n")), "{metric} is not {count}: {vars}");
    }
    let relay = relay.killed(|_| {});
    assert_eq!(relay.figure(&handled("safe", "passed")), 0, "counters must start at zero in a new process");
    assert_eq!(
        relay.figure("edge_router_in_progress"),
        1,
        "the queued message must be in progress after the restart"
    );
}

/// An attempt counts once its last byte is written, not when its answer comes.
#[test]
fn attempt_counts_before_its_answer_comes() {
    let host = Host::first(vec![Reply::Silent]);
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.take("unsafe", "m", 1);
    host.wait_calls(1);
    until("the count of the attempt", || {
        (relay.figure("edge_router_upstream_tries_total") == 1).then_some(())
    });
    assert_eq!(relay.figure("edge_router_in_progress"), 1);
}

/// Callers of the control address that send nothing or half a line must not block other callers. They are
/// disconnected without an answer, and so is one whose line is too long.
#[test]
fn silent_control_callers_do_not_block_others() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    let mut silent: Vec<TcpStream> = Vec::new();
    for n in 0..40 {
        let mut stream = TcpStream::connect(relay.control()).unwrap();
        stream.write_all(["", "che", "vars"][n % 3].as_bytes()).unwrap();
        silent.push(stream);
        let start = Instant::now();
        assert_eq!(relay.call("check"), "+OK\n");
        assert!(
            start.elapsed() < Duration::from_secs(1),
            "the call took a second or more, as if it waited for the silent callers' time-out"
        );
    }
    // Each silent caller is disconnected in the end, without an answer.
    for mut stream in silent {
        stream.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
        let mut received = Vec::new();
        let _reset_or_end = stream.read_to_end(&mut received);
        assert!(received.is_empty());
    }
    let long_line = "x".repeat(4096);
    let mut stream = TcpStream::connect(relay.control()).unwrap();
    let _cut_off = stream.write_all(long_line.as_bytes());
    let mut received = Vec::new();
    let _reset_or_end = stream.read_to_end(&mut received);
    assert!(received.is_empty(), "a line without an end was answered");
    assert!(relay.call("shut-down").starts_with("-ERR "));
}

/// Returns the status of the health path, or 0 without an answer.
fn health_status(relay: &Relay) -> u16 {
    let mut client = relay.client();
    client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    client.answer().map_or(0, |a| a.status())
}

/// During a drain the health path sends clients elsewhere and messages are still accepted. Answers close
/// their connections soon enough for clients to move within 2 s, all others are closed by 4 s, and the end of
/// the drain undoes it.
#[test]
fn drained_relay_accepts_messages_and_has_no_client_connection_after_four_seconds() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    let mut used = relay.client();
    assert_eq!(used.submit("safe", "before", 1, 4000, b"").status(), 202);
    let (mut idle, mut half) = (relay.client(), relay.client());
    half.send(b"POST /safe HTTP/1.1\r\nX-Call-Id: half");
    assert_eq!(health_status(&relay), 200);

    let start = Instant::now();
    assert_eq!(relay.call("drain-on"), "+OK\n");
    assert_eq!(health_status(&relay), 503);
    assert_eq!(relay.call("drain-on"), "+OK\n", "a repeated drain-on must have the same answer");
    // The client goes on using its connection: each message is accepted, until an answer closes the
    // connection.
    let last_message = (0..).find(|n| {
        let answer = used.submit("safe", &format!("m{n}"), 1, 4000, b"");
        assert_eq!(answer.status(), 202);
        std::thread::sleep(Duration::from_millis(20));
        answer.header("connection") == "close"
    });
    assert!(
        last_message > Some(0),
        "the first answer in the drain closed the connection; it should be kept at first"
    );
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "the connection was closed by an answer only after 2 s"
    );
    assert!(used.answer().is_none(), "the connection was not closed");
    assert!(idle.answer().is_none());
    // The rest of a half-sent request may be on its way, so this connection gets an answer and is then
    // closed.
    assert_eq!(half.answer().map(|a| a.status()), Some(408));
    assert!(half.answer().is_none());
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "the last connection was closed only after {:?}",
        start.elapsed()
    );
    assert_eq!(health_status(&relay), 503);
    assert_eq!(relay.call("check"), "+OK\n", "a drained relay must still answer the check");

    assert_eq!(relay.call("drain-off"), "+OK\n");
    assert_eq!(health_status(&relay), 200);
    let mut new_client = relay.client();
    for n in 0..3 {
        let answer = new_client.submit("safe", &format!("after{n}"), 1, 4000, b"");
        assert_eq!((answer.status(), answer.header("connection")), (202, ""));
    }
    let delivered = last_message.unwrap_or(0) + 1 + 4;
    until("all deliveries", || (relay.figure(&handled("safe", "passed")) == delivered).then_some(()));
}

/// A drain that is ended at once must not close connections later, at the times at which it would have.
#[test]
fn drain_that_ends_early_closes_no_connection() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    let mut client = relay.client();
    assert_eq!(relay.call("drain-on"), "+OK\n");
    assert_eq!(relay.call("drain-off"), "+OK\n");
    let start = Instant::now();
    // Goes on past the time at which answers would have closed connections, and past the end of the drain.
    for n in 0.. {
        let answer = client.submit("safe", &format!("m{n}"), 1, 4000, b"");
        assert_eq!((answer.status(), answer.header("connection")), (202, ""));
        if start.elapsed() > Duration::from_millis(3800) {
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Guards against an incident in which nothing tells what clients' connections hold and why they were closed.
#[test]
fn metrics_tell_what_clients_connections_hold_and_why_they_were_closed() {
    let agent = Agent::new(&[]);
    let relay = Relay::start(PROGRAM, &agent);
    assert!(relay.logged("at most 100 clients' connections, 100 to hosts, "));
    let mut client = relay.client();
    client.send(b"POST /safe HTTP/1.1\r\nContent-Length: 3000\r\n\r\n");
    client.send(&[b'b'; 1000]);
    until("the input to be counted", || {
        (relay.figure("edge_router_client_input_bytes") >= 1000).then_some(())
    });
    assert_eq!(relay.figure("edge_router_client_connections"), 1);
    assert_eq!(client.answer().map(|answer| answer.status()), Some(408));
    assert_eq!(relay.figure("edge_router_client_closed_total{reason=\"timed_out\"}"), 1);
    assert_eq!(relay.figure("edge_router_client_input_bytes"), 0);
    assert!(relay.figure("edge_router_resident_bytes") > 1_000_000);
}
