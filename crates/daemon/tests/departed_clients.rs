//! Clients that reset their connections while the relay has not read their requests yet. Nobody waits for an answer
//! any more, and a client may hand its message in again, so such a request must not be sent on.
use mulleinslip_testkit::*;
use socket2::SockRef;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;
const PROGRAM: Program = mulleinslip_testkit::program!();

const CLIENTS: usize = 20;
/// For this long the relay is held up.
const HELD_UP: Duration = Duration::from_millis(150);

fn message(id: &str, body_bytes: usize) -> Vec<u8> {
    let head = format!(
        "POST /unsafe HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id}\r\nX-Caller: acme\r\nX-Budget: 4000m\r\n\
         X-Envelope: dest=1\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    [head.into_bytes(), vec![b'b'; body_bytes]].concat()
}

/// Holds the relay up, lets `clients` do something meanwhile, and waits until the relay has had time for all of it.
fn while_held_up(relay: &Relay, clients: impl FnOnce()) {
    relay.signal("STOP");
    clients();
    std::thread::sleep(HELD_UP);
    relay.signal("CONT");
    std::thread::sleep(Duration::from_millis(500));
}

/// When the clients connect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Connected {
    /// While the relay is held up.
    Meanwhile,
    /// Before.
    Before,
    /// Before, and each has had an answer.
    AndAnswered,
}

/// Guards against requests that are sent on after their clients have reset the connections: on new connections and on
/// kept ones, one and several on a connection, small and large.
#[test]
fn request_of_a_client_that_has_reset_its_connection_is_not_sent_on() {
    for connected in [Connected::Meanwhile, Connected::Before, Connected::AndAnswered] {
        for (requests, body_bytes) in [(1, 20), (1, 30_000), (8, 20), (60, 0)] {
            let host = Host::ok();
            let agent = Agent::new(&[("host", 1, &host)]);
            let relay = Relay::start(PROGRAM, &agent);
            relay.submit_accepted_once_listed("safe", "listed", 1);
            let connect = |n: usize| {
                let mut client = relay.client();
                if connected == Connected::AndAnswered {
                    assert_eq!(client.submit("safe", &format!("kept-{n}"), 1, 4000, b"").status(), 202);
                }
                client.0.into_inner()
            };
            let before = if connected == Connected::Meanwhile { 0 } else { CLIENTS };
            let mut streams: Vec<TcpStream> = (0..before).map(connect).collect();
            // Until the relay has accepted the connections.
            std::thread::sleep(Duration::from_millis(50));
            while_held_up(&relay, || {
                streams.extend((before..CLIENTS).map(connect));
                for (n, mut stream) in streams.into_iter().enumerate() {
                    for request in 0..requests {
                        stream.write_all(&message(&format!("gone-{n}-{request}"), body_bytes)).unwrap();
                    }
                    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                }
            });
            let sent_on = host.received().iter().filter(|call| call.id().starts_with("gone")).count();
            assert_eq!(
                sent_on, 0,
                "{connected:?}, {requests} requests of {body_bytes} bytes on each connection"
            );
        }
    }
}

/// Guards against many requests that are sent on after their client has closed its connection. It may have ended its
/// sending only, so the first one is answered; the reset that follows shows that it is gone.
#[test]
fn requests_of_a_client_that_has_closed_its_connection_are_not_all_sent_on() {
    for requests in [8, 60] {
        let host = Host::ok();
        let agent = Agent::new(&[("host", 1, &host)]);
        let relay = Relay::start(PROGRAM, &agent);
        relay.submit_accepted_once_listed("safe", "listed", 1);
        let streams: Vec<TcpStream> = (0..CLIENTS).map(|_| relay.client().0.into_inner()).collect();
        std::thread::sleep(Duration::from_millis(50));
        while_held_up(&relay, || {
            for (n, mut stream) in streams.into_iter().enumerate() {
                (0..requests).for_each(|r| stream.write_all(&message(&format!("gone-{n}-{r}"), 0)).unwrap());
            }
        });
        let calls = host.received();
        for n in 0..CLIENTS {
            let sent_on = calls.iter().filter(|call| call.id().starts_with(&format!("gone-{n}-"))).count();
            assert!(sent_on <= 2, "{sent_on} of {requests} requests on one connection");
        }
    }
}

/// Guards against a client that has ended its sending, and gets no answer to a request that it wrote in full: it gets
/// its answer, and its message is delivered.
#[test]
fn request_of_a_client_that_has_ended_its_sending_is_answered_and_sent_on() {
    let host = Host::ok();
    let agent = Agent::new(&[("host", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.submit_accepted_once_listed("safe", "listed", 1);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| relay.client()).collect();
    while_held_up(&relay, || {
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&message(&format!("half-{n}"), 20));
            client.0.get_ref().shutdown(Shutdown::Write).unwrap();
        }
    });
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.answer().map(|answer| answer.status()), Some(202));
        until("the delivery", || host.delivered(&format!("half-{n}")).then_some(()));
    }
}

/// The same as the first test while another process takes over, in which submissions wait.
#[test]
fn request_of_a_client_that_resets_its_connection_during_a_takeover_is_not_sent_on() {
    let host = Host::ok();
    let agent = Agent::new(&[("host", 1, &host)]);
    let mut relay = Relay::start(PROGRAM, &agent);
    relay.submit_accepted_once_listed("safe", "listed", 1);
    let streams: Vec<TcpStream> = (0..CLIENTS).map(|_| relay.client().0.into_inner()).collect();
    std::thread::sleep(Duration::from_millis(50));
    relay.signal("STOP");
    for (n, mut stream) in streams.into_iter().enumerate() {
        stream.write_all(&message(&format!("gone-{n}"), 20)).unwrap();
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
    let continues = format!("sleep 0.15; kill -CONT {}", relay.child.id());
    let mut signal = std::process::Command::new("sh").args(["-c", &continues]).spawn().unwrap();
    let _next = relay.beside();
    signal.wait().unwrap();
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(host.received().iter().filter(|call| call.id().starts_with("gone")).count(), 0);
}
