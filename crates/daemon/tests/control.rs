//! The second address: calls, figures, and clients sent away.
use mulleinslip_testkit::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const PROGRAM: Program = program!();

fn handled(class: &str, outcome: &str) -> String {
    format!("edge_router_handled_total{{category=\"{class}\",outcome=\"{outcome}\"}}")
}

#[test]
fn figures_count_each_end_once_and_start_at_zero() {
    let host = Host::first(vec![Reply::Status(200), Reply::Status(500), Reply::Status(500)]);
    let agent = Agent::new(&[("a", 1, &host)]);
    agent.hold(2);
    let relay = Relay::start(PROGRAM, &agent);
    let zero = relay.call("vars");
    assert!(zero.starts_with("+OK\n") && zero.ends_with("\n.\n"), "{zero}");
    let lines = zero.lines().filter(|l| l.starts_with("edge_router_"));
    assert_eq!(lines.clone().count(), 4 * 3 + 4, "four classes with three outcomes, and four more: {zero}");
    assert!(lines.clone().all(|l| l.ends_with(" 0") || l.contains("_hosts ")), "{zero}");

    relay.take("safe", "good", 1);
    until("its end", || (relay.figure(&handled("safe", "passed")) == 1).then_some(()));
    // Failed at its host, and not to be repeated; an error, and repeated.
    relay.take("unsafe", "bad", 1);
    agent.wait_notice("bad");
    relay.take("keyed", "again", 1);
    until("its end", || (relay.figure(&handled("keyed", "passed")) == 1).then_some(()));
    // No such destination, refused at once.
    assert_eq!(relay.submit("safe", "nowhere", 9).status(), 503);
    // Taken on and waiting, as the only host drains.
    relay.take("ordered", "waits", 2);
    let vars = relay.call("vars");
    for (figure, count) in [
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
        assert!(vars.contains(&format!("{figure} {count}\n")), "{figure} is not {count}: {vars}");
    }
    let relay = relay.killed(|_| {});
    assert_eq!(relay.figure(&handled("safe", "passed")), 0, "counts start with the process");
    assert_eq!(relay.figure("edge_router_in_progress"), 1, "what it still owes is in progress");
}

/// A try counts once its last byte is written, not when its answer comes.
#[test]
fn a_try_without_an_answer_counts_already() {
    let host = Host::first(vec![Reply::Silent]);
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.take("unsafe", "m", 1);
    host.wait_calls(1);
    until("the count", || (relay.figure("edge_router_upstream_tries_total") == 1).then_some(()));
    assert_eq!(relay.figure("edge_router_in_progress"), 1);
}

#[test]
fn callers_that_say_nothing_hold_up_no_other() {
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
        assert!(start.elapsed() < Duration::from_secs(1), "callers wait a second");
    }
    // Each is left in the end, without a word.
    for mut stream in silent {
        stream.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
        let mut said = Vec::new();
        let _reset_or_end = stream.read_to_end(&mut said);
        assert!(said.is_empty());
    }
    let long = "x".repeat(4096);
    let mut stream = TcpStream::connect(relay.control()).unwrap();
    let _cut_off = stream.write_all(long.as_bytes());
    let mut said = Vec::new();
    let _reset_or_end = stream.read_to_end(&mut said);
    assert!(said.is_empty(), "a line without an end is not answered");
    assert!(relay.call("shut-down").starts_with("-ERR "));
}

fn health(relay: &Relay) -> u16 {
    let mut client = relay.client();
    client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    client.answer().map_or(0, |a| a.status())
}

#[test]
fn a_drained_relay_takes_what_comes_and_has_no_client_left_after_four_seconds() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    let mut used = relay.client();
    assert_eq!(used.submit("safe", "before", 1, 4000, b"").status(), 202);
    let (mut idle, mut half) = (relay.client(), relay.client());
    half.send(b"POST /safe HTTP/1.1\r\nX-Call-Id: half");
    assert_eq!(health(&relay), 200);

    let start = Instant::now();
    assert_eq!(relay.call("drain-on"), "+OK\n");
    assert_eq!(health(&relay), 503);
    assert_eq!(relay.call("drain-on"), "+OK\n", "said twice it is the same");
    // Clients go on using what they have: each message is taken on, and one of the answers is the last.
    let last = (0..).find(|n| {
        let answer = used.submit("safe", &format!("m{n}"), 1, 4000, b"");
        assert_eq!(answer.status(), 202);
        std::thread::sleep(Duration::from_millis(20));
        answer.header("connection") == "close"
    });
    assert!(last > Some(0), "while the front may send clients, connections are kept");
    assert!(start.elapsed() < Duration::from_secs(2), "a message of the last 2 s may be on no connection");
    assert!(used.answer().is_none(), "closed");
    assert!(idle.answer().is_none());
    // Its last byte may be on the way: it is answered, and then closed.
    assert_eq!(half.answer().map(|a| a.status()), Some(408));
    assert!(half.answer().is_none());
    assert!(start.elapsed() < Duration::from_secs(4), "nobody is left: {:?}", start.elapsed());
    assert_eq!(health(&relay), 503);
    assert_eq!(relay.call("check"), "+OK\n", "it can serve all the same");

    assert_eq!(relay.call("drain-off"), "+OK\n");
    assert_eq!(health(&relay), 200);
    let mut back = relay.client();
    for n in 0..3 {
        let answer = back.submit("safe", &format!("after{n}"), 1, 4000, b"");
        assert_eq!((answer.status(), answer.header("connection")), (202, ""));
    }
    let ended = last.unwrap_or(0) + 1 + 4;
    until("all delivered", || (relay.figure(&handled("safe", "passed")) == ended).then_some(()));
}

#[test]
fn a_drain_that_ends_early_closes_nothing_later() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    let mut client = relay.client();
    assert_eq!(relay.call("drain-on"), "+OK\n");
    assert_eq!(relay.call("drain-off"), "+OK\n");
    let start = Instant::now();
    // Past the time at which the drain would have had answers close connections, and past its end.
    for n in 0.. {
        let answer = client.submit("safe", &format!("m{n}"), 1, 4000, b"");
        assert_eq!((answer.status(), answer.header("connection")), (202, ""));
        if start.elapsed() > Duration::from_millis(3800) {
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}
