//! The scheduler of a shard: picks the next waiting task and a worker for it.

use crate::clock::Millis;
use crate::controller::health::WorkerHealth;
use crate::controller::place::{Ledger, Weights, pick, pick_gang};
use crate::controller::queue::{BlockReason, Head, Shape};
use crate::controller::shard::event::Action;
use crate::controller::shard::owner::{ShardOwner, WORKER_REPORT_TTL, shape};
use crate::controller::shard::runtime::{Effect, TaskRuntime, Worker};
use crate::id::{JobId, Name, TaskId};
use crate::job::{JobSpec, StateChange};
use crate::trace::EventKind;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Added to the time that a task has waited when its priority is computed, in milliseconds, so that
/// weights also count for new tasks.
const BASE_WAIT_MS: u64 = 1_000;
/// With more pending effects than this, nothing is placed or sent again until replicas catch up.
pub(super) const MAX_PENDING_EFFECTS: usize = 10_000;

/// The scheduling order of shapes: higher priority first, then older jobs.
pub(super) type Rank = (u64, Reverse<Millis>, Reverse<Shape>);

/// The result of placing the oldest waiting task of a shape.
enum Placement {
    Placed,
    Blocked(BlockReason),
}

impl ShardOwner {
    /// Places waiting tasks in order of priority until no more can be placed.
    pub(super) fn schedule(&mut self, now: Millis) {
        self.needs_scheduling = false;
        if self.unreported.is_some() || self.journal.pending_effects() > MAX_PENDING_EFFECTS {
            return;
        }
        let open = self.schedulable_workers(now);
        if open != self.schedulable {
            self.schedulable = open;
            self.queue.unblock();
        }
        self.renew_reservation(now);
        let mut heap = self.ranked(now);
        while let Some((priority, _, Reverse(shape))) = heap.pop() {
            let Some(head) = self.queue.head(&shape) else { continue };
            match self.place(now, &head, priority) {
                Placement::Blocked(why) => {
                    self.queue.block(&shape, why);
                    self.reserve(now, &shape, priority, why);
                }
                Placement::Placed if self.is_reserved(&shape) => {
                    self.end_reservation();
                    heap = self.ranked(now);
                }
                Placement::Placed => {
                    heap.extend(self.queue.head(&shape).map(|next| self.rank(now, &next)));
                }
            }
        }
    }

    fn ranked(&self, now: Millis) -> BinaryHeap<Rank> {
        self.queue.heads().iter().map(|head| self.rank(now, head)).collect()
    }

    pub(super) fn rank(&self, now: Millis, head: &Head) -> Rank {
        let weight = self.row(&head.shape.kind).map_or(0, |row| row.weight) as u64;
        let priority = weight * (BASE_WAIT_MS + now.since(head.at).0);
        (priority, Reverse(head.at), Reverse(head.shape.clone()))
    }

    fn place(&mut self, now: Millis, head: &Head, priority: u64) -> Placement {
        let job = self.state.jobs.get(&head.job);
        if job.is_none_or(|job| job.cancelled) {
            self.queue.drop_job(head);
            return Placement::Placed;
        }
        if self.exceeded_limit(&head.shape).is_some() {
            self.request_larger_share();
            return Placement::Blocked(BlockReason::Limit);
        }
        match head.shape.gang {
            0 => self.place_one(now, head, priority),
            count => self.place_gang(now, head, priority, count),
        }
    }

    fn weights(&self, kind: &str) -> Weights {
        let row = self.row(kind);
        row.map_or(Weights { pack: 1, spread: 0 }, |r| Weights { pack: r.pack, spread: r.spread })
    }

    pub(super) fn schedulable_ledgers(&self) -> impl Iterator<Item = (&Name, &Ledger)> {
        self.schedulable.iter().filter_map(|name| {
            let worker = self.workers.get(name)?;
            Some((name, &worker.ledger))
        })
    }

    /// The workers that may get new tasks.
    pub(super) fn schedulable_workers(&self, now: Millis) -> Vec<Name> {
        let open =
            self.workers.iter().filter(|(name, worker)| self.is_schedulable(now, name, worker));
        open.map(|(name, _)| name.clone()).collect()
    }

    fn is_schedulable(&self, now: Millis, name: &Name, worker: &Worker) -> bool {
        let fresh = worker.last_report.is_some_and(|heard| now.since(heard) < WORKER_REPORT_TTL);
        let leaving = worker.leaving || self.table.excluded_vms.contains(name);
        fresh && !leaving && self.health.worker_health(now, name) != WorkerHealth::Excluded
    }

    fn place_one(&mut self, now: Millis, head: &Head, priority: u64) -> Placement {
        let weights = self.weights(&head.shape.kind);
        let picked = pick(
            self.ledgers_for(&head.shape, priority),
            &head.shape.kind,
            &head.shape.size,
            weights,
        );
        let Some(worker) = picked.cloned() else {
            return Placement::Blocked(BlockReason::Resources);
        };
        if let Some(index) = self.queue.take(head) {
            self.bind(now, &head.job, index, &worker);
        }
        Placement::Placed
    }

    fn place_gang(&mut self, now: Millis, head: &Head, priority: u64, count: u32) -> Placement {
        let weights = self.weights(&head.shape.kind);
        let (kind, size) = (&head.shape.kind, &head.shape.size);
        let picked = pick_gang(self.ledgers_for(&head.shape, priority), kind, size, count, weights);
        let Some(workers) = picked else { return Placement::Blocked(BlockReason::Resources) };
        for worker in workers {
            if let Some(index) = self.queue.take(head) {
                self.bind(now, &head.job, index, &worker);
            }
        }
        Placement::Placed
    }

    /// Reserves resources on a worker and records the binding. The start is sent once every replica
    /// holds the binding.
    fn bind(&mut self, now: Millis, id: &JobId, index: u32, name: &Name) {
        let Some(attempt) = self.state.queued(id, index) else { return };
        let Some(job) = self.state.jobs.get(id) else { return };
        let (kind, team, size) = (job.spec.kind.clone(), job.spec.team.clone(), job.spec.size);
        let waited = now.since(job.at);
        let Some(worker) = self.workers.get_mut(name) else { return };
        if !worker.ledger.reserve(&kind, &size) {
            return;
        }
        let task = TaskId { job: id.clone(), index, attempt };
        worker.tasks.insert(task.clone());
        let incarnation = worker.incarnation;
        if self.health.worker_health(now, name) == WorkerHealth::Probe {
            self.health.start_probe(name);
            self.schedulable.retain(|open| open != name);
        }
        let load = self.load_mut(&kind);
        load.remove_waiting(1, size.cpu);
        load.running += 1;
        *self.team_cpu.entry(team.clone()).or_insert(0) += size.cpu as u64;
        let runtime = TaskRuntime {
            worker: name.clone(),
            kind,
            team,
            size,
            stop_reason: None,
            bound_here: true,
            start_sent: false,
            last_seen: None,
            last_command: now,
        };
        self.runtimes.insert(task.clone(), runtime);
        let (worker, owner, epoch) = (name.clone(), self.me.clone(), self.epoch());
        let what =
            EventKind::TaskBound { task: task.clone(), worker: worker.clone(), epoch, waited };
        self.actions.push(Action::Trace(what));
        let change = StateChange::Bind { task: task.clone(), worker, incarnation, owner };
        self.record_change(change, Some(Effect::Start(task)));
    }

    /// The reason why a job's tasks wait, as shown in its status.
    pub(super) fn wait_reason(&self, now: Millis, spec: &JobSpec) -> String {
        let shape = shape(spec);
        let open = self.schedulable_workers(now);
        match self.exceeded_limit(&shape) {
            Some(limit) => limit.to_string(),
            None if self.unreported.is_some() => "recovering".to_string(),
            None if open.is_empty() => "no-worker-open".to_string(),
            None => "no-room".to_string(),
        }
    }
}
