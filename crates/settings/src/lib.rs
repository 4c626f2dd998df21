//! The platform's settings, as JSON stands in a relay's configuration, read into the module's own. Units are
//! those of the platform: spans in milliseconds, rates in calls a second.
#![warn(missing_docs)]

pub mod words;

use linenhall::{Class, Settings};
use serde::Deserialize;
use words::{DEDUP_SCOPES, DISCOVERY, EFFECTS, VALUE_DECAYS, WEIGHTS};

/// What the settings say, checked.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// For the module.
    pub settings: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the kinds of destinations, by index.
    pub kinds: Vec<String>,
    /// A connection that is not up by then counts as refused. Over 0 and under 1e9.
    pub connect_timeout_ms: f64,
    /// Columns of a load report, in the order in which the module reads them.
    pub report_columns: Vec<String>,
    /// The list is not pushed but asked for, and each call costs discovery something.
    pub discovery_is_polled: bool,
}

/// The settings as they stand in the file. [`FileSettings::read`] checks them.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct FileSettings {
    balancers: usize,
    #[serde(default)]
    costs: FileCosts,
    discovery: Option<String>,
    domain: FileDomain,
    limits: FileAllowances,
    #[serde(default)]
    load_report: FileReport,
    #[serde(default)]
    machine_types: Vec<String>,
    #[serde(default)]
    orgs: Vec<FileTenant>,
    over_share_worth: Option<f64>,
    profiles: Vec<FileClass>,
    safety: FileSafety,
    #[serde(default)]
    tick_ms: f64,
    weights: Option<String>,
    #[serde(default)]
    zone: u32,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct FileCosts {
    cross_zone: f64,
    handshake: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct FileDomain {
    #[serde(default)]
    batch_by_kind: Vec<usize>,
    fades: Option<String>,
    #[serde(default)]
    own_limits: Vec<bool>,
    #[serde(default)]
    route_fee: Vec<f64>,
    slots: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct FileAllowances {
    max_open: usize,
    max_attempts: u32,
    conn_idle_ms: f64,
    connect_timeout_ms: f64,
    #[serde(default)]
    max_retry_after_ms: f64,
    #[serde(default)]
    max_streams: usize,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    probing: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    second_copies: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct FileReport {
    columns: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct FileTenant {
    name: String,
    quota_rps: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct FileClass {
    name: String,
    aim_ms: f64,
    deadline_ms: f64,
    effect: String,
    group: Option<String>,
    #[serde(default)]
    dedup_window_ms: f64,
    points: f64,
    #[serde(default)]
    late_value: f64,
    #[serde(default)]
    serial_by_key: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct FileSafety {
    cold_share: f64,
    warm_after_ms: f64,
    fall_multiple: f64,
    fall_ms: f64,
    #[serde(default)]
    order_pause_ms: f64,
}

/// A word of the settings, or the first of `words` where it is absent.
fn word<T: Copy>(what: &str, text: Option<&str>, words: &[(&str, T)]) -> Result<T, String> {
    let found = text.map_or(words.first(), |text| words.iter().find(|w| w.0 == text));
    found.map(|w| w.1).ok_or_else(|| format!("setting {what} cannot be read: {}", text.unwrap_or("")))
}

fn class(c: &FileClass) -> Result<Class, String> {
    Ok(Class {
        aim_ms: c.aim_ms,
        deadline_ms: c.deadline_ms,
        effect: word("Profiles.Effect", Some(&c.effect), &EFFECTS)?,
        dedup_scope: word("Profiles.Group", c.group.as_deref(), &DEDUP_SCOPES)?,
        dedup_window_ms: c.dedup_window_ms,
        value: c.points,
        late_value: c.late_value,
        in_order: c.serial_by_key,
    })
}

impl FileSettings {
    /// Checks them. The error is one line that names the setting.
    pub fn read(&self) -> Result<ParsedSettings, String> {
        let millis = self.limits.connect_timeout_ms;
        if !(millis > 0.0 && millis < 1e9) {
            return Err(format!("setting Limits.ConnectTimeoutMs cannot be read: {millis}"));
        }
        Ok(ParsedSettings {
            settings: settings(self)?,
            classes: self.profiles.iter().map(|p| p.name.clone()).collect(),
            tenants: self.orgs.iter().map(|o| o.name.clone()).collect(),
            zones: self.zones.clone(),
            kinds: self.machine_types.clone(),
            connect_timeout_ms: millis,
            report_columns: self.load_report.columns.clone(),
            discovery_is_polled: word("Discovery", self.discovery.as_deref(), &DISCOVERY)?,
        })
    }
}

fn settings(s: &FileSettings) -> Result<Settings, String> {
    if s.profiles.is_empty() {
        return Err("setting Profiles is empty".into());
    }
    if s.domain.slots == 0 {
        return Err("setting Domain.Slots is 0".into());
    }
    let column = |name: &str| s.load_report.columns.iter().position(|c| c == name);
    Ok(Settings {
        relays: s.balancers,
        zone: s.zone,
        slots: s.domain.slots,
        max_open: s.limits.max_open,
        max_attempts: s.limits.max_attempts,
        classes: s.profiles.iter().map(class).collect::<Result<_, _>>()?,
        tenant_rates: s.orgs.iter().map(|o| o.quota_rps).collect(),
        over_share_value: s.over_share_worth.unwrap_or(1.0),
        value_decay: word("Domain.Fades", s.domain.fades.as_deref(), &VALUE_DECAYS)?,
        // One call carries one message on these sockets, whatever the simulator's calls may carry.
        batch: s.domain.batch_by_kind.iter().map(|_| 1).collect(),
        own_limits: s.domain.own_limits.clone(),
        route_fee: s.domain.route_fee.clone(),
        cross_zone_cost: s.costs.cross_zone,
        handshake_cost: s.costs.handshake,
        weight_meaning: word("Weights", s.weights.as_deref(), &WEIGHTS)?,
        remaining_column: column("x0"),
        limit_column: column("x1"),
        // The watch is discovery.rs's own; the module never has to ask.
        poll_discovery: false,
        may_cancel: s.limits.cancel,
        may_probe: s.limits.probing,
        confirms_answers: false,
        hedging: s.limits.second_copies,
        retry_after: s.limits.retry_after,
        max_retry_after_ms: s.limits.max_retry_after_ms,
        conn_idle_ms: s.limits.conn_idle_ms,
        conn_streams: s.limits.max_streams,
        cold_share: s.safety.cold_share,
        warm_after_ms: s.safety.warm_after_ms,
        fall_multiple: s.safety.fall_multiple,
        fall_ms: s.safety.fall_ms,
        order_pause_ms: s.safety.order_pause_ms,
        tick_ms: s.tick_ms,
    })
}
