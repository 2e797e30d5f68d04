//! The report of the demo: waits of requests and tasks, use of the workers, and the cost of the
//! control plane.

use crate::clock::Millis;
use crate::demo::cell::Cell;
use crate::id::{JobId, Name};
use crate::trace::{Event, EventKind};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

/// Clock ticks per second in the kernel's accounting of CPU time.
const TICKS_PER_SECOND: u64 = 100;

/// The resources that the control plane has used up to a time.
pub struct ControlCost {
    at: Millis,
    appends: u64,
    log_bytes: u64,
    messages: u64,
    peer_bytes: u64,
    cpu: Millis,
    nodes: u64,
    /// CPU capacity of all workers, in thousandths of a core.
    total_cpu: u64,
}

impl ControlCost {
    /// Reads the cost up to now.
    pub fn now(cell: &Cell) -> Self {
        let usage = cell.platform.usage();
        let traffic = cell.entries.iter().map(|(entry, _)| &entry.quic.traffic);
        let sum = traffic.fold((0, 0), |(asks, bytes), at| {
            (asks + at.requests.load(Ordering::Relaxed), bytes + at.bytes.load(Ordering::Relaxed))
        });
        Self {
            at: Millis::now(),
            appends: usage.appends,
            log_bytes: usage.bytes,
            messages: sum.0,
            peer_bytes: sum.1 / 2,
            cpu: cpu_time(),
            nodes: 16,
            total_cpu: cell.total_cpu,
        }
    }
}

/// CPU time of this process, from the kernel's accounting; zero where that is not available.
fn cpu_time() -> Millis {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    Millis((ticks(11) + ticks(12)) * 1000 / TICKS_PER_SECOND)
}

/// Waits of one kind of work, in milliseconds, sorted before `quantile` is called.
#[derive(Default)]
struct Waits(Vec<u64>);

impl Waits {
    fn quantile(&self, thousandth: usize) -> u64 {
        let last = self.0.len().saturating_sub(1);
        self.0.get((self.0.len() * thousandth / 1000).min(last)).copied().unwrap_or(0)
    }

    fn format_row(&self, kind: &str) -> String {
        let [p50, p99, p999] = [500, 990, 999].map(|at| self.quantile(at));
        format!("{kind:<12} {:>6} {p50:>7} {p99:>7} {p999:>7}", self.0.len())
    }
}

/// Prints the report.
pub fn print(events: &[Event], before: &ControlCost, after: &ControlCost) {
    print_requests(events);
    print_tasks(events);
    print_packing(events, before, after);
    print_cost(before, after);
}

fn print_requests(events: &[Event]) {
    let mut kinds: BTreeMap<Name, Name> = BTreeMap::new();
    let mut waits: BTreeMap<Name, Waits> = BTreeMap::new();
    let mut refused: BTreeMap<(Name, u16), u32> = BTreeMap::new();
    for event in events {
        match &event.kind {
            EventKind::RequestReceived { request, kind, .. } => {
                kinds.insert(request.clone(), kind.clone());
            }
            EventKind::RequestAnswered { request, status, waited, .. } => {
                let Some(kind) = kinds.get(request) else { continue };
                match status {
                    200 => waits.entry(kind.clone()).or_default().0.push(waited.0),
                    _ => *refused.entry((kind.clone(), *status)).or_insert(0) += 1,
                }
            }
            _ => {}
        }
    }
    println!("\nrequests: time to the complete answer, ms");
    print_waits(waits);
    for ((kind, status), count) in refused {
        println!("{kind:<12} status {status}: {count}");
    }
}

fn print_waits(waits: BTreeMap<Name, Waits>) {
    println!("{:<12} {:>6} {:>7} {:>7} {:>7}", "kind", "count", "median", "99%", "99.9%");
    for (kind, mut waits) in waits {
        waits.0.sort_unstable();
        println!("{}", waits.format_row(&kind));
    }
}

fn print_tasks(events: &[Event]) {
    let mut kinds: BTreeMap<JobId, Name> = BTreeMap::new();
    let mut waits: BTreeMap<Name, Waits> = BTreeMap::new();
    for event in events {
        match &event.kind {
            EventKind::JobSubmitted { job, kind, .. } => {
                drop(kinds.insert(job.clone(), kind.clone()))
            }
            EventKind::TaskBound { task, waited, .. } => {
                let kind = kinds.get(&task.job).cloned().unwrap_or_else(|| "?".into());
                waits.entry(kind).or_default().0.push(waited.0);
            }
            _ => {}
        }
    }
    println!("\ntasks: time to the assignment of a worker, ms");
    print_waits(waits);
}

/// Prints the mean and peak share of the workers' CPU that was allocated to tasks.
fn print_packing(events: &[Event], before: &ControlCost, after: &ControlCost) {
    let mut running = BTreeMap::new();
    let (mut used_cpu, mut cpu_ms, mut last, mut peak) = (0_u64, 0_u64, before.at, 0_u64);
    for event in events {
        let now = event.at.millis().max(last).min(after.at);
        cpu_ms += used_cpu * now.since(last).0;
        last = now;
        match &event.kind {
            EventKind::WorkerStartedTask { task, size, .. } => {
                used_cpu += size.cpu as u64;
                running.insert(task.clone(), size.cpu as u64);
            }
            EventKind::WorkerEndedTask { task, .. } => {
                used_cpu -= running.remove(task).unwrap_or(0)
            }
            _ => {}
        }
        peak = peak.max(used_cpu);
    }
    let period_ms = after.at.since(before.at).0.max(1);
    let share = |cpu: u64| cpu as f64 / after.total_cpu.max(1) as f64;
    let mean = share(cpu_ms) / period_ms as f64;
    println!("\npacking: share of CPU allocated to tasks, mean {mean:.3}, peak {:.3}", share(peak));
}

fn print_cost(before: &ControlCost, after: &ControlCost) {
    let seconds = after.at.since(before.at).0 as f64 / 1000.0;
    let rate = |a: u64, b: u64| (b - a) as f64 / seconds.max(0.001);
    println!("\ncontrol plane, over {seconds:.1} s and {} nodes", after.nodes);
    println!(
        "log: {:.1} appends/s, {:.0} bytes/s",
        rate(before.appends, after.appends),
        rate(before.log_bytes, after.log_bytes)
    );
    println!(
        "between entries: {:.1} messages/s, {:.0} bytes/s, {:.0} bytes/s a node",
        rate(before.messages, after.messages),
        rate(before.peer_bytes, after.peer_bytes),
        rate(before.peer_bytes, after.peer_bytes) / after.nodes as f64
    );
    let cpu = rate(before.cpu.0, after.cpu.0) / 10.0;
    println!("CPU: {cpu:.1}% of a core, including simulators and callers");
}
