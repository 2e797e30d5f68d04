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

/// A worker that a task may go to.
struct Fit<'a> {
    name: &'a Name,
    worker: &'a Worker,
}

impl Cell {
    /// Places waiting tasks, the most urgent first, as far as there is room.
    pub fn schedule(&mut self, now: Millis) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let open: Vec<Name> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_open(now, self.kept))
            .map(|(name, _)| name.clone())
            .collect();
        let ready: Vec<StepKey> = self.ready.iter().map(|(_, _, key)| *key).collect();
        for key in ready {
            self.place_step(now, key, &open);
        }
        self.ask_next();
    }

    fn place_step(&mut self, now: Millis, key: StepKey, open: &[Name]) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.inherited && self.doubt {
            return;
        }
        let (Some(spec), Some(step)) = (job.spec(key.step).cloned(), job.step(key)) else { return };
        let advice = job.queue.advice;
        let service = job.queue.service.clone();
        let waiting: Vec<u32> = step.waiting.iter().copied().collect();
        let tickets = advice.is_some().then(|| valid(step, now));
        let fits: Vec<Name> = open
            .iter()
            .filter(|name| {
                let worker = self.workers.get(*name);
                worker.is_some_and(|worker| is_suitable(worker, &service, &spec))
            })
            .filter(|name| tickets.as_ref().is_none_or(|held| held.contains(*name)))
            .cloned()
            .collect();
        self.choose_home(key, &fits);
        match spec.gang {
            true => self.place_gang(now, key, &spec, &fits, waiting.len()),
            false => self.place_tasks(now, key, &spec, &fits, &waiting),
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
            Some(advice) => self.question(now, key, &spec, &service, advice, open, rest),
            None => {}
        }
    }

    /// Gives a job a failure domain, the one with the most idle processors: its tasks go there as
    /// far as there is room, so that a cut between failure domains holds up few jobs.
    fn choose_home(&mut self, key: StepKey, fits: &[Name]) {
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.home.is_none()) else {
            return;
        };
        let mut idle: BTreeMap<&Name, u64> = BTreeMap::new();
        for worker in fits.iter().filter_map(|name| self.workers.get(name)) {
            *idle.entry(&worker.listed.domain).or_default() += worker.free().cpu;
        }
        job.home = idle.into_iter().max_by_key(|(_, cpu)| *cpu).map(|(domain, _)| domain.clone());
    }

    fn place_tasks(
        &mut self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        fits: &[Name],
        waiting: &[u32],
    ) {
        for index in waiting {
            let task = TaskKey { step: key, index: *index };
            let Some(job) = self.jobs.get(&key.job) else { return };
            let Some(step) = job.step(key) else { return };
            let avoid = step.tasks.get(*index as usize).map(|task| task.avoid.as_slice());
            let home = job.home.as_ref().filter(|_| !spec.lasting);
            let best = pick(&self.workers, fits, key, spec, home, avoid.unwrap_or_default());
            let Some(name) = best else { return };
            let run = self.next_run(key, [*index]);
            self.bind(now, task, &name, run, spec, "");
        }
    }

    /// Places all tasks of a gang, or none.
    fn place_gang(
        &mut self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        fits: &[Name],
        waiting: usize,
    ) {
        if waiting < spec.count as usize {
            return;
        }
        let home = self.jobs.get(&key.job).and_then(|job| job.home.clone());
        let Some(chosen) = pick_gang(&self.workers, fits, key, spec, home.as_ref()) else { return };
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
        let run = Run::bound(no, spec, Phase::Starting);
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
    #[allow(clippy::too_many_arguments)]
    fn question(
        &mut self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        service: &str,
        advice: Advice,
        open: &[Name],
        rest: usize,
    ) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.step(key) else { return };
        let advised = &step.advised;
        if advised.asking || now < advised.again {
            return;
        }
        let held = valid(step, now);
        let mut named: Vec<Fit<'_>> = open
            .iter()
            .filter(|name| !advised.denied.contains(*name) && !held.contains(*name))
            .filter_map(|name| Some(Fit { name, worker: self.workers.get(name)? }))
            .filter(|fit| is_suitable(fit.worker, service, spec))
            .filter(|fit| fit.worker.free().holds(&spec.charge()))
            .collect();
        if named.is_empty() {
            return;
        }
        named.sort_by_key(|fit| {
            let known = advised.cleared.contains_key(fit.name);
            let away = job.home.as_ref().is_some_and(|home| fit.worker.listed.domain != *home);
            (!known, away, std::cmp::Reverse(fit.worker.free().cpu))
        });
        let wanted = (rest * CLEARED_SHARE).max(balance(advice)).min(MAX_NAMED);
        let workers: Vec<Name> = named.iter().take(wanted).map(|fit| fit.name.clone()).collect();
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

/// The workers whose tickets for a step hold.
fn valid(step: &StepState, now: Millis) -> BTreeSet<Name> {
    let holds = |ticket: &Ticket| ticket.until > now + TICKET_SPARE;
    let cleared = step.advised.cleared.iter().filter(|(_, ticket)| holds(ticket));
    cleared.map(|(name, _)| name.clone()).collect()
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

/// The best worker with room for one task: near the data, not one on which it failed, in the job's
/// failure domain, sound, and then the one that is left with the least; fillers go where most processors are idle.
fn pick(
    workers: &BTreeMap<Name, Worker>,
    fits: &[Name],
    key: StepKey,
    spec: &Step,
    home: Option<&Name>,
    avoid: &[Name],
) -> Option<Name> {
    let charge = spec.charge();
    let has_room = |worker: &Worker| {
        let spread = spec.apart == 0 || count_at(worker, key) < spec.apart;
        spread && worker.free().holds(&charge)
    };
    let score = |name: &Name, worker: &Worker| {
        let far = !spec.near.is_empty() && worker.rack() != Some(&spec.near);
        let away = home.is_some_and(|home| worker.listed.domain != *home);
        let free = worker.free().less(&charge).cpu;
        let room = if spec.filler { u64::MAX - free } else { free };
        let serves = spec.filler && worker.runs.values().any(|run| run.tail.0 > 0);
        (avoid.contains(name), far, serves, away, !worker.is_sound(), room)
    };
    let open = fits.iter().filter_map(|name| Some((name, workers.get(name)?)));
    let best = open
        .filter(|(_, worker)| has_room(worker))
        .min_by_key(|(name, worker)| score(name, worker));
    best.map(|(name, _)| name.clone())
}

/// Workers for all tasks of a gang, on one rack if it wants that and one has the room.
fn pick_gang(
    workers: &BTreeMap<Name, Worker>,
    fits: &[Name],
    key: StepKey,
    spec: &Step,
    home: Option<&Name>,
) -> Option<Vec<Name>> {
    if spec.rack {
        let racks: BTreeSet<&Name> =
            fits.iter().filter_map(|name| workers.get(name)?.rack()).collect();
        for rack in racks {
            let on_rack =
                fits.iter().filter(|name| workers.get(*name).and_then(Worker::rack) == Some(rack));
            let on_rack: Vec<Name> = on_rack.cloned().collect();
            if let Some(chosen) = fill(workers, &on_rack, key, spec) {
                return Some(chosen);
            }
        }
    }
    let is_home = |name: &&Name| workers.get(*name).map(|worker| &worker.listed.domain) == home;
    let at_home: Vec<Name> = fits.iter().filter(is_home).cloned().collect();
    fill(workers, &at_home, key, spec).or_else(|| fill(workers, fits, key, spec))
}

/// Gives each task of a gang a worker, or none at all.
fn fill(
    workers: &BTreeMap<Name, Worker>,
    fits: &[Name],
    key: StepKey,
    spec: &Step,
) -> Option<Vec<Name>> {
    let charge = spec.charge();
    let mut rooms: Vec<(&Name, Room, u32)> = fits
        .iter()
        .filter_map(|name| {
            let worker = workers.get(name)?;
            Some((name, worker.free(), count_at(worker, key)))
        })
        .collect();
    rooms.sort_by_key(|(_, free, _)| free.cpu);
    let mut chosen = Vec::with_capacity(spec.count as usize);
    for (name, mut free, mut count) in rooms {
        while chosen.len() < spec.count as usize
            && free.holds(&charge)
            && (spec.apart == 0 || count < spec.apart)
        {
            free = free.less(&charge);
            count += 1;
            chosen.push(name.clone());
        }
    }
    (chosen.len() == spec.count as usize).then_some(chosen)
}
