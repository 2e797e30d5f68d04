//! The scheduling pass: places the tasks of waiting steps on workers, and sends the start orders.

use crate::cell::advice::request::MIN_TICKET_VALIDITY;
use crate::cell::jobs::job::Job;
use crate::cell::jobs::restart_policy::{is_held_back, needs_stable_worker};
use crate::cell::jobs::step::StepState;
use crate::cell::jobs::wait_reason::WaitReason;
use crate::cell::mechanism::Mechanism;
use crate::cell::placing::candidate::{
    Candidate, UnplacedTasks, count_step_runs, is_suitable, pick_gang_workers, pick_worker,
};
use crate::cell::placing::relaxation::Relaxation;
use crate::cell::placing::unsuitable::UnsuitableRequests;
use crate::cell::placing::victims::JobAccounts;
use crate::cell::workers::run::{Phase, Run};
use crate::cell::workers::speed::is_tight;
use crate::cell::workers::worker::Worker;
use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::StartOrder;
use crate::visits;
use crate::workload::{JobKey, Step, StepKey, TaskKey};
use std::collections::{BTreeMap, VecDeque};

/// The most starts that an overloaded owner has open: decided, and not answered by the worker. At
/// half a millisecond of a small processor for each, an urgent start waits for some 30 ms.
const MAX_OPEN_STARTS: usize = 64;
/// The most starts that may be open at a time otherwise. Starts that cannot be sent within two
/// seconds are given up, and more urgent steps would wait behind those of a large one.
const MAX_CALM_OPEN_STARTS: usize = 2_000;

impl Cell {
    /// Places as many waiting tasks as fit, the most urgent first. Does nothing unless the cell's state has changed
    /// since the last pass, or that pass did not get to all steps.
    pub fn schedule(&mut self, now: Millis) {
        self.fail_exhausted_jobs(now);
        if self.list_stale {
            return;
        }
        let has_changed = std::mem::take(&mut self.needs_placement);
        if !has_changed && !self.round.is_open() {
            return;
        }
        let open = self.open_starts();
        let limit = if self.is_overloaded { MAX_OPEN_STARTS } else { MAX_CALM_OPEN_STARTS };
        let pass_end = self.bound_starts + limit.saturating_sub(open) as u64;
        self.step_end = self.bound_starts + MAX_CALM_OPEN_STARTS.saturating_sub(open) as u64;
        // Expected run times change with each report.
        self.job_accounts = JobAccounts::default();
        self.unsuitable = UnsuitableRequests::default();
        let ready = self.ready_steps.ranked().copied().collect();
        let mut pass = self.round.begin_pass(ready, has_changed);
        while let Some(key) = pass.next_step() {
            if self.awaits_answer_quietly(now, key) {
                continue;
            }
            let before = self.bound_starts;
            visits::add(1);
            self.place_step(now, key);
            self.count_answer(key, self.bound_starts - before);
            if self.bound_starts >= pass_end {
                // The next pass goes on once these starts have been answered.
                self.needs_placement = true;
                return self.assign_requests(now);
            }
        }
        let was_open = self.round.is_open();
        self.needs_placement |= self.round.end_pass(&pass);
        if self.round.is_open() && !was_open {
            log::info!("event=pass-limited epoch={} left={}", self.epoch, pass.left());
        }
        self.assign_requests(now);
    }

    /// Whether the next scheduling pass is to follow without an event. After a pass that ended at its number of starts,
    /// the answers to these starts are the events.
    pub fn wants_pass(&self) -> bool {
        self.round.is_open() && !self.needs_placement
    }

    /// The number of starts that have not been answered. They are limited, so that the most urgent
    /// ones do not wait behind those of a long backlog.
    fn open_starts(&self) -> usize {
        let runs = self.workers.values().flat_map(|worker| worker.runs.values());
        let runs = runs.inspect(|_| visits::add(1));
        runs.filter(|run| run.phase == Phase::Starting).count()
    }

    /// Whether a step waits for an answer of the advice service, has no worker to use until then,
    /// and was found to wait for that before. There is nothing to do for such a step, and while many
    /// wait, most of them are of this kind.
    fn awaits_answer_quietly(&self, now: Millis, key: StepKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let (Some(spec), Some(step)) = (job.spec(key.step), job.step(key)) else { return false };
        let is_known = step
            .wait
            .is_some_and(|wait| wait.reason == WaitReason::Advice && !wait.timer.will_log(now));
        let has_no_worker = step.clearances.request_pending && step.clearances.cleared.is_empty();
        is_known && has_no_worker && !step.waiting.is_empty() && !spec.long_running
    }

    /// Places the waiting tasks of one step. For the tasks that don't fit, tries preemption and reservations, and notes
    /// why the step waits.
    fn place_step(&mut self, now: Millis, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.is_inherited && self.unrecorded_starts.is_some() {
            return self.set_wait_reason(now, key, Some(WaitReason::Takeover));
        }
        // The definition is shared, as a step may have thousands of dependencies, and the job changes below.
        let work = job.work.clone();
        let spec = work.steps.get(usize::from(key.step));
        let (Some(spec), Some(step)) = (spec, job.step(key)) else { return };
        if step.waiting.is_empty() {
            // All its tasks were found to be running or done since the step became ready.
            self.ready_steps.remove(key);
            return self.set_wait_reason(now, key, None);
        }
        let advice = job.queue.advice;
        // Most steps wait for a response of the advice service most of the time. Stop early for them.
        let awaits_advice =
            advice.is_some() && (step.clearances.request_pending || now < step.clearances.retry_at);
        if awaits_advice && !step.clearances.has_any_ticket(now + MIN_TICKET_VALIDITY) {
            let why = self.wait_reason(now, key, &[]);
            return self.set_wait_reason(now, key, why);
        }
        let allowed = self.allowed_starts(job, spec, step.waiting.len());
        if allowed == 0 {
            self.reservations.release(key);
            let why = match self.unrecorded_starts {
                Some(_) => WaitReason::Takeover,
                None => WaitReason::WorkspaceLimit,
            };
            return self.set_wait_reason(now, key, Some(why));
        }
        if !self.has_suitable_worker(job, spec) {
            self.note_unsuitable(key.job, spec);
            let why = self.wait_reason(now, key, &[]);
            return self.set_wait_reason(now, key, why);
        }
        // The members of a gang start together.
        let in_pass = match spec.is_gang {
            true => allowed,
            false => allowed.min(self.step_end.saturating_sub(self.bound_starts) as usize),
        };
        visits::add(step.waiting.len().min(in_pass));
        let waiting: Vec<u32> = step.waiting.iter().copied().take(in_pass).collect();
        let mut candidates = match advice {
            Some(_) => self.ticketed_candidates(now, key, job, step, spec),
            None => self.open_candidates(now, key, job, spec),
        };
        let waits_for_stable = self.retain_stable(key, spec, &mut candidates);
        self.choose_home_domain(key, &candidates);
        match spec.is_gang {
            true => self.place_gang(now, key, spec, &candidates, waiting.len()),
            false => self.place_tasks(now, key, spec, &mut candidates, &waiting),
        }
        let step = self.jobs.get(&key.job).and_then(|job| job.step(key));
        let still_waiting = step.map_or(0, |step| step.waiting.len());
        if !spec.is_gang && still_waiting > 0 && self.bound_starts >= self.step_end {
            // The others are placed once these starts have been answered.
            return self.set_wait_reason(now, key, None);
        }
        // Tasks that the workspace may not start yet need no reservation, and no tickets that would expire by then.
        let unplaced =
            self.jobs.get(&key.job).map_or(0, |job| self.allowed_starts(job, spec, still_waiting));
        if unplaced > 0 {
            let tasks = UnplacedTasks { step: key, spec, count: unplaced as u32 };
            self.preempt_for(now, &tasks, &candidates);
            self.reserve_shared_for(now, &tasks);
            self.reserve_for_gang(now, &tasks);
        }
        match advice {
            _ if still_waiting == 0 => {
                self.reservations.release(key);
                self.ready_steps.remove(key);
            }
            Some(advice) if unplaced > 0 => self.request_advice(now, key, spec, advice, unplaced),
            _ => {}
        }
        let why = self.wait_reason(now, key, &candidates).map(|why| match why {
            _ if unplaced == 0 => WaitReason::WorkspaceLimit,
            WaitReason::Crashes => why,
            _ if waits_for_stable => WaitReason::NewWorkers,
            _ => why,
        });
        self.set_wait_reason(now, key, why);
    }

    /// The workers that may run a step's tasks now, without regard to the advice service.
    pub(in crate::cell) fn open_candidates(
        &self,
        now: Millis,
        key: StepKey,
        job: &Job,
        spec: &Step,
    ) -> Vec<Candidate> {
        self.filter_candidates(now, key, job, spec, self.workers.iter())
    }

    /// The workers that may run a step's tasks now and have a valid ticket for it.
    fn ticketed_candidates(
        &self,
        now: Millis,
        key: StepKey,
        job: &Job,
        step: &StepState,
        spec: &Step,
    ) -> Vec<Candidate> {
        let tickets = step.clearances.ticket_holders(now + MIN_TICKET_VALIDITY);
        let cleared = tickets.filter_map(|name| Some((name, self.workers.get(name)?)));
        self.filter_candidates(now, key, job, spec, cleared)
    }

    /// The workers that the advice service has cleared for a step, also with expired tickets. All workers that may run
    /// its tasks if the queue doesn't use the advice service.
    pub(in crate::cell) fn cleared_candidates(
        &self,
        now: Millis,
        key: StepKey,
        spec: &Step,
    ) -> Vec<Candidate> {
        let Some(job) = self.jobs.get(&key.job) else { return Vec::new() };
        let Some(step) = job.step(key) else { return Vec::new() };
        if job.queue.advice.is_none() {
            return self.open_candidates(now, key, job, spec);
        }
        let names = step.clearances.cleared.keys();
        let cleared = names.filter_map(|name| Some((name, self.workers.get(name)?)));
        self.filter_candidates(now, key, job, spec, cleared)
    }

    /// Selects from `workers` those that may run a step's tasks. Their free resources don't include what is reserved
    /// for other steps.
    fn filter_candidates<'a>(
        &self,
        now: Millis,
        key: StepKey,
        job: &Job,
        spec: &Step,
        workers: impl Iterator<Item = (&'a Name, &'a Worker)>,
    ) -> Vec<Candidate> {
        let step_rank = job.rank();
        let skips_excluded = !self.config.disabled.contains(Mechanism::SidelineWorkers);
        let is_quarantined =
            |worker: &Worker| worker.quarantined_job().is_some_and(|job| job != key.job);
        let relaxation = self.relaxation(now, job, key);
        let is_avoided = |worker: &Worker| {
            relaxation == Relaxation::None
                && ((skips_excluded && worker.is_excluded(now)) || is_quarantined(worker))
        };
        let open = workers
            .inspect(|_| visits::add(1))
            .filter(|(_, worker)| worker.accepts_tasks(self.stored_batch) && !is_avoided(worker))
            // No start can be sent before the lease may be renewed.
            .filter(|(name, _)| self.leases.may_renew(name));
        let suitable = open.filter(|(_, worker)| is_suitable(worker, &job.queue.service, spec));
        let is_tight = is_tight(job);
        let to_candidate = |(name, worker): (&Name, &Worker)| {
            let candidate = Candidate::new(now, name, worker);
            let unavailable = self.reservations.unavailable(
                name,
                key,
                step_rank,
                spec.is_preemptible(),
                relaxation,
            );
            let step_runs = if spec.worker_limit == 0 { 0 } else { count_step_runs(worker, key) };
            let is_reserved = self.reservations.has_gang_at(name, key);
            Candidate {
                free: candidate.free.saturating_sub(&unavailable),
                step_runs,
                is_reserved,
                speed_order: worker.speed.class().order(is_tight),
                ..candidate
            }
        };
        suitable.map(to_candidate).collect()
    }

    /// Assigns a home failure domain to a job: the one with the most idle cores. Its tasks go there while they fit, so
    /// that a network partition between failure domains delays few jobs.
    fn choose_home_domain(&mut self, key: StepKey, candidates: &[Candidate]) {
        if self.config.disabled.contains(Mechanism::PreferDomain) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.home_domain.is_none()) else {
            return;
        };
        let mut idle: BTreeMap<&Name, u64> = BTreeMap::new();
        for candidate in candidates {
            let sum = idle.entry(&candidate.domain).or_default();
            *sum = sum.saturating_add(candidate.free.cpu);
        }
        job.home_domain =
            idle.into_iter().max_by_key(|(_, cpu)| *cpu).map(|(domain, _)| domain.clone());
    }

    /// Places waiting tasks of a step that isn't a gang, each on the best candidate.
    fn place_tasks(
        &mut self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        candidates: &mut [Candidate],
        waiting: &[u32],
    ) {
        let charge = spec.charged_resources();
        for index in waiting {
            let task = TaskKey { step: key, index: *index };
            let Some(job) = self.jobs.get(&key.job) else { return };
            let Some(step) = job.step(key) else { return };
            let Some(state) = step.tasks.get(*index as usize) else { return };
            if is_held_back(spec, &state.crashes) {
                continue;
            }
            let home = job.home_domain.as_ref().filter(|_| !spec.long_running);
            let needs_stable = needs_stable_worker(&state.crashes);
            let candidate = match pick_worker(candidates, spec, home, state) {
                Some(candidate) => candidate,
                // Other tasks of the step may run on unstable workers.
                None if needs_stable => continue,
                None => return,
            };
            candidate.free = candidate.free.saturating_sub(&charge);
            candidate.step_runs += 1;
            candidate.total_runs += 1;
            let name = candidate.name.clone();
            let run = self.next_run_number();
            self.bind(now, task, &name, run, spec, "");
        }
    }

    /// Places all tasks of a gang together, or none.
    fn place_gang(
        &mut self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        candidates: &[Candidate],
        waiting: usize,
    ) {
        if waiting < spec.count as usize {
            return;
        }
        let home = self.jobs.get(&key.job).and_then(|job| job.home_domain.clone());
        let mut members = (0..spec.count).map(|index| TaskKey { step: key, index });
        if members.clone().any(|task| is_held_back(spec, self.task_crashes(task))) {
            return;
        }
        let is_quarantined = members.any(|task| self.is_quarantined(task));
        let Some(chosen) = pick_gang_workers(candidates, spec, home.as_ref(), is_quarantined)
        else {
            return;
        };
        let run = self.next_run_number();
        let checkpoint = self.gang_checkpoint(key);
        for (index, name) in chosen.iter().enumerate() {
            let task = TaskKey { step: key, index: index as u32 };
            self.bind(now, task, name, run, spec, &checkpoint);
        }
    }

    /// The checkpoint of the first member that has one. It is valid for the whole gang.
    fn gang_checkpoint(&self, key: StepKey) -> Name {
        let step = self.jobs.get(&key.job).and_then(|job| job.step(key));
        let tasks = step.map(|step| step.tasks.as_slice()).unwrap_or_default();
        let checkpoint =
            tasks.iter().map(|task| &task.checkpoint).find(|checkpoint| !checkpoint.is_empty());
        checkpoint.cloned().unwrap_or_else(|| "".into())
    }

    /// The run number for a new start, which is higher than all earlier ones, in this epoch and before. The tasks of a
    /// gang share one.
    fn next_run_number(&mut self) -> u64 {
        self.last_run += 1;
        self.last_run
    }

    /// Binds a task to a worker: takes the resources for the run and queues the start, which is sent once the binding
    /// is stored.
    fn bind(
        &mut self,
        now: Millis,
        task: TaskKey,
        name: &Name,
        run_number: u64,
        spec: &Step,
        checkpoint: &str,
    ) {
        let workspace = self.jobs.get(&task.step.job).and_then(|job| job.workspace.clone());
        let confirmed_guard = self.confirm_own_run(workspace.as_ref(), spec.resources);
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(worker) = self.workers.get_mut(name) else { return };
        let mut run = Run::new(run_number, spec, Phase::Starting);
        (run.known_since, run.confirmed_guard) = (now, confirmed_guard);
        run.usage_guard =
            job.workspace.as_ref().map(|owner| self.usages.acquire(owner, spec.resources));
        let run_times = self.run_times.get(&job.queue.name).filter(|_| !spec.long_running);
        run.late_after = run_times.and_then(|times| times.late_after(spec.estimate));
        worker.add_run(task, run);
        let age = now.since(job.known_since);
        job.was_placed = true;
        let spec_text = job.work.payload.clone();
        let Some(step) = job.step_mut(task.step) else { return };
        step.place(task.index, name.clone(), run_number);
        step.idle_since = None;
        let ticket = step.clearances.cleared.get(name).map(|ticket| ticket.text.clone());
        let Some(state) = step.tasks.get(task.index as usize) else { return };
        let checkpoint = match checkpoint {
            "" if !spec.is_gang => state.checkpoint.clone(),
            checkpoint => checkpoint.into(),
        };
        let worker = self.workers.get_mut(name);
        if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&(task, run_number))) {
            run.is_resumed = !checkpoint.is_empty();
        }
        log::info!("event=start task={task} run={run_number} worker={name} age_ms={age}");
        let ticket = ticket.unwrap_or_else(|| "".into());
        let start = StartOrder { task, run: run_number, payload: spec_text, checkpoint, ticket };
        self.dirty_jobs.insert(task.step.job);
        if self.is_quarantined(task) {
            self.quarantine_worker(name, task);
        }
        self.bound_starts += 1;
        self.unsent_starts.push_back((self.open_batch, name.clone(), start));
    }

    /// Sends the starts whose bindings are in the store, up to `stored_batch`. The next owner has to know of them.
    pub(in crate::cell) fn send_starts(&mut self, now: Millis, stored_batch: u64) {
        self.send_starts_if(now, |_, batch, _| batch <= stored_batch);
    }

    /// Sends the queued starts of accepted jobs for which `may_send` holds. The others stay queued in order.
    fn send_starts_if(&mut self, now: Millis, may_send: impl Fn(&Self, u64, TaskKey) -> bool) {
        if self.has_left {
            return;
        }
        let lease = self.config.lease;
        let unsent = std::mem::take(&mut self.unsent_starts);
        let is_ready = |(batch, _, start): &(u64, Name, StartOrder)| {
            self.is_accepted(start.task.step.job) && may_send(self, *batch, start.task)
        };
        let (ready, remaining): (VecDeque<_>, VecDeque<_>) = unsent.into_iter().partition(is_ready);
        self.unsent_starts = remaining;
        for (batch, name, start) in ready {
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            let run = worker.runs.get(&(start.task, start.run));
            if run.is_none_or(|run| run.phase != Phase::Starting) {
                continue;
            }
            if worker.is_other_incarnation(worker.listed.started_at) {
                log::info!("event=start-given-up task={} worker={name} why=restarted", start.task);
                self.abandon_run(&name, start.task, start.run);
                continue;
            }
            if worker.is_overcommitted() {
                log::info!("event=worker-overcommitted task={} worker={name}", start.task);
                self.abandon_run(&name, start.task, start.run);
                continue;
            }
            if !self.leases.may_renew(&name) {
                log::info!("event=start-given-up task={} worker={name} why=unheard", start.task);
                self.abandon_run(&name, start.task, start.run);
                continue;
            }
            let Some(until) = worker.renew_lease(now, lease) else {
                log::info!(
                    "event=start-given-up task={} worker={name} why=clock-unknown",
                    start.task
                );
                self.abandon_run(&name, start.task, start.run);
                continue;
            };
            if let Some(run) = worker.runs.get_mut(&(start.task, start.run)) {
                run.is_sent = true;
            }
            if batch > self.stored_batch {
                self.last_unrecorded = self.last_unrecorded.max(batch);
            }
            self.actions.push(Action::Start { worker: name, start, until });
        }
    }

    /// Whether a job is stored. Starts of a job that is no longer known aren't delayed.
    fn is_accepted(&self, key: JobKey) -> bool {
        self.jobs.get(&key).is_none_or(|job| job.batch <= self.stored_batch)
    }

    /// Sends starts whose bindings aren't stored, while the store is unavailable to all entries. The next owner will
    /// know of the outage. Jobs that aren't stored are excluded: they aren't accepted yet and may still be refused.
    pub fn send_unstored(&mut self, now: Millis) {
        // Crashes of a task have to be stored before it starts again. Otherwise it could start more often than is
        // allowed over several outages that each end with a takeover.
        self.send_starts_if(now, |cell, batch, task| {
            batch <= cell.stored_batch || cell.task_crashes(task).is_empty()
        });
    }
}
