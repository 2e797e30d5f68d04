//! Decodes the settings file that the platform provides for an entry.

use crate::cell::mechanism::DisabledMechanisms;
use crate::cell::owner::cell_map::MIN_CELL_WORKERS;
use crate::cell::records::parts::SizeLimits;
use crate::clients::limits::ClientLimits;
use crate::clock::Millis;
use crate::id::Name;
use serde::Deserialize;
use std::num::NonZeroUsize;
use thiserror::Error;

/// The environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "SPRUCERUDDER_SETTINGS";
/// The only supported value of `orders`: the owner calls the workers.
const INVOKE_ORDERS: &str = "invoke";
/// The entry of `contracts` by which callers belong to workspaces.
const TENANTS_CONTRACT: &str = "tenants";
/// The only supported value of `platform.form`.
const LOG_STORE: &str = "log";

#[derive(Debug, Deserialize)]
struct RawListen {
    front: Option<Name>,
    ready: Option<Name>,
}

#[derive(Debug, Deserialize)]
struct RawLimits {
    #[serde(default = "one")]
    cores: usize,
    /// The share of a core that each thread may use; an entry has one thread per core.
    #[serde(default = "whole")]
    cpu_share: f64,
    /// The memory that the process may use, in megabytes; 0 if it is not limited.
    #[serde(default)]
    memory_mb: u64,
    /// The descriptors that the process may have open; 0 if they are not limited.
    #[serde(default)]
    max_fds: usize,
}

fn one() -> usize {
    1
}

fn whole() -> f64 {
    1.0
}

#[derive(Debug, Deserialize)]
struct RawPlatform {
    address: Name,
    #[serde(default)]
    form: Name,
    #[serde(default)]
    record_bytes: usize,
    #[serde(default)]
    call_bytes: usize,
    #[serde(default)]
    parts: u32,
}

#[derive(Debug, Deserialize)]
struct RawBounds {
    hold_max_ms: u64,
    status_s: f64,
    grace_s: f64,
    #[serde(default = "default_config_ms")]
    config_ms: u64,
}

fn default_config_ms() -> u64 {
    2_000
}

#[derive(Debug, Deserialize)]
struct RawSettings {
    node: Name,
    ip: Name,
    zone: Name,
    internal_ports: (u16, u16),
    listen: RawListen,
    limits: RawLimits,
    bounds: RawBounds,
    platform: RawPlatform,
    #[serde(default)]
    orders: Name,
    advice: Option<Name>,
    #[serde(default)]
    contracts: Vec<Name>,
}

/// The settings of one entry.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The entry's name.
    pub name: Name,
    /// The entry's IP address.
    pub ip: Name,
    /// The entry's failure domain.
    pub domain: Name,
    /// The address for callers, `IP:PORT`.
    pub front_addr: Name,
    /// The address at which the load balancer checks readiness.
    pub ready_addr: Name,
    /// The address for other entries.
    pub peer_addr: Name,
    /// The address that is advertised to other entries. It differs from `peer_addr` if there is a relay in between.
    pub advertised_addr: Name,
    /// The address at which metrics are served.
    pub metrics_addr: Name,
    /// The address of the platform's store.
    pub store_addr: Name,
    /// The sizes of records and appends that the store accepts.
    pub store_sizes: SizeLimits,
    /// The number of partitions of a topic in the store, at least 1.
    pub partitions: u32,
    /// The minimum number of workers per cell if there are several cells. Not read from the file.
    pub min_workers: NonZeroUsize,
    /// The address of the advice service, if there is one.
    pub advice_addr: Option<Name>,
    /// Whether callers belong to workspaces and must send their API keys.
    pub has_workspaces: bool,
    /// The number of cores.
    pub cores: usize,
    /// The CPU time that the entry may use, in thousandths of a core.
    pub millicores: u32,
    /// The memory that the entry may use, in bytes; `None` if it is not limited.
    pub memory: Option<u64>,
    /// The descriptors that the entry may have open; `None` if they are not limited.
    pub descriptors: Option<usize>,
    /// The longest lease that workers accept.
    pub max_lease: Millis,
    /// How long the state of a finished job can be queried.
    pub job_retention: Millis,
    /// The time within which a change of the policy has to be in force.
    pub policy_bound: Millis,
    /// The time between the request to stop and the forced end of the process.
    pub stop_grace: Millis,
    /// Mechanisms that are disabled. Not read from the file.
    pub disabled: DisabledMechanisms,
}

/// Why the settings are unusable.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text isn't TOML, or a setting is missing or has the wrong type.
    #[error("invalid settings: {0}")]
    Syntax(#[from] toml::de::Error),
    /// A required listen address is missing.
    #[error("the settings have no address for listen.{0}")]
    Missing(&'static str),
    /// A setting has a value that isn't supported: the setting, its value and the supported value.
    #[error("{0} = {1:?} is not supported; the only supported value is {2:?}")]
    Unsupported(&'static str, Name, &'static str),
}

impl Settings {
    /// Decodes settings from TOML; unknown fields are ignored.
    ///
    /// # Errors
    /// See [`SettingsError`].
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let raw: RawSettings = toml::from_str(text)?;
        if !raw.orders.is_empty() && *raw.orders != *INVOKE_ORDERS {
            return Err(SettingsError::Unsupported("orders", raw.orders, INVOKE_ORDERS));
        }
        if !raw.platform.form.is_empty() && *raw.platform.form != *LOG_STORE {
            return Err(SettingsError::Unsupported("platform.form", raw.platform.form, LOG_STORE));
        }
        let seconds = |value: f64| Millis((value.max(0.0) * 1_000.0) as u64);
        let (first, second) = raw.internal_ports;
        Ok(Self {
            disabled: DisabledMechanisms::default(),
            peer_addr: format!("{}:{first}", raw.ip).into(),
            advertised_addr: format!("{}:{first}", raw.ip).into(),
            metrics_addr: format!("{}:{second}", raw.ip).into(),
            front_addr: raw.listen.front.ok_or(SettingsError::Missing("front"))?,
            ready_addr: raw.listen.ready.ok_or(SettingsError::Missing("ready"))?,
            name: raw.node,
            ip: raw.ip,
            domain: raw.zone,
            store_addr: raw.platform.address,
            store_sizes: SizeLimits::new(raw.platform.record_bytes, raw.platform.call_bytes),
            partitions: raw.platform.parts.max(1),
            min_workers: MIN_CELL_WORKERS,
            advice_addr: raw.advice.filter(|addr| !addr.is_empty()),
            has_workspaces: raw.contracts.iter().any(|contract| **contract == *TENANTS_CONTRACT),
            cores: raw.limits.cores.max(1),
            millicores: (raw.limits.cpu_share.max(0.0) * raw.limits.cores.max(1) as f64 * 1_000.0)
                as u32,
            memory: (raw.limits.memory_mb > 0).then_some(raw.limits.memory_mb << 20),
            descriptors: (raw.limits.max_fds > 0).then_some(raw.limits.max_fds),
            max_lease: Millis(raw.bounds.hold_max_ms),
            job_retention: seconds(raw.bounds.status_s),
            policy_bound: Millis(raw.bounds.config_ms),
            stop_grace: seconds(raw.bounds.grace_s),
        })
    }

    /// The limits on what clients may use together.
    pub fn client_limits(&self) -> ClientLimits {
        ClientLimits::new(self.memory, self.descriptors)
    }
}
