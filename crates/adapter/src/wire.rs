//! Parsing and writing of the simulator's wire format.
use base64::{engine::general_purpose::STANDARD, Engine};
use linenhall::{
    Action, Class, DedupScope, Endpoint, EndpointStatus, Event, ListUpdate, Outcome, Settings, ValueDecay,
    WeightMeaning,
};
use mulleinslip_settings::keywords::{DEDUP_SCOPES, DISCOVERY, EFFECTS, VALUE_DECAYS, WEIGHTS};
use std::collections::BTreeMap;
use std::str::FromStr;

/// The fields of a line, read from left to right.
pub struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    pub fn new(rest: &'a str) -> Self {
        Fields(rest.split(' '))
    }

    /// Reads a field that must not be empty.
    fn text(&mut self, name: &str) -> Result<&'a str, String> {
        self.0.next().filter(|t| !t.is_empty()).ok_or_else(|| format!("field {name} is missing"))
    }

    /// Reads a number.
    pub fn number<T: FromStr>(&mut self, name: &str) -> Result<T, String> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("field {name} cannot be read: {text}"))
    }

    /// Reads a value that may be absent (`-`).
    fn optional<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, String> {
        let text = self.text(name)?;
        if text == "-" {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| format!("field {name} cannot be read: {text}"))
    }

    /// Reads a flag; an absent one (`-`) is false.
    fn flag(&mut self, name: &str) -> Result<bool, String> {
        match self.text(name)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            text => Err(format!("field {name} cannot be read: {text}")),
        }
    }

    /// Reads a load report, with NaN for absent values.
    fn report(&mut self) -> Result<Vec<f64>, String> {
        let text = self.text("Feedback")?;
        if text == "-" {
            return Ok(Vec::new());
        }
        let bad = |_| format!("field Feedback cannot be read: {text}");
        text.split(',').map(|v| if v == "-" { Ok(f64::NAN) } else { v.parse().map_err(bad) }).collect()
    }

    /// Reads the only field of a line.
    pub fn only_text(mut self) -> Result<String, String> {
        let text = self.text("Relay")?.to_string();
        self.end()?;
        Ok(text)
    }

    /// Fails if a field is left.
    pub fn end(&mut self) -> Result<(), String> {
        match self.0.next() {
            None => Ok(()),
            Some(text) => Err(format!("unexpected field: {text}")),
        }
    }
}

/// Parses `MARK` into the clock and the number of the batch.
pub fn mark(line: &str) -> Result<(f64, String), String> {
    let rest = line.strip_prefix("MARK ").ok_or_else(|| format!("MARK expected: {line}"))?;
    let mut fields = Fields::new(rest);
    let now = fields.number("clock")?;
    let number: u64 = fields.number("number")?;
    fields.end()?;
    Ok((now, number.to_string()))
}

/// A `DISCOVERY` line: the kind of update and the slot of its list, which is not looked up yet.
pub struct Update(String, usize);

/// Parses `DISCOVERY`.
pub fn update(rest: &str) -> Result<Update, String> {
    let mut fields = Fields::new(rest);
    let how = fields.text("How")?.to_string();
    let _revision: Option<u64> = fields.optional("Revision")?;
    let slot = fields.optional("Slot")?.unwrap_or(0);
    fields.end()?;
    Ok(Update(how, slot))
}

impl Update {
    /// Looks up the list of the update.
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

/// Parses `ENTRY`, an endpoint of a list.
pub fn entry(rest: &str) -> Result<Endpoint, String> {
    let mut fields = Fields::new(rest);
    let zone = fields.optional("Campus")?.unwrap_or(0);
    let destination = fields.optional("BelongsTo")?.unwrap_or(0);
    let name = fields.text("Host")?.to_string();
    let weight = fields.optional("Heft")?.unwrap_or(0.0);
    let status = match fields.text("StageState")? {
        "active" => EndpointStatus::Active,
        "leaving" => EndpointStatus::Draining,
        "left" => EndpointStatus::Removed,
        text => return Err(format!("field StageState cannot be read: {text}")),
    };
    let _start: Option<f64> = fields.optional("StartTimeMs")?;
    let kind = fields.optional("Machine")?.unwrap_or(0);
    fields.end()?;
    Ok(Endpoint { name, destination, zone, kind, weight, status })
}

fn outcome(fields: &mut Fields) -> Result<Outcome, String> {
    Ok(match fields.text("How")? {
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

/// Parses an event from its keyword and fields.
pub fn event(keyword: &str, rest: &str) -> Result<Event, String> {
    let mut fields = Fields::new(rest);
    let event = match keyword {
        "INBOUND" => {
            let id = fields.number("RequestId")?;
            let class = fields.optional("Band")?.unwrap_or(0);
            let tenant = fields.optional("Account")?.unwrap_or(0);
            let key = fields.optional("Subject")?;
            let due = fields.number("DueMs")?;
            let _work: Option<f64> = fields.optional("WorkMs")?;
            let destination = fields.number("TerminatesAt")?;
            let _bits: Option<u64> = fields.optional("Bitmap")?;
            Event::Request { id, class, tenant, key, due, destination }
        }
        "HEAD_RECEIVED" => {
            let (id, attempt) = (fields.number("RequestId")?, fields.number("Attempt")?);
            fields.text("Host")?;
            let _lag: Option<f64> = fields.optional("LagMs")?;
            Event::ResponseStarted { id, attempt }
        }
        "REPLY" => {
            let (id, attempt) = (fields.number("RequestId")?, fields.number("Attempt")?);
            fields.text("Host")?;
            let outcome = outcome(&mut fields)?;
            let took_ms = fields.optional("LagMs")?.unwrap_or(0.0);
            let settled = fields.flag("Settled")?;
            let retry_after_ms = fields.optional("RemarkMs")?.unwrap_or(0.0);
            Event::Ended { id, attempt, outcome, took_ms, settled, retry_after_ms, report: fields.report()? }
        }
        "LEFT" => Event::Withdrawn { id: fields.number("RequestId")? },
        "TIMEOUT_FIRED" => Event::Timer { token: fields.number("KeyBack")? },
        "ECHO" => {
            let outcome = outcome(&mut fields)?;
            let endpoint = fields.text("Host")?.to_string();
            let took_ms = fields.optional("LagMs")?.unwrap_or(0.0);
            Event::Probed { endpoint, outcome, took_ms, report: fields.report()? }
        }
        "FROM_PEER" => {
            let from = fields.number("By")?;
            let text = fields.text("Data")?;
            let bad = |_| format!("field Data cannot be read: {text}");
            let data = if text == "-" { Vec::new() } else { STANDARD.decode(text).map_err(bad)? };
            Event::PeerMessage { from, data }
        }
        _ => return Err(format!("unknown message {keyword}")),
    };
    fields.end()?;
    Ok(event)
}

/// Returns the line of an action.
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
        Action::WatchList(on) => format!("LISTEN {}", u8::from(*on)),
        Action::FetchList => "GET_LIST".to_string(),
        Action::Log(text) => format!("REMARK {}", text.replace('\n', " ")),
    }
}

/// The settings of `NEW_INSTANCE` by their path.
struct SettingValues<'a>(BTreeMap<&'a str, &'a str>);

impl SettingValues<'_> {
    /// Returns a setting, or `None` if it is absent.
    fn optional<T: FromStr>(&self, key: &str) -> Result<Option<T>, String> {
        let Some(text) = self.0.get(key) else {
            return Ok(None);
        };
        text.parse().map(Some).map_err(|_| format!("setting {key} cannot be read: {text}"))
    }

    /// Returns a setting that must be present.
    fn required<T: FromStr>(&self, key: &str) -> Result<T, String> {
        self.optional(key)?.ok_or_else(|| format!("setting {key} is missing"))
    }

    /// Returns a setting, or the default of its type if it is absent.
    fn or_default<T: FromStr + Default>(&self, key: &str) -> Result<T, String> {
        Ok(self.optional(key)?.unwrap_or_default())
    }

    /// Returns a list of values separated by commas; it is empty if the setting is absent.
    fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, String> {
        let text = self.0.get(key).copied().unwrap_or("");
        let bad = |_| format!("setting {key} cannot be read: {text}");
        text.split(',').filter(|t| !t.is_empty() && *t != "-").map(|t| t.parse().map_err(bad)).collect()
    }

    /// Returns the value of a keyword, or `None` if the setting is absent.
    fn keyword<T: Copy>(&self, key: &str, keywords: &[(&str, T)]) -> Result<Option<T>, String> {
        let Some(text) = self.0.get(key) else {
            return Ok(None);
        };
        let found = keywords.iter().find(|k| k.0 == *text).map(|k| Some(k.1));
        found.ok_or_else(|| format!("setting {key} cannot be read: {text}"))
    }
}

/// Parses `NEW_INSTANCE` into the seed and the settings.
pub fn start(rest: &str) -> Result<(u64, Settings), String> {
    let mut parts = rest.split(' ');
    let seed = parts.next().filter(|t| !t.is_empty()).ok_or("field RandomSeed is missing")?;
    let seed = seed.parse().map_err(|_| format!("field RandomSeed cannot be read: {seed}"))?;
    let values = SettingValues(parts.filter_map(|pair| pair.split_once('=')).collect());
    let columns: Vec<String> = values.list("LoadReport.Columns")?;
    let column = |name: &str| columns.iter().position(|c| c == name);
    let mut classes = Vec::new();
    for i in 0..values.required::<usize>("Profiles.count")? {
        let key = |name: &str| format!("Profiles.{i}.{name}");
        classes.push(Class {
            aim_ms: values.required(&key("AimMs"))?,
            deadline_ms: values.required(&key("DeadlineMs"))?,
            effect: values
                .keyword(&key("Effect"), &EFFECTS)?
                .ok_or_else(|| format!("setting {} is missing", key("Effect")))?,
            dedup_scope: values.keyword(&key("Group"), &DEDUP_SCOPES)?.unwrap_or(DedupScope::All),
            dedup_window_ms: values.or_default(&key("DedupWindowMs"))?,
            value: values.required(&key("Points"))?,
            late_value: values.or_default(&key("LateValue"))?,
            in_order: values.or_default(&key("SerialByKey"))?,
        });
    }
    let mut tenant_rates = Vec::new();
    for i in 0..values.or_default::<usize>("Orgs.count")? {
        tenant_rates.push(values.required(&format!("Orgs.{i}.QuotaRps"))?);
    }
    let settings = Settings {
        relays: values.required("Balancers")?,
        zone: values.or_default("Zone")?,
        slots: values.required("Domain.Slots")?,
        max_open: values.required("Limits.MaxOpen")?,
        max_attempts: values.required("Limits.MaxAttempts")?,
        classes,
        tenant_rates,
        over_share_value: values.optional("OverShareWorth")?.unwrap_or(1.0),
        value_decay: values.keyword("Domain.Fades", &VALUE_DECAYS)?.unwrap_or(ValueDecay::Linear),
        batch_by_kind: values.list("Domain.BatchByKind")?,
        own_limits: values.list("Domain.OwnLimits")?,
        route_fee: values.list("Domain.RouteFee")?,
        cross_zone_cost: values.or_default("Costs.CrossZone")?,
        handshake_cost: values.or_default("Costs.Handshake")?,
        weight_meaning: values.keyword("Weights", &WEIGHTS)?.unwrap_or(WeightMeaning::Ignored),
        remaining_column: column("x0"),
        limit_column: column("x1"),
        poll_discovery: values.keyword("Discovery", &DISCOVERY)?.unwrap_or(false),
        may_cancel: values.or_default("Limits.Cancel")?,
        may_probe: values.or_default("Limits.Probing")?,
        hedging: values.or_default("Limits.SecondCopies")?,
        retry_after: values.or_default("Limits.RetryAfter")?,
        max_retry_after_ms: values.or_default("Limits.MaxRetryAfterMs")?,
        conn_idle_ms: values.or_default("Limits.ConnIdleMs")?,
        conn_streams: values.or_default("Limits.MaxStreams")?,
        cold_share: values.required("Safety.ColdShare")?,
        warm_after_ms: values.required("Safety.WarmAfterMs")?,
        fall_multiple: values.required("Safety.FallMultiple")?,
        fall_ms: values.required("Safety.FallMs")?,
        confirms_answers: false,
        order_pause_ms: values.or_default("Safety.OrderPauseMs")?,
        tick_ms: values.or_default("TickMs")?,
    };
    Ok((seed, settings))
}
