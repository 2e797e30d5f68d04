//! Preemption: large urgent tasks compete with small tasks of a less urgent queue that keep all
//! workers partly occupied.

mod cells;
mod preemptload;

use preemptload::{Outcome, replay};
use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::{Action, Cell};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{
    EndReason, EndedTask, OrderOutcome, RunningTask, StartOrder, WorkerInfo, WorkerReport,
};
use sprucerudder::workload::{JobDefinition, JobKey, Queue, Resources, Step, TaskKey};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

const WORKERS: usize = 4;
/// Run time of a small task, in milliseconds.
const SMALL_RUN_MS: u64 = 4_000;
/// Run time of a large task, in milliseconds.
const LARGE_RUN_MS: u64 = 3_000;
/// Time that a worker takes to stop a run, in milliseconds.
const STOP_MS: u64 = 400;

fn queue(name: &str, priority: u32) -> (Name, Arc<Queue>) {
    let (name, service): (Name, Name) = (name.into(), "s".into());
    let target = Millis(1_000);
    let row = Queue {
        name: name.clone(),
        service,
        priority,
        max_attempts: 2,
        stretch: 2_000,
        target,
        advice: None,
    };
    (name, Arc::new(row))
}

/// A worker with eight accelerators; `runs` holds when and how each of its runs ends.
struct Worker {
    listed: WorkerInfo,
    runs: BTreeMap<(TaskKey, u64), (u64, EndReason)>,
    end_count: u64,
}

/// An owner with its workers on a virtual clock.
struct Cluster {
    cell: Cell,
    workers: Vec<Worker>,
    now: u64,
    /// First start of each job.
    first_starts: BTreeMap<JobKey, u64>,
    stop_orders: Vec<(TaskKey, u64)>,
}

impl Cluster {
    fn new() -> Self {
        let config = cells::config(DisabledMechanisms::default());
        let queues = HashMap::from([queue("large", 1), queue("small", 2)]);
        let mut cell = Cell::new(1, config, queues, Snapshot::default(), false, Millis(0));
        let workers: Vec<Worker> = (0..WORKERS).map(worker).collect();
        cell.set_workers(Millis(0), workers.iter().map(|worker| worker.listed.clone()).collect());
        let mut cluster =
            Self { cell, workers, now: 1, first_starts: BTreeMap::new(), stop_orders: Vec::new() };
        cluster.step();
        cluster
    }

    fn submit(&mut self, key: u64, queue: &str, step: Step) {
        let work = JobDefinition {
            payload: "".into(),
            steps: vec![step],
            repetitions: 1,
            first_due: Millis(0),
            interval: Millis(0),
        };
        assert!(self.cell.submit(Millis(self.now), JobKey(key), queue, Arc::new(work)).is_some());
    }

    /// Advances the clock by 20 ms: workers report, the owner schedules, its orders are carried
    /// out.
    fn step(&mut self) {
        self.now += 20;
        let now = Millis(self.now);
        for worker in &mut self.workers {
            let is_due =
                |(_, (reason, _)): &(&(TaskKey, u64), &(u64, EndReason))| *reason <= self.now;
            let ended_runs: Vec<_> =
                worker.runs.iter().filter(is_due).map(|(k, v)| (*k, v.1)).collect();
            let mut ended = Vec::new();
            for ((task, run), reason) in ended_runs {
                worker.runs.remove(&(task, run));
                worker.end_count += 1;
                ended.push(EndedTask {
                    seq: worker.end_count,
                    task,
                    run,
                    reason,
                    checkpoint: "s".into(),
                });
            }
            let running_row = |(task, run): &(TaskKey, u64)| RunningTask {
                task: *task,
                run: *run,
                checkpoint: format!("{}", self.now / 500).into(),
                pace_percent: 100,
                gauge: None,
            };
            let running = worker.runs.keys().map(running_row).collect();
            let report =
                WorkerReport { clock: self.now, running, ended, ..WorkerReport::default() };
            let name = worker.listed.id.clone();
            self.cell.report_call(now, &name, true);
            self.cell.on_report(now, now, &name, &report);
        }
        cells::run_pass(&mut self.cell, now);
        for action in self.cell.take_actions() {
            match action {
                Action::Start { worker, start, .. } => self.start(&worker, &start),
                Action::Stop { worker, task, run } => self.stop(&worker, task, run),
                _ => {}
            }
        }
    }

    fn start(&mut self, name: &Name, start: &StartOrder) {
        let large = start.task.step.job.0 >= 1_000;
        let end = self.now + if large { LARGE_RUN_MS } else { SMALL_RUN_MS };
        let worker = self.workers.iter_mut().find(|worker| worker.listed.id == *name).unwrap();
        worker.runs.insert((start.task, start.run), (end, EndReason::Done));
        self.first_starts.entry(start.task.step.job).or_insert(self.now);
        let done = OrderOutcome::Done(None);
        self.cell.on_start_outcome(Millis(self.now), name, start.task, start.run, done);
    }

    fn stop(&mut self, name: &Name, task: TaskKey, run: u64) {
        self.stop_orders.push((task, self.now));
        let worker = self.workers.iter_mut().find(|worker| worker.listed.id == *name).unwrap();
        if let Some(row) = worker.runs.get_mut(&(task, run)) {
            *row = (self.now + STOP_MS, EndReason::Stopped);
        }
        self.cell.on_stop_outcome(Millis(self.now), name, task, run, OrderOutcome::Done(None));
    }
}

fn worker(no: usize) -> Worker {
    let listed = cells::listed_worker(no, "d", Resources { cpu: 64_000, mem: 64_000, gpu: 8 });
    Worker { listed, runs: BTreeMap::new(), end_count: 0 }
}

fn tasks(count: u32, gpu: u64) -> Step {
    let resources = Resources { cpu: gpu * 1_000, mem: 1_000, gpu };
    Step { count, resources, has_checkpoints: true, estimate: Millis(3_000), ..Step::default() }
}

/// Longest wait in milliseconds of large jobs that each fill a worker. One is submitted every 1.5
/// s, while small jobs of one accelerator arrive faster than they can be served.
fn longest_wait(small: Step) -> (u64, Cluster) {
    let mut cluster = Cluster::new();
    let mut submitted_at = BTreeMap::new();
    for no in 0..900 {
        if no % 5 == 0 {
            cluster.submit(no + 1, "small", small.clone());
        }
        if no > 100 && no % 75 == 0 {
            cluster.submit(1_000 + no, "large", tasks(1, 8));
            submitted_at.insert(JobKey(1_000 + no), cluster.now);
        }
        cluster.step();
    }
    let waits = submitted_at.iter().filter(|(_, at)| **at < cluster.now - 4_000);
    let wait = |(job, at): (&JobKey, &u64)| {
        cluster.first_starts.get(job).map_or(u64::MAX, |time| time - at)
    };
    (waits.map(wait).max().unwrap(), cluster)
}

#[test]
fn large_urgent_tasks_start_soon_despite_a_stream_of_small_ones() {
    let (wait, cluster) = longest_wait(tasks(1, 1));
    assert!(wait < 2_500, "{wait} ms");
    assert!(!cluster.stop_orders.is_empty());
}

#[test]
fn a_task_that_fills_a_worker_is_not_starved_by_tasks_that_fill_half() {
    let mut cluster = Cluster::new();
    // Two of these tasks fit a worker; one arrives every 240 ms, while four workers complete eight
    // of them in 3 s.
    let mut large = None;
    for no in 0..800 {
        if no % 12 == 0 {
            cluster.submit(2_000 + no, "large", tasks(1, 4));
        }
        if no == 200 {
            large = Some(cluster.now);
            cluster.submit(1_000, "large", tasks(1, 8));
        }
        cluster.step();
    }
    let wait = cluster.first_starts.get(&JobKey(1_000)).map(|at| at - large.unwrap());
    assert!(wait.is_some_and(|wait| wait < 2 * LARGE_RUN_MS), "{wait:?}");
}

#[test]
fn tasks_that_do_not_save_their_progress_are_not_stopped() {
    let (_, cluster) = longest_wait(Step { has_checkpoints: false, ..tasks(1, 1) });
    assert_eq!(cluster.stop_orders, Vec::new());
}

#[test]
fn less_urgent_tasks_preempt_nothing() {
    let mut cluster = Cluster::new();
    for no in 0..WORKERS as u64 {
        cluster.submit(1_000 + no, "large", tasks(1, 8));
    }
    for _ in 0..20 {
        cluster.step();
    }
    cluster.submit(1, "small", tasks(1, 1));
    for _ in 0..60 {
        cluster.step();
    }
    assert_eq!(cluster.stop_orders, Vec::new());
}

#[test]
fn resources_freed_by_preemption_are_reserved_for_their_step() {
    let mut cluster = Cluster::new();
    cluster.submit(1, "small", tasks(32, 1));
    for _ in 0..10 {
        cluster.step();
    }
    cluster.submit(1_000, "large", tasks(1, 8));
    for no in 0..80 {
        cluster.submit(100 + no, "small", tasks(1, 1));
        cluster.step();
    }
    let large = cluster.first_starts.get(&JobKey(1_000)).copied();
    let first = cluster.stop_orders.first().map(|(_, at)| *at).unwrap();
    assert!(large.is_some_and(|at| at <= first + STOP_MS + 100), "{large:?} after {first}");
    assert_eq!(cluster.stop_orders.len(), 8, "each small task of one worker is stopped once");
}

#[test]
fn a_gang_is_not_starved_by_tasks_that_start_one_by_one() {
    let mut cluster = Cluster::new();
    // Eight of these tasks fit the workers and run for 3 s; one arrives every 400 ms.
    let mut gang = None;
    for no in 0..1_000 {
        if no % 20 == 0 {
            cluster.submit(2_000 + no, "large", tasks(1, 4));
        }
        if no == 200 {
            gang = Some(cluster.now);
            cluster.submit(1_000, "large", Step { is_gang: true, ..tasks(6, 4) });
        }
        cluster.step();
    }
    let wait = cluster.first_starts.get(&JobKey(1_000)).map(|at| at - gang.unwrap());
    assert!(wait.is_some_and(|wait| wait < 3 * LARGE_RUN_MS), "{wait:?}");
}

/// Seeds of the replays. Single ones differ by a tenth of the work on time.
const REPLAY_SEEDS: std::ops::Range<u64> = 1..7;

/// The sums of the replays of all seeds with some mechanisms disabled.
fn replay_all(disabled: DisabledMechanisms) -> Outcome {
    REPLAY_SEEDS.map(|seed| replay(seed, disabled)).fold(Outcome::default(), Outcome::plus)
}

#[test]
fn stops_by_gain_and_cost_leave_at_least_as_much_work_on_time() {
    // Stops of batch runs for gangs cost a second start and a second request for each, while gangs
    // that would be on time anyway, or were late in any case, gained nothing.
    let rules = ["preempt", "preempt-account"].map(|name| name.parse().unwrap());
    let [none, earlier] = rules.map(replay_all);
    let account = replay_all(DisabledMechanisms::default());
    println!("none {none:?}\nearlier {earlier:?}\naccount {account:?}");
    assert_eq!(none.stops, 0, "the replay stops nothing by itself");
    assert!(account.on_time >= none.on_time, "{account:?} without preemption {none:?}");
    assert!(account.on_time >= earlier.on_time, "{account:?} by the earlier rule {earlier:?}");
    assert!(account.stops * 10 < earlier.stops * 7, "{account:?} by the earlier rule {earlier:?}");
}
