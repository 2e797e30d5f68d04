//! A simulated cluster whose workers crash under marked tasks, on a virtual clock: one owner's
//! decisions, a store that accepts every write unless it is unavailable, and workers that come back
//! as another incarnation at the same address.

#![allow(dead_code)]

#[path = "../rows/mod.rs"]
mod rows;

use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::{Action, Cell, CellConfig, JobState};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{
    EndReason, EndedTask, OrderOutcome, Refusal, ReportError, WorkerInfo, WorkerReport,
};
use sprucerudder::workload::{JobDefinition, JobKey, Queue, Resources, Step, TaskKey};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

const LEASE: Millis = Millis(6_000);
/// The step of the virtual clock.
const TICK_MS: u64 = 10;
/// How long after its start a marked task crashes its worker.
const CRASH_DELAY_MS: u64 = 10;
/// What workers' clocks show at time 0.
const CLOCK_BASE_MS: u64 = 1_000_000;
/// The CPU of a worker, in thousandths of a core.
const WORKER_MILLICORES: u64 = 16_000;
/// How long the list entry of a crashed incarnation remains: three heartbeats.
const STALE_ENTRY_MS: u64 = 4_500;
/// How long a worker is down after a crash.
pub const DOWNTIME_MS: u64 = 3_300;

pub fn job(key: u64) -> JobKey {
    JobKey(key)
}

/// A step whose tasks need a quarter of a worker, for a second.
pub fn step(count: u32) -> Step {
    let resources = Resources { cpu: 4_000, mem: 1_000, gpu: 0 };
    Step { count, resources, estimate: Millis(1_000), ..Step::default() }
}

struct Running {
    run: u64,
    ends_at: u64,
}

/// A machine on which one incarnation of a worker follows another.
struct Host {
    incarnation: u64,
    running: BTreeMap<TaskKey, Running>,
    ended: Vec<EndedTask>,
    end_count: u64,
    /// No incarnation runs there before this time.
    down_until: u64,
    /// When its last incarnation crashed.
    crashed_at: Option<u64>,
    /// No message passes between it and an owner before this time.
    partitioned_until: u64,
    /// When its lease expires; all its runs end then.
    lease_until: u64,
    /// Its CPU, in thousandths of a core.
    cpu: u64,
}

/// A cluster with one cell and the owner of the cell.
pub struct Cluster {
    pub now: u64,
    cell: Cell,
    hosts: Vec<Host>,
    store: BTreeMap<String, Vec<u8>>,
    /// The store rejects writes before this time; starts are sent nevertheless.
    store_down: u64,
    /// The store doesn't answer before this time, and starts wait for it.
    store_stalled: u64,
    ignores_stops: bool,
    max_running: usize,
    crash_tasks: BTreeSet<(JobKey, u32)>,
    starts: Vec<(u64, TaskKey, usize)>,
    pub crashes: usize,
    epoch: u64,
    /// The incarnations that the owner asks for reports.
    polled: BTreeSet<Name>,
}

fn queue() -> Arc<Queue> {
    Arc::new(Queue {
        name: "q".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 2_000,
        target: Millis(250),
        advice: None,
    })
}

impl Cluster {
    pub fn new(workers: usize) -> Self {
        let host = |_| Host {
            incarnation: 1,
            running: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            down_until: 0,
            crashed_at: None,
            partitioned_until: 0,
            lease_until: 0,
            cpu: WORKER_MILLICORES,
        };
        let mut cluster = Self {
            now: 1,
            cell: new_owner(1, Snapshot::default(), false, 1),
            hosts: (0..workers).map(host).collect(),
            store: BTreeMap::new(),
            store_down: 0,
            store_stalled: 0,
            ignores_stops: false,
            max_running: 0,
            crash_tasks: BTreeSet::new(),
            starts: Vec::new(),
            crashes: 0,
            epoch: 1,
            polled: BTreeSet::new(),
        };
        cluster.run_for(100);
        cluster
    }

    /// Marks a task of a job: every worker that starts it crashes.
    pub fn mark_crashing(&mut self, job: JobKey, index: u32) {
        self.crash_tasks.insert((job, index));
    }

    pub fn submit(&mut self, job: JobKey, steps: Vec<Step>) {
        self.submit_long(job, steps, 1_000);
    }

    /// Submits a job whose tasks run for `length` milliseconds.
    pub fn submit_long(&mut self, job: JobKey, steps: Vec<Step>, length: u64) {
        self.submit_to("q", job, steps, length);
    }

    /// As [`Self::submit_long`], to a less urgent queue.
    pub fn submit_low(&mut self, job: JobKey, steps: Vec<Step>, length: u64) {
        self.submit_to("low", job, steps, length);
    }

    fn submit_to(&mut self, queue: &str, job: JobKey, steps: Vec<Step>, length: u64) {
        let (first_due, interval) = (Millis(0), Millis(0));
        let work = JobDefinition {
            payload: length.to_string().into(),
            steps,
            repetitions: 1,
            first_due,
            interval,
        };
        assert!(self.cell.submit(Millis(self.now), job, queue, Arc::new(work)).is_some());
    }

    pub fn state(&self, job: JobKey) -> Option<JobState> {
        self.cell.job_state(job)
    }

    /// How many starts of a job's tasks workers carried out.
    pub fn starts_of(&self, job: JobKey) -> usize {
        self.starts.iter().filter(|(_, task, _)| task.step.job == job).count()
    }

    /// The highest number of starts of one task of a job.
    pub fn most_starts(&self, job: JobKey) -> usize {
        let mut counts: BTreeMap<TaskKey, usize> = BTreeMap::new();
        for (_, task, _) in self.starts.iter().filter(|(_, task, _)| task.step.job == job) {
            *counts.entry(*task).or_default() += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }

    /// Crashes a worker.
    pub fn crash(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.running.clear();
        host.ended.clear();
        host.end_count = 0;
        host.down_until = self.now + DOWNTIME_MS;
        host.crashed_at = Some(self.now);
        self.crashes += 1;
    }

    /// Partitions a worker from all owners for `length` milliseconds.
    pub fn partition(&mut self, index: usize, length: u64) {
        self.hosts[index].partitioned_until = self.now + length;
    }

    /// The workers on which tasks of a job run.
    pub fn workers_of(&self, job: JobKey) -> Vec<usize> {
        let runs = |host: &Host| host.running.keys().any(|task| task.step.job == job);
        (0..self.hosts.len()).filter(|index| runs(&self.hosts[*index])).collect()
    }

    /// Makes the store reject writes for `length` milliseconds. The owner continues, as if the
    /// other entries told it that they cannot read the log either.
    pub fn start_outage(&mut self, length: u64) {
        self.store_down = self.now + length;
    }

    /// Makes the store answer nothing for `length` milliseconds; starts wait for it.
    pub fn stall_store(&mut self, length: u64) {
        self.store_stalled = self.now + length;
    }

    /// Changes the CPU that a worker lists, in thousandths of a core.
    pub fn resize(&mut self, index: usize, cpu: u64) {
        self.hosts[index].cpu = cpu;
    }

    /// The number of running tasks of a job.
    pub fn running_of(&self, job: JobKey) -> usize {
        let tasks = self.hosts.iter().flat_map(|host| host.running.keys());
        tasks.filter(|task| task.step.job == job).count()
    }

    /// The number of running tasks on all workers.
    pub fn running(&self) -> usize {
        self.hosts.iter().map(|host| host.running.len()).sum()
    }

    /// The highest number of tasks that ran at once since a worker's capacity was first reduced.
    pub fn max_running(&self) -> usize {
        self.max_running
    }

    /// As [`Self::take_over`], but workers don't carry out stops from then on.
    pub fn take_over_ignoring_stops(&mut self) {
        self.ignores_stops = true;
        self.take_over();
    }

    /// Pauses the owner for `length` milliseconds; it receives nothing meanwhile.
    pub fn pause(&mut self, length: u64) {
        let until = self.now + length;
        while self.now < until {
            self.now += TICK_MS;
            self.advance_workers();
        }
        self.cell.resume_after_pause(Millis(self.now));
    }

    /// Another entry takes over the cell, with what the store holds.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        let mut snapshot = Snapshot::default();
        for (key, value) in &self.store {
            snapshot.apply(key, value).expect("a valid record");
        }
        self.cell = new_owner(self.epoch, snapshot, true, self.now);
        self.polled.clear();
        self.publish_list();
    }

    /// Drops the records whose keys an older version doesn't write.
    pub fn retain_records(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.store.retain(|key, _| is_kept(key));
    }

    /// Runs the simulation for `length` milliseconds.
    pub fn run_for(&mut self, length: u64) {
        let until = self.now + length;
        while self.now < until {
            self.now += TICK_MS;
            self.advance_workers();
            self.publish_list();
            self.cell.tick(Millis(self.now), Millis(self.now));
            self.poll_reports();
            self.cell.schedule(Millis(self.now));
            self.write_batches();
            self.execute_actions();
        }
    }

    fn advance_workers(&mut self) {
        for index in 0..self.hosts.len() {
            let now = self.now;
            let host = &mut self.hosts[index];
            if host.down_until > 0 && host.down_until <= now {
                host.down_until = 0;
                host.incarnation += 1;
            }
            let over: Vec<TaskKey> = host
                .running
                .iter()
                .filter(|(_, running)| running.ends_at <= now)
                .map(|(task, _)| *task)
                .collect();
            if over.iter().any(|task| self.crash_tasks.contains(&(task.step.job, task.index))) {
                self.crash(index);
                continue;
            }
            let host = &mut self.hosts[index];
            if host.lease_until <= now {
                host.running.clear();
            }
            for task in over {
                let Some(running) = host.running.remove(&task) else { continue };
                host.end_count += 1;
                let (seq, run) = (host.end_count, running.run);
                host.ended.push(EndedTask {
                    seq,
                    task,
                    run,
                    reason: EndReason::Done,
                    checkpoint: "".into(),
                });
            }
        }
    }

    /// The ids of a host's incarnations that are listed; one that has crashed remains listed for a
    /// while.
    fn listed_ids(&self, index: usize) -> Vec<Name> {
        let host = &self.hosts[index];
        let id = |incarnation: u64| Name::from(format!("w{index}.{incarnation}"));
        let is_stale = host.crashed_at.is_some_and(|at| self.now - at < STALE_ENTRY_MS);
        match host.down_until > self.now {
            true if is_stale => vec![id(host.incarnation)],
            true => Vec::new(),
            false if is_stale => vec![id(host.incarnation - 1), id(host.incarnation)],
            false => vec![id(host.incarnation)],
        }
    }

    fn publish_list(&mut self) {
        let incarnations = (0..self.hosts.len()).flat_map(|index| {
            let ids = self.listed_ids(index).into_iter();
            ids.map(move |id| (index, id))
        });
        let listed = incarnations.map(|(index, id)| WorkerInfo {
            id,
            started_at: None,
            service: "s".into(),
            addr: format!("a{index}").into(),
            domain: format!("d{}", index % 3).into(),
            capacity: Resources { cpu: self.hosts[index].cpu, mem: 32_000, gpu: 0 },
            labels: vec!["a".into(), "r1".into()],
            leaves_in: None,
        });
        let listed = listed.collect();
        self.cell.set_workers(Millis(self.now), listed);
    }

    /// Calls an incarnation of a worker: returns the index of its host, or why there is no answer.
    fn call_worker(&self, worker: &Name) -> Result<usize, ReportError> {
        let (index, incarnation) =
            worker[1..].split_once('.').expect("an id of the form w<index>.<incarnation>");
        let index: usize = index.parse().expect("the index of a worker");
        let host = &self.hosts[index];
        match () {
            () if host.partitioned_until > self.now => {
                Err(ReportError::NoReply("partitioned".to_string()))
            }
            () if host.down_until > self.now => Err(ReportError::NoReply("down".to_string())),
            () if incarnation != host.incarnation.to_string() => {
                Err(ReportError::Refused(Refusal::OtherIncarnation))
            }
            () => Ok(index),
        }
    }

    fn poll_reports(&mut self) {
        let now = Millis(self.now);
        for name in self.polled.clone() {
            let Some(hold) = self.cell.report_call(now, &name, true) else { continue };
            let result = self.call_worker(&name);
            match result {
                Err(err) => drop(self.cell.on_missing_report(now, &name, &err)),
                Ok(index) => {
                    self.renew_lease(index, hold.lease_end);
                    let host = &mut self.hosts[index];
                    host.ended.retain(|row| row.seq > hold.confirmed);
                    let row =
                        |(task, running): (&TaskKey, &Running)| rows::running(*task, running.run);
                    let running = host.running.iter().map(row).collect();
                    let clock = CLOCK_BASE_MS + now.0;
                    let report = WorkerReport {
                        clock,
                        running,
                        ended: host.ended.clone(),
                        ..WorkerReport::default()
                    };
                    self.cell.on_report(now, now, &name, &report);
                }
            }
        }
    }

    /// Extends a worker's lease to a time on its clock.
    fn renew_lease(&mut self, index: usize, until: Option<u64>) {
        let host = &mut self.hosts[index];
        host.lease_until = host.lease_until.max(until.unwrap_or(0).saturating_sub(CLOCK_BASE_MS));
    }

    fn write_batches(&mut self) {
        if self.store_stalled > self.now {
            return;
        }
        if self.store_down > self.now {
            self.cell.send_unstored(Millis(self.now));
            return;
        }
        while let Some(batch) = self.cell.take_batch(Millis(self.now)) {
            for (key, value) in batch.records {
                match value.is_empty() {
                    true => drop(self.store.remove(&key)),
                    false => drop(self.store.insert(key, value)),
                }
            }
            self.cell.mark_stored(Millis(self.now), batch.number);
        }
    }

    fn execute_actions(&mut self) {
        let now = Millis(self.now);
        for action in self.cell.take_actions() {
            match action {
                Action::Start { worker, start, until } => {
                    let length =
                        start.payload.parse().expect("the spec is a number of milliseconds");
                    let outcome = match self.call_worker(&worker) {
                        Ok(index) => {
                            self.renew_lease(index, Some(until));
                            self.start_run(index, start.task, start.run, length)
                        }
                        Err(ReportError::Refused(refusal)) => OrderOutcome::Refused(refusal),
                        Err(ReportError::NoReply(_)) => OrderOutcome::Unknown,
                    };
                    self.cell.on_start_outcome(now, &worker, start.task, start.run, outcome);
                }
                Action::Stop { worker, task, run } => {
                    let outcome = match self.call_worker(&worker) {
                        Ok(_) if self.ignores_stops => OrderOutcome::Unknown,
                        Ok(index) => {
                            self.hosts[index].running.remove(&task);
                            OrderOutcome::Done(None)
                        }
                        Err(ReportError::Refused(refusal)) => OrderOutcome::Refused(refusal),
                        Err(ReportError::NoReply(_)) => OrderOutcome::Unknown,
                    };
                    self.cell.on_stop_outcome(now, &worker, task, run, outcome);
                }
                Action::Watch(listed) => drop(self.polled.insert(listed.id)),
                Action::Unwatch(worker) => drop(self.polled.remove(&worker)),
                _ => {}
            }
        }
    }

    /// Carries out a start. There is no answer if the worker crashes under it.
    fn start_run(&mut self, index: usize, task: TaskKey, run: u64, length: u64) -> OrderOutcome {
        self.starts.push((self.now, task, index));
        let crashes = self.crash_tasks.contains(&(task.step.job, task.index));
        let length = if crashes { CRASH_DELAY_MS } else { length };
        self.hosts[index].running.insert(task, Running { run, ends_at: self.now + length });
        if self.hosts.iter().any(|host| host.cpu < WORKER_MILLICORES) {
            self.max_running = self.max_running.max(self.running());
        }
        if crashes { OrderOutcome::Unknown } else { OrderOutcome::Done(None) }
    }
}

fn new_owner(epoch: u64, snapshot: Snapshot, doubt: bool, now: u64) -> Cell {
    let bounds = CellConfig {
        lease: LEASE,
        max_lease: LEASE,
        job_retention: Millis(600_000),
        disabled: DisabledMechanisms::default(),
        memory: None,
    };
    let low = Queue { name: "low".into(), priority: 2, ..(*queue()).clone() };
    let queues = HashMap::from([("q".into(), queue()), ("low".into(), Arc::new(low))]);
    Cell::new(epoch, bounds, queues, snapshot, doubt, Millis(now))
}
