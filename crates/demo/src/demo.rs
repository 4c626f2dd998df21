//! The program beside stand-ins for discovery and two partners, on loopback, and a few
//! messages. It prints how each ended.

use mulleinslip_testkit::{config, until, Agent, Host, Program, Relay, Reply};
use std::time::Instant;

/// Answers, takes time over it, loses an answer.
const NORTH: u64 = 1;
/// Tells the first that come to wait.
const SOUTH: u64 = 2;
/// In the list, with nobody to send to.
const EAST: u64 = 3;

/// What is handed in, and what it shows.
const MESSAGES: [(&str, &str, u64, u64, &str); 6] = [
    ("order-1", "unsafe", NORTH, 4000, "an order, never to be sent twice"),
    ("order-2", "keyed", SOUTH, 4000, "the partner tells a wait of 0.3 s: it is heeded, then delivered"),
    ("order-3", "unsafe", NORTH, 1500, "the answer is lost: it may have run, so it is not sent again"),
    ("stock-1", "safe", NORTH, 4000, "the answer is lost: safe to repeat, so it is sent again"),
    ("stock-2", "safe", EAST, 400, "nobody to send to within its 0.4 s: its sender hears when to come again"),
    ("stock-3", "safe", 99, 4000, "no such partner: refused before it is taken on"),
];

/// Runs it. The error is one line.
pub fn run() -> Result<(), String> {
    let program = std::env::current_exe().map_err(|e| format!("this program's file: {e}"))?;
    let program = program.to_str().ok_or("this program's file has no plain name")?;
    let tmp = std::env::temp_dir();
    let tmp = tmp.to_str().ok_or("the temporary folder has no plain name")?;
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
    println!("the relay listens on {}, with a journal in {}", relay.address, relay.folder.display());
    println!("{:>7}  {:<8} {:<7} answer", "ms", "message", "class");
    let at = || start.elapsed().as_millis();
    until("the list", || (relay.submit("safe", "first", NORTH).status() == 202).then_some(()));
    let mut open = Vec::new();
    for (id, class, dest, budget, shows) in MESSAGES {
        let heard = relay.client().submit(class, id, dest, budget, b"tyres, 4 of them");
        let words = match heard.status() {
            202 => "202, taken on".to_string(),
            status => format!("{status}, come again in {} s", heard.header("retry-after")),
        };
        println!("{:>7}  {id:<8} {class:<7} {words}; {shows}", at());
        if heard.status() == 202 {
            open.push(id);
        }
    }
    // Each that was taken on ends by a partner's 200 or by a notice to the platform.
    while !open.is_empty() {
        let (id, end) = until("the ends", || {
            open.iter().find_map(|id| {
                let tries = || format!("{} attempts", north.calls_of(id) + south.calls_of(id));
                if north.delivered(id) || south.delivered(id) {
                    return Some((*id, format!("delivered after {}", tries())));
                }
                let notice = agent.notices_of(id).into_iter().next()?;
                let again = notice["again_ms"].as_u64();
                let again = again.map(|ms| format!(", come again in {ms} ms")).unwrap_or_default();
                let status = notice["status"].as_str().unwrap_or_default().to_string();
                Some((*id, format!("{status}{again}, after {}", tries())))
            })
        });
        println!("{:>7}  {id:<8}         {end}", at());
        open.retain(|x| *x != id);
    }
    println!("each message got exactly one final answer");
    Ok(())
}
