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
const TICK: u64 = 10;
/// How long after its start a marked task crashes its worker.
const FUSE: u64 = 10;
/// What workers' clocks show at the begin.
const CLOCK: u64 = 1_000_000;
/// Processors of a worker, in thousandths of one.
const WHOLE: u64 = 16_000;
/// How long the entry of a life that is over stays in the list: three heartbeats.
const STALE: u64 = 4_500;
/// How long a worker is away after a crash.
pub const AWAY: u64 = 3_300;

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
    ends: u64,
}

/// A place where one life of a worker follows the other.
struct Host {
    life: u64,
    running: BTreeMap<TaskKey, Running>,
    ended: Vec<EndedRow>,
    count: u64,
    /// It is between two lives until then.
    away_until: u64,
    /// When its last life ended.
    crashed: Option<u64>,
    /// Nothing passes between it and owners until then.
    cut_until: u64,
    /// When everything that runs there ends unless it is renewed.
    lease: u64,
    /// Its processors, in thousandths of one.
    cpu: u64,
}

/// A site with one cell and its owner.
pub struct Site {
    pub now: u64,
    cell: Cell,
    hosts: Vec<Host>,
    store: BTreeMap<String, Vec<u8>>,
    /// The store takes nothing until then; starts go out all the same.
    store_away: u64,
    /// The store takes nothing until then, and starts wait for it.
    store_held: u64,
    is_deaf: bool,
    most: usize,
    bad: BTreeSet<(JobKey, u32)>,
    starts: Vec<(u64, TaskKey, usize)>,
    pub crashes: usize,
    epoch: u64,
    /// Lives that the owner asks for reports.
    watched: BTreeSet<Name>,
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

impl Site {
    pub fn new(workers: usize) -> Self {
        let host = |_| Host {
            life: 1,
            running: BTreeMap::new(),
            ended: Vec::new(),
            count: 0,
            away_until: 0,
            crashed: None,
            cut_until: 0,
            lease: 0,
            cpu: WHOLE,
        };
        let mut site = Self {
            now: 1,
            cell: owner(1, Snapshot::default(), false, 1),
            hosts: (0..workers).map(host).collect(),
            store: BTreeMap::new(),
            store_away: 0,
            store_held: 0,
            is_deaf: false,
            most: 0,
            bad: BTreeSet::new(),
            starts: Vec::new(),
            crashes: 0,
            epoch: 1,
            watched: BTreeSet::new(),
        };
        site.play(100);
        site
    }

    /// Each worker crashes that starts this task of a job.
    pub fn crashes_under(&mut self, job: JobKey, index: u32) {
        self.bad.insert((job, index));
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
    pub fn crash(&mut self, no: usize) {
        let host = &mut self.hosts[no];
        host.running.clear();
        host.ended.clear();
        host.count = 0;
        host.away_until = self.now + AWAY;
        host.crashed = Some(self.now);
        self.crashes += 1;
    }

    /// Nothing passes between a worker and owners for so long.
    pub fn cut(&mut self, no: usize, length: u64) {
        self.hosts[no].cut_until = self.now + length;
    }

    /// Workers on which a job runs.
    pub fn workers_of(&self, job: JobKey) -> Vec<usize> {
        let runs = |host: &Host| host.running.keys().any(|task| task.step.job == job);
        (0..self.hosts.len()).filter(|no| runs(&self.hosts[*no])).collect()
    }

    /// The store takes nothing for so long, and the owner goes on by the word of the others.
    pub fn lose_store(&mut self, length: u64) {
        self.store_away = self.now + length;
    }

    /// The store answers nothing for so long, and starts wait for it.
    pub fn hold_store(&mut self, length: u64) {
        self.store_held = self.now + length;
    }

    /// A worker lists another number of processors from now on.
    pub fn resize(&mut self, no: usize, cpu: u64) {
        self.hosts[no].cpu = cpu;
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
    pub fn most_at_once(&self) -> usize {
        self.most
    }

    /// As [`Self::take_over`], but stops are not obeyed from then on.
    pub fn take_over_deaf(&mut self) {
        self.is_deaf = true;
        self.take_over();
    }

    /// The owner did not run for so long, nor did anybody tell it anything.
    pub fn pause(&mut self, length: u64) {
        let until = self.now + length;
        while self.now < until {
            self.now += TICK;
            self.run_workers();
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
        self.cell = owner(self.epoch, snapshot, true, self.now);
        self.watched.clear();
        self.list();
    }

    /// The records as an older version leaves them: keys that it does not know are gone.
    pub fn keep_records(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.store.retain(|key, _| is_kept(key));
    }

    /// Plays on for so long.
    pub fn play(&mut self, length: u64) {
        let until = self.now + length;
        while self.now < until {
            self.now += TICK;
            self.run_workers();
            self.list();
            self.cell.tick(Millis(self.now), Millis(self.now));
            self.report();
            self.cell.schedule(Millis(self.now));
            self.write();
            self.obey();
        }
    }

    fn run_workers(&mut self) {
        for no in 0..self.hosts.len() {
            let now = self.now;
            let host = &mut self.hosts[no];
            if host.away_until > 0 && host.away_until <= now {
                host.away_until = 0;
                host.life += 1;
            }
            let over: Vec<TaskKey> = host
                .running
                .iter()
                .filter(|(_, running)| running.ends <= now)
                .map(|(task, _)| *task)
                .collect();
            if over.iter().any(|task| self.bad.contains(&(task.step.job, task.index))) {
                self.crash(no);
                continue;
            }
            let host = &mut self.hosts[no];
            if host.lease <= now {
                host.running.clear();
            }
            for task in over {
                let Some(running) = host.running.remove(&task) else { continue };
                host.count += 1;
                let (no, run) = (host.count, running.run);
                host.ended.push(EndedRow { no, task, run, end: End::Done, saved: "".into() });
            }
        }
    }

    /// The lives of a host that are listed: also one that is over, for a while.
    fn ids(&self, no: usize) -> Vec<Name> {
        let host = &self.hosts[no];
        let id = |life: u64| Name::from(format!("w{no}.{life}"));
        let is_stale = host.crashed.is_some_and(|at| self.now - at < STALE);
        match host.away_until > self.now {
            true if is_stale => vec![id(host.life)],
            true => Vec::new(),
            false if is_stale => vec![id(host.life - 1), id(host.life)],
            false => vec![id(host.life)],
        }
    }

    fn list(&mut self) {
        let lives = (0..self.hosts.len()).flat_map(|no| {
            let ids = self.ids(no).into_iter();
            ids.map(move |id| (no, id))
        });
        let listed = lives.map(|(no, id)| Listed {
            id,
            born: None,
            service: "s".into(),
            addr: format!("a{no}").into(),
            domain: format!("d{}", no % 3).into(),
            room: Room { cpu: self.hosts[no].cpu, mem: 32_000, gpu: 0 },
            labels: vec!["a".into(), "r1".into()],
            leaving: None,
        });
        let listed = listed.collect();
        self.cell.set_workers(Millis(self.now), listed);
    }

    /// What an owner meets that calls a life: the host's number, or why there is no answer.
    fn call(&self, worker: &Name) -> Result<usize, HoldError> {
        let (no, life) = worker[1..].split_once('.').expect("a worker's id");
        let no: usize = no.parse().expect("a number");
        let host = &self.hosts[no];
        match () {
            () if host.cut_until > self.now => Err(HoldError::Silent("cut".to_string())),
            () if host.away_until > self.now => Err(HoldError::Silent("away".to_string())),
            () if life != host.life.to_string() => Err(HoldError::Refused(Refusal::OtherLife)),
            () => Ok(no),
        }
    }

    fn report(&mut self) {
        let now = Millis(self.now);
        for name in self.watched.clone() {
            let Some(hold) = self.cell.hold(now, &name, true) else { continue };
            let result = self.call(&name);
            match result {
                Err(err) => drop(self.cell.unheld(now, &name, &err)),
                Ok(no) => {
                    self.renew(no, hold.until);
                    let host = &mut self.hosts[no];
                    host.ended.retain(|row| row.no > hold.seen);
                    let row =
                        |(task, running): (&TaskKey, &Running)| rows::running(*task, running.run);
                    let running = host.running.iter().map(row).collect();
                    let clock = CLOCK + now.0;
                    let report =
                        Report { clock, running, ended: host.ended.clone(), ..Report::default() };
                    self.cell.held(now, now, &name, &report);
                }
            }
        }
    }

    /// A worker's leases go on until a time on its clock.
    fn renew(&mut self, no: usize, until: Option<u64>) {
        let host = &mut self.hosts[no];
        host.lease = host.lease.max(until.unwrap_or(0).saturating_sub(CLOCK));
    }

    fn write(&mut self) {
        if self.store_held > self.now {
            return;
        }
        if self.store_away > self.now {
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
            self.cell.keep(Millis(self.now), batch.no);
        }
    }

    fn obey(&mut self) {
        let now = Millis(self.now);
        for action in self.cell.take_actions() {
            match action {
                Action::Start { worker, start, until } => {
                    let length = start.spec.parse().expect("a number of milliseconds");
                    let outcome = match self.call(&worker) {
                        Ok(no) => {
                            self.renew(no, Some(until));
                            self.start(no, start.task, start.run, length)
                        }
                        Err(HoldError::Refused(why)) => Outcome::Refused(why),
                        Err(HoldError::Silent(_)) => Outcome::Unknown,
                    };
                    self.cell.started(now, &worker, start.task, start.run, outcome);
                }
                Action::Stop { worker, task, run } => {
                    let outcome = match self.call(&worker) {
                        Ok(_) if self.is_deaf => Outcome::Unknown,
                        Ok(no) => {
                            self.hosts[no].running.remove(&task);
                            Outcome::Done(None)
                        }
                        Err(HoldError::Refused(why)) => Outcome::Refused(why),
                        Err(HoldError::Silent(_)) => Outcome::Unknown,
                    };
                    self.cell.stopped(now, &worker, task, run, outcome);
                }
                Action::Watch(listed) => drop(self.watched.insert(listed.id)),
                Action::Unwatch(worker) => drop(self.watched.remove(&worker)),
                _ => {}
            }
        }
    }

    /// A start that a worker carries out. It is not answered if the worker crashes under it.
    fn start(&mut self, no: usize, task: TaskKey, run: u64, length: u64) -> Outcome {
        self.starts.push((self.now, task, no));
        let is_bad = self.bad.contains(&(task.step.job, task.index));
        let length = if is_bad { FUSE } else { length };
        self.hosts[no].running.insert(task, Running { run, ends: self.now + length });
        if self.hosts.iter().any(|host| host.cpu < WHOLE) {
            self.most = self.most.max(self.running());
        }
        if is_bad { Outcome::Unknown } else { Outcome::Done(None) }
    }
}

fn owner(epoch: u64, snapshot: Snapshot, doubt: bool, now: u64) -> Cell {
    let bounds =
        Bounds { lease: LEASE, lease_max: LEASE, keep: Millis(600_000), off: Off::default() };
    let low = Queue { name: "low".into(), priority: 2, ..(*queue()).clone() };
    let queues = HashMap::from([("q".into(), queue()), ("low".into(), Arc::new(low))]);
    Cell::new(epoch, bounds, queues, snapshot, doubt, Millis(now))
}
