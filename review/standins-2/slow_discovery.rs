//! Drains: discovery that answers each call, but takes more than a second for it.

use crate::kit::*;
use crate::settings::tarnfjell;
use crate::Verdict;
use std::thread::sleep;

/// Discovery's time for an answer; its calls time out after 2 s, and it turns away what would take longer.
const SLOW_MS: u64 = 1300;
/// A change counts as told this long after discovery had it and could be reached.
const TOLD_MS: f64 = 6000.0;
/// The grace of the settings, and 50 ms longer for each of the two limits.
const GRACE_MS: f64 = 400.0 + 2.0 * 50.0;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let setup = Setup::new("8", record);
    let (leaving, next) = (
        Host::start("leaving", record, |_, _| Reply::Status(200, 60)),
        Host::start("next", record, |_, _| Reply::Status(200, 60)),
    );
    let discovery = Discovery::start("discovery", record);
    discovery.list("s-1", &leaving, 3, "active");
    let known = discovery.json(None);
    if trouble {
        discovery.set_manner(Manner { slow_ms: SLOW_MS, turns_away: false });
    }
    setup.configure(discovery.address, &known, &tarnfjell(3, 0));
    let relay = setup.start(discovery.address, "relay");
    setup.wait_ready();
    let (mut drained_at, started) = (f64::MAX, record.now());
    for number in 0..120 {
        if drained_at == f64::MAX && record.now() - started > 4000.0 {
            discovery.list("s-2", &next, 3, "active");
            discovery.list("s-1", &leaving, 3, "leaving");
            drained_at = record.now();
            record.line("discovery has s-1 as leaving, and s-2 in its place");
        }
        submit(record, setup.listen, "lagertall", &format!("m{number}"), 3, 3500, "helse-nord");
        sleep(ms(170));
    }
    sleep(ms(500));
    drop(relay);
    let calls = leaving.calls.lock().unwrap().clone();
    setup.finish(&["relay"]);
    let late: Vec<f64> =
        calls.iter().map(|call| call.at - drained_at).filter(|t| *t > TOLD_MS + GRACE_MS).collect();
    match (late.first(), late.last()) {
        (Some(first), Some(last)) => Verdict::Broken(format!(
            "{} calls came to s-1 between {first:.0} and {last:.0} ms after discovery had it as leaving",
            late.len()
        )),
        _ => Verdict::Held("nothing came to s-1 after its drain counted as told".into()),
    }
}
