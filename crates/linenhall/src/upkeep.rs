//! Keeps the module's indexes as what happens changes things: what changed is marked, looked at again before the round
//! ends, and put where release will find it. What is decided about it is `logic`'s.

use crate::fleet::SubQueueKey;
use crate::fleet::{BreakerState, Destination, EndpointGroup, EndpointGroupId, Name};
use crate::index::At;
use crate::interface::{Effect, Event};
use crate::logic::Relay;
use crate::state::{queued_message, Look, Msg};

/// A destination that may not be forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InUse;

impl Relay {
    pub(crate) fn touch(&mut self, dest: u64) {
        self.touched.1.insert(dest);
        if self.weighing {
            self.unweighed.insert(dest);
        }
        self.looked = self.looked.take().filter(|x| x.0 != dest);
    }

    pub(crate) fn touch_group(&mut self, id: &EndpointGroupId) {
        self.touched.0.insert(id.clone());
        self.touch(id.0);
    }

    /// Looks again at what changed.
    pub(crate) fn settle(&mut self) {
        while let Some(id) = self.touched.0.pop_first() {
            let l = self.f.groups.get(&id);
            let late = l.and_then(|l| self.late_at(l)).map(At::new);
            let overdue = l.and_then(|l| self.overdue_at(l));
            self.late.place(&id, late);
            self.overdue.place(&id, overdue.map(|(at, call)| (At::new(at), call)));
            if let Some(d) = self.f.dests.get_mut(&id.0) {
                let mean = d.price_us();
                let before = std::mem::replace(&mut d.mean_us, mean);
                self.backlogged.1 =
                    if d.held > 0 { self.backlogged.1 - before + mean } else { self.backlogged.1 };
            }
            self.f.note_phase(id);
        }
        while let Some(dest) = self.touched.1.pop_first() {
            // One whose turn may come anyway is looked at when it does, unless it might send a probe by now.
            let probes = self.s.may_probe && self.f.groups_of(dest).any(|x| x.1.phase == BreakerState::Open);
            match self.f.dests.get(&dest) {
                Some(d) if d.held > 0 && !probes && self.credits.has(dest) => {
                    self.credits.put(dest, d.base, d.next);
                }
                _ => self.file(dest),
            }
            let idle =
                |d: &Destination| d.held == 0 && d.out == 0 && d.hosts.is_empty() && d.groups.is_empty();
            if self.f.dests.get(&dest).is_some_and(idle) {
                self.f.dests.remove(&dest);
            }
        }
    }

    /// Puts a destination where release will find it: may send now, or from some time on.
    pub(crate) fn file(&mut self, dest: u64) {
        let look = self.look(dest);
        let (turn, wake, probe) = match &look {
            Look::Send(id, host) => (self.msgs.get(id), self.trial_ends(*id, host), None),
            Look::Probe(host) => (None, None, Some(host.clone())),
            Look::Nothing => (None, self.next_open(dest), None),
        };
        match self.f.dests.get_mut(&dest).zip(turn) {
            Some((d, m)) => {
                d.next = m.seq;
                self.credits.put(dest, d.base, d.next);
            }
            None => self.credits.take(dest),
        }
        match probe {
            Some(host) => drop(self.probing.insert(dest, host)),
            None => drop(self.probing.remove(&dest)),
        }
        self.wakes.place(&dest, wake.map(At::new));
        self.looked = Some((dest, look));
    }

    /// A request leaves the hold; a queue that empties starts at zero again.
    pub(crate) fn unhold(&mut self, id: u64) {
        let Some(m) = self.msgs.get_mut(&id).filter(|m| m.held) else { return };
        m.held = false;
        let dest = m.dest;
        self.ends.drop(&id);
        self.resting.drop(&id);
        self.touch(dest);
        let Some((sub_queue_key, queued_message)) =
            self.msgs.get(&id).map(|m| (self.sub_queue_key(m), queued_message(id, m)))
        else {
            return;
        };
        let Some(d) = self.f.dests.get_mut(&dest) else { return };
        if let Some(g) = d.sub_queues.get_mut(&sub_queue_key) {
            g.take(queued_message);
            if g.is_empty() {
                d.sub_queues.remove(&sub_queue_key);
            }
        }
        d.held -= 1;
        if d.held == 0 {
            d.full_logged = false;
            self.backlogged = (self.backlogged.0 - 1, self.backlogged.1 - d.mean_us);
            self.earns.drop(&dest);
            self.earned.drop(&dest);
        }
    }

    /// Puts a held request among those that may go, or among those that something of their own holds back.
    pub(crate) fn refile(&mut self, id: u64) {
        let Some(m) = self.msgs.get(&id).filter(|m| m.held) else { return };
        let (free, sub_queue_key, queued_message, dest) =
            (self.free_at(id, m), self.sub_queue_key(m), queued_message(id, m), m.dest);
        let ready = free <= self.now;
        if let Some(d) = self.f.dests.get_mut(&dest) {
            let g = d.sub_queues.entry(sub_queue_key).or_default();
            g.take(queued_message);
            g.put(queued_message, ready);
            // Until it is looked at, what has come to be free may be what it would send.
            d.next = if ready { d.next.min(queued_message.seq) } else { d.next };
        }
        self.resting.place(&id, Some(At::new(free)).filter(|_| !ready && free < f64::MAX));
        self.touch(dest);
    }

    pub(crate) fn sub_queue_key(&self, m: &Msg) -> SubQueueKey {
        let keyed = self.s.classes[m.class].effect == Effect::Keyed;
        let first = m.maybe.as_ref().filter(|_| keyed).map(|x| x.1.clone());
        SubQueueKey { class: m.class, tenant: m.tenant, first, untried: m.untried }
    }

    /// Puts a destination anew among those weighed by what their holds earn least.
    pub(crate) fn weigh(&mut self, dest: u64) {
        let least = self.least(dest).map(|x| At::new(x.0));
        self.earns.place(&dest, least);
        self.seq += 1;
        self.earned.place(&dest, least.map(|_| self.seq));
    }

    /// A request is given up: for others of its key it is over once its sender has heard.
    pub(crate) fn owe(&mut self, id: u64) {
        let m = self.msgs.get(&id).filter(|m| self.s.confirms_answers && !m.over);
        m.into_iter().for_each(|m| self.keys.owe(&m.key, m.seq, id));
    }

    /// A sender has heard the end of its request, or has yet to hear it.
    pub(crate) fn told(&mut self, event: &Event) {
        match event {
            Event::AnswerPending { id, key } => {
                let key = Name::from(key.as_str());
                self.seq += 1;
                self.keys.queue(&Some(key.clone()), self.seq, *id);
                self.keys.owe(&Some(key.clone()), self.seq, *id);
                self.keys.leave(key, self.seq, *id, self.now);
            }
            Event::AnswerExpected { id } => self.owe(*id),
            Event::AnswerConfirmed { id } => {
                let next = self.keys.told(*id, self.now);
                next.into_iter().for_each(|id| self.refile(id));
            }
            _ => {}
        }
    }

    /// Forgets a destination, if nothing is held or out there and nothing is known that binds a later call: it is well, no wait
    /// or quiet time is left, and its bucket is as full as it will be. Gives whether it was forgotten, and the names of its hosts:
    /// whoever names it next has them listed first. `None` for one that is not known. What is lost is what was measured: latency, told limit, the rates of late.
    pub fn forget(&mut self, now: f64, dest: u64) -> Option<Result<Vec<Name>, InUse>> {
        self.now = self.now.max(now);
        let now = self.now;
        let d = self.f.dests.get(&dest)?;
        let quiet = d.held == 0 && d.out == 0 && d.sub_queues.is_empty();
        let idle = self.f.hosts_of(dest).all(|(_, h)| h.out == 0 && h.shun_until <= now);
        let binds = |l: &EndpointGroup| !l.binds_nothing(now) || l.ready(now) > now;
        if !quiet || !idle || self.f.groups_of(dest).any(|(_, l)| binds(l)) {
            return Some(Err(InUse));
        }
        let groups: Vec<EndpointGroupId> = self.f.groups_of(dest).map(|x| x.0).collect();
        let hosts = self.f.forget(dest);
        groups.iter().for_each(|id| self.touch_group(id));
        self.touch(dest);
        self.settle();
        Some(Ok(hosts))
    }

    /// What time alone has changed since the last round.
    pub(crate) fn wake(&mut self) {
        while let Some(id) = self.resting.pop_due(self.now) {
            self.refile(id);
        }
        while let Some(dest) = self.wakes.pop_due(self.now) {
            self.touch(dest);
        }
        self.keys.forget(self.now);
    }
}
