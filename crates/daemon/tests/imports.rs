//! No circle of imports: between packages, and between the files of each.
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

type Arrows = BTreeMap<String, BTreeSet<String>>;

/// A circle, if there is one: what is left when whatever points at nothing is taken away again and again.
fn circle(mut arrows: Arrows) -> Vec<String> {
    loop {
        let ends: BTreeSet<String> = arrows.iter().filter(|a| a.1.is_empty()).map(|a| a.0.clone()).collect();
        if ends.is_empty() {
            return arrows.into_keys().collect();
        }
        arrows.retain(|name, _| !ends.contains(name));
        arrows.values_mut().for_each(|to| to.retain(|name| !ends.contains(name)));
    }
}

fn crates() -> Vec<PathBuf> {
    let all = std::fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("..")).unwrap();
    all.flatten().map(|e| e.path()).filter(|p| p.join("Cargo.toml").exists()).collect()
}

/// Modules of a package, by their first name under the crate's root, and which others each names.
fn files(package: &Path) -> Arrows {
    let mut texts: BTreeMap<String, String> = BTreeMap::new();
    let mut folders = vec![package.join("src")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).into_iter().flatten().flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|e| e == "rs") {
                let inner = path.strip_prefix(package.join("src")).unwrap().with_extension("");
                let name = inner.components().next().unwrap().as_os_str().to_string_lossy().into_owned();
                let text = std::fs::read_to_string(&path).unwrap();
                // What comments point at is no import.
                let code = text.lines().filter(|l| !l.trim_start().starts_with("//"));
                code.for_each(|l| texts.entry(name.clone()).or_default().push_str(l));
            }
        }
    }
    let names: Vec<String> = texts.keys().filter(|n| *n != "lib" && *n != "main").cloned().collect();
    let arrows = names.iter().map(|name| {
        let text = &texts[name];
        // The root points at every file: what comes through it closes a circle that no name shows.
        let through = text.split("crate::").skip(1).find(|t| !t.starts_with(char::is_lowercase));
        assert!(through.is_none(), "{}: {name} imports from the root", package.display());
        let to = names.iter().filter(|other| *other != name && text.contains(&format!("crate::{other}")));
        (name.clone(), to.cloned().collect())
    });
    arrows.collect()
}

#[test]
fn there_is_no_circle_of_imports() {
    let names = ["a", "b", "c"].map(String::from);
    let ring = |n: usize| (names[n].clone(), BTreeSet::from([names[(n + 1) % 3].clone()]));
    assert_eq!(circle((0..3).map(ring).collect()).len(), 3, "a circle is found");

    let all = crates();
    assert!(all.len() >= 10, "{all:?}");
    let mut packages = Arrows::new();
    for package in &all {
        let found = circle(files(package));
        assert!(found.is_empty(), "{}: {found:?}", package.display());
        let manifest = std::fs::read_to_string(package.join("Cargo.toml")).unwrap();
        let name = |line: &str| line.split(['.', ' ', '=']).next().unwrap_or("").to_string();
        let own =
            manifest.lines().find_map(|l| l.strip_prefix("name = ")).unwrap().trim_matches('"').to_string();
        let uses = manifest.split("[dependencies]").nth(1).unwrap_or("").split("\n[").next().unwrap_or("");
        let ours = |n: &String| n.starts_with("mulleinslip") || n == "linenhall";
        packages.insert(own, uses.lines().map(name).filter(ours).collect());
    }
    assert!(packages["mulleinslip-engine"].contains("linenhall"));
    assert_eq!(circle(packages), Vec::<String>::new());
    // The engine has no I/O among its dependencies.
    let engine = std::fs::read_to_string(all[0].join("../engine/Cargo.toml")).unwrap();
    assert!(!engine.contains("tokio") && !engine.contains("hyper"));
}
