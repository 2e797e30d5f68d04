//! The life of tasks at workers: starts, stops, reports, and workers that come and go.

use crate::clock::Millis;
use crate::controller::list::{Role, Vm};
use crate::controller::place::Ledger;
use crate::controller::shard::event::Action;
use crate::controller::shard::office::{Office, shape};
use crate::controller::shard::plan::MAX_WAITING;
use crate::controller::shard::state::{Effect, Live, StopWhy, Tomb, Worker};
use crate::id::{JobId, Name, TaskId};
use crate::job::{StateChange, TaskOutcome};
use crate::platform::api::{Report, Running, StartOrder, TaskReply};
use crate::record::Record;
use crate::trace::EventKind;
use std::collections::BTreeSet;

/// A start or stop without effect is sent again after this long.
const TELL_RETRY: Millis = Millis(1_000);

impl Office {
    /// Every replica holds the note that binds this task: its start may go out.
    pub(super) fn send_start(&mut self, now: Millis, task: &TaskId) {
        let lease = super::office::LEASE;
        let Some(bound) = self.book.bound(task) else { return };
        let Some(job) = self.book.jobs.get(&task.job) else { return };
        let (worker, spec) = (bound.worker.clone(), &job.spec);
        let order = StartOrder {
            task: task.clone(),
            kind: spec.kind.clone(),
            size: spec.size,
            run: spec.run_time,
            repeat: spec.repeatable,
            lease,
            stamp: Default::default(),
        };
        let Some(live) = self.live.get_mut(task).filter(|live| live.stop.is_none()) else { return };
        live.sent = true;
        live.told = now;
        self.flights.begin(task.clone(), 1);
        let (id, owner) = (task.clone(), self.me.clone());
        self.out.push(Action::Trace(EventKind::StartSent {
            task: id,
            worker: worker.clone(),
            owner,
        }));
        self.out.push(Action::Start { worker, order });
    }

    /// Stops a bound task; one whose start was never sent ends at once.
    pub(super) fn stop_task(&mut self, now: Millis, id: &JobId, index: u32, why: StopWhy) {
        let bound = self.book.jobs.get(id).and_then(|job| job.bound_at(index));
        let Some(attempt) = bound.map(|bound| bound.attempt) else { return };
        let task = TaskId { job: id.clone(), index, attempt };
        let Some(live) = self.live.get_mut(&task) else { return };
        if live.stop != Some(StopWhy::Cancel) {
            live.stop = Some(why);
        }
        live.told = now;
        match live.sent {
            true => drop(self.note(StateChange::Barrier, Some(Effect::Stop(task)))),
            false => self.ended(now, &task, TaskOutcome::Cancelled),
        }
    }

    /// This entry surely owns the shard still: a stop may go out.
    pub(super) fn send_stop(&mut self, now: Millis, task: TaskId) {
        if let Some(live) = self.live.get_mut(&task) {
            live.told = now;
            let worker = live.worker.clone();
            self.out.push(Action::Stop { worker, task });
        }
    }

    /// A worker answered a start or a stop, or did not.
    pub(super) fn told(&mut self, now: Millis, task: TaskId, stop: bool, reply: Option<TaskReply>) {
        if !stop {
            self.flights.end(now, &task);
        }
        let Some(live) = self.live.get_mut(&task) else { return };
        match reply {
            None => {}
            Some(TaskReply::Running) => live.seen = Some(now),
            Some(TaskReply::Ended(outcome)) => self.ended(now, &task, outcome),
            Some(TaskReply::Refused) => {
                let (worker, kind) = (live.worker.clone(), live.kind.clone());
                self.judge(now, &worker, &kind, false);
                self.stop_task(now, &task.job, task.index, StopWhy::Undo);
            }
        }
    }

    /// A worker says that a task is over.
    fn ended(&mut self, now: Millis, task: &TaskId, outcome: TaskOutcome) {
        if self.book.bound(task).is_none() {
            return;
        }
        let Some(live) = self.live.get(task).cloned() else { return };
        match outcome {
            TaskOutcome::Done => self.judge(now, &live.worker, &live.kind, true),
            TaskOutcome::Failed => self.judge(now, &live.worker, &live.kind, false),
            TaskOutcome::Cancelled | TaskOutcome::Stopped | TaskOutcome::Unknown => {}
        }
        match self.again(task, outcome) {
            true => self.requeue(now, task),
            false => self.finish(now, task, outcome),
        }
        let tomb = Tomb { fresh: live.fresh, seq: self.journal.seq() };
        self.tombs.insert(task.clone(), tomb);
    }

    /// Whether a task that ended like this runs once more.
    fn again(&self, task: &TaskId, outcome: TaskOutcome) -> bool {
        let Some(job) = self.book.jobs.get(&task.job) else { return false };
        let retries = self.row(&job.spec.kind).map_or(0, |row| row.retries);
        match outcome {
            _ if job.cancelled => false,
            TaskOutcome::Cancelled => true,
            TaskOutcome::Stopped => job.spec.repeatable,
            TaskOutcome::Failed => job.spec.repeatable && task.attempt < retries,
            TaskOutcome::Done | TaskOutcome::Unknown => false,
        }
    }

    /// The worker of a task is gone, or has lost it.
    fn lost(&mut self, now: Millis, task: &TaskId) {
        let job = self.book.jobs.get(&task.job);
        let (repeat, cancelled) = job.map_or((false, true), |j| (j.spec.repeatable, j.cancelled));
        let sent = self.live.get(task).is_none_or(|live| live.sent);
        match () {
            _ if !sent && !cancelled => self.requeue(now, task),
            _ if !sent => self.finish(now, task, TaskOutcome::Cancelled),
            _ if !repeat => self.finish(now, task, TaskOutcome::Unknown),
            _ if cancelled => self.finish(now, task, TaskOutcome::Stopped),
            _ => self.requeue(now, task),
        }
    }

    fn finish(&mut self, now: Millis, task: &TaskId, outcome: TaskOutcome) {
        self.release(task);
        self.note(StateChange::Finish { task: task.clone(), outcome }, None);
        self.out.push(Action::Trace(EventKind::Ended { task: task.clone(), outcome }));
        let (job, index) = (task.job.clone(), task.index);
        self.out.push(Action::Append(Record::Ended { job, index, outcome }));
        self.settle_gang(now, &task.job);
        self.close_if_over(now, &task.job);
    }

    fn requeue(&mut self, now: Millis, task: &TaskId) {
        self.release(task);
        self.note(StateChange::Requeue { task: task.clone() }, None);
        self.out.push(Action::Trace(EventKind::Requeued { task: task.clone() }));
        let Some(job) = self.book.jobs.get(&task.job) else { return };
        let (at, shape, cancelled) = (job.at, shape(&job.spec), job.cancelled);
        match job.spec.gang {
            _ if cancelled => self.close_if_over(now, &task.job),
            true => self.undo_gang(now, &task.job),
            false => {
                self.load(&shape.kind).queue(1, shape.size.cpu);
                self.queue.add(shape, at, task.job.clone(), task.index);
            }
        }
    }

    /// A member of a gang cannot run: stops the others, so that all start again together.
    fn undo_gang(&mut self, now: Millis, id: &JobId) {
        if self.undoing.insert(id.clone()) {
            let job = self.book.jobs.get(id);
            let bound: Vec<u32> = job.map_or(Vec::new(), |job| job.bound.iter().copied().collect());
            for index in bound {
                self.stop_task(now, id, index, StopWhy::Undo);
            }
        }
        self.settle_gang(now, id);
    }

    /// Once no member of an undone gang is bound, queues it again or ends what is left of it.
    fn settle_gang(&mut self, now: Millis, id: &JobId) {
        let job = self.book.jobs.get(id).filter(|job| job.bound.is_empty());
        let Some(job) = job.filter(|_| self.undoing.contains(id)) else { return };
        let (at, all, queued, cancelled) = (job.at, job.spec.tasks, job.queued, job.cancelled);
        let shape = shape(&job.spec);
        let rest: Vec<(u32, u32)> =
            (0..all).filter_map(|i| job.queued_at(i).map(|n| (i, n))).collect();
        self.undoing.remove(id);
        match queued == all {
            _ if cancelled => self.close_if_over(now, id),
            true => {
                self.load(&shape.kind).queue(all, shape.size.cpu);
                self.queue.add_all(shape, at, id.clone(), all);
                self.dirty = true;
            }
            false => {
                for (index, attempt) in rest {
                    let task = TaskId { job: id.clone(), index, attempt };
                    self.finish(now, &task, TaskOutcome::Stopped);
                }
            }
        }
    }

    /// Gives back the room of a bound task.
    fn release(&mut self, task: &TaskId) {
        let Some(live) = self.live.remove(task) else { return };
        if let Some(worker) = self.workers.get_mut(&live.worker) {
            worker.tasks.remove(task);
            worker.ledger.give(&live.kind, &live.size);
            self.queue.unblock_for(&worker.ledger.free());
        }
        let load = self.load(&live.kind);
        load.running = load.running.saturating_sub(1);
        if let Some(cpu) = self.teams.get_mut(&live.team) {
            *cpu = cpu.saturating_sub(live.size.cpu as u64);
        }
        self.dirty = true;
    }

    fn judge(&mut self, now: Millis, worker: &Name, kind: &Name, ok: bool) {
        let before = self.health.aside().len();
        self.health.outcome(now, worker, kind, ok, self.workers.len());
        if self.health.aside().len() > before {
            self.out.push(Action::Trace(EventKind::WorkerSetAside { worker: worker.clone() }));
        }
    }

    /// The workers of the shard, as the list has them in version `rev`.
    pub(super) fn set_workers(&mut self, now: Millis, rev: u64, vms: Vec<Vm>) {
        if rev < self.book.list {
            return;
        }
        if rev > self.book.list {
            self.note(StateChange::List { rev }, None);
        }
        let vms = vms.into_iter().filter(|vm| vm.role == Role::Worker && vm.rack == self.shard);
        let vms: Vec<Vm> = vms.collect();
        let names: BTreeSet<Name> = vms.iter().map(|vm| vm.name.clone()).collect();
        let known: Vec<Name> = self.workers.keys().cloned().collect();
        for name in known.iter().filter(|name| !names.contains(*name)) {
            self.drop_worker(now, name);
        }
        for vm in vms {
            self.set_worker(vm);
        }
        self.drop_orphans(now);
        self.queue.unblock();
        self.dirty = true;
        self.end_rebuild(now);
    }

    fn set_worker(&mut self, vm: Vm) {
        if let Some(worker) = self.workers.get_mut(&vm.name) {
            worker.leaving = vm.leaving;
            worker.ledger.resize(vm.size);
            return;
        }
        if let Some(unlisted) = &mut self.unlisted {
            unlisted.insert(vm.name.clone());
        }
        let worker = Worker {
            addr: vm.addr,
            ledger: Ledger::new(vm.size),
            tasks: BTreeSet::new(),
            strays: Default::default(),
            acks: Vec::new(),
            inc: 0,
            heard: None,
            leaving: vm.leaving,
        };
        self.workers.insert(vm.name.clone(), worker);
        let here = self.book.all_bound().filter(|(_, _, bound)| bound.worker == vm.name);
        let tasks: Vec<TaskId> = here.map(|(task, _, _)| task).collect();
        for task in tasks {
            self.hold(task, &vm.name);
        }
    }

    /// Sets room aside for a task that a former owner bound to this worker.
    fn hold(&mut self, task: TaskId, name: &Name) {
        let Some(job) = self.book.jobs.get(&task.job) else { return };
        let (kind, team, size) = (job.spec.kind.clone(), job.spec.team.clone(), job.spec.size);
        let stop = job.cancelled.then_some(StopWhy::Cancel);
        let stop = stop.or(self.undoing.contains(&task.job).then_some(StopWhy::Undo));
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.ledger.force(&kind, &size);
        worker.tasks.insert(task.clone());
        self.load(&kind).running += 1;
        *self.teams.entry(team.clone()).or_insert(0) += size.cpu as u64;
        let live = Live {
            worker: name.clone(),
            kind,
            team,
            size,
            stop,
            fresh: false,
            sent: true,
            seen: None,
            told: Millis(0),
        };
        self.live.insert(task, live);
    }

    fn drop_worker(&mut self, now: Millis, name: &Name) {
        let tasks = self.workers.get(name).map(|worker| worker.tasks.clone()).unwrap_or_default();
        for task in &tasks {
            self.lost(now, task);
        }
        self.workers.remove(name);
        self.health.forget(name);
        if let Some(unlisted) = &mut self.unlisted {
            unlisted.remove(name);
        }
    }

    /// Tasks bound to workers that are gone since before this entry took office.
    fn drop_orphans(&mut self, now: Millis) {
        let bound = self.book.all_bound();
        let gone = bound.filter(|(_, _, bound)| !self.workers.contains_key(&bound.worker));
        let tasks: Vec<TaskId> = gone.map(|(task, _, _)| task).collect();
        for task in tasks {
            self.lost(now, &task);
        }
    }

    /// A worker says what it runs and what it has finished.
    pub(super) fn report(&mut self, now: Millis, name: Name, asked: Millis, report: Report) {
        let Some(worker) = self.workers.get_mut(&name) else { return };
        worker.heard = Some(now);
        worker.inc = report.inc;
        self.clear_strays(&name, &report);
        let mut said = BTreeSet::new();
        for running in report.running {
            said.insert(running.task.clone());
            self.saw_running(now, &name, report.inc, running);
        }
        for (task, outcome) in report.ended {
            said.insert(task.clone());
            self.saw_ended(now, &name, task, outcome);
        }
        let tasks = self.workers.get(&name).map(|worker| worker.tasks.clone()).unwrap_or_default();
        for task in tasks.difference(&said) {
            self.saw_nothing(now, asked, report.inc, task);
        }
        let whole = self.calm.is_some_and(|calm| calm <= asked);
        if let Some(unlisted) = self.unlisted.as_mut().filter(|_| whole) {
            unlisted.remove(&name);
        }
        self.end_rebuild(now);
    }

    fn clear_strays(&mut self, name: &Name, report: &Report) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let strays = std::mem::take(&mut worker.strays);
        for (task, (kind, size)) in strays {
            match report.running.iter().any(|running| running.task == task) {
                true => drop(worker.strays.insert(task, (kind, size))),
                false => {
                    worker.ledger.give(&kind, &size);
                    self.queue.unblock_for(&worker.ledger.free());
                    self.dirty = true;
                }
            }
        }
    }

    fn saw_running(&mut self, now: Millis, name: &Name, incarnation: u64, running: Running) {
        let task = running.task;
        if self.book.bound(&task).is_some_and(|bound| bound.worker == *name) {
            if let Some(live) = self.live.get_mut(&task) {
                live.seen = Some(now);
            }
            return;
        }
        if self.unlisted.is_some() && self.book.queued(&task.job, task.index).is_some() {
            let (worker, owner) = (name.clone(), self.me.clone());
            self.note(StateChange::Bind { task: task.clone(), worker, incarnation, owner }, None);
            self.hold(task, name);
            return;
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        if !worker.strays.contains_key(&task) {
            worker.ledger.force(&running.kind, &running.size);
            worker.strays.insert(task.clone(), (running.kind, running.size));
        }
        let stop = Effect::StopStray { worker: name.clone(), task };
        self.note(StateChange::Barrier, Some(stop));
    }

    fn saw_ended(&mut self, now: Millis, name: &Name, task: TaskId, outcome: TaskOutcome) {
        if self.book.bound(&task).is_some_and(|bound| bound.worker == *name) {
            self.ended(now, &task, outcome);
        } else if self.unlisted.is_some()
            && outcome == TaskOutcome::Done
            && self.book.queued(&task.job, task.index).is_some()
        {
            self.finish(now, &task, outcome);
        }
        if self.may_ack(now, &task) {
            self.tombs.remove(&task);
            let ack = Effect::Ack { worker: name.clone(), tasks: vec![task] };
            self.note(StateChange::Barrier, Some(ack));
        }
    }

    /// Whether a worker may forget an ended task: no start of it can arrive any more.
    fn may_ack(&self, now: Millis, task: &TaskId) -> bool {
        let fenced = self.unfenced.is_empty();
        let committed = self.journal.committed();
        match self.tombs.get(task) {
            _ if self.book.bound(task).is_some() || self.flights.may_arrive(now, task) => false,
            None => fenced,
            Some(tomb) => (tomb.fresh || fenced) && tomb.seq <= committed,
        }
    }

    /// A worker did not name a task that is bound to it.
    fn saw_nothing(&mut self, now: Millis, asked: Millis, inc: u64, task: &TaskId) {
        let Some(bound_inc) = self.book.bound(task).map(|bound| bound.inc) else { return };
        let Some(live) = self.live.get(task) else { return };
        let restarted = inc != bound_inc;
        let vanished = live.seen.is_some_and(|seen| seen < asked) && live.told < asked;
        let in_flight =
            self.flights.may_arrive(now, task) || (!live.fresh && !self.unfenced.is_empty());
        if live.sent && (restarted || vanished) && !in_flight {
            self.lost(now, task);
        }
    }

    /// After a rebuild: once every worker has reported, at a time when no start of a former owner
    /// could arrive any more, what was not found may run, or, if it must not be repeated, is in
    /// doubt for good.
    fn end_rebuild(&mut self, now: Millis) {
        let listed = self.unlisted.as_ref().is_some_and(BTreeSet::is_empty);
        if !listed || self.workers.is_empty() {
            return;
        }
        self.unlisted = None;
        self.note(StateChange::Rebuilt, None);
        let jobs: Vec<JobId> = self.book.jobs.keys().cloned().collect();
        for id in &jobs {
            self.doubt_job(now, id);
            self.adopt_job(id, now);
        }
        self.dirty = true;
    }

    fn doubt_job(&mut self, now: Millis, id: &JobId) {
        let Some(job) = self.book.jobs.get(id).filter(|job| !job.spec.repeatable) else { return };
        let tasks = (0..job.spec.tasks).filter_map(|index| {
            let attempt = job.queued_at(index)?;
            Some(TaskId { job: id.clone(), index, attempt })
        });
        let tasks: Vec<TaskId> = tasks.collect();
        for task in tasks {
            self.finish(now, &task, TaskOutcome::Unknown);
        }
    }

    /// Sends again what had no effect, and forgets what is old.
    pub(super) fn tick(&mut self, now: Millis) {
        let waiting = self.journal.waiting() > MAX_WAITING;
        let due = self.live.iter().filter(|(_, live)| now.since(live.told) >= TELL_RETRY);
        let due = due.filter(|_| !waiting);
        let due = due.filter(|(task, live)| live.sent && !self.flights.is_open(task));
        let heard = |live: &Live| self.workers.get(&live.worker).and_then(|worker| worker.heard);
        let due = due.filter(|(_, live)| heard(live).is_some());
        let (stops, starts): (Vec<_>, Vec<_>) = due
            .filter(|(_, live)| live.stop.is_some() || live.seen.is_none())
            .map(|(task, live)| (task.clone(), live.stop))
            .partition(|(_, stop)| stop.is_some());
        for (task, why) in stops {
            self.stop_task(now, &task.job, task.index, why.unwrap_or(StopWhy::Undo));
        }
        for (task, _) in starts {
            if self.is_same_run(&task) {
                self.start_again(now, task);
            }
        }
        self.fence(now);
        self.flights.sweep(now);
        self.forget(now);
        self.dirty |= self.open_workers(now) != self.open;
    }

    /// Sends a start again once a note has proved that this entry still owns the shard: another
    /// one may have decided about the task since it was bound.
    fn start_again(&mut self, now: Millis, task: TaskId) {
        if let Some(live) = self.live.get_mut(&task) {
            live.told = now;
            self.note(StateChange::Barrier, Some(Effect::Start(task)));
        }
    }

    /// Whether a task's worker has not restarted since the task was bound: a start that is sent
    /// again has no second effect there.
    fn is_same_run(&self, task: &TaskId) -> bool {
        let bound = self.book.bound(task);
        bound.is_some_and(|bound| {
            self.workers.get(&bound.worker).is_some_and(|worker| worker.inc == bound.inc)
        })
    }
}
