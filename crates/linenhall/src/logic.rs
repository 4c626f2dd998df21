//! Interface: src/interface.rs. All decisions of linenhall; why each is as it is: docs/design.md.
//!
//! Parts, in this order: worth, endpoints and lanes (health, pacing, return), attempts and outcomes, the
//! hold, discovery, release (Most Credit First), ends of time. A lane is what shares one limit and health:
//! a whole destination, or one endpoint where the endpoints are routes apart.
//!
//! No event walks over what is held, out or listed: what changes marks its lane and destination, these are
//! looked at again before the round ends, and what time alone changes stands in an [`Agenda`].

use crate::fleet::{
    BreakerState, Destination, EndpointGroup, EndpointGroupId, Fleet, Host, Name, SubQueueKey,
};
use crate::index::agenda::Agenda;
use crate::index::credits::{turns, Credits};
use crate::index::group_calls::Kind;
use crate::index::sub_queue::QueuedMessage;
use crate::index::table::Table;
use crate::index::{spread, step, At};
use crate::interface::*;
use crate::keys::Keys;
use crate::limits::CUT_MS;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

const CREDIT_CAP: f64 = 8.0; // of the credit of a queue, either way
const SICK_DEVS: f64 = 4.0; // a call this many deviations over its mean outruns its latency (RFC 6298)
const OUT_FAILS: u32 = 5; // failures in a row, time-outs twice, on every endpoint, that shut a lane
const OUT_SHARE: f64 = 0.7; // or this share of failures of late
const GOODS: (u32, u32) = (2, 3); // trials delivered in a row that prove a return; if it answered errors
const SHUT_FULLS: u32 = 5; // refusals in a row, over SHUT_MS, that mean shut and not just over the limit
const SHUT_MS: f64 = 2000.0;
const TRIAL_MS: (f64, f64, f64, f64) = (500.0, 2000.0, 4000.0, 30000.0); // between trials: dense; sparse
const TRIAL_CROWD_MS: f64 = 1000.0; // in place of the least time for sparse ones, in a crowd
const RAMP_MS: f64 = 25.0; // between looks at a ramping lane with something held
const CROWD: f64 = 8.0; // from so many relays on a relay's own calls are few of all
const CUT: (f64, f64) = (0.85, 0.15); // of the pace, at a refusal; when sparse
const GAIN: (f64, f64) = (0.03, 0.3); // of the pace, for each delivery; when sparse
const GROW: f64 = 1.25; // a pace grows up to this multiple of what was delivered of late
const SPARE: f64 = 0.85; // left of the limit, with which a refusal is the endpoint's own
const SHUN_MS: f64 = 3000.0; // in the mean, of an endpoint that refuses while much of the limit is left
const SOON_MS: f64 = 2000.0; // the short memory for rates
const LONG_MS: f64 = 15000.0; // the long one
const KEEP_MS: f64 = 300.0; // an idle connection is kept if the next call on it is expected this soon
const HURT_MS: f64 = 60000.0; // or if no connection of its kind was refused or broke for so long
const LOSS_STEPS: f64 = 4294967296.0; // in a unit of worth
const URGENT: f64 = 1e15; // over any loss of worth: what a restart finds untried goes first, by its end
const ASK_MS: (f64, f64) = (500.0, 8000.0); // between failed calls for the list
const OVERDUE: usize = 16; // calls beyond their time that are looked at, the longest first
const LOST: f64 = 2.0; // of the time after which a call outruns its latency: so long it may just be slow
const TIES: usize = 3; // looks among equal credits for whose message is the oldest
const ENDS: (usize, f64) = (512, 4.0); // messages that end in one round at most; time for such a round
const LEAST_TIMER: f64 = 0.01; // ms
const WAY: f64 = 0.05; // of a window, left for a repeat's way: a new connection's first request is slower
const LEAST: (usize, usize) = (16, 4); // holds weighed anew when one must go: the least, the longest ago

impl EndpointGroup {
    fn new(now: f64) -> Self {
        let (soon, usual) = (Meter::new(SOON_MS), Meter::new(LONG_MS));
        EndpointGroup {
            tokens: 1.0,
            filled: now,
            backoff: TRIAL_MS.0,
            soon,
            usual,
            ..EndpointGroup::default()
        }
    }
    /// The time after which a call outruns this lane's measured latency.
    fn overrun(&self, aim: f64) -> f64 {
        self.latency.map_or(aim, |(mean, dev)| mean + (SICK_DEVS * dev).max(mean))
    }
}

/// Time-outs: generous, as the work runs on; none for what could not be tried again.
fn time_out(now: f64, l: &EndpointGroup, c: &Class, due: f64) -> Option<f64> {
    let base = l.overrun(c.aim_ms);
    let trial = l.phase == BreakerState::Open;
    let cap = if trial { base.max(c.aim_ms / 2.0) } else { (3.0 * base).max(c.aim_ms).min(2.0 * c.aim_ms) };
    let cap = cap * f64::from(1u32 << l.fails.min(2));
    (c.effect != Effect::Unsafe && now + cap < due).then_some(cap)
}

/// The decisions of one relay.
#[derive(Debug, Default)]
pub struct Relay {
    pub(crate) s: Settings,
    rng: fastrand::Rng,
    salt: u64,
    pub(crate) now: f64,
    pub(crate) seq: u64,
    pub(crate) msgs: Table<u64, Msg>,
    /// Destinations, endpoints and lanes.
    pub(crate) f: Fleet,
    pub(crate) calls: Table<u64, Call>,
    pub(crate) keys: Keys,
    /// Marked since they were last looked at.
    pub(crate) touched: (BTreeSet<EndpointGroupId>, BTreeSet<u64>),
    /// Destinations with something held, and the sum of their mean times.
    pub(crate) backlogged: (usize, u64),
    pub(crate) credits: Credits,
    /// Destinations that would send a probe next, and where.
    pub(crate) probing: BTreeMap<u64, Name>,
    /// What the destination that was looked at last would send, and when that was.
    pub(crate) looked: Option<(u64, Look)>,
    /// By time: the ends of held requests, what holds single ones back, destinations that may send from then
    /// on, lanes whose calls will have outrun their latency, and those one of whose calls, the one named,
    /// will have outrun all patience.
    pub(crate) ends: Agenda<At, u64>,
    pub(crate) resting: Agenda<At, u64>,
    pub(crate) wakes: Agenda<At, u64>,
    pub(crate) late: Agenda<At, EndpointGroupId>,
    pub(crate) overdue: Agenda<(At, u64), EndpointGroupId>,
    pub(crate) called_off: usize,
    /// What a destination's hold earns least by, and when that was reckoned; kept while half full.
    pub(crate) earns: Agenda<At, u64>,
    pub(crate) earned: Agenda<u64, u64>,
    pub(crate) weighing: bool,
    pub(crate) unweighed: BTreeSet<u64>,
    tenants_total: f64,
    pub(crate) tenants: Vec<Meter>,
    pub(crate) all: Meter,
    /// Calls begun in this reply to endpoints that take batches: what may still join.
    open: BTreeMap<Name, (u64, usize)>,
    watching: bool,
    asked: bool,
    ask_at: f64,
    ask_wait: f64,
    armed: f64,
    probes: BTreeMap<Name, EndpointGroupId>,
    /// The process ends then.
    stop_at: Option<f64>,
    /// By kind of destination: when a connection was last refused or broke.
    conns_hurt: BTreeMap<usize, f64>,
}

impl Relay {
    /// A relay that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let s = reckonable(settings);
        let tenants = s.tenant_rates.iter().map(|_| Meter::new(SOON_MS)).collect();
        let (rng, all) = (fastrand::Rng::with_seed(seed), Meter::new(LONG_MS));
        let (credits, tenants_total) = (Credits::new(CREDIT_CAP), s.tenant_rates.iter().sum());
        let relay = Relay { rng, salt: seed, tenants, all, credits, tenants_total, s, ..Relay::default() };
        Relay { ask_wait: ASK_MS.0, armed: f64::MAX, ..relay }
    }

    /// Takes what came in at `now` and appends what is to be done.
    pub fn handle(&mut self, now: f64, events: &[Event], out: &mut Vec<Action>) {
        self.now = sane(now, self.now, 1e15);
        self.open.clear();
        self.looked = None;
        events.iter().for_each(|event| self.event(event, out));
        self.ask(out);
        self.expire(out);
        self.wake();
        self.release(out);
        self.settle();
        self.arm(out);
    }

    fn event(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::ListUpdate(news) => self.discovery(news, out),
            Event::Request { .. } => self.take(event, out),
            Event::Restored { .. } => self.restore(event, out),
            Event::Resumed { id, endpoint, sent } => {
                let now = self.now;
                self.now = sane(*sent, 0.0, now);
                self.send(*id, &Name::from(endpoint.as_str()), &mut Vec::new());
                self.now = now;
            }
            Event::AnswerPending { .. } | Event::AnswerExpected { .. } | Event::AnswerConfirmed { .. } => {
                self.told(event)
            }
            Event::Outages(known) => known.iter().for_each(|o| self.recall(o)),
            Event::RetryAfters(known) => {
                for (dest, endpoint, until) in known {
                    let (now, id) = (self.now, (*dest, Name::from(endpoint.as_str())));
                    self.touch_group(&id);
                    let l = self.f.group(&id, || EndpointGroup::new(now));
                    l.wait_until = l.wait_until.max(*until);
                }
            }
            Event::Learnt(told) => self.take_up(told).iter().for_each(|id| self.touch_group(id)),
            Event::Stopping { at } => self.stop_at = Some(*at),
            Event::ResponseStarted { id, .. } => {
                self.msgs.get_mut(id).into_iter().for_each(|m| m.started = true)
            }
            Event::Ended { .. } => self.ended(event, out),
            Event::Withdrawn { id } => self.close(*id, out),
            Event::Timer { .. } => self.armed = f64::MAX,
            Event::Probed { endpoint, outcome, report, .. } => self.probed(endpoint, *outcome, report, out),
            Event::PeerMessage { .. } => {}
        }
    }

    // ---- worth

    /// What is left of a request's worth if it is delivered at `at`, given [`Relay::in_share`].
    fn value(&self, c: &Class, m: &QueuedMessage, at: f64, share: f64) -> f64 {
        let late = at - m.born.get() - c.aim_ms;
        if at >= m.due.get() {
            return 0.0;
        }
        let left = match self.s.value_decay {
            _ if late <= 0.0 => 1.0,
            ValueDecay::Halving => 0.5f64.powf(late / c.aim_ms).max(c.late_value),
            ValueDecay::Linear => {
                1.0 - (1.0 - c.late_value) * (late / (c.deadline_ms - c.aim_ms).max(1.0)).min(1.0)
            }
        };
        left * c.value * share
    }

    /// Expected worth of a tenant's request: which of its requests are beyond its share nobody tells, but
    /// how much of its traffic is shows. Each relay gets some part of all traffic, long measured over all
    /// tenants; a tenant that sends more than that part of its rate is beyond its share here.
    fn in_share(&self, tenant: usize) -> f64 {
        let (Some(meter), Some(rate)) = (self.tenants.get(tenant), self.s.tenant_rates.get(tenant)) else {
            return 1.0;
        };
        let part =
            (self.all.rate(self.now) / self.tenants_total.max(1e-9)).clamp(1.0 / self.s.relays as f64, 1.0);
        let share = (part * rate / meter.rate(self.now).max(1e-9)).min(1.0);
        share + (1.0 - share) * self.s.over_share_value
    }

    // ---- endpoints and lanes

    /// The lane's limit if told, as this relay's even part.
    fn part(&self, group: &EndpointGroup) -> Option<f64> {
        group.told.map(|t| t / self.s.relays as f64)
    }

    /// Whether a relay's own calls are few of all.
    fn crowded(&self) -> bool {
        self.s.relays as f64 >= CROWD
    }

    /// What a lane that came back bears in one span of the rule, as this relay's part: a multiple of what it
    /// can do cold, growing as it warms, judged by what this relay usually delivered there before.
    fn bears(&self, group: &EndpointGroup, since: f64) -> f64 {
        let s = &self.s;
        let warm = ((self.now - since) / s.warm_after_ms).clamp(0.0, 1.0);
        let able = s.cold_share + (1.0 - s.cold_share) * warm;
        let usual = group.usual.rate(self.now).max(group.before).max(self.part(group).unwrap_or(0.0));
        // What it delivers now it may get again: slowness is no outage. A multiple would prove itself.
        (s.fall_multiple * able * usual).max(group.soon.rate(self.now)) * s.fall_ms / 1000.0
    }

    /// When the lane may take a call: now, or at a later time (`f64::MAX`: not before something happens).
    pub(crate) fn gate(&self, id: &EndpointGroupId) -> f64 {
        let Some(l) = self.f.groups.get(id) else { return self.now };
        let mut at = l.wait_until.max(l.quiet_until);
        match l.phase {
            BreakerState::Open if l.trial_out => return f64::MAX,
            BreakerState::Open => return at.max(l.trial_at),
            BreakerState::SlowStart(since) => {
                // Less than one call in a span is one in a longer span: hundreds of relays return together.
                let bears = self.bears(l, since);
                let span = (self.s.fall_ms / bears.clamp(0.01, 1.0)).min(self.s.warm_after_ms);
                let (sent, oldest) = l.sent.after(self.now - span);
                if sent + 1.0 > bears.max(1.0) {
                    at = at.max((oldest.unwrap_or(self.now) + span + 1.0).min(self.now + 250.0));
                }
            }
            BreakerState::Closed => {}
        }
        // One answer tells whether there is a limit; of many relays each more than one call would use it up.
        let unknown = self.s.limit_column.is_some() && l.told.is_none() && l.good_at == 0.0;
        if unknown && self.crowded() && l.calls.oldest().next().is_some() {
            return f64::MAX;
        }
        at.max(l.ready(self.now))
    }

    /// Whether a destination is sick: a call outruns its latency, or its last outcome failed.
    pub(crate) fn sick(&self, dest: u64) -> bool {
        let late = |l: &EndpointGroup| {
            l.calls.oldest().any(|(kind, sent, _)| self.now - sent > l.overrun(kind.aim.get()))
        };
        self.f.groups_of(dest).any(|(_, l)| l.failing || l.phase == BreakerState::Open || late(l))
    }

    /// The slot ceiling: under three quarters of the slots, half while sick.
    pub(crate) fn ceiling(&self, dest: u64) -> usize {
        let most = if self.sick(dest) { self.s.slots / 2 } else { self.s.slots * 3 / 4 };
        most.max(1)
    }

    /// A lane is out, or a trial of it failed; `answered` says after how long, if it answered at all.
    fn shut(&mut self, id: &EndpointGroupId, why: &str, answered: Option<f64>, out: &mut Vec<Action>) {
        let (now, jitter) = (self.now, 0.75 + 0.5 * self.rng.f64());
        let cold = self.f.groups.get(id).map_or(0.0, |l| self.bears(l, now));
        let Some(l) = self.f.groups.get_mut(id) else { return };
        if l.phase != BreakerState::Open {
            out.push(Action::Log(format!("destination {} out: {why}", id.0)));
            l.trial_out = false;
        }
        l.before = if l.phase == BreakerState::Closed { l.usual.rate(now) } else { l.before };
        // Trials use up the limit, or push over what returns: who calls seldom tries seldom.
        let (gap, crowd) = (1000.0 / l.before.max(1e-9), self.s.relays as f64);
        let least = gap.clamp(TRIAL_MS.0, (TRIAL_MS.0 * crowd).min(TRIAL_MS.2));
        // In a crowd some relay finds a return at once, but each hears of it by its own trial alone.
        let floor = if crowd >= CROWD { TRIAL_CROWD_MS } else { TRIAL_MS.1 };
        let most = (2.0 * gap).clamp(floor, (TRIAL_MS.0 * crowd).clamp(floor, TRIAL_MS.3));
        let wait = l.backoff.max(least).min(most);
        // A destination that answers with errors is there, and some of what it is sent may well be delivered:
        // trials go as fast as it bears when it comes back cold, and find its return at once. It also guards
        // against errors that only some calls get. It could do harm where errors use up a limit, or cost more
        // than a delivery; so never without an answer, and never beyond the budget of a ramp.
        let paced = (self.s.fall_ms / cold.max(1e-9)).min(wait);
        l.trial_at = now + answered.map_or(wait * jitter, |took| (paced * jitter - took).max(0.0));
        l.backoff = answered.map_or(2.0 * wait, |_| l.backoff);
        l.answers = answered.is_some();
        l.phase = BreakerState::Open;
        (l.good, l.probe_good) = (0, false);
    }

    /// A trial call or probe succeeded: after that, the lane is taken to be back, and cold.
    fn back(&mut self, id: &EndpointGroupId, out: &mut Vec<Action>) {
        let now = self.now;
        // Three at once from each of many relays are more than a ramp: they go as fast as it bears.
        let bears = self.f.groups.get(id).filter(|l| l.answers).map_or(f64::MAX, |l| self.bears(l, now));
        let Some(l) = self.f.groups.get_mut(id) else { return };
        l.good += 1;
        l.trial_at = now + (self.s.fall_ms / bears.max(1e-9)).min(self.s.warm_after_ms);
        // Where calls fail at random, one success proves little.
        let enough = if l.answers { GOODS.1 } else { GOODS.0 };
        if l.good >= if l.share > 0.5 { enough } else { 1 } {
            l.phase = BreakerState::SlowStart(now);
            (l.fails, l.share, l.fulls, l.pace, l.failing) = (0, 0.0, 0, None, false);
            out.push(Action::Log(format!("destination {} back, ramping", id.0)));
        }
    }

    /// What the end of a call or probe says of its lane and endpoint.
    fn learn(&mut self, seen: &Seen, out: &mut Vec<Action>) {
        let &Seen { group: id, host, outcome: o, took, wait, trial } = seen;
        let now = self.now;
        let part = self.f.groups.get(id).and_then(|l| self.part(l));
        let ((first, few), crowd) = (self.paces(), self.crowded());
        let held = self.f.dests.get(&id.0).is_some_and(|d| d.held > 0);
        let Some(l) = self.f.groups.get_mut(id) else { return };
        l.trial_out &= !trial;
        // A wait is told by a refusal, or by an answer that shows nothing else for certain.
        l.wait_until = l.wait_until.max(if wait > 0.0 { now + wait } else { 0.0 });
        match o {
            Outcome::Cancelled | Outcome::NotSent => return,
            Outcome::Stale => return self.conns_hurt.extend(self.f.hosts.get(host).map(|h| (h.kind, now))),
            Outcome::Delivered => {
                l.measure(took);
                l.refill(now);
                (l.failing, l.fails, l.fulls) = (false, 0, 0);
                l.share *= 0.8;
                l.good_at = now;
                l.soon.add(now, 1.0);
                l.usual.add(now, f64::from(u8::from(l.phase != BreakerState::Open)));
                if matches!(l.phase, BreakerState::SlowStart(since) if now - since > self.s.warm_after_ms) {
                    (l.phase, l.backoff) = (BreakerState::Closed, TRIAL_MS.0);
                }
                // A pace that is not used proves nothing (as with a congestion window, RFC 7661): growing all
                // the same it ends far beyond any limit, and a told wait that ends lets a flood go. It also
                // guards against a limit that falls. It could do harm where a rush begins after a refusal and
                // no limit is told: then it takes some seconds to find what may be sent.
                let proved = (GROW * l.soon.rate(now)).max(part.unwrap_or(0.0)).max(first);
                if let Some(part) = part.filter(|_| crowd) {
                    l.share_delivered(now, part, held);
                } else if let Some(pace) = l.pace.as_mut().filter(|pace| **pace < proved) {
                    let gain = if *pace > few { GAIN.0 } else { GAIN.1 };
                    *pace = (*pace + gain * part.unwrap_or(*pace).max(*pace)).min(proved);
                }
                l.pace = l.pace.filter(|_| crowd || now - l.cut_at <= LONG_MS);
                if let Some(h) = self.f.hosts.get_mut(host) {
                    (h.fails, h.shun_until) = (0, 0.0);
                }
                if l.phase == BreakerState::Open && l.unproved {
                    // Shut for late answers alone, and now they come: it was slow, not gone.
                    (l.phase, l.backoff) = (BreakerState::Closed, TRIAL_MS.0);
                } else if l.phase == BreakerState::Open && (trial || !l.answers) {
                    // What was out before most calls failed says nothing of now.
                    self.back(id, out);
                }
                return;
            }
            Outcome::Full => {
                l.unproved = false;
                l.full_since = if l.fulls == 0 { now } else { l.full_since };
                l.fulls += 1;
                // Among many relays a run of refusals is the rush of all, where the answers tell a limit.
                let lone = !crowd || part.is_none();
                let again = lone && l.fulls >= SHUT_FULLS && now - l.full_since > SHUT_MS;
                let again = again || l.phase == BreakerState::Open;
                let once = l.fulls < 2;
                // Turned away with much of the limit left: the endpoint is full or cold, another may not be.
                let shun = now + SHUN_MS * (0.5 + self.rng.f64());
                if let Some(h) = self.f.hosts.get_mut(host).filter(|_| crowd && l.left > SPARE) {
                    h.shun_until = h.shun_until.max(shun);
                }
                self.slow(id, wait > 0.0 && once);
                if again {
                    self.shut(id, "refuses everything", None, out);
                }
                return;
            }
            _ => {}
        }

        (l.failing, l.unproved) = (true, false);
        // A time-out on a lane that delivered since the send is one lost answer, else it speaks for silence.
        l.fails += if o == Outcome::TimedOut && l.good_at < now - took { 2 } else { 1 };
        l.share = l.share * 0.8 + 0.2;
        if let Some(h) = self.f.hosts.get_mut(host) {
            let hurt = matches!(o, Outcome::NoConnection | Outcome::Broken);
            self.conns_hurt.extend(hurt.then_some((h.kind, now)));
            h.fails += 1;
            h.shun_until = now + TRIAL_MS.0 * f64::from(1u32 << h.fails.min(3));
            h.conns = 0;
        }
        let (fails, share, phase, sparse) = (l.fails, l.share, l.phase, l.usual.rate(now) < few);
        let every =
            self.f.hosts_of(id.0).filter(|x| x.1.status == EndpointStatus::Active).all(|x| x.1.fails > 0);
        if fails >= 2 && sparse {
            self.slow(id, false);
        }
        // While out only a failed trial puts the next one off: what was out before says nothing new.
        let enough = if phase == BreakerState::Closed { OUT_FAILS } else { OUT_FAILS - 2 };
        if if phase == BreakerState::Open { trial } else { (every && fails >= enough) || share > OUT_SHARE } {
            self.shut(id, "calls fail", (o == Outcome::Error).then_some(took), out);
        }
    }

    /// In calls a second: the first pace after a refusal, one call in the mean aim, which is what a request
    /// has to spend; and the rate under which calls are few, less where own calls are most of all.
    fn paces(&self) -> (f64, f64) {
        let aims: f64 = self.s.classes.iter().map(|c| c.aim_ms).sum();
        let first = 1000.0 * self.s.classes.len() as f64 / aims.max(1.0);
        (first, first * (self.s.relays as f64 / CROWD).min(1.0))
    }

    /// A refusal, or failures in a row where calls are few: the lane gets a lower pace. Without it hundreds
    /// of relays that each know little use up a limit, or push over what returns.
    fn slow(&mut self, id: &EndpointGroupId, told: bool) {
        let (now, random, (first, few)) = (self.now, self.rng.f64(), self.paces());
        let part = self.f.groups.get(id).and_then(|l| self.part(l)).unwrap_or(0.0);
        let crowd = part > 0.0 && self.crowded();
        let Some(l) = self.f.groups.get_mut(id) else { return };
        if crowd {
            let more = [self.rng.f64(), self.rng.f64()];
            return l.share_refused(now, part, random, more);
        }
        if now - l.cut_at > CUT_MS {
            // A limit that has fallen shows in what is delivered and told: the cut starts from there.
            let proved = (GROW * l.soon.rate(now)).max(part).max(first);
            let had = l.pace.map_or(l.soon.rate(now), |pace| pace.min(proved));
            // The first cut stops at a small pace, or this relay's part of a told limit; later ones go on.
            let first = (part * 0.8).max(first);
            let floor = if l.pace.is_none() { first } else { (0.9 / self.s.relays as f64).min(first) };
            l.pace = Some((had * if had > few { CUT.0 } else { CUT.1 }).max(floor));
            l.cut_at = now;
        }
        l.refill(now);
        // At the end of a told wait there is room for one; else the next call waits for its token.
        l.tokens = if told { 1.0 } else { l.tokens.min(0.5) - random };
    }

    fn report(&mut self, id: &EndpointGroupId, report: &[f64]) {
        let limit = self.s.limit_column.and_then(|c| report.get(c)).filter(|x| x.is_finite() && **x > 0.0);
        let left = self.s.remaining_column.and_then(|c| report.get(c)).filter(|x| x.is_finite());
        let part = limit.filter(|_| self.crowded()).map(|limit| limit / self.s.relays as f64);
        let had = self.f.groups.get(id).and_then(|l| self.part(l));
        self.f.groups.get_mut(id).into_iter().for_each(|l| {
            part.into_iter().for_each(|part| l.share_told(had, part));
            l.told = limit.copied().or(l.told);
            l.left = left.copied().unwrap_or(l.left);
        });
    }

    fn probed(&mut self, host: &str, o: Outcome, report: &[f64], out: &mut Vec<Action>) {
        let Some(id) = self.probes.remove(host) else { return };
        self.touch_group(&id);
        self.report(&id, report);
        if o != Outcome::Delivered {
            return self
                .learn(&Seen { group: &id, host, outcome: o, took: 0.0, wait: 0.0, trial: true }, out);
        }
        // A probe may be answered beside the queue: it only earns a real call, it proves nothing.
        let now = self.now;
        let l = self.f.groups.get_mut(&id).into_iter();
        l.for_each(|l| (l.trial_out, l.probe_good, l.trial_at) = (false, true, now));
    }

    // ---- attempts and outcomes

    fn take(&mut self, event: &Event, out: &mut Vec<Action>) {
        let Event::Request { id, class, tenant, key, due, destination } = event else { return };
        let (id, tenant, dest) = (*id, *tenant, *destination);
        if self.s.classes.is_empty() || self.msgs.contains_key(&id) {
            let known = self.msgs.contains_key(&id);
            return out.extend((!known).then_some(Action::Refuse { id, retry_after_ms: None }));
        }
        let class = (*class).min(self.s.classes.len() - 1);
        let due = sane(*due, self.now, 1e15);
        let born = (due - self.s.classes[class].deadline_ms).min(self.now);
        let key = key.as_deref().filter(|_| self.s.classes[class].in_order).map(Name::from);
        self.seq += 1;
        self.keys.queue(&key, self.seq, id);
        self.tenants.get_mut(tenant).into_iter().chain([&mut self.all]).for_each(|t| t.add(self.now, 1.0));
        let m = Msg { class, tenant, key, born, due, dest, seq: self.seq, ..Msg::default() };
        self.msgs.insert(id, m);
        self.hold(id);
        self.make_room(out);
    }

    /// A request of an earlier process: what its attempts may have done binds here as it did there.
    fn restore(&mut self, event: &Event, out: &mut Vec<Action>) {
        let Event::Restored {
            id,
            class,
            tenant,
            key,
            due,
            destination: dest,
            attempts,
            first_uncertain_send: maybe,
            ..
        } = event
        else {
            return;
        };
        let Event::Restored { may_be_running: uncertain, untried, .. } = event else { return };
        let (id, class, due) = (*id, (*class).min(self.s.classes.len().saturating_sub(1)), *due);
        let Some(c) = self.s.classes.get(class) else { return out.push(Action::Fail { id }) };
        let born = (due - c.deadline_ms).min(self.now);
        let key = key.as_deref().filter(|_| c.in_order).map(Name::from);
        let lost = maybe.is_some() && c.effect == Effect::Unsafe;
        self.seq += 1;
        self.keys.queue(&key, self.seq, id);
        if *uncertain {
            self.rest_key(&key, id);
        }
        let maybe = maybe.as_ref().map(|(at, name)| (*at, Name::from(name.as_str())));
        let (tries, tenant, dest, seq, untried) = (*attempts, *tenant, *dest, self.seq, *untried);
        let m = Msg { class, tenant, key, born, due, dest, seq, tries, maybe, untried, ..Msg::default() };
        self.msgs.insert(id, m);
        self.hold(id);
        if lost || tries >= self.s.max_attempts || self.now >= due - 1.0 {
            self.give_up(id, out);
        }
    }

    /// An outage that an earlier process knew of: trials first, or a ramp, as if this one had seen it.
    fn recall(&mut self, o: &Outage) {
        let (now, id) = (self.now, (o.destination, Name::from(o.endpoint.as_str())));
        self.touch_group(&id);
        let l = self.f.group(&id, || EndpointGroup::new(now));
        (l.phase, l.before, l.trial_at) =
            (o.recovered_at.map_or(BreakerState::Open, BreakerState::SlowStart), o.rate_before, now);
    }

    /// Keeps one place free for what comes next: with the hold full, the request that earns least for the
    /// time that it keeps its place is refused, the newest first among equals. Without this, what is held
    /// for dead destinations fills the hold, and what could go straight out is turned away.
    /// Worth fades and paces change without an event: so the holds that earned least when they were last
    /// weighed, and those weighed longest ago, are weighed anew, and no more.
    fn make_room(&mut self, out: &mut Vec<Action>) {
        // Half full, the weights are made; a quarter full, they are given up: so neither is done often.
        if !self.weighing && self.msgs.len() * 2 >= self.s.max_open {
            self.weighing = true;
            self.unweighed = self.f.dests.walk().filter(|d| d.1.held > 0).map(|d| *d.0).collect();
        } else if self.weighing && self.msgs.len() * 4 < self.s.max_open {
            self.weighing = false;
            self.unweighed.clear();
            self.earns.clear();
            self.earned.clear();
        }
        while self.msgs.len() >= self.s.max_open {
            while let Some(dest) = self.unweighed.pop_first() {
                self.weigh(dest);
            }
            let old = self.earned.iter().take(LEAST.1).map(|x| *x.1);
            let again: Vec<u64> = old.chain(self.earns.iter().take(LEAST.0).map(|x| *x.1)).collect();
            again.into_iter().for_each(|dest| self.weigh(dest));
            let least = self.earns.iter().take(LEAST.0).filter_map(|(_, dest)| self.least(*dest));
            let least = least.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.seq.cmp(&a.1.seq)));
            let Some((_, QueuedMessage { id, .. })) = least else { return };
            let Some(dest) = self.msgs.get(&id).map(|m| m.dest) else { return };
            let full = self.f.dests.get_mut(&dest).map(|d| &mut d.full_logged);
            if !full.is_none_or(|logged| std::mem::replace(logged, true)) {
                out.push(Action::Log(format!("hold full, refusing for destination {dest}")));
            }
            self.give_up(id, out);
        }
    }

    /// Of a destination's hold what earns least for its time: the newest of some class and tenant, delivered
    /// when all that is held there has gone. Only what it is harmless to refuse counts.
    pub(crate) fn least(&self, dest: u64) -> Option<(f64, QueuedMessage)> {
        let d = self.f.dests.get(&dest)?;
        let wait = self.drain_ms(dest, d.held);
        let sub_queues = d.sub_queues.iter().filter(|(g, _)| g.first.is_none() && !g.untried);
        let earns = sub_queues.filter_map(|(g, sub_queue)| {
            step();
            // The newest would go last; the oldest may have lost its worth.
            let (c, share) = (&self.s.classes[g.class], self.in_share(g.tenant));
            let earns = [sub_queue.first(), sub_queue.last()].into_iter().flatten().map(|m| {
                let at = (self.now + wait).min(m.due.get() - 1.0);
                (self.value(c, &m, at, share) / wait, m)
            });
            earns.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.seq.cmp(&a.1.seq)))
        });
        earns.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.seq.cmp(&a.1.seq)))
    }

    fn short(&self) -> bool {
        self.calls.len() + 1 >= self.s.slots
    }

    /// How long a hold takes to send so many requests.
    fn drain_ms(&self, dest: u64, count: usize) -> f64 {
        // A well lane without a pace sends as slots allow, also if it never did; one that is out hardly.
        // While slots are short they allow it an even share of them.
        let queues = if self.short() { self.credits.len().max(1) } else { 1 };
        let slots = self.s.slots as f64 / queues as f64;
        let able = |l: &EndpointGroup| match (l.phase, l.pace) {
            (BreakerState::Open, _) => 0.0,
            (_, Some(pace)) => pace,
            (BreakerState::Closed, _) => slots * 1000.0 / l.latency.map_or(1000.0, |x| x.0.max(1.0)),
            _ => l.soon.rate(self.now).max(l.usual.rate(self.now)),
        };
        let rate: f64 = self.f.groups_of(dest).map(|x| able(x.1)).sum();
        count as f64 / rate.max(0.1) * 1000.0
    }

    fn harmless(&self, m: &Msg) -> bool {
        let c = &self.s.classes[m.class];
        m.flying.is_empty() && (m.maybe.is_none() || c.effect == Effect::Safe)
    }

    /// The final answer for a request that will not be sent again: a refusal where that is harmless.
    fn give_up(&mut self, id: u64, out: &mut Vec<Action>) {
        let Some(m) = self.msgs.get(&id) else { return };
        if self.harmless(m) {
            let wait = self.drain_ms(m.dest, self.f.dests.get(&m.dest).map_or(0, |d| d.held));
            let retry_after_ms = self.s.retry_after.then(|| wait.min(self.s.max_retry_after_ms));
            out.push(Action::Refuse { id, retry_after_ms });
        } else {
            out.push(Action::Fail { id });
        }
        self.owe(id);
        self.close(id, out);
    }

    /// A request is over: it leaves the hold; what is still out for it is called off.
    fn close(&mut self, id: u64, out: &mut Vec<Action>) {
        self.unhold(id);
        let Some(m) = self.msgs.get_mut(&id) else { return };
        let first = !std::mem::replace(&mut m.over, true);
        if first && self.s.may_cancel && !m.started {
            out.extend(m.flying.iter().map(|f| Action::Cancel { id, attempt: f.0 }));
        }
        if m.flying.is_empty() {
            let (key, seq) = (m.key.take(), m.seq);
            self.msgs.remove(&id);
            let next = key.and_then(|key| self.keys.leave(key, seq, id, self.now));
            next.into_iter().for_each(|id| self.refile(id));
        }
    }

    fn ended(&mut self, event: &Event, out: &mut Vec<Action>) {
        let Event::Ended { id, attempt, outcome: o, took_ms, settled, wait_ms, report } = event else {
            return;
        };
        let (id, o) = (*id, *o);
        let Some(m) = self.msgs.get_mut(&id) else { return };
        let Some(at) = m.flying.iter().position(|f| f.0 == *attempt) else { return };
        let (_, call_id) = m.flying.remove(at);
        m.untried &= matches!(o, Outcome::NotSent | Outcome::Cancelled);
        let key = m.key.clone();
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.riders.retain(|x| *x != id);
        let first = !std::mem::replace(&mut call.counted, true);
        let over = call.riders.is_empty();
        let (group, sent, called_off) = (call.group.clone(), call.sent, call.called_off);
        let Kind { host, trial, .. } = call.kind.clone();
        if !o.never_ran() && m.maybe.as_ref().is_none_or(|x| sent < x.0) {
            m.maybe = Some((sent, host.clone()));
        }
        if matches!(o, Outcome::TimedOut | Outcome::Broken | Outcome::Stale | Outcome::Cancelled) {
            self.rest_key(&key, id);
        }
        self.touch_group(&group);
        if over {
            let call = self.calls.remove(&call_id);
            let l = self.f.groups.get_mut(&group).into_iter().zip(call);
            l.for_each(|(l, call)| l.calls.take(&call.kind, call.sent, call_id));
            self.called_off -= usize::from(called_off);
            // Where connections were refused or broke, idle ones of many relays shut others out, or are dead.
            let usual = self.f.groups.get(&group).map_or(0.0, |l| l.usual.rate(self.now));
            let held = self.f.dests.get(&group.0).is_some_and(|d| d.held > 0);
            let harm = self.f.hosts.get(&host).and_then(|h| self.conns_hurt.get(&h.kind));
            let hurt = harm.is_some_and(|at| self.now - at < HURT_MS);
            let close = hurt && !held && usual * KEEP_MS < 1000.0;
            if let Some(d) = self.f.dests.get_mut(&group.0) {
                d.out = d.out.saturating_sub(1);
                d.spend(self.now - sent, o == Outcome::Delivered);
            }
            if let Some(h) = self.f.hosts.get_mut(&host) {
                (h.out, h.used_at) = (h.out.saturating_sub(1), self.now);
                if close && h.out == 0 {
                    h.conns = 0;
                    out.push(Action::CloseIdle { endpoint: host.to_string() });
                }
            }
        }
        self.report(&group, report);
        if first {
            // What was called off here for its lateness says of the lane what a time-out would have said.
            let silent = self.f.groups.get(&group).is_some_and(|l| l.good_at < sent);
            let o = if o == Outcome::Cancelled && called_off && silent { Outcome::TimedOut } else { o };
            let (took, wait) = (sane(*took_ms, 0.0, 1e9), sane(*wait_ms, 0.0, 1e9));
            self.learn(&Seen { group: &group, host: &host, outcome: o, took, wait, trial }, out);
        }
        let Some(m) = self.msgs.get_mut(&id) else { return };
        if *settled || m.over {
            return self.close(id, out);
        }
        if !m.flying.is_empty() || m.started || m.held {
            return;
        }
        let tries = m.tries;
        if (m.maybe.is_some() && self.s.classes[m.class].effect == Effect::Unsafe)
            || tries >= self.s.max_attempts
            || self.now >= m.due - 1.0
        {
            return self.give_up(id, out);
        }
        if !o.never_ran() || o == Outcome::NotSent {
            let pause = 50.0 * f64::from(tries) * (0.5 + self.rng.f64());
            m.not_before = self.now + pause.max(self.s.tick_ms * 2.0);
        }
        self.hold(id);
    }

    // ---- the hold

    /// A request waits to be sent.
    fn hold(&mut self, id: u64) {
        let zero = self.credits.zero();
        let Some(m) = self.msgs.get_mut(&id) else { return };
        m.held = true;
        let dest = m.dest;
        let d = self.f.dests.or_insert_with(dest, Destination::default);
        d.held += 1;
        if d.held == 1 {
            d.base = zero;
            self.backlogged = (self.backlogged.0 + 1, self.backlogged.1 + d.mean_us);
        }
        let end = self.msgs.get(&id).map_or(0.0, |m| self.last_send(m));
        self.ends.set(id, At::new(end));
        self.refile(id);
    }

    /// From when on nothing of its own holds a request back: a pause, an earlier one of its key, a rest.
    pub(crate) fn free_at(&self, id: u64, m: &Msg) -> f64 {
        m.not_before.max(m.key.as_ref().map_or(0.0, |key| self.keys.free_at(key, m.seq, id)))
    }

    /// An attempt may still run: what follows with this key waits.
    fn rest_key(&mut self, key: &Option<Name>, id: u64) {
        let rest = self.now + self.s.order_pause_ms;
        let next = key.as_ref().and_then(|key| self.keys.rest(key, id, rest));
        next.into_iter().for_each(|id| self.refile(id));
    }

    /// Until when a request may be sent: a keyed one that may have run, only to arrive within its window.
    pub(crate) fn last_send(&self, m: &Msg) -> f64 {
        let c = &self.s.classes[m.class];
        let within = (1.0 - WAY) * c.dedup_window_ms - self.s.tick_ms;
        match &m.maybe {
            Some((at, _)) if c.effect == Effect::Keyed => m.due.min(at + within),
            _ => m.due,
        }
    }

    /// Whether the endpoint would drop a repeat of what a group's requests may have done already.
    fn dedup_scope_fits(&self, g: &SubQueueKey, name: &Name, h: &Host) -> bool {
        let Some(first) = &g.first else { return true };
        match self.s.classes[g.class].dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => self.f.hosts.get(first).is_some_and(|f| f.zone == h.zone),
            DedupScope::Endpoint => first == name,
        }
    }

    // ---- discovery

    fn discovery(&mut self, news: &ListUpdate, out: &mut Vec<Action>) {
        let (list, whole) = match news {
            ListUpdate::Failed => {
                if self.ask_wait <= ASK_MS.0 {
                    out.push(Action::Log("discovery failing, keeping the list held".to_string()));
                }
                (self.watching, self.asked) = (false, false);
                self.ask_at = self.now + self.ask_wait * (0.5 + self.rng.f64());
                self.ask_wait = (self.ask_wait * 2.0).min(ASK_MS.1);
                return;
            }
            ListUpdate::Full(list) => (list, true),
            ListUpdate::Cached(list) | ListUpdate::Delta(list) => (list, false),
        };
        if self.asked && !matches!(news, ListUpdate::Cached(_)) {
            (self.watching, self.ask_wait) = (true, ASK_MS.0);
        }
        let (now, touched) = (self.now, &mut self.touched);
        let mut touch = |id: &EndpointGroupId| {
            touched.0.insert(id.clone());
            touched.1.insert(id.0);
        };
        let weights = self.s.weight_meaning != WeightMeaning::Ignored;
        self.f.list(list, whole, weights, &self.s.own_limits, &mut || EndpointGroup::new(now), &mut touch);
        // What a route apart was told to wait outlasts its place in the list.
        self.f.sweep(list, whole, &mut touch, |l| l.wait_until <= now);
        self.looked = None;
    }

    fn ask(&mut self, out: &mut Vec<Action>) {
        if self.s.poll_discovery && !self.watching && !self.asked && self.now >= self.ask_at {
            self.asked = true;
            out.push(Action::Watch(true));
        }
    }

    // ---- release: Most Credit First

    fn release(&mut self, out: &mut Vec<Action>) {
        self.settle();
        self.watch_overruns(out);
        self.settle();
        self.free_slots(out);
        let mut again = TIES;
        while self.calls.len() < self.s.slots {
            self.settle();
            if let Some((dest, host)) = self.probing.pop_first() {
                self.probe(dest, host, out);
                continue;
            }
            let Some(dest) = self.credits.first() else { return };
            // What could be sent when last looked at may have run out of time, or its gate have closed.
            if self.looked.as_ref().is_none_or(|x| x.0 != dest) {
                self.file(dest);
            }
            // Nor need it be the first among equals any more.
            if again > 0 && self.credits.first() != Some(dest) {
                again -= 1;
                continue;
            }
            again = TIES;
            let Some((_, Look::Send(id, host))) = self.looked.take() else { continue };
            self.charge(dest);
            self.send(id, &host, out);
            // What else is held for that endpoint rides along where its kind takes batches.
            while self.open.contains_key(&host) {
                let Some(next) = self.best(dest, &host, false, false) else { break };
                self.send(next, &host, out);
            }
        }
    }

    /// All backlogged queues gain, the one that is served pays.
    fn charge(&mut self, dest: u64) {
        let ((queues, means), short) = (self.backlogged, self.short());
        let Some(d) = self.f.dests.get_mut(&dest) else { return };
        // A lone request that goes straight out is no turn: it moves no credit.
        if queues < 2 && d.held < 2 {
            return;
        }
        // While slots are short a turn costs its slot time: else slow destinations take most of them.
        let mean = means as f64 / queues as f64;
        let cost = if short { (d.mean_us as f64 / mean).powi(2).clamp(0.05, 8.0) } else { 1.0 };
        // What is paid goes to those that may send: else the credit of all of them would fall to the cap
        // while others wait for something else, and tell them apart no more.
        let share = turns(cost) / self.credits.len().max(1) as i128;
        d.base = self.credits.turn(d.base, share, turns(cost));
    }

    /// The requests of a destination go first in, first out, unless the hold is so long that some would lose
    /// worth by going last; then what loses most goes first. Gives the foremost that may go to an endpoint
    /// now; `spare`: of those that have nothing to lose by it, safe to repeat or perhaps run already.
    fn best(&self, dest: u64, host: &Name, trial: bool, spare: bool) -> Option<u64> {
        let (d, h) = (self.f.dests.get(&dest)?, self.f.hosts.get(host)?);
        let group = self.f.groups.get(&h.group);
        let latency = self.f.groups_of(dest).filter_map(|(_, l)| l.latency).map(|l| l.0);
        let soon = self.now + latency.fold(0.0, f64::max);
        let last = soon + self.drain_ms(dest, d.held);
        let mut best: Option<(f64, u64, u64)> = None;
        for (g, sub_queue) in &d.sub_queues {
            step();
            let c = &self.s.classes[g.class];
            if !self.dedup_scope_fits(g, host, h) || (spare && g.first.is_none() && c.effect != Effect::Safe)
            {
                continue;
            }
            let (mut low, mut high) = (self.now.next_up(), f64::MAX);
            // A trial without the time for an answer shows nothing, and would count as failed.
            if trial {
                low = low.max(self.now + group.and_then(|l| l.latency).map_or(0.0, |(mean, dev)| mean + dev));
            }
            // An unsafe request is lost by any failure that may have run: it waits for a lane that works.
            if c.effect == Effect::Unsafe && (trial || group.is_some_and(|l| l.share > 0.3)) {
                high = self.now + c.aim_ms;
            }
            // What is out when the process ends may have run, for all that anyone will know.
            if let Some(stop) = self.stop_at {
                let ends = time_out(self.now, group?, c, f64::MAX).map_or(f64::MAX, |ms| self.now + ms);
                high = if ends > stop { high.min(stop) } else { high };
            }
            let share = self.in_share(g.tenant);
            let marks = marks(self.s.value_decay, c, [soon, last]);
            sub_queue.ends(low, high, &marks, &mut |queued_message| {
                // A keyed one whose window is over, and which is not answered yet, is not sent any more.
                let over = |m: &Msg| self.now >= self.last_send(m);
                if g.first.is_some() && self.msgs.get(&queued_message.id).is_none_or(over) {
                    return;
                }
                let (lone, due) = (d.held == 1, queued_message.due.get());
                // In whole steps: what loses the same but for rounding goes in the order of arrival.
                let loss = || {
                    self.value(c, &queued_message, soon, share) - self.value(c, &queued_message, last, share)
                };
                let urgent = (g.untried && (soon..last).contains(&due)).then_some(URGENT - due);
                let loss = urgent.unwrap_or_else(|| if lone { 0.0 } else { (loss() * LOSS_STEPS).round() });
                if best.is_none_or(|b| loss > b.0 || (loss == b.0 && queued_message.seq < b.1)) {
                    best = Some((loss, queued_message.seq, queued_message.id));
                }
            });
        }
        best.map(|b| b.2)
    }

    /// The endpoints of a destination that may be tried, the best first, and whether as a trial.
    fn choices(&self, dest: u64) -> Vec<(Name, bool)> {
        let mut found = Vec::new();
        for (name, h) in self.f.hosts_of(dest).filter(|x| x.1.status == EndpointStatus::Active) {
            if self.gate(&h.group) > self.now {
                continue;
            }
            let trial = self.f.groups.get(&h.group).is_some_and(|l| l.phase == BreakerState::Open);
            let fresh = self.now - h.used_at < self.s.conn_idle_ms;
            let idle = fresh && h.out < h.conns * self.s.conn_streams;
            let fee = self.s.route_fee.get(h.zone as usize).filter(|_| !h.group.1.is_empty());
            let cost = if h.zone == self.s.zone { 0.0 } else { self.s.cross_zone_cost }
                + if idle { 0.0 } else { self.s.handshake_cost }
                + fee.unwrap_or(&0.0);
            let load = h.out as f64 * 0.02;
            // Among equals each relay has its own order: in that of names all would crowd the first.
            let rank = (h.out, spread(self.salt, name));
            found.push((h.shun_until > self.now, cost + load, rank, name, trial));
        }
        found.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)).then(a.3.cmp(b.3)));
        found.into_iter().map(|f| (f.3.clone(), f.4)).collect()
    }

    /// What a destination would send next, if it may send and a slot is free.
    pub(crate) fn look(&self, dest: u64) -> Look {
        let Some(d) = self.f.dests.get(&dest).filter(|d| d.held > 0) else { return Look::Nothing };
        if d.out >= self.ceiling(dest) {
            return Look::Nothing;
        }
        for (host, trial) in self.choices(dest) {
            // A trial spends what has nothing to lose by it: what is worth most of what is safe to repeat or
            // may have run already, else a probe where the site takes probes, else anything.
            if let Some(id) = self.best(dest, &host, trial, trial) {
                return Look::Send(id, host);
            }
            let group = self.f.hosts.get(&host).and_then(|h| self.f.groups.get(&h.group)).filter(|_| trial);
            let Some(group) = group else { continue };
            if self.s.may_probe && !group.probe_good {
                return Look::Probe(host);
            }
            if let Some(id) = self.best(dest, &host, true, false) {
                return Look::Send(id, host);
            }
        }
        Look::Nothing
    }

    /// When a destination that may send nothing now may do so by time alone.
    pub(crate) fn next_open(&self, dest: u64) -> Option<f64> {
        let d = self.f.dests.get(&dest).filter(|d| d.held > 0)?;
        let mut next = f64::MAX;
        let mut at = |t: f64| next = if t > self.now { next.min(t) } else { next };
        for (_, h) in self.f.hosts_of(dest).filter(|x| x.1.status == EndpointStatus::Active) {
            let gate = self.gate(&h.group);
            let warms =
                self.f.groups.get(&h.group).is_some_and(|l| matches!(l.phase, BreakerState::SlowStart(_)));
            // What a lane bears grows while it warms, and opens its gate sooner than now reckoned.
            at(if warms { gate.min(self.now + RAMP_MS) } else { gate });
        }
        // What is unsafe goes to a lane that fails once it would else be late.
        for (g, sub_queue) in &d.sub_queues {
            let c = &self.s.classes[g.class];
            let first =
                sub_queue.from((self.now + c.aim_ms).next_up()).filter(|_| c.effect == Effect::Unsafe);
            first.into_iter().for_each(|m| at(m.due.get() - c.aim_ms));
        }
        Some(next).filter(|t| *t < f64::MAX)
    }

    /// Until when there is time for an answer to a request that would go out as a trial; after that, a probe.
    pub(crate) fn trial_ends(&self, id: u64, host: &Name) -> Option<f64> {
        let l = self.f.hosts.get(host).and_then(|h| self.f.groups.get(&h.group));
        let (mean, dev) = l.filter(|l| self.s.may_probe && l.phase == BreakerState::Open)?.latency?;
        self.msgs.get(&id).map(|m| (m.due - mean - dev).next_up())
    }

    fn probe(&mut self, dest: u64, host: Name, out: &mut Vec<Action>) {
        let now = self.now;
        self.touch(dest);
        if !matches!(self.look(dest), Look::Probe(now) if now == host) {
            return;
        }
        let Some(id) = self.f.hosts.get(&host).map(|h| h.group.clone()) else { return };
        let Some(l) = self.f.groups.get_mut(&id) else { return };
        l.trial_out = true;
        l.sent.add(now, 1.0, now - self.s.fall_ms.max(self.s.warm_after_ms));
        out.push(Action::Probe { endpoint: host.to_string() });
        self.probes.insert(host, id);
    }

    fn send(&mut self, id: u64, host: &Name, out: &mut Vec<Action>) {
        let now = self.now;
        let (Some(h), Some(m)) = (self.f.hosts.get(host), self.msgs.get(&id)) else { return };
        let (group_id, begin_by) = (h.group.clone(), self.last_send(m));
        let c = &self.s.classes[m.class];
        let fragile = c.effect == Effect::Unsafe;
        let Some(l) = self.f.groups.get_mut(&group_id) else { return };
        let trial = l.phase == BreakerState::Open;
        let batch = self.s.batch.get(h.kind).copied().unwrap_or(1).max(1);
        let timeout_ms = time_out(now, l, c, m.due);
        let first = now - self.s.fall_ms.max(self.s.warm_after_ms);
        let joined = match self.open.get_mut(host) {
            Some((call, room)) => {
                *room -= 1;
                let call = *call;
                self.open.retain(|_, x| x.1 > 0);
                l.sent.add(now, 0.25, first);
                call
            }
            None => {
                self.seq += 1;
                let kind = Kind { host: host.clone(), aim: At::new(c.aim_ms), trial, fragile };
                l.calls.put(kind.clone(), now, self.seq);
                let group = group_id.clone();
                let call =
                    Call { group, kind, sent: now, riders: Vec::new(), counted: false, called_off: false };
                self.calls.insert(self.seq, call);
                if batch > 1 && !trial {
                    self.open.insert(host.clone(), (self.seq, batch - 1));
                }
                l.refill(now);
                l.tokens -= 1.0;
                l.sent.add(now, 1.0, first);
                l.trial_out |= trial;
                if let Some(h) = self.f.hosts.get_mut(host) {
                    h.begin(now, self.s.conn_idle_ms, self.s.conn_streams);
                }
                self.f.dests.get_mut(&group_id.0).into_iter().for_each(|d| d.out += 1);
                self.seq
            }
        };
        if let Some(call) = self.calls.get_mut(&joined) {
            call.riders.push(id);
            if fragile && !call.kind.fragile {
                let l = self.f.groups.get_mut(&group_id);
                let old = std::mem::replace(&mut call.kind.fragile, true);
                let kind = Kind { fragile: old, ..call.kind.clone() };
                l.into_iter().for_each(|l| {
                    l.calls.take(&kind, now, joined);
                    l.calls.put(call.kind.clone(), now, joined);
                });
            }
        }
        self.touch_group(&group_id);
        self.unhold(id);
        if let Some(m) = self.msgs.get_mut(&id) {
            m.flying.push((m.tries, joined));
            m.tries += 1;
        }
        out.push(Action::Send { id, endpoint: host.to_string(), timeout_ms, begin_by });
    }

    /// A lane whose calls outrun their latency, with nothing delivered since they were sent, hangs or is
    /// silent: it is shut before the time-outs say so, so that the hold is not spent on it.
    fn watch_overruns(&mut self, out: &mut Vec<Action>) {
        let due = self.late.iter().take_while(|x| x.0.get() <= self.now).map(|x| x.1.clone());
        let mut due: Vec<EndpointGroupId> = due.collect();
        due.sort_unstable();
        for id in due {
            let Some(l) = self.f.groups.get(&id) else { continue };
            let late = l.calls.after(l.good_at, 2).filter(|x| !x.0.trial);
            let late =
                late.filter(|(kind, sent, _)| self.now - sent > 1.5 * l.overrun(kind.aim.get())).count();
            let fails = l.fails;
            if l.phase != BreakerState::Open && late > 0 && late as u32 + fails >= 2 {
                self.shut(&id, "no answers", None, out);
                self.f.groups.get_mut(&id).into_iter().for_each(|l| l.unproved = fails == 0);
                self.touch_group(&id);
            }
        }
    }

    /// When [`Relay::watch_overruns`] would shut the lane.
    pub(crate) fn late_at(&self, l: &EndpointGroup) -> Option<f64> {
        let calls = l.calls.after(l.good_at, 2).filter(|x| !x.0.trial);
        let mut late: Vec<f64> =
            calls.map(|(kind, sent, _)| sent + 1.5 * l.overrun(kind.aim.get())).collect();
        late.sort_unstable_by(f64::total_cmp);
        late.get(usize::from(l.fails == 0)).copied().filter(|_| l.phase != BreakerState::Open)
    }

    /// Slots held by calls that outran their latency are worth less than slots for queues that can send: with
    /// none free and such a queue waiting, the call whose time was up first is called off. Without this, two
    /// hung destinations at their ceiling stop the whole relay. An unsafe one is lost by it: it gets more.
    fn free_slots(&mut self, out: &mut Vec<Action>) {
        if !self.s.may_cancel || self.called_off > 0 {
            return;
        }
        let all = self.calls.len() >= self.s.slots;
        let first = self.overdue.first().filter(|x| all && x.0 .0.get() < self.now).map(|x| x.0 .1);
        let first = first.filter(|_| self.waits());
        let Some(call_id) = first.or_else(|| self.lost_at_ceiling()) else { return };
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.called_off = true;
        let mut riders = call.riders.clone();
        riders.sort_unstable();
        self.called_off += 1;
        for id in riders {
            let flying = self.msgs.get(&id).into_iter().flat_map(|m| &m.flying);
            let off = flying.filter(|f| f.1 == call_id);
            out.extend(off.map(|f| Action::Cancel { id, attempt: f.0 }));
        }
    }

    /// A call beyond its latency whose lane has delivered since it was sent is lost, not slow: it must not
    /// hold one of the few slots that a sick destination has while more waits for these.
    fn lost_at_ceiling(&self) -> Option<u64> {
        let due = self.overdue.iter().take_while(|x| x.0 .0.get() < self.now).take(OVERDUE);
        let lost = due.filter(|((_, call), group)| {
            // An unsafe message is lost by it.
            let Some(c) = self.calls.get(call).filter(|c| !c.kind.fragile) else { return false };
            let full = |d: &Destination| d.held > 0 && d.out >= self.ceiling(group.0);
            let lost = |l: &EndpointGroup| {
                self.now - c.sent > LOST * l.overrun(c.kind.aim.get()) && l.good_at > c.sent
            };
            self.f.groups.get(group).is_some_and(lost) && self.f.dests.get(&group.0).is_some_and(full)
        });
        lost.map(|x| x.0 .1).next()
    }

    /// When the first of a lane's calls is given no more time, and which.
    pub(crate) fn overdue_at(&self, l: &EndpointGroup) -> Option<(f64, u64)> {
        // Also of a lane that delivers: where connections fall silent, its lost calls would fill the slots.
        let ends = l.calls.oldest().map(|(kind, sent, call)| {
            let patience = if kind.fragile { 3.0 } else { 1.0 };
            (sent + patience * l.overrun(kind.aim.get()), call)
        });
        ends.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
    }

    /// Whether a queue would send if a slot were free.
    fn waits(&mut self) -> bool {
        while let Some(dest) = self.credits.first().filter(|_| self.probing.is_empty()) {
            self.file(dest);
            if matches!(self.looked, Some((_, Look::Send(..)))) {
                return true;
            }
        }
        !self.probing.is_empty()
    }

    // ---- ends of time

    /// How long before its end a held request is given up: two rounds, and the time that it takes to answer
    /// all that could end with it, as one round answers only so many.
    fn horizon(&self) -> f64 {
        2.0 * self.s.tick_ms + (self.ends.len() / ENDS.0) as f64 * ENDS.1
    }

    fn expire(&mut self, out: &mut Vec<Action>) {
        let end = self.now + self.horizon();
        let due = std::iter::from_fn(|| self.ends.pop_due(end)).take(ENDS.0).collect::<Vec<_>>();
        let place = |id: &u64| self.msgs.get(id).map_or((0, 0), |m| (m.dest, m.seq));
        let mut due: Vec<_> = due.iter().map(|id| (place(id), *id)).collect();
        due.sort_unstable();
        due.into_iter().for_each(|(_, id)| self.give_up(id, out));
    }

    /// Sets one timer, for the next moment at which time alone changes something.
    fn arm(&mut self, out: &mut Vec<Action>) {
        let mut next = f64::MAX;
        // No nearer than a coarse clock rounds to: it would come at the same moment forever.
        let soonest = self.now + LEAST_TIMER;
        let mut at = |t: f64| next = if t > self.now { next.min(t.max(soonest)) } else { next };
        if self.ends.len() > 0 {
            at((self.ends.next() - self.horizon()).max(self.now + 1.0));
        }
        at(self.resting.next());
        at(self.wakes.next());
        at(self.late.next() + 1.0);
        if self.called_off == 0 && self.backlogged.0 > 0 {
            let soon = self.overdue.iter().take(OVERDUE).map(|x| x.0 .0.get() + 1.0);
            soon.filter(|t| *t > self.now).take(1).for_each(&mut at);
        }
        if self.s.poll_discovery && !self.watching && !self.asked {
            at(self.ask_at);
        }
        if next < self.armed {
            self.armed = next;
            out.push(Action::Timer { at: next, token: 0 });
        }
    }
}
