//! `serve --audit`: one message can be followed by its id through a process.
use mulleinslip_testkit::*;
const PROGRAM: Program = mulleinslip_testkit::program!();

fn steps(relay: &Relay, id: &str) -> Vec<String> {
    relay.audit(id).into_iter().map(|(name, _)| name).collect()
}

#[test]
fn each_step_of_a_message_is_a_line_with_its_id() {
    let host = Host::first(vec![Reply::Status(500)]);
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::with_arguments(PROGRAM, &agent, &["serve", "--audit"]);
    relay.take("unsafe", "m", 1);
    let wanted = ["handed", "answered", "answer_written", "begun", "ended", "final", "notified"];
    until("the last step", || (steps(&relay, "m").len() == wanted.len()).then_some(()));
    let mut found = steps(&relay, "m");
    found.sort_by_key(|name| wanted.iter().position(|w| w == name));
    assert_eq!(found, wanted);
    let audit = relay.audit("m");
    let step = |name: &str| audit.iter().find(|(n, _)| n == name).map(|(_, step)| step.clone()).unwrap();
    assert_eq!(step("answered")["status"], 202);
    assert_eq!((&step("begun")["endpoint"], &step("begun")["carried"]), (&"a".into(), &0.into()));
    assert_eq!(step("ended")["status"], 500);
    assert_eq!(step("final")["outcome"], "undeliverable");
    assert_eq!(step("notified")["status"], 204);
}

#[test]
fn without_the_argument_there_is_no_audit() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.take("unsafe", "m", 1);
    host.wait_reuse(&relay, 1);
    assert!(!relay.logged("audit {"));
}
