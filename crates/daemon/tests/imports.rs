//! Checks that imports have no cycle, neither between packages nor between the modules of a package.
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// The modules or packages that each one imports, by name.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// Returns the nodes that are on a cycle or import one, none if there is no cycle: removes nodes without
/// imports until none is left to remove.
fn find_cycle(mut imports: Imports) -> Vec<String> {
    loop {
        let leaves: BTreeSet<String> =
            imports.iter().filter(|i| i.1.is_empty()).map(|i| i.0.clone()).collect();
        if leaves.is_empty() {
            return imports.into_keys().collect();
        }
        imports.retain(|name, _| !leaves.contains(name));
        imports.values_mut().for_each(|targets| targets.retain(|name| !leaves.contains(name)));
    }
}

/// Returns the folders of all packages of the workspace.
fn package_folders() -> Vec<PathBuf> {
    let entries = std::fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("..")).unwrap();
    entries.flatten().map(|e| e.path()).filter(|p| p.join("Cargo.toml").exists()).collect()
}

/// Returns the modules of a package, by their first name under the crate's root, and which of the others each
/// one names.
fn module_imports(package: &Path) -> Imports {
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
                // Names in comments are not imports.
                let code = text.lines().filter(|l| !l.trim_start().starts_with("//"));
                code.for_each(|l| texts.entry(name.clone()).or_default().push_str(l));
            }
        }
    }
    let names: Vec<String> = texts.keys().filter(|n| *n != "lib" && *n != "main").cloned().collect();
    let imports = names.iter().map(|name| {
        let text = &texts[name];
        // The root imports every module, so an import through the root closes a cycle that module names don't
        // show.
        let through_root = text.split("crate::").skip(1).find(|t| !t.starts_with(char::is_lowercase));
        assert!(through_root.is_none(), "{}: {name} imports from the root", package.display());
        let targets =
            names.iter().filter(|other| *other != name && text.contains(&format!("crate::{other}")));
        (name.clone(), targets.cloned().collect())
    });
    imports.collect()
}

#[test]
fn imports_have_no_cycle() {
    let names = ["a", "b", "c"].map(String::from);
    let ring_entry = |n: usize| (names[n].clone(), BTreeSet::from([names[(n + 1) % 3].clone()]));
    assert_eq!(find_cycle((0..3).map(ring_entry).collect()).len(), 3, "a cycle of three is not found");

    let folders = package_folders();
    assert!(folders.len() >= 10, "{folders:?}");
    let mut packages = Imports::new();
    for package in &folders {
        let found = find_cycle(module_imports(package));
        assert!(found.is_empty(), "{}: {found:?}", package.display());
        let manifest = std::fs::read_to_string(package.join("Cargo.toml")).unwrap();
        let name = |line: &str| line.split(['.', ' ', '=']).next().unwrap_or("").to_string();
        let own_name =
            manifest.lines().find_map(|l| l.strip_prefix("name = ")).unwrap().trim_matches('"').to_string();
        let dependencies =
            manifest.split("[dependencies]").nth(1).unwrap_or("").split("\n[").next().unwrap_or("");
        let in_workspace = |name: &String| name.starts_with("mulleinslip") || name == "linenhall";
        packages.insert(own_name, dependencies.lines().map(name).filter(in_workspace).collect());
    }
    assert!(packages["mulleinslip-engine"].contains("linenhall"));
    assert_eq!(find_cycle(packages), Vec::<String>::new());
    // The engine must not depend on packages that do I/O.
    let engine = std::fs::read_to_string(folders[0].join("../engine/Cargo.toml")).unwrap();
    assert!(!engine.contains("tokio") && !engine.contains("hyper"));
}
