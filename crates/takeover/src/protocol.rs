//! Who may do what when. No I/O and no time: what happens goes in, what is to be done comes out.

use crate::message::{ToNew, ToOld, FIRST_VERSION, MOST_PARTS, VERSION};

/// What happens to the old process.
#[derive(Clone, Debug, PartialEq)]
pub enum OldEvent {
    /// A frame came.
    Received(ToOld),
    /// It has stopped in the middle and left the folder.
    Released,
    /// The new process is gone, or says nothing that can be read, or takes too long.
    Lost,
}

/// What the old process is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum OldStep {
    /// Nothing.
    Wait,
    /// Stop in the middle and leave the folder; then [`OldEvent::Released`].
    Release,
    /// Tell what the new process needs, up to [`ToNew::Ready`].
    SendState,
    /// Say [`ToNew::Go`], and pass on what is here. Never write again.
    HandOver,
    /// Call this attempt off.
    CancelAttempt(u64, u32),
    /// Say [`ToNew::Rejected`] for this reason; go on as ever.
    Refuse(&'static str),
    /// Take the folder back and go on as ever.
    Retake,
    /// The other process is gone: leave the channel.
    Exit,
}

/// The old process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OldProcess {
    /// It serves.
    #[default]
    Serving,
    /// It stops in the middle.
    Stopping,
    /// It has left the folder to a new process that has not said that it has it.
    Offering,
    /// The new process goes on.
    HandedOver,
}

impl OldProcess {
    /// Takes in what happens.
    pub fn on(&mut self, event: OldEvent) -> OldStep {
        let (next, step) = match (*self, event) {
            (OldProcess::Serving, OldEvent::Received(ToOld::Ask { version: FIRST_VERSION..=VERSION })) => {
                (OldProcess::Stopping, OldStep::Release)
            }
            (OldProcess::Serving, OldEvent::Received(ToOld::Ask { .. })) => {
                (OldProcess::Serving, OldStep::Refuse("another version"))
            }
            (OldProcess::Serving, OldEvent::Received(_)) => {
                (OldProcess::Serving, OldStep::Refuse("not asked"))
            }
            (OldProcess::Serving, OldEvent::Lost) => (OldProcess::Serving, OldStep::Exit),
            (OldProcess::Stopping, OldEvent::Released) => (OldProcess::Offering, OldStep::SendState),
            (OldProcess::Offering, OldEvent::Received(ToOld::FolderOpened)) => {
                (OldProcess::HandedOver, OldStep::HandOver)
            }
            // Whoever says anything else doesn't keep to the protocol.
            (OldProcess::Stopping | OldProcess::Offering, _) => (OldProcess::Serving, OldStep::Retake),
            (OldProcess::HandedOver, OldEvent::Received(ToOld::CancelAttempt { id, attempt })) => {
                (OldProcess::HandedOver, OldStep::CancelAttempt(id, attempt))
            }
            (OldProcess::HandedOver, OldEvent::Lost) => (OldProcess::HandedOver, OldStep::Exit),
            (state, _) => (state, OldStep::Wait),
        };
        *self = next;
        step
    }

    /// Whether it may write to the folder.
    pub fn may_write(self) -> bool {
        self == OldProcess::Serving
    }
}

/// What the old process has told the new one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// Attempts that are out: message and number.
    pub attempts_in_flight: Vec<(u64, u32)>,
    /// Waits, see [`ToNew::RetryAfters`].
    pub retry_afters: Vec<(u64, String, f64)>,
    /// What it has learnt, see [`ToNew::Learnt`].
    pub learnt: Vec<String>,
    /// The list, by the agent that told it: see [`ToNew::List`].
    pub list: Vec<(String, String)>,
    /// Clients are being sent elsewhere.
    pub drained: bool,
}

/// What the new process is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum NewStep {
    /// Nothing.
    Wait,
    /// Open the folder, read it, say [`ToOld::FolderOpened`]. Act on nothing yet.
    Open,
    /// Serve.
    Serve(HandoverState),
    /// Leave the folder as it is; perhaps ask again.
    GiveUp(String),
}

/// The new process, from its question on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewProcess {
    offer: HandoverState,
    ready: bool,
}

impl NewProcess {
    /// Takes in a frame, or that the old process is gone.
    pub fn on(&mut self, heard: Option<ToNew>) -> NewStep {
        match heard {
            Some(ToNew::AttemptsInFlight(rows)) if !self.ready => {
                self.offer.attempts_in_flight.extend(rows);
                NewStep::Wait
            }
            Some(ToNew::RetryAfters(rows)) if !self.ready => {
                self.offer.retry_afters.extend(rows);
                NewStep::Wait
            }
            Some(ToNew::Learnt(part)) if !self.ready && self.offer.learnt.len() < MOST_PARTS => {
                self.offer.learnt.push(part);
                NewStep::Wait
            }
            Some(ToNew::List { agent, part }) if !self.ready && self.offer.list.len() < MOST_PARTS => {
                self.offer.list.push((agent, part));
                NewStep::Wait
            }
            Some(ToNew::Ready { drained }) if !self.ready => {
                (self.ready, self.offer.drained) = (true, drained);
                NewStep::Open
            }
            Some(ToNew::Go) if self.ready => NewStep::Serve(std::mem::take(&mut self.offer)),
            Some(ToNew::Rejected(why)) => NewStep::GiveUp(why),
            Some(_) => NewStep::GiveUp("it doesn't keep to the protocol".into()),
            None => NewStep::GiveUp("it is gone".into()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ask() -> OldEvent {
        OldEvent::Received(ToOld::Ask { version: VERSION })
    }

    #[test]
    fn the_way_of_a_takeover() {
        let mut old = OldProcess::default();
        assert_eq!(old.on(ask()), OldStep::Release);
        assert_eq!(old.on(OldEvent::Released), OldStep::SendState);
        assert_eq!(old.on(OldEvent::Received(ToOld::FolderOpened)), OldStep::HandOver);
        let call_off = OldEvent::Received(ToOld::CancelAttempt { id: 7, attempt: 1 });
        assert_eq!(old.on(call_off), OldStep::CancelAttempt(7, 1));
        assert_eq!(old.on(OldEvent::Lost), OldStep::Exit);

        let mut new = NewProcess::default();
        assert_eq!(new.on(Some(ToNew::AttemptsInFlight(vec![(1, 0)]))), NewStep::Wait);
        assert_eq!(new.on(Some(ToNew::AttemptsInFlight(vec![(2, 3)]))), NewStep::Wait);
        assert_eq!(new.on(Some(ToNew::RetryAfters(vec![(5, String::new(), 9.0)]))), NewStep::Wait);
        assert_eq!(new.on(Some(ToNew::Learnt("{}".into()))), NewStep::Wait);
        let list = ToNew::List { agent: "a".into(), part: "[]".into() };
        assert_eq!(new.on(Some(list)), NewStep::Wait);
        assert_eq!(new.on(Some(ToNew::Ready { drained: true })), NewStep::Open);
        let (waits, learnt) = (vec![(5, String::new(), 9.0)], vec!["{}".into()]);
        let list = vec![("a".into(), "[]".into())];
        let offer = HandoverState {
            attempts_in_flight: vec![(1, 0), (2, 3)],
            retry_afters: waits,
            learnt,
            list,
            drained: true,
        };
        assert_eq!(new.on(Some(ToNew::Go)), NewStep::Serve(offer));
    }

    /// All sequences of five events: the old process writes only while the new one may not act, and the new one acts
    /// only once the old one will never write again.
    #[test]
    fn never_do_both_have_the_folder() {
        let events = [
            ask(),
            OldEvent::Received(ToOld::Ask { version: VERSION + 1 }),
            OldEvent::Received(ToOld::FolderOpened),
            OldEvent::Received(ToOld::CancelAttempt { id: 1, attempt: 0 }),
            OldEvent::Released,
            OldEvent::Lost,
        ];
        let mut passes = 0;
        for number in 0..events.len().pow(5) {
            let (mut old, mut passed, mut rest) = (OldProcess::default(), false, number);
            for _ in 0..5 {
                let event = events[rest % events.len()].clone();
                let step = old.on(event.clone());
                rest /= events.len();
                passes += usize::from(step == OldStep::HandOver);
                passed |= step == OldStep::HandOver;
                let ours = matches!(step, OldStep::Retake | OldStep::Refuse(_));
                assert!(!(passed && (old.may_write() || ours)), "{number}: written after Go");
                assert!(!ours || old.may_write(), "{number}: taken back and not served");
                assert!(passed || !matches!(step, OldStep::CancelAttempt(..)), "{number}: {step:?}");
                // Whoever is gone is not waited for: that would never end.
                assert!(event != OldEvent::Lost || step != OldStep::Wait, "{number}: {old:?}");
            }
        }
        assert!(passes > 0);
    }

    #[test]
    fn a_new_process_acts_on_nothing_before_it_may() {
        for early in [ToNew::Go, ToNew::Client { unread: vec![] }, ToNew::Rejected("x".into())] {
            assert!(matches!(NewProcess::default().on(Some(early)), NewStep::GiveUp(_)));
        }
        let mut new = NewProcess::default();
        assert_eq!(new.on(Some(ToNew::Ready { drained: false })), NewStep::Open);
        // Twice ready, or gone before the word: nothing has been done.
        assert!(matches!(new.clone().on(Some(ToNew::Ready { drained: false })), NewStep::GiveUp(_)));
        assert!(matches!(new.clone().on(Some(ToNew::AttemptsInFlight(vec![]))), NewStep::GiveUp(_)));
        assert!(matches!(new.on(None), NewStep::GiveUp(_)));
    }
}
