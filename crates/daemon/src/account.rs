//! `serve --account`: the books of slots and waits as lines in the log, and the reading of such lines.

use linenhall::{Action, Event, Relay, Settings};
use mulleinslip_account::{Account, UsageReport};
use mulleinslip_engine::Observer;
use std::cell::RefCell;
use std::fs;
use std::path::Path;
use std::rc::Rc;

/// Begins a line with a sheet.
const MARK: &str = "account ";
/// A line so often.
const EVERY_MS: f64 = 1000.0;

struct Books {
    account: Account,
    wrote: f64,
    now: f64,
}

/// The books of this process. Cloned, they are the same ones.
#[derive(Clone)]
pub struct UsageLogger(Rc<RefCell<Books>>);

impl UsageLogger {
    pub fn new(settings: &Settings, now: f64) -> UsageLogger {
        UsageLogger(Rc::new(RefCell::new(Books { account: Account::new(settings), wrote: now, now })))
    }

    /// The process's part of the serving is over.
    pub fn end(&self) {
        let mut books = self.0.borrow_mut();
        let now = books.now;
        write(&books.account.take(now, true));
    }
}

impl Observer for UsageLogger {
    fn round(&mut self, now: f64, events: &[Event], actions: &[Action], relay: &Relay) {
        let mut books = self.0.borrow_mut();
        books.now = now;
        books.account.round(now, events, actions, relay);
        if now - books.wrote >= EVERY_MS {
            books.wrote = now;
            write(&books.account.take(now, false));
        }
    }
}

fn write(usage_report: &UsageReport) {
    match serde_json::to_string(usage_report) {
        Ok(text) => eprintln!("mulleinslip: {MARK}{text}"),
        Err(e) => eprintln!("mulleinslip: no account: {e}"),
    }
}

/// Adds up what stands in these logs, of all relays and processes.
pub fn read(files: &[&str]) -> Result<UsageReport, String> {
    let mut sum = UsageReport::default();
    let mut lines = 0;
    for file in files {
        let text = fs::read(Path::new(file)).map_err(|e| format!("{file}: {e}"))?;
        for (n, line) in String::from_utf8_lossy(&text).lines().enumerate() {
            let Some((_, usage_report)) = line.split_once(MARK) else { continue };
            // A process that was killed may have left half a line.
            match serde_json::from_str::<UsageReport>(usage_report) {
                Ok(usage_report) => sum.add(&usage_report),
                Err(e) if e.is_eof() => {}
                Err(e) => return Err(format!("{file}: line {}: {e}", n + 1)),
            }
            lines += 1;
        }
    }
    if lines == 0 {
        return Err("no line with an account; mulleinslip serve --account writes them".into());
    }
    Ok(sum)
}
