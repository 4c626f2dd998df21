//! An open watch on discovery falls silent; meanwhile a host drains, leaves, and a host of another destination
//! starts at its address.
#[path = "common.rs"]
mod common;

use common::*;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Instant;

const DEST: u64 = 1;
const OTHER: u64 = 3;

fn main() {
    let record = Record::create(std::path::Path::new(&std::env::args().nth(1).expect("the record's path")));
    limit_time(ms(100_000));
    let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
    let listen = |what: &'static str| {
        let (calls, record) = (calls.clone(), record.clone());
        host(move |call, stream| {
            use std::io::Write;
            record.line(&format!("host {what}: {} received", call.id));
            calls.lock().unwrap().push(call.clone());
            sleep(ms(150));
            record.line(&format!("host {what}: {} answered 200", call.id));
            stream.write_all(OK).is_ok()
        })
    };
    // The second address is first a host of destination 1, and later one of destination 3.
    let (kept, reused, new) = (listen("s-kept"), listen("at the reused address"), listen("s-new"));
    let entries = [Entry::new("s-kept", kept, 2), Entry::new("s-gone", reused, DEST)];
    let agent = Agent::start(&record, 41, entries.to_vec());
    let place = Place::create(&record, agent.address, &entries_json(41, &entries), "ask", 20);
    let relay = place.start();
    place.wait_ready(&relay);
    // Traffic: a few messages a second for the destination, all day.
    let mut number = 0;
    let mut hand_in_until = |until: Instant| {
        while Instant::now() < until {
            number += 1;
            place.hand_in("stock", &format!("m{number:03}"), DEST, 6000);
            sleep(ms(150));
        }
    };
    let start = Instant::now();
    hand_in_until(start + ms(3000));
    // The start of a process calls up to 4 s late where lists are asked for.
    let waited = Instant::now();
    let began = loop {
        match agent.open_watch().filter(|began| began.elapsed() > ms(300) && began.elapsed() < ms(2000)) {
            Some(began) => break began,
            None if waited.elapsed() > ms(15_000) => cannot_run("the relay opens no watch"),
            None => hand_in_until(Instant::now() + ms(100)),
        }
    };
    if trouble() {
        agent.silence_watches();
    }
    let silent_at = Instant::now();
    let drains = Entry { status: "leaving", ..Entry::new("s-gone", reused, DEST) };
    let leaving = agent.change(&[drains.clone(), Entry::new("s-new", new, DEST)]);
    // Told at the latest: 6 s after the watch fell silent, or 2 s after its wait of 5 s is over, if that is
    // later; then the grace of 250 ms, and 50 ms more for each time limit.
    let latest = (silent_at + ms(6000)).max(began + ms(5000 + 2000)) + ms(250 + 50 + 50);
    hand_in_until(latest);
    let told = agent.told(leaving).map(|at| at + ms(250 + 50));
    let from = told.map_or(latest, |told| told.min(latest));
    // The host has drained and is gone; another one starts at its address.
    agent.change(&[Entry { status: "left", ..drains }, Entry::new("s-other", reused, OTHER)]);
    hand_in_until(Instant::now() + ms(6000));
    sleep(ms(1500));
    // The message's destination is 1; a host of destination 3 must not get it.
    let calls = calls.lock().unwrap();
    let broken: Vec<String> = calls
        .iter()
        .filter(|call| call.address == reused && call.at > from)
        .map(|call| {
            let late = call.at.duration_since(from).as_millis();
            let elsewhere = calls.iter().any(|other| other.id == call.id && other.address == new);
            format!(
                "{} for destination {DEST} was sent to the host of destination {OTHER} {late} ms after the end of \
                 the grace; its own host {} it",
                call.id,
                if elsewhere { "got" } else { "never got" }
            )
        })
        .collect();
    let arrived = calls.iter().filter(|call| call.address == new).count();
    record.line(&format!("the destination's new host got {arrived} calls"));
    if arrived == 0 && broken.is_empty() {
        cannot_run("no call after the change, so nothing was tested");
    }
    verdict(&record, &broken);
}
