//! The types that go in and out of the decision module. Nothing here decides anything.
//! Times are milliseconds of the caller's monotonic clock, spans are milliseconds.

/// What a repeat of a request may do at the destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat at any time.
    Safe,
    /// The destination drops repeats for a while after the first send.
    Keyed,
    /// Must never take effect twice.
    Unsafe,
}

/// Which endpoints of a destination remember the key of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Any endpoint of the destination.
    All,
    /// Only endpoints of the same zone.
    Zone,
    /// Only the endpoint itself.
    Endpoint,
}

/// How worth falls after the aim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ValueDecay {
    /// Evenly, down to the late value at the deadline.
    #[default]
    Linear,
    /// By half with each further aim, not under the late value.
    Halving,
}

/// What the weight of an endpoint in the list means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightMeaning {
    /// Nothing: it is always 1.
    #[default]
    Ignored,
    /// Calls a second that the destination takes from all relays.
    Rate,
    /// The same, but not exact.
    RoughRate,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Delivered within this time, a request has its full worth.
    pub aim_ms: f64,
    /// A request may be delivered for this long.
    pub deadline_ms: f64,
    /// What a repeat may do.
    pub effect: Effect,
    /// Which endpoints drop a repeat.
    pub dedup_scope: DedupScope,
    /// For how long a repeat is dropped after the first send that may have run.
    pub dedup_window_ms: f64,
    /// Worth of one request.
    pub value: f64,
    /// The share of the worth that is left at the deadline.
    pub late_value: f64,
    /// Requests with the same key go one at a time, in order.
    pub in_order: bool,
}

/// What the relay is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of relays that share the destinations.
    pub relays: usize,
    /// The zone of this relay.
    pub zone: u32,
    /// Calls that this relay may have out at once.
    pub slots: usize,
    /// Requests that it may hold, sent or not.
    pub max_open: usize,
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// Requests a second within each tenant's share, over all relays, by tenant index.
    pub tenant_rates: Vec<f64>,
    /// The worth of a request beyond its tenant's share, as a part of the worth of its class.
    pub over_share_value: f64,
    /// How worth falls after the aim.
    pub value_decay: ValueDecay,
    /// For each kind of destination: how many requests one call may carry.
    pub batch: Vec<usize>,
    /// For each kind of destination: whether its endpoints are routes apart.
    pub own_limits: Vec<bool>,
    /// For each zone: the price of a request taken on by a route apart there.
    pub route_fee: Vec<f64>,
    /// The price of an attempt that crosses zones.
    pub cross_zone_cost: f64,
    /// The price of a new connection.
    pub handshake_cost: f64,
    /// What weights in the list mean.
    pub weight_meaning: WeightMeaning,
    /// The column of load reports that holds the share of the limit left.
    pub remaining_column: Option<usize>,
    /// The column of load reports that holds the limit in calls a second.
    pub limit_column: Option<usize>,
    /// The list comes only when asked for.
    pub poll_discovery: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Endpoints may be probed.
    pub may_probe: bool,
    /// A refusal or failure takes time to reach its sender, and [`Event::AnswerConfirmed`] says when it has: until then the request is
    /// not over for others of its key.
    pub confirms_answers: bool,
    /// Two attempts of one request may be out at once.
    pub hedging: bool,
    /// Clients are told when to come again.
    pub retry_after: bool,
    /// The longest wait that a client honours.
    pub max_retry_after_ms: f64,
    /// Idle connections close after this time.
    pub conn_idle_ms: f64,
    /// A connection carries this many calls at once.
    pub conn_streams: usize,
    /// After an outage a destination can do this share of its capacity or more.
    pub cold_share: f64,
    /// It is warm again after this time.
    pub warm_after_ms: f64,
    /// Sent more than this multiple of what it can do, it falls over.
    pub fall_multiple: f64,
    /// If that lasts for this long.
    pub fall_ms: f64,
    /// Rest for a key after an attempt that may still run.
    pub order_pause_ms: f64,
    /// The least time between two rounds of events.
    pub tick_ms: f64,
}

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Listed; this says nothing of its health.
    #[default]
    Active,
    /// Drains: nothing new goes there.
    Draining,
    /// Removed.
    Removed,
}

/// An endpoint in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its address.
    pub name: String,
    /// The destination that it belongs to.
    pub destination: u64,
    /// Its zone.
    pub zone: u32,
    /// The kind of its destination.
    pub kind: usize,
    /// Its weight, see [`WeightMeaning`].
    pub weight: f64,
    /// Its state.
    pub status: EndpointStatus,
}

/// What the list says.
#[derive(Clone, Debug, PartialEq)]
pub enum ListUpdate {
    /// The whole list; what is missing is gone.
    Full(Vec<Endpoint>),
    /// The list as it was last held, perhaps outdated.
    Cached(Vec<Endpoint>),
    /// Only what changed.
    Delta(Vec<Endpoint>),
    /// A call failed or the watch broke off; the list held stays valid.
    Failed,
}

/// A destination, or a route of its own, that is out or has come back and may be cold.
#[derive(Clone, Debug, PartialEq)]
pub struct Outage {
    /// The destination.
    pub destination: u64,
    /// The endpoint, where the endpoints are routes apart; else empty.
    pub endpoint: String,
    /// When it came back, if it did.
    pub recovered_at: Option<f64>,
    /// What this relay delivered there before, a second.
    pub rate_before: f64,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// An error; it may have taken effect.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have taken effect or still do so.
    TimedOut,
    /// No connection was possible.
    NoConnection,
    /// The connection broke; it may have taken effect.
    Broken,
    /// A kept connection turned out dead under it; it may have taken effect. It says nothing of the destination.
    Stale,
    /// Called off; it may have taken effect.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// What the relay sees.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list.
    ListUpdate(ListUpdate),
    /// A request was handed in.
    Request {
        /// Its id.
        id: u64,
        /// Index of its class.
        class: usize,
        /// Index of its tenant.
        tenant: usize,
        /// Its key, for classes in order.
        key: Option<String>,
        /// It may be delivered until this time.
        due: f64,
        /// The destination.
        destination: u64,
    },
    /// A request that an earlier process of this relay had taken on, with what is known of its attempts.
    Restored {
        /// Its id.
        id: u64,
        /// Index of its class.
        class: usize,
        /// Index of its tenant.
        tenant: usize,
        /// Its key, for classes in order.
        key: Option<String>,
        /// It may be delivered until this time.
        due: f64,
        /// The destination.
        destination: u64,
        /// Attempts made; the next one has this number.
        attempts: u32,
        /// The first send that may have run: when and where.
        first_uncertain_send: Option<(f64, String)>,
        /// An attempt may be running yet.
        may_be_running: bool,
        /// A restart found it with no attempt begun: it goes first, as long as it has time. What is taken over from a process
        /// that lives has waited for its turn there, and goes on waiting.
        untried: bool,
    },
    /// The restored request's next attempt is out already: an earlier process makes it to its end, which comes as
    /// [`Event::Ended`]. The endpoint is listed.
    Resumed {
        /// Its id.
        id: u64,
        /// Where to.
        endpoint: String,
        /// When it was sent.
        sent: f64,
    },
    /// A request that an earlier process of this relay had given up, and whose sender has not heard of it: nothing of its
    /// key goes before [`Event::AnswerConfirmed`].
    AnswerPending {
        /// Its id.
        id: u64,
        /// Its key.
        key: String,
    },
    /// The next [`Event::Ended`] of this request settles it, but its sender has to be told as well: nothing of its key goes
    /// before [`Event::AnswerConfirmed`], where [`Settings::confirms_answers`] is set.
    AnswerExpected {
        /// Its id.
        id: u64,
    },
    /// The sender of a request whose end was owed has heard it: where [`Settings::confirms_answers`] is set.
    AnswerConfirmed {
        /// The request.
        id: u64,
    },
    /// Outages that an earlier process of this relay knew of.
    Outages(Vec<Outage>),
    /// Waits that an earlier process was told and that bind on: destination, endpoint as in [`Outage`], until when.
    RetryAfters(Vec<(u64, String, f64)>),
    /// What an earlier process that still runs has learnt, or a part of it: after the list and the outages.
    Learnt(Box<crate::learnt::Learnt>),
    /// The process will end: nothing is to be begun that may be out at this time.
    Stopping {
        /// When.
        at: f64,
    },
    /// The answer of a streamed attempt has begun.
    ResponseStarted {
        /// The request.
        id: u64,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        id: u64,
        /// The attempt, counted from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since the send.
        took_ms: f64,
        /// The request is over and needs no answer.
        settled: bool,
        /// The wait told with [`Outcome::Full`], 0 if none.
        wait_ms: f64,
        /// The load report, empty if there is none.
        report: Vec<f64>,
    },
    /// The client withdrew the request.
    Withdrawn {
        /// The request.
        id: u64,
    },
    /// A timer that was set is due.
    Timer {
        /// As given with [`Action::Timer`].
        token: u64,
    },
    /// A probe ended.
    Probed {
        /// The endpoint.
        endpoint: String,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took_ms: f64,
        /// The load report, empty if there is none.
        report: Vec<f64>,
    },
    /// A note from another relay.
    PeerMessage {
        /// Its index.
        from: usize,
        /// The bytes.
        data: Vec<u8>,
    },
}

/// What the relay wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: u64,
        /// Where to.
        endpoint: String,
        /// Its time-out; `None`: until the client quits.
        timeout_ms: Option<f64>,
        /// Its first byte goes out before this time, or it ends as [`Outcome::NotSent`]: a connection may take long.
        begin_by: f64,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: u64,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: not delivered, and trying again is harmless.
    Refuse {
        /// The request.
        id: u64,
        /// How long the client should wait before it comes again.
        retry_after_ms: Option<f64>,
    },
    /// Final answer: given up, with no promise.
    Fail {
        /// The request.
        id: u64,
    },
    /// Wake the relay at this time.
    Timer {
        /// When.
        at: f64,
        /// Given back with the event.
        token: u64,
    },
    /// Probe an endpoint.
    Probe {
        /// Which.
        endpoint: String,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// Which.
        endpoint: String,
    },
    /// Send a note to a relay, or to all.
    SendToPeer {
        /// Index of the relay; `None`: all of them.
        to: Option<usize>,
        /// The bytes.
        data: Vec<u8>,
    },
    /// Watch the list, or stop watching.
    Watch(bool),
    /// Ask for the whole list once.
    Fetch,
    /// A line for the log.
    Log(String),
}
