//! A process that is started beside one that ends or serves, which is then killed at any instant.
use mulleinslip_testkit::*;
use std::time::Duration;
const PROGRAM: Program = mulleinslip_testkit::program!();

/// Times from the start of the new process to the kill of the old one, in milliseconds.
const KILL_DELAYS_MS: [u64; 9] = [0, 3, 10, 20, 40, 80, 150, 400, 900];
/// Time from SIGTERM to the start of the new process: the old one still has calls out.
const START_DELAY: Duration = Duration::from_millis(2800);

/// Starts a process beside one that serves, or that was told to end, and kills the old one `kill_delay` later.
fn new_process_goes_on(is_ending: bool, kill_delay: Duration) {
    let host = Host::new(|_, _| Reply::Silent);
    let agent = Agent::new(&[("h", 1, &host)]);
    let mut old = Relay::start(PROGRAM, &agent);
    old.submit_accepted_once_listed("safe", "hangs", 1);
    if is_ending {
        old.terminate();
        std::thread::sleep(START_DELAY);
    }
    let process = old.child.id().to_string();
    let mut new = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(kill_delay);
            std::process::Command::new("kill").args(["-KILL", &process]).status().unwrap();
        });
        old.beside()
    });
    old.wait_exit();
    until("an answer of the new process", || (new.submit("safe", "next", 1).status() == 202).then_some(()));
    assert!(new.child.try_wait().unwrap().is_none(), "ending: {is_ending}, killed after {kill_delay:?}");
}

/// Guards against a process that ends by itself as the one beside which it was started is killed.
#[test]
fn process_goes_on_when_the_one_before_it_is_killed_at_any_instant() {
    std::thread::scope(|scope| {
        for delay in KILL_DELAYS_MS.map(Duration::from_millis) {
            for is_ending in [false, true] {
                scope.spawn(move || new_process_goes_on(is_ending, delay));
            }
        }
    });
}
