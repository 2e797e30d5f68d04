//! The time that accepted jobs have nothing running although workers that the advice service clears
//! for their next step have room, seen from the workers' run log and the service's own decisions.

use crate::load::{Job, Step};
use sprucerudder::standin::site::worker::{RunEvent, RunRecord};
use sprucerudder::standin::site::{Site, WORKER_CPU};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// The longest time that a job may have nothing running, by the platform's contract.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// The contract counts a wait only from this long after the last disturbance.
pub const CALM_TIME: Duration = Duration::from_secs(4);
/// The number of its tasks that must have room before a step's wait counts.
const MIN_ROOM: u64 = 2;

/// A step that waited for longer than the contract allows.
#[derive(Debug)]
pub struct Violation {
    pub step: String,
    /// When its job last had something running, or was accepted.
    pub idle_since: Instant,
    pub seen_at: Instant,
    /// Number of calls to the advice service about the step by then.
    pub calls: usize,
}

/// Follows what runs, and how long jobs wait.
#[derive(Debug, Default)]
pub struct WaitMonitor {
    position: usize,
    /// Worker of each running task.
    running: HashMap<String, String>,
    /// Tasks that have ended as done.
    done: BTreeSet<String>,
    used_cpu: HashMap<String, u64>,
    /// When each job last had a task running.
    last_run: HashMap<String, Instant>,
    /// When a waiting job last had no room.
    last_full: HashMap<String, Instant>,
    /// The longest wait that counts.
    pub longest: Duration,
    /// The longest wait in total at a time in the calm period.
    pub longest_total: Duration,
    pub violations: Vec<Violation>,
}

fn parse_task(task: &str) -> Option<(&str, usize)> {
    let mut parts = task.split('.');
    let (key, _) = (parts.next()?, parts.next()?);
    Some((key, parts.next()?.parse().ok()?))
}

impl WaitMonitor {
    /// Processes what happened since the last call. Waits are measured from `calm_since` on; `None`
    /// if it is not calm yet.
    pub fn look(&mut self, site: &Site, jobs: &[Job], calm_since: Option<Instant>) {
        let now = Instant::now();
        let records = site.run_log.since(self.position);
        self.position += records.len();
        let steps: HashMap<&str, &Job> = jobs.iter().map(|job| (job.key.as_str(), job)).collect();
        for record in &records {
            self.apply(record, &steps);
        }
        let Some(calm_since) = calm_since else { return };
        let used: u64 = self.used_cpu.values().sum();
        let is_busy = used * 2 >= WORKER_CPU * site.workers.len() as u64;
        for job in jobs {
            self.check(site, job, now, calm_since, is_busy);
        }
    }

    fn apply(&mut self, record: &RunRecord, jobs: &HashMap<&str, &Job>) {
        let Some((key, step)) = parse_task(&record.task) else { return };
        let cpu = jobs.get(key).and_then(|job| job.steps.get(step)).map_or(0, |step| step.cpu);
        match &record.event {
            RunEvent::Start(_) => {
                *self.used_cpu.entry(record.worker.clone()).or_default() += cpu;
                self.running.insert(record.task.clone(), record.worker.clone());
            }
            RunEvent::End(outcome) => {
                let used = self.used_cpu.entry(record.worker.clone()).or_default();
                *used = used.saturating_sub(cpu);
                self.running.remove(&record.task);
                self.last_run.insert(key.to_string(), record.at);
                if *outcome == "done" {
                    self.done.insert(record.task.clone());
                }
            }
            RunEvent::Resized(_) | RunEvent::Confirm { .. } => {}
        }
    }

    /// The first step of a job that is not done, with its index.
    fn next_step<'a>(&self, job: &'a Job) -> Option<(usize, &'a Step)> {
        let is_done = |index: usize, step: &Step| {
            (0..step.count).all(|task| self.done.contains(&format!("{}.0.{index}.{task}", job.key)))
        };
        job.steps.iter().enumerate().find(|(index, step)| !is_done(*index, step))
    }

    /// Whether workers that the advice service clears for a step have room for two of its tasks.
    fn has_room(&self, site: &Site, key: &str, cpu: u64) -> bool {
        let ids = (0..site.workers.len()).map(|index| format!("i-{index}"));
        let cleared = ids.filter(|id| site.advice.clears(key, id));
        let free = cleared.map(|id| {
            WORKER_CPU.saturating_sub(self.used_cpu.get(&id).copied().unwrap_or_default())
        });
        free.map(|free| free / cpu).sum::<u64>() >= MIN_ROOM
    }

    fn check(&mut self, site: &Site, job: &Job, now: Instant, calm_since: Instant, is_busy: bool) {
        let Some(accepted_at) = job.accepted_at else { return };
        let Some((index, step)) = self.next_step(job) else { return };
        let prefix = format!("{}.", job.key);
        if self.running.keys().any(|task| task.starts_with(&prefix)) {
            return;
        }
        let key = format!("{}.0.{index}", job.key);
        if is_busy || !self.has_room(site, &key, step.cpu) {
            self.last_full.insert(key, now);
            return;
        }
        let idle_since = self.last_run.get(&job.key).map_or(accepted_at, |at| accepted_at.max(*at));
        let since = idle_since.max(calm_since);
        let since = self.last_full.get(&key).map_or(since, |at| since.max(*at));
        let wait = now.saturating_duration_since(since);
        self.longest = self.longest.max(wait);
        self.longest_total = self.longest_total.max(now - idle_since);
        if wait > MAX_WAIT && self.violations.iter().all(|known| known.step != key) {
            let calls = site.advice.count_calls(&key);
            self.violations.push(Violation { step: key, idle_since, seen_at: now, calls });
        }
    }
}
