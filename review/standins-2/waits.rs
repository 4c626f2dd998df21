//! Waits: a host that tells to wait, in an answer of a form that the pages allow.

use crate::kit::*;
use crate::settings::mazowsze;
use crate::Verdict;
use std::sync::{Arc, Mutex};
use std::thread::sleep;

/// The wait that is told.
const WAIT_MS: f64 = 900.0;
/// Calls that come so soon after the answer are let through; 50 ms more for the stand-ins' own clocks.
const LET_THROUGH_MS: f64 = 100.0 + 50.0;
/// How much earlier than the end of the wait a call is still let pass by the check.
const SLACK_MS: f64 = 50.0;
/// How often the host tells to wait, and how far apart.
const TIMES: usize = 4;
const EVERY_MS: f64 = 4000.0;

/// Plays the case in which the answer says `Connection: close`.
pub fn play_close(record: &Record, trouble: bool) -> Verdict {
    play("wait-close", record, 0, trouble)
}

/// Plays the case in which the answer has a body of 20,000 bytes.
pub fn play_body(record: &Record, trouble: bool) -> Verdict {
    play("10", record, if trouble { 20_000 } else { 0 }, false)
}

fn play(case: &str, record: &Record, body_bytes: usize, close: bool) -> Verdict {
    let setup = Setup::new(case, record);
    // When the host turns a call away next, until when it is full, how many waits it has told from their start, and
    // how often it was asked. Two of three refusals tell to wait.
    let plan = Arc::new(Mutex::new((3000.0, 0.0, 0, 0)));
    let told = Arc::new(Mutex::new(Vec::new()));
    let (host_told, clock) = (told.clone(), record.clone());
    let host = Host::start("host", record, move |_, _| {
        let (now, mut plan) = (clock.now(), plan.lock().unwrap());
        if now >= plan.1 && (now < plan.0 || plan.2 >= TIMES) {
            return Reply::Status(200, 60);
        }
        plan.3 += 1;
        if plan.3 % 3 == 2 {
            return Reply::Status(503, 0);
        }
        if now >= plan.1 {
            (plan.0, plan.1, plan.2) = (now + EVERY_MS, now + WAIT_MS, plan.2 + 1);
            host_told.lock().unwrap().push(now);
        }
        Reply::Wait { wait_ms: (plan.1 - now) as u64, body_bytes, close }
    });
    let discovery = Discovery::start("discovery", record);
    discovery.list("s-1", &host, 3, "active");
    setup.configure(discovery.address, &discovery.json(None), &mazowsze());
    let relay = setup.start(discovery.address, "relay");
    setup.wait_ready();
    let started = record.now();
    for number in 0.. {
        if record.now() - started > 3000.0 + EVERY_MS * TIMES as f64 + 1000.0 {
            break;
        }
        submit(record, setup.listen, "stany", &format!("m{number}"), 3, 6000, "floty-miejskie");
        sleep(ms(70));
    }
    sleep(ms(1000));
    drop(relay);
    setup.finish(&["relay"]);
    let calls = host.calls.lock().unwrap().clone();
    let told = told.lock().unwrap().clone();
    let refused = calls.iter().filter(|call| call.reply == "429" || call.reply == "503").count();
    let with_wait = calls.iter().filter(|call| call.reply == "429").count();
    record.line(format!("{with_wait} of {refused} refusals told to wait"));
    if told.len() < TIMES {
        return Verdict::CouldNotRun(format!("the host told {} times to wait", told.len()));
    }
    let mut early = Vec::new();
    for at in &told {
        let during = calls.iter().map(|call| call.at - at);
        early.extend(during.filter(|t| *t > LET_THROUGH_MS && *t < WAIT_MS - SLACK_MS));
    }
    if early.is_empty() {
        return Verdict::Held(format!("nothing came in {TIMES} waits of {WAIT_MS} ms"));
    }
    Verdict::Broken(format!(
        "{} calls came in {TIMES} waits of {WAIT_MS} ms, {early:.0?} ms after their answers",
        early.len()
    ))
}
