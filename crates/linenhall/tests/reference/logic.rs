//! The decisions of linenhall by plain walks over all that is held, out and listed: what the module's indexes
//! are held against (see mod.rs for where it was amended together with the module).
//!
//! Parts, in this order: worth, endpoints and lanes (health, pacing, return), attempts and outcomes,
//! discovery, release (Most Credit First), ends of time. A lane is what shares one limit and one health:
//! a whole destination, or one endpoint where the endpoints are routes apart.

use super::state::*;
use linenhall::*;
use std::collections::{BTreeMap, BTreeSet};

const TURN: i128 = 1 << 40;
const CREDIT_CAP: i128 = 2 * TURN; // of the credit of a queue, either way
const LOSS_STEPS: f64 = 4294967296.0;
const SICK_DEVS: f64 = 4.0; // a call this many deviations over its mean outruns its latency (RFC 6298)
const OUT_FAILS: u32 = 5; // failures in a row, time-outs twice, on every endpoint, that shut a lane
const OUT_SHARE: f64 = 0.7; // or this share of failures of late
const GOODS: (u32, u32) = (2, 3); // trials delivered in a row that prove a return; if it answered errors
const SHUT_FULLS: u32 = 5; // refusals in a row, over SHUT_MS, that mean shut and not just over the limit
const SHUT_MS: f64 = 2000.0;
const TRIAL_MS: (f64, f64, f64, f64) = (500.0, 2000.0, 4000.0, 30000.0); // between trials: dense; sparse
const CROWD: f64 = 8.0; // from so many relays on a relay's own calls are few of all
const CUT: (f64, f64) = (0.85, 0.15); // of the pace, at a refusal; when sparse
const CUT_MS: f64 = 500.0; // refusals within this time count as one
const GAIN: (f64, f64) = (0.03, 0.3); // of the pace, for each delivery; when sparse
const GROW: f64 = 1.25; // a pace grows up to this multiple of what was delivered of late
const BURST_MS: f64 = 300.0; // what the bucket holds, at the pace: those of all relays fit a short queue
const SHOWN_MARGIN: f64 = 0.65; // of what a returning destination delivers just now, taken for its capacity
const SOON_MS: f64 = 2000.0; // the short memory for rates
const LONG_MS: f64 = 15000.0; // the long one
const KEEP_MS: f64 = 300.0; // an idle connection is kept if the next call on it is expected this soon
const HURT_MS: f64 = 60000.0; // or if no connection of its kind was refused or broke for so long
const ASK_MS: (f64, f64) = (500.0, 8000.0); // between failed calls for the list

impl Lane {
    fn new(now: f64) -> Self {
        let (soon, usual) = (Meter::new(SOON_MS), Meter::new(LONG_MS));
        Lane { tokens: 1.0, filled: now, backoff: TRIAL_MS.0, soon, usual, ..Lane::default() }
    }
    /// The time after which a call outruns this lane's measured latency.
    fn overrun(&self, aim: f64) -> f64 {
        self.latency.map_or(aim, |(mean, dev)| mean + (SICK_DEVS * dev).max(mean))
    }
    fn measure(&mut self, took: f64) {
        self.latency = Some(match self.latency {
            None => (took, took / 2.0),
            Some((mean, dev)) => (mean + (took - mean) / 8.0, dev + ((took - mean).abs() - dev) / 4.0),
        });
    }
    fn refill(&mut self, now: f64) {
        // With no pace set the bucket stays full: sends must not run up a debt that a later pace would pay.
        self.tokens = self.pace.map_or(1.0, |pace| {
            let most = (pace * BURST_MS / 1000.0).max(1.0);
            (self.tokens + pace * (now - self.filled).max(0.0) / 1000.0).min(most)
        });
        self.filled = now;
    }
}

/// Time-outs: generous, as the work runs on; none for what could not be tried again.
fn time_out(now: f64, l: &Lane, c: &Class, due: f64) -> Option<f64> {
    let base = l.overrun(c.aim_ms);
    let trial = l.phase == Phase::Out;
    let cap = if trial { base.max(c.aim_ms / 2.0) } else { (3.0 * base).max(c.aim_ms).min(2.0 * c.aim_ms) };
    let cap = cap * f64::from(1u32 << l.fails.min(2));
    (c.effect != Effect::Unsafe && now + cap < due).then_some(cap)
}

/// The decisions of one relay.
#[derive(Debug, Default)]
pub struct Relay {
    s: Settings,
    rng: fastrand::Rng,
    /// Destinations to send to in this order where credits are equal.
    pub hints: std::collections::VecDeque<u64>,
    now: f64,
    seq: u64,
    msgs: BTreeMap<u64, Msg>,
    dests: BTreeMap<u64, Dest>,
    hosts: BTreeMap<String, Host>,
    homes: BTreeMap<u64, BTreeSet<String>>,
    lanes: BTreeMap<LaneId, Lane>,
    calls: BTreeMap<u64, Call>,
    keys: BTreeMap<String, Key>,
    tenants: Vec<Meter>,
    all: Meter,
    /// Calls begun in this reply to endpoints that take batches: what may still join.
    open: BTreeMap<String, (u64, usize)>,
    watching: bool,
    asked: bool,
    ask_at: f64,
    ask_wait: f64,
    armed: f64,
    probes: BTreeMap<String, LaneId>,
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
        Relay { rng, tenants, all, ask_wait: ASK_MS.0, armed: f64::MAX, s, ..Relay::default() }
    }

    /// Takes what came in at `now` and appends what is to be done.
    pub fn handle(&mut self, now: f64, events: &[Event], out: &mut Vec<Action>) {
        self.now = sane(now, self.now, 1e15);
        self.open.clear();
        for event in events {
            self.event(event, out);
        }
        self.ask(out);
        self.expire(out);
        self.release(out);
        self.arm(out);
        self.dests.retain(|_, d| d.out > 0 || !d.hold.is_empty());
    }

    /// The outages that a later process of this relay should know of.
    pub fn outages(&self) -> Vec<Outage> {
        let known = self.lanes.iter().filter_map(|((destination, endpoint), l)| {
            let back = match l.phase {
                Phase::Well => return None,
                Phase::Out => None,
                Phase::Ramp(since) => Some(since),
            };
            Some(Outage { destination: *destination, endpoint: endpoint.clone(), back, before: l.before })
        });
        known.collect()
    }

    fn event(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Discovery(news) => self.discovery(news, out),
            Event::Request { .. } => self.take(event, out),
            Event::Restored { .. } => self.restore(event, out),
            Event::Outages(known) => known.iter().for_each(|o| self.recall(o)),
            Event::Stopping { at } => self.stop_at = Some(*at),
            Event::Started { id, .. } => {
                self.msgs.entry(*id).and_modify(|m| m.started = true);
            }
            Event::Ended { .. } => self.ended(event, out),
            Event::Withdrawn { id } => self.close(*id, out),
            Event::Timer { .. } => self.armed = f64::MAX,
            Event::Probed { endpoint, outcome, report, .. } => self.probed(endpoint, *outcome, report, out),
            // What came after it: the streams that are compared have none of these.
            Event::Note { .. } | Event::Resumed { .. } | Event::Waits(_) => {}
        }
    }

    // ---- worth

    /// What is left of a request's worth if it is delivered at `at`, given [`Relay::shares`].
    fn worth(&self, m: &Msg, at: f64, shares: &[f64]) -> f64 {
        let c = &self.s.classes[m.class];
        let late = at - m.born - c.aim_ms;
        if at >= m.due {
            return 0.0;
        }
        let left = match self.s.fade {
            _ if late <= 0.0 => 1.0,
            Fade::Halves => 0.5f64.powf(late / c.aim_ms).max(c.late_worth),
            Fade::Even => 1.0 - (1.0 - c.late_worth) * (late / (c.deadline_ms - c.aim_ms).max(1.0)).min(1.0),
        };
        left * c.worth * shares.get(m.tenant).copied().unwrap_or(1.0)
    }

    /// [`Relay::in_share`] of each tenant, for those who judge many requests at one time.
    fn shares(&self) -> Vec<f64> {
        (0..self.tenants.len()).map(|tenant| self.in_share(tenant)).collect()
    }

    /// Expected worth of a tenant's request: which of its requests are beyond its share nobody tells, but
    /// how much of its traffic is shows. Each relay gets some part of all traffic, long measured over all
    /// tenants; a tenant that sends more than that part of its rate is beyond its share here.
    fn in_share(&self, tenant: usize) -> f64 {
        let (Some(meter), Some(rate)) = (self.tenants.get(tenant), self.s.tenant_rates.get(tenant)) else {
            return 1.0;
        };
        let total: f64 = self.s.tenant_rates.iter().sum();
        let part = (self.all.rate(self.now) / total.max(1e-9)).clamp(1.0 / self.s.relays as f64, 1.0);
        let share = (part * rate / meter.rate(self.now).max(1e-9)).min(1.0);
        share + (1.0 - share) * self.s.over_share_worth
    }

    // ---- endpoints and lanes

    fn lane_of(&self, name: &str, h: &Host) -> LaneId {
        let apart = self.s.apart.get(h.kind).copied().unwrap_or(false);
        (h.dest, if apart { name.to_string() } else { String::new() })
    }

    fn hosts_of(&self, dest: u64) -> impl Iterator<Item = (&String, &Host)> {
        self.homes.get(&dest).into_iter().flatten().filter_map(|name| Some((name, self.hosts.get(name)?)))
    }

    fn lanes_of(&self, dest: u64) -> impl Iterator<Item = (&LaneId, &Lane)> {
        self.lanes.range((dest, String::new())..(dest.saturating_add(1), String::new()))
    }

    /// The lane's limit if told, as this relay's even part.
    fn part(&self, lane: &Lane) -> Option<f64> {
        lane.told.map(|t| t / self.s.relays as f64)
    }

    /// What a lane that came back bears in one span of the rule, as this relay's part: a multiple of what it
    /// can do cold, growing as it warms, judged by what this relay usually delivered there before.
    fn bears(&self, lane: &Lane, since: f64) -> f64 {
        let s = &self.s;
        let warm = ((self.now - since) / s.warm_after_ms).clamp(0.0, 1.0);
        let able = s.cold_share + (1.0 - s.cold_share) * warm;
        let usual = lane.usual.rate(self.now).max(lane.before).max(self.part(lane).unwrap_or(0.0));
        // What it delivers just now it can do, whatever the clock says: slowness is no outage.
        let shown = SHOWN_MARGIN * lane.soon.rate(self.now);
        s.fall_multiple * (able * usual).max(shown) * s.fall_ms / 1000.0
    }

    /// When the lane may take a call: now, or at a later time (`f64::MAX`: not before something happens).
    fn gate(&self, id: &LaneId) -> f64 {
        let Some(l) = self.lanes.get(id) else { return self.now };
        let mut at = l.wait_until;
        match l.phase {
            Phase::Out if l.trial_out => return f64::MAX,
            Phase::Out => return at.max(l.trial_at),
            Phase::Ramp(since) => {
                // Less than one call in a span is one in a longer span: hundreds of relays return together.
                let bears = self.bears(l, since);
                let span = (self.s.fall_ms / bears.clamp(0.01, 1.0)).min(self.s.warm_after_ms);
                let recent = || l.sent.iter().filter(|x| x.0 > self.now - span);
                if recent().map(|x| x.1).sum::<f64>() + 1.0 > bears.max(1.0) {
                    let oldest = recent().next().map_or(self.now, |x| x.0);
                    at = at.max((oldest + span + 1.0).min(self.now + 250.0));
                }
            }
            Phase::Well => {}
        }
        if let Some(pace) = l.pace {
            let have = l.tokens + pace * (self.now - l.filled).max(0.0) / 1000.0;
            if have < 1.0 {
                at = at.max(self.now + (1.0 - have) / pace.max(1e-6) * 1000.0);
            }
        }
        at
    }

    /// Whether a destination is sick: a call outruns its latency, or its last outcome failed.
    fn sick(&self, dest: u64) -> bool {
        let late = |c: &Call| {
            c.lane.0 == dest && self.lanes.get(&c.lane).is_some_and(|l| self.now - c.sent > l.overrun(c.aim))
        };
        let calls = self.dests.get(&dest).is_some_and(|d| d.out > 0);
        self.lanes_of(dest).any(|(_, l)| l.failing || l.phase == Phase::Out)
            || (calls && self.calls.values().any(late))
    }

    /// The slot ceiling: under three quarters of the slots, half while sick.
    fn ceiling(&self, dest: u64) -> usize {
        let most = if self.sick(dest) { self.s.slots / 2 } else { self.s.slots * 3 / 4 };
        most.max(1)
    }

    /// A lane is out, or a trial of it failed; `answered` says after how long, if it answered at all.
    fn shut(&mut self, id: &LaneId, why: &str, answered: Option<f64>, out: &mut Vec<Action>) {
        let (now, jitter) = (self.now, 0.75 + 0.5 * self.rng.f64());
        let cold = self.lanes.get(id).map_or(0.0, |l| self.bears(l, now));
        let Some(l) = self.lanes.get_mut(id) else { return };
        if l.phase != Phase::Out {
            out.push(Action::Log(format!("destination {} out: {why}", id.0)));
            l.trial_out = false;
        }
        l.before = if l.phase == Phase::Well { l.usual.rate(now) } else { l.before };
        // Trials use up the limit, or push over what returns: who calls seldom tries seldom.
        let (gap, crowd) = (1000.0 / l.before.max(1e-9), self.s.relays as f64);
        let least = gap.clamp(TRIAL_MS.0, (TRIAL_MS.0 * crowd).min(TRIAL_MS.2));
        let most = (2.0 * gap).clamp(TRIAL_MS.1, (TRIAL_MS.0 * crowd).clamp(TRIAL_MS.1, TRIAL_MS.3));
        let wait = l.backoff.max(least).min(most);
        // A destination that answers with errors is there, and some of what it is sent may well be delivered:
        // trials go as fast as it bears when it comes back cold, and find its return at once. It also guards
        // against errors that only some calls get. It could do harm where errors use up a limit, or cost more
        // than a delivery; so never without an answer, and never beyond the budget of a ramp.
        let paced = (self.s.fall_ms / cold.max(1e-9)).min(wait);
        l.trial_at = now + answered.map_or(wait * jitter, |took| (paced * jitter - took).max(0.0));
        l.backoff = answered.map_or(2.0 * wait, |_| l.backoff);
        l.answers = answered.is_some();
        l.phase = Phase::Out;
        (l.good, l.probe_good) = (0, false);
    }

    /// A trial call or probe succeeded: after that, the lane is taken to be back, and cold.
    fn back(&mut self, id: &LaneId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(l) = self.lanes.get_mut(id) else { return };
        l.good += 1;
        l.trial_at = now;
        // Where calls fail at random, one success proves little.
        let enough = if l.answers { GOODS.1 } else { GOODS.0 };
        if l.good >= if l.share > 0.5 { enough } else { 1 } {
            l.phase = Phase::Ramp(now);
            (l.fails, l.share, l.fulls, l.pace, l.failing) = (0, 0.0, 0, None, false);
            out.push(Action::Log(format!("destination {} back, ramping", id.0)));
        }
    }

    /// What the end of a call or probe says of its lane and endpoint.
    fn learn(&mut self, seen: &Seen, out: &mut Vec<Action>) {
        let &Seen { lane: id, host, outcome: o, took, wait, trial } = seen;
        let now = self.now;
        let part = self.lanes.get(id).and_then(|l| self.part(l));
        let (first, few) = self.paces();
        let Some(l) = self.lanes.get_mut(id) else { return };
        l.trial_out &= !trial;
        // A wait is told by a refusal, or by an answer that shows nothing else for certain.
        l.wait_until = l.wait_until.max(if wait > 0.0 { now + wait } else { 0.0 });
        match o {
            Outcome::Cancelled | Outcome::NotSent => return,
            Outcome::Stale => return self.conns_hurt.extend(self.hosts.get(host).map(|h| (h.kind, now))),
            Outcome::Delivered => {
                l.measure(took);
                l.refill(now);
                (l.failing, l.fails, l.fulls) = (false, 0, 0);
                l.share *= 0.8;
                l.good_at = now;
                l.soon.add(now, 1.0);
                l.usual.add(now, f64::from(u8::from(l.phase != Phase::Out)));
                if matches!(l.phase, Phase::Ramp(since) if now - since > self.s.warm_after_ms) {
                    (l.phase, l.backoff) = (Phase::Well, TRIAL_MS.0);
                }
                // A pace that is not used proves nothing (as with a congestion window, RFC 7661): growing all
                // the same it ends far beyond any limit, and a told wait that ends lets a flood go. It also
                // guards against a limit that falls. It could do harm where a rush begins after a refusal and
                // no limit is told: then it takes some seconds to find what may be sent.
                let proved = (GROW * l.soon.rate(now)).max(part.unwrap_or(0.0)).max(first);
                if let Some(pace) = l.pace.as_mut().filter(|pace| **pace < proved) {
                    let gain = if *pace > few { GAIN.0 } else { GAIN.1 };
                    *pace = (*pace + gain * part.unwrap_or(*pace).max(*pace)).min(proved);
                }
                l.pace = l.pace.filter(|_| now - l.cut_at <= LONG_MS);
                if let Some(h) = self.hosts.get_mut(host) {
                    (h.fails, h.shun_until) = (0, 0.0);
                }
                if l.phase == Phase::Out && l.unproved {
                    // Shut for late answers alone, and now they come: it was slow, not gone.
                    (l.phase, l.backoff) = (Phase::Well, TRIAL_MS.0);
                } else if l.phase == Phase::Out && (trial || !l.answers) {
                    // What was out before most calls failed says nothing of now.
                    self.back(id, out);
                }
                return;
            }
            Outcome::Full => {
                l.unproved = false;
                l.full_since = if l.fulls == 0 { now } else { l.full_since };
                l.fulls += 1;
                let again = l.fulls >= SHUT_FULLS && now - l.full_since > SHUT_MS || l.phase == Phase::Out;
                let once = l.fulls < 2;
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
        if let Some(h) = self.hosts.get_mut(host) {
            let hurt = matches!(o, Outcome::NoConnection | Outcome::Broken);
            self.conns_hurt.extend(hurt.then_some((h.kind, now)));
            h.fails += 1;
            h.shun_until = now + TRIAL_MS.0 * f64::from(1u32 << h.fails.min(3));
            h.conns = 0;
        }
        let (fails, share, phase, sparse) = (l.fails, l.share, l.phase, l.usual.rate(now) < few);
        let every = self.hosts_of(id.0).filter(|x| x.1.listed == Listed::Active).all(|x| x.1.fails > 0);
        if fails >= 2 && sparse {
            self.slow(id, false);
        }
        // While out only a failed trial puts the next one off: what was out before says nothing new.
        let enough = if phase == Phase::Well { OUT_FAILS } else { OUT_FAILS - 2 };
        if if phase == Phase::Out { trial } else { (every && fails >= enough) || share > OUT_SHARE } {
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
    fn slow(&mut self, id: &LaneId, told: bool) {
        let (now, random, (first, few)) = (self.now, self.rng.f64(), self.paces());
        let part = self.lanes.get(id).and_then(|l| self.part(l)).unwrap_or(0.0);
        let Some(l) = self.lanes.get_mut(id) else { return };
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

    fn report(&mut self, id: &LaneId, report: &[f64]) {
        let limit = self.s.limit_column.and_then(|c| report.get(c)).filter(|x| x.is_finite() && **x > 0.0);
        self.lanes.entry(id.clone()).and_modify(|l| l.told = limit.copied().or(l.told));
    }

    fn probed(&mut self, host: &str, o: Outcome, report: &[f64], out: &mut Vec<Action>) {
        let Some(id) = self.probes.remove(host) else { return };
        self.report(&id, report);
        if o != Outcome::Delivered {
            return self.learn(&Seen { lane: &id, host, outcome: o, took: 0.0, wait: 0.0, trial: true }, out);
        }
        // A probe may be answered beside the queue: it only earns a real call, it proves nothing.
        let now = self.now;
        self.lanes.entry(id).and_modify(|l| (l.trial_out, l.probe_good, l.trial_at) = (false, true, now));
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
        let key = key.clone().filter(|_| self.s.classes[class].in_order);
        self.seq += 1;
        key.iter().for_each(|k| self.keys.entry(k.clone()).or_default().line.push_back(id));
        self.tenants.get_mut(tenant).into_iter().chain([&mut self.all]).for_each(|t| t.add(self.now, 1.0));
        let m = Msg { class, tenant, key, born, due, dest, seq: self.seq, held: true, ..Msg::default() };
        self.msgs.insert(id, m);
        self.hold(dest, id);
        self.make_room(out);
    }

    /// A request of an earlier process: what its attempts may have done binds here as it did there.
    fn restore(&mut self, event: &Event, out: &mut Vec<Action>) {
        let Event::Restored { id, class, tenant, key, due, destination, attempts, maybe, uncertain } = event
        else {
            return;
        };
        let (id, class, due) = (*id, (*class).min(self.s.classes.len().saturating_sub(1)), *due);
        let Some(c) = self.s.classes.get(class) else { return out.push(Action::Fail { id }) };
        let (born, key) = ((due - c.deadline_ms).min(self.now), key.clone().filter(|_| c.in_order));
        let lost = maybe.is_some() && c.effect == Effect::Unsafe;
        self.seq += 1;
        if let Some(k) = &key {
            let line = self.keys.entry(k.clone()).or_default();
            line.line.push_back(id);
            if *uncertain {
                (line.rest, line.last) = (self.now + self.s.order_pause_ms, id);
            }
        }
        let (tries, maybe, dest, seq) = (*attempts, maybe.clone(), *destination, self.seq);
        let (tenant, held) = (*tenant, true);
        let m = Msg { class, tenant, key, born, due, dest, seq, held, tries, maybe, ..Msg::default() };
        self.msgs.insert(id, m);
        self.hold(dest, id);
        if lost || tries >= self.s.max_attempts || self.now >= due - 1.0 {
            self.give_up(id, out);
        }
    }

    /// An outage that an earlier process knew of: trials first, or a ramp, as if this one had seen it.
    fn recall(&mut self, o: &Outage) {
        let now = self.now;
        let id = (o.destination, o.endpoint.clone());
        let l = self.lanes.entry(id).or_insert_with(|| Lane::new(now));
        (l.phase, l.before, l.trial_at) = (o.back.map_or(Phase::Out, Phase::Ramp), o.before, now);
    }

    /// Keeps one place free for what comes next: with the hold full, the request that earns least for the
    /// time that it keeps its place is refused, the newest first among equals. Without this, what is held
    /// for dead destinations fills the hold, and what could go straight out is turned away.
    fn make_room(&mut self, out: &mut Vec<Action>) {
        while self.msgs.len() >= self.s.max_open {
            let shares = self.shares();
            let mut earns: Vec<(f64, u64, u64)> = Vec::new();
            for (dest, d) in &self.dests {
                let wait = self.drain_ms(*dest, d.hold.len());
                let mut newest: BTreeMap<(usize, usize), (f64, u64, u64)> = BTreeMap::new();
                for id in &d.hold {
                    let m = &self.msgs[id];
                    if self.harmless(m) {
                        let last = newest.entry((m.class, m.tenant)).or_default();
                        *last = if (m.due, m.seq) >= (last.0, last.1) { (m.due, m.seq, *id) } else { *last };
                    }
                }
                for (_, seq, id) in newest.into_values() {
                    let m = &self.msgs[&id];
                    let at = (self.now + wait).min(m.due - 1.0);
                    earns.push((self.worth(m, at, &shares) / wait, seq, id));
                }
            }
            let least = earns.into_iter().min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
            let Some((_, _, id)) = least else { return };
            let dest = self.msgs[&id].dest;
            if !std::mem::replace(&mut self.dests.entry(dest).or_default().full_logged, true) {
                out.push(Action::Log(format!("hold full, refusing for destination {dest}")));
            }
            self.give_up(id, out);
        }
    }

    /// How long a hold takes to send so many requests.
    fn drain_ms(&self, dest: u64, count: usize) -> f64 {
        // A well lane without a pace sends as slots allow, also if it never did; one that is out hardly.
        let able = |l: &Lane| match (l.phase, l.pace) {
            (Phase::Out, _) => 0.0,
            (_, Some(pace)) => pace,
            (Phase::Well, _) => self.s.slots as f64 * 1000.0 / l.latency.map_or(1000.0, |x| x.0.max(1.0)),
            _ => l.soon.rate(self.now).max(l.usual.rate(self.now)),
        };
        let rate: f64 = self.lanes_of(dest).map(|x| able(x.1)).sum();
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
            let wait = self.drain_ms(m.dest, self.dests.get(&m.dest).map_or(0, |d| d.hold.len()));
            let retry_after_ms = self.s.retry_after.then(|| wait.min(self.s.max_retry_after_ms));
            out.push(Action::Refuse { id, retry_after_ms });
        } else {
            out.push(Action::Fail { id });
        }
        self.close(id, out);
    }

    /// A request is over: it leaves the hold; what is still out for it is called off.
    fn close(&mut self, id: u64, out: &mut Vec<Action>) {
        let Some(m) = self.msgs.get_mut(&id) else { return };
        let first = !std::mem::replace(&mut m.over, true);
        if std::mem::replace(&mut m.held, false) {
            self.dests.entry(m.dest).and_modify(|d| d.drop(id));
        }
        if first && self.s.may_cancel && !m.started {
            out.extend(m.flying.iter().map(|f| Action::Cancel { id, attempt: f.0 }));
        }
        if m.flying.is_empty() {
            let key = m.key.take().unwrap_or_default();
            self.keys.entry(key.clone()).and_modify(|k| k.line.retain(|x| *x != id));
            if self.keys.get(&key).is_some_and(|k| k.line.is_empty() && k.rest <= self.now) {
                self.keys.remove(&key);
            }
            self.msgs.remove(&id);
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
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.left -= 1;
        let first = !std::mem::replace(&mut call.counted, true);
        let call = call.clone();
        if !o.never_ran() && m.maybe.as_ref().is_none_or(|x| call.sent < x.0) {
            m.maybe = Some((call.sent, call.host.clone()));
        }
        if matches!(o, Outcome::TimedOut | Outcome::Broken | Outcome::Stale | Outcome::Cancelled) {
            if let Some(k) = m.key.as_ref().and_then(|k| self.keys.get_mut(k)) {
                (k.rest, k.last) = (self.now + self.s.order_pause_ms, id);
            }
        }
        if call.left == 0 {
            self.calls.remove(&call_id);
            // Where connections were refused or broke, idle ones of many relays shut others out, or are dead.
            let usual = self.lanes.get(&call.lane).map_or(0.0, |l| l.usual.rate(self.now));
            let held = self.dests.get(&call.lane.0).is_some_and(|d| !d.hold.is_empty());
            let harm = self.hosts.get(&call.host).and_then(|h| self.conns_hurt.get(&h.kind));
            let hurt = harm.is_some_and(|at| self.now - at < HURT_MS);
            let close = hurt && !held && usual * KEEP_MS < 1000.0;
            self.dests.entry(call.lane.0).and_modify(|d| d.out = d.out.saturating_sub(1));
            if let Some(h) = self.hosts.get_mut(&call.host) {
                (h.out, h.used_at) = (h.out.saturating_sub(1), self.now);
                if close && h.out == 0 {
                    h.conns = 0;
                    out.push(Action::CloseIdle { endpoint: call.host.clone() });
                }
            }
        }
        self.report(&call.lane, report);
        if first {
            // What was called off here for its lateness says of the lane what a time-out would have said.
            let silent = self.lanes.get(&call.lane).is_some_and(|l| l.good_at < call.sent);
            let o = if o == Outcome::Cancelled && call.called_off && silent { Outcome::TimedOut } else { o };
            let (took, wait) = (sane(*took_ms, 0.0, 1e9), sane(*wait_ms, 0.0, 1e9));
            let (lane, host) = (&call.lane, call.host.as_str());
            self.learn(&Seen { lane, host, outcome: o, took, wait, trial: call.trial }, out);
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
        m.held = true;
        let dest = m.dest;
        self.hold(dest, id);
    }

    fn hold(&mut self, dest: u64, id: u64) {
        let seq = self.msgs[&id].seq;
        let d = self.dests.entry(dest).or_default();
        let hold = &mut d.hold;
        let place = hold.iter().position(|x| self.msgs[x].seq > seq).unwrap_or(hold.len());
        hold.insert(place, id);
    }

    /// Until when a request may be sent: a keyed one that may have run, only within its window.
    fn last_send(&self, m: &Msg) -> f64 {
        let c = &self.s.classes[m.class];
        match &m.maybe {
            Some((at, _)) if c.effect == Effect::Keyed => m.due.min(at + c.window_ms - self.s.tick_ms),
            _ => m.due,
        }
    }

    /// Whether the endpoint would drop a repeat of what the request may have done already.
    fn group_fits(&self, m: &Msg, name: &str, h: &Host) -> bool {
        let c = &self.s.classes[m.class];
        let Some((_, first)) = m.maybe.as_ref().filter(|_| c.effect == Effect::Keyed) else { return true };
        match c.group {
            Group::All => true,
            Group::Zone => self.hosts.get(first).is_some_and(|f| f.zone == h.zone),
            Group::Endpoint => first == name,
        }
    }

    // ---- discovery

    fn discovery(&mut self, news: &Discovery, out: &mut Vec<Action>) {
        let (list, whole) = match news {
            Discovery::Failed => {
                if self.ask_wait <= ASK_MS.0 {
                    out.push(Action::Log("discovery failing, keeping the list held".to_string()));
                }
                (self.watching, self.asked) = (false, false);
                self.ask_at = self.now + self.ask_wait * (0.5 + self.rng.f64());
                self.ask_wait = (self.ask_wait * 2.0).min(ASK_MS.1);
                return;
            }
            Discovery::Whole(list) => (list, true),
            Discovery::Cached(list) | Discovery::Changes(list) => (list, false),
        };
        if self.asked && !matches!(news, Discovery::Cached(_)) {
            (self.watching, self.ask_wait) = (true, ASK_MS.0);
        }
        self.hosts.values_mut().filter(|_| whole).for_each(|h| h.listed = Listed::Gone);
        let now = self.now;
        for e in list {
            let h = self.hosts.entry(e.name.clone()).or_default();
            self.homes.entry(h.dest).or_default().remove(&e.name);
            self.homes.entry(e.destination).or_default().insert(e.name.clone());
            (h.dest, h.zone, h.kind, h.listed) = (e.destination, e.zone, e.kind, e.listed);
            let id = self.lane_of(&e.name, &self.hosts[&e.name]);
            let l = self.lanes.entry(id).or_insert_with(|| Lane::new(now));
            if self.s.weights != WeightMeaning::Nothing && e.weight.is_finite() && e.weight > 0.0 {
                l.told = Some(e.weight);
            }
        }
        let all: Vec<String> = self.hosts.keys().filter(|_| whole).cloned().collect();
        for name in all.iter().chain(list.iter().map(|e| &e.name)) {
            let Some(h) = self.hosts.get(name) else { continue };
            if h.listed != Listed::Gone || h.out > 0 {
                continue;
            }
            let id = self.lane_of(name, h);
            self.homes.entry(h.dest).or_default().remove(name);
            self.hosts.remove(name);
            if !id.1.is_empty() && self.lanes.get(&id).is_some_and(|l| l.wait_until <= now) {
                self.lanes.remove(&id);
            }
        }
    }

    fn ask(&mut self, out: &mut Vec<Action>) {
        if self.s.ask_discovery && !self.watching && !self.asked && self.now >= self.ask_at {
            self.asked = true;
            out.push(Action::Watch(true));
        }
    }

    // ---- release: Most Credit First

    fn release(&mut self, out: &mut Vec<Action>) {
        self.watch_overruns(out);
        self.free_slots(out);
        // What each destination would send next. A send changes that of its own destination alone.
        let mut picks: BTreeMap<u64, Option<(u64, String)>> = BTreeMap::new();
        while self.calls.len() < self.s.slots {
            let backlogged: Vec<u64> =
                self.dests.iter().filter(|d| !d.1.hold.is_empty()).map(|d| *d.0).collect();
            let mut best: Option<(i128, u64, u64)> = None;
            for dest in &backlogged {
                if !picks.contains_key(dest) {
                    let picked = self.pick(*dest, out);
                    picks.insert(*dest, picked);
                }
                let Some(Some((id, _))) = picks.get(dest) else { continue };
                let (credit, seq) = (self.dests[dest].credit, self.msgs[id].seq);
                // Among equals as told, which must be one of them.
                let seq = if self.hints.front() == Some(dest) { 0 } else { seq };
                if best.is_none_or(|b| credit > b.0 || (credit == b.0 && seq < b.1)) {
                    best = Some((credit, seq, *dest));
                }
            }
            let Some(dest) = best.map(|b| b.2) else { return };
            let Some((id, host)) = picks.remove(&dest).flatten() else { return };
            // A lone request that goes straight out is no turn: it moves no credit.
            if backlogged.len() > 1 || self.dests[&dest].hold.len() > 1 {
                let weight = TURN / backlogged.len() as i128;
                // While slots are short a turn costs its slot time: else slow destinations take most of them.
                let mean = |d: u64| self.lanes_of(d).filter_map(|x| x.1.latency).fold(1.0, |m, l| l.0.max(m));
                let mean = |d: u64| (mean(d) * 1000.0) as u64;
                let all = backlogged.iter().map(|d| mean(*d)).sum::<u64>() as f64 / backlogged.len() as f64;
                let short = self.calls.len() + 1 >= self.s.slots;
                let cost = if short { (mean(dest) as f64 / all).clamp(0.5, 3.0) } else { 1.0 };
                for (name, d) in self.dests.iter_mut().filter(|d| !d.1.hold.is_empty()) {
                    let paid = if *name == dest { (cost * TURN as f64) as i128 } else { 0 };
                    d.credit = (d.credit + weight - paid).clamp(-CREDIT_CAP, CREDIT_CAP);
                }
            }
            self.send(id, &host, out);
            // What else is held for that endpoint rides along where its kind takes batches.
            while self.open.contains_key(&host) {
                let mut held = self.ranked(dest).into_iter();
                let Some(next) = held.find(|id| self.fits(*id, &host, false)) else { break };
                self.send(next, &host, out);
            }
        }
    }

    /// The held requests of a destination in the order in which they should go: first in, first out, unless
    /// the hold is so long that some would lose worth by going last; then what loses most goes first.
    fn ranked(&self, dest: u64) -> Vec<u64> {
        let hold = self.dests.get(&dest).map(|d| &d.hold);
        let latency = self.lanes_of(dest).filter_map(|(_, l)| l.latency).map(|l| l.0);
        let soon = self.now + latency.fold(0.0, f64::max);
        let last = soon + self.drain_ms(dest, hold.map_or(0, |h| h.len()));
        let shares = self.shares();
        let loss = |m: &Msg| self.worth(m, soon, &shares) - self.worth(m, last, &shares);
        let loss = |m: &Msg| (loss(m) * LOSS_STEPS).round();
        let mut ids: Vec<(f64, u64)> =
            hold.into_iter().flatten().map(|id| (loss(&self.msgs[id]), *id)).collect();
        ids.sort_by(|a, b| b.0.total_cmp(&a.0));
        ids.into_iter().map(|k| k.1).collect()
    }

    /// Whether a held request may go to an endpoint now. On trial, what may be lost stays behind.
    fn fits(&self, id: u64, host: &str, trial: bool) -> bool {
        let (m, Some(h)) = (&self.msgs[&id], self.hosts.get(host)) else { return false };
        if m.not_before > self.now || self.now >= self.last_send(m) || !self.group_fits(m, host, h) {
            return false;
        }
        let c = &self.s.classes[m.class];
        let lane = self.lanes.get(&self.lane_of(host, h));
        // What is out when the process ends may have run, for all that anyone will know.
        let ends = |l: &Lane| time_out(self.now, l, c, m.due).map_or(m.due, |ms| self.now + ms);
        if self.stop_at.is_some_and(|stop| lane.is_none_or(|l| ends(l) > stop)) {
            return false;
        }
        // A trial without the time for an answer shows nothing, and would count as failed.
        if trial && m.due - self.now < lane.and_then(|l| l.latency).map_or(0.0, |(mean, dev)| mean + dev) {
            return false;
        }
        if c.effect == Effect::Unsafe {
            // An unsafe request is lost by any failure that may have run: it waits for a lane that works.
            let share = lane.map_or(0.0, |l| l.share);
            if (trial || share > 0.3) && m.due - self.now > c.aim_ms {
                return false;
            }
        }
        match m.key.as_ref().and_then(|k| self.keys.get(k)) {
            Some(k) => k.line.front() == Some(&id) && (k.rest <= self.now || k.last == id),
            None => true,
        }
    }

    /// The endpoints of a destination that may be tried, the best first.
    fn choices(&self, dest: u64) -> Vec<(String, bool)> {
        let mut found = Vec::new();
        for (name, h) in self.hosts_of(dest).filter(|x| x.1.listed == Listed::Active) {
            let lane = self.lane_of(name, h);
            if self.gate(&lane) > self.now {
                continue;
            }
            let trial = self.lanes.get(&lane).is_some_and(|l| l.phase == Phase::Out);
            let fresh = self.now - h.used_at < self.s.conn_idle_ms;
            let idle = fresh && h.out < h.conns * self.s.conn_streams;
            let fee = self.s.route_fee.get(h.zone as usize).filter(|_| !lane.1.is_empty());
            let cost = if h.zone == self.s.zone { 0.0 } else { self.s.cross_zone_cost }
                + if idle { 0.0 } else { self.s.handshake_cost }
                + fee.unwrap_or(&0.0);
            let load = h.out as f64 * 0.02;
            found.push((h.shun_until > self.now, cost + load, h.out, name.clone(), trial));
        }
        found.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)).then(a.3.cmp(&b.3)));
        found.into_iter().map(|f| (f.3, f.4)).collect()
    }

    /// The request and endpoint that a destination would send next, if it may send.
    fn pick(&mut self, dest: u64, out: &mut Vec<Action>) -> Option<(u64, String)> {
        let choices = self.choices(dest);
        if choices.is_empty() || self.dests.get(&dest)?.out >= self.ceiling(dest) {
            return None;
        }
        let ids = self.ranked(dest);
        for (host, trial) in &choices {
            let mut fitting = ids.iter().copied().filter(|id| self.fits(*id, host, *trial));
            if !trial {
                match fitting.next() {
                    Some(id) => return Some((id, host.clone())),
                    None => continue,
                }
            }
            let fitting: Vec<u64> = fitting.collect();
            // A trial spends what has nothing to lose by it: what is worth most of what is safe to repeat or
            // may have run already, else a probe where the site takes probes, else anything.
            let spare = |id: &&u64| {
                let m = &self.msgs[*id];
                m.maybe.is_some() || self.s.classes[m.class].effect == Effect::Safe
            };
            if let Some(id) = fitting.iter().find(spare) {
                return Some((*id, host.clone()));
            }
            let lane = self.lane_of(host, &self.hosts[host]);
            let l = self.lanes.get_mut(&lane)?;
            if self.s.may_probe && !l.probe_good {
                l.trial_out = true;
                l.sent.push_back((self.now, 1.0));
                self.probes.insert(host.clone(), lane);
                out.push(Action::Probe { endpoint: host.clone() });
                return self.pick(dest, out);
            }
            if let Some(id) = fitting.first() {
                return Some((*id, host.clone()));
            }
        }
        None
    }

    fn send(&mut self, id: u64, host: &str, out: &mut Vec<Action>) {
        let now = self.now;
        let (Some(h), Some(m)) = (self.hosts.get(host), self.msgs.get(&id)) else { return };
        self.hints.pop_front();
        let lane_id = self.lane_of(host, h);
        let c = self.s.classes[m.class].clone();
        let Some(l) = self.lanes.get_mut(&lane_id) else { return };
        let trial = l.phase == Phase::Out;
        let batch = self.s.batch.get(h.kind).copied().unwrap_or(1).max(1);
        let timeout_ms = time_out(now, l, &c, m.due);
        let joined = match self.open.get_mut(host) {
            Some((call, room)) => {
                *room -= 1;
                let call = *call;
                self.open.retain(|_, x| x.1 > 0);
                l.sent.push_back((now, 0.25));
                self.calls.entry(call).and_modify(|call| call.left += 1);
                call
            }
            None => {
                self.seq += 1;
                let (lane, name, aim) = (lane_id.clone(), host.to_string(), c.aim_ms);
                let call = Call { lane, host: name, sent: now, left: 1, trial, aim, ..Call::default() };
                self.calls.insert(self.seq, call);
                if batch > 1 && !trial {
                    self.open.insert(host.to_string(), (self.seq, batch - 1));
                }
                l.refill(now);
                l.tokens -= 1.0;
                l.sent.push_back((now, 1.0));
                l.trial_out |= trial;
                if let Some(h) = self.hosts.get_mut(host) {
                    h.begin(now, self.s.conn_idle_ms, self.s.conn_streams);
                }
                self.dests.entry(lane_id.0).and_modify(|d| d.out += 1);
                self.seq
            }
        };
        let first = now - self.s.fall_ms.max(self.s.warm_after_ms);
        l.sent.retain(|x| x.0 >= first);
        self.calls.entry(joined).and_modify(|call| call.fragile |= c.effect == Effect::Unsafe);
        if let Some(m) = self.msgs.get_mut(&id) {
            m.flying.push((m.tries, joined));
            (m.tries, m.held) = (m.tries + 1, false);
            self.dests.entry(m.dest).and_modify(|d| d.drop(id));
        }
        out.push(Action::Send { id, endpoint: host.to_string(), timeout_ms });
    }

    /// A lane whose calls outrun their latency, with nothing delivered since they were sent, hangs or is
    /// silent: it is shut before the time-outs say so, so that the hold is not spent on it.
    fn watch_overruns(&mut self, out: &mut Vec<Action>) {
        let mut late: BTreeMap<LaneId, u32> = BTreeMap::new();
        for c in self.calls.values().filter(|c| !c.trial) {
            let Some(l) = self.lanes.get(&c.lane) else { continue };
            if l.phase != Phase::Out && l.good_at < c.sent && self.now - c.sent > 1.5 * l.overrun(c.aim) {
                *late.entry(c.lane.clone()).or_default() += 1;
            }
        }
        for (id, count) in late {
            let fails = self.lanes.get(&id).map_or(0, |l| l.fails);
            if count + fails >= 2 {
                self.shut(&id, "no answers", None, out);
                self.lanes.entry(id).and_modify(|l| l.unproved = fails == 0);
            }
        }
    }

    /// Slots held by calls that outran their latency are worth less than slots for queues that can send: with
    /// none free and such a queue waiting, the longest overrun call is called off. Without this, two hung
    /// destinations at their ceiling stop the whole relay. An unsafe request is lost by it and gets longer.
    fn free_slots(&mut self, out: &mut Vec<Action>) {
        if !self.s.may_cancel || self.calls.len() < self.s.slots {
            return;
        }
        let mut waiting = self.dests.iter().filter(|d| !d.1.hold.is_empty());
        if !waiting.any(|(dest, d)| d.out < self.ceiling(*dest) && self.would_send(*dest)) {
            return;
        }
        let mut worst: Option<(f64, u64)> = None; // the end of its time
        for (id, c) in &self.calls {
            if c.called_off {
                return;
            }
            let Some(l) = self.lanes.get(&c.lane) else { continue };
            // Changed along with the module: also on a lane that delivers.
            let patience = if c.fragile { 3.0 } else { 1.0 };
            let end = c.sent + patience * l.overrun(c.aim);
            if self.now > end && worst.is_none_or(|w| end < w.0) {
                worst = Some((end, *id));
            }
        }
        let Some((_, call)) = worst else { return };
        self.calls.entry(call).and_modify(|c| c.called_off = true);
        for (id, m) in &self.msgs {
            let off = m.flying.iter().filter(|f| f.1 == call);
            out.extend(off.map(|f| Action::Cancel { id: *id, attempt: f.0 }));
        }
    }

    fn would_send(&self, dest: u64) -> bool {
        self.choices(dest).iter().any(|(host, trial)| {
            let probes = *trial && self.s.may_probe;
            let unproved = |l: &Lane| !l.probe_good;
            let lane = self.lanes.get(&self.lane_of(host, &self.hosts[host]));
            let hold = &self.dests[&dest].hold;
            (probes && lane.is_some_and(unproved)) || hold.iter().any(|id| self.fits(*id, host, *trial))
        })
    }

    // ---- ends of time

    fn expire(&mut self, out: &mut Vec<Action>) {
        let count: usize = self.dests.values().map(|d| d.hold.len()).sum();
        let end = self.now + 2.0 * self.s.tick_ms + (count / 512) as f64 * 4.0;
        let held = self.dests.values().flat_map(|d| &d.hold).copied();
        for id in held.filter(|id| end >= self.last_send(&self.msgs[id])).collect::<Vec<_>>() {
            self.give_up(id, out);
        }
    }

    /// Sets one timer, for the next moment at which time alone changes something.
    fn arm(&mut self, out: &mut Vec<Action>) {
        let mut next = f64::MAX;
        let mut at = |t: f64| next = if t > self.now { next.min(t) } else { next };
        for (dest, d) in self.dests.iter().filter(|d| !d.1.hold.is_empty()) {
            for id in &d.hold {
                let m = &self.msgs[id];
                at(self.last_send(m) - 2.0 * self.s.tick_ms);
                at(m.not_before);
                at(m.key.as_ref().and_then(|k| self.keys.get(k)).map_or(0.0, |k| k.rest));
            }
            for (name, h) in self.hosts_of(*dest) {
                at(self.gate(&self.lane_of(name, h)));
            }
        }
        for c in self.calls.values() {
            let Some(l) = self.lanes.get(&c.lane) else { continue };
            at(c.sent + l.overrun(c.aim) + 1.0);
            at(c.sent + 1.5 * l.overrun(c.aim) + 1.0);
        }
        if self.s.ask_discovery && !self.watching && !self.asked {
            at(self.ask_at);
        }
        if next < self.armed {
            self.armed = next;
            out.push(Action::Timer { at: next, token: 0 });
        }
    }
}
