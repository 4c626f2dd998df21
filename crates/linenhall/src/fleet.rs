//! The destinations, their endpoints and what shares one limit and one health, as tables and lists. Kept here
//! and decided on in `logic`.

use crate::index::group_calls::GroupCalls;
use crate::index::sub_queue::SubQueue;
use crate::index::table::Table;
use crate::interface::{Endpoint, EndpointStatus, Outage};
use crate::meter::Meter;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The name of an endpoint or a key, shared by all who keep it.
pub type Name = Arc<str>;

/// Health of a lane.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum BreakerState {
    #[default]
    Closed,
    /// Only single trial calls go out.
    Open,
    /// Back since then, and perhaps still cold.
    SlowStart(f64),
}

pub type EndpointGroupId = (u64, Name);

/// What went out on a lane of late: when, and how much had gone before it in all.
#[derive(Clone, Debug, Default)]
pub struct Sends {
    rows: VecDeque<(f64, f64)>,
    total: f64,
}

impl Sends {
    /// Something goes out; what went before `first` is forgotten.
    pub fn add(&mut self, now: f64, weight: f64, first: f64) {
        self.rows.push_back((now, self.total));
        self.total += weight;
        while self.rows.front().is_some_and(|x| x.0 < first) {
            self.rows.pop_front();
        }
    }
    /// How long ago what went out did, and how much it was, the oldest first.
    pub fn list(&self, now: f64) -> Vec<(f64, f64)> {
        let after = self.rows.iter().skip(1).map(|row| row.1).chain([self.total]);
        self.rows.iter().zip(after).map(|((at, before), after)| (now - at, after - before)).collect()
    }
    /// How much went out after a time, and when the first of it did.
    pub fn after(&self, time: f64) -> (f64, Option<f64>) {
        let at = self.rows.partition_point(|x| {
            crate::index::step();
            x.0 <= time
        });
        self.rows.get(at).map_or((0.0, None), |first| (self.total - first.1, Some(first.0)))
    }
}

/// What shares a limit and a health.
#[derive(Clone, Debug, Default)]
pub struct EndpointGroup {
    pub wait_until: f64,
    pub told: Option<f64>,
    /// The share of the limit that was left when last told.
    pub left: f64,
    /// After a refusal, where many relays share the limit: nothing goes out until then.
    pub quiet_until: f64,
    pub crowd: bool,
    /// In what share of its time of late something was held, as of then.
    pub busy: f64,
    pub heard_at: f64,
    /// When the bucket will be as full as it had been if a refusal had not emptied it.
    pub emptied_until: f64,
    pub pace: Option<f64>,
    pub tokens: f64,
    /// Up to when the bucket is reckoned; ahead, while a told wait lasts.
    pub filled: f64,
    pub cut_at: f64,
    pub latency: Option<(f64, f64)>,
    pub phase: BreakerState,
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
    pub sent: Sends,
    pub soon: Meter,
    pub usual: Meter,
    /// Calls out.
    pub calls: GroupCalls,
}

impl EndpointGroup {
    /// Whether nothing that is known of it, but the bucket, binds a call at `now` or later.
    pub fn binds_nothing(&self, now: f64) -> bool {
        let times = [self.wait_until, self.quiet_until, self.emptied_until];
        let healthy =
            self.phase == BreakerState::Closed && !self.trial_out && !self.failing && !self.unproved;
        healthy
            && (self.fails, self.fulls) == (0, 0)
            && times.iter().all(|t| *t <= now)
            && self.calls.oldest().next().is_none()
    }

    /// A delivery took so long: its mean and mean deviation as RFC 6298, section 2, has them for round trips.
    pub fn measure(&mut self, took: f64) {
        self.latency = Some(match self.latency {
            None => (took, took / 2.0),
            Some((mean, dev)) => (mean + (took - mean) / 8.0, dev + ((took - mean).abs() - dev) / 4.0),
        });
    }
}

/// An endpoint of the list.
#[derive(Clone, Debug)]
pub struct Host {
    pub dest: u64,
    pub group: EndpointGroupId,
    pub zone: u32,
    pub kind: usize,
    pub status: EndpointStatus,
    pub out: usize,
    pub fails: u32,
    pub shun_until: f64,
    pub conns: usize,
    pub used_at: f64,
    /// The whole list that named it last.
    pub named: u64,
}

impl Host {
    pub fn new(group: EndpointGroupId) -> Host {
        Host {
            dest: group.0,
            group,
            zone: 0,
            kind: 0,
            status: EndpointStatus::Active,
            out: 0,
            fails: 0,
            shun_until: 0.0,
            conns: 0,
            used_at: 0.0,
            named: 0,
        }
    }
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

/// What the held messages of one destination have in common, so that their time alone ranks them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubQueueKey {
    pub class: usize,
    pub tenant: usize,
    /// Of keyed messages that may have run: where first.
    pub first: Option<Name>,
    /// An earlier process took them on and made no call for them, nor did this one yet.
    pub untried: bool,
}

/// A destination: its endpoints and lanes, and what is held for it.
#[derive(Clone, Debug)]
pub struct Destination {
    pub hosts: BTreeSet<Name>,
    pub groups: BTreeSet<Name>,
    pub sub_queues: BTreeMap<SubQueueKey, SubQueue>,
    /// Held messages, those that may not go yet too.
    pub held: usize,
    /// Its credit, see [`crate::index::credits`].
    pub base: i128,
    /// The place in the order of arrival of what it would send next, when it was last looked at.
    pub next: u64,
    pub out: usize,
    pub full_logged: bool,
    /// What a delivery there takes of a slot, in whole microseconds: sums of them are exact.
    pub mean_us: u64,
    /// The same in milliseconds, over the last few deliveries, and what calls have taken since the last one.
    spent: (f64, f64),
}

/// A delivery's weight in the mean slot time.
const SPENT_GAIN: f64 = 1.0 / 8.0;

impl Destination {
    /// A call is over that had a slot for so long. What calls took that delivered nothing is part of the price of
    /// the next delivery.
    pub fn spend(&mut self, took_ms: f64, delivered: bool) {
        let (mean, since) = self.spent;
        let price = since + took_ms.max(0.0);
        self.spent = match delivered {
            false => (mean, price),
            true if mean == 0.0 => (price, 0.0),
            true => (mean + (price - mean) * SPENT_GAIN, 0.0),
        };
    }

    /// The mean price of a delivery, and what calls have taken since the last one, in milliseconds.
    pub fn spent(&self) -> (f64, f64) {
        self.spent
    }

    /// As an earlier process knew it.
    pub fn take_up(&mut self, spent: (f64, f64)) {
        self.spent = spent;
    }

    /// What a delivery takes of a slot by now; 1 ms where nothing is known.
    pub fn price_us(&self) -> u64 {
        let (mean, since) = self.spent;
        ((mean + since * SPENT_GAIN).clamp(1.0, 1e9) * 1000.0) as u64
    }
}

impl Default for Destination {
    fn default() -> Destination {
        Destination {
            hosts: BTreeSet::new(),
            groups: BTreeSet::new(),
            sub_queues: BTreeMap::new(),
            held: 0,
            base: 0,
            next: 0,
            out: 0,
            full_logged: false,
            mean_us: 1000,
            spent: (0.0, 0.0),
        }
    }
}

/// Lanes that are out or ramping, and how often that has changed.
#[derive(Clone, Debug, Default)]
pub struct Unwell {
    groups: BTreeMap<EndpointGroupId, (BreakerState, f64)>,
    version: u64,
}

impl Unwell {
    /// As an earlier process would tell a later one.
    pub fn list(&self) -> Vec<Outage> {
        let known = self.groups.iter().map(|((destination, endpoint), (phase, before))| {
            let back = if let BreakerState::SlowStart(since) = phase { Some(*since) } else { None };
            Outage {
                destination: *destination,
                endpoint: endpoint.to_string(),
                recovered_at: back,
                rate_before: *before,
            }
        });
        known.collect()
    }

    /// Whether a lane is among them.
    pub fn has(&self, id: &EndpointGroupId) -> bool {
        self.groups.contains_key(id)
    }

    /// Grows with every change.
    pub fn version(&self) -> u64 {
        self.version
    }
}

/// All of them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub dests: Table<u64, Destination>,
    pub hosts: Table<Name, Host>,
    pub groups: Table<EndpointGroupId, EndpointGroup>,
    pub unwell: Unwell,
    /// Gone from the list with a call out: to be taken out with a later list. Bounded by the slots.
    gone: BTreeSet<Name>,
    lists: u64,
    /// The name that lanes of whole destinations share.
    whole: Option<Name>,
}

impl Fleet {
    /// Endpoints in the list, and those of them that are avoided: they drain, are shunned for a while, or their
    /// lane is out or was told to wait.
    pub fn counts(&self, now: f64) -> (usize, usize) {
        let listed = || self.hosts.walk().map(|x| x.1).filter(|h| h.status != EndpointStatus::Removed);
        let avoided = |h: &&Host| {
            let group = self.groups.get(&h.group);
            h.status == EndpointStatus::Draining
                || h.shun_until > now
                || group.is_some_and(|l| l.phase == BreakerState::Open || l.wait_until > now)
        };
        (listed().count(), listed().filter(avoided).count())
    }

    /// Endpoints and lanes that are remembered, listed or not.
    pub fn sizes(&self) -> [usize; 2] {
        [self.hosts.len(), self.groups.len()]
    }

    /// The endpoints of a destination, by name.
    pub fn hosts_of(&self, dest: u64) -> impl Iterator<Item = (&Name, &Host)> {
        let names = self.dests.get(&dest).into_iter().flat_map(|d| &d.hosts);
        names.filter_map(|name| Some((name, self.hosts.get(name)?)))
    }

    /// The lanes of a destination, by name.
    pub fn groups_of(&self, dest: u64) -> impl Iterator<Item = (EndpointGroupId, &EndpointGroup)> {
        let names = self.dests.get(&dest).into_iter().flat_map(|d| &d.groups);
        names.filter_map(move |name| {
            let id = (dest, name.clone());
            self.groups.get(&id).map(|l| (id, l))
        })
    }

    /// A lane, made where it is new.
    pub fn group(
        &mut self, id: &EndpointGroupId, make: impl FnOnce() -> EndpointGroup,
    ) -> &mut EndpointGroup {
        self.dests.or_insert_with(id.0, Destination::default).groups.insert(id.1.clone());
        self.groups.or_insert_with(id.clone(), make)
    }

    /// Takes out a destination's hosts, whose names it gives, and its lanes.
    pub fn forget(&mut self, dest: u64) -> Vec<Name> {
        let Some(d) = self.dests.get_mut(&dest) else { return Vec::new() };
        let (hosts, groups) = (std::mem::take(&mut d.hosts), std::mem::take(&mut d.groups));
        for name in groups {
            self.groups.remove(&(dest, name));
        }
        for name in &hosts {
            self.hosts.remove(name);
            self.gone.remove(name);
        }
        hosts.into_iter().collect()
    }

    /// Notes whether a lane is well.
    pub fn note_phase(&mut self, id: EndpointGroupId) {
        let known =
            self.groups.get(&id).filter(|l| l.phase != BreakerState::Closed).map(|l| (l.phase, l.before));
        let before = match known {
            Some(known) => self.unwell.groups.insert(id, known),
            None => self.unwell.groups.remove(&id),
        };
        self.unwell.version += u64::from(before != known);
    }

    /// Takes over what a list says; what a whole list does not name is gone. `touch` hears of what changed.
    pub fn list(
        &mut self, list: &[Endpoint], whole: bool, weights: bool, own_limits: &[bool],
        make: &mut dyn FnMut() -> EndpointGroup, touch: &mut dyn FnMut(&EndpointGroupId),
    ) {
        self.lists += 1;
        for e in list {
            let told = Some(e.weight).filter(|w| weights && w.is_finite() && *w > 0.0);
            self.listed(e, told, own_limits, make, touch);
        }
        if whole {
            let lists = self.lists;
            for (_, h) in self.hosts.walk_mut().filter(|x| x.1.named != lists) {
                if std::mem::replace(&mut h.status, EndpointStatus::Removed) != EndpointStatus::Removed {
                    touch(&h.group);
                }
            }
        }
    }

    /// What the list says of one endpoint. Where that is nothing new it costs a look-up.
    fn listed(
        &mut self, e: &Endpoint, told: Option<f64>, own_limits: &[bool],
        make: &mut dyn FnMut() -> EndpointGroup, touch: &mut dyn FnMut(&EndpointGroupId),
    ) {
        let now = (e.destination, e.zone, e.kind, e.status);
        let known = self.hosts.get_mut(e.name.as_str()).filter(|h| (h.dest, h.zone, h.kind, h.status) == now);
        if let Some(h) = known {
            h.named = self.lists;
            if self.groups.get(&h.group).is_some_and(|l| told.is_none() || l.told == told) {
                return;
            }
        }
        let name = Name::from(e.name.as_str());
        let own = own_limits.get(e.kind).copied().unwrap_or(false);
        let group = if own { name.clone() } else { self.whole.get_or_insert_with(|| "".into()).clone() };
        let id = (e.destination, group);
        let h = self.hosts.or_insert_with(name.clone(), || Host::new(id.clone()));
        let before = std::mem::replace(&mut h.group, id.clone());
        (h.dest, h.zone, h.kind, h.status, h.named) = (e.destination, e.zone, e.kind, e.status, self.lists);
        if before != id {
            if let Some(d) = self.dests.get_mut(&before.0) {
                d.hosts.remove(&name);
            }
            touch(&before);
        }
        self.dests.or_insert_with(e.destination, Destination::default).hosts.insert(name);
        let l = self.group(&id, make);
        l.told = told.or(l.told);
        touch(&id);
    }

    /// Takes out what is gone and has no call out any more, with lanes of its own that may go: of a whole list
    /// all that it does not name, else what it names as gone.
    pub fn sweep(
        &mut self, list: &[Endpoint], whole: bool, touch: &mut dyn FnMut(&EndpointGroupId),
        may_go: impl Fn(&EndpointGroup) -> bool,
    ) {
        let lists = self.lists;
        let missing = whole.then(|| self.hosts.walk().filter(|x| x.1.named != lists).map(|x| x.0.clone()));
        let mut gone: Vec<Name> = missing.into_iter().flatten().collect();
        gone.sort_unstable();
        gone.extend(
            list.iter().filter(|e| e.status == EndpointStatus::Removed).map(|e| Name::from(e.name.as_str())),
        );
        gone.extend(std::mem::take(&mut self.gone));
        for name in &gone {
            let Some(h) = self.hosts.get(name).filter(|h| h.status == EndpointStatus::Removed) else {
                continue;
            };
            if h.out > 0 {
                self.gone.insert(name.clone());
                continue;
            }
            let id = h.group.clone();
            self.hosts.remove(name);
            touch(&id);
            let own = !id.1.is_empty() && self.groups.get(&id).is_some_and(&may_go);
            if let Some(d) = self.dests.get_mut(&id.0) {
                d.hosts.remove(name);
                if own {
                    d.groups.remove(&id.1);
                }
            }
            if own {
                self.groups.remove(&id);
            }
        }
    }
}
