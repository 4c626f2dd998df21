//! A relay without sockets: the real membership view, carrier tables, engine and decision module. Calls end
//! as the simulated hosts say.

use crate::simulated_hosts::SimulatedHosts;
use linenhall::{Class, DedupScope, Effect, Outcome, Settings, ValueDecay};
use mulleinslip_engine::{AttemptEnd, Engine, Input, Message, Names, Output, VolatileStore};
use mulleinslip_http::{CarrierSettings, HttpCarrier};
use mulleinslip_membership::{List, ListNames, View};
use mulleinslip_runtime::Carrier;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Duration of a delivery, and of a failed connection to a destination that is down.
const CALL_DURATION_MS: (f64, f64) = (20.0, 1.0);
const DEADLINE_MS: f64 = 5000.0;

/// Counts of messages and calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub messages: u64,
    pub calls: u64,
    /// Attempts that ended without a delivery.
    pub lost: u64,
    /// Number of times that a destination came into use.
    pub activated: u64,
}

/// A simulated relay. Times are in milliseconds.
pub struct SimulatedRelay {
    view: Rc<RefCell<View>>,
    carrier: HttpCarrier,
    engine: Engine<VolatileStore, ()>,
    agent: SocketAddr,
    /// Calls in flight, by the time in microseconds at which they end and their number.
    in_flight: BTreeMap<(u64, u64), (u64, u32, Outcome)>,
    calls_started: u64,
    pub counts: Counts,
}

fn settings() -> Settings {
    let class = Class {
        aim_ms: 500.0,
        deadline_ms: DEADLINE_MS,
        effect: Effect::Safe,
        dedup_scope: DedupScope::All,
        dedup_window_ms: 4000.0,
        value: 1.0,
        late_value: 0.3,
        in_order: false,
    };
    Settings {
        relays: 1,
        slots: 512,
        max_open: 20_000,
        max_attempts: 6,
        classes: vec![class],
        value_decay: ValueDecay::Halving,
        batch_by_kind: vec![1],
        own_limits: vec![false],
        may_cancel: true,
        retry_after: true,
        max_retry_after_ms: 2000.0,
        conn_idle_ms: 3000.0,
        conn_streams: 1,
        cold_share: 0.5,
        warm_after_ms: 2000.0,
        fall_multiple: 3.0,
        fall_ms: 1000.0,
        order_pause_ms: 300.0,
        tick_ms: 5.0,
        ..Settings::default()
    }
}

impl SimulatedRelay {
    /// Creates a relay with at most this many destinations in use, as long as those in use may be forgotten.
    pub fn new(max_active_destinations: usize, seed: u64) -> SimulatedRelay {
        let view = Rc::new(RefCell::new(View::new(Vec::new(), max_active_destinations)));
        let names = ListNames { zones: Vec::new(), kinds: vec!["m2".into()] };
        let carrier = HttpCarrier::new(
            CarrierSettings {
                max_open: 400,
                connect_timeout: Duration::from_millis(500),
                conn_idle_ms: 3000.0,
                names,
                own_limits: vec![false],
                report_columns: Vec::new(),
            },
            view.clone(),
        );
        let names = Names { classes: vec!["safe".into()], tenants: Vec::new() };
        let engine = Engine::new(settings(), seed, names, VolatileStore);
        let agent = SocketAddr::from(([127, 0, 0, 1], 1));
        SimulatedRelay {
            view,
            carrier,
            engine,
            agent,
            in_flight: BTreeMap::new(),
            calls_started: 0,
            counts: Counts::default(),
        }
    }

    /// Returns the number of destinations in use.
    pub fn active_destinations(&self) -> usize {
        self.view.borrow().active_destinations()
    }

    /// Returns the size of the catalog in bytes, by its own count.
    pub fn catalog_bytes(&self) -> usize {
        self.view.borrow().members().catalog().bytes()
    }

    /// Applies a list or a change from discovery.
    pub fn apply_list(&mut self, now: f64, list: List, hosts: &SimulatedHosts) {
        let update = self.view.borrow_mut().apply(self.agent, list, now);
        if let Some(update) = update {
            self.carrier.stop_sending_to_drained(&update.list);
            let list_update = self.carrier.apply_list(update.list);
            self.round(now, vec![Input::ListUpdate(list_update)], hosts);
        }
    }

    /// Submits a message.
    pub fn submit(&mut self, now: f64, destination: u64, hosts: &SimulatedHosts) {
        self.counts.messages += 1;
        let mut inputs = Vec::with_capacity(2);
        if let Some(list) = self.carrier.activate(destination) {
            self.counts.activated += 1;
            inputs.push(Input::ListUpdate(self.carrier.apply_list(list)));
        }
        let message = Message {
            call_id: format!("{:016x}", self.counts.messages),
            class: 0,
            tenant: 0,
            destination,
            due: now + DEADLINE_MS,
            order_key: None,
            idempotency_key: None,
            body: Default::default(),
        };
        inputs.push(Input::Submitted(Box::new(message), ()));
        self.round(now, inputs, hosts);
    }

    /// Ends all calls that are due by `now`, then runs timers that are due.
    pub fn advance(&mut self, now: f64, hosts: &SimulatedHosts) {
        while let Some(((at_us, number), (id, attempt, outcome))) = self.in_flight.pop_first() {
            let ends_at = at_us as f64 / 1000.0;
            if ends_at > now {
                self.in_flight.insert((at_us, number), (id, attempt, outcome));
                break;
            }
            let settled = outcome == Outcome::Delivered;
            let end = AttemptEnd { settled, ..AttemptEnd::without_response(outcome) };
            let took_ms = if settled { CALL_DURATION_MS.0 } else { CALL_DURATION_MS.1 };
            self.counts.lost += u64::from(!settled);
            self.round(ends_at, vec![Input::Ended { id, attempt, took_ms, end }], hosts);
        }
        if self.engine.next_timer().is_some_and(|at| at <= now) {
            self.round(now, Vec::new(), hosts);
        }
    }

    /// Runs one round of the engine and starts the calls that it asks for.
    fn round(&mut self, now: f64, inputs: Vec<Input<(), ()>>, hosts: &SimulatedHosts) {
        let mut outputs: Vec<Output<(), ()>> = Vec::new();
        self.engine.handle(now, inputs, &mut outputs);
        let mut confirmed = Vec::new();
        for output in outputs {
            match output {
                Output::Attempt(attempt) => {
                    let has_begun =
                        self.engine.begin(now, attempt.id, attempt.attempt, &attempt.endpoint).is_ok();
                    let down = hosts.is_down(attempt.destination);
                    let (outcome, took_ms) = match has_begun {
                        false => (Outcome::NotSent, 0.0),
                        true if down => (Outcome::NoConnection, CALL_DURATION_MS.1),
                        true => (Outcome::Delivered, CALL_DURATION_MS.0),
                    };
                    self.counts.calls += u64::from(has_begun);
                    self.calls_started += 1;
                    let ends_at_us = ((now + took_ms) * 1000.0) as u64;
                    self.in_flight
                        .insert((ends_at_us, self.calls_started), (attempt.id, attempt.attempt, outcome));
                }
                Output::Reply(mulleinslip_engine::FrontReply::Final { id, .. }) => confirmed.push(id),
                _ => {}
            }
        }
        if !confirmed.is_empty() {
            let mut ignored: Vec<Output<(), ()>> = Vec::new();
            self.engine.handle(now, [Input::AnswersConfirmed(confirmed)], &mut ignored);
        }
        let engine = RefCell::new(&mut self.engine);
        self.carrier
            .evict_unused(&mut |destination| engine.borrow_mut().forget_destination(now, destination));
    }
}
