//! Owners of shards without a network, for benches and tests of their cost: what an owner logs is
//! committed at once, and workers answer at once.
#![allow(dead_code, reason = "no bench uses all of these helpers")]

use sprucerudder::clock::Millis;
use sprucerudder::controller::list::{Role, Vm};
use sprucerudder::controller::replica::StateSnapshot;
use sprucerudder::controller::shard::StateSource;
use sprucerudder::controller::shard::owner::{Action, Event, ShardOwner};
use sprucerudder::id::{EntryId, JobId, Name, TaskId};
use sprucerudder::job::{JobSpec, TaskOutcome};
use sprucerudder::platform::api::{Report, Running, TaskReply};
use sprucerudder::record::Claim;
use sprucerudder::size::Size;
use sprucerudder::table::Table;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Workers of a rack, which is a shard.
pub const WORKERS_PER_RACK: usize = 8;
/// The virtual time at which an owner starts.
pub const START: Millis = Millis(1_000_000);

/// Builds a table from rows of kind, class, weight, pack and spread.
pub fn table(rows: &[(&str, &str, u32, u32, u32)]) -> Arc<Table> {
    let head =
        "kind,team,class,weight,limit,queue,deadline,repeat,retries,pack,spread,quota,site:d\n";
    let lines = rows.iter().map(|(kind, class, weight, pack, spread)| {
        format!("{kind},t,{class},{weight},1000000,1000000,60000,yes,10,{pack},{spread},0,1\n")
    });
    let text: String = std::iter::once(head.to_string()).chain(lines).collect();
    Arc::new(Table::parse(&text).expect("table"))
}

pub fn vm(rack: &str, index: usize, size: Size) -> Vm {
    Vm {
        name: format!("{rack}-w{index}").into(),
        role: Role::Worker,
        addr: "127.0.0.1:1".into(),
        domain: "d".into(),
        rack: rack.into(),
        size,
        slots: 0,
        leaving: false,
    }
}

/// A decision of an owner about a task.
#[derive(Debug)]
pub enum Decision {
    Started { task: TaskId, worker: Name },
    Stopped { task: TaskId },
}

/// An owner of a shard on a virtual clock, with the tasks that run on its workers.
pub struct OwnerHarness {
    pub now: Millis,
    pub shard_owner: ShardOwner,
    pub running: BTreeMap<TaskId, Name>,
    shard: Name,
    job_count: u64,
}

impl OwnerHarness {
    pub fn new(rack: &str, sizes: &[Size], table: Arc<Table>) -> Self {
        let owner = EntryId { name: "e".into(), incarnation: 1 };
        let shard: Name = rack.into();
        let claim = Claim {
            shard: shard.clone(),
            domain: "d".into(),
            epoch: 1,
            owner,
            replicas: Vec::new(),
        };
        let source = StateSource::State(Box::<StateSnapshot>::default());
        let shard_owner =
            ShardOwner::new(&claim, source, BTreeSet::new(), Vec::new(), table, START);
        let mut desk =
            Self { now: START, shard_owner, running: BTreeMap::new(), shard, job_count: 0 };
        let vms = (0..).zip(sizes).map(|(i, size)| vm(rack, i, *size)).collect();
        desk.step(Event::WorkerList { rev: 1, vms });
        desk.report();
        desk
    }

    /// Passes an event to the owner and carries out its actions until none is left; returns its
    /// decisions.
    pub fn step(&mut self, event: Event) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut actions = self.shard_owner.step(self.now, event);
        loop {
            let mut replies = Vec::new();
            for action in actions {
                match action {
                    Action::Start { worker, order } => {
                        self.running.insert(order.task.clone(), worker.clone());
                        let (task, reply) = (order.task.clone(), Some(TaskReply::Running));
                        replies.push(Event::CommandReply { task, stop: false, reply });
                        decisions.push(Decision::Started { task: order.task, worker });
                    }
                    Action::Stop { task, .. } => {
                        self.running.remove(&task);
                        let reply = Some(TaskReply::Ended(TaskOutcome::Stopped));
                        replies.push(Event::CommandReply { task: task.clone(), stop: true, reply });
                        decisions.push(Decision::Stopped { task });
                    }
                    _ => {}
                }
            }
            actions = Vec::new();
            while self.shard_owner.log_record().is_some() {
                let (epoch, seq) = (self.shard_owner.epoch(), u64::MAX);
                actions.extend(self.shard_owner.step(self.now, Event::Logged { epoch, seq }));
            }
            for event in replies {
                actions.extend(self.shard_owner.step(self.now, event));
            }
            if actions.is_empty() {
                return decisions;
            }
        }
    }

    /// Lets every worker report the tasks that it runs; returns the owner's decisions.
    pub fn report(&mut self) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for worker in self.shard_owner.workers() {
            let here = self.running.iter().filter(|(_, on)| **on == worker);
            let running = here.map(|(task, _)| Running {
                task: task.clone(),
                kind: "k".into(),
                size: Size::default(),
                usage: Size::default(),
            });
            let report = Report { inc: 1, running: running.collect(), ended: Vec::new() };
            let asked = self.now;
            decisions.extend(self.step(Event::Report { worker, asked, report }));
        }
        decisions
    }

    pub fn next_job_id(&mut self) -> JobId {
        self.job_count += 1;
        JobId { shard: self.shard.clone(), number: self.job_count }
    }

    pub fn submit(&mut self, spec: JobSpec) -> (JobId, Vec<Decision>) {
        let job = self.next_job_id();
        let decisions = self.step(Event::Submit { token: self.job_count, job: job.clone(), spec });
        (job, decisions)
    }

    pub fn end(&mut self, task: &TaskId, outcome: TaskOutcome) -> Vec<Decision> {
        self.running.remove(task);
        let (task, reply) = (task.clone(), Some(TaskReply::Ended(outcome)));
        self.step(Event::CommandReply { task, stop: false, reply })
    }

    pub fn cancel(&mut self, job: JobId) -> Vec<Decision> {
        self.step(Event::Cancel { token: 0, job })
    }
}

pub fn job_spec(kind: &str, tasks: u32, gang: bool, size: Size) -> JobSpec {
    JobSpec {
        kind: kind.into(),
        team: "t".into(),
        tasks,
        gang,
        size,
        run_time: Millis(1_000),
        repeatable: true,
    }
}

/// A seeded pseudorandom number generator (splitmix64).
pub struct SplitMix64(pub u64);

impl SplitMix64 {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number below `n`, or 0 if `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }

    /// A random time in milliseconds between two events that occur `rate` times a second on
    /// average, exponentially distributed.
    pub fn exponential_gap(&mut self, rate: f64) -> f64 {
        let unit = (self.next() >> 11) as f64 / (1_u64 << 53) as f64;
        -(1.0 - unit).ln() * 1000.0 / rate
    }
}
