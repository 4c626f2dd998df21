//! The words of the wire, and nothing of what they are for.
use base64::{engine::general_purpose::STANDARD, Engine};
use linenhall::{
    Action, Class, DedupScope, Endpoint, EndpointStatus, Event, ListUpdate, Outcome, Settings, ValueDecay,
    WeightMeaning,
};
use mulleinslip_settings::words::{DEDUP_SCOPES, DISCOVERY, EFFECTS, VALUE_DECAYS, WEIGHTS};
use std::collections::BTreeMap;
use std::str::FromStr;

/// The fields of a line, read from left to right.
pub struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    pub fn new(rest: &'a str) -> Self {
        Fields(rest.split(' '))
    }

    fn text(&mut self, name: &str) -> Result<&'a str, String> {
        self.0.next().filter(|t| !t.is_empty()).ok_or_else(|| format!("field {name} is missing"))
    }

    pub fn number<T: FromStr>(&mut self, name: &str) -> Result<T, String> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("field {name} cannot be read: {text}"))
    }

    fn maybe<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, String> {
        let text = self.text(name)?;
        if text == "-" {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| format!("field {name} cannot be read: {text}"))
    }

    fn flag(&mut self, name: &str) -> Result<bool, String> {
        match self.text(name)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            text => Err(format!("field {name} cannot be read: {text}")),
        }
    }

    fn report(&mut self) -> Result<Vec<f64>, String> {
        let text = self.text("Feedback")?;
        if text == "-" {
            return Ok(Vec::new());
        }
        let bad = |_| format!("field Feedback cannot be read: {text}");
        text.split(',').map(|v| if v == "-" { Ok(f64::NAN) } else { v.parse().map_err(bad) }).collect()
    }

    pub fn only_text(mut self) -> Result<String, String> {
        let text = self.text("Relay")?.to_string();
        self.end()?;
        Ok(text)
    }

    pub fn end(&mut self) -> Result<(), String> {
        match self.0.next() {
            None => Ok(()),
            Some(text) => Err(format!("unexpected field: {text}")),
        }
    }
}

/// `MARK`: the clock and the number of the batch.
pub fn mark(line: &str) -> Result<(f64, String), String> {
    let rest = line.strip_prefix("MARK ").ok_or_else(|| format!("MARK expected: {line}"))?;
    let mut f = Fields::new(rest);
    let now = f.number("clock")?;
    let number: u64 = f.number("number")?;
    f.end()?;
    Ok((now, number.to_string()))
}

/// A `DISCOVERY` line, its list not looked up yet.
pub struct Update(String, usize);

pub fn update(rest: &str) -> Result<Update, String> {
    let mut f = Fields::new(rest);
    let how = f.text("How")?.to_string();
    let _revision: Option<u64> = f.maybe("Revision")?;
    let slot = f.maybe("Slot")?.unwrap_or(0);
    f.end()?;
    Ok(Update(how, slot))
}

impl Update {
    pub fn resolve(self, lists: &BTreeMap<usize, Vec<Endpoint>>) -> Result<ListUpdate, String> {
        let Update(how, slot) = self;
        if how == "failed" {
            return Ok(ListUpdate::Failed);
        }
        let list = lists.get(&slot).cloned().ok_or_else(|| format!("DIRECTORY {slot} was never given"))?;
        match how.as_str() {
            "full" => Ok(ListUpdate::Full(list)),
            "cached" => Ok(ListUpdate::Cached(list)),
            "delta" => Ok(ListUpdate::Delta(list)),
            _ => Err(format!("field How cannot be read: {how}")),
        }
    }
}

pub fn entry(rest: &str) -> Result<Endpoint, String> {
    let mut f = Fields::new(rest);
    let zone = f.maybe("Campus")?.unwrap_or(0);
    let destination = f.maybe("BelongsTo")?.unwrap_or(0);
    let name = f.text("Host")?.to_string();
    let weight = f.maybe("Heft")?.unwrap_or(0.0);
    let listed = match f.text("StageState")? {
        "active" => EndpointStatus::Active,
        "leaving" => EndpointStatus::Draining,
        "left" => EndpointStatus::Removed,
        text => return Err(format!("field StageState cannot be read: {text}")),
    };
    let _start: Option<f64> = f.maybe("StartTimeMs")?;
    let kind = f.maybe("Machine")?.unwrap_or(0);
    f.end()?;
    Ok(Endpoint { name, destination, zone, kind, weight, status: listed })
}

fn outcome(f: &mut Fields) -> Result<Outcome, String> {
    Ok(match f.text("How")? {
        "S" => Outcome::Delivered,
        "E" => Outcome::Error,
        "F" => Outcome::Full,
        "T" => Outcome::TimedOut,
        "C" => Outcome::NoConnection,
        "R" => Outcome::Broken,
        "X" => Outcome::Cancelled,
        "N" => Outcome::NotSent,
        text => return Err(format!("field How cannot be read: {text}")),
    })
}

pub fn event(word: &str, rest: &str) -> Result<Event, String> {
    let mut f = Fields::new(rest);
    let event = match word {
        "INBOUND" => {
            let id = f.number("RequestId")?;
            let class = f.maybe("Band")?.unwrap_or(0);
            let tenant = f.maybe("Account")?.unwrap_or(0);
            let key = f.maybe("Subject")?;
            let due = f.number("DueMs")?;
            let _work: Option<f64> = f.maybe("WorkMs")?;
            let destination = f.number("TerminatesAt")?;
            let _bits: Option<u64> = f.maybe("Bitmap")?;
            Event::Request { id, class, tenant, key, due, destination }
        }
        "HEAD_RECEIVED" => {
            let (id, attempt) = (f.number("RequestId")?, f.number("Attempt")?);
            f.text("Host")?;
            let _lag: Option<f64> = f.maybe("LagMs")?;
            Event::ResponseStarted { id, attempt }
        }
        "REPLY" => {
            let (id, attempt) = (f.number("RequestId")?, f.number("Attempt")?);
            f.text("Host")?;
            let outcome = outcome(&mut f)?;
            let took_ms = f.maybe("LagMs")?.unwrap_or(0.0);
            let settled = f.flag("Settled")?;
            let wait_ms = f.maybe("RemarkMs")?.unwrap_or(0.0);
            Event::Ended { id, attempt, outcome, took_ms, settled, wait_ms, report: f.report()? }
        }
        "LEFT" => Event::Withdrawn { id: f.number("RequestId")? },
        "TIMEOUT_FIRED" => Event::Timer { token: f.number("KeyBack")? },
        "ECHO" => {
            let outcome = outcome(&mut f)?;
            let endpoint = f.text("Host")?.to_string();
            let took_ms = f.maybe("LagMs")?.unwrap_or(0.0);
            Event::Probed { endpoint, outcome, took_ms, report: f.report()? }
        }
        "FROM_PEER" => {
            let from = f.number("By")?;
            let text = f.text("Data")?;
            let bad = |_| format!("field Data cannot be read: {text}");
            let data = if text == "-" { Vec::new() } else { STANDARD.decode(text).map_err(bad)? };
            Event::PeerMessage { from, data }
        }
        _ => return Err(format!("unknown message {word}")),
    };
    f.end()?;
    Ok(event)
}

pub fn action(action: &Action) -> String {
    match action {
        Action::Send { id, endpoint, timeout_ms, .. } => match timeout_ms {
            Some(ms) => format!("TRY {id} {endpoint} {ms:.3}"),
            None => format!("TRY {id} {endpoint} -"),
        },
        Action::Cancel { id, attempt } => format!("REVOKE {id} {attempt}"),
        Action::Refuse { id, retry_after_ms: Some(ms) } => format!("SHED {id} {ms:.3}"),
        Action::Refuse { id, retry_after_ms: None } => format!("SHED {id} -"),
        Action::Fail { id } => format!("REPORT_FAILURE {id}"),
        Action::Timer { at, token } => format!("ARM {at:.3} {token}"),
        Action::Probe { endpoint } => format!("TOUCH {endpoint}"),
        Action::CloseIdle { endpoint } => format!("FREE_LINKS {endpoint}"),
        Action::SendToPeer { to, data } => {
            let to = to.map_or("*".to_string(), |n| n.to_string());
            let data = if data.is_empty() { "-".to_string() } else { STANDARD.encode(data) };
            format!("PUBLISH {to} {data}")
        }
        Action::Watch(on) => format!("LISTEN {}", u8::from(*on)),
        Action::Fetch => "GET_LIST".to_string(),
        Action::Log(words) => format!("REMARK {}", words.replace('\n', " ")),
    }
}

/// The settings of `NEW_INSTANCE`, by path.
struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl Pairs<'_> {
    fn read<T: FromStr>(&self, key: &str) -> Result<Option<T>, String> {
        let Some(text) = self.0.get(key) else {
            return Ok(None);
        };
        text.parse().map(Some).map_err(|_| format!("setting {key} cannot be read: {text}"))
    }

    fn need<T: FromStr>(&self, key: &str) -> Result<T, String> {
        self.read(key)?.ok_or_else(|| format!("setting {key} is missing"))
    }

    fn or_zero<T: FromStr + Default>(&self, key: &str) -> Result<T, String> {
        Ok(self.read(key)?.unwrap_or_default())
    }

    fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, String> {
        let text = self.0.get(key).copied().unwrap_or("");
        let bad = |_| format!("setting {key} cannot be read: {text}");
        text.split(',').filter(|t| !t.is_empty() && *t != "-").map(|t| t.parse().map_err(bad)).collect()
    }

    fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<Option<T>, String> {
        let Some(text) = self.0.get(key) else {
            return Ok(None);
        };
        let found = words.iter().find(|w| w.0 == *text).map(|w| Some(w.1));
        found.ok_or_else(|| format!("setting {key} cannot be read: {text}"))
    }
}

/// `NEW_INSTANCE`: the seed and the settings.
pub fn start(rest: &str) -> Result<(u64, Settings), String> {
    let mut parts = rest.split(' ');
    let seed = parts.next().filter(|t| !t.is_empty()).ok_or("field RandomSeed is missing")?;
    let seed = seed.parse().map_err(|_| format!("field RandomSeed cannot be read: {seed}"))?;
    let p = Pairs(parts.filter_map(|pair| pair.split_once('=')).collect());
    let columns: Vec<String> = p.list("LoadReport.Columns")?;
    let column = |name: &str| columns.iter().position(|c| c == name);
    let mut classes = Vec::new();
    for i in 0..p.need::<usize>("Profiles.count")? {
        let at = |name: &str| format!("Profiles.{i}.{name}");
        classes.push(Class {
            aim_ms: p.need(&at("AimMs"))?,
            deadline_ms: p.need(&at("DeadlineMs"))?,
            effect: p
                .word(&at("Effect"), &EFFECTS)?
                .ok_or_else(|| format!("setting {} is missing", at("Effect")))?,
            dedup_scope: p.word(&at("Group"), &DEDUP_SCOPES)?.unwrap_or(DedupScope::All),
            dedup_window_ms: p.or_zero(&at("DedupWindowMs"))?,
            value: p.need(&at("Points"))?,
            late_value: p.or_zero(&at("LateValue"))?,
            in_order: p.or_zero(&at("SerialByKey"))?,
        });
    }
    let mut tenant_rates = Vec::new();
    for i in 0..p.or_zero::<usize>("Orgs.count")? {
        tenant_rates.push(p.need(&format!("Orgs.{i}.QuotaRps"))?);
    }
    let settings = Settings {
        relays: p.need("Balancers")?,
        zone: p.or_zero("Zone")?,
        slots: p.need("Domain.Slots")?,
        max_open: p.need("Limits.MaxOpen")?,
        max_attempts: p.need("Limits.MaxAttempts")?,
        classes,
        tenant_rates,
        over_share_value: p.read("OverShareWorth")?.unwrap_or(1.0),
        value_decay: p.word("Domain.Fades", &VALUE_DECAYS)?.unwrap_or(ValueDecay::Linear),
        batch: p.list("Domain.BatchByKind")?,
        own_limits: p.list("Domain.OwnLimits")?,
        route_fee: p.list("Domain.RouteFee")?,
        cross_zone_cost: p.or_zero("Costs.CrossZone")?,
        handshake_cost: p.or_zero("Costs.Handshake")?,
        weight_meaning: p.word("Weights", &WEIGHTS)?.unwrap_or(WeightMeaning::Ignored),
        remaining_column: column("x0"),
        limit_column: column("x1"),
        poll_discovery: p.word("Discovery", &DISCOVERY)?.unwrap_or(false),
        may_cancel: p.or_zero("Limits.Cancel")?,
        may_probe: p.or_zero("Limits.Probing")?,
        hedging: p.or_zero("Limits.SecondCopies")?,
        retry_after: p.or_zero("Limits.RetryAfter")?,
        max_retry_after_ms: p.or_zero("Limits.MaxRetryAfterMs")?,
        conn_idle_ms: p.or_zero("Limits.ConnIdleMs")?,
        conn_streams: p.or_zero("Limits.MaxStreams")?,
        cold_share: p.need("Safety.ColdShare")?,
        warm_after_ms: p.need("Safety.WarmAfterMs")?,
        fall_multiple: p.need("Safety.FallMultiple")?,
        fall_ms: p.need("Safety.FallMs")?,
        confirms_answers: false,
        order_pause_ms: p.or_zero("Safety.OrderPauseMs")?,
        tick_ms: p.or_zero("TickMs")?,
    };
    Ok((seed, settings))
}
