//! Parses the platform's settings, which are JSON in a relay's configuration, into the settings of the
//! decision module. Units are those of the platform: durations in milliseconds, rates in calls per second.
#![warn(missing_docs)]

pub mod keywords;

use keywords::{DEDUP_SCOPES, DISCOVERY, EFFECTS, VALUE_DECAYS, WEIGHTS};
use linenhall::{Class, Settings};
use serde::Deserialize;

/// The parsed and validated settings.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the kinds of destinations, by index.
    pub kinds: Vec<String>,
    /// Time after which a connection that is not established counts as refused. Over 0 and under 1e9.
    pub connect_timeout_ms: f64,
    /// Columns of a load report, in the order in which the decision module reads them.
    pub report_columns: Vec<String>,
    /// Whether the list has to be polled, where each poll costs the discovery service something, rather than
    /// being pushed.
    pub discovery_is_polled: bool,
}

/// The settings as written in the configuration file. [`FileSettings::parse`] validates them.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct FileSettings {
    balancers: usize,
    #[serde(default)]
    costs: FileCosts,
    discovery: Option<String>,
    domain: FileDomain,
    limits: FileLimits,
    #[serde(default)]
    load_report: FileLoadReport,
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
struct FileLimits {
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
struct FileLoadReport {
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

/// Returns the value of a keyword of `setting`, or the first of `keywords` where it is left out.
fn parse_keyword<T: Copy>(setting: &str, text: Option<&str>, keywords: &[(&str, T)]) -> Result<T, String> {
    let found = text.map_or(keywords.first(), |text| keywords.iter().find(|k| k.0 == text));
    found.map(|k| k.1).ok_or_else(|| format!("setting {setting} cannot be read: {}", text.unwrap_or("")))
}

fn class(file: &FileClass) -> Result<Class, String> {
    Ok(Class {
        aim_ms: file.aim_ms,
        deadline_ms: file.deadline_ms,
        effect: parse_keyword("Profiles.Effect", Some(&file.effect), &EFFECTS)?,
        dedup_scope: parse_keyword("Profiles.Group", file.group.as_deref(), &DEDUP_SCOPES)?,
        dedup_window_ms: file.dedup_window_ms,
        value: file.points,
        late_value: file.late_value,
        in_order: file.serial_by_key,
    })
}

impl FileSettings {
    /// Validates the settings. The error is one line that names the setting.
    pub fn parse(&self) -> Result<ParsedSettings, String> {
        let connect_timeout_ms = self.limits.connect_timeout_ms;
        if !(connect_timeout_ms > 0.0 && connect_timeout_ms < 1e9) {
            return Err(format!("setting Limits.ConnectTimeoutMs cannot be read: {connect_timeout_ms}"));
        }
        Ok(ParsedSettings {
            settings: settings(self)?,
            classes: self.profiles.iter().map(|p| p.name.clone()).collect(),
            tenants: self.orgs.iter().map(|o| o.name.clone()).collect(),
            zones: self.zones.clone(),
            kinds: self.machine_types.clone(),
            connect_timeout_ms,
            report_columns: self.load_report.columns.clone(),
            discovery_is_polled: parse_keyword("Discovery", self.discovery.as_deref(), &DISCOVERY)?,
        })
    }
}

fn settings(file: &FileSettings) -> Result<Settings, String> {
    if file.profiles.is_empty() {
        return Err("setting Profiles is empty".into());
    }
    if file.domain.slots == 0 {
        return Err("setting Domain.Slots is 0".into());
    }
    let column = |name: &str| file.load_report.columns.iter().position(|c| c == name);
    Ok(Settings {
        relays: file.balancers,
        zone: file.zone,
        slots: file.domain.slots,
        max_open: file.limits.max_open,
        max_attempts: file.limits.max_attempts,
        classes: file.profiles.iter().map(class).collect::<Result<_, _>>()?,
        tenant_rates: file.orgs.iter().map(|o| o.quota_rps).collect(),
        over_share_value: file.over_share_worth.unwrap_or(1.0),
        value_decay: parse_keyword("Domain.Fades", file.domain.fades.as_deref(), &VALUE_DECAYS)?,
        // Over HTTP a call carries one message, whatever batch size the simulator uses.
        batch_by_kind: file.domain.batch_by_kind.iter().map(|_| 1).collect(),
        own_limits: file.domain.own_limits.clone(),
        route_fee: file.domain.route_fee.clone(),
        cross_zone_cost: file.costs.cross_zone,
        handshake_cost: file.costs.handshake,
        weight_meaning: parse_keyword("Weights", file.weights.as_deref(), &WEIGHTS)?,
        remaining_column: column("x0"),
        limit_column: column("x1"),
        // The relay watches discovery by itself, so the decision module never polls it.
        poll_discovery: false,
        may_cancel: file.limits.cancel,
        may_probe: file.limits.probing,
        confirms_answers: false,
        hedging: file.limits.second_copies,
        retry_after: file.limits.retry_after,
        max_retry_after_ms: file.limits.max_retry_after_ms,
        conn_idle_ms: file.limits.conn_idle_ms,
        conn_streams: file.limits.max_streams,
        cold_share: file.safety.cold_share,
        warm_after_ms: file.safety.warm_after_ms,
        fall_multiple: file.safety.fall_multiple,
        fall_ms: file.safety.fall_ms,
        order_pause_ms: file.safety.order_pause_ms,
        tick_ms: file.tick_ms,
    })
}
