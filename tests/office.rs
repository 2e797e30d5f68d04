//! The owner's decisions on a virtual clock: placement, limits, gangs, cancels, sick workers.

use sprucerudder::clock::Millis;
use sprucerudder::controller::list::{Role, Vm};
use sprucerudder::controller::replica::StateSnapshot;
use sprucerudder::controller::shard::StateSource;
use sprucerudder::controller::shard::owner::{Action, Answer, Event, Refusal, ShardOwner};
use sprucerudder::id::{EntryId, JobId, Name, TaskId};
use sprucerudder::job::{JobSpec, TaskOutcome};
use sprucerudder::platform::api::{Report, Running, TaskReply};
use sprucerudder::record::Claim;
use sprucerudder::size::Size;
use sprucerudder::table::Table;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const HEAD: &str =
    "kind,team,class,weight,limit,queue,deadline,repeat,retries,pack,spread,quota,site:d";
const ROWS: &str = "\
urgent,t,batch,100,100,100,60000,yes,1,10,0,0,1
bulk,t,batch,1,100,100,60000,yes,1,10,0,0,1
apart,t,service,50,100,100,60000,yes,1,0,10,0,1
few,t,batch,50,2,3,60000,yes,1,10,0,0,1
small-team,u,batch,50,100,100,60000,yes,1,10,0,2000,1
once,t,batch,50,100,100,60000,no,0,10,0,0,1
";

/// An owner without replicas besides itself: what it notes is committed at once.
struct Desk {
    now: Millis,
    shard_owner: ShardOwner,
    jobs: u64,
    running: BTreeMap<TaskId, Name>,
    stopped: Vec<TaskId>,
    answers: Vec<Answer>,
}

fn table() -> Arc<Table> {
    Arc::new(Table::parse(&format!("{HEAD}\n{ROWS}")).expect("table"))
}

fn worker(name: &str, size: Size) -> Vm {
    Vm {
        name: name.into(),
        role: Role::Worker,
        addr: "127.0.0.1:1".into(),
        domain: "d".into(),
        rack: "rack".into(),
        size,
        slots: 0,
        leaving: false,
    }
}

impl Desk {
    fn new(sizes: &[Size]) -> Self {
        let owner = EntryId { name: "e".into(), incarnation: 1 };
        let [shard, domain] = ["rack", "d"].map(Name::from);
        let claim = Claim { shard, domain, epoch: 1, owner, replicas: Vec::new() };
        let now = Millis(1_000_000);
        let source = StateSource::State(Box::<StateSnapshot>::default());
        let shard_owner =
            ShardOwner::new(&claim, source, BTreeSet::new(), Vec::new(), table(), now);
        let (jobs, running, stopped, answers) = (0, BTreeMap::new(), Vec::new(), Vec::new());
        let mut desk = Self { now, shard_owner, jobs, running, stopped, answers };
        let named = (0..).zip(sizes).map(|(i, size)| worker(&format!("w{i}"), *size));
        desk.step(Event::WorkerList { rev: 1, vms: named.collect() });
        desk
    }

    fn up(sizes: &[Size]) -> Self {
        let mut desk = Self::new(sizes);
        desk.report_all();
        desk
    }

    fn step(&mut self, event: Event) {
        let mut actions = self.shard_owner.step(self.now, event);
        while let Some(record) = self.shard_owner.log_record() {
            drop(record);
            let (epoch, seq) = (self.shard_owner.epoch(), u64::MAX);
            actions.extend(self.shard_owner.step(self.now, Event::Logged { epoch, seq }));
        }
        for action in actions {
            match action {
                Action::Start { worker, order } => {
                    self.running.insert(order.task.clone(), worker);
                    let (task, reply) = (order.task, Some(TaskReply::Running));
                    self.step(Event::CommandReply { task, stop: false, reply });
                }
                Action::Stop { task, .. } => {
                    self.running.remove(&task);
                    self.stopped.push(task.clone());
                    let reply = Some(TaskReply::Ended(TaskOutcome::Stopped));
                    self.step(Event::CommandReply { task, stop: true, reply });
                }
                Action::Reply { answer, .. } => self.answers.push(answer),
                _ => {}
            }
        }
    }

    fn report_all(&mut self) {
        for worker in self.shard_owner.workers() {
            let asked = self.now;
            let here = self.running.iter().filter(|(_, on)| **on == worker);
            let running = here.map(|(task, _)| Running {
                task: task.clone(),
                kind: "any".into(),
                size: Size::default(),
                usage: Size::default(),
            });
            let running = running.collect();
            let report = Report { inc: 1, running, ..Report::default() };
            self.step(Event::Report { worker, asked, report });
        }
    }

    fn end(&mut self, task: &TaskId, outcome: TaskOutcome) {
        self.running.remove(task);
        let (task, reply) = (task.clone(), Some(TaskReply::Ended(outcome)));
        self.step(Event::CommandReply { task, stop: false, reply });
    }

    fn submit(&mut self, kind: &str, tasks: u32, gang: bool, size: Size) -> JobId {
        self.jobs += 1;
        let job = JobId { shard: "rack".into(), number: self.jobs };
        let team = if kind == "small-team" { "u" } else { "t" };
        let spec = JobSpec {
            kind: kind.into(),
            team: team.into(),
            tasks,
            gang,
            size,
            run_time: Millis(1_000),
            repeatable: kind != "once",
        };
        self.step(Event::Submit { token: self.jobs, job: job.clone(), spec });
        job
    }

    fn cancel(&mut self, job: &JobId) {
        self.jobs += 1;
        self.step(Event::Cancel { token: self.jobs, job: job.clone() });
    }

    fn running_of(&self, job: &JobId) -> Vec<Name> {
        let mine = self.running.iter().filter(|(task, _)| task.job == *job);
        mine.map(|(_, worker)| worker.clone()).collect()
    }

    fn tasks_of(&self, job: &JobId) -> Vec<TaskId> {
        self.running.keys().filter(|task| task.job == *job).cloned().collect()
    }
}

const ROOM: Size = Size::new(4_000, 8_000, 0);
const HALF: Size = Size::new(2_000, 1_000, 0);

#[test]
fn a_worker_that_reports_between_two_submits_gets_the_first_task_too() {
    let mut desk = Desk::new(&[ROOM]);
    let first = desk.submit("bulk", 1, false, HALF);
    desk.report_all();
    let second = desk.submit("urgent", 1, false, HALF);
    desk.now = desk.now + Millis(200);
    desk.step(Event::Tick);
    assert_eq!(desk.running_of(&second).len(), 1);
    assert_eq!(desk.running_of(&first).len(), 1);
}

#[test]
fn urgent_work_goes_first_and_old_work_is_not_starved() {
    let mut desk = Desk::up(&[ROOM]);
    let holder = desk.submit("bulk", 1, false, ROOM);
    let bulk = desk.submit("bulk", 1, false, ROOM);
    let urgent = desk.submit("urgent", 1, false, ROOM);
    let task = desk.tasks_of(&holder).remove(0);
    desk.end(&task, TaskOutcome::Done);
    assert_eq!((desk.running_of(&urgent).len(), desk.running_of(&bulk).len()), (1, 0));
    desk.now = desk.now + Millis(150_000);
    desk.report_all();
    let late = desk.submit("urgent", 1, false, ROOM);
    let task = desk.tasks_of(&urgent).remove(0);
    desk.end(&task, TaskOutcome::Done);
    assert_eq!((desk.running_of(&late).len(), desk.running_of(&bulk).len()), (0, 1));
}

#[test]
fn batch_is_packed_and_services_are_spread() {
    let mut desk = Desk::up(&[ROOM, ROOM, ROOM]);
    let packed = desk.submit("bulk", 2, false, HALF);
    let on = desk.running_of(&packed);
    assert_eq!(on[0], on[1]);
    let spread = desk.submit("apart", 2, false, Size::new(500, 500, 0));
    let on = desk.running_of(&spread);
    assert_ne!(on[0], on[1]);
}

#[test]
fn accelerators_are_kept_for_those_who_need_them() {
    let mut desk = Desk::up(&[Size { acc: 1, ..ROOM }, ROOM]);
    let plain = desk.submit("bulk", 1, false, HALF);
    assert_eq!(desk.running_of(&plain), ["w1".into()]);
    let needs = desk.submit("bulk", 1, false, Size { acc: 1, ..HALF });
    assert_eq!(desk.running_of(&needs), ["w0".into()]);
}

#[test]
fn a_gang_starts_whole_or_not_and_is_undone_whole() {
    let mut desk = Desk::up(&[ROOM, ROOM]);
    let block = desk.submit("bulk", 1, false, HALF);
    let gang = desk.submit("urgent", 4, true, HALF);
    assert!(desk.running_of(&gang).is_empty());
    let task = desk.tasks_of(&block).remove(0);
    desk.end(&task, TaskOutcome::Done);
    assert_eq!(desk.running_of(&gang).len(), 4);
    let failed = desk.tasks_of(&gang).remove(0);
    desk.end(&failed, TaskOutcome::Failed);
    assert_eq!(desk.stopped.len(), 3, "the others are stopped");
    let again = desk.tasks_of(&gang);
    assert_eq!(again.len(), 4, "and all start again");
    assert!(again.iter().all(|task| task.attempt == 1));
}

#[test]
fn limits_quotas_and_bounds_hold() {
    let mut desk = Desk::up(&[ROOM]);
    let few = desk.submit("few", 3, false, Size::new(100, 100, 0));
    assert_eq!(desk.running_of(&few).len(), 2, "the row's limit");
    desk.submit("few", 3, false, Size::new(100, 100, 0));
    assert_eq!(desk.answers.last(), Some(&Answer::Refused(Refusal::QueueFull)));
    let team = desk.submit("small-team", 3, false, Size::new(1_000, 100, 0));
    assert_eq!(desk.running_of(&team).len(), 2, "the team's quota");
    desk.submit("bulk", 1, false, Size::new(5_000, 1, 0));
    assert_eq!(desk.answers.last(), Some(&Answer::Refused(Refusal::NeverFits)));
    desk.submit("bulk", 3, true, HALF);
    assert_eq!(desk.answers.last(), Some(&Answer::Refused(Refusal::NeverFits)));
}

#[test]
fn cancel_and_finish_have_one_answer_in_any_order() {
    let mut desk = Desk::up(&[ROOM]);
    let job = desk.submit("bulk", 3, false, HALF);
    let first = desk.tasks_of(&job).remove(0);
    desk.end(&first, TaskOutcome::Done);
    desk.cancel(&job);
    let state = desk.shard_owner.status(&job, desk.now).expect("job");
    desk.cancel(&job);
    desk.end(&first, TaskOutcome::Failed);
    let again = desk.shard_owner.status(&job, desk.now).expect("job");
    assert_eq!(state, again);
    assert_eq!(state.ended, [(TaskOutcome::Done, 1), (TaskOutcome::Stopped, 2)]);
    assert_eq!((state.queued, state.running), (0, 0));
}

#[test]
fn a_wave_of_cancels_is_no_scan() {
    let mut desk = Desk::up(&[ROOM]);
    let holder = desk.submit("urgent", 1, false, ROOM);
    let waiting: Vec<JobId> = (0..100).map(|_| desk.submit("bulk", 1, false, ROOM)).collect();
    for job in &waiting[..99] {
        desk.cancel(job);
    }
    let task = desk.tasks_of(&holder).remove(0);
    desk.end(&task, TaskOutcome::Done);
    assert_eq!(desk.running.len(), 1);
    assert_eq!(desk.running_of(&waiting[99]).len(), 1);
    let load = desk.shard_owner.loads()["bulk"];
    assert_eq!((load.waiting, load.running), (0, 1));
}

#[test]
fn a_worker_that_fails_everything_loses_new_work_and_a_bad_kind_condemns_nobody() {
    let mut desk = Desk::up(&[ROOM; 8]);
    for round in 0..12 {
        let job = desk.submit("apart", 8, false, Size::new(100, 100, 0));
        for task in desk.tasks_of(&job) {
            let bad = *desk.running[&task] == *"w3";
            desk.end(&task, if bad { TaskOutcome::Failed } else { TaskOutcome::Done });
        }
        for task in desk.tasks_of(&job) {
            desk.end(&task, TaskOutcome::Failed);
        }
        desk.now = desk.now + Millis(100);
        desk.report_all();
        assert!(
            round < 6 || desk.shard_owner.excluded_workers() == ["w3".into()],
            "{:?}",
            desk.shard_owner.excluded_workers()
        );
    }
    let mut desk = Desk::up(&[ROOM; 8]);
    for _ in 0..20 {
        let job = desk.submit("bulk", 8, false, HALF);
        for task in desk.tasks_of(&job) {
            desk.end(&task, TaskOutcome::Failed);
        }
        assert!(desk.shard_owner.excluded_workers().is_empty());
    }
}

#[test]
fn a_refused_start_is_stopped_before_it_is_tried_elsewhere() {
    let mut desk = Desk::up(&[ROOM]);
    let job = desk.submit("once", 1, false, HALF);
    let task = desk.tasks_of(&job).remove(0);
    desk.running.remove(&task);
    let reply = Some(TaskReply::Refused);
    desk.step(Event::CommandReply { task: task.clone(), stop: false, reply });
    assert_eq!(desk.stopped, [task]);
}
