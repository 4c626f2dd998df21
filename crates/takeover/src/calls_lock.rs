//! A lock in the state folder that a process holds from the moment it lets another one take over until its
//! own calls have ended. The process that has taken over is told of these calls. One that starts after that
//! process has died is not, and has to wait for the lock: a message must never have two attempts in flight.
//!
//! Takeovers may follow each other, so there are several files, and each process holds one of its own.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// Names of the files in the state folder, which stay empty: one for each process that may have calls in flight at a
/// time. Earlier versions know the first one.
const FILE_NAMES: [&str; 4] = ["calls", "calls-1", "calls-2", "calls-3"];

/// The lock, held until it is dropped.
#[derive(Debug)]
pub struct CallsLock {
    _file: File,
}

fn open(folder: &Path, name: &str) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(folder.join(name))
}

/// Locks a file of the folder, and returns `None` if another process has locked it.
fn try_lock(folder: &Path, name: &str) -> io::Result<Option<File>> {
    let file = open(folder, name)?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

impl CallsLock {
    /// Holds the lock until the end of the process.
    pub fn hold_until_exit(self) {
        std::mem::forget(self);
    }

    /// Takes the lock.
    ///
    /// # Errors
    /// Any error of opening and locking the files. `WouldBlock` if other processes hold all of them.
    pub fn take(folder: &Path) -> io::Result<CallsLock> {
        for name in FILE_NAMES {
            if let Some(file) = try_lock(folder, name)? {
                return Ok(CallsLock { _file: file });
            }
        }
        let why = format!("{} other processes have calls in flight", FILE_NAMES.len());
        Err(io::Error::new(io::ErrorKind::WouldBlock, why))
    }

    /// Returns the locks that are held now.
    ///
    /// # Errors
    /// Any error of opening and locking the files.
    pub fn held(folder: &Path) -> io::Result<HeldLocks> {
        let mut names = Vec::new();
        for name in FILE_NAMES {
            if try_lock(folder, name)?.is_none() {
                names.push(name);
            }
        }
        Ok(HeldLocks { folder: folder.to_path_buf(), names })
    }
}

/// Locks that processes held at some time.
#[derive(Debug, Default)]
pub struct HeldLocks {
    folder: PathBuf,
    names: Vec<&'static str>,
}

impl HeldLocks {
    /// Returns whether any of them is still held.
    ///
    /// # Errors
    /// Any error of opening and locking the files.
    pub fn any_remains(&self) -> io::Result<bool> {
        for name in &self.names {
            if try_lock(&self.folder, name)?.is_none() {
                return Ok(true);
            }
        }
        Ok(false)
    }
}
