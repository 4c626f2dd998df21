//! Limits of the decision module that its users hold it to.

#[test]
fn the_module_stays_small_and_narrow() {
    let files =
        [("limits.rs", include_str!("../src/limits.rs")), ("logic.rs", include_str!("../src/logic.rs"))];
    let deploy = include_str!("../../../deploy/balancer.toml");
    for (name, text) in files {
        // What decides is named to those who run it.
        assert!(deploy.contains(&format!("\"crates/linenhall/src/{name}\"")), "{name} is not under policy");
        for (n, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{name}, line {} is too long", n + 1);
        }
    }
    assert!(files[1].1.lines().next().is_some_and(|l| l.contains("src/interface.rs")));
}
