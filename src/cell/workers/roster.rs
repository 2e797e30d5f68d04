//! The workers of a cell: listed, silent, leaving, gone.

use crate::cell::jobs::crash::CrashResolution;
use crate::cell::mechanism::Mechanism;
use crate::cell::workers::worker::Worker;
use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{Incarnation, WorkerInfo};
use crate::workload::TaskKey;
use std::collections::BTreeSet;

/// Why a life of a worker is taken to be over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Over {
    /// Another life answers at its address.
    Replaced,
    /// It is not listed any more, it is silent, and its leases are over.
    Unlisted,
}

impl Over {
    /// The name in log lines.
    fn name(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Unlisted => "unlisted",
        }
    }
}

/// A life that is over is not taken up again from the list for so long, where its entry stays for some
/// seconds: it would be, and be removed again, with each look. By then all that it ran has surely ended.
pub(in crate::cell) const ENDED_KEEP: Millis = Millis(10_000);
/// Workers of one failure domain that leave something unanswered at the same time, from which the
/// domain is taken to be cut off: one alone may be lost by itself.
const CUT_LEAST: usize = 2;

impl Cell {
    /// A worker did not answer: nothing new goes there until it does.
    pub fn mark_silent(&mut self, now: Millis, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name)
            && worker.heard
        {
            worker.heard = false;
            log::info!("event=worker-silent worker={name} runs={}", worker.runs.len());
            let runs: Vec<(TaskKey, u64)> = worker.runs.keys().copied().collect();
            for (task, run) in runs {
                if self.is_quarantined(task) {
                    self.record_possible_crash(now, name, task);
                }
                self.copy(now, name, task, run);
            }
        }
    }

    /// A worker left something unanswered: nothing new goes there until it reports, which it is asked
    /// for at once. Where two of a failure domain did so, the others of it are taken to be behind the
    /// same cut. Starts would go behind the cut, and their tasks be held up until it heals.
    pub(in crate::cell) fn doubt(&mut self, now: Millis, name: &Name) {
        if self.is_overloaded || self.config.disabled.contains(Mechanism::AvoidUnresponsive) {
            return;
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.doubt(now);
        self.actions.push(Action::PollNow(name.clone()));
        let domain = worker.listed.domain.clone();
        let of_domain = |worker: &&mut Worker| worker.listed.domain == domain && worker.present;
        let missed = |worker: &&mut Worker| worker.is_doubted() || !worker.heard;
        let silent = self.workers.values_mut().filter(of_domain).filter(missed).count();
        if silent != CUT_LEAST {
            return;
        }
        log::info!("event=domain-doubted domain={domain} silent={silent}");
        for worker in self.workers.values_mut().filter(of_domain) {
            if !worker.is_doubted() {
                worker.doubt(now);
                self.actions.push(Action::PollNow(worker.listed.id.clone()));
            }
        }
    }

    /// Lets a task run elsewhere too, if its copies may run side by side. The first one that is
    /// done counts.
    pub(in crate::cell) fn copy(&mut self, now: Millis, name: &Name, task: TaskKey, run: u64) {
        if self.config.disabled.contains(Mechanism::SpeculativeCopies) {
            return;
        }
        let spec = self.jobs.get(&task.step.job).and_then(|job| job.spec(task.step.step));
        if spec.is_some_and(|spec| spec.allow_copies && !spec.is_gang)
            && !self.may_have_crashed_workers(task, run)
        {
            self.record_possible_crash(now, name, task);
            self.requeue_task(task, run);
        }
    }

    /// Has all runs of a task end: another one is done.
    pub(in crate::cell) fn stop_copies(&mut self, task: TaskKey) {
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

    /// A life of a worker is over, and all that it ran with it.
    pub fn remove_worker(&mut self, now: Millis, name: &Name, why: Over) {
        let is_over = why != Over::Unlisted;
        self.record_worker_crash(now, name, is_over);
        let Some(worker) = self.workers.remove(name) else { return };
        if is_over {
            let life = worker.life();
            self.resolve_crash(&life, CrashResolution::Ended);
            self.ended_lives.insert(life, now);
        }
        let (why, is_leaving) = (why.name(), worker.listed.leaves_in.is_some());
        log::info!(
            "event=worker-gone worker={name} why={why} leaving={is_leaving} runs={}",
            worker.runs.len()
        );
        for (task, run) in worker.runs.into_keys() {
            log::info!("event=run-lost task={task} run={run} worker={name} why={why}");
            self.requeue_task(task, run);
        }
        self.workers_dirty = true;
        self.needs_placement = true;
        self.actions.push(Action::Unwatch(name.clone()));
    }

    /// The workers that are listed now, of every service.
    pub fn set_workers(&mut self, now: Millis, listed: Vec<WorkerInfo>) {
        let ids: BTreeSet<Name> = listed.iter().map(|one| one.id.clone()).collect();
        let lives: BTreeSet<Incarnation> = listed.iter().map(WorkerInfo::incarnation).collect();
        self.ended_lives.retain(|life, _| lives.contains(life));
        for worker in self.workers.values_mut() {
            worker.present = ids.contains(&worker.listed.id);
        }
        for one in listed {
            self.set_worker(now, one);
        }
        self.list_stale = false;
        self.needs_placement = true;
    }

    fn set_worker(&mut self, now: Millis, listed: WorkerInfo) {
        let (name, life) = (listed.id.clone(), listed.incarnation());
        if self.ended_lives.contains_key(&life) {
            return;
        }
        self.confirm_earlier_crashes(&life, &listed.addr);
        self.expect_life(now, &listed);
        match self.workers.get_mut(&name) {
            Some(worker) => {
                let leaves = listed.leaves_in.is_some() && worker.listed.leaves_in.is_none();
                worker.listed = listed;
                if leaves {
                    self.evacuate(&name);
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

    /// A worker leaves: what would not end there in time is moved.
    fn evacuate(&mut self, name: &Name) {
        let Some(worker) = self.workers.get(name) else { return };
        let left = worker.listed.leaves_in.unwrap_or_default();
        log::info!("event=worker-leaving worker={name} left_ms={left} runs={}", worker.runs.len());
        let stays = |task: &TaskKey| {
            let spec = self.jobs.get(&task.step.job).and_then(|job| job.spec(task.step.step));
            spec.is_some_and(|spec| !spec.long_running && spec.estimate < left)
        };
        let moved: Vec<(TaskKey, u64)> =
            worker.runs.keys().filter(|(task, _)| !stays(task)).copied().collect();
        for (task, run) in moved {
            self.stop_run(name, task, run);
        }
    }

    /// Runs whose lease has surely ended at a silent worker are over.
    pub(in crate::cell) fn expire_leases(&mut self, now: Millis) {
        // One that left with nothing running can hold up nobody: the next owner would wait a whole
        // lease for it.
        let left = |worker: &Worker| worker.known && !worker.present && worker.runs.is_empty();
        let silent = |worker: &&Worker| !worker.heard && (now >= worker.lease_end || left(worker));
        let over: Vec<(Name, bool)> = self
            .workers
            .values()
            .filter(silent)
            .map(|worker| (worker.listed.id.clone(), worker.present))
            .collect();
        for (name, present) in over {
            if !present {
                self.remove_worker(now, &name, Over::Unlisted);
                continue;
            }
            let worker = self.workers.get(&name);
            let runs: Vec<_> =
                worker.map(|worker| worker.runs.keys().copied().collect()).unwrap_or_default();
            if !runs.is_empty() {
                log::info!("event=leases-over worker={name} runs={}", runs.len());
            }
            self.record_worker_crash(now, &name, false);
            for (task, run) in runs {
                log::info!("event=run-lost task={task} run={run} worker={name} why=lease-over");
                self.abandon_run(&name, task, run);
            }
        }
    }
}
