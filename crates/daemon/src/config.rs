//! What the relay is told at its start: the environment and config.json, as typed values.

use linenhall::Settings;
use mulleinslip_engine::Names;
use mulleinslip_http::{List, ListNames, PollCost, MAX_LIST_BYTES};
use mulleinslip_settings::{FileSettings, ParsedSettings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Destinations in use may have this part of the memory,
const USED_PART: usize = 16;
/// at so many bytes each, with traffic (measured, see docs/CAPACITY.md),
const USED_BYTES: usize = 4000;
/// and so many have room always.
const LEAST_USED: usize = 1024;
/// A list may have this part of the memory, in bytes as it comes: while it is read it takes four times as much (measured, see
/// docs/CAPACITY.md), that is half.
const LIST_PART: usize = 8;

/// All that the relay is told, checked.
pub struct Config {
    /// The configuration's file, to be read again at SIGHUP.
    pub file: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The second address, for on-call staff; none, where none is told.
    pub control: Option<SocketAddr>,
    pub state: PathBuf,
    pub seed: u64,
    pub sockets: usize,
    pub disk_bytes: u64,
    pub known: List,
    /// How far a list is read, in bytes.
    pub max_list_bytes: usize,
    /// So many destinations the decisions and the carrier know at once.
    pub max_active_destinations: usize,
    /// What a call for the list costs.
    pub list_calls: PollCost,
    pub settings: Settings,
    pub names: Names,
    pub list_names: ListNames,
    pub connect_timeout: Duration,
    /// Columns of a load report, in the order in which the module reads them.
    pub report_columns: Vec<String>,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    control: Option<String>,
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
    /// Absent, no more is read of a list than at the least.
    #[serde(default)]
    memory_mb: f64,
}

fn address(what: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{what} cannot be read: {text}"))
}

/// An address from the environment, or else from the configuration.
fn told(what: &str, env: &str, file: Option<&String>) -> Result<SocketAddr, String> {
    let told = told_perhaps(what, env, file)?;
    told.ok_or_else(|| format!("{what} is missing: neither {env} nor the configuration has it"))
}

fn told_perhaps(what: &str, env: &str, file: Option<&String>) -> Result<Option<SocketAddr>, String> {
    let text = std::env::var(env).ok().or_else(|| file.cloned()).filter(|text| !text.is_empty());
    text.map(|text| address(what, &text)).transpose()
}

/// The same with no field that is null. In lists nulls stay, as their places mean something.
fn without_nulls(value: Value) -> Value {
    match value {
        Value::Object(fields) => {
            let fields = fields.into_iter().filter(|(_, v)| !v.is_null());
            Value::Object(fields.map(|(name, v)| (name, without_nulls(v))).collect())
        }
        Value::Array(items) => Value::Array(items.into_iter().map(without_nulls).collect()),
        plain => plain,
    }
}

/// Reads and checks the file.
fn load(path: &Path) -> Result<(File, ParsedSettings), String> {
    let named = |e: &dyn std::fmt::Display| format!("configuration {}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| named(&e))?;
    // A field that is null is one that is absent. The error that is told has the line of the text as it stands.
    let file = serde_json::from_str(&text).or_else(|e| {
        let nulls_left_out = serde_json::from_str(&text).map(without_nulls).ok();
        nulls_left_out.and_then(|value| serde_json::from_value::<File>(value).ok()).ok_or(e)
    });
    let file: File = file.map_err(|e| named(&e))?;
    if !(file.limits.disk_mb > 0.0 && file.limits.disk_mb < 1e6) {
        return Err(format!("limits.disk_mb cannot be read: {}", file.limits.disk_mb));
    }
    let read = file.settings.read()?;
    Ok((file, read))
}

/// The address of discovery in the file as it stands now. The environment does not count: it is as old as the
/// process. Nothing of a file that can't be read whole is taken over.
pub fn discovery_now(path: &Path) -> Result<SocketAddr, String> {
    let (file, _) = load(path)?;
    address("discovery", &file.discovery.ok_or("discovery is missing in the configuration")?)
}

/// Checks a file without serving. Gives what it says, in a line.
pub fn check(path: &Path) -> Result<String, String> {
    let (file, ParsedSettings { settings, .. }) = load(path)?;
    for (what, text) in [("listen", &file.listen), ("discovery", &file.discovery), ("control", &file.control)]
    {
        text.as_ref().map(|t| address(what, t)).transpose()?;
    }
    Ok(format!(
        "good; {} classes, {} tenants, {} slots, {} messages at most, {} hosts known, a journal of {} MB at most",
        settings.classes.len(),
        settings.tenant_rates.len(),
        settings.slots,
        settings.max_open,
        file.known.endpoints.len(),
        file.limits.disk_mb
    ))
}

/// Reads the environment and the configuration that it names. The error is one line for the log.
pub fn read() -> Result<Config, String> {
    let path: PathBuf = std::env::var_os("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?.into();
    let (file, read) = load(&path)?;
    let state = std::env::var_os("ROUTER_STATE").ok_or("ROUTER_STATE is not set")?;
    Ok(Config {
        file: path,
        name: std::env::var("ROUTER_NAME").unwrap_or(file.name),
        listen: told("listen", "ROUTER_LISTEN", file.listen.as_ref())?,
        discovery: told("discovery", "ROUTER_DISCOVERY", file.discovery.as_ref())?,
        control: told_perhaps("control", "ROUTER_CONTROL", file.control.as_ref())?,
        state: state.into(),
        seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| fastrand::u64(..)),
        sockets: file.limits.sockets,
        disk_bytes: (file.limits.disk_mb * 1e6) as u64,
        max_list_bytes: ((file.limits.memory_mb.clamp(0.0, 1e6) * 1e6) as usize / LIST_PART)
            .max(MAX_LIST_BYTES),
        max_active_destinations: ((file.limits.memory_mb.clamp(0.0, 1e6) * 1e6) as usize
            / USED_PART
            / USED_BYTES)
            .max(LEAST_USED),
        list_calls: PollCost::of(read.settings.relays, read.discovery_is_polled),
        settings: read.settings,
        names: Names { classes: read.classes, tenants: read.tenants },
        list_names: ListNames { zones: read.zones, kinds: read.kinds },
        connect_timeout: Duration::from_secs_f64(read.connect_timeout_ms / 1000.0),
        report_columns: read.report_columns,
        known: file.known,
    })
}
