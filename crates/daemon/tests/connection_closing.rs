//! The program on loopback at moments at which it closes client connections, some of them in the middle of a
//! request. A client that has written the last byte of a request must get an answer, unless the connection
//! was closed between two requests.
use mulleinslip_testkit::*;
use std::io::Read;
use std::time::{Duration, Instant};
const PROGRAM: Program = mulleinslip_testkit::program!();

const FIRST_HALF: &[u8] =
    b"POST /safe HTTP/1.1\r\nHost: x\r\nX-Call-Id: half\r\nX-Caller: acme\r\nX-Budget: 4000m\r\n";
const REST: &[u8] = b"X-Envelope: dest=1\r\nContent-Length: 1\r\n\r\nb";

fn sleep_until(since: Instant, ms: u64) {
    std::thread::sleep((since + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
}

/// Opens a connection; with `used` it has carried a request before.
fn connect(relay: &Relay, used: bool, n: usize) -> Client {
    let mut client = relay.client();
    if used {
        assert_eq!(client.submit("safe", &format!("used-{n}"), 1, 4000, b"").status(), 202);
    }
    client
}

/// Reads all that a client receives; returns this and whether the connection was closed in order.
fn read_to_close(mut client: Client) -> (String, bool) {
    client.0.get_mut().set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let (mut received, mut bytes) = (Vec::new(), [0; 1024]);
    loop {
        match client.0.read(&mut bytes) {
            Ok(0) => return (String::from_utf8_lossy(&received).into_owned(), true),
            Ok(n) => received.extend_from_slice(&bytes[..n]),
            Err(e) => return (format!("{}{e}", String::from_utf8_lossy(&received)), false),
        }
    }
}

/// Idle connections are closed 450 ms after SIGTERM. Half of a request comes before that, and the rest
/// before, at and after it: a connection that counts as idle by mistake would be closed without an answer.
#[test]
fn half_read_request_is_answered_when_idle_connections_are_closed_at_sigterm() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.submit_accepted_once_listed("safe", "listed", 1);
    agent.hold(2);
    relay.submit_accepted_once_listed("safe", "held", 2);
    let rows =
        [(true, 100u64), (true, 440), (true, 450), (true, 460), (true, 650), (false, 440), (false, 650)];
    let clients: Vec<_> = rows.iter().enumerate().map(|(n, row)| connect(&relay, row.0, n)).collect();
    let idle = connect(&relay, true, 99);
    relay.terminate();
    until("the signal", || relay.logged("SIGTERM").then_some(()));
    let terminated_at = Instant::now();
    std::thread::scope(|scope| {
        for (mut client, (used, rest_ms)) in clients.into_iter().zip(rows) {
            scope.spawn(move || {
                sleep_until(terminated_at, rest_ms.saturating_sub(300));
                client.send(FIRST_HALF);
                sleep_until(terminated_at, rest_ms);
                client.send(REST);
                let status = client.answer().map(|a| a.status());
                assert_eq!(status, Some(503), "used before: {used}, the rest {rest_ms} ms after SIGTERM");
            });
        }
        assert_eq!(read_to_close(idle), (String::new(), true), "the idle connection was not closed in order");
    });
}

/// The process exits by 3.6 s after SIGTERM, whatever is still pending. A client that has sent only a part of
/// a request by then is refused with an answer.
#[test]
fn request_that_is_never_complete_is_refused_before_the_exit() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    for pending in [true, false] {
        let mut relay = Relay::start(PROGRAM, &agent);
        relay.submit_accepted_once_listed("safe", "listed", 1);
        if pending {
            agent.hold(2);
            relay.submit_accepted_once_listed("safe", "held", 2);
        }
        relay.terminate();
        until("the signal", || relay.logged("SIGTERM").then_some(()));
        let terminated_at = Instant::now();
        sleep_until(terminated_at, if pending { 2900 } else { 500 });
        let mut client = relay.client();
        client.send(FIRST_HALF);
        assert_eq!(client.answer().map(|a| a.status()), Some(503), "a message pending: {pending}");
        assert!(relay.wait_exit().success());
    }
}

/// A drain closes idle connections after 2.3 s, and all by 3.6 s. A request that is completed in between is
/// accepted as usual; one that is still incomplete at the end is refused with an answer.
#[test]
fn half_read_request_is_answered_during_a_drain() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let mut config = config(agent.address);
    config["control"] = serde_json::json!("127.0.0.1:0");
    let relay = Relay::with(PROGRAM, config, &agent);
    relay.submit_accepted_once_listed("safe", "listed", 1);
    let (at_idle_close, at_full_close) = (connect(&relay, true, 1), connect(&relay, true, 2));
    assert_eq!(relay.call("drain-on"), "+OK\n");
    let drained_at = Instant::now();
    // Answers during the drain close their connections; connections without a request since are closed as
    // idle later.
    std::thread::scope(|scope| {
        scope.spawn(move || {
            let mut client = at_idle_close;
            sleep_until(drained_at, 1900);
            client.send(FIRST_HALF);
            sleep_until(drained_at, 2450);
            client.send(REST);
            assert_eq!(client.answer().map(|a| a.status()), Some(202));
        });
        scope.spawn(move || {
            drop(at_full_close);
            sleep_until(drained_at, 3200);
            let mut client = relay.client();
            client.send(FIRST_HALF);
            assert_eq!(client.answer().map(|a| a.status()), Some(503));
        });
    });
}

/// With all places for clients taken, an idle connection is closed for a new one, and none with a request
/// begun as long as there is an idle one. Otherwise the connection whose request takes longest is closed,
/// with an answer.
#[test]
fn connection_with_a_request_begun_is_not_evicted_without_an_answer() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let mut config = config(agent.address);
    config["limits"]["sockets"] = serde_json::json!(36 + 20 + 2 * 8);
    let relay = Relay::with(PROGRAM, config, &agent);
    relay.submit_accepted_once_listed("safe", "listed", 1);
    let mut first = relay.client();
    // Half of a second request comes with the first one. After its answer the connection would be idle by the
    // turn of requests and answers, but not by the bytes that have come.
    let request_and_half = [b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", FIRST_HALF].concat();
    first.send(&request_and_half);
    assert_eq!(first.answer().map(|a| a.status()), Some(200));
    let idle: Vec<_> = (0..7).map(|_| relay.client()).collect();
    // One more connection is served, so one of the idle ones has been closed.
    assert_eq!(relay.submit("safe", "more", 1).status(), 202);
    first.send(REST);
    assert_eq!(first.answer().map(|a| a.status()), Some(202));
    drop(idle);
    let mut half_sent: Vec<_> = (0..8).map(|_| relay.client()).collect();
    half_sent.iter_mut().for_each(|c| c.send(FIRST_HALF));
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(relay.submit("safe", "another", 1).status(), 202);
    let mut statuses: Vec<_> = half_sent.iter_mut().filter_map(|c| c.answer()).map(|a| a.status()).collect();
    statuses.sort();
    // One was closed at once for its place, and the others after their time-out.
    assert_eq!(statuses, [408, 408, 408, 408, 408, 408, 408, 503]);
}

/// More bytes have come behind the last request that is answered on a connection, and nobody reads them.
/// Closing the socket then sends a reset, by which the client may lose the answer; the relay must close in
/// order instead.
#[test]
fn last_answer_arrives_although_unread_bytes_follow_its_request() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    let mut client = relay.client();
    let mut bytes = b"POST /none HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".to_vec();
    bytes.resize(48 * 1024, b'x');
    client.send(&bytes);
    std::thread::sleep(Duration::from_millis(100));
    // Linux still delivers what came before a reset, other systems don't; so this checks for the reset
    // itself.
    let reset = client.0.get_ref().take_error().unwrap();
    assert!(reset.is_none(), "{reset:?}");
    let (received, in_order) = read_to_close(client);
    assert!(received.starts_with("HTTP/1.1 404") && in_order, "{received}");
}
