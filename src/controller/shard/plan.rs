//! Which waiting task runs next, and where.

use crate::clock::Millis;
use crate::controller::health::Standing;
use crate::controller::place::{Ledger, Weights, pick, pick_gang};
use crate::controller::queue::{Block, Head, Shape};
use crate::controller::shard::event::Action;
use crate::controller::shard::office::{Office, WORKER_FRESH, shape};
use crate::controller::shard::state::{Effect, Live, Worker};
use crate::id::{JobId, Name, TaskId};
use crate::job::{JobSpec, StateChange};
use crate::trace::EventKind;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A task that just came ranks as if it had waited this long, in milliseconds.
const HEAD_START: u64 = 1_000;
/// With this many notes on their way nothing more is placed.
pub(super) const MAX_WAITING: usize = 10_000;

/// The order in which shapes are looked at.
pub(super) type Rank = (u64, Reverse<Millis>, Reverse<Shape>);

/// What became of the head of a shape.
enum Placed {
    Yes,
    No(Block),
}

impl Office {
    /// Places waiting tasks, most urgent first, until none fits.
    pub(super) fn schedule(&mut self, now: Millis) {
        self.dirty = false;
        if self.unlisted.is_some() || self.journal.waiting() > MAX_WAITING {
            return;
        }
        let open = self.open_workers(now);
        if open != self.open {
            self.open = open;
            self.queue.unblock();
        }
        self.renew_reservation(now);
        let mut heap = self.ranked(now);
        while let Some((points, _, Reverse(shape))) = heap.pop() {
            let Some(head) = self.queue.head(&shape) else { continue };
            match self.place(now, &head, points) {
                Placed::No(why) => {
                    self.queue.block(&shape, why);
                    self.reserve(now, &shape, points, why);
                }
                Placed::Yes if self.is_reserved(&shape) => {
                    self.end_reservation();
                    heap = self.ranked(now);
                }
                Placed::Yes => {
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
        let points = weight * (HEAD_START + now.since(head.at).0);
        (points, Reverse(head.at), Reverse(head.shape.clone()))
    }

    fn place(&mut self, now: Millis, head: &Head, points: u64) -> Placed {
        let job = self.book.jobs.get(&head.job);
        if job.is_none_or(|job| job.cancelled) {
            self.queue.drop_job(head);
            return Placed::Yes;
        }
        if self.over_limit(&head.shape).is_some() {
            self.ask_for_more();
            return Placed::No(Block::Limit);
        }
        match head.shape.gang {
            0 => self.place_one(now, head, points),
            count => self.place_gang(now, head, points, count),
        }
    }

    fn weights(&self, kind: &str) -> Weights {
        let row = self.row(kind);
        row.map_or(Weights { pack: 1, spread: 0 }, |r| Weights { pack: r.pack, spread: r.spread })
    }

    pub(super) fn open_rooms(&self) -> impl Iterator<Item = (&Name, &Ledger)> {
        self.open.iter().filter_map(|name| {
            let worker = self.workers.get(name)?;
            Some((name, &worker.ledger))
        })
    }

    /// The workers that may get new tasks.
    pub(super) fn open_workers(&self, now: Millis) -> Vec<Name> {
        let open = self.workers.iter().filter(|(name, worker)| self.is_open(now, name, worker));
        open.map(|(name, _)| name.clone()).collect()
    }

    fn is_open(&self, now: Millis, name: &Name, worker: &Worker) -> bool {
        let fresh = worker.heard.is_some_and(|heard| now.since(heard) < WORKER_FRESH);
        let leaving = worker.leaving || self.table.excluded_vms.contains(name);
        fresh && !leaving && self.health.standing(now, name) != Standing::Aside
    }

    fn place_one(&mut self, now: Millis, head: &Head, points: u64) -> Placed {
        let weights = self.weights(&head.shape.kind);
        let picked =
            pick(self.rooms_for(&head.shape, points), &head.shape.kind, &head.shape.size, weights);
        let Some(worker) = picked.cloned() else { return Placed::No(Block::Room) };
        if let Some(index) = self.queue.take(head) {
            self.bind(now, &head.job, index, &worker);
        }
        Placed::Yes
    }

    fn place_gang(&mut self, now: Millis, head: &Head, points: u64, count: u32) -> Placed {
        let weights = self.weights(&head.shape.kind);
        let (kind, size) = (&head.shape.kind, &head.shape.size);
        let picked = pick_gang(self.rooms_for(&head.shape, points), kind, size, count, weights);
        let Some(workers) = picked else { return Placed::No(Block::Room) };
        for worker in workers {
            if let Some(index) = self.queue.take(head) {
                self.bind(now, &head.job, index, &worker);
            }
        }
        Placed::Yes
    }

    /// Sets the room aside and notes the binding; the start goes out once every replica has it.
    fn bind(&mut self, now: Millis, id: &JobId, index: u32, name: &Name) {
        let Some(attempt) = self.book.queued(id, index) else { return };
        let Some(job) = self.book.jobs.get(id) else { return };
        let (kind, team, size) = (job.spec.kind.clone(), job.spec.team.clone(), job.spec.size);
        let waited = now.since(job.at);
        let Some(worker) = self.workers.get_mut(name) else { return };
        if !worker.ledger.take(&kind, &size) {
            return;
        }
        let task = TaskId { job: id.clone(), index, attempt };
        worker.tasks.insert(task.clone());
        let incarnation = worker.inc;
        if self.health.standing(now, name) == Standing::Probe {
            self.health.probe(name);
            self.open.retain(|open| open != name);
        }
        let load = self.load(&kind);
        load.dequeue(1, size.cpu);
        load.running += 1;
        *self.teams.entry(team.clone()).or_insert(0) += size.cpu as u64;
        let live = Live {
            worker: name.clone(),
            kind,
            team,
            size,
            stop: None,
            fresh: true,
            sent: false,
            seen: None,
            told: now,
        };
        self.live.insert(task.clone(), live);
        let (worker, owner, epoch) = (name.clone(), self.me.clone(), self.epoch());
        let what = EventKind::Bound { task: task.clone(), worker: worker.clone(), epoch, waited };
        self.out.push(Action::Trace(what));
        let note = StateChange::Bind { task: task.clone(), worker, incarnation, owner };
        self.note(note, Some(Effect::Start(task)));
    }

    /// Why a job's tasks wait, for people.
    pub(super) fn why_waiting(&self, now: Millis, spec: &JobSpec) -> String {
        let shape = shape(spec);
        let open = self.open_workers(now);
        match self.over_limit(&shape) {
            Some(limit) => limit.to_string(),
            None if self.unlisted.is_some() => "recovering".to_string(),
            None if open.is_empty() => "no-worker-open".to_string(),
            None => "no-room".to_string(),
        }
    }
}
