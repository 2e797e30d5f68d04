//! Workers of different speeds: where tight work and work with time to spare run, replayed on a
//! virtual clock.
//!
//! A third of the workers took twice as long as the others. The choice of a worker did not know that,
//! so a third of the urgent tasks was late however soon they started.

mod rows;

use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::workers::speed::{Speed, SpeedClass};
use sprucerudder::cell::{Action, Cell, CellConfig};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{
    EndReason, EndedTask, OrderOutcome, StartOrder, WorkerInfo, WorkerReport,
};
use sprucerudder::workload::{JobDefinition, JobKey, Queue, Resources, Step, TaskKey};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

const WORKERS: u64 = 30;
/// Work of an urgent task; its objective is 1.5 times that and a quarter of a second.
const URGENT_MS: u64 = 900;
/// Work of a task with time to spare.
const SLACK_MS: u64 = 2_000;
/// Run times on two thirds of the workers and on the others, in percent of the work.
const FAST_PERCENT: u64 = 70;
const SLOW_PERCENT: u64 = 170;
const TICK_MS: u64 = 100;

fn queue(name: &str, priority: u32, stretch: u64, target: u64) -> (Name, Arc<Queue>) {
    let queue = Queue {
        name: name.into(),
        service: "s".into(),
        priority,
        max_attempts: 2,
        stretch,
        target: Millis(target),
        advice: None,
    };
    (queue.name.clone(), Arc::new(queue))
}

fn worker_name(index: u64) -> Name {
    format!("w{index:02}").into()
}

fn is_slow(index: u64) -> bool {
    index % 3 == 2
}

struct Cluster {
    cell: Cell,
    now: u64,
    /// The runs of each worker, with when they end.
    runs: BTreeMap<u64, BTreeMap<(TaskKey, u64), u64>>,
    end_counts: BTreeMap<u64, u64>,
    /// Urgent jobs that ended, and those that were late.
    ended: u32,
    late: u32,
    submitted_at: BTreeMap<JobKey, u64>,
    /// Starts of tasks with time to spare on slow workers and on others.
    slack_starts: (u32, u32),
}

impl Cluster {
    fn new() -> Self {
        let config = CellConfig {
            lease: Millis(6_000),
            max_lease: Millis(10_000),
            job_retention: Millis(100_000),
            disabled: DisabledMechanisms::default(),
            memory: None,
        };
        let queues =
            HashMap::from([queue("urgent", 0, 1_500, 250), queue("slack", 2, 4_000, 3_000)]);
        let mut cell = Cell::new(1, config, queues, Snapshot::default(), false, Millis(0));
        let listed = |index| WorkerInfo {
            id: worker_name(index),
            started_at: None,
            service: "s".into(),
            addr: worker_name(index),
            domain: "a".into(),
            capacity: Resources { cpu: 4_000, mem: 4_000, gpu: 0 },
            labels: vec!["k".into(), "r".into()],
            leaves_in: None,
        };
        cell.set_workers(Millis(0), (0..WORKERS).map(listed).collect());
        let mut cluster = Self {
            cell,
            now: 0,
            runs: (0..WORKERS).map(|index| (index, BTreeMap::new())).collect(),
            end_counts: BTreeMap::new(),
            ended: 0,
            late: 0,
            submitted_at: BTreeMap::new(),
            slack_starts: (0, 0),
        };
        cluster.store_all();
        cluster.report_all();
        cluster
    }

    fn store_all(&mut self) {
        while let Some(batch) = self.cell.take_batch(Millis(self.now)) {
            self.cell.mark_stored(Millis(self.now), batch.number);
        }
    }

    /// Lets all workers report the runs that have ended.
    fn report_all(&mut self) {
        for index in 0..WORKERS {
            let runs = self.runs.get_mut(&index).unwrap();
            let done: Vec<(TaskKey, u64)> =
                runs.iter().filter(|(_, end)| **end <= self.now).map(|(key, _)| *key).collect();
            let count = self.end_counts.entry(index).or_default();
            let mut ended = Vec::new();
            for (task, run) in done {
                let end = runs.remove(&(task, run)).unwrap();
                *count += 1;
                let reason = EndReason::Done;
                ended.push(EndedTask { seq: *count, task, run, reason, checkpoint: "".into() });
                if task.step.job.0 % 2 == 0 {
                    let objective = URGENT_MS * 3 / 2 + 250;
                    self.ended += 1;
                    self.late += u32::from(end > self.submitted_at[&task.step.job] + objective);
                }
            }
            let running = runs.keys().map(|(task, run)| rows::running(*task, *run)).collect();
            let clock = 1_000 + self.now;
            let report = WorkerReport { clock, running, ended, ..WorkerReport::default() };
            let now = Millis(self.now);
            self.cell.report_call(now, &worker_name(index), true);
            self.cell.on_report(now, now, &worker_name(index), &report);
        }
    }

    fn submit(&mut self, key: u64, queue: &str, estimate: u64) {
        let step = Step {
            count: 1,
            resources: Resources { cpu: 1_000, mem: 1_000, gpu: 0 },
            estimate: Millis(estimate),
            ..Step::default()
        };
        let work = JobDefinition {
            payload: "t".into(),
            steps: vec![step],
            repetitions: 1,
            first_due: Millis(0),
            interval: Millis(0),
        };
        self.submitted_at.insert(JobKey(key), self.now);
        assert!(self.cell.submit(Millis(self.now), JobKey(key), queue, Arc::new(work)).is_some());
    }

    fn start(&mut self, worker: &Name, start: &StartOrder) {
        let index: u64 = worker[1..].parse().unwrap();
        let is_urgent = start.task.step.job.0 % 2 == 0;
        let work = if is_urgent { URGENT_MS } else { SLACK_MS };
        let percent = if is_slow(index) { SLOW_PERCENT } else { FAST_PERCENT };
        let end = self.now + work * percent / 100;
        self.runs.get_mut(&index).unwrap().insert((start.task, start.run), end);
        let done = OrderOutcome::Done(None);
        self.cell.on_start_outcome(Millis(self.now), worker, start.task, start.run, done);
        match (is_urgent, is_slow(index)) {
            (true, _) => {}
            (false, true) => self.slack_starts.0 += 1,
            (false, false) => self.slack_starts.1 += 1,
        }
    }

    /// Runs for a time in which jobs of both kinds take about half of the workers.
    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 / TICK_MS {
            self.now += TICK_MS;
            for job in 0..4 {
                let key = self.now * 100 + job;
                match job % 2 {
                    0 => self.submit(key, "urgent", URGENT_MS),
                    _ => self.submit(key, "slack", SLACK_MS),
                }
            }
            self.report_all();
            self.cell.tick(Millis(self.now), Millis(self.now));
            self.cell.schedule(Millis(self.now));
            self.store_all();
            for action in self.cell.take_actions() {
                if let Action::Start { worker, start, .. } = action {
                    self.start(&worker, &start);
                }
            }
        }
    }
}

#[test]
fn urgent_tasks_run_on_fast_workers_once_speeds_are_known() {
    let mut cluster = Cluster::new();
    cluster.run(10);
    (cluster.ended, cluster.late) = (0, 0);
    cluster.run(30);
    assert!(cluster.ended > 400, "{} ended", cluster.ended);
    let share = f64::from(cluster.late) / f64::from(cluster.ended);
    assert!(share <= 0.05, "{share} of the urgent tasks were late");
}

#[test]
fn slow_workers_get_work_that_has_time() {
    // If all work went to the fast workers, urgent tasks would wait there for room.
    let mut cluster = Cluster::new();
    cluster.run(10);
    cluster.slack_starts = (0, 0);
    cluster.run(30);
    let (slow, others) = cluster.slack_starts;
    // They are a third of the workers, and a run keeps its room there 2.4 times as long.
    assert!(slow * 3 > slow + others, "{slow} on slow workers, {others} on others");
}

#[test]
fn a_worker_is_classified_after_a_few_runs() {
    let mut speed = Speed::default();
    speed.add(Millis(1_000), Millis(1_700));
    assert_eq!(speed.class(), SpeedClass::Usual, "a single run says little");
    (0..5).for_each(|_| speed.add(Millis(1_000), Millis(1_700)));
    assert_eq!(speed.class(), SpeedClass::Slow);
    (0..60).for_each(|_| speed.add(Millis(1_000), Millis(1_000)));
    assert_eq!(speed.class(), SpeedClass::Usual, "a slow spell is over");
    (0..60).for_each(|_| speed.add(Millis(1_000), Millis(700)));
    assert_eq!(speed.class(), SpeedClass::Fast);
}

#[test]
fn one_stalled_run_does_not_make_a_worker_slow() {
    let mut speed = Speed::default();
    (0..20).for_each(|_| speed.add(Millis(1_000), Millis(1_000)));
    speed.add(Millis(1_000), Millis(60_000));
    assert_eq!(speed.class(), SpeedClass::Usual);
}
