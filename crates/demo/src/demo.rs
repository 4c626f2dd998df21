//! Runs the relay on loopback beside stand-ins for discovery and two partners, submits a few messages, and
//! prints the final answer of each.

use mulleinslip_testkit::{config, until, Agent, Host, Program, Relay, Reply};
use std::time::Instant;

/// Destination that answers after 20 ms, and closes the connection on some calls without an answer.
const NORTH: u64 = 1;
/// Destination that answers its first call with 503 and `Retry-After`, and each later one with 200.
const SOUTH: u64 = 2;
/// Destination that is listed, but has no host to send to.
const EAST: u64 = 3;

/// The messages: id, class, destination, budget in milliseconds, and what the message shows.
const MESSAGES: [(&str, &str, u64, u64, &str); 6] = [
    ("order-1", "unsafe", NORTH, 4000, "an order, which must never be sent twice"),
    ("order-2", "keyed", SOUTH, 4000, "the partner sends Retry-After 0.3 s: delivered after that wait"),
    ("order-3", "unsafe", NORTH, 1500, "the answer is lost: the order may have run, so it is not sent again"),
    ("stock-1", "safe", NORTH, 4000, "the answer is lost: safe to repeat, so the relay retries"),
    ("stock-2", "safe", EAST, 400, "no host to send to within its 0.4 s: the platform learns when to retry"),
    ("stock-3", "safe", 99, 4000, "no such destination: rejected when submitted"),
];

/// Runs the demo. The error is one line for the user.
pub fn run() -> Result<(), String> {
    let program =
        std::env::current_exe().map_err(|e| format!("cannot find the path of this program: {e}"))?;
    let program = program.to_str().ok_or("the path of this program is not valid UTF-8")?;
    let tmp = std::env::temp_dir();
    let tmp = tmp.to_str().ok_or("the path of the temporary folder is not valid UTF-8")?;
    let start = Instant::now();
    let north = Host::new(move |call, _| match call.id() {
        "order-3" => Reply::Reset,
        "stock-1" if call.at.duration_since(start).as_millis() < 1200 => Reply::Reset,
        _ => Reply::Late(20),
    });
    let south = Host::first(vec![Reply::With(503, "Retry-After: 0.3\r\n")]);
    let agent = Agent::new(&[("north", NORTH, &north), ("south", SOUTH, &south)]);
    agent.hold(EAST);
    let relay = Relay::with(Program::at(program, tmp), config(agent.address), &agent);
    println!("the relay listens on {}, with its journal under {}", relay.address, relay.folder.display());
    println!("{:>7}  {:<8} {:<7} answer", "ms", "message", "class");
    let elapsed_ms = || start.elapsed().as_millis();
    until("the relay to receive the list", || {
        (relay.submit("safe", "first", NORTH).status() == 202).then_some(())
    });
    let mut pending = Vec::new();
    for (id, class, dest, budget, shows) in MESSAGES {
        let answer = relay.client().submit(class, id, dest, budget, b"tyres, 4 of them");
        let result = match answer.status() {
            202 => "202, accepted".to_string(),
            status => format!("{status}, retry after {} s", answer.header("retry-after")),
        };
        println!("{:>7}  {id:<8} {class:<7} {result}; {shows}", elapsed_ms());
        if answer.status() == 202 {
            pending.push(id);
        }
    }
    // Each accepted message ends with a partner's 200 or with a notice to the platform.
    while !pending.is_empty() {
        let (id, ending) = until("a final answer", || {
            pending.iter().find_map(|id| {
                let attempts = || format!("{} attempts", north.calls_of(id) + south.calls_of(id));
                if north.delivered(id) || south.delivered(id) {
                    return Some((*id, format!("delivered after {}", attempts())));
                }
                let notice = agent.notices_of(id).into_iter().next()?;
                let retry_after = notice["again_ms"].as_u64();
                let retry_after = retry_after.map(|ms| format!(", retry after {ms} ms")).unwrap_or_default();
                let status = notice["status"].as_str().unwrap_or_default().to_string();
                Some((*id, format!("{status}{retry_after}, after {}", attempts())))
            })
        });
        println!("{:>7}  {id:<8}         {ending}", elapsed_ms());
        pending.retain(|other| *other != id);
    }
    println!("each message got exactly one final answer");
    Ok(())
}
