//! What the relay is told at its start: the environment and config.json, as typed values.

use linenhall::{Class, Effect, Endpoint, Fade, Group, Listed, Settings, WeightMeaning};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// All that the relay is told, checked.
pub struct Config {
    /// The configuration's file, to be read again at SIGHUP.
    pub file: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub state: PathBuf,
    pub seed: u64,
    pub sockets: usize,
    pub disk_bytes: u64,
    pub known: List,
    pub settings: Settings,
    pub names: Names,
    pub connect_timeout: Duration,
    /// Columns of a load report, in the order in which the module reads them.
    pub report_columns: Vec<String>,
}

/// The names that stand on the sockets for the module's numbers.
#[derive(Clone, Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// Discovery's list, as it stands on the socket and in the configuration.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    #[serde(default)]
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    #[serde(default)]
    pub endpoints: Vec<Entry>,
}

/// One host of the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default, rename = "type")]
    pub kind: String,
    pub group: u64,
    pub status: Status,
    #[serde(default = "one")]
    pub weight: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    Active,
    Leaving,
    Left,
}

fn one() -> f64 {
    1.0
}

impl Names {
    /// An entry as the module knows it. An unknown zone or kind counts as the first.
    pub fn endpoint(&self, e: &Entry) -> Endpoint {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0);
        Endpoint {
            name: e.name.clone(),
            destination: e.group,
            zone: place(&self.zones, &e.zone) as u32,
            kind: place(&self.kinds, &e.kind),
            weight: e.weight,
            listed: match e.status {
                Status::Active => Listed::Active,
                Status::Leaving => Listed::Leaving,
                Status::Left => Listed::Gone,
            },
        }
    }
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    seed: String,
    limits: FileLimits,
    #[serde(default)]
    known: List,
    settings: FileSettings,
}

#[derive(Deserialize)]
struct FileLimits {
    sockets: usize,
    disk_mb: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct FileSettings {
    balancers: usize,
    #[serde(default)]
    costs: FileCosts,
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
    let effects = [("retryable", Effect::Safe), ("dedup", Effect::Keyed), ("fragile", Effect::Unsafe)];
    let groups = [("all", Group::All), ("zone", Group::Zone), ("cell", Group::Endpoint)];
    Ok(Class {
        aim_ms: c.aim_ms,
        deadline_ms: c.deadline_ms,
        effect: word("Profiles.Effect", Some(&c.effect), &effects)?,
        group: word("Profiles.Group", c.group.as_deref(), &groups)?,
        window_ms: c.dedup_window_ms,
        worth: c.points,
        late_worth: c.late_value,
        in_order: c.serial_by_key,
    })
}

fn settings(s: &FileSettings) -> Result<Settings, String> {
    if s.profiles.is_empty() {
        return Err("setting Profiles is empty".into());
    }
    if s.domain.slots == 0 {
        return Err("setting Domain.Slots is 0".into());
    }
    let column = |name: &str| s.load_report.columns.iter().position(|c| c == name);
    let fades = [("even", Fade::Even), ("by_half", Fade::Halves)];
    let weights = [
        ("none", WeightMeaning::Nothing),
        ("nominal", WeightMeaning::Rate),
        ("rough", WeightMeaning::RoughRate),
        ("live", WeightMeaning::Nothing),
    ];
    Ok(Settings {
        relays: s.balancers,
        zone: s.zone,
        slots: s.domain.slots,
        max_open: s.limits.max_open,
        max_attempts: s.limits.max_attempts,
        classes: s.profiles.iter().map(class).collect::<Result<_, _>>()?,
        tenant_rates: s.orgs.iter().map(|o| o.quota_rps).collect(),
        over_share_worth: s.over_share_worth.unwrap_or(1.0),
        fade: word("Domain.Fades", s.domain.fades.as_deref(), &fades)?,
        // One call carries one message on these sockets, whatever the simulator's calls may carry.
        batch: s.domain.batch_by_kind.iter().map(|_| 1).collect(),
        apart: s.domain.own_limits.clone(),
        route_fee: s.domain.route_fee.clone(),
        cross_zone_cost: s.costs.cross_zone,
        handshake_cost: s.costs.handshake,
        weights: word("Weights", s.weights.as_deref(), &weights)?,
        left_column: column("x0"),
        limit_column: column("x1"),
        // The watch is discovery.rs's own; the module never has to ask.
        ask_discovery: false,
        may_cancel: s.limits.cancel,
        may_probe: s.limits.probing,
        second_copies: s.limits.second_copies,
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

fn address(what: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{what} cannot be read: {text}"))
}

/// An address from the environment, or else from the configuration.
fn told(what: &str, env: &str, file: Option<&String>) -> Result<SocketAddr, String> {
    let text = std::env::var(env).ok().or_else(|| file.cloned());
    let text =
        text.ok_or_else(|| format!("{what} is missing: neither {env} nor the configuration has it"))?;
    address(what, &text)
}

/// Reads and checks the file.
fn load(path: &Path) -> Result<(File, Settings), String> {
    let named = |e: &dyn std::fmt::Display| format!("configuration {}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| named(&e))?;
    let file: File = serde_json::from_str(&text).map_err(|e| named(&e))?;
    let millis = file.settings.limits.connect_timeout_ms;
    if !(millis > 0.0 && millis < 1e9) {
        return Err(format!("setting Limits.ConnectTimeoutMs cannot be read: {millis}"));
    }
    if !(file.limits.disk_mb > 0.0 && file.limits.disk_mb < 1e6) {
        return Err(format!("limits.disk_mb cannot be read: {}", file.limits.disk_mb));
    }
    let settings = settings(&file.settings)?;
    Ok((file, settings))
}

/// The address of discovery in the file as it stands now. The environment does not count: it is as old as the
/// process. Nothing of a file that can't be read whole is taken over.
pub fn discovery_now(path: &Path) -> Result<SocketAddr, String> {
    let (file, _) = load(path)?;
    address("discovery", &file.discovery.ok_or("discovery is missing in the configuration")?)
}

/// Reads the environment and the configuration that it names. The error is one line for the log.
pub fn read() -> Result<Config, String> {
    let path: PathBuf = std::env::var_os("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?.into();
    let (file, settings) = load(&path)?;
    let s = &file.settings;
    let millis = s.limits.connect_timeout_ms;
    let state = std::env::var_os("ROUTER_STATE").ok_or("ROUTER_STATE is not set")?;
    Ok(Config {
        file: path,
        name: std::env::var("ROUTER_NAME").unwrap_or(file.name),
        listen: told("listen", "ROUTER_LISTEN", file.listen.as_ref())?,
        discovery: told("discovery", "ROUTER_DISCOVERY", file.discovery.as_ref())?,
        state: state.into(),
        seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| fastrand::u64(..)),
        sockets: file.limits.sockets,
        disk_bytes: (file.limits.disk_mb * 1e6) as u64,
        settings,
        names: Names {
            classes: s.profiles.iter().map(|p| p.name.clone()).collect(),
            tenants: s.orgs.iter().map(|o| o.name.clone()).collect(),
            zones: s.zones.clone(),
            kinds: s.machine_types.clone(),
        },
        connect_timeout: Duration::from_secs_f64(millis / 1000.0),
        report_columns: s.load_report.columns.clone(),
        known: file.known,
    })
}
