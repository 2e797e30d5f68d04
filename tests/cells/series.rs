//! A series of owners over one store, with workers that run what they are told.

use super::{config, listed_worker, queue, rows};
use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::records::journal::{JobOutcome, Snapshot};
use sprucerudder::cell::{Action, Cell, CellConfig, JobState};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{EndReason, EndedTask, OrderOutcome, WorkerInfo, WorkerReport};
use sprucerudder::workload::{JobDefinition, JobKey, Resources, Step, TaskKey};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A job of one step, whose first repetition is due at 1,000.
pub fn repeating(count: u32, repetitions: u32, interval: u64) -> Arc<JobDefinition> {
    let resources = Resources { cpu: 10, mem: 1, gpu: 0 };
    let step = Step { count, resources, estimate: Millis(300), ..Step::default() };
    let (first_due, interval) = (Millis(1_000), Millis(interval));
    let payload = "text".into();
    Arc::new(JobDefinition { payload, steps: vec![step], repetitions, first_due, interval })
}

/// A job of one step that is due at once.
pub fn at_once(count: u32) -> Arc<JobDefinition> {
    Arc::new(JobDefinition { first_due: Millis(0), ..(*repeating(count, 1, 0)).clone() })
}

fn workers(cpu: u64) -> Vec<WorkerInfo> {
    let room = Resources { cpu, mem: 100_000, gpu: 0 };
    (0..10).map(|index| listed_worker(index, "a", room)).collect()
}

/// A series of owners over one store, with workers that are done with each run at the next report.
pub struct World {
    /// The present owner.
    pub cell: Cell,
    cpu: u64,
    /// The memory of the owners.
    pub memory: Option<u64>,
    epoch: u64,
    /// The virtual time.
    pub now: u64,
    /// The records in the store.
    pub store: BTreeMap<String, Vec<u8>>,
    running: BTreeMap<Name, Vec<(TaskKey, u64)>>,
    ends: BTreeMap<Name, Vec<EndedTask>>,
    end_count: u64,
    /// When each task was started.
    pub starts: Vec<(u64, TaskKey)>,
    /// The records that were written.
    pub written: Vec<(String, usize)>,
    /// The store takes only so many further records.
    pub records_left: usize,
    /// Runs go on until this time.
    pub runs_until: u64,
}

impl World {
    /// An owner without jobs.
    pub fn new(memory: Option<u64>) -> Self {
        Self::with_workers(memory, 16_000)
    }

    /// An owner without jobs, and workers with `cpu` millicores each.
    pub fn with_workers(memory: Option<u64>, cpu: u64) -> Self {
        let mut world = Self {
            cell: new_cell(1, memory, Snapshot::default(), 0, cpu),
            cpu,
            memory,
            epoch: 1,
            now: 0,
            store: BTreeMap::new(),
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
            end_count: 0,
            starts: Vec::new(),
            written: Vec::new(),
            records_left: usize::MAX,
            runs_until: 0,
        };
        world.run(1);
        world
    }

    /// Submits a job.
    pub fn submit(&mut self, key: u64, work: &Arc<JobDefinition>) {
        assert!(self.cell.submit(Millis(self.now), JobKey(key), "q", work.clone()).is_some());
    }

    /// Another owner takes over with what the store has.
    pub fn take_over(&mut self) {
        let mut snapshot = Snapshot::default();
        for (key, value) in &self.store {
            snapshot.apply(key, value).expect("a record");
        }
        self.epoch += 1;
        self.cell = new_cell(self.epoch, self.memory, snapshot, self.now, self.cpu);
    }

    /// Runs passes of 100 ms.
    pub fn run(&mut self, passes: u64) {
        for _ in 0..passes {
            self.now += 100;
            let now = Millis(self.now);
            self.cell.tick(now, now);
            self.cell.schedule(now);
            while self.records_left > 0
                && let Some(batch) = self.cell.take_batch(now)
            {
                let kept = batch.records.len().min(self.records_left);
                self.records_left -= kept;
                let is_stored = kept == batch.records.len();
                for (key, value) in batch.records.into_iter().take(kept) {
                    self.written.push((key.clone(), value.len()));
                    match value.is_empty() {
                        true => drop(self.store.remove(&key)),
                        false => drop(self.store.insert(key, value)),
                    }
                }
                if !is_stored {
                    break;
                }
                self.cell.mark_stored(now, batch.number);
            }
            for action in self.cell.take_actions() {
                if let Action::Start { worker, start, .. } = action {
                    self.starts.push((self.now, start.task));
                    let outcome = OrderOutcome::Done(None);
                    self.cell.on_start_outcome(now, &worker, start.task, start.run, outcome);
                    self.running.entry(worker).or_default().push((start.task, start.run));
                }
            }
            for worker in workers(self.cpu) {
                self.report(&worker.id);
            }
        }
    }

    /// One run ends.
    pub fn end_one_run(&mut self) {
        let busy = self.running.iter_mut().find(|(_, runs)| !runs.is_empty());
        let Some((worker, runs)) = busy else { return };
        let Some((task, run)) = runs.pop() else { return };
        self.end_count += 1;
        let (seq, reason, checkpoint) = (self.end_count, EndReason::Done, "".into());
        let ends = self.ends.entry(worker.clone()).or_default();
        ends.push(EndedTask { seq, task, run, reason, checkpoint });
    }

    /// A worker lists the ends of its runs until they are confirmed.
    fn report(&mut self, worker: &Name) {
        let now = Millis(self.now + 50);
        let Some(call) = self.cell.report_call(now, worker, true) else { return };
        let ends = self.ends.entry(worker.clone()).or_default();
        ends.retain(|row| row.seq > call.confirmed);
        let is_over = self.now >= self.runs_until;
        let ended = if is_over { self.running.remove(worker) } else { None };
        for (task, run) in ended.unwrap_or_default() {
            self.end_count += 1;
            let (seq, reason, checkpoint) = (self.end_count, EndReason::Done, "".into());
            ends.push(EndedTask { seq, task, run, reason, checkpoint });
        }
        let running = self.running.get(worker).into_iter().flatten();
        let running = running.map(|(task, run)| rows::running(*task, *run)).collect();
        let (clock, ended) = (self.now, ends.clone());
        let report = WorkerReport { clock, running, ended, ..WorkerReport::default() };
        self.cell.on_report(Millis(self.now + 60), now, worker, &report);
    }

    /// Whether a job is shown as completed.
    pub fn is_completed(&self, key: u64) -> bool {
        self.cell.job_state(JobKey(key)) == Some(JobState::Closed(JobOutcome::Completed))
    }

    /// The times at which each repetition of a job started, in order.
    pub fn repetitions(&self, key: u64) -> Vec<(u32, u64)> {
        let of_job = self.starts.iter().filter(|(_, task)| task.step.job == JobKey(key));
        of_job.map(|(at, task)| (task.step.repetition, *at)).collect()
    }
}

fn new_cell(epoch: u64, memory: Option<u64>, snapshot: Snapshot, now: u64, cpu: u64) -> Cell {
    let bounds = CellConfig { memory, ..config(DisabledMechanisms::default()) };
    let queues = HashMap::from([("q".into(), queue())]);
    let mut cell = Cell::new(epoch, bounds, queues, snapshot, false, Millis(now));
    cell.set_workers(Millis(now), workers(cpu));
    cell
}
