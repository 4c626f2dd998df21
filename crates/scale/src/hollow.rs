//! A relay without sockets: the real view, the carrier's tables, the engine and the decision module. Calls end as the world has it.

use crate::world::World;
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

/// How long a delivery takes, and how soon a call to a destination that is down is refused, in milliseconds.
const TOOK_MS: (f64, f64) = (20.0, 1.0);
/// Each message may be delivered for so long.
const DEADLINE_MS: f64 = 5000.0;

/// What became of messages and calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub messages: u64,
    pub calls: u64,
    pub lost: u64,
    pub enlisted: u64,
}

pub struct Hollow {
    view: Rc<RefCell<View>>,
    carrier: HttpCarrier,
    engine: Engine<VolatileStore, ()>,
    agent: SocketAddr,
    /// Calls that are out, by the time at which they end.
    out: BTreeMap<(u64, u64), (u64, u32, Outcome)>,
    next: u64,
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

impl Hollow {
    /// One that keeps so many destinations in use.
    pub fn new(max_active_destinations: usize, seed: u64) -> Hollow {
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
        Hollow { view, carrier, engine, agent, out: BTreeMap::new(), next: 0, counts: Counts::default() }
    }

    /// Destinations in use.
    pub fn used(&self) -> usize {
        self.view.borrow().active_destinations()
    }

    /// What the catalog says of its own size, in bytes.
    pub fn catalog_bytes(&self) -> usize {
        self.view.borrow().members().catalog().bytes()
    }

    /// An agent tells something.
    pub fn told(&mut self, now: f64, list: List, world: &World) {
        let told = self.view.borrow_mut().apply(self.agent, list, now);
        if let Some(told) = told {
            self.carrier.stop_sending_to_drained(&told.list);
            let news = self.carrier.apply_list(told.list);
            self.round(now, vec![Input::ListUpdate(news)], world);
        }
    }

    /// A message is handed in.
    pub fn message(&mut self, now: f64, destination: u64, world: &World) {
        self.counts.messages += 1;
        let mut inputs = Vec::with_capacity(2);
        if let Some(list) = self.carrier.activate(destination) {
            self.counts.enlisted += 1;
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
        self.round(now, inputs, world);
    }

    /// Time goes on: calls end, timers are due.
    pub fn advance(&mut self, now: f64, world: &World) {
        while let Some(((at, number), (id, attempt, outcome))) = self.out.pop_first() {
            let ends = at as f64 / 1000.0;
            if ends > now {
                self.out.insert((at, number), (id, attempt, outcome));
                break;
            }
            let settled = outcome == Outcome::Delivered;
            let end = AttemptEnd { settled, ..AttemptEnd::without_response(outcome) };
            let took_ms = if settled { TOOK_MS.0 } else { TOOK_MS.1 };
            self.counts.lost += u64::from(!settled);
            self.round(ends, vec![Input::Ended { id, attempt, took_ms, end }], world);
        }
        if self.engine.next_timer().is_some_and(|at| at <= now) {
            self.round(now, Vec::new(), world);
        }
    }

    fn round(&mut self, now: f64, inputs: Vec<Input<(), ()>>, world: &World) {
        let mut wanted: Vec<Output<(), ()>> = Vec::new();
        self.engine.handle(now, inputs, &mut wanted);
        let mut confirmed = Vec::new();
        for output in wanted {
            match output {
                Output::Attempt(a) => {
                    let begins = self.engine.begin(now, a.id, a.attempt, &a.endpoint).is_ok();
                    let down = world.is_down(a.destination);
                    let (outcome, took) = match begins {
                        false => (Outcome::NotSent, 0.0),
                        true if down => (Outcome::NoConnection, TOOK_MS.1),
                        true => (Outcome::Delivered, TOOK_MS.0),
                    };
                    self.counts.calls += u64::from(begins);
                    self.next += 1;
                    let ends = ((now + took) * 1000.0) as u64;
                    self.out.insert((ends, self.next), (a.id, a.attempt, outcome));
                }
                Output::Reply(mulleinslip_engine::FrontReply::Final { id, .. }) => confirmed.push(id),
                _ => {}
            }
        }
        if !confirmed.is_empty() {
            let mut more: Vec<Output<(), ()>> = Vec::new();
            self.engine.handle(now, [Input::AnswersConfirmed(confirmed)], &mut more);
        }
        let engine = RefCell::new(&mut self.engine);
        self.carrier
            .evict_unused(&mut |destination| engine.borrow_mut().forget_destination(now, destination));
    }
}
