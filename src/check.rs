//! Checks a time line for what must always hold, and says which event broke it.

use crate::id::{JobId, Name, TaskId};
use crate::job::Outcome;
use crate::size::Size;
use crate::trace::{Event, What};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A promise that an event broke.
#[derive(Debug, Clone, PartialEq)]
pub struct Broken {
    /// Which promise.
    pub promise: Promise,
    /// The event.
    pub event: Event,
}

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Promise {
    /// No worker is given more than it has.
    Capacity,
    /// No task runs in two places at once.
    OnePlace,
    /// What must not be repeated is started once at most.
    AtMostOnce,
    /// What was reported as not run was not run.
    NotRun,
    /// A request has one final answer.
    OneAnswer,
    /// A table in force is never replaced by an older one.
    NoOlderTable,
    /// A shard has one owner in an epoch.
    OneOwner,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "broken={:?} {}", self.promise, self.event)
    }
}

/// What is known so far.
#[derive(Debug, Default)]
struct State {
    used: BTreeMap<Name, BTreeMap<TaskId, Size>>,
    places: BTreeMap<(JobId, u32), BTreeSet<Name>>,
    started: BTreeSet<(JobId, u32)>,
    once: BTreeSet<Name>,
    ran: BTreeMap<Name, u32>,
    not_run: BTreeSet<Name>,
    answered: BTreeSet<Name>,
    tables: BTreeMap<Name, u64>,
    owners: BTreeMap<(Name, u64), Name>,
}

/// Checks events, which have to be in order, and returns all that broke a promise.
pub fn check(events: &[Event]) -> Vec<Broken> {
    let mut state = State::default();
    let mut broken = Vec::new();
    for event in events {
        let promises = state.take(event);
        broken.extend(promises.into_iter().map(|promise| Broken { promise, event: event.clone() }));
    }
    broken
}

impl State {
    fn take(&mut self, event: &Event) -> Vec<Promise> {
        let who = &event.who;
        match &event.what {
            What::WorkerUp { .. } => {
                self.worker_up(who);
                Vec::new()
            }
            What::WorkerStarted { task, size, total, repeat } => {
                self.worker_started(who, task, size, total, *repeat)
            }
            What::WorkerEnded { task, .. } => {
                self.worker_ended(who, task);
                Vec::new()
            }
            What::Ended { task, outcome: Outcome::Cancelled } => {
                let ran = self.started.contains(&(task.job.clone(), task.index));
                broke(ran && task.attempt == 0, Promise::NotRun)
            }
            What::RequestIn { request, repeat: false, .. } => {
                self.once.insert(request.clone());
                Vec::new()
            }
            What::RunnerRan { request } => self.runner_ran(request),
            What::RequestOut { request, run, .. } => self.request_out(request, run),
            What::TableInForce { rev, .. } => {
                let last = self.tables.insert(who.clone(), *rev);
                broke(last.is_some_and(|last| last >= *rev), Promise::NoOlderTable)
            }
            What::Up { .. } => {
                self.tables.remove(who);
                Vec::new()
            }
            What::TookOffice { shard, epoch, .. } => {
                let first = self.owners.entry((shard.clone(), *epoch)).or_insert(who.clone());
                broke(first != who, Promise::OneOwner)
            }
            What::HandedOver { shard, epoch, to } => {
                let owner = self.owners.insert((shard.clone(), *epoch), to.clone());
                broke(owner.is_some_and(|owner| owner != *who), Promise::OneOwner)
            }
            What::Succeeded { shard, epoch, from } => {
                let owner = self.owners.insert((shard.clone(), *epoch), who.clone());
                let due = owner.is_none_or(|owner| owner == *who || owner == *from);
                broke(!due, Promise::OneOwner)
            }
            _ => Vec::new(),
        }
    }

    fn worker_up(&mut self, who: &Name) {
        let tasks = self.used.remove(who).unwrap_or_default();
        for task in tasks.into_keys() {
            self.leave(who, &task);
        }
    }

    fn leave(&mut self, who: &Name, task: &TaskId) {
        if let Some(places) = self.places.get_mut(&(task.job.clone(), task.index)) {
            places.remove(who);
        }
    }

    fn worker_started(
        &mut self,
        who: &Name,
        task: &TaskId,
        size: &Size,
        total: &Size,
        repeat: bool,
    ) -> Vec<Promise> {
        let tasks = self.used.entry(who.clone()).or_default();
        tasks.insert(task.clone(), *size);
        let sum = tasks.values().try_fold(Size::default(), |sum, size| sum.plus(size));
        let over = sum.is_none_or(|sum| !total.fits(&sum));
        let place = (task.job.clone(), task.index);
        let again = !self.started.insert(place.clone());
        let places = self.places.entry(place).or_default();
        let elsewhere = !places.is_empty();
        places.insert(who.clone());
        let mut broken = broke(over, Promise::Capacity);
        broken.extend(broke(elsewhere, Promise::OnePlace));
        broken.extend(broke(again && !repeat, Promise::AtMostOnce));
        broken
    }

    fn worker_ended(&mut self, who: &Name, task: &TaskId) {
        if let Some(tasks) = self.used.get_mut(who) {
            tasks.remove(task);
        }
        self.leave(who, task);
    }

    fn runner_ran(&mut self, request: &Name) -> Vec<Promise> {
        let runs = self.ran.entry(request.clone()).or_insert(0);
        *runs += 1;
        let mut broken = broke(self.not_run.contains(request), Promise::NotRun);
        broken.extend(broke(*runs > 1 && self.once.contains(request), Promise::AtMostOnce));
        broken
    }

    fn request_out(&mut self, request: &Name, run: &Name) -> Vec<Promise> {
        let ran = self.ran.contains_key(request);
        let mut broken = broke(!self.answered.insert(request.clone()), Promise::OneAnswer);
        if **run == *"no" {
            self.not_run.insert(request.clone());
            broken.extend(broke(ran, Promise::NotRun));
        }
        broken
    }
}

fn broke(broken: bool, promise: Promise) -> Vec<Promise> {
    if broken { vec![promise] } else { Vec::new() }
}
