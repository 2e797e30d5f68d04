//! The operators' configuration, as the platform keeps it, turned into the policy in force.

use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{AdviceConfig, Queue, Resources};
use crate::workspace::{Workspace, Workspaces};
use serde::Deserialize;
use std::collections::HashMap;
use std::sync::Arc;

/// The key of the configuration among the operators' records.
pub const KEY: &str = "config";
/// The topic that holds the operators' records.
pub const TOPIC: &str = "keyed.op";

#[derive(Debug, Deserialize)]
struct RawAdvice {
    decide_ms: f64,
    /// Not a period: the time added for each worker that a question names.
    period_ms: f64,
    valid_ms: f64,
}

#[derive(Debug, Deserialize)]
struct RawRoute {
    name: Name,
    #[serde(default)]
    host: String,
    #[serde(default)]
    path_prefix: String,
    #[serde(default)]
    timeout_ms: u64,
    /// The fixed part of a job's objective, not a bound on one answer.
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u32,
    service: Name,
    #[serde(default)]
    max_attempts: u32,
    /// A factor on the longest chain of a job.
    #[serde(default)]
    extension: f64,
    #[serde(default)]
    advice: Option<RawAdvice>,
    /// Callers need no key.
    #[serde(default)]
    anonymous: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawResourceLimit {
    cpu: u64,
    mem_mb: u64,
    gpu: u64,
}

#[derive(Debug, Deserialize)]
struct RawTenant {
    name: Name,
    #[serde(default)]
    api_keys: Vec<Name>,
    #[serde(default)]
    weight: u32,
    /// 0 is no bound.
    #[serde(default)]
    upper_bound: RawResourceLimit,
}

#[derive(Debug, Deserialize)]
struct RawService {
    name: Name,
    /// The workers refuse what does not fit.
    #[serde(default)]
    admission_check: bool,
}

#[derive(Debug, Deserialize, Default)]
struct RawLimits {
    #[serde(default)]
    max_header_bytes: usize,
    #[serde(default)]
    max_body_bytes: usize,
    #[serde(default)]
    header_timeout_ms: u64,
    #[serde(default)]
    idle_timeout_ms: u64,
}

#[derive(Debug, Deserialize)]
struct RawConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<RawRoute>,
    #[serde(default)]
    services: Vec<RawService>,
    #[serde(default)]
    limits: RawLimits,
    tenants: Option<Vec<RawTenant>>,
}

/// Where callers reach a queue.
#[derive(Debug)]
pub struct Route {
    /// The host that callers name.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// The most time that one exchange may take.
    pub timeout: Millis,
    /// The queue.
    pub queue: Arc<Queue>,
    /// Anybody may call; else a caller bears the key of a workspace.
    pub is_anonymous: bool,
}

/// Bounds on callers' exchanges.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The largest head, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest time to send a head.
    pub header_timeout: Millis,
    /// The longest time that a connection stays open without an exchange.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// The platform's own first configuration has these.
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// One version of the policy.
#[derive(Debug, Default)]
pub struct Policy {
    /// Rises with every change.
    pub version: u64,
    /// The queues by name.
    pub queues: HashMap<Name, Arc<Queue>>,
    /// The routes by host, the longest prefix first.
    routes: HashMap<String, Vec<Route>>,
    /// The services that there are; workers of others are not used.
    pub services: Vec<Name>,
    /// Those of them whose workers refuse what does not fit.
    pub admission_checked: Vec<Name>,
    /// Bounds on callers' exchanges.
    pub limits: Limits,
    /// The workspaces.
    pub workspaces: Workspaces,
    /// Callers bear keys: the policy tells of workspaces, though it may be of none.
    pub requires_keys: bool,
}

impl Policy {
    /// Reads a configuration; unknown fields are passed over.
    ///
    /// # Errors
    /// The text is not a configuration.
    pub fn parse(text: &[u8]) -> Result<Self, serde_json::Error> {
        let raw: RawConfig = serde_json::from_slice(text)?;
        let mut policy = Self { version: raw.version, ..Self::default() };
        for route in raw.routes {
            policy.add_route(route);
        }
        for routes in policy.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        policy.services = raw.services.iter().map(|service| service.name.clone()).collect();
        let admission_checked = raw.services.into_iter().filter(|service| service.admission_check);
        policy.admission_checked = admission_checked.map(|service| service.name).collect();
        policy.limits = parse_limits(&raw.limits);
        if let Some(tenants) = raw.tenants {
            (policy.workspaces, policy.requires_keys) = (parse_workspaces(tenants), true);
        }
        Ok(policy)
    }

    fn add_route(&mut self, raw: RawRoute) {
        let advice = raw.advice.map(|advice| AdviceConfig {
            base_latency: Millis(advice.decide_ms.max(0.0) as u64),
            worker_micros: (advice.period_ms.max(0.0) * 1_000.0) as u64,
            ticket_validity: Millis(advice.valid_ms.max(0.0) as u64),
        });
        let queue = Arc::new(Queue {
            name: raw.name.clone(),
            service: raw.service,
            priority: raw.priority,
            max_attempts: raw.max_attempts.max(1),
            stretch: (raw.extension.max(1.0) * 1_000.0) as u64,
            target: Millis(raw.target_latency_ms.max(0.0) as u64),
            advice,
        });
        let (timeout, is_anonymous) = (Millis(raw.timeout_ms), raw.anonymous);
        let route = Route {
            host: raw.host,
            prefix: raw.path_prefix,
            timeout,
            queue: queue.clone(),
            is_anonymous,
        };
        self.queues.insert(raw.name, queue);
        self.routes.entry(route.host.to_ascii_lowercase()).or_default().push(route);
    }

    /// The route of a caller's host and path: the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.routes.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

fn parse_workspaces(raw: Vec<RawTenant>) -> Workspaces {
    let or = |bound: u64, none: u64| if bound == 0 { none } else { bound };
    let none = Resources::UNLIMITED;
    let mut all = Workspaces::default();
    for RawTenant { name, api_keys, weight, upper_bound: RawResourceLimit { cpu, mem_mb, gpu } } in
        raw
    {
        let limit =
            Resources { cpu: or(cpu, none.cpu), mem: or(mem_mb, none.mem), gpu: or(gpu, none.gpu) };
        all.add(Workspace { name, weight, limit }, api_keys);
    }
    all
}

fn parse_limits(raw: &RawLimits) -> Limits {
    let defaults = Limits::default();
    let or = |given: u64, usual: Millis| if given == 0 { usual } else { Millis(given) };
    Limits {
        header_bytes: if raw.max_header_bytes == 0 {
            defaults.header_bytes
        } else {
            raw.max_header_bytes
        },
        body_bytes: if raw.max_body_bytes == 0 { defaults.body_bytes } else { raw.max_body_bytes },
        header_timeout: or(raw.header_timeout_ms, defaults.header_timeout),
        idle_timeout: or(raw.idle_timeout_ms, defaults.idle_timeout),
    }
}
