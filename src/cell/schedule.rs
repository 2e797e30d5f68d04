//! Which task starts next, and where.

use crate::cell::advice::Question;
use crate::cell::job::{StepState, Ticket};
use crate::cell::life::rank;
use crate::cell::worker::{Phase, Run, Worker};
use crate::cell::{Action, Cell, RUN_BITS};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{Cleared, Start};
use crate::workload::{Advice, Room, Step, StepKey, TaskKey};
use std::collections::{BTreeMap, BTreeSet};

/// A ticket is used only if it holds this much longer: an order takes a few milliseconds, and a
/// busy owner some tens.
const TICKET_SPARE: Millis = Millis(250);
/// The most workers that one question may name, by the platform's contract.
const MAX_NAMED: usize = 100;
/// The share of workers that is assumed to be cleared when deciding how many to name: one in two.
const CLEARED_SHARE: usize = 2;
/// The shortest wait before a step is asked about again for want of room, so that steps that wait
/// for room do not use up the advice service.
const ASK_AGAIN: Millis = Millis(250);

impl Cell {
    /// Places waiting tasks, the most urgent first, as far as there is room.
    pub fn schedule(&mut self, now: Millis) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let ready: Vec<StepKey> = self.ready.iter().map(|(_, _, key)| *key).collect();
        for key in ready {
            self.place_step(now, key);
        }
        self.ask_next();
    }

    fn place_step(&mut self, now: Millis, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.inherited && self.doubt {
            return;
        }
        let (Some(spec), Some(step)) = (job.spec(key.step), job.step(key)) else { return };
        let (advice, service) = (job.queue.advice, job.queue.service.clone());
        // Most steps wait for an answer most of the time: these cost nothing more.
        let pauses = advice.is_some() && (step.advised.asking || now < step.advised.again);
        if pauses && !step.advised.has_ticket(now + TICKET_SPARE) {
            return;
        }
        let spec = spec.clone();
        let waiting: Vec<u32> = step.waiting.iter().copied().collect();
        let mut fits = match advice {
            Some(_) => self.cleared(now, step, &service, &spec),
            None => self.open(now, &service, &spec),
        };
        self.choose_home(key, &fits);
        match spec.gang {
            true => self.place_gang(now, key, &spec, &fits, waiting.len()),
            false => self.place_tasks(now, key, &spec, &mut fits, &waiting),
        }
        let rest = self.jobs.get(&key.job).and_then(|job| job.step(key));
        let rest = rest.map_or(0, |step| step.waiting.len());
        match advice {
            _ if rest == 0 => {
                let ranks = self.jobs.get(&key.job).map(rank);
                if let Some((priority, due)) = ranks {
                    self.ready.remove(&(priority, due, key));
                }
            }
            Some(advice) => self.question(now, key, &spec, &service, advice, rest),
            None => {}
        }
    }

    /// The workers that may run a step.
    fn open(&self, now: Millis, service: &str, spec: &Step) -> Vec<Fit> {
        let open = self.workers.iter().filter(|(_, worker)| worker.is_open(now, self.kept));
        let suitable = open.filter(|(_, worker)| is_suitable(worker, service, spec));
        suitable.map(|(name, worker)| Fit::new(name, worker)).collect()
    }

    /// The workers that may run a step and whose tickets for it hold.
    fn cleared(&self, now: Millis, step: &StepState, service: &str, spec: &Step) -> Vec<Fit> {
        let tickets = step.advised.tickets(now + TICKET_SPARE);
        let known = tickets.filter_map(|name| Some((name, self.workers.get(name)?)));
        let open = known.filter(|(_, worker)| worker.is_open(now, self.kept));
        let suitable = open.filter(|(_, worker)| is_suitable(worker, service, spec));
        suitable.map(|(name, worker)| Fit::new(name, worker)).collect()
    }

    /// Gives a job a failure domain, the one with the most idle processors: its tasks go there as
    /// far as there is room, so that a cut between failure domains holds up few jobs.
    fn choose_home(&mut self, key: StepKey, fits: &[Fit]) {
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
        self.count_runs(key, spec, fits);
        let charge = spec.charge();
        for index in waiting {
            let task = TaskKey { step: key, index: *index };
            let Some(job) = self.jobs.get(&key.job) else { return };
            let Some(step) = job.step(key) else { return };
            let avoid = step.tasks.get(*index as usize).map(|task| task.avoid.as_slice());
            let home = job.home.as_ref().filter(|_| !spec.lasting);
            let best = pick(fits, spec, home, avoid.unwrap_or_default());
            let Some(fit) = best else { return };
            fit.free = fit.free.less(&charge);
            fit.runs += 1;
            let name = fit.name.clone();
            let run = self.next_run(key, [*index]);
            self.bind(now, task, &name, run, spec, "");
        }
    }

    /// Counts a step's runs at each worker, if that matters.
    fn count_runs(&self, key: StepKey, spec: &Step, fits: &mut [Fit]) {
        if spec.apart == 0 {
            return;
        }
        for fit in fits {
            fit.runs = self.workers.get(&fit.name).map_or(0, |worker| count_at(worker, key));
        }
    }

    /// Places all tasks of a gang, or none.
    fn place_gang(&mut self, now: Millis, key: StepKey, spec: &Step, fits: &[Fit], waiting: usize) {
        if waiting < spec.count as usize {
            return;
        }
        let mut fits = fits.to_vec();
        self.count_runs(key, spec, &mut fits);
        let home = self.jobs.get(&key.job).and_then(|job| job.home.clone());
        let Some(chosen) = pick_gang(&fits, spec, home.as_ref()) else { return };
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
        (self.epoch << RUN_BITS).max(runs.max().unwrap_or(0)) + 1
    }

    /// Takes the room for a run and has it started as soon as the store knows of it.
    fn bind(&mut self, now: Millis, task: TaskKey, name: &Name, no: u64, spec: &Step, saved: &str) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(worker) = self.workers.get_mut(name) else { return };
        let mut run = Run::bound(no, spec, Phase::Starting);
        let times = self.run_times.get(&job.queue.name).filter(|_| !spec.lasting);
        run.limit = times.and_then(|times| times.limit(spec.estimate));
        worker.add(task, run);
        let age = now.since(job.since);
        job.begun = true;
        let text = job.work.spec.clone();
        let Some(step) = job.step_mut(task.step) else { return };
        step.place(task.index, name.clone(), no);
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
        self.dirty.insert(task.step.job);
        self.unsent.push_back((self.batch, name.clone(), start));
    }

    /// Sends the starts whose bindings are in the store: the next owner has to know of them.
    pub(super) fn send_starts(&mut self, now: Millis, kept: u64) {
        let lease = self.bounds.lease;
        while let Some((batch, ..)) = self.unsent.front()
            && *batch <= kept
        {
            let Some((_, name, start)) = self.unsent.pop_front() else { return };
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            let run = worker.runs.get(&(start.task, start.run));
            if run.is_none_or(|run| run.phase != Phase::Starting) {
                continue;
            }
            let Some(until) = worker.lease(now, lease) else { continue };
            self.actions.push(Action::Start { worker: name, start, until });
        }
    }

    /// Sends all starts while the store is away for everybody. The next owner will know that it was.
    pub fn send_unkept(&mut self, now: Millis) {
        self.send_starts(now, u64::MAX);
    }

    /// Has the advice service asked about a step whose tasks found no cleared worker with room.
    fn question(
        &mut self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        service: &str,
        advice: Advice,
        rest: usize,
    ) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.step(key) else { return };
        let advised = &step.advised;
        if advised.asking || now < advised.again {
            return;
        }
        let charge = spec.charge();
        let holds = |name: &Name| advised.holds(name, now + TICKET_SPARE);
        let mut named: Vec<Fit> = self
            .open(now, service, spec)
            .into_iter()
            .filter(|fit| fit.free.holds(&charge))
            .filter(|fit| !advised.denied.contains(&fit.name) && !holds(&fit.name))
            .collect();
        if named.is_empty() {
            return;
        }
        named.sort_by_cached_key(|fit| {
            let known = advised.cleared.contains_key(&fit.name);
            let away = job.home.as_ref().is_some_and(|home| fit.domain != *home);
            (!known, away, std::cmp::Reverse(fit.free.cpu))
        });
        let wanted = (rest * CLEARED_SHARE).max(balance(advice)).min(MAX_NAMED);
        let workers: Vec<Name> = named.into_iter().take(wanted).map(|fit| fit.name).collect();
        let cost = Millis(advice.base.0 + advice.each * workers.len() as u64 / 1_000);
        let question = Question { step: key, workers, cost, rank: rank(job) };
        self.advisers.push(question);
        if let Some(step) = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key)) {
            step.advised.asking = true;
        }
    }

    /// Hands waiting questions to entries that can ask them.
    pub(super) fn ask_next(&mut self) {
        while let Some((entry, question)) = self.advisers.assign() {
            self.actions.push(Action::Ask { entry, question });
        }
    }

    /// The advice service answered an entry, or `None`: it did not.
    pub fn advised(
        &mut self,
        now: Millis,
        entry: &Name,
        key: StepKey,
        named: &[Name],
        answer: Option<Cleared>,
    ) {
        self.advisers.answered(entry, key);
        match answer {
            Some(cleared) => self.clear(now, key, named, cleared),
            None => self.forget_question(key),
        }
        self.changed = true;
    }

    fn clear(&mut self, now: Millis, key: StepKey, named: &[Name], cleared: Cleared) {
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.is_open()) else { return };
        let usual = job.queue.advice.map(|advice| advice.valid).unwrap_or_default();
        let until = now + cleared.valid.unwrap_or(usual);
        let Some(step) = job.step_mut(key) else { return };
        log::debug!(
            "event=advised step={key} named={} cleared={}",
            named.len(),
            cleared.rows.len()
        );
        let advised = &mut step.advised;
        advised.asking = false;
        advised.again = now + ASK_AGAIN;
        let good: BTreeSet<Name> = cleared.rows.iter().map(|(name, _)| name.clone()).collect();
        advised.denied.extend(named.iter().filter(|name| !good.contains(*name)).cloned());
        for (name, text) in cleared.rows {
            advised.cleared.insert(name, Ticket { text, until });
        }
        if good.is_empty() {
            // All were denied: others are asked about at once.
            advised.again = now;
        }
    }

    /// A question got no answer: it may be asked again.
    pub(super) fn forget_question(&mut self, key: StepKey) {
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        if let Some(step) = step {
            step.advised.asking = false;
            self.changed = true;
        }
    }

    /// A worker did not take a ticket.
    pub(super) fn drop_ticket(&mut self, key: StepKey, name: &Name) {
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        if let Some(ticket) = step.and_then(|step| step.advised.cleared.get_mut(name)) {
            ticket.until = Millis(0);
        }
    }

    /// Tickets run out and pauses end: steps that wait are looked at again.
    pub(super) fn expire_questions(&mut self) {
        self.changed = self.changed || !self.ready.is_empty();
    }
}

/// How many workers a question names so that naming them takes half as long as asking at all.
fn balance(advice: Advice) -> usize {
    match advice.each {
        0 => MAX_NAMED,
        each => (advice.base.0 * 1_000 / each / 2) as usize,
    }
}

/// Whether a worker may run a step's tasks at all.
fn is_suitable(worker: &Worker, service: &str, spec: &Step) -> bool {
    let listed = &worker.listed;
    let label = spec.label.is_empty() || listed.labels.contains(&spec.label);
    label && *listed.service == *service && listed.room.holds(&spec.charge())
}

/// How many runs of a step a worker has.
fn count_at(worker: &Worker, key: StepKey) -> u32 {
    let first = TaskKey { step: key, index: 0 };
    let last = TaskKey { step: key, index: u32::MAX };
    worker.runs.range((first, 0)..=(last, u64::MAX)).count() as u32
}

/// A worker that tasks of a step may go to, as it is while that step is placed.
#[derive(Debug, Clone)]
struct Fit {
    name: Name,
    domain: Name,
    rack: Option<Name>,
    free: Room,
    /// Runs of the step there, if that matters.
    runs: u32,
    is_sound: bool,
    /// It runs tasks that serve users of their own.
    serves: bool,
}

impl Fit {
    fn new(name: &Name, worker: &Worker) -> Self {
        Self {
            name: name.clone(),
            domain: worker.listed.domain.clone(),
            rack: worker.rack().cloned(),
            free: worker.free(),
            runs: 0,
            is_sound: worker.is_sound(),
            serves: worker.runs.values().any(|run| run.tail.0 > 0),
        }
    }

    /// Whether one more task of a step has room.
    fn holds(&self, spec: &Step, charge: &Room) -> bool {
        (spec.apart == 0 || self.runs < spec.apart) && self.free.holds(charge)
    }
}

/// The best worker with room for one task: near the data, not one on which it failed, in the job's
/// failure domain, sound, and then the one that is left with the least; fillers go where most
/// processors are idle.
fn pick<'a>(
    fits: &'a mut [Fit],
    spec: &Step,
    home: Option<&Name>,
    avoid: &[Name],
) -> Option<&'a mut Fit> {
    let charge = spec.charge();
    let score = |fit: &Fit| {
        let far = !spec.near.is_empty() && fit.rack.as_ref() != Some(&spec.near);
        let away = home.is_some_and(|home| fit.domain != *home);
        let free = fit.free.less(&charge).cpu;
        let room = if spec.filler { u64::MAX - free } else { free };
        let serves = spec.filler && fit.serves;
        (avoid.contains(&fit.name), far, serves, away, !fit.is_sound, room)
    };
    fits.iter_mut().filter(|fit| fit.holds(spec, &charge)).min_by_key(|fit| score(fit))
}

/// Workers for all tasks of a gang, on one rack if it wants that and one has the room.
fn pick_gang(fits: &[Fit], spec: &Step, home: Option<&Name>) -> Option<Vec<Name>> {
    if spec.rack {
        let racks: BTreeSet<&Name> = fits.iter().filter_map(|fit| fit.rack.as_ref()).collect();
        for rack in racks {
            if let Some(chosen) = fill(fits, spec, |fit| fit.rack.as_ref() == Some(rack)) {
                return Some(chosen);
            }
        }
    }
    fill(fits, spec, |fit| Some(&fit.domain) == home).or_else(|| fill(fits, spec, |_| true))
}

/// Gives each task of a gang one of the wanted workers, or none at all.
fn fill(fits: &[Fit], spec: &Step, wanted: impl Fn(&Fit) -> bool) -> Option<Vec<Name>> {
    let charge = spec.charge();
    let mut fits: Vec<Fit> = fits.iter().filter(|fit| wanted(fit)).cloned().collect();
    fits.sort_by_key(|fit| fit.free.cpu);
    let mut chosen = Vec::with_capacity(spec.count as usize);
    for mut fit in fits {
        while chosen.len() < spec.count as usize && fit.holds(spec, &charge) {
            fit.free = fit.free.less(&charge);
            fit.runs += 1;
            chosen.push(fit.name.clone());
        }
    }
    (chosen.len() == spec.count as usize).then_some(chosen)
}
