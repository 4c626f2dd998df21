//! Limits of the decision module that its users hold it to.

#[test]
fn the_module_stays_small_and_narrow() {
    let text = include_str!("../src/logic.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1200, "{lines} lines");
    for (n, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", n + 1);
    }
    assert!(text.lines().next().is_some_and(|l| l.contains("src/interface.rs")));
}
