//! A short transcript by hand, and what is said of bad input.
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_linenhall-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A child that stops at bad input may close the pipe before all is written.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

const SETTINGS: &str = "Balancers=2 Discovery=push Domain.BatchByKind=1 Domain.Slots=4 Limits.MaxOpen=20 \
    Limits.MaxAttempts=3 Profiles.count=1 Profiles.0.AimMs=1000.0 Profiles.0.DeadlineMs=5000.0 \
    Profiles.0.Effect=retryable Profiles.0.Points=1.0 Safety.ColdShare=0.2 Safety.WarmAfterMs=9000.0 \
    Safety.FallMultiple=2.0 Safety.FallMs=3000.0 TickMs=5.0 Some.NewKey=7";

fn start() -> String {
    format!(
        "MARK 100.5 1\nOVER_TO_YOU\nMARK 200.5 2\nSELECT relay_1\nNEW_INSTANCE 42 {SETTINGS}\nDIRECTORY 0 1\n\
         ENTRY 0 5 10.0.0.1:7000 1 active - 0\nDISCOVERY cached 1 0\nOVER_TO_YOU\n"
    )
}

#[test]
fn a_message_goes_out_and_is_delivered() {
    let out = run(&format!(
        "{}MARK 300.5 3\nSELECT relay_1\nINBOUND 77 0 - - 5300.5 - 5 0\nOVER_TO_YOU\nMARK 350.5 4\n\
         SELECT relay_1\nREPLY 77 0 10.0.0.1:7000 S 50.0 1 - -\nOVER_TO_YOU\n",
        start()
    ));
    let text = String::from_utf8(out.stdout).unwrap();
    assert_eq!(out.status.code(), Some(0));
    assert!(text.starts_with("YIELD 1\nYIELD 2\nAT relay_1\nTRY 77 10.0.0.1:7000 "), "{text}");
    assert!(text.contains("YIELD 3\n") && text.ends_with("YIELD 4\n"), "{text}");
    assert!(!text.contains("REPORT_FAILURE") && !text.contains("SHED"));
}

#[test]
fn bad_input_is_named_in_one_line() {
    let begin = start();
    let cases = [
        (format!("{begin}MARK 300 3\nSELECT relay_1\nHELLO 1\nOVER_TO_YOU\n"), ["batch 3, line 3", "HELLO"]),
        (format!("{begin}MARK 300 3\nSELECT relay_9\nLEFT 1\nOVER_TO_YOU\n"), ["batch 3, line 3", "relay_9"]),
        (format!("{begin}MARK 300 3\nSELECT relay_1\nLEFT\n"), ["batch 3, line 3", "RequestId is missing"]),
        (format!("{begin}MARK 300 3\nSELECT relay_1\nDISCOVERY delta 4 9\n"), ["line 3", "DIRECTORY 9"]),
        (begin.replace("Domain.Slots=4 ", ""), ["batch 2, line 3", "Domain.Slots is missing"]),
        (
            begin.replace("Domain.Slots=4", "Domain.Slots=x"),
            ["batch 2, line 3", "Domain.Slots cannot be read"],
        ),
        (format!("{begin}MARK 300 3\nSELECT relay_1\n"), ["batch 3", "ends inside"]),
    ];
    for (input, said) in cases {
        let out = run(&input);
        let err = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(2), "{err}");
        assert_eq!(err.lines().count(), 1, "{err}");
        assert!(said.iter().all(|s| err.contains(s)), "{err}");
    }
}
