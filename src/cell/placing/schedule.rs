//! Which task starts next, and where.

use crate::cell::advice::request::MIN_TICKET_VALIDITY;
use crate::cell::jobs::job::{Job, StepState};
use crate::cell::jobs::life::rank;
use crate::cell::jobs::stage::{is_paused, needs_settled};
use crate::cell::jobs::why::Why;
use crate::cell::mechanism::Mechanism;
use crate::cell::placing::place::{Fit, Need, count_at, is_suitable, pick, pick_gang};
use crate::cell::placing::pressure::Pressure;
use crate::cell::workers::worker::{Phase, Run, Worker};
use crate::cell::{Action, Cell, RUN_NUMBER_BITS};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::Start;
use crate::workload::{JobKey, Step, StepKey, TaskKey};
use std::collections::{BTreeMap, VecDeque};

impl Cell {
    /// Places waiting tasks, the most urgent first, as far as there is room.
    pub fn schedule(&mut self, now: Millis) {
        self.give_up(now);
        if self.list_stale || !std::mem::take(&mut self.needs_placement) {
            return;
        }
        let ready: Vec<StepKey> = self.ready_steps.iter().map(|(_, _, key)| *key).collect();
        for key in ready {
            self.place_step(now, key);
        }
        self.assign_requests(now);
    }

    fn place_step(&mut self, now: Millis, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.inherited && self.unrecorded_starts.is_some() {
            return self.note_wait(now, key, Some(Why::Takeover));
        }
        let (Some(spec), Some(step)) = (job.spec(key.step), job.step(key)) else { return };
        if step.waiting.is_empty() {
            // All its tasks were found to run, or to be done, since it was listed.
            let (priority, due) = rank(job);
            self.ready_steps.remove(&(priority, due, key));
            return self.note_wait(now, key, None);
        }
        let advice = job.queue.advice;
        // Most steps wait for an answer most of the time: these cost nothing more.
        let pauses = advice.is_some() && (step.advised.asking || now < step.advised.again);
        if pauses && !step.advised.has_ticket(now + MIN_TICKET_VALIDITY) {
            let why = self.why(now, key, &[]);
            return self.note_wait(now, key, why);
        }
        let allowed = self.allowed(job, spec, step.waiting.len());
        if allowed == 0 {
            self.reservations.release(key);
            return self.note_wait(now, key, Some(Why::Bound));
        }
        let spec = spec.clone();
        let waiting: Vec<u32> = step.waiting.iter().copied().take(allowed).collect();
        let mut fits = match advice {
            Some(_) => self.cleared(now, key, job, step, &spec),
            None => self.open(now, key, job, &spec),
        };
        let waits_for_settled = self.leave_settled(key, &spec, &mut fits);
        self.choose_home(key, &fits);
        match spec.gang {
            true => self.place_gang(now, key, &spec, &fits, waiting.len()),
            false => self.place_tasks(now, key, &spec, &mut fits, &waiting),
        }
        let left = self.jobs.get(&key.job).and_then(|job| job.step(key));
        let left = left.map_or(0, |step| step.waiting.len());
        // What the workspace may not start yet needs no room, and no clearance that would run out meanwhile.
        let rest = self.jobs.get(&key.job).map_or(0, |job| self.allowed(job, &spec, left));
        if rest > 0 {
            let need = Need { step: key, spec: &spec, tasks: rest as u32 };
            self.make_room(now, &need, &fits);
            self.share_room(now, &need);
            self.gather_room(now, &need);
        }
        match advice {
            _ if left == 0 => {
                self.reservations.release(key);
                let ranks = self.jobs.get(&key.job).map(rank);
                if let Some((priority, due)) = ranks {
                    self.ready_steps.remove(&(priority, due, key));
                }
            }
            Some(advice) if rest > 0 => self.request_advice(now, key, &spec, advice, rest),
            _ => {}
        }
        let why = self.why(now, key, &fits).map(|why| match why {
            _ if rest == 0 => Why::Bound,
            Why::Crashes => why,
            _ if waits_for_settled => Why::NewWorkers,
            _ => why,
        });
        self.note_wait(now, key, why);
    }

    /// The workers that may run a step.
    pub(in crate::cell) fn open(
        &self,
        now: Millis,
        key: StepKey,
        job: &Job,
        spec: &Step,
    ) -> Vec<Fit> {
        self.fits(now, key, job, spec, self.workers.iter())
    }

    /// The workers that may run a step and whose tickets for it hold.
    fn cleared(
        &self,
        now: Millis,
        key: StepKey,
        job: &Job,
        step: &StepState,
        spec: &Step,
    ) -> Vec<Fit> {
        let tickets = step.advised.tickets(now + MIN_TICKET_VALIDITY);
        let known = tickets.filter_map(|name| Some((name, self.workers.get(name)?)));
        self.fits(now, key, job, spec, known)
    }

    /// The workers that may run a step as far as is known, whether their tickets hold or not.
    pub(in crate::cell) fn known_good(&self, now: Millis, key: StepKey, spec: &Step) -> Vec<Fit> {
        let Some(job) = self.jobs.get(&key.job) else { return Vec::new() };
        let Some(step) = job.step(key) else { return Vec::new() };
        if job.queue.advice.is_none() {
            return self.open(now, key, job, spec);
        }
        let names = step.advised.cleared.keys();
        let known = names.filter_map(|name| Some((name, self.workers.get(name)?)));
        self.fits(now, key, job, spec, known)
    }

    /// Those of some workers that may run a step, with the room that others leave to it.
    fn fits<'a>(
        &self,
        now: Millis,
        key: StepKey,
        job: &Job,
        spec: &Step,
        workers: impl Iterator<Item = (&'a Name, &'a Worker)>,
    ) -> Vec<Fit> {
        let rank = rank(job);
        let minds = !self.config.disabled.contains(Mechanism::SidelineWorkers);
        let is_quarantine =
            |worker: &Worker| worker.quarantined_job().is_some_and(|job| job != key.job);
        let pressure = self.pressure(now, job, key);
        let aside = |worker: &Worker| {
            pressure == Pressure::None && ((minds && worker.is_aside(now)) || is_quarantine(worker))
        };
        let open =
            workers.filter(|(_, worker)| worker.is_open(self.stored_batch) && !aside(worker));
        let suitable = open.filter(|(_, worker)| is_suitable(worker, &job.queue.service, spec));
        let fit = |(name, worker)| {
            let fit = Fit::new(now, name, worker);
            let held = self.reservations.held(name, key, rank, spec.can_stop(), pressure);
            let runs = if spec.apart == 0 { 0 } else { count_at(worker, key) };
            let is_kept = self.reservations.gathers_at(name, key);
            Fit { free: fit.free.less(&held), runs, is_kept, ..fit }
        };
        suitable.map(fit).collect()
    }

    /// Gives a job a failure domain, the one with the most idle processors: its tasks go there as
    /// far as there is room, so that a cut between failure domains holds up few jobs.
    fn choose_home(&mut self, key: StepKey, fits: &[Fit]) {
        if self.config.disabled.contains(Mechanism::PreferDomain) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.home.is_none()) else {
            return;
        };
        let mut idle: BTreeMap<&Name, u64> = BTreeMap::new();
        for fit in fits {
            *idle.entry(&fit.domain).or_default() += fit.free.cpu;
        }
        job.home = idle.into_iter().max_by_key(|(_, cpu)| *cpu).map(|(domain, _)| domain.clone());
    }

    fn place_tasks(
        &mut self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        fits: &mut [Fit],
        waiting: &[u32],
    ) {
        let charge = spec.charge();
        for index in waiting {
            let task = TaskKey { step: key, index: *index };
            let Some(job) = self.jobs.get(&key.job) else { return };
            let Some(step) = job.step(key) else { return };
            let Some(state) = step.tasks.get(*index as usize) else { return };
            if is_paused(&state.crashes) {
                continue;
            }
            let home = job.home.as_ref().filter(|_| !spec.lasting);
            let needs_settled = needs_settled(&state.crashes);
            let fit = match pick(fits, spec, home, state) {
                Some(fit) => fit,
                // The others may go to workers that have just started, too.
                None if needs_settled => continue,
                None => return,
            };
            fit.free = fit.free.less(&charge);
            fit.runs += 1;
            fit.busy += 1;
            let name = fit.name.clone();
            let run = self.next_run(key, [*index]);
            self.bind(now, task, &name, run, spec, "");
        }
    }

    /// Places all tasks of a gang, or none.
    fn place_gang(&mut self, now: Millis, key: StepKey, spec: &Step, fits: &[Fit], waiting: usize) {
        if waiting < spec.count as usize {
            return;
        }
        let home = self.jobs.get(&key.job).and_then(|job| job.home.clone());
        let mut members = (0..spec.count).map(|index| TaskKey { step: key, index });
        if members.clone().any(|task| is_paused(self.crashes(task))) {
            return;
        }
        let is_quarantined = members.any(|task| self.is_quarantined(task));
        let Some(chosen) = pick_gang(fits, spec, home.as_ref(), is_quarantined) else { return };
        let run = self.next_run(key, 0..spec.count);
        let saved = self.gang_progress(key);
        for (index, name) in chosen.iter().enumerate() {
            let task = TaskKey { step: key, index: index as u32 };
            self.bind(now, task, name, run, spec, &saved);
        }
    }

    /// The saved progress of any member is good for the whole gang.
    fn gang_progress(&self, key: StepKey) -> Name {
        let step = self.jobs.get(&key.job).and_then(|job| job.step(key));
        let tasks = step.map(|step| step.tasks.as_slice()).unwrap_or_default();
        let saved = tasks.iter().map(|task| &task.saved).find(|saved| !saved.is_empty());
        saved.cloned().unwrap_or_else(|| "".into())
    }

    /// The number for a start: above all earlier ones of these tasks, in this epoch and before.
    fn next_run(&self, key: StepKey, indices: impl IntoIterator<Item = u32>) -> u64 {
        let step = self.jobs.get(&key.job).and_then(|job| job.step(key));
        let runs = indices.into_iter().filter_map(|index| {
            let task = step?.tasks.get(index as usize)?;
            Some(task.runs)
        });
        (self.epoch << RUN_NUMBER_BITS).max(runs.max().unwrap_or(0)) + 1
    }

    /// Takes the room for a run and has it started as soon as the store knows of it.
    fn bind(&mut self, now: Millis, task: TaskKey, name: &Name, no: u64, spec: &Step, saved: &str) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(worker) = self.workers.get_mut(name) else { return };
        let mut run = Run::bound(no, spec, Phase::Starting);
        run.since = now;
        run.held = job.workspace.as_ref().map(|owner| self.usages.hold(owner, spec.room));
        let times = self.run_times.get(&job.queue.name).filter(|_| !spec.lasting);
        run.limit = times.and_then(|times| times.limit(spec.estimate));
        worker.add(task, run);
        let age = now.since(job.since);
        job.bound = true;
        let text = job.work.spec.clone();
        let Some(step) = job.step_mut(task.step) else { return };
        step.place(task.index, name.clone(), no);
        step.idle_since = None;
        let ticket = step.advised.cleared.get(name).map(|ticket| ticket.text.clone());
        let Some(state) = step.tasks.get_mut(task.index as usize) else { return };
        state.runs = no;
        let saved = match saved {
            "" if !spec.gang => state.saved.clone(),
            saved => saved.into(),
        };
        log::info!("event=start task={task} run={no} worker={name} age_ms={age}");
        let ticket = ticket.unwrap_or_else(|| "".into());
        let start = Start { task, run: no, spec: text, saved, ticket };
        self.dirty_jobs.insert(task.step.job);
        if self.is_quarantined(task) {
            self.quarantine(name, task);
        }
        self.unsent_starts.push_back((self.open_batch, name.clone(), start));
    }

    /// Sends the starts whose bindings are in the store: the next owner has to know of them.
    pub(in crate::cell) fn send_starts(&mut self, now: Millis, kept: u64) {
        self.send_if(now, |_, batch, _| batch <= kept);
    }

    /// Sends the starts of accepted jobs that may go now; the others stay, in order.
    fn send_if(&mut self, now: Millis, may_go: impl Fn(&Self, u64, TaskKey) -> bool) {
        let lease = self.config.lease;
        let unsent = std::mem::take(&mut self.unsent_starts);
        let goes = |(batch, _, start): &(u64, Name, Start)| {
            self.is_accepted(start.task.step.job) && may_go(self, *batch, start.task)
        };
        let (ready, rest): (VecDeque<_>, VecDeque<_>) = unsent.into_iter().partition(goes);
        self.unsent_starts = rest;
        for (_, name, start) in ready {
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            let run = worker.runs.get(&(start.task, start.run));
            if run.is_none_or(|run| run.phase != Phase::Starting) {
                continue;
            }
            if worker.is_other(worker.listed.born) {
                log::info!("event=start-given-up task={} worker={name} why=restarted", start.task);
                self.lose(&name, start.task, start.run);
                continue;
            }
            if worker.is_overfull() {
                log::info!("event=room-shrank task={} worker={name}", start.task);
                self.lose(&name, start.task, start.run);
                continue;
            }
            let Some(until) = worker.lease(now, lease) else {
                log::info!("event=start-given-up task={} worker={name} why=no-clock", start.task);
                self.lose(&name, start.task, start.run);
                continue;
            };
            if let Some(run) = worker.runs.get_mut(&(start.task, start.run)) {
                run.is_sent = true;
            }
            self.actions.push(Action::Start { worker: name, start, until });
        }
    }

    /// Whether a job is in the store; one that is not known any more holds nothing up.
    fn is_accepted(&self, key: JobKey) -> bool {
        self.jobs.get(&key).is_none_or(|job| job.batch <= self.stored_batch)
    }

    /// Sends all starts while the store is away for everybody. The next owner will know that it was. Jobs that are
    /// not in the store are not accepted yet, and may be given back.
    pub fn send_unkept(&mut self, now: Millis) {
        // Crashes have to be counted in the store before the task starts again: through
        // outages that each end with a takeover it would start more often than is allowed.
        self.send_if(now, |cell, batch, task| {
            batch <= cell.stored_batch || cell.crashes(task).is_empty()
        });
    }
}
