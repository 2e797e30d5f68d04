//! An owner whose workers and store answer at once, and which counts what each of its decisions
//! visits.

#![allow(dead_code, reason = "not every test uses all of these helpers")]

use crate::cells::{self, listed_worker, rows};
use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::{Action, Cell};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{EndReason, EndedTask, OrderOutcome, StartOrder, WorkerReport};
use sprucerudder::visits;
use sprucerudder::workload::{
    AdviceConfig, JobDefinition, JobKey, Queue, Resources, Step, StepKey, TaskKey,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The cores of a worker, in thousandths.
pub const WORKER_CPU: u64 = 100_000;
const ADVICE: AdviceConfig =
    AdviceConfig { base_latency: Millis(20), worker_micros: 1_000, ticket_validity: Millis(2_500) };

/// A task that takes a thousandth of a core.
pub fn small() -> Step {
    let resources = Resources { cpu: 1, mem: 1, gpu: 0 };
    Step { count: 1, resources, estimate: Millis(300), ..Step::default() }
}

/// A task that takes a whole worker.
pub fn large() -> Step {
    Step { resources: Resources { cpu: WORKER_CPU, mem: 1, gpu: 0 }, ..small() }
}

/// A job of these steps that is due at once.
pub fn job(steps: Vec<Step>) -> Arc<JobDefinition> {
    let (first_due, interval) = (Millis(0), Millis(0));
    Arc::new(JobDefinition { payload: "text".into(), steps, repetitions: 1, first_due, interval })
}

/// A run on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Started {
    pub task: TaskKey,
    pub run: u64,
}

/// The owner, its workers and its store.
pub struct Site {
    pub cell: Cell,
    pub now: u64,
    pub running: BTreeMap<Name, Vec<Started>>,
    /// Starts whose outcomes the owner has not been told.
    pub unanswered: Vec<(Name, StartOrder)>,
    pub answers_starts: bool,
    /// The first start of each job.
    pub first_starts: BTreeMap<JobKey, u64>,
    store: BTreeMap<String, Vec<u8>>,
    workers: usize,
    epoch: u64,
    end_count: u64,
    /// The most that one decision of each kind has visited.
    pub most: BTreeMap<&'static str, u64>,
}

fn queues() -> HashMap<Name, Arc<Queue>> {
    let queue = |name: &str, priority, advice| {
        let queue = Queue { name: name.into(), priority, advice, ..(*cells::queue()).clone() };
        (Name::from(name), Arc::new(queue))
    };
    let plain = [queue("urgent", 0, None), queue("usual", 1, None), queue("spare", 2, None)];
    // Three queues with advice whose objectives grow with their priorities enable the comparison of
    // what a stop costs and gains.
    let advised = |name, priority: u32| {
        let (name, queue) = queue(name, priority, Some(ADVICE));
        (name, Arc::new(Queue { stretch: 1_500 * u64::from(priority), ..(*queue).clone() }))
    };
    let ranked = [advised("advised", 1), advised("advised-later", 2), advised("advised-last", 3)];
    plain.into_iter().chain(ranked).collect()
}

impl Site {
    pub fn new(workers: usize) -> Self {
        let config = cells::config(DisabledMechanisms::default());
        let cell = Cell::new(1, config, queues(), Snapshot::default(), false, Millis(0));
        let mut site = Self {
            cell,
            now: 0,
            running: BTreeMap::new(),
            unanswered: Vec::new(),
            answers_starts: true,
            first_starts: BTreeMap::new(),
            store: BTreeMap::new(),
            workers,
            epoch: 1,
            end_count: 0,
            most: BTreeMap::new(),
        };
        site.list_workers();
        site.pass();
        site
    }

    fn list_workers(&mut self) {
        let room = Resources { cpu: WORKER_CPU, mem: 1 << 20, gpu: 0 };
        let domain = |index| if index == 0 { "first" } else { "other" };
        let listed = (0..self.workers).map(|index| listed_worker(index, domain(index), room));
        self.cell.set_workers(Millis(self.now), listed.collect());
        for index in 0..self.workers {
            self.report(&format!("w{index}").into(), Vec::new());
        }
    }

    /// Makes one decision, and records what it has visited.
    pub fn decide<T>(&mut self, kind: &'static str, decide: impl FnOnce(&mut Cell) -> T) -> T {
        let before = visits::count();
        let result = decide(&mut self.cell);
        let visited = visits::count() - before;
        let most = self.most.entry(kind).or_default();
        *most = visited.max(*most);
        result
    }

    pub fn submit(&mut self, key: u64, queue: &str, work: &Arc<JobDefinition>) {
        let now = Millis(self.now);
        let batch =
            self.decide("submit", |cell| cell.submit(now, JobKey(key), queue, work.clone()));
        assert!(batch.is_some());
    }

    /// Runs the periodic work and one scheduling pass after 100 ms, and carries out what they
    /// decide.
    pub fn pass(&mut self) {
        self.now += 100;
        let now = Millis(self.now);
        self.decide("tick", |cell| cell.tick(now, now));
        self.decide("schedule", |cell| cell.schedule(now));
        while let Some(batch) = self.decide("batch", |cell| cell.take_batch(now)) {
            self.store.extend(batch.records);
            self.decide("stored", |cell| cell.mark_stored(now, batch.number));
        }
        for action in self.cell.take_actions() {
            match action {
                Action::Start { worker, start, .. } => self.start(worker, start),
                Action::Stop { worker, task, run } => self.stop(&worker, task, run),
                _ => {}
            }
        }
    }

    pub fn passes(&mut self, count: usize) {
        (0..count).for_each(|_| self.pass());
    }

    /// Runs passes until as many tasks run.
    pub fn run_until_started(&mut self, count: usize) {
        for _ in 0..1_000 {
            if self.running_count() >= count {
                return;
            }
            self.pass();
        }
        panic!("{} of {count} tasks run", self.running_count());
    }

    pub fn running_count(&self) -> usize {
        self.running.values().map(Vec::len).sum()
    }

    fn start(&mut self, worker: Name, start: StartOrder) {
        if !self.answers_starts {
            return self.unanswered.push((worker, start));
        }
        let (now, task, run) = (Millis(self.now), start.task, start.run);
        self.first_starts.entry(task.step.job).or_insert(self.now);
        let done = OrderOutcome::Done(None);
        self.decide("outcome", |cell| cell.on_start_outcome(now, &worker, task, run, done));
        self.running.entry(worker).or_default().push(Started { task, run });
    }

    fn stop(&mut self, worker: &Name, task: TaskKey, run: u64) {
        let (now, done) = (Millis(self.now), OrderOutcome::Done(None));
        self.decide("outcome", |cell| cell.on_stop_outcome(now, worker, task, run, done));
        let stopped = self.running.entry(worker.clone()).or_default();
        let before = stopped.len();
        stopped.retain(|started| *started != Started { task, run });
        if stopped.len() < before {
            let ended = vec![self.end(Started { task, run }, EndReason::Stopped)];
            self.report(worker, ended);
        }
    }

    /// Tells the outcomes of all starts that were not answered, as one decision.
    pub fn answer_starts(&mut self, outcome: &OrderOutcome) {
        let (now, unanswered) = (Millis(self.now), std::mem::take(&mut self.unanswered));
        self.decide("outcomes", |cell| {
            for (worker, start) in unanswered {
                cell.on_start_outcome(now, &worker, start.task, start.run, outcome.clone());
            }
        });
    }

    fn end(&mut self, Started { task, run }: Started, reason: EndReason) -> EndedTask {
        self.end_count += 1;
        EndedTask { seq: self.end_count, task, run, reason, checkpoint: "".into() }
    }

    /// A worker reports these ends, and all other runs as running.
    pub fn report(&mut self, worker: &Name, ended: Vec<EndedTask>) {
        self.now += 1;
        let (sent, now) = (Millis(self.now), Millis(self.now));
        let running = self.running.get(worker).into_iter().flatten();
        let running = running.map(|started| rows::running(started.task, started.run)).collect();
        let report = WorkerReport { clock: self.now, running, ended, ..WorkerReport::default() };
        self.cell.report_call(now, worker, true);
        self.decide("report", |cell| cell.on_report(now, sent, worker, &report));
    }

    /// All runs on all workers end, each worker in one report.
    pub fn end_all(&mut self, reason: EndReason) {
        for (worker, runs) in std::mem::take(&mut self.running) {
            let ended = runs.into_iter().map(|started| self.end(started, reason)).collect();
            self.report(&worker, ended);
        }
    }

    /// All workers report that nothing has changed.
    pub fn report_all(&mut self) {
        for index in 0..self.workers {
            self.report(&format!("w{index}").into(), Vec::new());
        }
    }

    /// Another owner takes over with what the store has.
    pub fn take_over(&mut self) {
        let mut snapshot = Snapshot::default();
        for (key, value) in &self.store {
            snapshot.apply(key, value).expect("a record");
        }
        self.epoch += 1;
        let (epoch, now) = (self.epoch, Millis(self.now));
        let config = cells::config(DisabledMechanisms::default());
        let before = visits::count();
        self.cell = Cell::new(epoch, config, queues(), snapshot, false, now);
        self.most.insert("takeover", visits::count() - before);
        self.list_workers();
    }
}

/// The key of the first step of a job.
pub fn first_step(job: u64) -> StepKey {
    StepKey { job: JobKey(job), repetition: 0, step: 0 }
}

/// Plays a load with one size and with twice that, and checks that no decision visits much more
/// than twice as many elements.
pub fn check_growth(size: usize, play: impl Fn(usize) -> Site) {
    /// Twice, and a margin for what grows a little faster, such as sorting. Where one thing is done for
    /// each of many it is four times.
    const MOST_GROWTH: f64 = 2.5;
    /// Visits that don't depend on the size.
    const FIXED: u64 = 1_000;
    let (single, double) = (play(size).most, play(2 * size).most);
    let grows = |(kind, visited): (&'static str, u64)| {
        let before = single.get(kind).copied().unwrap_or_default();
        let limit = (before as f64 * MOST_GROWTH) as u64 + FIXED;
        (visited > limit).then(|| format!("{kind}: {before} and {visited}"))
    };
    let found: Vec<String> = double.into_iter().filter_map(grows).collect();
    assert!(found.is_empty(), "visits for {size} and {}: {found:?}", 2 * size);
}
