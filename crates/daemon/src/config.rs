//! The configuration of the relay: reads and checks the environment and config.json.

use crate::bounds::Bounds;
use linenhall::Settings;
use mulleinslip_engine::Names;
use mulleinslip_http::{List, ListNames, PollCost};
use mulleinslip_settings::{FileSettings, ParsedSettings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The configuration, checked.
pub struct Config {
    /// Path of the configuration file, which is read again at SIGHUP.
    pub file: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The second address, for on-call staff, if it is configured.
    pub control: Option<SocketAddr>,
    pub state: PathBuf,
    pub seed: u64,
    pub disk_bytes: u64,
    pub known: List,
    /// What follows from the limits.
    pub bounds: Bounds,
    /// Cost of a call for the list.
    pub poll_cost: PollCost,
    pub settings: Settings,
    pub names: Names,
    pub list_names: ListNames,
    pub connect_timeout: Duration,
    /// Columns of a load report, in the order in which the decision module reads them.
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
    /// Bounds the connections, their input, lists and active destinations. If absent, the descriptors alone bound
    /// the connections, and the minimums of the others apply.
    #[serde(default)]
    memory_mb: f64,
}

fn parse_address(what: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{what} is not a valid address (IP:port): {text}"))
}

/// Returns an address from the environment, or else from the configuration file. It is an error if neither
/// has it.
fn required_address(what: &str, env: &str, file: Option<&String>) -> Result<SocketAddr, String> {
    let address = optional_address(what, env, file)?;
    address.ok_or_else(|| format!("{what} is missing: set {env}, or {what} in the configuration"))
}

/// Returns an address from the environment, or else from the configuration file, if either has it.
fn optional_address(what: &str, env: &str, file: Option<&String>) -> Result<Option<SocketAddr>, String> {
    let text = std::env::var(env).ok().or_else(|| file.cloned()).filter(|text| !text.is_empty());
    text.map(|text| parse_address(what, &text)).transpose()
}

/// Removes fields that are null. Nulls in lists stay, as positions have a meaning there.
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

/// Reads and checks the configuration file.
fn load(path: &Path) -> Result<(File, ParsedSettings), String> {
    let with_path = |e: &dyn std::fmt::Display| format!("configuration {}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| with_path(&e))?;
    // A field that is null counts as absent. The error is that of the original text, so that its line number
    // is right.
    let file = serde_json::from_str(&text).or_else(|e| {
        let without_null_fields = serde_json::from_str(&text).map(without_nulls).ok();
        without_null_fields.and_then(|value| serde_json::from_value::<File>(value).ok()).ok_or(e)
    });
    let file: File = file.map_err(|e| with_path(&e))?;
    if !(file.limits.disk_mb > 0.0 && file.limits.disk_mb < 1e6) {
        return Err(format!(
            "limits.disk_mb must be above 0 and below 1000000, but is {}",
            file.limits.disk_mb
        ));
    }
    let parsed = file.settings.parse()?;
    Ok((file, parsed))
}

/// Returns the address of discovery from the current configuration file. The environment is ignored, as it
/// can't change while the process runs. The whole file has to be valid.
pub fn reload_discovery(path: &Path) -> Result<SocketAddr, String> {
    let (file, _) = load(path)?;
    parse_address("discovery", &file.discovery.ok_or("discovery is missing in the configuration")?)
}

/// Checks a configuration file without serving. Returns a summary in one line.
pub fn check(path: &Path) -> Result<String, String> {
    let (file, ParsedSettings { settings, .. }) = load(path)?;
    for (what, text) in [("listen", &file.listen), ("discovery", &file.discovery), ("control", &file.control)]
    {
        text.as_ref().map(|text| parse_address(what, text)).transpose()?;
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

/// Reads the environment and the configuration file that it names. The error is one line for the log.
pub fn read() -> Result<Config, String> {
    let path: PathBuf = std::env::var_os("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?.into();
    let (file, parsed) = load(&path)?;
    let told_memory_mb = Some(file.limits.memory_mb).filter(|mb| *mb > 0.0);
    let memory_bytes = told_memory_mb.map(|mb| (mb.min(1e6) * 1e6) as usize);
    let state = std::env::var_os("ROUTER_STATE").ok_or("ROUTER_STATE is not set")?;
    Ok(Config {
        file: path,
        name: std::env::var("ROUTER_NAME").unwrap_or(file.name),
        listen: required_address("listen", "ROUTER_LISTEN", file.listen.as_ref())?,
        discovery: required_address("discovery", "ROUTER_DISCOVERY", file.discovery.as_ref())?,
        control: optional_address("control", "ROUTER_CONTROL", file.control.as_ref())?,
        state: state.into(),
        seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| fastrand::u64(..)),
        bounds: Bounds::new(file.limits.sockets, memory_bytes),
        disk_bytes: (file.limits.disk_mb * 1e6) as u64,
        poll_cost: PollCost::of(parsed.settings.relays, parsed.discovery_is_polled),
        settings: parsed.settings,
        names: Names { classes: parsed.classes, tenants: parsed.tenants },
        list_names: ListNames { zones: parsed.zones, kinds: parsed.kinds },
        connect_timeout: Duration::from_secs_f64(parsed.connect_timeout_ms / 1000.0),
        report_columns: parsed.report_columns,
        known: file.known,
    })
}
