//! Drains: discovery whose answers are of a form or take a time that the pages allow, while a host is replaced and a
//! host of another destination starts at its address.

use crate::kit::*;
use crate::settings::{mazowsze, tarnfjell};
use crate::Verdict;
use std::thread::sleep;

/// A change counts as told this long after discovery had it and could be reached.
const TOLD_MS: f64 = 6000.0;
/// 50 ms longer for each of the two limits, and 50 ms for the stand-ins' own clocks.
const SLACK_MS: f64 = 3.0 * 50.0;
/// The destination of the messages, and another one.
const DEST: u64 = 3;
const OTHER_DEST: u64 = 9;

/// Discovery says `Connection: close` with each answer, and closes.
pub fn play_close(record: &Record, trouble: bool) -> Verdict {
    let manner = Manner { closes: trouble, ..Manner::default() };
    play("6", record, &mazowsze(), ("stany", "floty-miejskie", 250.0), manner)
}

/// Discovery takes 1.3 s for each answer; its calls time out after 2 s.
pub fn play_slow(record: &Record, trouble: bool) -> Verdict {
    let manner = Manner { slow_ms: if trouble { 1300 } else { 0 }, ..Manner::default() };
    play("8", record, &tarnfjell(3, 0), ("lagertall", "helse-nord", 400.0), manner)
}

/// `traffic` is the class of the messages, their tenant, and the grace of the settings.
fn play(case: &str, record: &Record, settings: &str, traffic: (&str, &str, f64), manner: Manner) -> Verdict {
    let (class, caller, grace_ms) = traffic;
    let setup = Setup::new(case, record);
    let leaving = Host::start("first address", record, |_, _| Reply::Status(200, 60));
    let discovery = Discovery::start("discovery", record);
    discovery.list("s-1", &leaving, DEST, "active");
    // Seven more hosts of other destinations, so that the one that is replaced is an eighth of all.
    for dest in 10..17 {
        let host = Host::start("another host", record, |_, _| Reply::Status(200, 60));
        discovery.list(&format!("t-{dest}"), &host, dest, "active");
    }
    let known = discovery.json(None);
    discovery.set_manner(manner);
    setup.configure(discovery.address, &known, settings);
    let relay = setup.start(discovery.address, "relay");
    setup.wait_ready();
    let (mut drained_at, mut replaced_at, started) = (f64::MAX, f64::MAX, record.now());
    let mut taken_on = Vec::new();
    for number in 0..120 {
        let now = record.now();
        if drained_at == f64::MAX && now - started > 4000.0 {
            let host = Host::start("second address", record, |_, _| Reply::Status(200, 60));
            discovery.list("s-2", &host, DEST, "active");
            discovery.list("s-1", &leaving, DEST, "leaving");
            drained_at = record.now();
            record.line("discovery has s-1 as leaving, and s-2 in its place");
        }
        if replaced_at == f64::MAX && now > drained_at + TOLD_MS + grace_ms + SLACK_MS {
            discovery.list("s-1", &leaving, DEST, "left");
            discovery.list("s-3", &leaving, OTHER_DEST, "active");
            replaced_at = record.now();
            record.line("s-1 has left; s-3, a host of another destination, starts at its address");
        }
        let id = format!("m{number}");
        if submit(record, setup.listen, class, &id, DEST, 3500, caller) == 202 {
            taken_on.push(id);
        }
        sleep(ms(150));
    }
    sleep(ms(4500));
    drop(relay);
    let calls = leaving.calls.lock().unwrap().clone();
    setup.finish(&["relay"]);
    if replaced_at == f64::MAX || taken_on.len() < 60 {
        return Verdict::CouldNotRun(format!("{} messages were taken on", taken_on.len()));
    }
    let wrong: Vec<&Call> = calls.iter().filter(|call| call.at > replaced_at).collect();
    let lost =
        wrong.iter().filter(|call| taken_on.contains(&call.id) && discovery.notices_of(&call.id).is_empty());
    let (lost, until) = (lost.count(), wrong.last().map_or(0.0, |call| call.at - drained_at));
    if wrong.is_empty() {
        return Verdict::Held("nothing came to the address of s-1 after its drain counted as told".into());
    }
    Verdict::Broken(format!(
        "{} calls for destination {DEST} came to s-3, a host of destination {OTHER_DEST}, up to {until:.0} ms after \
         discovery had s-1 as leaving; {lost} of them were taken on and got no other end",
        wrong.len()
    ))
}
