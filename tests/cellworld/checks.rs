//! The invariants that are checked at each start, after the last fault, and at the end.

use super::*;
use sprucerudder::cell::records::journal::JobOutcome;

/// How many workers have to crash while they run a task before its job may be shown as failed, by
/// the platform's contract.
const MIN_CRASHES: usize = 2;

impl Simulation {
    /// Ends the simulation soon after all jobs have ended. The remaining time shows starts that
    /// should not happen.
    pub(super) fn end_when_settled(&mut self) {
        let Some(owner) = self.owners.last() else { return };
        let is_over =
            |job: &JobKey| matches!(owner.cell.job_state(*job), Some(JobState::Closed(_)));
        let mut ending = self.accepted.iter().filter(|job| !self.is_lasting(**job));
        let all_over = self.accepted.len() == self.works.len() && ending.all(is_over);
        if self.now > FAULTS_END_MS && all_over {
            self.run_end = self.run_end.min(self.now + self.settle_time());
        }
    }

    /// Checks that all accepted jobs with an end have ended.
    pub(super) fn check_all_ended(&mut self) {
        let states: Vec<(JobKey, Option<JobState>)> = {
            let Some(owner) = self.owners.last() else { return };
            let ending = self.accepted.iter().filter(|job| !self.is_lasting(**job));
            ending.map(|job| (*job, owner.cell.job_state(*job))).collect()
        };
        for (job, state) in states {
            match state {
                Some(JobState::Closed(JobOutcome::Failed)) if !self.may_fail(job) => {
                    self.record_violation(format!("job {job} failed without a cause"));
                }
                Some(JobState::Closed(_)) => {}
                other => self.record_violation(format!("job {job} did not end: {other:?}")),
            }
        }
    }

    /// Whether a job may be shown as failed: one of its tasks, or a gang, failed as often as its queue
    /// allows, or enough workers crashed while one of its tasks ran on them.
    fn may_fail(&self, job: JobKey) -> bool {
        let is_gang = |step: StepKey| self.works[&step.job].steps[usize::from(step.step)].is_gang;
        let tasks = self.failures.iter().filter(|(task, _)| !is_gang(task.step));
        let tasks = tasks.map(|(task, ends)| (task.step.job, ends.len()));
        // A run of a gang counts once, however many of its members fail.
        let gangs = self.failed_gang_runs.iter().map(|(step, runs)| (step.job, runs.len()));
        let mut failures = tasks.chain(gangs).filter(|(of, _)| *of == job);
        let max_attempts = self.base_queue.max_attempts as usize;
        let mut crashed = self.crashed_under.iter().filter(|(task, _)| task.step.job == job);
        failures.any(|(_, count)| count >= max_attempts)
            || crashed.any(|(_, incarnations)| incarnations.len() >= MIN_CRASHES)
    }

    /// Checks that no step waits for longer than the platform's contract allows: 3 s, after 4 s
    /// without a fault, while a worker has room for two of its tasks and less than half of the
    /// whole capacity is in use.
    pub(super) fn check_waits(&mut self, owner: usize) {
        let is_current = owner + 1 == self.owners.len() && !self.owners[owner].deposed;
        if !is_current {
            return;
        }
        let check_from = FAULTS_END_MS.max(self.last_disruption) + WAIT_GRACE_MS;
        if self.now < check_from {
            self.waiting_since.clear();
            return;
        }
        let waits: Vec<_> = self.owners[owner].cell.waiting_steps().collect();
        let is_idle = |(step, why): &(StepKey, WaitReason)| {
            *why != WaitReason::Crashes && self.could_run(*step) && !self.uses_half_limit(step.job)
        };
        let idle: Vec<(StepKey, WaitReason)> = waits.into_iter().filter(is_idle).collect();
        self.waiting_since.retain(|step, _| idle.iter().any(|(other, _)| other == step));
        for (step, why) in idle {
            let since = *self.waiting_since.entry(step).or_insert(self.now);
            if self.now - since > MAX_WAIT_MS {
                self.record_violation(format!(
                    "step {step} waits though there is room: {}",
                    why.name()
                ));
            }
        }
    }

    /// Whether no task of a step's job runs, although a worker has room for two of its tasks and
    /// less than half of the whole capacity is in use.
    pub(super) fn could_run(&self, step: StepKey) -> bool {
        let spec = &self.works[&step.job].steps[usize::from(step.step)];
        let charge = spec.charged_resources();
        let alive = || self.workers.values().filter(|worker| worker.stays());
        let used = |worker: &SimWorker| -> Resources {
            worker.running.values().fold(Resources::default(), |sum, run| sum.plus(&run.charge))
        };
        let runs = self.workers.values().any(|worker| worker.alive && worker.runs_job(step.job));
        let all: u64 = alive().map(|worker| worker.listed.capacity.cpu).sum();
        let taken: u64 = alive().map(|worker| used(worker).cpu).sum();
        let double = charge.plus(&charge);
        let has_spare_room = |worker: &SimWorker| {
            let is_partitioned = worker.partitioned_until + WAIT_GRACE_MS > self.now;
            let may_run = self.is_cleared(step, &worker.listed.id);
            !is_partitioned
                && may_run
                && worker.listed.capacity.saturating_sub(&used(worker)).can_fit(&double)
        };
        // A gang needs room for all of its tasks at once.
        !spec.is_gang && !runs && taken * 2 < all && alive().any(has_spare_room)
    }

    /// Checks that owners in contact start a task at most twice more after three workers crashed
    /// under it.
    pub(super) fn check_crashes(&mut self, owner: Option<usize>, task: TaskKey) {
        let Some(owner) = owner else { return };
        let crashed = self.crash_tasks.get(&task).map_or(0, BTreeSet::len);
        let was_paused =
            self.pause_ends.get(&owner).is_some_and(|until| *until + CONTACT_MS > self.now);
        if crashed < 3 || was_paused || owner + 1 != self.owners.len() {
            return;
        }
        let extra = self.extra_starts.entry(task).or_default();
        *extra += 1;
        if *extra >= 3 {
            self.record_violation(format!(
                "{task} started three more times after {crashed} crashes"
            ));
        }
    }

    /// Checks the invariants of a start.
    pub(super) fn check_start(&mut self, name: &Name, task: TaskKey, spec: &Step) {
        let job = task.step.job;
        let worker = &self.workers[name];
        let used =
            worker.running.values().fold(Resources::default(), |sum, run| sum.plus(&run.charge));
        let wanted = used.plus(&spec.charged_resources());
        let before = worker.old_rooms.iter().filter(|(until, _)| *until >= self.now);
        let mut allowed = before.map(|(_, room)| *room).chain([worker.listed.capacity]);
        let overcommitted = !allowed.any(|room| room.can_fit(&wanted));
        let here = worker.running.keys().filter(|other| other.step == task.step).count() as u32;
        let is_crowded = spec.worker_limit > 0 && here >= spec.worker_limit;
        let duplicate =
            self.workers.values().any(|worker| worker.alive && worker.running.contains_key(&task));
        let is_early = spec.dependencies.iter().any(|after| {
            let count = self.works[&job].steps[usize::from(*after)].count;
            let step = StepKey { step: *after, ..task.step };
            (0..count).any(|index| !self.done.contains_key(&TaskKey { step, index }))
        });
        let is_done = self.done.get(&task).copied().unwrap_or(false);
        let failure_count = self.failures.get(&task).map_or(0, Vec::len);
        if !spec.allow_copies {
            let runs = self.unconfirmed_done.get(&task).into_iter().flatten();
            self.repeated_done.extend(runs.map(|run| (task, *run)));
        }
        self.lasting.record_start(task, spec);
        let checks = [
            (overcommitted, "a worker runs more than its capacity"),
            (is_crowded, "more tasks of a step on one worker than allowed"),
            (duplicate && !spec.allow_copies, "a task runs twice at once"),
            (is_early, "a task starts before what it depends on is done"),
            (is_done && !spec.allow_copies, "a task starts again after its end was confirmed"),
        ];
        for (is_violated, what) in checks {
            if is_violated {
                self.record_violation(format!("{what}: {task} on {name}"));
            }
        }
        if failure_count >= self.base_queue.max_attempts as usize && !spec.long_running {
            self.excess_starts.push((task, failure_count));
            self.check_attempts();
        }
    }

    /// Checks that no task started more often than its queue allows. Failures that were lost with
    /// their worker before anybody confirmed them do not count.
    pub(super) fn check_attempts(&mut self) {
        let allowed = self.base_queue.max_attempts as usize;
        let excess = self.excess_starts.iter().find(|(task, failed)| {
            let ends = self.failures.get(task).map(Vec::as_slice).unwrap_or_default();
            ends.iter().take(*failed).filter(|(.., confirmed)| *confirmed).count() >= allowed
        });
        if let Some((task, _)) = excess.copied() {
            self.record_violation(format!(
                "a task started more often than its queue allows: {task}"
            ));
        }
    }
}
