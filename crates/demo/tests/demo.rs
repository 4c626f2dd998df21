//! The demo as a new user runs it.
use std::process::Command;

#[test]
fn the_demo_ends_with_one_answer_for_each_message() {
    let out =
        Command::new(env!("CARGO_BIN_EXE_mulleinslip-demo")).env_remove("ROUTER_CONFIG").output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout);
    assert!(out.status.success(), "{text}{}", String::from_utf8_lossy(&out.stderr));
    let ends = [
        "order-1 delivered after 1 ",
        "order-2 delivered after 2 ",
        "order-3 undeliverable",
        "stock-1 delivered after",
    ];
    // Columns apart, the words as they are.
    let words: Vec<String> =
        text.lines().map(|l| l.split_whitespace().skip(1).collect::<Vec<_>>().join(" ")).collect();
    for end in ends {
        assert!(words.iter().any(|w| w.starts_with(end)), "{end}: {text}");
    }
    assert!(words.iter().any(|w| w.starts_with("stock-2 deferred")), "{text}");
    assert!(words.iter().any(|w| w.starts_with("stock-3 safe 503, come again in")), "{text}");
}
