//! Order: a key's rest after a reset, across a new version under load.

use crate::kit::*;
use crate::settings::tarnfjell;
use crate::Verdict;
use std::thread::sleep;

/// The stated time that a key rests after a reset.
const ORDER_PAUSE_MS: u64 = 1500;
/// The pages lengthen each time limit by 50 ms; another 50 ms for the stand-ins' own clocks.
const SLACK_MS: f64 = 100.0;
const KEY: &str = "journal-linje/patient-17";

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let setup = Setup::new("10", record);
    let host = Host::start("host", record, move |id, earlier| match (id, earlier) {
        ("m1", 0) if trouble => Reply::Reset,
        _ => Reply::Status(200, 80),
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
    let second = host.calls_of("m2");
    drop((old, new));
    setup.finish(&["old", "new"]);
    let Some(sent_at) = second.first().map(|call| call.at) else {
        return Verdict::CouldNotRun("m2 was not sent".into());
    };
    let rested = sent_at - reset_at;
    if trouble && rested < ORDER_PAUSE_MS as f64 - SLACK_MS {
        return Verdict::Broken(format!(
            "m1 was reset at {reset_at:.0} ms; m2, with the same key, came {rested:.0} ms later; the key rests \
             {ORDER_PAUSE_MS} ms"
        ));
    }
    Verdict::Held(format!("m2 came {rested:.0} ms after the end of m1's first call"))
}
