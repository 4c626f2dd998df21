//! A clump of messages that may not be repeated is out at hosts that hang, and a new version takes over as the
//! time of the clump ends.
#[path = "common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Instant;

/// Takeovers, one after the other.
const ROUNDS: u64 = 8;
/// Destinations that hang in each round, and messages for each of them.
const DESTINATIONS: u64 = 3;
const MESSAGES: u64 = 5;
/// How long the messages may be delivered: the deadline of their class.
const BUDGET_MS: u64 = 6000;
/// How long these destinations hang.
const HANG_MS: u64 = 12_000;
/// Destinations that answer all the time, with most of the traffic.
const HEALTHY: std::ops::RangeInclusive<u64> = 101..=104;
/// Time between the messages of a clump.
const SPACING_US: u64 = 1500;

fn main() {
    let record = Record::create(std::path::Path::new(&std::env::args().nth(1).expect("the record's path")));
    limit_time(ms(110_000));
    // What each host has received in full: the partner has booked it.
    let booked: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let mut entries = Vec::new();
    // Since when each destination hangs.
    let hangs: Arc<Mutex<HashMap<u64, Instant>>> = Arc::default();
    for dest in 1..=ROUNDS * DESTINATIONS {
        let (record, booked, hangs) = (record.clone(), booked.clone(), hangs.clone());
        let address = host(move |call, stream| {
            if !hangs.lock().unwrap().get(&dest).is_some_and(|since| since.elapsed() < ms(HANG_MS)) {
                return stream.write_all(OK).is_ok();
            }
            if !call.id.is_empty() {
                record
                    .line(&format!("host of destination {dest}: {} received and booked; no answer", call.id));
                booked.lock().unwrap().entry(call.id.clone()).or_insert(call.at);
            }
            // The host hangs: it takes calls and answers none.
            let _closed = stream.read(&mut [0; 1]);
            false
        });
        entries.push(Entry::new(&format!("s-{dest:02}"), address, dest));
    }
    for dest in HEALTHY {
        let address = host(move |_, stream| {
            sleep(ms(150));
            // With connections that are kept, a takeover takes up to 1.2 s: deliveries have to be verified.
            stream.write_all(OK_AND_CLOSE).is_ok() && false
        });
        entries.push(Entry::new(&format!("s-{dest}"), address, dest));
    }
    let agent = Agent::start(&record, 41, entries.clone());
    let place = Arc::new(Place::create(&record, agent.address, &entries_json(41, &entries), "push", 2));
    let mut relay = place.start();
    let mut start_takes = place.wait_ready(&relay);
    let over = place.traffic("stock", "other-", HEALTHY.collect(), ms(100));
    sleep(ms(500));
    let mut all = Vec::new();
    for round in 0..ROUNDS {
        let start = Instant::now() + ms(50);
        for dest in round * DESTINATIONS + 1..=round * DESTINATIONS + DESTINATIONS {
            hangs.lock().unwrap().insert(dest, start);
        }
        let clients: Vec<_> = (0..MESSAGES * DESTINATIONS)
            .map(|n| {
                let place = place.clone();
                let (id, dest) = (format!("r{round}-{n:02}"), round * DESTINATIONS + n % DESTINATIONS + 1);
                all.push(id.clone());
                spawn(move || {
                    let at = start + std::time::Duration::from_micros(n * SPACING_US);
                    sleep(at.saturating_duration_since(Instant::now()));
                    place.hand_in("bookings", &id, dest, BUDGET_MS)
                })
            })
            .collect();
        let taken: Vec<u16> = clients.into_iter().map(|client| client.join().unwrap_or(0)).collect();
        record.line(&format!(
            "round {round}: {} of {} taken on",
            taken.iter().filter(|s| **s == 202).count(),
            taken.len()
        ));
        if trouble() {
            // A new version is started so that it takes over while the time of the clump ends, which takes some
            // 20 ms.
            let at = start + ms(BUDGET_MS) + ms(4 + 4 * (round % 4)) - start_takes;
            sleep(at.saturating_duration_since(Instant::now()));
            let new = place.start();
            start_takes = place.wait_ready(&new);
            place.signal(&relay, "TERM");
            relay = new;
        }
        // The end of each message is owed 300 ms after its time is up, and 1.5 s after a new process is ready.
        sleep((start + ms(BUDGET_MS + 2500)).saturating_duration_since(Instant::now()));
    }
    over.store(true, std::sync::atomic::Ordering::SeqCst);
    sleep(ms(1000));
    let booked = booked.lock().unwrap();
    let mut broken = Vec::new();
    for id in &all {
        let Some(at) = booked.get(id) else { continue };
        for (status, told) in agent.notices_of(id) {
            if status == "deferred" && told > *at {
                broken.push(format!(
                    "{id} may not be repeated and was received in full by its host; {} ms later it was refused by a \
                     notice (deferred), which says that handing it in again is harmless",
                    told.duration_since(*at).as_millis()
                ));
            }
        }
    }
    if booked.len() < all.len() / 2 {
        cannot_run("too few messages reached a host");
    }
    verdict(&record, &broken);
}
