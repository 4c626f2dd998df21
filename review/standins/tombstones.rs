//! More than half of a fleet's hosts are replaced, some at the address of one that has gone. Then discovery is
//! down for 8 s, and the relay is killed meanwhile and starts again.
#[path = "common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Instant;

const HOSTS: usize = 300;
/// 57 in a hundred of them.
const REPLACED: usize = 171;
/// The last one begins to drain this long after the first one, and each is replaced 1.5 s later.
const SPAN_MS: u64 = 24_000;
const DESTINATIONS: u64 = 160;

fn destination(host: usize) -> u64 {
    host as u64 % DESTINATIONS + 1
}

fn main() {
    let record = Record::create(std::path::Path::new(&std::env::args().nth(1).expect("the record's path")));
    limit_time(ms(110_000));
    let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
    let listen = || {
        let (calls, record) = (calls.clone(), record.clone());
        host(move |call, stream| {
            record.line(&format!("host at {}: {} received", call.address, call.id));
            calls.lock().unwrap().push(call.clone());
            sleep(ms(150));
            stream.write_all(OK).is_ok()
        })
    };
    let mut entries: Vec<Entry> =
        (0..HOSTS).map(|n| Entry::new(&format!("s-{n:03}"), listen(), destination(n))).collect();
    entries.iter_mut().for_each(|e| e.changed = 41);
    let agent = Agent::start(&record, 41, entries.clone());
    let place = Arc::new(Place::create(&record, agent.address, &entries_json(41, &entries), "push", 2));
    let relay = place.start();
    place.wait_ready(&relay);
    sleep(ms(500));

    // Traffic: twenty messages a second, over all destinations in turn.
    let (over, destinations): (Arc<AtomicBool>, Arc<Mutex<HashMap<String, u64>>>) = Default::default();
    let traffic = {
        let (place, over, destinations) = (place.clone(), over.clone(), destinations.clone());
        spawn(move || {
            let mut number = 0u64;
            while !over.load(Ordering::SeqCst) {
                let (id, dest) = (format!("m{number:04}"), number % DESTINATIONS + 1);
                number += 1;
                destinations.lock().unwrap().insert(id.clone(), dest);
                place.hand_in("orders", &id, dest, 24_000);
                sleep(ms(50));
            }
        })
    };

    // Each host drains, is gone a second later, and its successor starts half a second after that, under a new
    // name. The successor of host n stands where host n - 1 has gone, which was of another destination.
    let fresh = listen();
    let start = Instant::now();
    let mut steps: Vec<(u64, usize, u8)> = Vec::new();
    for n in 0..REPLACED {
        let at = SPAN_MS * n as u64 / REPLACED as u64;
        steps.extend([(at, n, 0), (at + 1000, n, 1), (at + 1500, n, 2)]);
    }
    steps.sort();
    // The list's version with which each host began to drain, by its address.
    let mut drained: HashMap<SocketAddr, (usize, u64)> = HashMap::new();
    let mut last_change = 0;
    for (at, n, step) in steps {
        sleep((start + ms(at)).saturating_duration_since(Instant::now()));
        let old = &entries[n];
        match step {
            0 => {
                let index = agent.change(&[Entry { status: "leaving", ..old.clone() }]);
                drained.insert(old.address, (n, index));
            }
            1 => drop(agent.change(&[Entry { status: "left", ..old.clone() }])),
            _ => {
                let address = if n == 0 { fresh } else { entries[n - 1].address };
                last_change = agent.change(&[Entry::new(&format!("t-{n:03}"), address, old.group)]);
            }
        }
    }
    // The last change has been told before discovery goes down.
    sleep(ms(1500));
    if agent.told(last_change).is_none() {
        cannot_run("the relay was not told of the last change");
    }
    let relay = if trouble() {
        agent.set_down(true);
        let down_at = Instant::now();
        sleep(ms(1000));
        place.kill(&relay);
        sleep(ms(600));
        let again = place.start();
        place.wait_ready(&again);
        sleep((down_at + ms(8000)).saturating_duration_since(Instant::now()));
        agent.set_down(false);
        again
    } else {
        sleep(ms(8000));
        relay
    };
    sleep(ms(3000));
    over.store(true, Ordering::SeqCst);
    let _joined = traffic.join();
    sleep(ms(1500));
    let _relay = relay;

    // What stands at each address at the end.
    let group_at = |address: SocketAddr| -> u64 {
        match entries.iter().position(|e| e.address == address) {
            Some(n) if n + 1 < REPLACED => destination(n + 1),
            Some(n) if n + 1 == REPLACED => 0,
            Some(n) => destination(n),
            None => destination(0),
        }
    };
    // A call is in breach if it goes to a host that the relay was told is draining or gone more than 250 ms (and
    // the 50 ms by which each limit is longer) before. Messages for the destination of the successor at that
    // address are its own.
    let calls = calls.lock().unwrap();
    let destinations = destinations.lock().unwrap();
    let mut broken = Vec::new();
    for call in calls.iter() {
        let Some((n, index)) = drained.get(&call.address) else { continue };
        let Some(told) = agent.told(*index) else { continue };
        let dest = destinations.get(&call.id).copied().unwrap_or(0);
        // Host n + 1's successor stands at this address.
        let successor = destination(*n + 1);
        if dest == destination(*n) && dest != successor && call.at > told + ms(300) {
            let who = match group_at(call.address) {
                0 => "nobody is listed there now".to_string(),
                group => format!("a host of destination {group} is there now"),
            };
            let arrived = calls.iter().any(|c| c.id == call.id && group_at(c.address) == dest);
            let ended = !agent.notices_of(&call.id).is_empty();
            let fate = if arrived || ended {
                ""
            } else {
                ", and the message reached no host of its own and had no notice"
            };
            broken.push(format!(
                "{} for destination {dest} was sent to {}, where s-{n:03} of that destination was, {} ms after the \
                 relay was told that it drains; {who}{fate}",
                call.id,
                call.address,
                call.at.duration_since(told).as_millis()
            ));
        }
    }
    if calls.len() < 100 {
        cannot_run("too few calls");
    }
    verdict(&record, &broken);
}
