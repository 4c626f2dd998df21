//! Tells what a relay has learnt, and takes up what an earlier process told. Nothing here decides.

use crate::fleet::{BreakerState, EndpointGroup, EndpointGroupId, Name};
use crate::learnt::{Learnt, LearntDestination, LearntGroup, LearntHost, Rate};
use crate::logic::Relay;
use crate::meter::Meter;
use crate::state::sane;

/// The latest sends of a lane that are told one by one; what went before counts with the first of them.
const MOST_SENDS: usize = 256;
/// Figures beyond it are not believed, nor spans beyond ten minutes: what was told wrongly must not shut a lane for good.
const MOST: f64 = 1e9;
/// See [`MOST`].
const LONGEST: f64 = 600_000.0;
/// The least pace in calls a second, and what a bucket may owe in calls.
const LEAST_PACE: f64 = 0.01;
/// See [`LEAST_PACE`].
const MOST_OWED: f64 = 2.0;
/// The longest time until a trial, in milliseconds.
const TRIAL_IN: f64 = 60_000.0;

/// A pair of figures, if both can be reckoned with.
fn pair(x: (f64, f64)) -> (f64, f64) {
    (sane(x.0, 0.0, LONGEST), sane(x.1, 0.0, LONGEST))
}

fn tell_group(id: &EndpointGroupId, l: &EndpointGroup, now: f64) -> LearntGroup {
    let mut sends = l.sent.list(now);
    if sends.len() > MOST_SENDS {
        let older: f64 = sends.drain(..sends.len() - MOST_SENDS).map(|s| s.1).sum();
        sends.iter_mut().take(1).for_each(|s| s.1 += older);
    }
    LearntGroup {
        destination: id.0,
        endpoint: id.1.to_string(),
        latency: l.latency,
        told: l.told,
        pace: l.pace,
        tokens: l.tokens + l.pace.map_or(0.0, |pace| pace * (now - l.filled).max(0.0) / 1000.0),
        cut: now - l.cut_at,
        soon: l.soon.tell(now),
        usual: l.usual.tell(now),
        sends,
        fails: l.fails,
        share: l.share,
        failing: l.failing,
        answers: l.answers,
        trial_in: (l.trial_at - now).max(0.0),
        backoff: l.backoff,
        good: (l.good_at > 0.0).then_some(now - l.good_at),
    }
}

fn take_up_group(l: &mut EndpointGroup, told: &LearntGroup, now: f64) {
    l.latency = told.latency.map(pair);
    l.told = told.told.map(|x| sane(x, 0.0, MOST)).filter(|x| *x > 0.0).or(l.told);
    l.pace = told.pace.map(|x| sane(x, LEAST_PACE, MOST));
    (l.tokens, l.filled) = (sane(told.tokens, -MOST_OWED, MOST), now);
    l.cut_at = now - sane(told.cut, 0.0, LONGEST);
    (l.soon, l.usual) = (l.soon.take_up(&told.soon, now), l.usual.take_up(&told.usual, now));
    for (ago, weight) in told.sends.iter().take(MOST_SENDS) {
        l.sent.add(now - sane(*ago, 0.0, LONGEST), sane(*weight, 0.0, 1e3), f64::NEG_INFINITY);
    }
    (l.fails, l.share, l.failing) = (told.fails, sane(told.share, 0.0, 1.0), told.failing);
    if l.phase == BreakerState::Open {
        l.answers = told.answers;
        l.trial_at = now + sane(told.trial_in, 0.0, TRIAL_IN);
        l.backoff = sane(told.backoff, l.backoff, TRIAL_IN);
    }
    l.good_at = told.good.map_or(l.good_at, |ago| now - sane(ago, 0.0, LONGEST));
}

impl Relay {
    /// What a process that goes on for this one should know, beside outages and waits.
    pub fn learnt(&self, now: f64) -> Learnt {
        let mut groups: Vec<_> = self.f.groups.walk().map(|(id, l)| tell_group(id, l, now)).collect();
        groups.sort_by(|a, b| (a.destination, &a.endpoint).cmp(&(b.destination, &b.endpoint)));
        let hosts = self.f.hosts.walk().filter(|x| x.1.fails > 0 || x.1.shun_until > now);
        let hosts = hosts.map(|(name, h)| LearntHost {
            endpoint: name.to_string(),
            fails: h.fails,
            shun_in: (h.shun_until - now).max(0.0),
        });
        let mut hosts: Vec<_> = hosts.collect();
        hosts.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        let dests =
            self.f.dests.walk().map(|(id, d)| LearntDestination { destination: *id, spent: d.spent() });
        let mut dests: Vec<_> = dests.filter(|d| d.spent.0 > 0.0).collect();
        dests.sort_by_key(|d| d.destination);
        let (tenants, all) = (self.tenants.iter().map(|t| t.tell(now)).collect(), Some(self.all.tell(now)));
        Learnt { lanes: groups, hosts, dests, tenants, all }
    }

    /// Goes on with what an earlier process has learnt. Gives the lanes that changed.
    pub(crate) fn take_up(&mut self, told: &Learnt) -> Vec<EndpointGroupId> {
        let (now, mut changed) = (self.now, Vec::new());
        for row in &told.lanes {
            let id = (row.destination, Name::from(row.endpoint.as_str()));
            // A lane without endpoints has nothing to be known of.
            if let Some(l) = self.f.groups.get_mut(&id) {
                take_up_group(l, row, now);
                changed.push(id);
            }
        }
        for row in &told.hosts {
            if let Some(h) = self.f.hosts.get_mut(row.endpoint.as_str()) {
                (h.fails, h.shun_until) = (row.fails, now + sane(row.shun_in, 0.0, TRIAL_IN));
                changed.push(h.group.clone());
            }
        }
        for row in &told.dests {
            if let Some(d) = self.f.dests.get_mut(&row.destination) {
                d.take_up(pair(row.spent));
                changed.extend(d.groups.iter().map(|group| (row.destination, group.clone())));
            }
        }
        let meters = self.tenants.iter_mut().zip(&told.tenants);
        meters.for_each(|(meter, told)| *meter = meter.take_up(told, now));
        if let Some(told) = &told.all {
            self.all = self.all.take_up(told, now);
        }
        changed
    }
}

impl Meter {
    pub(crate) fn tell(&self, now: f64) -> Rate {
        Rate { sum: self.sum_at(now), age: self.born().map(|born| now - born) }
    }

    pub(crate) fn take_up(&self, told: &Rate, now: f64) -> Meter {
        let age = told.age.map(|age| sane(age, 0.0, MOST));
        self.set(now, sane(told.sum, 0.0, MOST), age.map(|age| now - age))
    }
}
