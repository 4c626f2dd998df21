//! Plain records of what a relay remembers. Nothing here decides.

use crate::fleet::{EndpointGroupId, Name};
use crate::index::group_calls::Kind;
use crate::index::sub_queue::QueuedMessage;
use crate::index::At;
use crate::interface::{Class, Outcome, Settings, ValueDecay};
pub use crate::meter::Meter;

/// A call that is out; with batches it carries several requests.
#[derive(Clone, Debug)]
pub struct Call {
    pub group: EndpointGroupId,
    pub kind: Kind,
    pub sent: f64,
    /// The requests that wait for its end.
    pub riders: Vec<u64>,
    pub counted: bool,
    pub called_off: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Msg {
    pub class: usize,
    pub tenant: usize,
    pub key: Option<Name>,
    pub born: f64,
    pub due: f64,
    pub dest: u64,
    pub seq: u64,
    pub tries: u32,
    /// The first send that may have run: when, where.
    pub maybe: Option<(f64, Name)>,
    /// Attempts out: number and call.
    pub flying: Vec<(u32, u64)>,
    pub held: bool,
    pub not_before: f64,
    pub over: bool,
    pub started: bool,
    /// See [`crate::fleet::SubQueueKey::untried`].
    pub untried: bool,
}

/// What a destination would send next.
#[derive(Clone, Debug)]
pub enum Look {
    Nothing,
    Send(u64, Name),
    Probe(Name),
}

/// A message as it stands in its group.
pub fn queued_message(id: u64, m: &Msg) -> QueuedMessage {
    QueuedMessage { due: At::new(m.due), seq: m.seq, id, born: At::new(m.born) }
}

/// What the end of a call or probe shows of its lane and endpoint.
pub struct Seen<'a> {
    pub group: &'a EndpointGroupId,
    pub host: &'a str,
    pub outcome: Outcome,
    pub took: f64,
    pub wait: f64,
    pub trial: bool,
}

/// Due times between which the worth of requests of a class, and so what they lose between two times, only
/// rises or only falls: where they get late, where the late worth is reached, where they end.
pub fn marks(value_decay: ValueDecay, c: &Class, times: [f64; 2]) -> [f64; 6] {
    let fades = match value_decay {
        ValueDecay::Halving => c.aim_ms * -c.late_value.max(1e-9).log2(),
        ValueDecay::Linear => c.deadline_ms - c.aim_ms,
    };
    let of = |t: f64| {
        let late = t - c.aim_ms + c.deadline_ms;
        [late, late - fades, t.next_up()]
    };
    let ([a, b, c], [d, e, f]) = (of(times[0]), of(times[1]));
    let mut marks = [a, b, c, d, e, f];
    marks.sort_unstable_by(f64::total_cmp);
    marks
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
    set_sane(&mut s.over_share_value, 0.0, 1.0);
    for rate in &mut s.tenant_rates {
        set_sane(rate, 0.0, 1e9);
    }
    for c in &mut s.classes {
        set_sane(&mut c.aim_ms, 1.0, 1e9);
        set_sane(&mut c.deadline_ms, 1.0, 1e9);
        set_sane(&mut c.dedup_window_ms, 0.0, 1e9);
        set_sane(&mut c.value, 0.0, 1e9);
        set_sane(&mut c.late_value, 0.0, 1.0);
    }
    s
}
