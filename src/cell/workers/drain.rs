//! Failure domains that the operators drain: no task is started there until the domain is restored.
//!
//! Tasks that end by themselves go on, because their workers serve as before and a stop would throw
//! their work away. Tasks that run until their job is cancelled are moved one at a time, each only
//! when the others of its step run and a worker elsewhere has room for it.

use crate::cell::Cell;
use crate::cell::jobs::step::StepState;
use crate::cell::placing::candidate::is_suitable;
use crate::cell::workers::run::{Phase, Run};
use crate::cell::workers::worker::Worker;
use crate::id::Name;
use crate::visits;
use crate::workload::{StepKey, TaskKey};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl Cell {
    /// Sets the failure domains in which no task is started, and gives up the starts that were
    /// decided for them and not sent yet.
    pub fn set_drained_domains(&mut self, domains: Arc<BTreeSet<Name>>) {
        if self.drained_domains == domains {
            return;
        }
        for domain in domains.difference(&self.drained_domains) {
            log::info!("event=domain-drained domain={domain} epoch={}", self.epoch);
        }
        for domain in self.drained_domains.difference(&domains) {
            log::info!("event=domain-restored domain={domain} epoch={}", self.epoch);
        }
        self.drained_domains = domains;
        self.mark_drained_workers();
        self.give_up_starts_if("drained", |cell, worker| cell.is_drained(worker));
        let (drained, kept) = std::mem::take(&mut self.unsent_starts)
            .into_iter()
            .partition(|(_, worker, _)| self.is_drained(worker));
        self.unsent_starts = kept;
        for (_, worker, start) in drained {
            log::info!("event=start-given-up task={} worker={worker} why=drained", start.task);
            self.abandon_run(&worker, start.task, start.run);
        }
        self.needs_placement = true;
    }

    /// Whether a worker is known to be in a failure domain that is drained.
    pub fn is_drained(&self, worker: &Name) -> bool {
        self.workers.get(worker).is_some_and(|worker| worker.is_drained)
    }

    /// Notes for each worker whether its failure domain is drained.
    pub(in crate::cell) fn mark_drained_workers(&mut self) {
        for worker in self.workers.values_mut() {
            worker.is_drained = self.drained_domains.contains(&worker.listed.domain);
        }
    }

    /// Stops one long-running task of each step that has any in a drained failure domain, so that it
    /// starts elsewhere.
    pub(in crate::cell) fn move_drained_tasks(&mut self) {
        if self.drained_domains.is_empty() {
            return;
        }
        let mut moves: BTreeMap<StepKey, (Name, TaskKey, u64)> = BTreeMap::new();
        for (name, worker) in self.workers.iter().filter(|(_, worker)| worker.is_drained) {
            for ((task, run), known) in &worker.runs {
                if matches!(known.phase, Phase::Running(_)) && known.is_lasting {
                    moves.entry(task.step).or_insert_with(|| (name.clone(), *task, *run));
                }
            }
        }
        moves.retain(|step, _| self.may_move(*step));
        for (name, task, run) in moves.into_values() {
            log::info!("event=run-moved task={task} run={run} worker={name} why=drained");
            self.stop_run(&name, task, run);
        }
    }

    /// Whether a task of a long-running step may be stopped to be moved: all tasks of the step run,
    /// and a worker has room for the moved one.
    fn may_move(&self, key: StepKey) -> bool {
        let Some(job) = self.jobs.get(&key.job).filter(|job| job.is_open()) else { return false };
        let (Some(spec), Some(step)) = (job.spec(key.step), job.step(key)) else { return false };
        if spec.is_gang || !self.all_tasks_run(key, step) {
            return false;
        }
        let charge = spec.charged_resources();
        self.workers.values().any(|worker| {
            worker.accepts_tasks(self.stored_batch)
                && is_suitable(worker, &job.queue.service, spec)
                && worker.free().can_fit(&charge)
        })
    }

    /// Whether every task of a step has a run that is known to work.
    fn all_tasks_run(&self, key: StepKey, step: &StepState) -> bool {
        let is_working = |run: &Run| matches!(run.phase, Phase::Running(_));
        let working = |worker: &Worker| {
            let runs = worker.runs_of_step(key).inspect(|_| visits::add(1));
            runs.filter(|(_, run)| is_working(run)).count()
        };
        step.waiting.is_empty()
            && self.workers.values().map(working).sum::<usize>() >= step.tasks.len()
    }
}
