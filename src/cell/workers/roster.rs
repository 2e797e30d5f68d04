//! The set of workers of a cell: workers that are listed, become unreachable, leave or are removed.

use crate::cell::jobs::crash::{CrashResolution, SentRuns};
use crate::cell::mechanism::Mechanism;
use crate::cell::workers::worker::Worker;
use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{Incarnation, WorkerInfo};
use crate::workload::TaskKey;
use std::collections::BTreeSet;

/// Why a worker is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalReason {
    /// Another incarnation answers at its address.
    Replaced,
    /// The worker is not listed any more, it does not answer, and its leases have expired or
    /// nothing runs on it.
    Unlisted,
}

impl RemovalReason {
    /// The name of the reason in log lines.
    fn name(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Unlisted => "unlisted",
        }
    }
}

/// How long an incarnation that ended is not added again from the list of workers, where its entry
/// stays for some seconds. Otherwise it would be added and removed again each time the list is
/// read. By the end of this time all its runs have ended.
pub(in crate::cell) const ENDED_INCARNATION_RETENTION: Millis = Millis(10_000);
/// Number of workers in a failure domain that do not answer at the same time from which on the
/// whole domain is considered partitioned from the owner. A single worker may have failed by
/// itself.
const PARTITION_MIN_WORKERS: usize = 2;

impl Cell {
    /// Marks a worker as unreachable: it gets no new tasks until it reports. Its tasks may run
    /// elsewhere at once if copies are allowed.
    pub fn mark_unreachable(&mut self, now: Millis, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name)
            && worker.is_reachable
        {
            worker.is_reachable = false;
            log::info!(
                "event=worker-unreachable worker={name} runs={} lasting={} left_ms={}",
                worker.runs.len(),
                worker.lasting_runs(),
                worker.lease_end - now
            );
            let runs: Vec<(TaskKey, u64)> = worker.runs.keys().copied().collect();
            let sent = SentRuns::new(worker);
            for (task, run) in runs {
                if self.is_quarantined(task) {
                    self.record_possible_crash(now, name, &sent, task);
                }
                self.allow_duplicate(now, name, &sent, task, run);
            }
        }
    }

    /// Handles a message that a worker did not answer: the worker gets no new tasks until it
    /// reports, for which it is asked at once.
    ///
    /// When [`PARTITION_MIN_WORKERS`] workers of a failure domain do not answer, the others in it
    /// are considered to be behind the same network partition. Otherwise starts would be sent
    /// there, and their tasks delayed until it heals.
    pub(in crate::cell) fn suspect_worker(&mut self, now: Millis, name: &Name) {
        if self.is_overloaded || self.config.disabled.contains(Mechanism::AvoidUnresponsive) {
            return;
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.mark_unanswered(now);
        self.actions.push(Action::PollNow(name.clone()));
        let domain = worker.listed.domain.clone();
        let of_domain = |worker: &&mut Worker| worker.listed.domain == domain && worker.is_listed;
        let is_silent = |worker: &&mut Worker| worker.has_unanswered() || !worker.is_reachable;
        let silent = self.workers.values_mut().filter(of_domain).filter(is_silent).count();
        if silent != PARTITION_MIN_WORKERS {
            return;
        }
        log::info!("event=domain-suspected domain={domain} silent={silent}");
        for worker in self.workers.values_mut().filter(of_domain) {
            if !worker.has_unanswered() {
                worker.mark_unanswered(now);
                self.actions.push(Action::PollNow(worker.listed.id.clone()));
            }
        }
    }

    /// Lets a task be started on another worker as well, if copies of it are allowed to run at the
    /// same time. The first run that is done counts. `sent` are the runs that were sent to the worker.
    pub(in crate::cell) fn allow_duplicate(
        &mut self,
        now: Millis,
        name: &Name,
        sent: &SentRuns,
        task: TaskKey,
        run: u64,
    ) {
        // An overloaded owner spends its processor on first starts.
        if self.config.disabled.contains(Mechanism::SpeculativeCopies) || self.is_overloaded {
            return;
        }
        let spec = self.jobs.get(&task.step.job).and_then(|job| job.spec(task.step.step));
        if spec.is_some_and(|spec| spec.allow_copies && !spec.is_gang)
            && !self.may_have_crashed_workers(task, run)
        {
            self.record_possible_crash(now, name, sent, task);
            self.track_unassigned(task.step.job);
            self.requeue_task(task, run);
        }
    }

    /// Stops all runs of a task of which one is done.
    pub(in crate::cell) fn stop_all_runs(&mut self, task: TaskKey) {
        let copies = |worker: &Worker| -> Vec<u64> {
            worker.runs.range((task, 0)..=(task, u64::MAX)).map(|((_, run), _)| *run).collect()
        };
        let found = self.workers.iter().map(|(name, worker)| (name.clone(), copies(worker)));
        let found: Vec<(Name, Vec<u64>)> = found.filter(|(_, runs)| !runs.is_empty()).collect();
        for (name, runs) in found {
            for run in runs {
                self.stop_run(&name, task, run);
            }
        }
    }

    /// Removes a worker whose incarnation has ended, and with it all its runs.
    pub fn remove_worker(&mut self, now: Millis, name: &Name, reason: RemovalReason) {
        let has_ended = reason != RemovalReason::Unlisted;
        self.record_worker_crash(now, name, has_ended);
        let Some(worker) = self.workers.remove(name) else { return };
        if has_ended {
            let incarnation = worker.incarnation();
            self.resolve_crash(&incarnation, CrashResolution::Ended);
            self.ended_incarnations.insert(incarnation, now);
        }
        let (why, is_leaving) = (reason.name(), worker.listed.leaves_in.is_some());
        log::info!(
            "event=worker-removed worker={name} why={why} leaving={is_leaving} runs={}",
            worker.runs.len()
        );
        for (task, run) in worker.runs.into_keys() {
            log::info!("event=run-lost task={task} run={run} worker={name} why={why}");
            self.requeue_task(task, run);
        }
        self.forget_clearances(name);
        self.workers_dirty = true;
        self.needs_placement = true;
        self.actions.push(Action::Unwatch(name.clone()));
    }

    /// Takes the current list of workers, of all services.
    pub fn set_workers(&mut self, now: Millis, listed: Vec<WorkerInfo>) {
        let ids: BTreeSet<Name> = listed.iter().map(|entry| entry.id.clone()).collect();
        let incarnations: BTreeSet<Incarnation> =
            listed.iter().map(WorkerInfo::incarnation).collect();
        self.ended_incarnations.retain(|incarnation, _| incarnations.contains(incarnation));
        for worker in self.workers.values_mut() {
            worker.is_listed = ids.contains(&worker.listed.id);
        }
        for entry in listed {
            self.update_listing(now, entry);
        }
        // A worker that a snapshot named had no failure domain before it was listed.
        self.mark_drained_workers();
        self.list_stale = false;
        self.needs_placement = true;
    }

    /// Adds or updates a worker from its entry in the list.
    fn update_listing(&mut self, now: Millis, listed: WorkerInfo) {
        let (name, incarnation) = (listed.id.clone(), listed.incarnation());
        if self.ended_incarnations.contains_key(&incarnation) {
            return;
        }
        self.confirm_earlier_crashes(&incarnation, &listed.addr);
        self.expect_new_incarnation(now, &listed);
        match self.workers.get_mut(&name) {
            Some(worker) => {
                let starts_leaving =
                    listed.leaves_in.is_some() && worker.listed.leaves_in.is_none();
                worker.listed = listed;
                if starts_leaving {
                    self.vacate(&name);
                }
            }
            None => {
                log::info!(
                    "event=worker-listed worker={name} service={} addr={} cpu={} labels={}",
                    listed.service,
                    listed.addr,
                    listed.capacity.cpu,
                    listed.labels.join(",")
                );
                self.actions.push(Action::Watch(listed.clone()));
                self.workers.insert(name, Worker::new(listed, self.open_batch, Millis(0)));
                self.workers_dirty = true;
            }
        }
    }

    /// Stops the runs on a leaving worker that would not end in time, so that their tasks start
    /// elsewhere.
    fn vacate(&mut self, name: &Name) {
        let Some(worker) = self.workers.get(name) else { return };
        let time_left = worker.listed.leaves_in.unwrap_or_default();
        log::info!(
            "event=worker-leaving worker={name} left_ms={time_left} runs={}",
            worker.runs.len()
        );
        let ends_in_time = |task: &TaskKey| {
            let spec = self.jobs.get(&task.step.job).and_then(|job| job.spec(task.step.step));
            spec.is_some_and(|spec| !spec.long_running && spec.estimate < time_left)
        };
        let stopped: Vec<(TaskKey, u64)> =
            worker.runs.keys().filter(|(task, _)| !ends_in_time(task)).copied().collect();
        for (task, run) in stopped {
            self.stop_run(name, task, run);
        }
    }

    /// Abandons the runs on unreachable workers whose leases have expired, and removes those that
    /// are not listed any more.
    pub(in crate::cell) fn expire_leases(&mut self, now: Millis) {
        // A worker that left with no runs is removed before its lease expires. If it stayed in the
        // store, the next owner would wait for its whole lease.
        let has_left =
            |worker: &Worker| worker.ends_known && !worker.is_listed && worker.runs.is_empty();
        let is_expired = |worker: &&Worker| {
            !worker.is_reachable && (now >= worker.lease_end || has_left(worker))
        };
        let expired: Vec<(Name, bool)> = self
            .workers
            .values()
            .filter(is_expired)
            .map(|worker| (worker.listed.id.clone(), worker.is_listed))
            .collect();
        for (name, is_listed) in expired {
            if !is_listed {
                self.remove_worker(now, &name, RemovalReason::Unlisted);
                continue;
            }
            let worker = self.workers.get(&name);
            let runs: Vec<_> =
                worker.map(|worker| worker.runs.keys().copied().collect()).unwrap_or_default();
            if !runs.is_empty() {
                log::info!("event=leases-expired worker={name} runs={}", runs.len());
            }
            self.record_worker_crash(now, &name, false);
            for (task, run) in runs {
                log::info!("event=run-lost task={task} run={run} worker={name} why=lease-expired");
                self.abandon_run(&name, task, run);
            }
        }
    }
}
