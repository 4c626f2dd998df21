//! No message is lost: two new versions under load in a row, while calls hang.

use crate::kit::*;
use crate::settings::tarnfjell;
use crate::Verdict;
use std::thread::{sleep, spawn};

/// The class's time.
const BUDGET_MS: u64 = 9000;
/// A message has its end 300 ms after its time; the pages lengthen each limit by 50 ms, and 50 ms are for the
/// stand-ins' own clocks.
const END_MS: f64 = 300.0 + 50.0 + 50.0;
/// When each new version is started after the first message, and when the process before it gets SIGTERM, at the
/// earliest: not before the new one has said yes.
const UPGRADES_MS: [(u64, u64); 2] = [(4000, 5300), (6000, 7500)];
/// The destination whose host hangs, and one whose host answers. The first gets less than 24% of the messages.
const HANGING: u64 = 3;
const ANSWERING: u64 = 4;
const MESSAGES: u64 = 6;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let setup = Setup::new("7", record);
    let host = Host::start("host", record, move |id, _| match id.starts_with('m') && trouble {
        true => Reply::Hang,
        false => Reply::Status(200, 90),
    });
    let discovery = Discovery::start("discovery", record);
    let other = Host::start("other host", record, |_, _| Reply::Status(200, 60));
    discovery.list("s-1", &host, HANGING, "active");
    discovery.list("s-2", &other, ANSWERING, "active");
    setup.configure(discovery.address, &discovery.json(None), &tarnfjell(3, 0));
    let mut serving = setup.start(discovery.address, "first");
    setup.wait_ready();
    let hand_in = |id: &str| submit(record, setup.listen, "resept", id, HANGING, BUDGET_MS, "helse-nord");
    for number in 0..3 {
        hand_in(&format!("warm-{number}"));
        sleep(ms(400));
    }
    let began = record.now();
    let mut taken_on = Vec::new();
    let (listen, clock) = (setup.listen, record.clone());
    spawn(move || {
        for number in 0..52 {
            submit(&clock, listen, "lagertall", &format!("other-{number}"), ANSWERING, 3500, "helse-nord");
            sleep(ms(200));
        }
    });
    for number in 0..MESSAGES {
        let (id, at) = (format!("m{number}"), record.now());
        if hand_in(&id) == 202 {
            taken_on.push((id, at + BUDGET_MS as f64));
        }
        sleep(ms(200));
    }
    if taken_on.len() < MESSAGES as usize {
        return Verdict::CouldNotRun("the messages were not taken on".into());
    }
    for ((after_ms, term_ms), name) in UPGRADES_MS.into_iter().zip(["second", "third"]) {
        if !trouble {
            continue;
        }
        sleep(ms((began + after_ms as f64 - record.now()).max(0.0) as u64));
        let next = setup.start(discovery.address, name);
        if !next.wait_check(6000) {
            return Verdict::CouldNotRun(format!("the {name} process did not say yes in 6 s"));
        }
        let mut old = std::mem::replace(&mut serving, next);
        sleep(ms((began + term_ms as f64 - record.now()).max(0.0) as u64));
        old.signal("TERM");
        spawn(move || {
            sleep(ms(3700));
            old.kill();
        });
    }
    sleep(ms((began + BUDGET_MS as f64 + 4000.0 - record.now()).max(0.0) as u64));
    if serving.ended() {
        return Verdict::CouldNotRun("the last process ended".into());
    }
    drop(serving);
    let mut late = Vec::new();
    for (id, due) in &taken_on {
        let delivered = host.calls_of(id).iter().filter(|c| c.reply == "200").map(|c| c.ended).next();
        let noticed = discovery.notices_of(id).first().map(|notice| notice.0);
        let ended = delivered.or(noticed);
        record.line(format!("{id}: time up at {due:.0}, ended at {ended:?}"));
        if ended.is_none_or(|ended| ended > due + END_MS) {
            late.push(ended.map_or(f64::INFINITY, |ended| ended - due));
        }
    }
    setup.finish(&["first", "second", "third"]);
    if late.is_empty() {
        return Verdict::Held(format!("all {} messages ended in time", taken_on.len()));
    }
    Verdict::Broken(format!(
        "{} of {} messages that were taken on ended {late:.0?} ms after their time; 300 ms are allowed",
        late.len(),
        taken_on.len()
    ))
}
