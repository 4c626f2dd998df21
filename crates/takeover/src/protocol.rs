//! The state machines of both processes: events go in, and the next step comes out. No I/O and no clock.

use crate::message::{ToNew, ToOld, FIRST_VERSION, MAX_PARTS, VERSION};

/// An event at the old process.
#[derive(Clone, Debug, PartialEq)]
pub enum OldEvent {
    /// A frame was received.
    Received(ToOld),
    /// This process has paused its work and released the folder.
    Released,
    /// The new process has closed the connection, sent a frame that can't be decoded, or not answered in
    /// time.
    Lost,
}

/// The next step of the old process.
#[derive(Clone, Debug, PartialEq)]
pub enum OldStep {
    /// Wait for the next event.
    Wait,
    /// Pause the work and release the folder; [`OldEvent::Released`] follows.
    Release,
    /// Send the state that the new process needs, up to [`ToNew::Ready`].
    SendState,
    /// Send [`ToNew::Go`], and hand over connections and ends of attempts. Never write to the folder again.
    HandOver,
    /// Cancel an attempt, given by the message's id and the attempt's number.
    CancelAttempt(u64, u32),
    /// Send [`ToNew::Rejected`] with this reason, and continue to serve.
    Reject(&'static str),
    /// Take the folder back and continue to serve.
    Retake,
    /// The new process has closed the connection: close the channel.
    Exit,
}

/// State of the old process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OldProcess {
    /// The process serves.
    #[default]
    Serving,
    /// The process pauses its work and releases the folder.
    Stopping,
    /// The folder is released, and the new process has not confirmed that it has opened it.
    Offering,
    /// The new process serves.
    HandedOver,
}

impl OldProcess {
    /// Applies an event. Returns the next step.
    pub fn on(&mut self, event: OldEvent) -> OldStep {
        let (next, step) = match (*self, event) {
            (OldProcess::Serving, OldEvent::Received(ToOld::Ask { version: FIRST_VERSION..=VERSION })) => {
                (OldProcess::Stopping, OldStep::Release)
            }
            (OldProcess::Serving, OldEvent::Received(ToOld::Ask { .. })) => {
                (OldProcess::Serving, OldStep::Reject("another version"))
            }
            (OldProcess::Serving, OldEvent::Received(_)) => {
                (OldProcess::Serving, OldStep::Reject("not asked"))
            }
            (OldProcess::Serving, OldEvent::Lost) => (OldProcess::Serving, OldStep::Exit),
            (OldProcess::Stopping, OldEvent::Released) => (OldProcess::Offering, OldStep::SendState),
            (OldProcess::Offering, OldEvent::Received(ToOld::FolderOpened)) => {
                (OldProcess::HandedOver, OldStep::HandOver)
            }
            // Any other frame violates the protocol.
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

    /// Returns whether the process may write to the folder.
    pub fn may_write(self) -> bool {
        self == OldProcess::Serving
    }
}

/// The state that the old process hands over before the new one serves.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// Attempts in flight: the message's id and the attempt's number.
    pub attempts_in_flight: Vec<(u64, u32)>,
    /// Retry-After times, see [`ToNew::RetryAfters`].
    pub retry_afters: Vec<(u64, String, f64)>,
    /// Parts of the learnt state, see [`ToNew::Learnt`].
    pub learnt: Vec<String>,
    /// Parts of the list, each with the agent that it came from, see [`ToNew::List`].
    pub list: Vec<(String, String)>,
    /// Whether clients are being sent elsewhere (drain).
    pub drained: bool,
}

/// The next step of the new process.
#[derive(Clone, Debug, PartialEq)]
pub enum NewStep {
    /// Wait for the next frame.
    Wait,
    /// Open the folder, read it, and send [`ToOld::FolderOpened`]. Start no work yet.
    Open,
    /// Serve, with the state that was handed over.
    Serve(HandoverState),
    /// Leave the folder unchanged, for this reason. The caller may ask again.
    GiveUp(String),
}

/// State of the new process, from its request on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewProcess {
    state: HandoverState,
    /// Whether the old process has sent [`ToNew::Ready`].
    ready: bool,
}

impl NewProcess {
    /// Applies a frame, or `None` if the old process has closed the connection. Returns the next step.
    pub fn on(&mut self, received: Option<ToNew>) -> NewStep {
        match received {
            Some(ToNew::AttemptsInFlight(rows)) if !self.ready => {
                self.state.attempts_in_flight.extend(rows);
                NewStep::Wait
            }
            Some(ToNew::RetryAfters(rows)) if !self.ready => {
                self.state.retry_afters.extend(rows);
                NewStep::Wait
            }
            Some(ToNew::Learnt(part)) if !self.ready && self.state.learnt.len() < MAX_PARTS => {
                self.state.learnt.push(part);
                NewStep::Wait
            }
            Some(ToNew::List { agent, part }) if !self.ready && self.state.list.len() < MAX_PARTS => {
                self.state.list.push((agent, part));
                NewStep::Wait
            }
            Some(ToNew::Ready { drained }) if !self.ready => {
                (self.ready, self.state.drained) = (true, drained);
                NewStep::Open
            }
            Some(ToNew::Go) if self.ready => NewStep::Serve(std::mem::take(&mut self.state)),
            Some(ToNew::Rejected(why)) => NewStep::GiveUp(why),
            Some(_) => NewStep::GiveUp("the old process violated the protocol".into()),
            None => NewStep::GiveUp("the old process closed the connection".into()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ask() -> OldEvent {
        OldEvent::Received(ToOld::Ask { version: VERSION })
    }

    /// Guards against a takeover that stalls or loses state: runs both sides from the request to the end, and
    /// checks each step and the state that the new process gets.
    #[test]
    fn takeover_steps_of_both_processes_without_faults() {
        let mut old = OldProcess::default();
        assert_eq!(old.on(ask()), OldStep::Release);
        assert_eq!(old.on(OldEvent::Released), OldStep::SendState);
        assert_eq!(old.on(OldEvent::Received(ToOld::FolderOpened)), OldStep::HandOver);
        let cancel = OldEvent::Received(ToOld::CancelAttempt { id: 7, attempt: 1 });
        assert_eq!(old.on(cancel), OldStep::CancelAttempt(7, 1));
        assert_eq!(old.on(OldEvent::Lost), OldStep::Exit);

        let mut new = NewProcess::default();
        assert_eq!(new.on(Some(ToNew::AttemptsInFlight(vec![(1, 0)]))), NewStep::Wait);
        assert_eq!(new.on(Some(ToNew::AttemptsInFlight(vec![(2, 3)]))), NewStep::Wait);
        assert_eq!(new.on(Some(ToNew::RetryAfters(vec![(5, String::new(), 9.0)]))), NewStep::Wait);
        assert_eq!(new.on(Some(ToNew::Learnt("{}".into()))), NewStep::Wait);
        let list = ToNew::List { agent: "a".into(), part: "[]".into() };
        assert_eq!(new.on(Some(list)), NewStep::Wait);
        assert_eq!(new.on(Some(ToNew::Ready { drained: true })), NewStep::Open);
        let (retry_afters, learnt) = (vec![(5, String::new(), 9.0)], vec!["{}".into()]);
        let list = vec![("a".into(), "[]".into())];
        let state = HandoverState {
            attempts_in_flight: vec![(1, 0), (2, 3)],
            retry_afters,
            learnt,
            list,
            drained: true,
        };
        assert_eq!(new.on(Some(ToNew::Go)), NewStep::Serve(state));
    }

    /// Guards against two processes that write to the journal: over all sequences of five events the old
    /// process writes only as long as it has not sent Go, and never afterwards.
    #[test]
    fn old_process_never_writes_after_handover() {
        let events = [
            ask(),
            OldEvent::Received(ToOld::Ask { version: VERSION + 1 }),
            OldEvent::Received(ToOld::FolderOpened),
            OldEvent::Received(ToOld::CancelAttempt { id: 1, attempt: 0 }),
            OldEvent::Released,
            OldEvent::Lost,
        ];
        let mut handovers = 0;
        for number in 0..events.len().pow(5) {
            let (mut old, mut handed_over, mut rest) = (OldProcess::default(), false, number);
            for _ in 0..5 {
                let event = events[rest % events.len()].clone();
                let step = old.on(event.clone());
                rest /= events.len();
                handovers += usize::from(step == OldStep::HandOver);
                handed_over |= step == OldStep::HandOver;
                let serves = matches!(step, OldStep::Retake | OldStep::Reject(_));
                assert!(
                    !(handed_over && (old.may_write() || serves)),
                    "sequence {number}: the old process may write after Go"
                );
                assert!(
                    !serves || old.may_write(),
                    "sequence {number}: the old process serves and may not write"
                );
                assert!(
                    handed_over || !matches!(step, OldStep::CancelAttempt(..)),
                    "sequence {number}: {step:?} before the handover"
                );
                // Waiting for a process that has closed the connection would never end.
                assert!(
                    event != OldEvent::Lost || step != OldStep::Wait,
                    "sequence {number}: {old:?} waits for a closed connection"
                );
            }
        }
        assert!(handovers > 0);
    }

    /// Guards against a new process that acts while the old one may still write: frames out of order, or a
    /// connection that is closed before Go, make it give up.
    #[test]
    fn new_process_gives_up_on_frames_out_of_order() {
        for early in [ToNew::Go, ToNew::ClientConnection { unread: vec![] }, ToNew::Rejected("x".into())] {
            assert!(matches!(NewProcess::default().on(Some(early)), NewStep::GiveUp(_)));
        }
        let mut new = NewProcess::default();
        assert_eq!(new.on(Some(ToNew::Ready { drained: false })), NewStep::Open);
        // A second Ready, state after Ready, or a closed connection before Go.
        assert!(matches!(new.clone().on(Some(ToNew::Ready { drained: false })), NewStep::GiveUp(_)));
        assert!(matches!(new.clone().on(Some(ToNew::AttemptsInFlight(vec![]))), NewStep::GiveUp(_)));
        assert!(matches!(new.on(None), NewStep::GiveUp(_)));
    }
}
