//! Checks that the source files with the decision policy are declared to the operators and keep their line
//! width.

#[test]
fn policy_files_are_listed_for_deployment_and_keep_lines_within_110_characters() {
    let files =
        [("limits.rs", include_str!("../src/limits.rs")), ("logic.rs", include_str!("../src/logic.rs"))];
    let deploy = include_str!("../../../deploy/balancer.toml");
    for (name, source) in files {
        // deploy/balancer.toml names the files that hold the policy to the operators.
        assert!(
            deploy.contains(&format!("\"crates/linenhall/src/{name}\"")),
            "{name} is not listed as policy in deploy/balancer.toml"
        );
        for (index, line) in source.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{name}, line {} is longer than 110 characters", index + 1);
        }
    }
    assert!(files[1].1.lines().next().is_some_and(|l| l.contains("src/interface.rs")));
}
