//! Responses in all forms that HTTP/1.1 allows, from hosts and from the discovery agent: kept and closed
//! connections, the end of the body told by its length, by the end of the connection or by a last chunk.
use mulleinslip_testkit::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};
const PROGRAM: Program = mulleinslip_testkit::program!();

/// Lengths of the bodies.
const BODY_BYTES: [usize; 5] = [0, 300, 16 * 1024, 16 * 1024 + 1, 64 * 1024];
/// Pauses between the pieces of a response, in milliseconds; 0: it comes in one piece.
const PAUSES_MS: [u64; 2] = [0, 20];
const WAIT: Duration = Duration::from_millis(900);
const WAIT_HEADER: &str = "Retry-After: 0.9\r\n";

/// A host that gives one response in some form, and then answers each call with 200.
struct Responder {
    destination: u64,
    form: String,
    host: Host,
}

/// Starts a host for each form of a response with this framing.
fn responders(status: u16, headers: &'static str, framing: Framing) -> Vec<Responder> {
    let mut responders = Vec::new();
    for body_bytes in BODY_BYTES {
        for pause_ms in PAUSES_MS {
            responders.push(Responder {
                destination: responders.len() as u64 + 1,
                form: format!("{status}, {framing:?}, {body_bytes} bytes, {pause_ms} ms between pieces"),
                host: Host::first(vec![Reply::Framed { status, headers, body_bytes, framing, pause_ms }]),
            });
        }
    }
    responders
}

/// Runs a play for each framing, all at once.
fn for_each_framing(play: impl Fn(Framing) + Sync) {
    std::thread::scope(|scope| {
        for framing in Framing::ALL {
            let play = &play;
            scope.spawn(move || play(framing));
        }
    });
}

/// Starts an agent that lists the hosts, and a relay.
fn start(responders: &[Responder]) -> (Agent, Relay) {
    let agent = Agent::new(&[]);
    let hosts = responders.iter().map(|r| (format!("host-{}", r.destination), r.destination, r.host.address));
    agent.list_all(hosts);
    let relay = Relay::start(PROGRAM, &agent);
    for responder in responders {
        relay.submit_accepted_once_listed("unsafe", &first_id(responder), responder.destination);
    }
    (agent, relay)
}

fn first_id(responder: &Responder) -> String {
    format!("first-{}", responder.destination)
}

/// Guards against a wait that is not heeded, and against an unsafe message that never ran and is failed: the end
/// of a response with `Connection: close` was never noticed, and a body of more than 16 KiB not read, so a 429 or
/// 503 counted as cut short.
#[test]
fn refusal_in_any_form_is_a_refusal_and_its_wait_is_heeded() {
    for (status, headers) in [(429, WAIT_HEADER), (503, WAIT_HEADER), (503, "")] {
        for_each_framing(|framing| refuse(responders(status, headers, framing), !headers.is_empty()));
    }
}

/// Plays refusals by these hosts, with a wait or without.
fn refuse(responders: Vec<Responder>, with_wait: bool) {
    let (_agent, relay) = start(&responders);
    for responder in &responders {
        let id = first_id(responder);
        until(&format!("the refusal: {}", responder.form), || responder.host.answered(&id).then_some(()));
    }
    // More messages come while the destinations' waits run.
    for round in 0..3 {
        std::thread::sleep(Duration::from_millis(100));
        for responder in &responders {
            relay.submit("safe", &format!("next-{}-{round}", responder.destination), responder.destination);
        }
    }
    for responder in &responders {
        let id = first_id(responder);
        until(&format!("a second call: {}", responder.form), || responder.host.delivered(&id).then_some(()));
        assert_eq!(responder.host.calls_of(&id), 2, "{}", responder.form);
        let calls = responder.host.received();
        let waited = calls[1].at - calls[0].at;
        assert!(!with_wait || waited > WAIT - Duration::from_millis(10), "{}: {waited:?}", responder.form);
    }
}

/// Guards against a wait that is not heeded as the body behind it comes late: the head has told it.
#[test]
fn wait_is_heeded_although_the_body_of_its_response_comes_late() {
    let slow = |framing| Reply::Framed {
        status: 429,
        headers: WAIT_HEADER,
        body_bytes: 60_000,
        framing,
        pause_ms: 150,
    };
    let hosts: Vec<Host> = Framing::ALL.into_iter().map(|framing| Host::first(vec![slow(framing)])).collect();
    let agent = Agent::new(&[]);
    agent.list_all(hosts.iter().zip(1..).map(|(host, dest)| (format!("host-{dest}"), dest, host.address)));
    let relay = Relay::start(PROGRAM, &agent);
    for dest in 1..=hosts.len() as u64 {
        relay.submit_accepted_once_listed("safe", &format!("m-{dest}"), dest);
    }
    for (host, framing) in hosts.iter().zip(Framing::ALL) {
        let calls = host.wait_calls(2);
        let waited = calls[1].at - calls[0].at;
        assert!(waited > WAIT - Duration::from_millis(10), "{framing:?}: {waited:?}");
    }
}

/// Guards against a delivery that is taken for a failure, and a failed call that is taken for one that never ran.
#[test]
fn delivery_and_error_in_any_form_count_as_what_they_are() {
    for status in [200, 500] {
        for_each_framing(|framing| end(responders(status, "", framing), status));
    }
}

/// Plays calls that these hosts end with this status, 200 or 500.
fn end(responders: Vec<Responder>, status: u16) {
    let (agent, _relay) = start(&responders);
    for responder in &responders {
        let id = first_id(responder);
        until(&format!("the call: {}", responder.form), || responder.host.answered(&id).then_some(()));
        if status == 500 {
            assert_eq!(agent.wait_notice(&id)["status"], "undeliverable", "{}", responder.form);
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    for responder in &responders {
        let id = first_id(responder);
        assert_eq!(responder.host.calls_of(&id), 1, "{}: an unsafe message ran twice", responder.form);
        let notices = agent.notices_of(&id).len();
        assert_eq!(notices, usize::from(status == 500), "{}", responder.form);
    }
}

/// Returns the configuration of one of `relays` relays.
fn config_of(agent: &Agent, relays: usize, discovery: &str) -> Value {
    let mut config = config(agent.address);
    config["settings"]["Balancers"] = json!(relays);
    config["settings"]["Discovery"] = json!(discovery);
    config
}

/// Guards against an agent whose lists are never learnt as it answers with `Connection: close`: messages went to
/// whoever had the address of a host that had left. A change counts as told after 6 s at the latest.
#[test]
fn lists_of_an_agent_that_answers_in_any_form_are_learnt() {
    const TOLD_AFTER: Duration = Duration::from_millis(6000 + 250 + 50 + 50);
    let play = |framing: Framing, relays: usize, discovery: &str| {
        let form = format!("{framing:?}, {relays} relays, {discovery}");
        let (leaving, host) = (Host::ok(), Host::ok());
        let agents = [Agent::new(&[("gone", 1, &leaving)]), Agent::new(&[("gone", 1, &leaving)])];
        agents.iter().for_each(|agent| agent.answer_as(framing));
        let mut config = config_of(&agents[0], relays, discovery);
        let mut relay = Relay::with(PROGRAM, config.clone(), &agents[0]);
        // The same at an agent to which SIGHUP moves the relay, and in a process that takes over.
        config["discovery"] = json!(agents[1].address.to_string());
        std::fs::write(relay.folder.join("config.json"), config.to_string()).unwrap();
        relay.signal("HUP");
        until(&format!("a watch at the second agent: {form}"), || (agents[1].watches() > 0).then_some(()));
        agents[1].list("gone", 1, leaving.address, "leaving");
        agents[1].list("host", 1, host.address, "active");
        std::thread::sleep(TOLD_AFTER);
        relay.take("safe", "first", 1);
        until(&format!("the delivery: {form}"), || host.delivered("first").then_some(()));
        let next = relay.beside();
        agents[1].list("gone-too", 2, leaving.address, "active");
        agents[1].list("host-2", 2, host.address, "active");
        agents[1].list("gone-too", 2, leaving.address, "leaving");
        std::thread::sleep(TOLD_AFTER);
        next.take("safe", "second", 2);
        until(&format!("the delivery: {form}"), || host.delivered("second").then_some(()));
        assert_eq!(leaving.received().len(), 0, "{form}: a call to a host that has left");
    };
    std::thread::scope(|scope| {
        for framing in Framing::ALL {
            for (relays, discovery) in [(1, "push"), (300, "push"), (3, "ask"), (8, "ask")] {
                scope.spawn(move || play(framing, relays, discovery));
            }
        }
    });
}

/// Guards against a notice that is never confirmed and repeated for good, as the platform answers it with
/// `Connection: close`.
#[test]
fn notice_is_sent_once_if_it_is_confirmed_in_any_form() {
    for framing in Framing::ALL {
        let host = Host::new(|_, _| Reply::Fails(300));
        let agent = Agent::new(&[("host", 1, &host)]);
        let relay = Relay::start(PROGRAM, &agent);
        relay.submit_accepted_once_listed("unsafe", "m", 1);
        agent.answer_as(framing);
        agent.wait_notice("m");
        // Longer than the time limit of a call with notices, and the pause after it.
        std::thread::sleep(Duration::from_millis(1500));
        assert_eq!(agent.notices_of("m").len(), 1, "{framing:?}: a confirmed notice was sent again");
    }
}

/// A client that says `Connection: close` gets its answer, then the connection's end, and its message is
/// delivered once; also with the largest body.
#[test]
fn request_of_a_client_that_closes_its_connection_is_taken_on() {
    let host = Host::ok();
    let agent = Agent::new(&[("host", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.submit_accepted_once_listed("safe", "listed", 1);
    for body_bytes in [0, 300, 64 * 1024] {
        let mut client = relay.client();
        let head = format!(
            "POST /unsafe HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Call-Id: m-{body_bytes}\r\nX-Caller: acme\r\n\
             X-Budget: 4000m\r\nContent-Length: {body_bytes}\r\nX-Envelope: dest=1\r\n\r\n"
        );
        let began = Instant::now();
        client.send(&[head.as_bytes(), &vec![b'b'; body_bytes]].concat());
        assert_eq!(client.answer().map(|answer| answer.status()), Some(202));
        assert!(client.answer().is_none(), "the connection stays open");
        assert!(began.elapsed() < Duration::from_secs(3));
        until("the delivery", || host.delivered(&format!("m-{body_bytes}")).then_some(()));
    }
}
