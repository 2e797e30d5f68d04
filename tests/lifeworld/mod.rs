//! Workers that start again under their ids, with one owner at a time, on a virtual clock.

#![allow(dead_code)]

#[path = "../rows/mod.rs"]
mod rows;

use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::{Action, Cell, CellConfig, JobState};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{End, EndedRow, HoldError, Listed, Outcome, Refusal, Report, Start};
use sprucerudder::workload::{Advice, JobKey, Queue, Room, Step, TaskKey, Work};
use sprucerudder::workspace::Workspaces;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

pub const LEASE: u64 = 6_000;
/// How long a task runs.
pub const LENGTH: u64 = 300;
/// Time between two looks at the world.
const STEP: u64 = 20;
/// Time between two reports of a worker.
const REPORT: u64 = 100;
/// Time between two looks of the owner at the list.
const LIST: u64 = 400;

pub fn job(key: u64) -> JobKey {
    JobKey(key)
}

/// A worker. What dies with its process is in `life`.
struct Host {
    id: Name,
    room: u64,
    life: Life,
    /// It is between two lives, or behind a cut, until then.
    away_until: u64,
    /// Its entry in the list tells of this life.
    listed: u64,
    /// Reports that are lost from now on.
    lost: u32,
}

#[derive(Default)]
struct Life {
    born: u64,
    began: u64,
    fence: u64,
    lease: u64,
    running: BTreeMap<TaskKey, (u64, u64)>,
    ended: Vec<EndedRow>,
    count: u64,
    barred: BTreeMap<TaskKey, u64>,
}

impl Life {
    /// Its clock begins anew.
    fn clock(&self, now: u64) -> u64 {
        1 + now - self.began
    }
}

pub struct Site {
    pub now: u64,
    pub cell: Cell,
    epoch: u64,
    hosts: Vec<Host>,
    watched: BTreeSet<Name>,
    starts: BTreeMap<TaskKey, Vec<(u64, Name, u64)>>,
    store: BTreeMap<String, Vec<u8>>,
    /// Orders to this worker are carried out so much later, and not answered.
    pub late: BTreeMap<usize, u64>,
    on_their_way: Vec<(u64, Action, u64)>,
    pub confirmed: Vec<(Name, u64)>,
    advice: Option<Advice>,
    /// Workers that the advice service clears, by id; all if empty.
    pub good: BTreeSet<Name>,
    pub asked: Vec<Vec<Name>>,
    /// Answers of the advice service that are lost from now on.
    pub unanswered: u32,
    /// Workers that starts were sent to, in order.
    pub sent: Vec<usize>,
    /// Starts reach nobody and are not answered.
    pub loses_starts: bool,
    /// Workers tell when they started.
    tells_births: bool,
    /// Workers at which every task fails.
    pub grey: BTreeSet<usize>,
    /// Jobs whose tasks run on, but for those at workers that fail all.
    pub lasting: BTreeSet<JobKey>,
    /// The list is as it was.
    held: Option<Vec<Listed>>,
    /// What began and ended, and what was confirmed as done.
    spans: Vec<Span>,
    accepted: BTreeSet<JobKey>,
    /// What the next owner learns from the policy.
    pub workspaces: Workspaces,
}

/// A run as the platform sees it.
struct Span {
    task: TaskKey,
    run: u64,
    from: u64,
    until: u64,
    is_done: bool,
    is_confirmed: bool,
}

fn bounds() -> CellConfig {
    CellConfig {
        lease: Millis(LEASE),
        max_lease: Millis(10_000),
        job_retention: Millis(1_000_000),
        disabled: DisabledMechanisms::default(),
    }
}

impl Site {
    pub fn new(workers: usize) -> Self {
        Self::with(workers, None, true)
    }

    /// A site whose workers do not tell when they started: a process that starts again has another id.
    pub fn without_births(workers: usize) -> Self {
        Self::with(workers, None, false)
    }

    /// A site whose queue is under the policy of an advice service.
    pub fn advised(workers: usize) -> Self {
        let advice = Advice { base: Millis(20), each: 0, valid: Millis(60_000) };
        Self::with(workers, Some(advice), true)
    }

    fn with(workers: usize, advice: Option<Advice>, tells_births: bool) -> Self {
        let host = |no: usize| Host {
            id: format!("w{no}").into(),
            room: 4_000,
            life: Life { born: 1_000 + no as u64, ..Life::default() },
            away_until: 0,
            listed: 1_000 + no as u64,
            lost: 0,
        };
        let cell = Cell::new(1, bounds(), queues(advice), Snapshot::default(), false, Millis(0));
        let mut site = Self {
            now: 0,
            cell,
            epoch: 1,
            hosts: (0..workers).map(host).collect(),
            watched: BTreeSet::new(),
            starts: BTreeMap::new(),
            store: BTreeMap::new(),
            late: BTreeMap::new(),
            on_their_way: Vec::new(),
            confirmed: Vec::new(),
            advice,
            good: BTreeSet::new(),
            asked: Vec::new(),
            unanswered: 0,
            sent: Vec::new(),
            loses_starts: false,
            tells_births,
            grey: BTreeSet::new(),
            lasting: BTreeSet::new(),
            held: None,
            spans: Vec::new(),
            accepted: BTreeSet::new(),
            workspaces: Workspaces::default(),
        };
        if advice.is_some() {
            site.cell.add_entry("entry".into(), true);
        }
        site.list();
        site.play(1_000);
        site
    }

    /// A job of one task.
    pub fn submit(&mut self, key: JobKey) {
        self.submit_step(key, step());
    }

    pub fn submit_step(&mut self, key: JobKey, step: Step) {
        let (first, every) = (Millis(0), Millis(0));
        let work = Work { spec: "text".into(), steps: vec![step], times: 1, first, every };
        assert!(self.cell.submit(Millis(self.now), key, "q", Arc::new(work)).is_some());
    }

    /// A job of one step, for a workspace.
    pub fn submit_for(&mut self, key: JobKey, step: Step, workspace: &str) {
        let (first, every) = (Millis(0), Millis(0));
        let work = Work { spec: "text".into(), steps: vec![step], times: 1, first, every };
        let (now, workspace) = (Millis(self.now), Some(workspace.into()));
        assert!(self.cell.submit_for_workspace(now, key, "q", Arc::new(work), workspace).is_some());
    }

    /// How many tasks run.
    pub fn running(&self) -> usize {
        self.hosts.iter().map(|host| host.life.running.len()).sum()
    }

    pub fn state(&self, key: JobKey) -> Option<JobState> {
        self.cell.job_state(key)
    }

    /// How often the tasks of a job were started.
    pub fn starts(&self, key: JobKey) -> usize {
        let of_job = self.starts.iter().filter(|(task, _)| task.step.job == key);
        of_job.map(|(_, starts)| starts.len()).sum()
    }

    /// When tasks were started at a worker after a time.
    pub fn first_start_at(&self, no: usize, after: u64) -> Option<u64> {
        let all = self.starts.values().flatten();
        all.filter(|(at, id, _)| *at >= after && *id == self.hosts[no].id).map(|(at, ..)| *at).min()
    }

    /// A worker crashes, and is back under its id after a time, with a life that began earlier by its own
    /// time of day.
    pub fn restart(&mut self, no: usize, away: u64) {
        let host = &mut self.hosts[no];
        let now = self.now;
        for span in self.spans.iter_mut().filter(|span| span.until == u64::MAX) {
            if host.life.running.get(&span.task).is_some_and(|(run, _)| *run == span.run) {
                span.until = now;
            }
        }
        let born = host.life.born - 7;
        host.life = Life { born, began: self.now + away, ..Life::default() };
        host.away_until = self.now + away;
        let (listed, at) = (born, self.now + away);
        self.on_their_way.push((at, Action::PollNow(host.id.clone()), listed));
    }

    /// The worker where a job's task runs.
    pub fn host_of(&self, key: JobKey) -> usize {
        let runs = |host: &Host| host.life.running.keys().any(|task| task.step.job == key);
        self.hosts.iter().position(runs).expect("a running task")
    }

    pub fn is_running(&self, key: JobKey) -> bool {
        self.hosts.iter().any(|host| host.life.running.keys().any(|task| task.step.job == key))
    }

    /// Plays until a job's task runs, for two seconds at most, and then the worker crashes.
    pub fn crash_when_running(&mut self, no: usize, key: JobKey) {
        let until = self.now + 2_000;
        while self.now < until && !self.is_running(key) {
            self.play(STEP);
        }
        if self.is_running(key) {
            self.restart(no, 100);
        }
    }

    /// Whether the list stays as it is.
    pub fn hold_list(&mut self, is_held: bool) {
        self.held = is_held.then(|| self.entries());
    }

    /// Whether a task of a job ran twice at once.
    pub fn has_overlapped(&self, key: JobKey) -> bool {
        let of_job = || self.spans.iter().filter(|span| span.task.step.job == key);
        of_job().any(|one| {
            of_job().any(|other| {
                one.task == other.task
                    && one.run < other.run
                    && one.from.max(other.from) < one.until.min(other.until)
            })
        })
    }

    /// The longest time that the one task of a job was without a run after its first one.
    pub fn longest_without_run(&self, key: JobKey) -> u64 {
        let of_job = self.spans.iter().filter(|span| span.task.step.job == key);
        let mut spans: Vec<(u64, u64)> = of_job.map(|span| (span.from, span.until)).collect();
        spans.sort_unstable();
        let next = spans.iter().skip(1).map(|(from, _)| *from).chain([self.now]);
        spans
            .iter()
            .zip(next)
            .map(|((_, until), next)| next.saturating_sub(*until))
            .max()
            .unwrap_or(0)
    }

    /// Whether a task of a job started again though it was done, and that was confirmed.
    pub fn was_redone(&self, key: JobKey) -> bool {
        let of_job = || self.spans.iter().filter(|span| span.task.step.job == key);
        of_job().any(|one| {
            let again = of_job().any(|other| other.task == one.task && other.from > one.until);
            one.is_done && one.is_confirmed && again
        })
    }

    /// A job that was accepted is completed.
    pub fn is_known_or_unkept(&self, key: JobKey) -> bool {
        let is_completed = self.state(key)
            == Some(JobState::Closed(sprucerudder::cell::records::journal::JobOutcome::Completed));
        is_completed || !self.accepted.contains(&key)
    }

    /// As [`Site::restart`], with another room.
    pub fn restart_with(&mut self, no: usize, away: u64, room: u64) {
        self.restart(no, away);
        self.hosts[no].room = room;
    }

    /// A worker is behind a cut for a time.
    pub fn cut(&mut self, no: usize, length: u64) {
        self.hosts[no].away_until = self.now + length;
    }

    /// The next reports of a worker do not come.
    pub fn lose_reports(&mut self, no: usize, count: u32) {
        self.hosts[no].lost = count;
    }

    /// Another entry owns the cell.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        let mut snapshot = Snapshot::default();
        for (key, value) in &self.store {
            snapshot.apply(key, value).expect("a record of its own");
        }
        let now = Millis(self.now);
        self.cell = Cell::new(self.epoch, bounds(), queues(self.advice), snapshot, false, now);
        self.cell.set_workspaces(self.workspaces.clone());
        if self.advice.is_some() {
            self.cell.add_entry("entry".into(), true);
        }
        self.watched.clear();
        self.list();
    }

    pub fn play(&mut self, length: u64) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            self.arrive();
            self.work();
            if self.now % LIST == 0 {
                self.list();
            }
            if self.now % REPORT == 0 {
                self.report();
                let now = Millis(self.now);
                self.cell.tick(now, now);
            }
            self.write();
            self.cell.schedule(Millis(self.now));
            self.write();
            self.obey();
        }
    }

    fn list(&mut self) {
        let entries = self.held.clone().unwrap_or_else(|| self.entries());
        self.cell.set_workers(Millis(self.now), entries);
    }

    fn entries(&self) -> Vec<Listed> {
        let entry = |host: &Host| Listed {
            id: host.id.clone(),
            born: self.tells_births.then_some(Millis(host.listed)),
            service: "s".into(),
            addr: host.id.clone(),
            domain: "d".into(),
            room: Room { cpu: host.room, mem: 32_000, gpu: 0 },
            labels: vec!["a".into(), "r1".into()],
            leaving: None,
        };
        self.hosts.iter().map(entry).collect()
    }

    fn work(&mut self) {
        for (no, host) in self.hosts.iter_mut().enumerate() {
            let life = &mut host.life;
            let is_grey = self.grey.contains(&no);
            let over = life.clock(self.now.max(life.began)) >= life.lease;
            let lasts = |task: &TaskKey| !is_grey && self.lasting.contains(&task.step.job);
            let is_over = |(task, (_, until)): &(&TaskKey, &(u64, u64))| {
                over || (*until <= self.now && !lasts(task))
            };
            let done: Vec<TaskKey> =
                life.running.iter().filter(is_over).map(|(task, _)| *task).collect();
            for task in done {
                let end = match () {
                    () if over => End::Lapsed,
                    () if is_grey => End::Failed,
                    () => End::Done,
                };
                let run = life.running.get(&task).map(|(run, _)| *run);
                life.end(task, end);
                for span in &mut self.spans {
                    if span.task == task && Some(span.run) == run && span.until == u64::MAX {
                        (span.until, span.is_done) = (self.now, end == End::Done);
                    }
                }
            }
        }
    }

    fn host(&self, id: &Name) -> usize {
        self.hosts.iter().position(|host| host.id == *id).expect("a known worker")
    }

    fn report(&mut self) {
        let now = Millis(self.now);
        for id in self.watched.clone() {
            let Some(hold) = self.cell.hold(now, &id, true) else { continue };
            let no = self.host(&id);
            let host = &mut self.hosts[no];
            if host.away_until > self.now || host.lost > 0 {
                host.lost = host.lost.saturating_sub(1);
                let silent = HoldError::Silent("nothing came".to_string());
                self.cell.unheld(now, &id, &silent);
                continue;
            }
            let life = &mut host.life;
            life.fence = life.fence.max(self.epoch);
            life.lease =
                life.lease.max(hold.lease_end.unwrap_or(0).min(life.clock(now.0) + 10_000));
            for row in life.ended.iter().filter(|row| row.no <= hold.confirmed) {
                let of_row = |span: &&mut Span| span.task == row.task && span.run == row.run;
                self.spans.iter_mut().filter(of_row).for_each(|span| span.is_confirmed = true);
            }
            life.ended.retain(|row| row.no > hold.confirmed);
            self.confirmed.push((id.clone(), hold.confirmed));
            let running = life.running.iter().map(|(task, (run, _))| rows::running(*task, *run));
            let report = Report {
                born: self.tells_births.then_some(Millis(life.born)),
                clock: life.clock(now.0),
                running: running.collect(),
                ended: life.ended.clone(),
            };
            self.cell.held(now, now, &id, &report);
        }
    }

    fn write(&mut self) {
        while let Some(batch) = self.cell.take_batch(Millis(self.now)) {
            for (key, value) in batch.records {
                if let Ok(job) = key.parse::<JobKey>() {
                    self.accepted.insert(job);
                }
                match value.is_empty() {
                    true => drop(self.store.remove(&key)),
                    false => drop(self.store.insert(key, value)),
                }
            }
            self.cell.mark_stored(Millis(self.now), batch.number);
        }
    }

    fn obey(&mut self) {
        let now = Millis(self.now);
        for action in self.cell.take_actions() {
            match action {
                Action::Watch(listed) => drop(self.watched.insert(listed.id)),
                Action::Unwatch(id) => drop(self.watched.remove(&id)),
                Action::RequestAdvice { entry, request } => {
                    self.asked.push(request.workers.clone());
                    if self.unanswered > 0 {
                        self.unanswered -= 1;
                        continue;
                    }
                    let named = request.workers.iter();
                    let good = named.filter(|id| self.good.is_empty() || self.good.contains(*id));
                    let rows = good.map(|id| (id.clone(), "ticket".into())).collect();
                    let answer = sprucerudder::order::Cleared { rows, valid: None };
                    let (step, named) = (request.step, &request.workers);
                    self.cell.handle_advice(now, &entry, step, named, Some(answer));
                }
                Action::Start { ref worker, .. } | Action::Stop { ref worker, .. } => {
                    let no = self.host(worker);
                    let is_start = matches!(action, Action::Start { .. });
                    let is_lost = self.loses_starts && is_start;
                    self.sent.extend(is_start.then_some(no));
                    match self.late.get(&no) {
                        _ if is_lost => self.tell(&action, Outcome::Unknown),
                        Some(late) => {
                            self.on_their_way.push((self.now + late, action.clone(), self.epoch));
                            self.tell(&action, Outcome::Unknown);
                        }
                        None if self.hosts[no].away_until > self.now => {
                            self.tell(&action, Outcome::Unknown);
                        }
                        None => {
                            let outcome = self.carry_out(&action, self.epoch);
                            self.tell(&action, outcome);
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn tell(&mut self, action: &Action, outcome: Outcome) {
        let now = Millis(self.now);
        match action {
            Action::Start { worker, start, .. } => {
                self.cell.started(now, worker, start.task, start.run, outcome);
            }
            Action::Stop { worker, task, run } => {
                self.cell.stopped(now, worker, *task, *run, outcome);
            }
            _ => {}
        }
    }

    /// What was on its way arrives, whatever life is there by now.
    fn arrive(&mut self) {
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.on_their_way).into_iter().partition(|(at, ..)| *at <= now);
        self.on_their_way = rest;
        let due: Vec<(u64, Action, u64)> = due;
        for (_, action, extra) in due {
            match &action {
                Action::PollNow(id) => {
                    let no = self.host(id);
                    self.hosts[no].listed = extra;
                }
                _ => drop(self.carry_out(&action, extra)),
            }
        }
    }

    fn carry_out(&mut self, action: &Action, epoch: u64) -> Outcome {
        let (Action::Start { worker, .. } | Action::Stop { worker, .. }) = action else {
            return Outcome::Unsent;
        };
        let (no, now) = (self.host(worker), self.now);
        let host = &mut self.hosts[no];
        if host.away_until > now {
            return Outcome::Unknown;
        }
        let life = &mut host.life;
        if epoch < life.fence {
            return Outcome::Refused(Refusal::Fence);
        }
        life.fence = epoch;
        match action {
            Action::Start { start, until, .. } => {
                let outcome = life.start(now, start, *until);
                if matches!(outcome, Outcome::Done(_)) {
                    let entry = (now, worker.clone(), start.run);
                    self.starts.entry(start.task).or_default().push(entry);
                    self.spans.push(Span {
                        task: start.task,
                        run: start.run,
                        from: now,
                        until: u64::MAX,
                        is_done: false,
                        is_confirmed: false,
                    });
                }
                outcome
            }
            Action::Stop { task, run, .. } => {
                life.bar(*task, *run);
                if life.running.get(task).is_some_and(|(running, _)| running == run) {
                    life.end(*task, End::Stopped);
                    let of_run = |span: &&mut Span| span.task == *task && span.run == *run;
                    self.spans.iter_mut().filter(of_run).for_each(|span| span.until = now);
                }
                Outcome::Done(None)
            }
            _ => Outcome::Unsent,
        }
    }
}

impl Life {
    fn start(&mut self, now: u64, start: &Start, until: u64) -> Outcome {
        if until <= self.clock(now) {
            return Outcome::Refused(Refusal::Late);
        }
        self.lease = self.lease.max(until.min(self.clock(now) + 10_000));
        if self.barred.get(&start.task).is_some_and(|barred| start.run <= *barred) {
            return Outcome::Refused(Refusal::Old);
        }
        self.running.insert(start.task, (start.run, now + LENGTH));
        Outcome::Done(None)
    }

    fn bar(&mut self, task: TaskKey, run: u64) {
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(run);
    }

    fn end(&mut self, task: TaskKey, end: End) {
        let Some((run, _)) = self.running.remove(&task) else { return };
        self.bar(task, run);
        self.count += 1;
        self.ended.push(EndedRow { no: self.count, task, run, end, saved: "".into() });
    }
}

pub fn step() -> Step {
    let room = Room { cpu: 1_000, mem: 1_000, gpu: 0 };
    Step { count: 1, room, estimate: Millis(LENGTH), ..Step::default() }
}

fn queues(advice: Option<Advice>) -> HashMap<Name, Arc<Queue>> {
    let queue = Queue {
        name: "q".into(),
        service: "s".into(),
        priority: 0,
        attempts: 3,
        stretch: 1_500,
        target: Millis(250),
        advice,
    };
    HashMap::from([("q".into(), Arc::new(queue))])
}
