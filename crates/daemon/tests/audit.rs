//! `serve --audit` writes a line with the message's id for each step of its life in a process.
use mulleinslip_testkit::*;
const PROGRAM: Program = mulleinslip_testkit::program!();

/// Returns the names of the audit steps of one message, in the order of the log.
fn steps(relay: &Relay, id: &str) -> Vec<String> {
    relay.audit(id).into_iter().map(|(name, _)| name).collect()
}

/// An unsafe message that fails with a 500 goes through each step once, up to the confirmed notice.
#[test]
fn audit_has_a_line_for_each_step_of_a_message() {
    let host = Host::first(vec![Reply::Status(500)]);
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::with_arguments(PROGRAM, &agent, &["serve", "--audit"]);
    relay.take("unsafe", "m", 1);
    let expected = ["handed", "answered", "answer_written", "begun", "ended", "final", "notified"];
    until("the last step", || (steps(&relay, "m").len() == expected.len()).then_some(()));
    let mut found = steps(&relay, "m");
    found.sort_by_key(|name| expected.iter().position(|step| step == name));
    assert_eq!(found, expected);
    let audit = relay.audit("m");
    let step = |name: &str| audit.iter().find(|(n, _)| n == name).map(|(_, step)| step.clone()).unwrap();
    assert_eq!(step("answered")["status"], 202);
    assert_eq!((&step("begun")["endpoint"], &step("begun")["carried"]), (&"a".into(), &0.into()));
    assert_eq!(step("ended")["status"], 500);
    assert_eq!(step("final")["outcome"], "undeliverable");
    assert_eq!(step("notified")["status"], 204);
}

#[test]
fn audit_is_off_without_the_argument() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.take("unsafe", "m", 1);
    host.wait_reuse(&relay, 1);
    assert!(!relay.logged("audit {"));
}
