//! A short transcript, and error messages for invalid input.
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter with this standard input.
fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_linenhall-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A child that stops at invalid input may close the pipe before everything is written.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

const SETTINGS: &str = "Balancers=2 Discovery=push Domain.BatchByKind=1 Domain.Slots=4 Limits.MaxOpen=20 \
    Limits.MaxAttempts=3 Profiles.count=1 Profiles.0.AimMs=1000.0 Profiles.0.DeadlineMs=5000.0 \
    Profiles.0.Effect=retryable Profiles.0.Points=1.0 Safety.ColdShare=0.2 Safety.WarmAfterMs=9000.0 \
    Safety.FallMultiple=2.0 Safety.FallMs=3000.0 TickMs=5.0 Some.NewKey=7";

/// Two batches that create an instance with one endpoint.
fn start() -> String {
    format!(
        "MARK 100.5 1\nOVER_TO_YOU\nMARK 200.5 2\nSELECT relay_1\nNEW_INSTANCE 42 {SETTINGS}\nDIRECTORY 0 1\n\
         ENTRY 0 5 10.0.0.1:7000 1 active - 0\nDISCOVERY cached 1 0\nOVER_TO_YOU\n"
    )
}

/// A message is sent to the endpoint of its destination and neither refused nor failed after its delivery.
#[test]
fn a_message_is_sent_and_delivered() {
    let output = run(&format!(
        "{}MARK 300.5 3\nSELECT relay_1\nINBOUND 77 0 - - 5300.5 - 5 0\nOVER_TO_YOU\nMARK 350.5 4\n\
         SELECT relay_1\nREPLY 77 0 10.0.0.1:7000 S 50.0 1 - -\nOVER_TO_YOU\n",
        start()
    ));
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(text.starts_with("YIELD 1\nYIELD 2\nAT relay_1\nTRY 77 10.0.0.1:7000 "), "{text}");
    assert!(text.contains("YIELD 3\n") && text.ends_with("YIELD 4\n"), "{text}");
    assert!(!text.contains("REPORT_FAILURE") && !text.contains("SHED"));
}

/// Guards against error messages that don't tell the place and the cause of invalid input.
#[test]
fn invalid_input_is_reported_in_one_line() {
    let start_batches = start();
    let cases = [
        (
            format!("{start_batches}MARK 300 3\nSELECT relay_1\nHELLO 1\nOVER_TO_YOU\n"),
            ["batch 3, line 3", "HELLO"],
        ),
        (
            format!("{start_batches}MARK 300 3\nSELECT relay_9\nLEFT 1\nOVER_TO_YOU\n"),
            ["batch 3, line 3", "relay_9"],
        ),
        (
            format!("{start_batches}MARK 300 3\nSELECT relay_1\nLEFT\n"),
            ["batch 3, line 3", "RequestId is missing"],
        ),
        (
            format!("{start_batches}MARK 300 3\nSELECT relay_1\nDISCOVERY delta 4 9\n"),
            ["line 3", "DIRECTORY 9"],
        ),
        (start_batches.replace("Domain.Slots=4 ", ""), ["batch 2, line 3", "Domain.Slots is missing"]),
        (
            start_batches.replace("Domain.Slots=4", "Domain.Slots=x"),
            ["batch 2, line 3", "Domain.Slots cannot be read"],
        ),
        (format!("{start_batches}MARK 300 3\nSELECT relay_1\n"), ["batch 3", "ends inside"]),
    ];
    for (input, expected) in cases {
        let output = run(&input);
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "wrong exit status; error text: {stderr}");
        assert_eq!(stderr.lines().count(), 1, "the error is not one line: {stderr}");
        assert!(
            expected.iter().all(|s| stderr.contains(s)),
            "the place or the cause is missing in the error: {stderr}"
        );
    }
}
