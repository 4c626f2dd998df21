//! Folders for journals.

use std::fs;
use std::path::{Path, PathBuf};

/// Makes an empty folder of this name.
pub fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ignored = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}
