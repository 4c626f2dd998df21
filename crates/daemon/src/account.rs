//! `serve --account`: logs how slots and waiting time were used, and sums up such lines.

use linenhall::{Action, Event, Relay, Settings};
use mulleinslip_account::{Account, UsageReport};
use mulleinslip_engine::Observer;
use std::cell::RefCell;
use std::fs;
use std::path::Path;
use std::rc::Rc;

/// Precedes the report in a line of the log.
const LINE_PREFIX: &str = "account ";
/// Interval between lines.
const LOG_INTERVAL_MS: f64 = 1000.0;

struct LoggerState {
    account: Account,
    /// Time of the last line.
    logged_at: f64,
    /// Time of the last round.
    now: f64,
}

/// Logs the usage report of this process. Clones share their state.
#[derive(Clone)]
pub struct UsageLogger(Rc<RefCell<LoggerState>>);

impl UsageLogger {
    pub fn new(settings: &Settings, now: f64) -> UsageLogger {
        UsageLogger(Rc::new(RefCell::new(LoggerState {
            account: Account::new(settings),
            logged_at: now,
            now,
        })))
    }

    /// Logs the last report, when the process stops serving.
    pub fn finish(&self) {
        let mut state = self.0.borrow_mut();
        let now = state.now;
        log_report(&state.account.take_report(now, true));
    }
}

impl Observer for UsageLogger {
    fn round(&mut self, now: f64, events: &[Event], actions: &[Action], relay: &Relay) {
        let mut state = self.0.borrow_mut();
        state.now = now;
        state.account.record_round(now, events, actions, relay);
        if now - state.logged_at >= LOG_INTERVAL_MS {
            state.logged_at = now;
            log_report(&state.account.take_report(now, false));
        }
    }
}

fn log_report(report: &UsageReport) {
    match serde_json::to_string(report) {
        Ok(text) => eprintln!("mulleinslip: {LINE_PREFIX}{text}"),
        Err(e) => eprintln!("mulleinslip: cannot write the account: {e}"),
    }
}

/// Sums up the reports in these logs, of all relays and processes.
pub fn read(files: &[&str]) -> Result<UsageReport, String> {
    let mut total = UsageReport::default();
    let mut lines = 0;
    for file in files {
        let text = fs::read(Path::new(file)).map_err(|e| format!("{file}: {e}"))?;
        for (index, line) in String::from_utf8_lossy(&text).lines().enumerate() {
            let Some((_, json)) = line.split_once(LINE_PREFIX) else { continue };
            // A process that was killed may have left an incomplete line.
            match serde_json::from_str::<UsageReport>(json) {
                Ok(report) => total.add(&report),
                Err(e) if e.is_eof() => {}
                Err(e) => return Err(format!("{file}: line {}: {e}", index + 1)),
            }
            lines += 1;
        }
    }
    if lines == 0 {
        return Err("no account lines found; mulleinslip serve --account writes them".into());
    }
    Ok(total)
}
