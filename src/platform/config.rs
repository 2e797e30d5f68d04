//! Decodes the operators' configuration, which the platform's store holds, into a policy.

use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{AdviceConfig, Queue, Resources};
use crate::workspace::{Workspace, Workspaces};
use serde::Deserialize;
use std::collections::HashMap;
use std::sync::Arc;

/// The key of the configuration in the topic of operators' records.
pub const KEY: &str = "config";
/// The topic that holds the operators' records.
pub const TOPIC: &str = "keyed.op";
/// The start of the keys of the records that drain a failure domain, whose name follows.
const DRAIN_PREFIX: &str = "evacuate/";

/// The failure domain that is drained for as long as there is a record with this key, if it is such a key.
pub fn drained_domain(key: &str) -> Option<Name> {
    key.strip_prefix(DRAIN_PREFIX).filter(|domain| !domain.is_empty()).map(Name::from)
}

#[derive(Debug, Deserialize)]
struct RawAdvice {
    decide_ms: f64,
    /// Despite its name not a period: the time that each worker in a request adds to the response time.
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
    /// Despite its name not a limit on a request's latency: the fixed part of a job's objective.
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u32,
    service: Name,
    #[serde(default)]
    max_attempts: u32,
    /// The factor on the length of a job's longest chain of steps in its objective.
    #[serde(default)]
    extension: f64,
    #[serde(default)]
    advice: Option<RawAdvice>,
    /// Whether callers need no API key.
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
    /// A limit of 0 means unlimited.
    #[serde(default)]
    upper_bound: RawResourceLimit,
}

#[derive(Debug, Deserialize)]
struct RawService {
    name: Name,
    /// Whether the workers refuse tasks that don't fit.
    #[serde(default)]
    admission_check: bool,
    /// The number of connections that a worker accepts; 0 means any number.
    #[serde(default)]
    max_conns: u32,
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

/// The route from a host and a path prefix to a queue.
#[derive(Debug)]
pub struct Route {
    /// The host in callers' requests.
    pub host: String,
    /// The prefix of the path.
    pub prefix: String,
    /// The time limit for a request.
    pub timeout: Millis,
    /// The queue.
    pub queue: Arc<Queue>,
    /// Whether anybody may send requests. Otherwise they need the API key of a workspace.
    pub is_anonymous: bool,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The maximum size of a request's header, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The time limit for sending a request's header.
    pub header_timeout: Millis,
    /// How long a connection stays open without a request.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// The values of the platform's initial configuration.
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 262_144,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// One version of the policy: queues, routes, services, limits and workspaces.
#[derive(Debug, Default)]
pub struct Policy {
    /// The version; every change increases it.
    pub version: u64,
    /// The queues, by name.
    pub queues: HashMap<Name, Arc<Queue>>,
    /// The routes, by host in lower case, the longest prefix first.
    routes: HashMap<String, Vec<Route>>,
    /// The known services. Workers of other services aren't used.
    pub services: Vec<Name>,
    /// The services whose workers refuse tasks that don't fit.
    pub admission_checked: Vec<Name>,
    /// The number of connections that a worker accepts, by service. Workers of other services accept any number.
    pub worker_connections: HashMap<Name, u32>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// The workspaces.
    pub workspaces: Workspaces,
    /// Whether callers need API keys: the configuration has a list of workspaces, which may be empty.
    pub requires_keys: bool,
}

impl Policy {
    /// Decodes a configuration from JSON; unknown fields are ignored.
    ///
    /// # Errors
    /// If the text isn't JSON, or a field is missing or has the wrong type.
    pub fn parse(text: &[u8]) -> Result<Self, serde_json::Error> {
        let raw: RawConfig = serde_json::from_slice(text)?;
        let mut policy = Self { version: raw.version, ..Self::default() };
        for route in raw.routes {
            policy.add_route(route);
        }
        for routes in policy.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let limited = raw.services.iter().filter(|service| service.max_conns > 0);
        policy.worker_connections =
            limited.map(|service| (service.name.clone(), service.max_conns)).collect();
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

    /// Finds the route for a request's host and path. The longest matching prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.routes.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

fn parse_workspaces(raw: Vec<RawTenant>) -> Workspaces {
    let or_unlimited = |limit: u64, unlimited: u64| if limit == 0 { unlimited } else { limit };
    let unlimited = Resources::UNLIMITED;
    let mut result = Workspaces::default();
    for RawTenant { name, api_keys, weight, upper_bound: RawResourceLimit { cpu, mem_mb, gpu } } in
        raw
    {
        let limit = Resources {
            cpu: or_unlimited(cpu, unlimited.cpu),
            mem: or_unlimited(mem_mb, unlimited.mem),
            gpu: or_unlimited(gpu, unlimited.gpu),
        };
        result.add(Workspace { name, weight, limit }, api_keys);
    }
    result
}

fn parse_limits(raw: &RawLimits) -> Limits {
    let defaults = Limits::default();
    let or_default =
        |millis: u64, default: Millis| if millis == 0 { default } else { Millis(millis) };
    Limits {
        header_bytes: if raw.max_header_bytes == 0 {
            defaults.header_bytes
        } else {
            raw.max_header_bytes
        },
        body_bytes: if raw.max_body_bytes == 0 { defaults.body_bytes } else { raw.max_body_bytes },
        header_timeout: or_default(raw.header_timeout_ms, defaults.header_timeout),
        idle_timeout: or_default(raw.idle_timeout_ms, defaults.idle_timeout),
    }
}
