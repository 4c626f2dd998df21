//! A lock in the state folder that a process holds from the moment it lets another one take over until its
//! own calls have ended. The process that has taken over is told of these calls. One that starts after that
//! process has died is not, and has to wait for the lock: a message must never have two attempts in flight.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::Path;

/// Name of the file in the state folder. It stays empty.
const FILE_NAME: &str = "calls";

/// The lock, held until it is dropped. Several processes can hold it at once, as takeovers may follow each
/// other.
#[derive(Debug)]
pub struct CallsLock {
    _file: File,
}

fn open(folder: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(folder.join(FILE_NAME))
}

impl CallsLock {
    /// Holds the lock until the end of the process.
    pub fn hold_until_exit(self) {
        std::mem::forget(self);
    }

    /// Takes the lock. Waits for a process that is just checking it, see [`CallsLock::is_held`].
    ///
    /// # Errors
    /// Any error of opening and locking the file.
    pub fn take(folder: &Path) -> io::Result<CallsLock> {
        let file = open(folder)?;
        file.lock_shared()?;
        Ok(CallsLock { _file: file })
    }

    /// Returns whether any process holds the lock.
    ///
    /// # Errors
    /// Any error of opening and locking the file.
    pub fn is_held(folder: &Path) -> io::Result<bool> {
        match open(folder)?.try_lock() {
            Ok(()) => Ok(false),
            Err(TryLockError::WouldBlock) => Ok(true),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }
}
