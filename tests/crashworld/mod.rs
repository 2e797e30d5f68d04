//! Workers that crash under marked tasks, on a virtual clock: an owner's decisions, a store that takes
//! everything unless it is away, and workers that come back as another life at their address.

#![allow(dead_code)]

#[path = "../rows/mod.rs"]
mod rows;

use sprucerudder::cell::mechanism::Off;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::{Action, Bounds, Cell, State};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{End, EndedRow, HoldError, Listed, Outcome, Refusal, Report};
use sprucerudder::workload::{JobKey, Queue, Room, Step, TaskKey, Work};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

const LEASE: Millis = Millis(6_000);
/// Time between two looks of the site.
const TICK_MS: u64 = 10;
/// How long after its start a marked task crashes its worker.
const CRASH_DELAY_MS: u64 = 10;
/// What workers' clocks show at the begin.
const CLOCK_BASE_MS: u64 = 1_000_000;
/// Processors of a worker, in thousandths of one.
const WORKER_MILLICORES: u64 = 16_000;
/// How long the entry of a life that is over stays in the list: three heartbeats.
const STALE_ENTRY_MS: u64 = 4_500;
/// How long a worker is away after a crash.
pub const DOWNTIME_MS: u64 = 3_300;

pub fn job(key: u64) -> JobKey {
    JobKey(key)
}

/// Tasks of a quarter of a worker, for a second.
pub fn step(count: u32) -> Step {
    let room = Room { cpu: 4_000, mem: 1_000, gpu: 0 };
    Step { count, room, estimate: Millis(1_000), ..Step::default() }
}

struct Running {
    run: u64,
    ends_at: u64,
}

/// A place where one life of a worker follows the other.
struct Host {
    incarnation: u64,
    running: BTreeMap<TaskKey, Running>,
    ended: Vec<EndedRow>,
    end_count: u64,
    /// It is between two lives until then.
    down_until: u64,
    /// When its last life ended.
    crashed_at: Option<u64>,
    /// Nothing passes between it and owners until then.
    partitioned_until: u64,
    /// When everything that runs there ends unless it is renewed.
    lease_until: u64,
    /// Its processors, in thousandths of one.
    cpu: u64,
}

/// A site with one cell and its owner.
pub struct Cluster {
    pub now: u64,
    cell: Cell,
    hosts: Vec<Host>,
    store: BTreeMap<String, Vec<u8>>,
    /// The store takes nothing until then; starts go out all the same.
    store_down: u64,
    /// The store takes nothing until then, and starts wait for it.
    store_stalled: u64,
    ignores_stops: bool,
    max_running: usize,
    crash_tasks: BTreeSet<(JobKey, u32)>,
    starts: Vec<(u64, TaskKey, usize)>,
    pub crashes: usize,
    epoch: u64,
    /// Lives that the owner asks for reports.
    polled: BTreeSet<Name>,
}

fn queue() -> Arc<Queue> {
    Arc::new(Queue {
        name: "q".into(),
        service: "s".into(),
        priority: 0,
        attempts: 3,
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

    /// Each worker crashes that starts this task of a job.
    pub fn mark_crashing(&mut self, job: JobKey, index: u32) {
        self.crash_tasks.insert((job, index));
    }

    pub fn submit(&mut self, job: JobKey, steps: Vec<Step>) {
        self.submit_long(job, steps, 1_000);
    }

    /// Submits a job whose tasks run for so long.
    pub fn submit_long(&mut self, job: JobKey, steps: Vec<Step>, length: u64) {
        self.submit_to("q", job, steps, length);
    }

    /// As [`Self::submit_long`], to a less urgent queue.
    pub fn submit_low(&mut self, job: JobKey, steps: Vec<Step>, length: u64) {
        self.submit_to("low", job, steps, length);
    }

    fn submit_to(&mut self, queue: &str, job: JobKey, steps: Vec<Step>, length: u64) {
        let (first, every) = (Millis(0), Millis(0));
        let work = Work { spec: length.to_string().into(), steps, times: 1, first, every };
        assert!(self.cell.submit(Millis(self.now), job, queue, Arc::new(work)).is_some());
    }

    pub fn state(&self, job: JobKey) -> Option<State> {
        self.cell.state(job)
    }

    /// Starts of a job's tasks that workers carried out.
    pub fn starts_of(&self, job: JobKey) -> usize {
        self.starts.iter().filter(|(_, task, _)| task.step.job == job).count()
    }

    /// The most starts of any one task of a job.
    pub fn most_starts(&self, job: JobKey) -> usize {
        let mut counts: BTreeMap<TaskKey, usize> = BTreeMap::new();
        for (_, task, _) in self.starts.iter().filter(|(_, task, _)| task.step.job == job) {
            *counts.entry(*task).or_default() += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }

    /// A worker crashes by itself.
    pub fn crash(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.running.clear();
        host.ended.clear();
        host.end_count = 0;
        host.down_until = self.now + DOWNTIME_MS;
        host.crashed_at = Some(self.now);
        self.crashes += 1;
    }

    /// Nothing passes between a worker and owners for so long.
    pub fn partition(&mut self, index: usize, length: u64) {
        self.hosts[index].partitioned_until = self.now + length;
    }

    /// Workers on which a job runs.
    pub fn workers_of(&self, job: JobKey) -> Vec<usize> {
        let runs = |host: &Host| host.running.keys().any(|task| task.step.job == job);
        (0..self.hosts.len()).filter(|index| runs(&self.hosts[*index])).collect()
    }

    /// The store takes nothing for so long, and the owner goes on by the word of the others.
    pub fn start_outage(&mut self, length: u64) {
        self.store_down = self.now + length;
    }

    /// The store answers nothing for so long, and starts wait for it.
    pub fn stall_store(&mut self, length: u64) {
        self.store_stalled = self.now + length;
    }

    /// A worker lists another number of processors from now on.
    pub fn resize(&mut self, index: usize, cpu: u64) {
        self.hosts[index].cpu = cpu;
    }

    /// Tasks of a job that run now.
    pub fn running_of(&self, job: JobKey) -> usize {
        let tasks = self.hosts.iter().flat_map(|host| host.running.keys());
        tasks.filter(|task| task.step.job == job).count()
    }

    /// What runs now at all workers.
    pub fn running(&self) -> usize {
        self.hosts.iter().map(|host| host.running.len()).sum()
    }

    /// The most tasks that ran at once since the first room shrank.
    pub fn max_running(&self) -> usize {
        self.max_running
    }

    /// As [`Self::take_over`], but stops are not obeyed from then on.
    pub fn take_over_ignoring_stops(&mut self) {
        self.ignores_stops = true;
        self.take_over();
    }

    /// The owner did not run for so long, nor did anybody tell it anything.
    pub fn pause(&mut self, length: u64) {
        let until = self.now + length;
        while self.now < until {
            self.now += TICK_MS;
            self.advance_workers();
        }
        self.cell.wake(Millis(self.now));
    }

    /// Another entry owns the cell, and knows what the store holds.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        let mut snapshot = Snapshot::default();
        for (key, value) in &self.store {
            snapshot.add(key, value).expect("a record of ours");
        }
        self.cell = new_owner(self.epoch, snapshot, true, self.now);
        self.polled.clear();
        self.publish_list();
    }

    /// The records as an older version leaves them: keys that it does not know are gone.
    pub fn retain_records(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.store.retain(|key, _| is_kept(key));
    }

    /// Plays on for so long.
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
                let (no, run) = (host.end_count, running.run);
                host.ended.push(EndedRow { no, task, run, end: End::Done, saved: "".into() });
            }
        }
    }

    /// The lives of a host that are listed: also one that is over, for a while.
    fn listed_ids(&self, index: usize) -> Vec<Name> {
        let host = &self.hosts[index];
        let id = |life: u64| Name::from(format!("w{index}.{life}"));
        let is_stale = host.crashed_at.is_some_and(|at| self.now - at < STALE_ENTRY_MS);
        match host.down_until > self.now {
            true if is_stale => vec![id(host.incarnation)],
            true => Vec::new(),
            false if is_stale => vec![id(host.incarnation - 1), id(host.incarnation)],
            false => vec![id(host.incarnation)],
        }
    }

    fn publish_list(&mut self) {
        let lives = (0..self.hosts.len()).flat_map(|index| {
            let listed_ids = self.listed_ids(index).into_iter();
            listed_ids.map(move |id| (index, id))
        });
        let listed = lives.map(|(index, id)| Listed {
            id,
            born: None,
            service: "s".into(),
            addr: format!("a{index}").into(),
            domain: format!("d{}", index % 3).into(),
            room: Room { cpu: self.hosts[index].cpu, mem: 32_000, gpu: 0 },
            labels: vec!["a".into(), "r1".into()],
            leaving: None,
        });
        let listed = listed.collect();
        self.cell.set_workers(Millis(self.now), listed);
    }

    /// What an owner meets that calls a life: the host's number, or why there is no answer.
    fn call_worker(&self, worker: &Name) -> Result<usize, HoldError> {
        let (index, life) = worker[1..].split_once('.').expect("a worker's id");
        let index: usize = index.parse().expect("a number");
        let host = &self.hosts[index];
        match () {
            () if host.partitioned_until > self.now => Err(HoldError::Silent("cut".to_string())),
            () if host.down_until > self.now => Err(HoldError::Silent("away".to_string())),
            () if life != host.incarnation.to_string() => {
                Err(HoldError::Refused(Refusal::OtherLife))
            }
            () => Ok(index),
        }
    }

    fn poll_reports(&mut self) {
        let now = Millis(self.now);
        for name in self.polled.clone() {
            let Some(hold) = self.cell.hold(now, &name, true) else { continue };
            let result = self.call_worker(&name);
            match result {
                Err(err) => drop(self.cell.unheld(now, &name, &err)),
                Ok(index) => {
                    self.renew_lease(index, hold.until);
                    let host = &mut self.hosts[index];
                    host.ended.retain(|row| row.no > hold.seen);
                    let row =
                        |(task, running): (&TaskKey, &Running)| rows::running(*task, running.run);
                    let running = host.running.iter().map(row).collect();
                    let clock = CLOCK_BASE_MS + now.0;
                    let report =
                        Report { clock, running, ended: host.ended.clone(), ..Report::default() };
                    self.cell.held(now, now, &name, &report);
                }
            }
        }
    }

    /// A worker's leases go on until a time on its clock.
    fn renew_lease(&mut self, index: usize, until: Option<u64>) {
        let host = &mut self.hosts[index];
        host.lease_until = host.lease_until.max(until.unwrap_or(0).saturating_sub(CLOCK_BASE_MS));
    }

    fn write_batches(&mut self) {
        if self.store_stalled > self.now {
            return;
        }
        if self.store_down > self.now {
            self.cell.send_unkept(Millis(self.now));
            return;
        }
        while let Some(batch) = self.cell.take_batch(Millis(self.now)) {
            for (key, value) in batch.records {
                match value.is_empty() {
                    true => drop(self.store.remove(&key)),
                    false => drop(self.store.insert(key, value)),
                }
            }
            self.cell.keep(Millis(self.now), batch.no);
        }
    }

    fn execute_actions(&mut self) {
        let now = Millis(self.now);
        for action in self.cell.take_actions() {
            match action {
                Action::Start { worker, start, until } => {
                    let length = start.spec.parse().expect("a number of milliseconds");
                    let outcome = match self.call_worker(&worker) {
                        Ok(index) => {
                            self.renew_lease(index, Some(until));
                            self.start_run(index, start.task, start.run, length)
                        }
                        Err(HoldError::Refused(refusal)) => Outcome::Refused(refusal),
                        Err(HoldError::Silent(_)) => Outcome::Unknown,
                    };
                    self.cell.started(now, &worker, start.task, start.run, outcome);
                }
                Action::Stop { worker, task, run } => {
                    let outcome = match self.call_worker(&worker) {
                        Ok(_) if self.ignores_stops => Outcome::Unknown,
                        Ok(index) => {
                            self.hosts[index].running.remove(&task);
                            Outcome::Done(None)
                        }
                        Err(HoldError::Refused(refusal)) => Outcome::Refused(refusal),
                        Err(HoldError::Silent(_)) => Outcome::Unknown,
                    };
                    self.cell.stopped(now, &worker, task, run, outcome);
                }
                Action::Watch(listed) => drop(self.polled.insert(listed.id)),
                Action::Unwatch(worker) => drop(self.polled.remove(&worker)),
                _ => {}
            }
        }
    }

    /// A start that a worker carries out. It is not answered if the worker crashes under it.
    fn start_run(&mut self, index: usize, task: TaskKey, run: u64, length: u64) -> Outcome {
        self.starts.push((self.now, task, index));
        let crashes = self.crash_tasks.contains(&(task.step.job, task.index));
        let length = if crashes { CRASH_DELAY_MS } else { length };
        self.hosts[index].running.insert(task, Running { run, ends_at: self.now + length });
        if self.hosts.iter().any(|host| host.cpu < WORKER_MILLICORES) {
            self.max_running = self.max_running.max(self.running());
        }
        if crashes { Outcome::Unknown } else { Outcome::Done(None) }
    }
}

fn new_owner(epoch: u64, snapshot: Snapshot, doubt: bool, now: u64) -> Cell {
    let bounds =
        Bounds { lease: LEASE, lease_max: LEASE, keep: Millis(600_000), off: Off::default() };
    let low = Queue { name: "low".into(), priority: 2, ..(*queue()).clone() };
    let queues = HashMap::from([("q".into(), queue()), ("low".into(), Arc::new(low))]);
    Cell::new(epoch, bounds, queues, snapshot, doubt, Millis(now))
}
