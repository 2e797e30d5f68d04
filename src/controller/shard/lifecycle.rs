//! Starts and stops of tasks, reports of workers, and changes of the worker list.

use crate::clock::Millis;
use crate::controller::shard::event::Action;
use crate::controller::shard::owner::{ShardOwner, shape};
use crate::controller::shard::runtime::{Effect, EndedTask, StopReason, TaskRuntime};
use crate::controller::shard::scheduling::MAX_PENDING_EFFECTS;
use crate::id::{JobId, Name, TaskId};
use crate::job::{StateChange, TaskOutcome};
use crate::platform::api::{Report, Running, StartOrder, TaskReply};
use crate::record::Record;
use crate::trace::EventKind;
use std::collections::BTreeSet;

/// How long to wait for the effect of a start or stop before it is sent again.
const COMMAND_RETRY_INTERVAL: Millis = Millis(1_000);

impl ShardOwner {
    /// Sends the start of a task whose binding every replica holds.
    pub(super) fn send_start(&mut self, now: Millis, task: &TaskId) {
        let lease = super::owner::LEASE;
        let Some(bound) = self.state.bound(task) else { return };
        let Some(job) = self.state.jobs.get(&task.job) else { return };
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
        let Some(runtime) =
            self.runtimes.get_mut(task).filter(|runtime| runtime.stop_reason.is_none())
        else {
            return;
        };
        runtime.start_sent = true;
        runtime.last_command = now;
        self.in_flight_starts.begin(task.clone(), 1);
        let (id, owner) = (task.clone(), self.me.clone());
        self.actions.push(Action::Trace(EventKind::StartSent {
            task: id,
            worker: worker.clone(),
            owner,
        }));
        self.actions.push(Action::Start { worker, order });
    }

    /// Stops a bound task. A task whose start was never sent ends immediately.
    pub(super) fn stop_task(&mut self, now: Millis, id: &JobId, index: u32, why: StopReason) {
        let bound = self.state.jobs.get(id).and_then(|job| job.bound_at(index));
        let Some(attempt) = bound.map(|bound| bound.attempt) else { return };
        let task = TaskId { job: id.clone(), index, attempt };
        let Some(runtime) = self.runtimes.get_mut(&task) else { return };
        if runtime.stop_reason != Some(StopReason::Cancel) {
            runtime.stop_reason = Some(why);
        }
        runtime.last_command = now;
        match runtime.start_sent {
            true => drop(self.record_change(StateChange::Barrier, Some(Effect::Stop(task)))),
            false => self.on_task_ended(now, &task, TaskOutcome::Cancelled),
        }
    }

    /// Sends a stop, after a committed change has proved that this entry still owns the shard.
    pub(super) fn send_stop(&mut self, now: Millis, task: TaskId) {
        if let Some(runtime) = self.runtimes.get_mut(&task) {
            runtime.last_command = now;
            let worker = runtime.worker.clone();
            self.actions.push(Action::Stop { worker, task });
        }
    }

    /// Handles the reply of a worker to a start or stop, or its absence.
    pub(super) fn on_reply(
        &mut self,
        now: Millis,
        task: TaskId,
        stop: bool,
        reply: Option<TaskReply>,
    ) {
        if !stop {
            self.in_flight_starts.end(now, &task);
        }
        let Some(runtime) = self.runtimes.get_mut(&task) else { return };
        match reply {
            None => {}
            Some(TaskReply::Running) => runtime.last_seen = Some(now),
            Some(TaskReply::Ended(outcome)) => self.on_task_ended(now, &task, outcome),
            Some(TaskReply::Refused) => {
                let (worker, kind) = (runtime.worker.clone(), runtime.kind.clone());
                self.record_outcome(now, &worker, &kind, false);
                self.stop_task(now, &task.job, task.index, StopReason::Restart);
            }
        }
    }

    /// Handles the end of a task as reported by its worker.
    fn on_task_ended(&mut self, now: Millis, task: &TaskId, outcome: TaskOutcome) {
        if self.state.bound(task).is_none() {
            return;
        }
        let Some(runtime) = self.runtimes.get(task).cloned() else { return };
        match outcome {
            TaskOutcome::Done => self.record_outcome(now, &runtime.worker, &runtime.kind, true),
            TaskOutcome::Failed => self.record_outcome(now, &runtime.worker, &runtime.kind, false),
            TaskOutcome::Cancelled | TaskOutcome::Stopped | TaskOutcome::Unknown => {}
        }
        match self.should_retry(task, outcome) {
            true => self.requeue(now, task),
            false => self.finish(now, task, outcome),
        }
        let ended = EndedTask { bound_here: runtime.bound_here, seq: self.journal.seq() };
        self.ended_tasks.insert(task.clone(), ended);
    }

    /// Whether a task with this outcome goes back to the queue.
    fn should_retry(&self, task: &TaskId, outcome: TaskOutcome) -> bool {
        let Some(job) = self.state.jobs.get(&task.job) else { return false };
        let retries = self.row(&job.spec.kind).map_or(0, |row| row.retries);
        match outcome {
            _ if job.cancelled => false,
            TaskOutcome::Cancelled => true,
            TaskOutcome::Stopped => job.spec.repeatable,
            TaskOutcome::Failed => job.spec.repeatable && task.attempt < retries,
            TaskOutcome::Done | TaskOutcome::Unknown => false,
        }
    }

    /// Requeues or ends a task whose worker is gone or no longer has it.
    pub(super) fn on_task_lost(&mut self, now: Millis, task: &TaskId) {
        let job = self.state.jobs.get(&task.job);
        let (repeat, cancelled) = job.map_or((false, true), |j| (j.spec.repeatable, j.cancelled));
        let sent = self.runtimes.get(task).is_none_or(|runtime| runtime.start_sent);
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
        self.record_change(StateChange::Finish { task: task.clone(), outcome }, None);
        self.actions.push(Action::Trace(EventKind::TaskEnded { task: task.clone(), outcome }));
        let (job, index) = (task.job.clone(), task.index);
        self.actions.push(Action::Append(Record::Ended { job, index, outcome }));
        self.requeue_stopped_gang(now, &task.job);
        self.close_if_finished(now, &task.job);
    }

    fn requeue(&mut self, now: Millis, task: &TaskId) {
        self.release(task);
        self.record_change(StateChange::Requeue { task: task.clone() }, None);
        self.actions.push(Action::Trace(EventKind::TaskRequeued { task: task.clone() }));
        let Some(job) = self.state.jobs.get(&task.job) else { return };
        let (at, shape, cancelled) = (job.at, shape(&job.spec), job.cancelled);
        match job.spec.gang {
            _ if cancelled => self.close_if_finished(now, &task.job),
            true => self.restart_gang(now, &task.job),
            false => {
                self.load_mut(&shape.kind).add_waiting(1, shape.size.cpu);
                self.queue.add(shape, at, task.job.clone(), task.index);
            }
        }
    }

    /// Stops the other tasks of a gang after one of them could not run, so that all start again
    /// together.
    fn restart_gang(&mut self, now: Millis, id: &JobId) {
        if self.restarting_gangs.insert(id.clone()) {
            let job = self.state.jobs.get(id);
            let bound: Vec<u32> = job.map_or(Vec::new(), |job| job.bound.iter().copied().collect());
            for index in bound {
                self.stop_task(now, id, index, StopReason::Restart);
            }
        }
        self.requeue_stopped_gang(now, id);
    }

    /// Once no task of a restarting gang is bound, queues the whole gang again, or ends its
    /// remaining tasks if some have ended for good.
    fn requeue_stopped_gang(&mut self, now: Millis, id: &JobId) {
        let job = self.state.jobs.get(id).filter(|job| job.bound.is_empty());
        let Some(job) = job.filter(|_| self.restarting_gangs.contains(id)) else { return };
        let (at, all, queued, cancelled) = (job.at, job.spec.tasks, job.queued, job.cancelled);
        let shape = shape(&job.spec);
        let rest: Vec<(u32, u32)> =
            (0..all).filter_map(|i| job.queued_at(i).map(|n| (i, n))).collect();
        self.restarting_gangs.remove(id);
        match queued == all {
            _ if cancelled => self.close_if_finished(now, id),
            true => {
                self.load_mut(&shape.kind).add_waiting(all, shape.size.cpu);
                self.queue.add_all(shape, at, id.clone(), all);
                self.needs_scheduling = true;
            }
            false => {
                for (index, attempt) in rest {
                    let task = TaskId { job: id.clone(), index, attempt };
                    self.finish(now, &task, TaskOutcome::Stopped);
                }
            }
        }
    }

    /// Releases the resources of a bound task.
    fn release(&mut self, task: &TaskId) {
        let Some(runtime) = self.runtimes.remove(task) else { return };
        if let Some(worker) = self.workers.get_mut(&runtime.worker) {
            worker.tasks.remove(task);
            worker.ledger.release(&runtime.kind, &runtime.size);
            self.queue.unblock_for(&worker.ledger.free());
        }
        let load = self.load_mut(&runtime.kind);
        load.running = load.running.saturating_sub(1);
        if let Some(cpu) = self.team_cpu.get_mut(&runtime.team) {
            *cpu = cpu.saturating_sub(runtime.size.cpu as u64);
        }
        self.needs_scheduling = true;
    }

    fn record_outcome(&mut self, now: Millis, worker: &Name, kind: &Name, ok: bool) {
        let before = self.health.excluded().len();
        self.health.record_outcome(now, worker, kind, ok, self.workers.len());
        if self.health.excluded().len() > before {
            self.actions.push(Action::Trace(EventKind::WorkerSetAside { worker: worker.clone() }));
        }
    }

    /// Handles a worker's report of its running and ended tasks.
    pub(super) fn on_report(&mut self, now: Millis, name: Name, asked: Millis, report: Report) {
        let Some(worker) = self.workers.get_mut(&name) else { return };
        worker.last_report = Some(now);
        worker.incarnation = report.inc;
        self.release_unbound_tasks(&name, &report);
        let mut said = BTreeSet::new();
        for running in report.running {
            said.insert(running.task.clone());
            self.on_reported_running(now, &name, report.inc, running);
        }
        for (task, outcome) in report.ended {
            said.insert(task.clone());
            self.on_reported_ended(now, &name, task, outcome);
        }
        let tasks = self.workers.get(&name).map(|worker| worker.tasks.clone()).unwrap_or_default();
        for task in tasks.difference(&said) {
            self.on_missing_task(now, asked, report.inc, task);
        }
        let whole = self.fenced_since.is_some_and(|fenced_since| fenced_since <= asked);
        if let Some(unreported) = self.unreported.as_mut().filter(|_| whole) {
            unreported.remove(&name);
        }
        self.finish_rebuild(now);
    }

    fn release_unbound_tasks(&mut self, name: &Name, report: &Report) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let unbound_tasks = std::mem::take(&mut worker.unbound_tasks);
        for (task, (kind, size)) in unbound_tasks {
            match report.running.iter().any(|running| running.task == task) {
                true => drop(worker.unbound_tasks.insert(task, (kind, size))),
                false => {
                    worker.ledger.release(&kind, &size);
                    self.queue.unblock_for(&worker.ledger.free());
                    self.needs_scheduling = true;
                }
            }
        }
    }

    fn on_reported_running(
        &mut self,
        now: Millis,
        name: &Name,
        incarnation: u64,
        running: Running,
    ) {
        let task = running.task;
        if self.state.bound(&task).is_some_and(|bound| bound.worker == *name) {
            if let Some(runtime) = self.runtimes.get_mut(&task) {
                runtime.last_seen = Some(now);
            }
            return;
        }
        if self.unreported.is_some() && self.state.queued(&task.job, task.index).is_some() {
            let (worker, owner) = (name.clone(), self.me.clone());
            self.record_change(
                StateChange::Bind { task: task.clone(), worker, incarnation, owner },
                None,
            );
            self.restore_binding(task, name);
            return;
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        if !worker.unbound_tasks.contains_key(&task) {
            worker.ledger.reserve_unchecked(&running.kind, &running.size);
            worker.unbound_tasks.insert(task.clone(), (running.kind, running.size));
        }
        let stop = Effect::StopUnbound { worker: name.clone(), task };
        self.record_change(StateChange::Barrier, Some(stop));
    }

    fn on_reported_ended(&mut self, now: Millis, name: &Name, task: TaskId, outcome: TaskOutcome) {
        if self.state.bound(&task).is_some_and(|bound| bound.worker == *name) {
            self.on_task_ended(now, &task, outcome);
        } else if self.unreported.is_some()
            && outcome == TaskOutcome::Done
            && self.state.queued(&task.job, task.index).is_some()
        {
            self.finish(now, &task, outcome);
        }
        if self.can_forget(now, &task) {
            self.ended_tasks.remove(&task);
            let ack = Effect::ForgetTasks { worker: name.clone(), tasks: vec![task] };
            self.record_change(StateChange::Barrier, Some(ack));
        }
    }

    /// Whether a worker may forget an ended task. It must remember the task as long as a start may
    /// arrive, or it would run the task again.
    fn can_forget(&self, now: Millis, task: &TaskId) -> bool {
        let fenced = self.unfenced.is_empty();
        let committed = self.journal.committed();
        match self.ended_tasks.get(task) {
            _ if self.state.bound(task).is_some()
                || self.in_flight_starts.may_arrive(now, task) =>
            {
                false
            }
            None => fenced,
            Some(ended) => (ended.bound_here || fenced) && ended.seq <= committed,
        }
    }

    /// Handles a task that is missing from the report of the worker to which it is bound.
    fn on_missing_task(&mut self, now: Millis, asked: Millis, inc: u64, task: &TaskId) {
        let Some(bound_inc) = self.state.bound(task).map(|bound| bound.inc) else { return };
        let Some(runtime) = self.runtimes.get(task) else { return };
        let restarted = inc != bound_inc;
        let vanished =
            runtime.last_seen.is_some_and(|seen| seen < asked) && runtime.last_command < asked;
        let in_flight = self.in_flight_starts.may_arrive(now, task)
            || (!runtime.bound_here && !self.unfenced.is_empty());
        if runtime.start_sent && (restarted || vanished) && !in_flight {
            self.on_task_lost(now, task);
        }
    }

    /// Ends a rebuild once every worker has reported after the last start of a former owner could
    /// arrive. Tasks that no worker reported are queued, or end with an unknown outcome if they
    /// must not be repeated.
    pub(super) fn finish_rebuild(&mut self, now: Millis) {
        let listed = self.unreported.as_ref().is_some_and(BTreeSet::is_empty);
        if !listed || self.workers.is_empty() {
            return;
        }
        self.unreported = None;
        self.record_change(StateChange::Rebuilt, None);
        let jobs: Vec<JobId> = self.state.jobs.keys().cloned().collect();
        for id in &jobs {
            self.end_uncertain_tasks(now, id);
            self.restore_job(id, now);
        }
        self.needs_scheduling = true;
    }

    fn end_uncertain_tasks(&mut self, now: Millis, id: &JobId) {
        let Some(job) = self.state.jobs.get(id).filter(|job| !job.spec.repeatable) else { return };
        let tasks = (0..job.spec.tasks).filter_map(|index| {
            let attempt = job.queued_at(index)?;
            Some(TaskId { job: id.clone(), index, attempt })
        });
        let tasks: Vec<TaskId> = tasks.collect();
        for task in tasks {
            self.finish(now, &task, TaskOutcome::Unknown);
        }
    }

    /// Sends starts and stops without effect again and drops expired data.
    pub(super) fn tick(&mut self, now: Millis) {
        let waiting = self.journal.pending_effects() > MAX_PENDING_EFFECTS;
        let due = self
            .runtimes
            .iter()
            .filter(|(_, runtime)| now.since(runtime.last_command) >= COMMAND_RETRY_INTERVAL);
        let due = due.filter(|_| !waiting);
        let due = due
            .filter(|(task, runtime)| runtime.start_sent && !self.in_flight_starts.is_open(task));
        let heard = |runtime: &TaskRuntime| {
            self.workers.get(&runtime.worker).and_then(|worker| worker.last_report)
        };
        let due = due.filter(|(_, runtime)| heard(runtime).is_some());
        let (stops, starts): (Vec<_>, Vec<_>) = due
            .filter(|(_, runtime)| runtime.stop_reason.is_some() || runtime.last_seen.is_none())
            .map(|(task, runtime)| (task.clone(), runtime.stop_reason))
            .partition(|(_, stop)| stop.is_some());
        for (task, why) in stops {
            self.stop_task(now, &task.job, task.index, why.unwrap_or(StopReason::Restart));
        }
        for (task, _) in starts {
            if self.is_same_incarnation(&task) {
                self.resend_start(now, task);
            }
        }
        self.expire_fences(now);
        self.in_flight_starts.sweep(now);
        self.forget_expired(now);
        self.needs_scheduling |= self.schedulable_workers(now) != self.schedulable;
    }

    /// Sends a start again once a committed change has proved that this entry still owns the shard:
    /// another owner may have requeued or ended the task since it was bound.
    fn resend_start(&mut self, now: Millis, task: TaskId) {
        if let Some(runtime) = self.runtimes.get_mut(&task) {
            runtime.last_command = now;
            self.record_change(StateChange::Barrier, Some(Effect::Start(task)));
        }
    }

    /// Whether the worker of a task has not restarted since the task was bound, so that a repeated
    /// start has no second effect there.
    fn is_same_incarnation(&self, task: &TaskId) -> bool {
        let bound = self.state.bound(task);
        bound.is_some_and(|bound| {
            self.workers.get(&bound.worker).is_some_and(|worker| worker.incarnation == bound.inc)
        })
    }
}
