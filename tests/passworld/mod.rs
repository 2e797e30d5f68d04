//! A cell under overload on a virtual clock, with workers, entries and an advice service that react to its orders.
//! Everything that the world does depends only on the orders, so two cells that decide alike stay in the same state.

use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::placing::wakeups::PassCounts;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::{Action, Cell, CellConfig};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{
    ClearedWorkers, EndReason, EndedTask, OrderOutcome, RunningTask, WorkerInfo, WorkerReport,
};
use sprucerudder::workload::{
    AdviceConfig, JobDefinition, JobKey, Queue, Resources, Step, StepKey, TaskKey,
};
use sprucerudder::workspace::{Workspace, Workspaces};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time between two passes, in milliseconds.
pub const PASS_INTERVAL_MS: u64 = 10;
/// The time between two reports of a worker, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 100;
/// The time that a worker takes to stop a run, in milliseconds.
const STOP_MS: u64 = 400;

/// A queue of the policy.
struct Row {
    name: &'static str,
    stretch: u64,
    run_ms: u64,
    cpu: u64,
    advice: (u64, u64),
    /// The share of workers that is cleared, in percent.
    cleared: u64,
}

/// The queues of a deployment with ranked objectives, by priority.
const ROWS: [Row; 3] = [
    Row { name: "urgent", stretch: 1_500, run_ms: 800, cpu: 9_900, advice: (12, 169), cleared: 70 },
    Row {
        name: "gangs",
        stretch: 2_200,
        run_ms: 5_000,
        cpu: 18_000,
        advice: (559, 8_060),
        cleared: 35,
    },
    Row {
        name: "batch",
        stretch: 4_000,
        run_ms: 2_700,
        cpu: 6_900,
        advice: (130, 1_820),
        cleared: 45,
    },
];

struct Process {
    listed: WorkerInfo,
    runs: BTreeMap<(TaskKey, u64), (u64, EndReason)>,
    end_count: u64,
    is_silent: bool,
}

/// A cell and the world around it.
pub struct World {
    pub cell: Cell,
    pub now: u64,
    workers: BTreeMap<Name, Process>,
    /// Answers of the advice service by the time of their arrival.
    answers: BTreeMap<(u64, Name), (StepKey, Vec<Name>)>,
    /// Whether the advice service answers at once, so that steps wait for capacity and not for advice.
    pub has_prompt_advice: bool,
    /// The time that scheduling passes took.
    pub pass_time: Duration,
}

/// A reproducible value for a pair of numbers.
fn hash(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 30)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

fn index_of(worker: &Name) -> u64 {
    worker[1..].parse().expect("a number")
}

fn queue(priority: usize, row: &Row) -> (Name, Arc<Queue>) {
    let advice = AdviceConfig {
        base_latency: Millis(row.advice.0),
        worker_micros: row.advice.1,
        ticket_validity: Millis(2_500),
    };
    let queue = Queue {
        name: row.name.into(),
        service: "s".into(),
        priority: priority as u32,
        max_attempts: 2,
        stretch: row.stretch,
        target: Millis(1_000),
        advice: Some(advice),
    };
    (row.name.into(), Arc::new(queue))
}

fn listed(index: u64) -> WorkerInfo {
    let id: Name = format!("w{index:03}").into();
    WorkerInfo {
        id: id.clone(),
        started_at: None,
        service: "s".into(),
        addr: id,
        domain: format!("d{}", index % 3).into(),
        capacity: Resources { cpu: 64_000, mem: 128_000, gpu: 0 },
        labels: Vec::new(),
        leaves_in: None,
    }
}

impl World {
    /// A cell with idle workers and entries. `without` names disabled mechanisms.
    pub fn new(workers: u64, entries: u64, without: &str) -> Self {
        let disabled: DisabledMechanisms = match without {
            "" => DisabledMechanisms::default(),
            names => names.parse().expect("mechanisms"),
        };
        let config = CellConfig {
            lease: Millis(6_000),
            max_lease: Millis(10_000),
            job_retention: Millis(60_000),
            disabled,
        };
        let queues = ROWS.iter().enumerate().map(|(priority, row)| queue(priority, row)).collect();
        let cell = Cell::new(1, config, queues, Snapshot::default(), false, Millis(0));
        let process = |index| Process {
            listed: listed(index),
            runs: BTreeMap::new(),
            end_count: 0,
            is_silent: false,
        };
        let workers: BTreeMap<Name, Process> =
            (0..workers).map(|index| (listed(index).id, process(index))).collect();
        let mut world = Self {
            cell,
            now: 1,
            workers,
            answers: BTreeMap::new(),
            has_prompt_advice: false,
            pass_time: Duration::ZERO,
        };
        for entry in 0..entries {
            world.cell.add_entry(format!("e{entry:02}").into(), true);
        }
        world.list(&BTreeSet::new());
        while world.now < 2 * REPORT_INTERVAL_MS {
            world.step();
        }
        world
    }

    /// Lists all workers but these.
    pub fn list(&mut self, unlisted: &BTreeSet<u64>) {
        let is_listed = |worker: &&Process| !unlisted.contains(&index_of(&worker.listed.id));
        let list = self.workers.values().filter(is_listed);
        self.cell.set_workers(Millis(self.now), list.map(|worker| worker.listed.clone()).collect());
    }

    /// Submits a job of one step, for a workspace if `workspace` is not 0.
    pub fn submit(&mut self, key: u64, queue: usize, count: u32, workspace: u64) {
        let row = &ROWS[queue];
        let step = Step {
            count,
            resources: Resources { cpu: row.cpu, mem: 2_000, gpu: 0 },
            is_gang: queue == 1 || (queue == 0 && key.is_multiple_of(3)),
            has_checkpoints: queue == 2 && !key.is_multiple_of(5),
            estimate: Millis(row.run_ms),
            ..Step::default()
        };
        let work = JobDefinition {
            payload: "".into(),
            steps: vec![step],
            repetitions: 1,
            first_due: Millis(0),
            interval: Millis(0),
        };
        let workspace = (workspace > 0).then(|| format!("t{workspace}").into());
        let (now, work) = (Millis(self.now), Arc::new(work));
        self.cell.submit_for_workspace(now, JobKey(key), row.name, work, workspace);
    }

    /// Sets the limit of the workspaces `t1` and `t2`, in tasks of the queue `batch`.
    pub fn limit(&mut self, tasks: u64) {
        let mut workspaces = Workspaces::default();
        for name in ["t1", "t2"] {
            let limit = Resources { cpu: tasks * ROWS[2].cpu, mem: u64::MAX, gpu: u64::MAX };
            workspaces.add(Workspace { name: name.into(), weight: 0, limit }, []);
        }
        self.cell.set_workspaces(workspaces);
    }

    /// Whether a worker answers.
    pub fn silence(&mut self, worker: u64, is_silent: bool) {
        if let Some(process) = self.workers.get_mut(&listed(worker).id) {
            process.is_silent = is_silent;
        }
    }

    /// Lets a run on a worker fail at its next report.
    pub fn fail_run(&mut self, worker: u64) {
        let process = self.workers.get_mut(&listed(worker).id);
        if let Some(run) = process.and_then(|process| process.runs.values_mut().next()) {
            *run = (self.now, EndReason::Failed);
        }
    }

    pub fn drain(&mut self, domains: &[&str]) {
        let domains = domains.iter().map(|domain| (*domain).into()).collect();
        self.cell.set_drained_domains(Arc::new(domains));
    }

    /// Loses all answers of the advice service that are due now or later.
    pub fn lose_answers(&mut self) {
        for ((_, entry), (step, workers)) in std::mem::take(&mut self.answers) {
            self.cell.handle_advice(Millis(self.now), &entry, step, &workers, None);
        }
    }

    /// Advances the clock by one pass; returns the actions that it led to.
    pub fn step(&mut self) -> Vec<Action> {
        self.now += PASS_INTERVAL_MS;
        let now = Millis(self.now);
        let names: Vec<Name> = self.workers.keys().cloned().collect();
        for name in names {
            let slot = index_of(&name) * PASS_INTERVAL_MS % REPORT_INTERVAL_MS;
            if self.now / PASS_INTERVAL_MS * PASS_INTERVAL_MS % REPORT_INTERVAL_MS == slot {
                self.report(&name);
            }
        }
        self.answer();
        if (self.now / PASS_INTERVAL_MS).is_multiple_of(REPORT_INTERVAL_MS / PASS_INTERVAL_MS) {
            self.cell.tick(now, now);
        }
        let started = Instant::now();
        self.cell.schedule(now);
        self.pass_time += started.elapsed();
        while let Some(batch) = self.cell.take_batch(now) {
            self.cell.mark_stored(now, batch.number);
        }
        let mut orders = Vec::new();
        for action in self.cell.take_actions() {
            orders.push(action.clone());
            match action {
                Action::Start { worker, start, .. } => {
                    self.start(&worker, start.task, start.run);
                }
                Action::Stop { worker, task, run } => {
                    self.stop(&worker, task, run);
                }
                Action::RequestAdvice { entry, request } => {
                    let takes = if self.has_prompt_advice { 1 } else { request.cost.0 };
                    let at = self.now + takes;
                    self.answers.insert((at, entry), (request.step, request.workers));
                }
                _ => {}
            }
        }
        orders
    }

    fn report(&mut self, name: &Name) {
        let Some(process) = self.workers.get_mut(name) else { return };
        if process.is_silent {
            return;
        }
        let is_due = |(_, (at, _)): &(&(TaskKey, u64), &(u64, EndReason))| *at <= self.now;
        let due: Vec<_> = process.runs.iter().filter(is_due).map(|(k, v)| (*k, v.1)).collect();
        let mut ended = Vec::new();
        for ((task, run), reason) in due {
            process.runs.remove(&(task, run));
            process.end_count += 1;
            let (seq, checkpoint) = (process.end_count, "".into());
            ended.push(EndedTask { seq, task, run, reason, checkpoint });
        }
        let row = |(task, run): &(TaskKey, u64)| RunningTask {
            task: *task,
            run: *run,
            checkpoint: format!("{}", self.now / 500).into(),
            pace_percent: 100,
            gauge: None,
        };
        let running = process.runs.keys().map(row).collect();
        let report = WorkerReport { clock: self.now, running, ended, ..WorkerReport::default() };
        self.cell.report_call(Millis(self.now), name, true);
        self.cell.on_report(Millis(self.now), Millis(self.now - 1), name, &report);
    }

    fn answer(&mut self) {
        while let Some(first) = self.answers.first_entry()
            && first.key().0 <= self.now
        {
            let ((_, entry), (step, workers)) = first.remove_entry();
            // Jobs are numbered by queue in the thousands of millions.
            let row = &ROWS[(step.job.0 / 1_000_000_000) as usize % ROWS.len()];
            let is_cleared =
                |worker: &&Name| hash(step.job.0, index_of(worker)) % 100 < row.cleared;
            let tickets = workers.iter().filter(is_cleared).map(|name| (name.clone(), "t".into()));
            let answer = ClearedWorkers { tickets: tickets.collect(), valid_for: None };
            self.cell.handle_advice(Millis(self.now), &entry, step, &workers, Some(answer));
        }
    }

    fn start(&mut self, name: &Name, task: TaskKey, run: u64) {
        let Some(process) = self.workers.get_mut(name) else { return };
        let row = &ROWS[(task.step.job.0 / 1_000_000_000) as usize % ROWS.len()];
        let run_ms = row.run_ms * (80 + hash(task.step.job.0, run) % 40) / 100;
        process.runs.insert((task, run), (self.now + run_ms, EndReason::Done));
        let done = OrderOutcome::Done(None);
        self.cell.on_start_outcome(Millis(self.now), name, task, run, done);
    }

    fn stop(&mut self, name: &Name, task: TaskKey, run: u64) {
        let Some(process) = self.workers.get_mut(name) else { return };
        if let Some(row) = process.runs.get_mut(&(task, run)) {
            *row = (self.now + STOP_MS, EndReason::Stopped);
        }
        self.cell.on_stop_outcome(Millis(self.now), name, task, run, OrderOutcome::Done(None));
    }

    /// The passes and evaluations so far.
    pub fn counts(&self) -> PassCounts {
        self.cell.pass_counts()
    }
}

/// The key of a job of a queue.
pub fn job_key(queue: usize, number: u64) -> u64 {
    queue as u64 * 1_000_000_000 + number
}
