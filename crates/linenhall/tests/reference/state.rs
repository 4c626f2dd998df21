//! Plain records of what a relay remembers, and the arithmetic of a decaying rate. Nothing here decides.

use linenhall::{Listed, Outcome, Settings};
use std::collections::VecDeque;

/// A decaying rate a second, with the memory `tau` in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    tau: f64,
    born: Option<f64>,
    at: f64,
    sum: f64,
}

impl Meter {
    pub fn new(tau: f64) -> Self {
        Meter { tau, born: None, at: 0.0, sum: 0.0 }
    }
    pub fn add(&mut self, now: f64, n: f64) {
        self.born.get_or_insert(now);
        self.sum = self.sum * (-(now - self.at).max(0.0) / self.tau).exp() + n;
        self.at = now;
    }
    /// The rate. A young meter reckons as if it had always been so, but from half a memory at least, so that
    /// a first clump does not look like a flood.
    pub fn rate(&self, now: f64) -> f64 {
        let age = self.born.map_or(0.0, |born| (now - born) / self.tau).max(0.5);
        self.sum * (-(now - self.at).max(0.0) / self.tau).exp() * 1000.0 / self.tau / (1.0 - (-age).exp())
    }
}

/// Health of a lane.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Phase {
    #[default]
    Well,
    /// Only single trial calls go out.
    Out,
    /// Back since then, and perhaps still cold.
    Ramp(f64),
}

pub type LaneId = (u64, String);

/// What shares a limit and a health.
#[derive(Clone, Debug, Default)]
pub struct Lane {
    pub wait_until: f64,
    pub told: Option<f64>,
    pub pace: Option<f64>,
    pub tokens: f64,
    pub filled: f64,
    pub cut_at: f64,
    pub latency: Option<(f64, f64)>,
    pub phase: Phase,
    pub trial_at: f64,
    pub backoff: f64,
    pub trial_out: bool,
    pub probe_good: bool,
    /// Out, and what failed last was answered: it is there, but fails.
    pub answers: bool,
    pub good: u32,
    pub failing: bool,
    pub before: f64,
    /// Shut for late answers, with no failure seen.
    pub unproved: bool,
    pub fails: u32,
    pub share: f64,
    pub fulls: u32,
    pub full_since: f64,
    pub good_at: f64,
    pub sent: VecDeque<(f64, f64)>,
    pub soon: Meter,
    pub usual: Meter,
}

/// An endpoint of the list.
#[derive(Clone, Debug, Default)]
pub struct Host {
    pub dest: u64,
    pub zone: u32,
    pub kind: usize,
    pub listed: Listed,
    pub out: usize,
    pub fails: u32,
    pub shun_until: f64,
    pub conns: usize,
    pub used_at: f64,
}

impl Host {
    /// A call starts; connections are reckoned from the calls that were out at once.
    pub fn begin(&mut self, now: f64, idle_ms: f64, streams: usize) {
        if now - self.used_at >= idle_ms && self.out == 0 {
            self.conns = 0;
        }
        self.out += 1;
        self.used_at = now;
        self.conns = self.conns.max(self.out.div_ceil(streams));
    }
}

#[derive(Clone, Debug, Default)]
pub struct Dest {
    pub hold: VecDeque<u64>,
    pub credit: i128,
    pub out: usize,
    pub full_logged: bool,
}

impl Dest {
    /// Takes a request out of the hold; a queue that empties starts at zero again.
    pub fn drop(&mut self, id: u64) {
        self.hold.retain(|x| *x != id);
        if self.hold.is_empty() {
            (self.credit, self.full_logged) = (0, false);
        }
    }
}

/// A call that is out; with batches it carries several requests.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub lane: LaneId,
    pub host: String,
    pub sent: f64,
    pub left: usize,
    pub counted: bool,
    pub called_off: bool,
    /// Later calls to the endpoint that were delivered since.
    /// It carries an unsafe request.
    pub fragile: bool,
    pub trial: bool,
    pub aim: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Msg {
    pub class: usize,
    pub tenant: usize,
    pub key: Option<String>,
    pub born: f64,
    pub due: f64,
    pub dest: u64,
    pub seq: u64,
    pub tries: u32,
    /// The first send that may have run: when, where.
    pub maybe: Option<(f64, String)>,
    /// Attempts out: number, call, whether a cancel was asked.
    pub flying: Vec<(u32, u64)>,
    pub held: bool,
    pub not_before: f64,
    pub over: bool,
    pub started: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Key {
    pub line: VecDeque<u64>,
    pub rest: f64,
    pub last: u64,
}

/// What the end of a call or probe shows of its lane and endpoint.
pub struct Seen<'a> {
    pub lane: &'a LaneId,
    pub host: &'a str,
    pub outcome: Outcome,
    pub took: f64,
    pub wait: f64,
    pub trial: bool,
}

/// A figure that can be reckoned with.
pub fn sane(x: f64, low: f64, high: f64) -> f64 {
    if x.is_nan() {
        low
    } else {
        x.clamp(low, high)
    }
}

fn set_sane(x: &mut f64, low: f64, high: f64) {
    *x = sane(*x, low, high);
}

/// Settings with figures that can be reckoned with, whatever was handed in.
pub fn reckonable(mut s: Settings) -> Settings {
    s.relays = s.relays.max(1);
    s.conn_streams = s.conn_streams.max(1);
    s.max_open = s.max_open.max(1);
    set_sane(&mut s.tick_ms, 0.0, 1e9);
    set_sane(&mut s.cold_share, 0.0, 1.0);
    set_sane(&mut s.warm_after_ms, 1.0, 1e9);
    set_sane(&mut s.fall_multiple, 0.0, 1e9);
    set_sane(&mut s.fall_ms, 1.0, 1e9);
    set_sane(&mut s.order_pause_ms, 0.0, 1e9);
    set_sane(&mut s.conn_idle_ms, 0.0, 1e9);
    set_sane(&mut s.max_retry_after_ms, 0.0, 1e9);
    set_sane(&mut s.over_share_worth, 0.0, 1.0);
    for rate in &mut s.tenant_rates {
        set_sane(rate, 0.0, 1e9);
    }
    for c in &mut s.classes {
        set_sane(&mut c.aim_ms, 1.0, 1e9);
        set_sane(&mut c.deadline_ms, 1.0, 1e9);
        set_sane(&mut c.window_ms, 0.0, 1e9);
        set_sane(&mut c.worth, 0.0, 1e9);
        set_sane(&mut c.late_worth, 0.0, 1.0);
    }
    s
}
