//! A process that is started beside one that ends or serves, which is then killed at any instant.
use mulleinslip_testkit::*;
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
const PROGRAM: Program = mulleinslip_testkit::program!();

/// Times from the start of the new process to the kill of the old one, in milliseconds.
const KILL_DELAYS_MS: [u64; 9] = [0, 3, 10, 20, 40, 80, 150, 400, 900];
/// Time from SIGTERM to the start of the new process: the old one still has calls out.
const START_DELAY: Duration = Duration::from_millis(2800);
/// Time for which an address stays in use.
const HOLD_TIME: Duration = Duration::from_millis(700);

/// Numbers of the addresses so far.
static ADDRESSES: AtomicU8 = AtomicU8::new(1);

/// Returns an address of an own IP, so that no other listener or connection gets its port meanwhile.
fn own_address() -> SocketAddr {
    let number = ADDRESSES.fetch_add(1, Ordering::SeqCst);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    TcpListener::bind(SocketAddr::from(([127, high | 1, low, number], 0)))
        .and_then(|listener| listener.local_addr())
        .unwrap()
}

/// Starts a process beside one that serves, or that was told to end, and kills the old one `kill_delay` later.
fn new_process_goes_on(is_ending: bool, kill_delay: Duration) {
    let host = Host::new(|_, _| Reply::Silent);
    let agent = Agent::new(&[("h", 1, &host)]);
    let mut config = config(agent.address);
    config["listen"] = json!(own_address().to_string());
    let mut old = Relay::with(PROGRAM, config, &agent);
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

/// Holds an address for [`HOLD_TIME`] while a relay that has it as `setting` starts, and returns the relay.
fn start_while_in_use(setting: &str, agent: &Agent) -> Relay {
    let address = own_address();
    let mut config = config(agent.address);
    config[setting] = json!(address.to_string());
    let holder = TcpListener::bind(address).unwrap();
    std::thread::scope(|scope| {
        scope.spawn(move || {
            std::thread::sleep(HOLD_TIME);
            drop(holder);
        });
        Relay::with(PROGRAM, config, agent)
    })
}

/// Guards against a process that ends by itself with `Address already in use` as the one before it is killed: the
/// system frees the folder's lock a moment before it frees the address.
#[test]
fn process_waits_for_the_address_that_a_killed_one_has_not_left_yet() {
    let host = Host::ok();
    let agent = Agent::new(&[("h", 1, &host)]);
    let relay = start_while_in_use("listen", &agent);
    relay.submit_accepted_once_listed("safe", "first", 1);
}

/// Guards against the same for the second address: clients are served meanwhile.
#[test]
fn process_serves_clients_while_its_second_address_is_in_use() {
    let host = Host::ok();
    let agent = Agent::new(&[("h", 1, &host)]);
    let relay = start_while_in_use("control", &agent);
    relay.submit_accepted_once_listed("safe", "first", 1);
    assert_eq!(relay.call("check"), "+OK\n");
}
