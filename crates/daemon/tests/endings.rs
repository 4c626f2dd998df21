//! The program on loopback at the instants in which something ends and something else is still owed. Each test holds the
//! other side at that instant and lets it go on; docs/endings.md has the table of these paths.
use mulleinslip_testkit::*;
const PROGRAM: Program = mulleinslip_testkit::program!();

/// Given up, a message in order is over for the next of its key once its sender has heard, by the notice's confirmation,
/// and no earlier; so it is in the process that gave it up and in one that starts with the notice still owed.
#[test]
fn the_next_of_a_key_waits_until_the_end_of_the_one_before_is_confirmed() {
    for kill in [false, true] {
        let host = Host::ok();
        let agent = Agent::new(&[]);
        agent.hold(1);
        agent.reply_to_notices(vec![500; 10_000]);
        let mut relay = Relay::start(PROGRAM, &agent);
        assert_eq!(relay.client().hand_in("ordered/k", "first", 1, 100, b"").status(), 202);
        assert_eq!(relay.client().hand_in("ordered/k", "second", 1, 5000, b"").status(), 202);
        assert_eq!(agent.wait_notice("first")["status"], "deferred");
        if kill {
            relay = relay.killed(|_| {});
        }
        agent.list("a", 1, host.address, "active");
        // Where one of another key goes, the second could have gone as well.
        relay.take_once_listed("ordered/other", "other", 1);
        until("the other key's delivery", || host.delivered("other").then_some(()));
        assert_eq!(host.calls_of("second"), 0, "killed: {kill}");
        agent.reply_to_notices(Vec::new());
        until("the second", || host.delivered("second").then_some(()));
        assert_eq!(host.calls_of("first"), 0);
    }
}
