//! A replay of deployment A of docs/design/hard-load.md on a virtual clock: the time of the advice
//! service and the wait for its first answer, with and without `AdviceBudget`.
//!
//! `ADVICE_REPLAY_PARTS=1 cargo test --test advice_replay -- --nocapture` replays all 350 workers and
//! 42 entries; by default the load, the workers and the entries are a fifth of that.

use fastrand::Rng;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::{Action, Cell, CellConfig, JobState};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{
    ClearedWorkers, EndReason, EndedTask, OrderOutcome, RunningTask, StartOrder, WorkerInfo,
    WorkerReport,
};
use sprucerudder::workload::{
    AdviceConfig, JobDefinition, JobKey, Queue, Resources, Step, StepKey, TaskKey,
};
use std::collections::BTreeMap;
use std::sync::Arc;

const WORKERS: usize = 350;
const ENTRIES: usize = 42;
/// The time between two scheduling passes.
const PASS_MS: u64 = 10;
/// The time between two reports of a worker.
const REPORT_MS: u64 = 100;
/// Longer than twice the longest objective of a queue with jobs of one step.
const REPLAY_MS: u64 = 30_000;

/// A queue of deployment A and its jobs.
struct Load {
    name: &'static str,
    stretch: u64,
    target: u64,
    jobs_per_second: f64,
    /// The mean number of steps, 1 to 2.
    steps: f64,
    tasks: u32,
    run_ms: u64,
    cpu: u64,
    gang_share: f64,
    checkpoint_share: f64,
    base_micros: u64,
    worker_micros: u64,
    cleared: f64,
}

const LOADS: [Load; 3] = [
    Load {
        name: "urgent",
        stretch: 1_500,
        target: 300,
        jobs_per_second: 82.5,
        steps: 1.0,
        tasks: 3,
        run_ms: 800,
        cpu: 9_900,
        gang_share: 0.33,
        checkpoint_share: 0.0,
        base_micros: 11_700,
        worker_micros: 169,
        cleared: 0.7,
    },
    Load {
        name: "gangs",
        stretch: 2_200,
        target: 1_000,
        jobs_per_second: 3.58,
        steps: 1.2,
        tasks: 20,
        run_ms: 5_000,
        cpu: 18_000,
        gang_share: 1.0,
        checkpoint_share: 0.0,
        base_micros: 559_000,
        worker_micros: 8_060,
        cleared: 0.35,
    },
    Load {
        name: "batch",
        stretch: 4_000,
        target: 3_000,
        jobs_per_second: 12.8,
        steps: 1.5,
        tasks: 25,
        run_ms: 2_700,
        cpu: 6_900,
        gang_share: 0.0,
        checkpoint_share: 0.8,
        base_micros: 130_000,
        worker_micros: 1_820,
        cleared: 0.45,
    },
];

impl Load {
    fn queue(&self, priority: u32) -> (Name, Arc<Queue>) {
        let advice = AdviceConfig {
            base_latency: Millis(self.base_micros / 1_000),
            worker_micros: self.worker_micros,
            ticket_validity: Millis(2_500),
        };
        let queue = Queue {
            name: self.name.into(),
            service: "s".into(),
            priority,
            max_attempts: 2,
            stretch: self.stretch,
            target: Millis(self.target),
            advice: Some(advice),
        };
        (self.name.into(), Arc::new(queue))
    }

    fn job(&self, rng: &mut Rng) -> JobDefinition {
        let is_gang = rng.f64() < self.gang_share;
        let step = Step {
            count: self.tasks,
            resources: Resources { cpu: self.cpu, mem: 1, gpu: 0 },
            estimate: Millis(self.run_ms),
            is_gang,
            has_checkpoints: rng.f64() < self.checkpoint_share,
            ..Step::default()
        };
        let next = Step { dependencies: vec![0], ..step.clone() };
        let steps = if 1.0 + rng.f64() < self.steps { vec![step, next] } else { vec![step] };
        JobDefinition {
            payload: "".into(),
            steps,
            repetitions: 1,
            first_due: Millis(0),
            interval: Millis(0),
        }
    }
}

/// A job of the replay.
struct Submitted {
    load: usize,
    at: u64,
    objective: u64,
    first_answer: Option<u64>,
    done: Option<u64>,
}

/// What a replay measured for a queue.
#[derive(Debug, Default)]
struct Measured {
    /// The time for which the service worked.
    service_ms: u64,
    requests: usize,
    /// The median wait for the first answer about the first step of a job; a step without an answer
    /// has waited until the end.
    first_answer_ms: u64,
    starts: usize,
    /// The share of jobs that were done within their objective, of those due before the end.
    on_time: f64,
}

struct Replay {
    cell: Cell,
    rng: Rng,
    now: u64,
    parts: usize,
    /// The part of the next job of each queue that has accumulated.
    arrivals: [f64; 3],
    jobs: BTreeMap<u64, Submitted>,
    /// The runs of each worker, with their ends.
    runs: Vec<Vec<(StartOrder, u64)>>,
    ends: Vec<u64>,
    answers: Vec<(u64, Name, StepKey, Vec<Name>)>,
    measured: [Measured; 3],
}

fn worker(index: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("w{index:03}").into(),
        service: "s".into(),
        domain: format!("d{}", index % 3).into(),
        addr: format!("addr{index}").into(),
        labels: Vec::new(),
        capacity: Resources { cpu: 64_000, mem: 1 << 37, gpu: 0 },
        started_at: None,
        leaves_in: None,
    }
}

/// Whether the service clears a worker for a step, which never changes.
fn is_cleared(step: StepKey, name: &Name, share: f64) -> bool {
    let number = name[1..].parse::<u64>().unwrap();
    let seed = step.job.0 * 1_000_003 + u64::from(step.step) * 1_009 + number * 7_919;
    Rng::with_seed(seed).f64() < share
}

impl Replay {
    fn new(parts: usize, disabled: &str) -> Self {
        let config = CellConfig {
            lease: Millis(6_000),
            max_lease: Millis(10_000),
            job_retention: Millis(100_000),
            disabled: if disabled.is_empty() {
                Default::default()
            } else {
                disabled.parse().unwrap()
            },
        };
        let queues = LOADS.iter().enumerate().map(|(priority, load)| load.queue(priority as u32));
        let mut cell =
            Cell::new(1, config, queues.collect(), Snapshot::default(), false, Millis(0));
        let workers = WORKERS / parts;
        cell.set_workers(Millis(0), (0..workers).map(worker).collect());
        (0..ENTRIES / parts).for_each(|index| cell.add_entry(format!("e{index}").into(), true));
        Self {
            cell,
            rng: Rng::with_seed(1),
            now: 1,
            parts,
            arrivals: [0.0; 3],
            jobs: BTreeMap::new(),
            runs: vec![Vec::new(); workers],
            ends: vec![0; workers],
            answers: Vec::new(),
            measured: Default::default(),
        }
    }

    fn run(mut self, load_factor: f64) -> [Measured; 3] {
        for index in 0..self.runs.len() {
            self.report(index, Vec::new());
        }
        while self.now < REPLAY_MS {
            self.now += PASS_MS;
            self.submit(load_factor);
            self.deliver_answers();
            self.end_runs();
            self.pass();
        }
        self.finish()
    }

    fn submit(&mut self, load_factor: f64) {
        for (index, load) in LOADS.iter().enumerate() {
            let per_pass = load.jobs_per_second * load_factor * PASS_MS as f64 / 1_000.0;
            self.arrivals[index] += per_pass / self.parts as f64 * 2.0 * self.rng.f64();
            while self.arrivals[index] >= 1.0 {
                self.arrivals[index] -= 1.0;
                let (key, work) = (self.jobs.len() as u64 + 1, load.job(&mut self.rng));
                let objective = load.queue(0).1.objective(&work).0;
                self.cell.submit(Millis(self.now), JobKey(key), load.name, Arc::new(work));
                let job = Submitted {
                    load: index,
                    at: self.now,
                    objective,
                    first_answer: None,
                    done: None,
                };
                self.jobs.insert(key, job);
            }
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let answers = std::mem::take(&mut self.answers);
        let (due, later): (Vec<_>, Vec<_>) = answers.into_iter().partition(|(at, ..)| *at <= now);
        self.answers = later;
        for (_, entry, step, workers) in due {
            let job = self.jobs.get_mut(&step.job.0).unwrap();
            if step.step == 0 {
                job.first_answer.get_or_insert(now);
            }
            let share = LOADS[job.load].cleared;
            let cleared = workers.iter().filter(|name| is_cleared(step, name, share));
            let tickets = cleared.map(|name| (name.clone(), "ticket".into())).collect();
            let answer = Some(ClearedWorkers { tickets, valid_for: None });
            self.cell.handle_advice(Millis(now), &entry, step, &workers, answer);
        }
    }

    /// Ends the runs that are due, and has workers report.
    fn end_runs(&mut self) {
        let now = self.now;
        for index in 0..self.runs.len() {
            let runs = std::mem::take(&mut self.runs[index]);
            let (due, later): (Vec<_>, Vec<_>) = runs.into_iter().partition(|(_, end)| *end <= now);
            self.runs[index] = later;
            let turn = now / PASS_MS % (REPORT_MS / PASS_MS);
            if !due.is_empty() || index as u64 % (REPORT_MS / PASS_MS) == turn {
                self.report(index, due);
            }
        }
    }

    fn report(&mut self, index: usize, due: Vec<(StartOrder, u64)>) {
        let ended = due.into_iter().map(|(start, _)| {
            self.ends[index] += 1;
            let (seq, task, run) = (self.ends[index], start.task, start.run);
            EndedTask { seq, task, run, reason: EndReason::Done, checkpoint: "".into() }
        });
        let ended = ended.collect();
        let running = self.runs[index].iter().map(|(start, _)| RunningTask {
            task: start.task,
            run: start.run,
            checkpoint: "c".into(),
            pace_percent: 100,
            gauge: None,
        });
        let running = running.collect();
        let report = WorkerReport { clock: 1_000 + self.now, running, ended, started_at: None };
        let (now, sent) = (Millis(self.now), Millis(self.now - 1));
        self.cell.on_report(now, sent, &worker(index).id, &report);
    }

    fn pass(&mut self) {
        let now = Millis(self.now);
        self.cell.tick(now, now);
        self.cell.schedule(now);
        while let Some(batch) = self.cell.take_batch(now) {
            self.cell.mark_stored(now, batch.number);
        }
        for action in self.cell.take_actions() {
            match action {
                Action::RequestAdvice { entry, request } => {
                    let load = self.jobs[&request.step.job.0].load;
                    self.measured[load].service_ms += request.cost.0;
                    self.measured[load].requests += 1;
                    let at = self.now + request.cost.0;
                    self.answers.push((at, entry, request.step, request.workers));
                }
                Action::Start { worker, start, .. } => self.start(&worker, start),
                Action::Stop { worker, task, run } => self.stop(&worker, task, run),
                _ => {}
            }
        }
        for (key, job) in self.jobs.iter_mut().filter(|(_, job)| job.done.is_none()) {
            if matches!(self.cell.job_state(JobKey(*key)), Some(JobState::Closed(_))) {
                job.done = Some(self.now);
            }
        }
    }

    fn start(&mut self, name: &Name, start: StartOrder) {
        let load = self.jobs[&start.task.step.job.0].load;
        self.measured[load].starts += 1;
        let (now, done) = (Millis(self.now), OrderOutcome::Done(None));
        self.cell.on_start_outcome(now, name, start.task, start.run, done);
        let end = self.now + LOADS[load].run_ms;
        self.runs[name[1..].parse::<usize>().unwrap()].push((start, end));
    }

    fn stop(&mut self, name: &Name, task: TaskKey, run: u64) {
        let runs = &mut self.runs[name[1..].parse::<usize>().unwrap()];
        runs.retain(|(start, _)| (start.task, start.run) != (task, run));
        let (now, done) = (Millis(self.now), OrderOutcome::Done(None));
        self.cell.on_stop_outcome(now, name, task, run, done);
    }

    fn finish(mut self) -> [Measured; 3] {
        for (index, measured) in self.measured.iter_mut().enumerate() {
            let jobs: Vec<&Submitted> =
                self.jobs.values().filter(|job| job.load == index).collect();
            let mut waits: Vec<u64> =
                jobs.iter().map(|job| job.first_answer.unwrap_or(self.now) - job.at).collect();
            waits.sort_unstable();
            measured.first_answer_ms = waits[waits.len() / 2];
            let due = |job: &&&Submitted| job.at + job.objective <= self.now;
            let is_on_time =
                |job: &&&Submitted| job.done.is_some_and(|done| done <= job.at + job.objective);
            let count = jobs.iter().filter(due).count().max(1);
            let on_time = jobs.iter().filter(due).filter(is_on_time).count();
            measured.on_time = on_time as f64 / count as f64;
        }
        self.measured
    }
}

/// Replays a load without and with `AdviceBudget`, and prints what was measured.
fn compare(load_factor: f64) -> ([Measured; 3], [Measured; 3]) {
    let parts = std::env::var("ADVICE_REPLAY_PARTS").map_or(5, |text| text.parse().unwrap());
    let before = Replay::new(parts, "advice-budget").run(load_factor);
    let after = Replay::new(parts, "").run(load_factor);
    for (name, measured) in [("before", &before), ("after", &after)] {
        for (load, measured) in LOADS.iter().zip(measured) {
            println!("load={load_factor} {name} queue={} {measured:?}", load.name);
        }
    }
    (before, after)
}

fn service_ms(measured: &[Measured; 3]) -> u64 {
    measured.iter().map(|measured| measured.service_ms).sum()
}

fn starts(measured: &[Measured; 3]) -> usize {
    measured.iter().map(|measured| measured.starts).sum()
}

#[test]
fn the_usual_load_needs_no_more_of_the_service() {
    // Renewals that are held back must not cost starts while there is capacity.
    let (before, after) = compare(1.0);
    assert!(service_ms(&after) <= service_ms(&before));
    assert!(starts(&after) * 100 >= starts(&before) * 95);
}

#[test]
fn first_answers_come_soon_under_overload() {
    // Steps asked again and again while their cleared workers were full, and half of the batch steps
    // waited for seconds for their first answer.
    let (before, after) = compare(1.8);
    assert!(service_ms(&after) <= service_ms(&before));
    for queue in [1, 2] {
        let (before, after) = (before[queue].first_answer_ms, after[queue].first_answer_ms);
        assert!(after * 2 <= before, "first answers after {after} ms, {before} ms before");
    }
    assert!(starts(&after) * 100 >= starts(&before) * 95);
}
