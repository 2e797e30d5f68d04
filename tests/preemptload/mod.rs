//! A replay of a load in which gangs compete with a less urgent batch queue, on a virtual clock: a fifth of a
//! deployment with 350 workers, whose queues all use the advice service.

use super::cells;
use fastrand::Rng;
use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::{Action, Cell};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{
    ClearedWorkers, EndReason, EndedTask, OrderOutcome, RunningTask, StartOrder, WorkerInfo,
    WorkerReport,
};
use sprucerudder::workload::{
    AdviceConfig, JobDefinition, JobKey, Queue, Resources, Step, StepKey, TaskKey,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

const WORKERS: usize = 70;
/// Entries that send requests to the advice service, each one at a time.
const ENTRIES: usize = 8;
const STEP_MS: u64 = 20;
/// Time for which jobs are submitted, and time after that for the last ones to end.
const LOAD_MS: u64 = 34_000;
const DRAIN_MS: u64 = 12_000;
/// Every so often the load rises for some time.
const BURST_INTERVAL_MS: u64 = 10_000;
const BURST_MS: u64 = 3_500;
const BURST_FACTOR: f64 = 1.7;
const CHECKPOINT_MS: u64 = 1_000;
const RESTORE_MS: u64 = 300;
/// Time that a worker takes to stop a run.
const STOP_MS: u64 = 600;
const REPORT_MS: u64 = 100;

/// The load of one queue.
struct QueueLoad {
    name: &'static str,
    priority: u32,
    jobs_per_second: f64,
    /// The share of jobs with a second step.
    two_steps: f64,
    tasks: u32,
    run_ms: u64,
    cpu: u64,
    gangs: f64,
    checkpoints: f64,
    stretch: u64,
    target_ms: u64,
    /// The latency of a request, and the share of workers that it clears.
    advice: (u64, u64),
    cleared: f64,
}

const QUEUES: [QueueLoad; 3] = [
    QueueLoad {
        name: "urgent",
        priority: 0,
        jobs_per_second: 16.5,
        two_steps: 0.0,
        tasks: 3,
        run_ms: 800,
        cpu: 9_900,
        gangs: 0.33,
        checkpoints: 0.0,
        stretch: 1_500,
        target_ms: 300,
        advice: (12, 169),
        cleared: 0.7,
    },
    QueueLoad {
        name: "gangs",
        priority: 1,
        jobs_per_second: 0.716,
        two_steps: 0.2,
        tasks: 20,
        run_ms: 5_000,
        cpu: 18_000,
        gangs: 1.0,
        checkpoints: 0.0,
        stretch: 2_200,
        target_ms: 1_000,
        advice: (559, 8_060),
        cleared: 0.35,
    },
    QueueLoad {
        name: "batch",
        priority: 2,
        jobs_per_second: 2.56,
        two_steps: 0.5,
        tasks: 25,
        run_ms: 2_700,
        cpu: 6_900,
        gangs: 0.0,
        checkpoints: 0.8,
        stretch: 4_000,
        target_ms: 3_000,
        advice: (130, 1_820),
        cleared: 0.45,
    },
];

impl QueueLoad {
    fn queue(&self) -> (Name, Arc<Queue>) {
        let advice = AdviceConfig {
            base_latency: Millis(self.advice.0),
            worker_micros: self.advice.1,
            ticket_validity: Millis(2_500),
        };
        let queue = Queue {
            name: self.name.into(),
            service: "s".into(),
            priority: self.priority,
            max_attempts: 2,
            stretch: self.stretch,
            target: Millis(self.target_ms),
            advice: Some(advice),
        };
        (self.name.into(), Arc::new(queue))
    }

    fn job(&self, rng: &mut Rng) -> JobDefinition {
        let step_count = 1 + usize::from(rng.f64() < self.two_steps);
        let (is_gang, has_checkpoints) = (rng.f64() < self.gangs, rng.f64() < self.checkpoints);
        let step = |index: usize| Step {
            count: self.tasks,
            resources: Resources { cpu: self.cpu, mem: 100, gpu: 0 },
            estimate: Millis(self.run_ms),
            dependencies: (0..index as u16).collect(),
            is_gang,
            has_checkpoints,
            ..Step::default()
        };
        JobDefinition {
            payload: "".into(),
            steps: (0..step_count).map(step).collect(),
            repetitions: 1,
            first_due: Millis(0),
            interval: Millis(0),
        }
    }
}

/// A job that was submitted.
struct Job {
    load: &'static QueueLoad,
    due: u64,
    /// In core-milliseconds.
    work: u64,
    unfinished: u32,
    /// The tasks of a step start and end together.
    is_gang: bool,
}

/// A run on a worker.
struct Running {
    started: u64,
    end: u64,
    reason: EndReason,
    /// The work of the task, as run time, that was saved before the run, and the time to restore it.
    before: u64,
    restore: u64,
    cpu: u64,
    has_checkpoints: bool,
}

impl Running {
    /// The run time that checkpoints have saved by now, in all runs of the task.
    fn saved(&self, now: u64) -> u64 {
        let done = now.saturating_sub(self.started + self.restore);
        self.before + if self.has_checkpoints { done / CHECKPOINT_MS * CHECKPOINT_MS } else { 0 }
    }
}

struct Worker {
    listed: WorkerInfo,
    runs: BTreeMap<(TaskKey, u64), Running>,
    end_count: u64,
}

/// What a replay has led to.
#[derive(Debug, Default, Clone, Copy)]
pub struct Outcome {
    /// The work of the jobs that completed on time, in core-seconds.
    pub on_time: u64,
    /// The same for jobs of the queues of gangs and of batch jobs.
    pub gangs_on_time: u64,
    pub batch_on_time: u64,
    /// Runs that were stopped.
    pub stops: u64,
    /// Stops of a task less than 5 s after its last one.
    pub stopped_again: u64,
    /// Work that was done twice and time to restore, in core-seconds.
    pub lost: u64,
    /// Requests to the advice service.
    pub requests: u64,
}

impl Outcome {
    /// The sums of two outcomes.
    pub fn plus(self, other: Self) -> Self {
        Self {
            on_time: self.on_time + other.on_time,
            gangs_on_time: self.gangs_on_time + other.gangs_on_time,
            batch_on_time: self.batch_on_time + other.batch_on_time,
            stops: self.stops + other.stops,
            stopped_again: self.stopped_again + other.stopped_again,
            lost: self.lost + other.lost,
            requests: self.requests + other.requests,
        }
    }
}

/// An owner with its workers and the advice service.
struct Replay {
    cell: Cell,
    workers: Vec<Worker>,
    now: u64,
    rng: Rng,
    jobs: BTreeMap<JobKey, Job>,
    saved: HashMap<TaskKey, u64>,
    done: HashMap<TaskKey, ()>,
    /// The run time of the tasks of each gang step, and the last stop of each task.
    gang_times: HashMap<StepKey, u64>,
    last_stops: HashMap<TaskKey, u64>,
    /// Answers of the advice service by their time: the entry, the step and the workers asked about.
    answers: BTreeMap<(u64, u64), (Name, StepKey, Vec<Name>)>,
    outcome: Outcome,
    /// Work of on-time jobs in core-milliseconds, by priority.
    on_time: [u64; 3],
    lost: u64,
}

/// Replays the load with these mechanisms disabled.
pub fn replay(seed: u64, disabled: DisabledMechanisms) -> Outcome {
    let mut replay = Replay::new(seed, disabled);
    // Separate numbers for the submissions, so that they are the same under each rule.
    let mut rng = Rng::with_seed(seed);
    while replay.now < LOAD_MS + DRAIN_MS {
        if replay.now < LOAD_MS {
            replay.submit_jobs(&mut rng);
        }
        replay.step();
    }
    replay.outcome()
}

impl Replay {
    fn new(seed: u64, disabled: DisabledMechanisms) -> Self {
        let config = cells::config(disabled);
        let queues = QUEUES.iter().map(QueueLoad::queue).collect();
        let mut cell = Cell::new(1, config, queues, Snapshot::default(), false, Millis(0));
        let workers: Vec<Worker> = (0..WORKERS).map(worker).collect();
        cell.set_workers(Millis(0), workers.iter().map(|worker| worker.listed.clone()).collect());
        (0..ENTRIES).for_each(|no| cell.add_entry(format!("e{no}").into(), true));
        Self {
            cell,
            workers,
            now: 1,
            rng: Rng::with_seed(seed + 1),
            jobs: BTreeMap::new(),
            saved: HashMap::new(),
            done: HashMap::new(),
            gang_times: HashMap::new(),
            last_stops: HashMap::new(),
            answers: BTreeMap::new(),
            outcome: Outcome::default(),
            on_time: [0; 3],
            lost: 0,
        }
    }

    fn submit_jobs(&mut self, rng: &mut Rng) {
        let is_burst = self.now % BURST_INTERVAL_MS >= BURST_INTERVAL_MS - BURST_MS;
        let factor = if is_burst { BURST_FACTOR } else { 1.0 };
        for load in &QUEUES {
            let chance = load.jobs_per_second * factor * STEP_MS as f64 / 1_000.0;
            if rng.f64() >= chance {
                continue;
            }
            let work = load.job(rng);
            let (_, queue) = load.queue();
            let key = JobKey(self.jobs.len() as u64 + 1);
            let tasks: u32 = work.steps.iter().map(|step| step.count).sum();
            let job = Job {
                load,
                due: self.now + queue.objective(&work).0,
                work: u64::from(tasks) * load.cpu * load.run_ms / 1_000,
                unfinished: tasks,
                is_gang: work.steps[0].is_gang,
            };
            self.jobs.insert(key, job);
            assert!(self.cell.submit(Millis(self.now), key, load.name, Arc::new(work)).is_some());
        }
    }

    /// Advances the clock: workers report, the advice service answers, the owner schedules, its orders are carried out.
    fn step(&mut self) {
        self.now += STEP_MS;
        let now = Millis(self.now);
        for index in 0..self.workers.len() {
            if (self.now / STEP_MS + index as u64) % (REPORT_MS / STEP_MS) == 0 {
                self.report(index);
            }
        }
        while let Some(entry) = self.answers.first_entry().filter(|first| first.key().0 <= now.0) {
            let (client, step, asked) = entry.remove();
            let answer = self.clear(step, &asked);
            self.cell.handle_advice(now, &client, step, &asked, Some(answer));
        }
        cells::run_pass(&mut self.cell, now);
        for action in self.cell.take_actions() {
            match action {
                Action::Start { worker, start, .. } => self.start(&worker, &start),
                Action::Stop { worker, task, run } => self.stop(&worker, task, run),
                Action::RequestAdvice { entry, request } => {
                    self.outcome.requests += 1;
                    let at = self.now + request.cost.0;
                    let answer = (entry, request.step, request.workers);
                    self.answers.insert((at, self.outcome.requests), answer);
                }
                _ => {}
            }
        }
    }

    fn report(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        let ended_runs: Vec<(TaskKey, u64)> =
            worker.runs.iter().filter(|(_, run)| run.end <= now).map(|(key, _)| *key).collect();
        let mut ended = Vec::new();
        for (task, run) in ended_runs {
            let running = worker.runs.remove(&(task, run)).unwrap();
            worker.end_count += 1;
            let saved = running.saved(running.end);
            if running.reason == EndReason::Stopped {
                self.saved.insert(task, saved);
            } else if self.done.insert(task, ()).is_none() {
                let job = self.jobs.get_mut(&task.step.job).unwrap();
                job.unfinished -= 1;
                if job.unfinished == 0 && running.end <= job.due {
                    self.on_time[job.load.priority as usize] += job.work;
                }
            }
            let checkpoint = checkpoint_name(saved);
            let (seq, reason) = (worker.end_count, running.reason);
            ended.push(EndedTask { seq, task, run, reason, checkpoint });
        }
        let running_row = |((task, run), running): (&(TaskKey, u64), &Running)| RunningTask {
            task: *task,
            run: *run,
            checkpoint: checkpoint_name(running.saved(now)),
            pace_percent: 100,
            gauge: None,
        };
        let running = worker.runs.iter().map(running_row).collect();
        let report = WorkerReport { clock: now, running, ended, ..WorkerReport::default() };
        let name = worker.listed.id.clone();
        self.cell.report_call(Millis(now), &name, true);
        self.cell.on_report(Millis(now), Millis(now), &name, &report);
    }

    /// Clears the share of the workers that the queue of the step gets, for a step always the same ones.
    fn clear(&self, step: StepKey, asked: &[Name]) -> ClearedWorkers {
        let cleared = self.jobs[&step.job].load.cleared;
        let is_cleared = |name: &&Name| {
            let worker: u64 = name[1..].parse().unwrap();
            let seed = step.job.0 * 1_000_003 + u64::from(step.step) * 1_009 + worker;
            Rng::with_seed(seed).f64() < cleared
        };
        let tickets = asked.iter().filter(is_cleared).map(|name| (name.clone(), "t".into()));
        ClearedWorkers { tickets: tickets.collect(), valid_for: None }
    }

    fn start(&mut self, name: &Name, start: &StartOrder) {
        let task = start.task;
        let Job { load, is_gang, .. } = self.jobs[&task.step.job];
        let spread = |rng: &mut Rng| load.run_ms * rng.u64(850..1_150) / 1_000;
        let run_ms = match is_gang {
            true => *self.gang_times.entry(task.step).or_insert_with(|| spread(&mut self.rng)),
            false => spread(&mut self.rng),
        };
        let before = self.saved.get(&task).copied().unwrap_or(0);
        let restore = if before > 0 { RESTORE_MS } else { 0 };
        let running = Running {
            started: self.now,
            end: self.now + restore + run_ms.saturating_sub(before).max(100),
            reason: EndReason::Done,
            before,
            restore,
            cpu: load.cpu,
            has_checkpoints: load.checkpoints > 0.0,
        };
        self.lost += restore * load.cpu / 1_000;
        let worker = self.workers.iter_mut().find(|worker| worker.listed.id == *name).unwrap();
        worker.runs.insert((task, start.run), running);
        let done = OrderOutcome::Done(None);
        self.cell.on_start_outcome(Millis(self.now), name, task, start.run, done);
    }

    fn stop(&mut self, name: &Name, task: TaskKey, run: u64) {
        let worker = self.workers.iter_mut().find(|worker| worker.listed.id == *name).unwrap();
        if let Some(running) = worker.runs.get_mut(&(task, run))
            && running.end > self.now
        {
            let done = running.before + self.now - running.started;
            self.lost += done.saturating_sub(running.saved(self.now)) * running.cpu / 1_000;
            (running.end, running.reason) = (self.now + STOP_MS, EndReason::Stopped);
            // A worker makes no more progress once it was told to stop.
            running.before = running.saved(self.now);
            running.started = self.now + STOP_MS;
            self.outcome.stops += 1;
            let before = self.last_stops.insert(task, self.now);
            let is_again = before.is_some_and(|at| self.now - at < 5_000);
            self.outcome.stopped_again += u64::from(is_again);
        }
        self.cell.on_stop_outcome(Millis(self.now), name, task, run, OrderOutcome::Done(None));
    }

    fn outcome(&self) -> Outcome {
        Outcome {
            on_time: self.on_time.iter().sum::<u64>() / 1_000,
            gangs_on_time: self.on_time[1] / 1_000,
            batch_on_time: self.on_time[2] / 1_000,
            lost: self.lost / 1_000,
            ..self.outcome
        }
    }
}

fn checkpoint_name(saved: u64) -> Name {
    if saved == 0 { "".into() } else { saved.to_string().into() }
}

fn worker(no: usize) -> Worker {
    let listed = cells::listed_worker(
        no,
        &format!("d{}", no % 3),
        Resources { cpu: 64_000, mem: 128_000, gpu: 0 },
    );
    Worker { listed, runs: BTreeMap::new(), end_count: 0 }
}
