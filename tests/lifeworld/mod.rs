//! A simulated cluster whose workers restart under their ids, with one owner at a time, on a
//! virtual clock.

#![allow(dead_code)]

#[path = "../rows/mod.rs"]
mod rows;

use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::{Action, Cell, CellConfig, JobState};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{
    EndReason, EndedTask, OrderOutcome, Refusal, ReportError, StartOrder, WorkerInfo, WorkerReport,
};
use sprucerudder::workload::{
    AdviceConfig, JobDefinition, JobKey, Queue, Resources, Step, TaskKey,
};
use sprucerudder::workspace::Workspaces;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

pub const LEASE_MS: u64 = 6_000;
/// How long a task runs.
pub const RUN_MS: u64 = 300;
/// The step of the virtual clock.
const STEP_MS: u64 = 20;
/// The interval of a worker's reports.
const REPORT_INTERVAL_MS: u64 = 100;
/// The interval at which the owner reads the worker list.
const LIST_INTERVAL_MS: u64 = 400;

pub fn job(key: u64) -> JobKey {
    JobKey(key)
}

/// A worker. The state that is lost with its process is in `incarnation`.
struct Host {
    id: Name,
    cpu: u64,
    incarnation: Incarnation,
    /// It is down or partitioned before this time.
    unreachable_until: u64,
    /// The start time in its list entry, which may be that of an earlier incarnation.
    listed_born: u64,
    /// How many of its next reports are lost.
    lost_reports: u32,
}

#[derive(Default)]
struct Incarnation {
    born: u64,
    started_at: u64,
    fence: u64,
    lease_until: u64,
    running: BTreeMap<TaskKey, (u64, u64)>,
    ended: Vec<EndedTask>,
    end_count: u64,
    barred: BTreeMap<TaskKey, u64>,
}

impl Incarnation {
    /// Its clock, which restarts with the process.
    fn clock(&self, now: u64) -> u64 {
        1 + now - self.started_at
    }
}

pub struct Cluster {
    pub now: u64,
    pub cell: Cell,
    epoch: u64,
    hosts: Vec<Host>,
    polled: BTreeSet<Name>,
    starts: BTreeMap<TaskKey, Vec<(u64, Name, u64)>>,
    store: BTreeMap<String, Vec<u8>>,
    /// Orders to these workers are carried out this many milliseconds later, and not answered.
    pub order_delays: BTreeMap<usize, u64>,
    in_flight: Vec<(u64, Action, u64)>,
    pub confirmed: Vec<(Name, u64)>,
    advice: Option<AdviceConfig>,
    /// Ids of the workers that the advice service clears; empty: all.
    pub cleared_workers: BTreeSet<Name>,
    pub questions: Vec<Vec<Name>>,
    /// How many of the next answers of the advice service are lost.
    pub lost_answers: u32,
    /// The workers to which starts were sent, in order.
    pub start_targets: Vec<usize>,
    /// Starts are lost and not answered.
    pub loses_starts: bool,
    /// Whether workers report when they started.
    reports_born: bool,
    /// Workers on which every task fails.
    pub failing: BTreeSet<usize>,
    /// Jobs whose tasks have no end, except on workers on which every task fails.
    pub lasting_jobs: BTreeSet<JobKey>,
    /// The list that the owner reads if it is frozen.
    frozen_list: Option<Vec<WorkerInfo>>,
    /// All runs, with their ends and whether these were confirmed.
    spans: Vec<RunSpan>,
    accepted: BTreeSet<JobKey>,
    /// The workspaces that the next owner learns of.
    pub workspaces: Workspaces,
}

/// A run as the platform sees it.
struct RunSpan {
    task: TaskKey,
    run: u64,
    from: u64,
    until: u64,
    is_done: bool,
    is_confirmed: bool,
}

fn bounds() -> CellConfig {
    CellConfig {
        lease: Millis(LEASE_MS),
        max_lease: Millis(10_000),
        job_retention: Millis(1_000_000),
        disabled: DisabledMechanisms::default(),
        memory: None,
    }
}

impl Cluster {
    pub fn new(workers: usize) -> Self {
        Self::build(workers, None, true)
    }

    /// A cluster whose workers don't report when they started: a restarted process has another id.
    pub fn without_start_times(workers: usize) -> Self {
        Self::build(workers, None, false)
    }

    /// A cluster whose queue requires clearance by an advice service.
    pub fn with_advice(workers: usize) -> Self {
        let advice = AdviceConfig {
            base_latency: Millis(20),
            worker_micros: 0,
            ticket_validity: Millis(60_000),
        };
        Self::build(workers, Some(advice), true)
    }

    fn build(workers: usize, advice: Option<AdviceConfig>, reports_born: bool) -> Self {
        let host = |index: usize| Host {
            id: format!("w{index}").into(),
            cpu: 4_000,
            incarnation: Incarnation { born: 1_000 + index as u64, ..Incarnation::default() },
            unreachable_until: 0,
            listed_born: 1_000 + index as u64,
            lost_reports: 0,
        };
        let cell = Cell::new(1, bounds(), queues(advice), Snapshot::default(), false, Millis(0));
        let mut cluster = Self {
            now: 0,
            cell,
            epoch: 1,
            hosts: (0..workers).map(host).collect(),
            polled: BTreeSet::new(),
            starts: BTreeMap::new(),
            store: BTreeMap::new(),
            order_delays: BTreeMap::new(),
            in_flight: Vec::new(),
            confirmed: Vec::new(),
            advice,
            cleared_workers: BTreeSet::new(),
            questions: Vec::new(),
            lost_answers: 0,
            start_targets: Vec::new(),
            loses_starts: false,
            reports_born,
            failing: BTreeSet::new(),
            lasting_jobs: BTreeSet::new(),
            frozen_list: None,
            spans: Vec::new(),
            accepted: BTreeSet::new(),
            workspaces: Workspaces::default(),
        };
        if advice.is_some() {
            cluster.cell.add_entry("entry".into(), true);
        }
        cluster.publish_list();
        cluster.run_for(1_000);
        cluster
    }

    /// Submits a job of one task.
    pub fn submit(&mut self, key: JobKey) {
        self.submit_step(key, step());
    }

    pub fn submit_step(&mut self, key: JobKey, step: Step) {
        let (first_due, interval) = (Millis(0), Millis(0));
        let work = JobDefinition {
            payload: "text".into(),
            steps: vec![step],
            repetitions: 1,
            first_due,
            interval,
        };
        assert!(self.cell.submit(Millis(self.now), key, "q", Arc::new(work)).is_some());
    }

    /// Submits a job of one step for a workspace.
    pub fn submit_for(&mut self, key: JobKey, step: Step, workspace: &str) {
        let (first_due, interval) = (Millis(0), Millis(0));
        let work = JobDefinition {
            payload: "text".into(),
            steps: vec![step],
            repetitions: 1,
            first_due,
            interval,
        };
        let (now, workspace) = (Millis(self.now), Some(workspace.into()));
        assert!(self.cell.submit_for_workspace(now, key, "q", Arc::new(work), workspace).is_some());
    }

    /// The number of running tasks.
    pub fn running(&self) -> usize {
        self.hosts.iter().map(|host| host.incarnation.running.len()).sum()
    }

    pub fn state(&self, key: JobKey) -> Option<JobState> {
        self.cell.job_state(key)
    }

    /// How often the tasks of a job were started.
    pub fn start_count(&self, key: JobKey) -> usize {
        let of_job = self.starts.iter().filter(|(task, _)| task.step.job == key);
        of_job.map(|(_, starts)| starts.len()).sum()
    }

    /// When the first task started on a worker from a given time on.
    pub fn first_start_on(&self, index: usize, after: u64) -> Option<u64> {
        let all = self.starts.values().flatten();
        all.filter(|(at, id, _)| *at >= after && *id == self.hosts[index].id)
            .map(|(at, ..)| *at)
            .min()
    }

    /// Crashes a worker, which restarts with the same id after `downtime` milliseconds. Its system
    /// clock has been set back, so that the new incarnation reports an earlier start time.
    pub fn restart(&mut self, index: usize, downtime: u64) {
        let host = &mut self.hosts[index];
        let now = self.now;
        for span in self.spans.iter_mut().filter(|span| span.until == u64::MAX) {
            if host.incarnation.running.get(&span.task).is_some_and(|(run, _)| *run == span.run) {
                span.until = now;
            }
        }
        let born = host.incarnation.born - 7;
        host.incarnation =
            Incarnation { born, started_at: self.now + downtime, ..Incarnation::default() };
        host.unreachable_until = self.now + downtime;
        let (listed, at) = (born, self.now + downtime);
        self.in_flight.push((at, Action::PollNow(host.id.clone()), listed));
    }

    /// The worker on which a job's task runs.
    pub fn host_of(&self, key: JobKey) -> usize {
        let runs = |host: &Host| host.incarnation.running.keys().any(|task| task.step.job == key);
        self.hosts.iter().position(runs).expect("a running task")
    }

    /// The workers on which tasks of a job run.
    pub fn hosts_of(&self, key: JobKey) -> Vec<usize> {
        let runs = |host: &Host| host.incarnation.running.keys().any(|task| task.step.job == key);
        (0..self.hosts.len()).filter(|index| runs(&self.hosts[*index])).collect()
    }

    /// The keys of the records in the store that end with a suffix.
    pub fn record_keys(&self, suffix: &str) -> Vec<String> {
        self.store.keys().filter(|key| key.ends_with(suffix)).cloned().collect()
    }

    pub fn is_running(&self, key: JobKey) -> bool {
        self.hosts
            .iter()
            .any(|host| host.incarnation.running.keys().any(|task| task.step.job == key))
    }

    /// Runs until a job's task runs, for two seconds at most, and then crashes the worker.
    pub fn crash_when_running(&mut self, index: usize, key: JobKey) {
        let until = self.now + 2_000;
        while self.now < until && !self.is_running(key) {
            self.run_for(STEP_MS);
        }
        if self.is_running(key) {
            self.restart(index, 100);
        }
    }

    /// Freezes the worker list, or unfreezes it.
    pub fn freeze_list(&mut self, is_frozen: bool) {
        self.frozen_list = is_frozen.then(|| self.list_entries());
    }

    /// Whether a task of a job ran twice at the same time.
    pub fn ran_concurrently(&self, key: JobKey) -> bool {
        let of_job = || self.spans.iter().filter(|span| span.task.step.job == key);
        of_job().any(|one| {
            of_job().any(|other| {
                one.task == other.task
                    && one.run < other.run
                    && one.from.max(other.from) < one.until.min(other.until)
            })
        })
    }

    /// The longest time, in milliseconds, for which a job with one task was without a run after its
    /// first one.
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

    /// Whether a task of a job started again although it was done and its end had been confirmed.
    pub fn was_repeated(&self, key: JobKey) -> bool {
        let of_job = || self.spans.iter().filter(|span| span.task.step.job == key);
        of_job().any(|one| {
            let again = of_job().any(|other| other.task == one.task && other.from > one.until);
            one.is_done && one.is_confirmed && again
        })
    }

    /// Whether a job is completed, if it was accepted.
    pub fn is_completed_if_accepted(&self, key: JobKey) -> bool {
        let is_completed = self.state(key)
            == Some(JobState::Closed(sprucerudder::cell::records::journal::JobOutcome::Completed));
        is_completed || !self.accepted.contains(&key)
    }

    /// As [`Cluster::restart`], with another CPU capacity.
    pub fn restart_resized(&mut self, index: usize, downtime: u64, cpu: u64) {
        self.restart(index, downtime);
        self.hosts[index].cpu = cpu;
    }

    /// Partitions a worker from the owner for `length` milliseconds.
    pub fn partition(&mut self, index: usize, length: u64) {
        self.hosts[index].unreachable_until = self.now + length;
    }

    /// Loses the next reports of a worker.
    pub fn lose_reports(&mut self, index: usize, count: u32) {
        self.hosts[index].lost_reports = count;
    }

    /// Another entry takes over the cell.
    pub fn take_over(&mut self) {
        self.take_over_if(false);
    }

    /// Replaces the owner after an outage of the store in which it started tasks without records.
    pub fn take_over_after_outage(&mut self) {
        self.store.retain(|key, _| !key.ends_with(".p"));
        self.take_over_if(true);
    }

    fn take_over_if(&mut self, unrecorded_starts: bool) {
        self.epoch += 1;
        let mut snapshot = Snapshot::default();
        for (key, value) in &self.store {
            snapshot.apply(key, value).expect("a valid record");
        }
        let now = Millis(self.now);
        self.cell =
            Cell::new(self.epoch, bounds(), queues(self.advice), snapshot, unrecorded_starts, now);
        self.cell.set_workspaces(self.workspaces.clone());
        if self.advice.is_some() {
            self.cell.add_entry("entry".into(), true);
        }
        self.polled.clear();
        self.publish_list();
    }

    pub fn run_for(&mut self, length: u64) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP_MS;
            self.deliver_in_flight();
            self.advance_workers();
            if self.now % LIST_INTERVAL_MS == 0 {
                self.publish_list();
            }
            if self.now % REPORT_INTERVAL_MS == 0 {
                self.poll_reports();
                let now = Millis(self.now);
                self.cell.tick(now, now);
            }
            self.write_batches();
            self.cell.schedule(Millis(self.now));
            self.write_batches();
            self.execute_actions();
        }
    }

    fn publish_list(&mut self) {
        let entries = self.frozen_list.clone().unwrap_or_else(|| self.list_entries());
        self.cell.set_workers(Millis(self.now), entries);
    }

    fn list_entries(&self) -> Vec<WorkerInfo> {
        let entry = |host: &Host| WorkerInfo {
            id: host.id.clone(),
            started_at: self.reports_born.then_some(Millis(host.listed_born)),
            service: "s".into(),
            addr: host.id.clone(),
            domain: "d".into(),
            capacity: Resources { cpu: host.cpu, mem: 32_000, gpu: 0 },
            labels: vec!["a".into(), "r1".into()],
            leaves_in: None,
        };
        self.hosts.iter().map(entry).collect()
    }

    fn advance_workers(&mut self) {
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let incarnation = &mut host.incarnation;
            let is_failing = self.failing.contains(&index);
            let over =
                incarnation.clock(self.now.max(incarnation.started_at)) >= incarnation.lease_until;
            let lasts = |task: &TaskKey| !is_failing && self.lasting_jobs.contains(&task.step.job);
            let is_over = |(task, (_, until)): &(&TaskKey, &(u64, u64))| {
                over || (*until <= self.now && !lasts(task))
            };
            let done: Vec<TaskKey> =
                incarnation.running.iter().filter(is_over).map(|(task, _)| *task).collect();
            for task in done {
                let end = match () {
                    () if over => EndReason::LeaseExpired,
                    () if is_failing => EndReason::Failed,
                    () => EndReason::Done,
                };
                let run = incarnation.running.get(&task).map(|(run, _)| *run);
                incarnation.end_run(task, end);
                for span in &mut self.spans {
                    if span.task == task && Some(span.run) == run && span.until == u64::MAX {
                        (span.until, span.is_done) = (self.now, end == EndReason::Done);
                    }
                }
            }
        }
    }

    fn host_index(&self, id: &Name) -> usize {
        self.hosts.iter().position(|host| host.id == *id).expect("a known worker")
    }

    fn poll_reports(&mut self) {
        let now = Millis(self.now);
        for id in self.polled.clone() {
            let Some(hold) = self.cell.report_call(now, &id, true) else { continue };
            let index = self.host_index(&id);
            let host = &mut self.hosts[index];
            if host.unreachable_until > self.now || host.lost_reports > 0 {
                host.lost_reports = host.lost_reports.saturating_sub(1);
                let silent = ReportError::NoReply("report lost".to_string());
                self.cell.on_missing_report(now, &id, &silent);
                continue;
            }
            let incarnation = &mut host.incarnation;
            incarnation.fence = incarnation.fence.max(self.epoch);
            incarnation.lease_until = incarnation
                .lease_until
                .max(hold.lease_end.unwrap_or(0).min(incarnation.clock(now.0) + 10_000));
            for row in incarnation.ended.iter().filter(|row| row.seq <= hold.confirmed) {
                let of_row = |span: &&mut RunSpan| span.task == row.task && span.run == row.run;
                self.spans.iter_mut().filter(of_row).for_each(|span| span.is_confirmed = true);
            }
            incarnation.ended.retain(|row| row.seq > hold.confirmed);
            self.confirmed.push((id.clone(), hold.confirmed));
            let running =
                incarnation.running.iter().map(|(task, (run, _))| rows::running(*task, *run));
            let report = WorkerReport {
                started_at: self.reports_born.then_some(Millis(incarnation.born)),
                clock: incarnation.clock(now.0),
                running: running.collect(),
                ended: incarnation.ended.clone(),
                has_more_ends: false,
            };
            self.cell.on_report(now, now, &id, &report);
        }
    }

    fn write_batches(&mut self) {
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

    fn execute_actions(&mut self) {
        let now = Millis(self.now);
        for action in self.cell.take_actions() {
            match action {
                Action::Watch(listed) => drop(self.polled.insert(listed.id)),
                Action::Unwatch(id) => drop(self.polled.remove(&id)),
                Action::RequestAdvice { entry, request } => {
                    self.questions.push(request.workers.clone());
                    if self.lost_answers > 0 {
                        self.lost_answers -= 1;
                        continue;
                    }
                    let named = request.workers.iter();
                    let cleared = named.filter(|id| {
                        self.cleared_workers.is_empty() || self.cleared_workers.contains(*id)
                    });
                    let tickets = cleared.map(|id| (id.clone(), "ticket".into())).collect();
                    let answer = sprucerudder::order::ClearedWorkers { tickets, valid_for: None };
                    let (step, named) = (request.step, &request.workers);
                    self.cell.handle_advice(now, &entry, step, named, Some(answer));
                }
                Action::Start { ref worker, .. } | Action::Stop { ref worker, .. } => {
                    let index = self.host_index(worker);
                    let is_start = matches!(action, Action::Start { .. });
                    let is_lost = self.loses_starts && is_start;
                    self.start_targets.extend(is_start.then_some(index));
                    match self.order_delays.get(&index) {
                        _ if is_lost => self.report_outcome(&action, OrderOutcome::Unknown),
                        Some(late) => {
                            self.in_flight.push((self.now + late, action.clone(), self.epoch));
                            self.report_outcome(&action, OrderOutcome::Unknown);
                        }
                        None if self.hosts[index].unreachable_until > self.now => {
                            self.report_outcome(&action, OrderOutcome::Unknown);
                        }
                        None => {
                            let outcome = self.execute(&action, self.epoch);
                            self.report_outcome(&action, outcome);
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn report_outcome(&mut self, action: &Action, outcome: OrderOutcome) {
        let now = Millis(self.now);
        match action {
            Action::Start { worker, start, .. } => {
                self.cell.on_start_outcome(now, worker, start.task, start.run, outcome);
            }
            Action::Stop { worker, task, run } => {
                self.cell.on_stop_outcome(now, worker, *task, *run, outcome);
            }
            _ => {}
        }
    }

    /// Delivers what is due, whichever incarnation runs there by now.
    fn deliver_in_flight(&mut self) {
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, ..)| *at <= now);
        self.in_flight = rest;
        let due: Vec<(u64, Action, u64)> = due;
        for (_, action, extra) in due {
            match &action {
                Action::PollNow(id) => {
                    let index = self.host_index(id);
                    self.hosts[index].listed_born = extra;
                }
                _ => drop(self.execute(&action, extra)),
            }
        }
    }

    fn execute(&mut self, action: &Action, epoch: u64) -> OrderOutcome {
        let (Action::Start { worker, .. } | Action::Stop { worker, .. }) = action else {
            return OrderOutcome::Unsent;
        };
        let (index, now) = (self.host_index(worker), self.now);
        let host = &mut self.hosts[index];
        if host.unreachable_until > now {
            return OrderOutcome::Unknown;
        }
        let incarnation = &mut host.incarnation;
        if epoch < incarnation.fence {
            return OrderOutcome::Refused(Refusal::StaleFence);
        }
        incarnation.fence = epoch;
        match action {
            Action::Start { start, until, .. } => {
                let outcome = incarnation.start_run(now, start, *until);
                if matches!(outcome, OrderOutcome::Done(_)) {
                    let entry = (now, worker.clone(), start.run);
                    self.starts.entry(start.task).or_default().push(entry);
                    self.spans.push(RunSpan {
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
                incarnation.bar_run(*task, *run);
                if incarnation.running.get(task).is_some_and(|(running, _)| running == run) {
                    incarnation.end_run(*task, EndReason::Stopped);
                    let of_run = |span: &&mut RunSpan| span.task == *task && span.run == *run;
                    self.spans.iter_mut().filter(of_run).for_each(|span| span.until = now);
                }
                OrderOutcome::Done(None)
            }
            _ => OrderOutcome::Unsent,
        }
    }
}

impl Incarnation {
    fn start_run(&mut self, now: u64, start: &StartOrder, until: u64) -> OrderOutcome {
        if until <= self.clock(now) {
            return OrderOutcome::Refused(Refusal::LeaseExpired);
        }
        self.lease_until = self.lease_until.max(until.min(self.clock(now) + 10_000));
        if self.barred.get(&start.task).is_some_and(|barred| start.run <= *barred) {
            return OrderOutcome::Refused(Refusal::StaleRun);
        }
        self.running.insert(start.task, (start.run, now + RUN_MS));
        OrderOutcome::Done(None)
    }

    fn bar_run(&mut self, task: TaskKey, run: u64) {
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(run);
    }

    fn end_run(&mut self, task: TaskKey, reason: EndReason) {
        let Some((run, _)) = self.running.remove(&task) else { return };
        self.bar_run(task, run);
        self.end_count += 1;
        self.ended.push(EndedTask {
            seq: self.end_count,
            task,
            run,
            reason,
            checkpoint: "".into(),
        });
    }
}

pub fn step() -> Step {
    let resources = Resources { cpu: 1_000, mem: 1_000, gpu: 0 };
    Step { count: 1, resources, estimate: Millis(RUN_MS), ..Step::default() }
}

fn queues(advice: Option<AdviceConfig>) -> HashMap<Name, Arc<Queue>> {
    let queue = Queue {
        name: "q".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 1_500,
        target: Millis(250),
        advice,
    };
    HashMap::from([("q".into(), Arc::new(queue))])
}
