//! Runs the demo as a new user does.
use std::process::Command;

/// Guards against a demo that a change in the relay or the stand-ins broke: it fails, or a message doesn't
/// get the final answer that the demo is to show.
#[test]
fn demo_prints_the_expected_answer_for_each_message() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_mulleinslip-demo")).env_remove("ROUTER_CONFIG").output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "the demo failed; it printed:\n{text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let ends = [
        "order-1 delivered after 1 ",
        "order-2 delivered after 2 ",
        "order-3 undeliverable",
        "stock-1 delivered after",
    ];
    // Each line without its first column (the time), the columns parted by one space.
    let rows: Vec<String> =
        text.lines().map(|line| line.split_whitespace().skip(1).collect::<Vec<_>>().join(" ")).collect();
    for end in ends {
        assert!(
            rows.iter().any(|row| row.starts_with(end)),
            "no line starts with {end:?}; the demo printed:\n{text}"
        );
    }
    assert!(
        rows.iter().any(|row| row.starts_with("stock-2 deferred")),
        "stock-2 was not deferred; the demo printed:\n{text}"
    );
    assert!(
        rows.iter().any(|row| row.starts_with("stock-3 safe 503, retry after")),
        "stock-3 was not rejected with a retry time; the demo printed:\n{text}"
    );
}
