//! Large urgent tasks beside small ones of a less urgent queue that keep all workers partly taken.

use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::{Action, Cell, CellConfig};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{
    EndReason, EndedTask, OrderOutcome, RunningTask, StartOrder, WorkerInfo, WorkerReport,
};
use sprucerudder::workload::{JobDefinition, JobKey, Queue, Resources, Step, TaskKey};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

const WORKERS: usize = 4;
/// How long a small and a large task run, in milliseconds.
const SMALL: u64 = 4_000;
const LARGE: u64 = 3_000;
/// How long a stop takes.
const STOP: u64 = 400;

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

/// A worker with eight accelerators, and when each run there ends and how.
struct Worker {
    listed: WorkerInfo,
    runs: BTreeMap<(TaskKey, u64), (u64, EndReason)>,
    count: u64,
}

/// An owner, its workers and a virtual clock.
struct World {
    cell: Cell,
    workers: Vec<Worker>,
    now: u64,
    /// When each job first started, and each stop.
    first: BTreeMap<JobKey, u64>,
    stops: Vec<(TaskKey, u64)>,
}

impl World {
    fn new() -> Self {
        let bounds = CellConfig {
            lease: Millis(6_000),
            max_lease: Millis(10_000),
            job_retention: Millis(100_000),
            disabled: DisabledMechanisms::default(),
        };
        let queues = HashMap::from([queue("large", 1), queue("small", 2)]);
        let mut cell = Cell::new(1, bounds, queues, Snapshot::default(), false, Millis(0));
        let workers: Vec<Worker> = (0..WORKERS).map(worker).collect();
        cell.set_workers(Millis(0), workers.iter().map(|worker| worker.listed.clone()).collect());
        let mut world = Self { cell, workers, now: 1, first: BTreeMap::new(), stops: Vec::new() };
        world.step();
        world
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

    /// 20 ms go by.
    fn step(&mut self) {
        self.now += 20;
        let now = Millis(self.now);
        for worker in &mut self.workers {
            let due = |(_, (reason, _)): &(&(TaskKey, u64), &(u64, EndReason))| *reason <= self.now;
            let over: Vec<_> = worker.runs.iter().filter(due).map(|(k, v)| (*k, v.1)).collect();
            let mut ended = Vec::new();
            for ((task, run), reason) in over {
                worker.runs.remove(&(task, run));
                worker.count += 1;
                ended.push(EndedTask {
                    seq: worker.count,
                    task,
                    run,
                    reason,
                    checkpoint: "s".into(),
                });
            }
            let goes_on = |(task, run): &(TaskKey, u64)| RunningTask {
                task: *task,
                run: *run,
                checkpoint: format!("{}", self.now / 500).into(),
                pace_percent: 100,
                gauge: None,
            };
            let running = worker.runs.keys().map(goes_on).collect();
            let report =
                WorkerReport { clock: self.now, running, ended, ..WorkerReport::default() };
            let name = worker.listed.id.clone();
            self.cell.report_call(now, &name, true);
            self.cell.on_report(now, now, &name, &report);
        }
        self.cell.tick(now, now);
        self.cell.schedule(now);
        while let Some(batch) = self.cell.take_batch(now) {
            self.cell.mark_stored(now, batch.number);
        }
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
        let end = self.now + if large { LARGE } else { SMALL };
        let worker = self.workers.iter_mut().find(|worker| worker.listed.id == *name).unwrap();
        worker.runs.insert((start.task, start.run), (end, EndReason::Done));
        self.first.entry(start.task.step.job).or_insert(self.now);
        let done = OrderOutcome::Done(None);
        self.cell.on_start_outcome(Millis(self.now), name, start.task, start.run, done);
    }

    fn stop(&mut self, name: &Name, task: TaskKey, run: u64) {
        self.stops.push((task, self.now));
        let worker = self.workers.iter_mut().find(|worker| worker.listed.id == *name).unwrap();
        if let Some(row) = worker.runs.get_mut(&(task, run)) {
            *row = (self.now + STOP, EndReason::Stopped);
        }
        self.cell.on_stop_outcome(Millis(self.now), name, task, run, OrderOutcome::Done(None));
    }
}

fn worker(no: usize) -> Worker {
    let id: Name = format!("w{no}").into();
    let listed = WorkerInfo {
        id: id.clone(),
        started_at: None,
        service: "s".into(),
        addr: id,
        domain: "d".into(),
        capacity: Resources { cpu: 64_000, mem: 64_000, gpu: 8 },
        labels: Vec::new(),
        leaves_in: None,
    };
    Worker { listed, runs: BTreeMap::new(), count: 0 }
}

fn tasks(count: u32, gpu: u64) -> Step {
    let resources = Resources { cpu: gpu * 1_000, mem: 1_000, gpu };
    Step { count, resources, has_checkpoints: true, estimate: Millis(3_000), ..Step::default() }
}

/// The longest wait of large jobs of one whole worker each, one every 1.5 s, while small jobs of one
/// accelerator come faster than they can be served.
fn longest_wait(small: Step) -> (u64, World) {
    let mut world = World::new();
    let mut sent = BTreeMap::new();
    for no in 0..900 {
        if no % 5 == 0 {
            world.submit(no + 1, "small", small.clone());
        }
        if no > 100 && no % 75 == 0 {
            world.submit(1_000 + no, "large", tasks(1, 8));
            sent.insert(JobKey(1_000 + no), world.now);
        }
        world.step();
    }
    let waits = sent.iter().filter(|(_, at)| **at < world.now - 4_000);
    let wait = |(job, at): (&JobKey, &u64)| world.first.get(job).map_or(u64::MAX, |time| time - at);
    (waits.map(wait).max().unwrap(), world)
}

#[test]
fn large_urgent_tasks_start_soon_among_small_ones_that_come_all_the_time() {
    let (wait, world) = longest_wait(tasks(1, 1));
    assert!(wait < 2_500, "{wait} ms");
    assert!(!world.stops.is_empty());
}

#[test]
fn a_task_that_needs_a_whole_worker_is_not_passed_by_all_that_need_half_of_one() {
    let mut world = World::new();
    // Two of the same queue fit each worker; one comes every 240 ms, and four workers serve eight in 3 s.
    let mut large = None;
    for no in 0..800 {
        if no % 12 == 0 {
            world.submit(2_000 + no, "large", tasks(1, 4));
        }
        if no == 200 {
            large = Some(world.now);
            world.submit(1_000, "large", tasks(1, 8));
        }
        world.step();
    }
    let wait = world.first.get(&JobKey(1_000)).map(|at| at - large.unwrap());
    assert!(wait.is_some_and(|wait| wait < 2 * LARGE), "{wait:?}");
}

#[test]
fn tasks_that_do_not_save_their_progress_are_not_stopped() {
    let (_, world) = longest_wait(Step { has_checkpoints: false, ..tasks(1, 1) });
    assert_eq!(world.stops, Vec::new());
}

#[test]
fn nothing_is_stopped_for_less_urgent_tasks() {
    let mut world = World::new();
    for no in 0..WORKERS as u64 {
        world.submit(1_000 + no, "large", tasks(1, 8));
    }
    for _ in 0..20 {
        world.step();
    }
    world.submit(1, "small", tasks(1, 1));
    for _ in 0..60 {
        world.step();
    }
    assert_eq!(world.stops, Vec::new());
}

#[test]
fn room_that_was_made_is_kept_for_the_step_that_it_was_made_for() {
    let mut world = World::new();
    world.submit(1, "small", tasks(32, 1));
    for _ in 0..10 {
        world.step();
    }
    world.submit(1_000, "large", tasks(1, 8));
    for no in 0..80 {
        world.submit(100 + no, "small", tasks(1, 1));
        world.step();
    }
    let large = world.first.get(&JobKey(1_000)).copied();
    let first = world.stops.first().map(|(_, at)| *at).unwrap();
    assert!(large.is_some_and(|at| at <= first + STOP + 100), "{large:?} after {first}");
    assert_eq!(world.stops.len(), 8, "each small task of one worker, once");
}

#[test]
fn a_gang_is_not_passed_for_ever_by_tasks_that_find_room_one_by_one() {
    let mut world = World::new();
    // Eight of the same queue fit the workers, and run for 3 s; one comes every 400 ms.
    let mut gang = None;
    for no in 0..1_000 {
        if no % 20 == 0 {
            world.submit(2_000 + no, "large", tasks(1, 4));
        }
        if no == 200 {
            gang = Some(world.now);
            world.submit(1_000, "large", Step { is_gang: true, ..tasks(6, 4) });
        }
        world.step();
    }
    let wait = world.first.get(&JobKey(1_000)).map(|at| at - gang.unwrap());
    assert!(wait.is_some_and(|wait| wait < 3 * LARGE), "{wait:?}");
}
