//! The settings that the platform gives to a process, turned into the project's own.

use crate::cell::mechanism::DisabledMechanisms;
use crate::cell::owner::map::CELL_WORKERS;
use crate::clock::Millis;
use crate::id::Name;
use serde::Deserialize;
use std::num::NonZeroUsize;
use thiserror::Error;

/// The variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "SPRUCERUDDER_SETTINGS";
/// The way of giving orders to workers that is served: the owner calls the worker.
const INVOKE_ORDERS: &str = "invoke";
/// The part of the platform's contract by which callers belong to workspaces.
const TENANTS_CONTRACT: &str = "tenants";
/// The form of the platform's store that is served.
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
    /// A share of one processor; with several cores each thread has it at the speed of all.
    #[serde(default = "whole")]
    cpu_share: f64,
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
    call_bytes: usize,
    #[serde(default)]
    parts: u32,
}

#[derive(Debug, Deserialize)]
struct RawBounds {
    hold_max_ms: u64,
    status_s: f64,
    grace_s: f64,
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

/// What one entry needs to know on the platform.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The entry's name.
    pub name: Name,
    /// Its IP address.
    pub ip: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where callers come, `IP:PORT`.
    pub front_addr: Name,
    /// Where the balancer asks whether callers may come.
    pub ready_addr: Name,
    /// Where other entries come.
    pub peer_addr: Name,
    /// Where other entries are told to come: another address if there is a relay in between.
    pub advertised_addr: Name,
    /// Where metrics are served.
    pub metrics_addr: Name,
    /// The platform's store.
    pub store_addr: Name,
    /// The most bytes in one call to the store.
    pub call_bytes: usize,
    /// Partitions of a topic in the store, at least one.
    pub partitions: u32,
    /// The fewest workers of a cell where there are several; not from the file.
    pub min_workers: NonZeroUsize,
    /// The advice service, if there is one.
    pub advice_addr: Option<Name>,
    /// Callers belong to workspaces, and bear their keys.
    pub has_workspaces: bool,
    /// Processors.
    pub cores: usize,
    /// What the entry may use of them, in thousandths of one.
    pub millicores: u32,
    /// The longest lease that a worker takes.
    pub max_lease: Millis,
    /// How long a finished job's state can be asked for.
    pub job_retention: Millis,
    /// The time between a request to stop and being killed.
    pub stop_grace: Millis,
    /// Mechanisms that are switched off; not from the file.
    pub disabled: DisabledMechanisms,
}

/// Why an entry cannot start.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not the settings of a process.
    #[error("the settings cannot be read: {0}")]
    Syntax(#[from] toml::de::Error),
    /// An address that the role needs is missing.
    #[error("the settings name no address for {0}")]
    Missing(&'static str),
    /// Workers or store are spoken to in a way that is not built.
    #[error("{0} = {1:?} is not served: only {2:?} is")]
    Unsupported(&'static str, Name, &'static str),
}

impl Settings {
    /// Reads settings; unknown fields are passed over.
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
        let seconds = |s: f64| Millis((s.max(0.0) * 1_000.0) as u64);
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
            call_bytes: raw.platform.call_bytes,
            partitions: raw.platform.parts.max(1),
            min_workers: CELL_WORKERS,
            advice_addr: raw.advice.filter(|addr| !addr.is_empty()),
            has_workspaces: raw.contracts.iter().any(|part| **part == *TENANTS_CONTRACT),
            cores: raw.limits.cores.max(1),
            millicores: (raw.limits.cpu_share.max(0.0) * raw.limits.cores.max(1) as f64 * 1_000.0)
                as u32,
            max_lease: Millis(raw.bounds.hold_max_ms),
            job_retention: seconds(raw.bounds.status_s),
            stop_grace: seconds(raw.bounds.grace_s),
        })
    }
}
