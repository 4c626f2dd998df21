//! Order: a key's rest after a reset, across a new version under load.

use crate::kit::*;
use crate::settings::tarnfjell;
use crate::Verdict;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};

/// The stated time that a key rests after a reset.
const ORDER_PAUSE_MS: u64 = 1500;
/// How long the host goes on with the call whose connection was reset.
const RUNS_ON_MS: u64 = 1000;
/// Time for any other call.
const WORK_MS: u64 = 80;
/// The pages lengthen each time limit by 50 ms; another 50 ms for the stand-ins' own clocks.
const SLACK_MS: f64 = 100.0;
const KEY: &str = "journal-linje/patient-17";

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let setup = Setup::new("9", record);
    // What the host has applied, in its order. It drops the repeat of a keyed message, and answers it with 200.
    let applied: Arc<Mutex<Vec<String>>> = Arc::default();
    let (host_applied, host_record) = (applied.clone(), record.clone());
    let host = Host::start("host", record, move |id, earlier| {
        let is_reset = id == "m1" && earlier == 0 && trouble;
        if earlier == 0 {
            let (id, applied, record) = (id.to_string(), host_applied.clone(), host_record.clone());
            spawn(move || {
                sleep(ms(if is_reset { RUNS_ON_MS } else { WORK_MS }));
                record.line(format!("host applies {id}"));
                applied.lock().unwrap().push(id);
            });
        }
        if is_reset {
            return Reply::Reset;
        }
        Reply::Status(200, WORK_MS)
    });
    let discovery = Discovery::start("discovery", record);
    discovery.list("s-1", &host, 3, "active");
    setup.configure(discovery.address, &discovery.json(None), &tarnfjell(3, ORDER_PAUSE_MS));
    let mut old = setup.start(discovery.address, "old");
    setup.wait_ready();
    sleep(ms(1500));
    let hand_in = |id: &str| submit(record, setup.listen, KEY, id, 3, 14_000, "helse-nord");
    if hand_in("m1") != 202 || hand_in("m2") != 202 {
        return Verdict::CouldNotRun("the messages were not taken on".into());
    }
    // The first message is over by now: delivered by its second attempt, if the first one was reset.
    sleep(ms(400));
    let first = host.calls_of("m1");
    let Some(reset_at) = first.first().map(|call| call.ended) else {
        return Verdict::CouldNotRun("m1 was not sent".into());
    };
    if first.last().is_none_or(|call| call.reply != "200") {
        return Verdict::CouldNotRun("m1 was not delivered before the new version".into());
    }
    let mut new = None;
    if trouble {
        let process = setup.start(discovery.address, "new");
        if !process.wait_check(6000) {
            return Verdict::CouldNotRun("the new process did not say yes in 6 s".into());
        }
        new = Some(process);
        old.signal("TERM");
    }
    sleep(ms(ORDER_PAUSE_MS + 1500));
    old.kill();
    if let Some(process) = &mut new {
        if process.ended() {
            return Verdict::CouldNotRun("the new process ended".into());
        }
    }
    let (second, applied) = (host.calls_of("m2"), applied.lock().unwrap().join(", "));
    drop((old, new));
    setup.finish(&["old", "new"]);
    let Some(sent_at) = second.first().map(|call| call.at) else {
        return Verdict::CouldNotRun("m2 was not sent".into());
    };
    let rested = sent_at - reset_at;
    if trouble && rested < ORDER_PAUSE_MS as f64 - SLACK_MS {
        return Verdict::Broken(format!(
            "m2 came {rested:.0} ms after the reset of m1's first call; their key rests {ORDER_PAUSE_MS} ms. Applied, \
             in this order: {applied}"
        ));
    }
    Verdict::Held(format!("m2 came {rested:.0} ms after the end of m1's first call. Applied: {applied}"))
}
