//! The order of jobs under overload, on a virtual clock: those that cannot be on time any more come
//! after those that can.

use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::{Action, Cell, CellConfig};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{
    ClearedWorkers, EndReason, EndedTask, OrderOutcome, RunningTask, StartOrder, WorkerInfo,
    WorkerReport,
};
use sprucerudder::workload::{
    AdviceConfig, JobDefinition, JobKey, Queue, Resources, Step, TaskKey,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The time between two steps of the simulation, in milliseconds.
const STEP_MS: u64 = 20;
/// The cores of a worker, in thousandths.
const WORKER_CPU: u64 = 8_000;
/// The service answers between two steps, so that only capacity limits the starts.
const ADVICE: AdviceConfig =
    AdviceConfig { base_latency: Millis(10), worker_micros: 0, ticket_validity: Millis(2_500) };

fn queue(name: &str, priority: u32, stretch: u64) -> (Name, Arc<Queue>) {
    let queue = Queue {
        name: name.into(),
        service: "s".into(),
        priority,
        max_attempts: 2,
        stretch,
        target: Millis(1_000),
        advice: Some(ADVICE),
    };
    (name.into(), Arc::new(queue))
}

/// Queues with ranked objectives.
fn ranked() -> HashMap<Name, Arc<Queue>> {
    HashMap::from([queue("high", 0, 1_500), queue("mid", 1, 2_200), queue("low", 2, 4_000)])
}

/// The same, except that the least urgent queue has the smallest stretch.
fn unranked() -> HashMap<Name, Arc<Queue>> {
    HashMap::from([queue("high", 0, 1_500), queue("mid", 1, 2_200), queue("low", 2, 1_200)])
}

/// A worker, with the ends of its runs.
struct Worker {
    listed: WorkerInfo,
    runs: BTreeMap<(TaskKey, u64), u64>,
    end_count: u64,
}

/// An owner with its workers on a virtual clock.
struct Cluster {
    cell: Cell,
    workers: Vec<Worker>,
    now: u64,
    jobs: BTreeMap<JobKey, Arc<JobDefinition>>,
    first_starts: BTreeMap<JobKey, u64>,
}

impl Cluster {
    fn new(workers: usize, queues: HashMap<Name, Arc<Queue>>, disabled: &str) -> Self {
        let disabled = match disabled {
            "" => DisabledMechanisms::default(),
            names => names.parse().unwrap(),
        };
        let config = CellConfig {
            lease: Millis(6_000),
            max_lease: Millis(10_000),
            job_retention: Millis(1_000_000),
            disabled,
        };
        let mut cell = Cell::new(1, config, queues, Snapshot::default(), false, Millis(0));
        let workers: Vec<Worker> = (0..workers).map(worker).collect();
        cell.set_workers(Millis(0), workers.iter().map(|worker| worker.listed.clone()).collect());
        for index in 0..20 {
            cell.add_entry(format!("e{index:02}").into(), true);
        }
        let (jobs, first_starts) = Default::default();
        let mut cluster = Self { cell, workers, now: 1, jobs, first_starts };
        cluster.step();
        cluster
    }

    /// Submits a job of one step of tasks that need this many cores and run as long as estimated.
    fn submit(&mut self, key: u64, queue: &str, (count, cores): (u32, u64), estimate: u64) {
        let resources = Resources { cpu: cores * 1_000, mem: 1, gpu: 0 };
        let step = Step { count, resources, estimate: Millis(estimate), ..Step::default() };
        let work = Arc::new(JobDefinition {
            payload: "".into(),
            steps: vec![step],
            repetitions: 1,
            first_due: Millis(0),
            interval: Millis(0),
        });
        self.jobs.insert(JobKey(key), work.clone());
        assert!(self.cell.submit(Millis(self.now), JobKey(key), queue, work).is_some());
    }

    /// Lets time pass: workers report, the owner schedules, its orders are carried out.
    fn step(&mut self) {
        self.now += STEP_MS;
        let now = Millis(self.now);
        for worker in &mut self.workers {
            let report = worker.report(self.now);
            let name = worker.listed.id.clone();
            self.cell.report_call(now, &name, true);
            self.cell.on_report(now, now, &name, &report);
        }
        self.cell.tick(now, now);
        self.cell.schedule(now);
        while let Some(batch) = self.cell.take_batch(now) {
            self.cell.mark_stored(now, batch.number);
        }
        self.act();
        self.cell.schedule(now);
        while let Some(batch) = self.cell.take_batch(now) {
            self.cell.mark_stored(now, batch.number);
        }
        self.act();
    }

    fn run_until(&mut self, time: u64) {
        while self.now < time {
            self.step();
        }
    }

    fn act(&mut self) {
        for action in self.cell.take_actions() {
            match action {
                Action::Start { worker, start, .. } => self.start(&worker, &start),
                Action::RequestAdvice { entry, request } => {
                    let names = request.workers.iter();
                    let tickets = names.map(|name| (name.clone(), "ticket".into())).collect();
                    let answer = Some(ClearedWorkers { tickets, valid_for: None });
                    let (now, step) = (Millis(self.now), request.step);
                    self.cell.handle_advice(now, &entry, step, &request.workers, answer);
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, name: &Name, start: &StartOrder) {
        let key = start.task.step.job;
        let step = &self.jobs[&key].steps[usize::from(start.task.step.step)];
        let worker = self.workers.iter_mut().find(|worker| worker.listed.id == *name).unwrap();
        worker.runs.insert((start.task, start.run), self.now + step.estimate.0);
        self.first_starts.entry(key).or_insert(self.now);
        let done = OrderOutcome::Done(None);
        self.cell.on_start_outcome(Millis(self.now), name, start.task, start.run, done);
    }

    /// The jobs in the order of their first starts.
    fn order(&self) -> Vec<u64> {
        let mut jobs: Vec<(u64, u64)> =
            self.first_starts.iter().map(|(job, at)| (*at, job.0)).collect();
        jobs.sort_unstable();
        jobs.into_iter().map(|(_, job)| job).collect()
    }
}

impl Worker {
    fn report(&mut self, now: u64) -> WorkerReport {
        let due: Vec<(TaskKey, u64)> =
            self.runs.iter().filter(|(_, end)| **end <= now).map(|(key, _)| *key).collect();
        let mut ended = Vec::new();
        for (task, run) in due {
            self.runs.remove(&(task, run));
            self.end_count += 1;
            let (reason, checkpoint) = (EndReason::Done, "".into());
            ended.push(EndedTask { seq: self.end_count, task, run, reason, checkpoint });
        }
        let running = self.runs.keys().map(|(task, run)| RunningTask {
            task: *task,
            run: *run,
            checkpoint: "".into(),
            pace_percent: 100,
            gauge: None,
        });
        let running = running.collect();
        WorkerReport { clock: now, running, ended, ..WorkerReport::default() }
    }
}

fn worker(index: usize) -> Worker {
    let id: Name = format!("w{index}").into();
    let listed = WorkerInfo {
        id: id.clone(),
        started_at: None,
        service: "s".into(),
        addr: id,
        domain: "d".into(),
        capacity: Resources { cpu: WORKER_CPU, mem: 1 << 20, gpu: 0 },
        labels: Vec::new(),
        leaves_in: None,
    };
    Worker { listed, runs: BTreeMap::new(), end_count: 0 }
}

/// One worker runs a job of 6 s. Two jobs of 1 s wait for it, one of which is late by then: the
/// objective is 3.2 s. Returns the order of the starts.
fn order_after_a_long_job(queues: HashMap<Name, Arc<Queue>>, disabled: &str) -> Vec<u64> {
    let mut cluster = Cluster::new(1, queues, disabled);
    cluster.submit(1, "mid", (1, 8), 6_000);
    cluster.run_until(1_000);
    cluster.submit(2, "mid", (1, 8), 1_000);
    cluster.run_until(5_000);
    cluster.submit(3, "mid", (1, 8), 1_000);
    cluster.run_until(9_000);
    cluster.order()
}

#[test]
fn a_job_that_cannot_be_on_time_starts_after_one_that_can() {
    assert_eq!(order_after_a_long_job(ranked(), ""), [1, 3, 2]);
}

#[test]
fn the_order_stays_by_due_time_where_lateness_is_not_compared() {
    assert_eq!(order_after_a_long_job(unranked(), ""), [1, 2, 3]);
    assert_eq!(order_after_a_long_job(ranked(), "lateness"), [1, 2, 3]);
}
