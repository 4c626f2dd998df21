//! A process that starts while discovery is down: the list in its configuration is old, and what the processes
//! before it were told of hosts still holds.

use mulleinslip_testkit::{config, program, until, Agent, Host, Relay};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// How the process that was told ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Kill,
    /// SIGTERM, and the next process is started when it has ended.
    Terminate,
    /// A new process takes over, and is killed.
    TakeoverThenKill,
}

/// A fleet whose hosts are all replaced while a relay runs. Destination N has the host `old-N`, then `new-N`.
struct Replacement {
    hosts: usize,
    /// Number of changes of the list in which the hosts are replaced.
    changes: usize,
    /// Whether the old hosts stay in the list as leaving.
    drains_first: bool,
    disk_mb: f64,
    /// Whether the relay asks for the list, as one of 20.
    asks: bool,
}

impl Replacement {
    fn old_hosts(&self, address: SocketAddr) -> impl Iterator<Item = (String, u64, SocketAddr)> {
        (0..self.hosts).map(move |n| (format!("old-{n}"), n as u64, address))
    }

    fn config(&self, agent: &Agent, old: &Host) -> Value {
        let mut config = config(agent.address);
        let known = self.old_hosts(old.address).map(|(name, dest, address)| {
            json!({"name": name, "address": address.to_string(), "zone": "z", "type": "k", "group": dest,
                "status": "active", "weight": 1.0, "since_ms": 0})
        });
        config["known"] = json!({"index": 1, "snapshot": true, "endpoints": known.collect::<Vec<_>>()});
        config["limits"]["disk_mb"] = json!(self.disk_mb);
        config["settings"]["Limits"]["MaxOpen"] = json!(100);
        config["settings"]["Balancers"] = json!(20);
        config["settings"]["Discovery"] = json!(if self.asks { "ask" } else { "push" });
        config
    }

    /// Replaces the hosts, and waits until the relay was told of each change.
    fn replace_hosts(&self, agent: &Agent, old: &Host, new: &Host) {
        let told = |change: &dyn Fn()| {
            let watches = agent.watches();
            change();
            until("the next watch", || (agent.watches() > watches).then_some(()));
        };
        let size = self.hosts.div_ceil(self.changes);
        for from in (0..self.hosts).step_by(size) {
            let changed = || self.old_hosts(old.address).skip(from).take(size);
            if self.drains_first {
                told(&|| agent.list_all_as("leaving", changed()));
            }
            let names: Vec<String> = changed().map(|(name, ..)| name).collect();
            let successors =
                || changed().map(|(name, dest, _)| (name.replace("old", "new"), dest, new.address));
            told(&|| {
                if !self.drains_first {
                    agent.unlist(&names.iter().map(String::as_str).collect::<Vec<_>>());
                }
                agent.list_all(successors());
            });
        }
    }

    /// Plays the replacement and the end of the process. Returns the relay that was started while discovery is
    /// down, with the agent, the address of the old hosts and that of the new ones.
    fn play(&self, end: End) -> (Relay, Agent, Host, Host) {
        let (old, new) = (Host::ok(), Host::ok());
        let agent = Agent::new(&[]);
        agent.list_all(self.old_hosts(old.address));
        let mut relay = Relay::with(program!(), self.config(&agent, &old), &agent);
        until("a watch", || (agent.watches() > 0).then_some(()));
        self.replace_hosts(&agent, &old, &new);
        agent.set_down(true);
        let relay = match end {
            End::Kill => relay.killed(|_| ()),
            End::Terminate => {
                relay.terminate();
                relay.wait_exit();
                relay.killed(|_| ())
            }
            End::TakeoverThenKill => {
                let next = relay.beside();
                relay.wait_exit();
                next.killed(|_| ())
            }
        };
        (relay, agent, old, new)
    }

    /// Submits messages for the destinations whose hosts left first and last, and checks that they go to the
    /// new hosts.
    fn check(&self, end: End) {
        let (relay, _agent, old, new) = self.play(end);
        let destinations = [0, 1, self.hosts / 2, self.hosts - 1];
        for dest in destinations {
            relay.take("safe", &format!("m{dest}"), dest as u64);
        }
        until("deliveries to hosts that the earlier process was told of", || {
            destinations.iter().all(|dest| new.delivered(&format!("m{dest}"))).then_some(())
        });
        assert_eq!(old.received().len(), 0, "{end:?}: a message went to the address of a host that has left");
    }
}

/// Guards against messages that go to hosts that left, and so to whoever has their address now: the folder
/// kept only the newest 128 departures. As many hosts as on an ordinary day of a fleet ten times as large as
/// usual, and as in the largest fleet; in few changes and in many; pushed and asked for; over a kill, SIGTERM
/// and a takeover.
#[test]
fn no_host_that_left_gets_messages_after_a_restart_without_discovery() {
    let day = Replacement { hosts: 300, changes: 6, drains_first: true, disk_mb: 3.0, asks: false };
    day.check(End::Kill);
    Replacement { changes: 150, drains_first: false, ..day }.check(End::Terminate);
    Replacement { asks: true, ..day }.check(End::TakeoverThenKill);
    let largest = Replacement { hosts: 3200, changes: 1, ..day };
    largest.check(End::Kill);
    Replacement { drains_first: false, ..largest }.check(End::TakeoverThenKill);
}

/// Guards against the same where the folder has no space for the list: what is known then is not enough to
/// send by, so messages wait until discovery answers.
#[test]
fn nothing_is_sent_before_discovery_answers_if_the_list_was_not_stored() {
    for asks in [false, true] {
        let small = Replacement { hosts: 300, changes: 2, drains_first: true, disk_mb: 0.05, asks };
        let (relay, agent, old, new) = small.play(End::Kill);
        // The destinations are not known, so the relay refuses or queues.
        let first = relay.submit("safe", "early", 0).status();
        assert!([202, 503].contains(&first), "{first}");
        std::thread::sleep(Duration::from_millis(500));
        agent.set_down(false);
        relay.submit_accepted_once_listed("safe", "m", 0);
        until("the delivery", || new.delivered("m").then_some(()));
        assert_eq!(old.received().len(), 0, "a message went to the address of a host that has left");
    }
}
