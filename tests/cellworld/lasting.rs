//! Long-running jobs, the advice service that is asked about them, and workers that fail all their
//! runs.
//!
//! By the platform's contract a long-running task has a run again within 6 s + 3 s of the end of
//! its last one, if the last 3 s and the 4 s before them were free of faults, however busy the
//! service is.

use super::*;
use sprucerudder::id::hash;
use sprucerudder::order::ClearedWorkers;
use sprucerudder::workload::AdviceConfig;

/// How long a long-running task may be without a run, in milliseconds.
const MAX_IDLE_MS: u64 = 9_000;
/// How long there must have been no fault before that is checked.
const FAULT_FREE_MS: u64 = 7_000;
/// How many tenths of the workers the advice service clears for a step.
const CLEARED_TENTHS: u64 = 6;
/// The time that a question takes, as on the deployment with the slowest advice service.
const ADVICE: AdviceConfig = AdviceConfig {
    base_latency: Millis(560),
    worker_micros: 8_000,
    ticket_validity: Millis(2_000),
};
/// How long an entry may be idle while a request waits, in milliseconds: an owner that was paused
/// starts and asks nothing before it has read the list of workers again.
const MAX_UNUSED_MS: u64 = 1_000;
/// The number of entries that are connected to an owner.
const ENTRY_COUNT: usize = 9;

/// State of the searches with long-running jobs.
#[derive(Debug, Default)]
pub struct LastingJobs {
    enabled: bool,
    /// Whether tasks that were lost with a replaced worker have to run again in time, too.
    pub checks_replaced: bool,
    /// Workers that fail all their runs, each with the time until which they do.
    failing_until: BTreeMap<Name, u64>,
    /// Tasks that have started at least once.
    started: BTreeSet<TaskKey>,
    /// Tasks that may be without a run for longer, and by how much.
    extra_time: BTreeMap<TaskKey, u64>,
    /// Tasks that are without a run.
    idle: BTreeMap<TaskKey, IdleTask>,
    /// When the last fault ended or will end.
    last_fault: u64,
    /// Since when an entry is idle although requests to the advice service wait.
    unused_since: Option<u64>,
    /// How often a task lost its run.
    pub lost_runs: usize,
}

/// A task that is without a run.
#[derive(Debug)]
struct IdleTask {
    since: u64,
    /// Since when a worker has had room for it without interruption.
    room_since: Option<u64>,
}

impl LastingJobs {
    /// Whether runs on a worker fail.
    pub fn fails_runs(&self, worker: &Name, now: u64) -> bool {
        self.failing_until.get(worker).is_some_and(|until| *until > now)
    }

    /// Records the start of a long-running task.
    pub fn record_start(&mut self, task: TaskKey, spec: &Step) {
        if spec.long_running {
            self.started.insert(task);
        }
    }

    /// Whether a task is long-running and has started.
    pub fn has_started(&self, task: TaskKey) -> bool {
        self.started.contains(&task)
    }
}

/// Whether the advice service clears a worker for a step; the answer is always the same.
fn advice_clears(step: StepKey, worker: &Name) -> bool {
    hash(&[step.to_string().as_bytes(), worker.as_bytes()]) % 10 < CLEARED_TENTHS
}

fn entry_name(index: usize) -> Name {
    format!("e{index}").into()
}

impl Simulation {
    /// Makes every other job long-running. With `keeps_ids`, workers report their start time and
    /// usually keep their id when they restart.
    pub(super) fn add_lasting_jobs(&mut self, keeps_ids: bool) {
        self.lasting.enabled = true;
        self.keeps_ids = keeps_ids;
        for worker in self.workers.values_mut() {
            worker.listed.started_at = keeps_ids.then_some(Millis(7));
        }
        for index in 4..10 {
            self.add_worker(format!("w{index}").into(), index % 2);
        }
        self.publish_list();
        let mut jobs: Vec<JobKey> = self.works.keys().copied().collect();
        jobs.retain(|job| self.is_lasting(*job));
        for job in jobs {
            let step = Step {
                count: 1 + self.pick(4) as u32,
                resources: room(200 + self.pick(300)),
                estimate: Millis(60_000),
                long_running: true,
                worker_limit: self.pick(2) as u32,
                ..Step::default()
            };
            let work = JobDefinition { steps: vec![step], ..(*self.works[&job]).clone() };
            self.works.insert(job, Arc::new(work));
        }
        let names: Vec<Name> = self.workers.keys().cloned().collect();
        for name in names {
            if self.pick(3) == 0 {
                let until = FAULTS_END_MS - self.pick(2_000);
                self.lasting.failing_until.insert(name.clone(), until);
                self.note_fault(until);
            }
        }
        self.replace_owners();
        self.connect_entries(0);
        self.advance_owner(0);
    }

    /// Schedules two or three takeovers in a row, and the loss of a worker meanwhile.
    fn replace_owners(&mut self) {
        let mut at = FAULTS_END_MS - 4_000 + self.pick(2_000);
        let names: Vec<Name> = self.workers.keys().cloned().collect();
        let worker = names[self.pick(names.len() as u64) as usize].clone();
        let lost_at = at + self.pick(1_500);
        self.schedule_at(lost_at, Event::ReplaceWorker { worker });
        for _ in 0..2 + self.pick(2) {
            self.schedule_at(at, Event::Elect);
            at += 300 + self.pick(1_700);
        }
    }

    /// The lease, in milliseconds; for long-running jobs that of the deployments with the longest
    /// one.
    pub(super) fn lease_time(&self) -> u64 {
        if self.lasting.enabled { 2 * LEASE_MS } else { LEASE_MS }
    }

    /// How long the simulation continues once all jobs with an end have ended.
    pub(super) fn settle_time(&self) -> u64 {
        if self.lasting.enabled { 2 * MAX_IDLE_MS } else { SETTLE_MS }
    }

    /// Whether a job is long-running.
    pub(super) fn is_lasting(&self, job: JobKey) -> bool {
        self.lasting.enabled && job.0 % 2 == 0
    }

    pub(super) fn lasting_queue(&self) -> Queue {
        Queue {
            name: "lasts".into(),
            priority: 1,
            advice: Some(ADVICE),
            ..(*self.base_queue).clone()
        }
    }

    /// Records a fault that lasts until a given time.
    pub(super) fn note_fault(&mut self, until: u64) {
        self.lasting.last_fault = self.lasting.last_fault.max(until);
    }

    /// Allows tasks that were lost with a worker, because they ran there or nobody had read their
    /// ends, to be without a run for longer. Where workers keep their ids, the next incarnation may
    /// hold a lease of up to the longest length by the clock of the previous one, and nobody may
    /// start its tasks before that has expired.
    pub(super) fn allow_extra_time(&mut self, tasks: impl Iterator<Item = TaskKey>) {
        let extra_time = match self.lasting.checks_replaced {
            true if self.keeps_ids => MAX_LEASE_MS - 2 * LEASE_MS,
            true => 0,
            false => DEADLINE_MS,
        };
        self.lasting.extra_time.extend(tasks.map(|task| (task, extra_time)));
    }

    /// All entries connect to a new owner.
    pub(super) fn connect_entries(&mut self, owner: usize) {
        if !self.lasting.enabled && !self.has_ranked_objectives {
            return;
        }
        for index in 0..ENTRY_COUNT {
            self.owners[owner].cell.add_entry(entry_name(index), true);
        }
    }

    /// An entry asks the advice service on behalf of an owner.
    pub(super) fn ask_advice(&mut self, owner: usize, entry: Name, question: AdviceRequest) {
        let length = question.cost.0 * (90 + self.pick(20)) / 100;
        let lost = self.chance(12);
        if lost && self.pick(2) == 0 {
            let (delay, entry) = (self.pick(length), entry.clone());
            self.schedule_after(delay, Event::Reconnect { owner, entry });
        }
        self.schedule_after(length, Event::AdviceAnswered { owner, entry, question, lost });
    }

    pub(super) fn answer_advice(
        &mut self,
        owner: usize,
        entry: &Name,
        question: &AdviceRequest,
        lost: bool,
    ) {
        if lost {
            return self.log_event(format!("{entry}'s answer about {} is lost", question.step));
        }
        let cleared = question.workers.iter().filter(|name| self.is_cleared(question.step, name));
        let tickets = cleared.map(|name| (name.clone(), "ticket".into())).collect();
        let answer = Some(ClearedWorkers { tickets, valid_for: None });
        let cell = &mut self.owners[owner].cell;
        cell.handle_advice(Millis(self.now), entry, question.step, &question.workers, answer);
        self.advance_owner(owner);
    }

    pub(super) fn reconnect(&mut self, owner: usize, entry: Name) {
        self.log_event(format!("{entry} reconnects to owner {owner}"));
        self.owners[owner].cell.remove_entry(&entry);
        self.owners[owner].cell.add_entry(entry, true);
        self.advance_owner(owner);
    }

    /// Checks that no entry stays idle while requests to the advice service wait. All requests here
    /// are long, so no entry is kept free for short ones.
    pub(super) fn check_advice_clients(&mut self, owner: usize) {
        let is_current = owner + 1 == self.owners.len() && !self.owners[owner].deposed;
        if !self.lasting.enabled || !is_current {
            return;
        }
        let load = self.owners[owner].cell.advice_load(Millis(self.now));
        let is_unused = load.queued > 0 && load.busy < load.clients;
        let since = self.lasting.unused_since.unwrap_or(self.now);
        self.lasting.unused_since = is_unused.then_some(since);
        let is_fault_free = self.now >= self.lasting.last_fault + FAULT_FREE_MS;
        if is_unused && is_fault_free && self.now - since > MAX_UNUSED_MS {
            self.record_violation(format!("requests wait beside idle entries: {load:?}"));
        }
    }

    /// Checks that no long-running task is without a run for longer than the contract allows.
    pub(super) fn check_lasting(&mut self) {
        if !self.lasting.enabled {
            return;
        }
        let alive = self.workers.values().filter(|worker| worker.alive);
        let running: BTreeSet<TaskKey> =
            alive.flat_map(|worker| worker.running.keys().copied()).collect();
        let idle: Vec<TaskKey> =
            self.lasting.started.iter().filter(|task| !running.contains(task)).copied().collect();
        self.lasting.idle.retain(|task, _| !running.contains(task));
        self.lasting.extra_time.retain(|task, _| !running.contains(task));
        for task in idle {
            let (now, has_candidate) = (self.now, self.has_candidate(task));
            let before = self.lasting.idle.len();
            let new = || IdleTask { since: now, room_since: None };
            let idle = self.lasting.idle.entry(task).or_insert_with(new);
            idle.room_since =
                idle.room_since.filter(|_| has_candidate).or(has_candidate.then_some(now));
            let had_candidate = idle.room_since.is_some_and(|since| now - since > MAX_WAIT_MS);
            let since = idle.since;
            self.lasting.lost_runs += self.lasting.idle.len() - before;
            let is_fault_free = now >= self.lasting.last_fault + FAULT_FREE_MS;
            let is_long = is_fault_free && now - since > MAX_IDLE_MS && had_candidate;
            if self.now > FAULTS_END_MS && self.is_bound_to_lost_worker(task) {
                self.allow_extra_time([task].into_iter());
            } else if is_long && now - since > self.idle_limit(task) {
                self.record_violation(format!(
                    "lasting task {task} is without a run since {since}"
                ));
            }
        }
    }

    /// How long a task may be without a run, in milliseconds.
    fn idle_limit(&self, task: TaskKey) -> u64 {
        MAX_IDLE_MS + self.lasting.extra_time.get(&task).copied().unwrap_or(0)
    }

    /// Whether the store binds a task to a worker that is gone. Nobody can tell then whether it
    /// started there, until the longest lease has expired.
    fn is_bound_to_lost_worker(&self, task: TaskKey) -> bool {
        let mut snapshot = Snapshot::default();
        let of_job = task.step.job.to_string();
        for (key, value) in self.store.iter().filter(|(key, _)| key.starts_with(&of_job)) {
            snapshot.apply(key, value).unwrap();
        }
        let progress = snapshot.progress.remove(&task.step.job).unwrap_or_default();
        let steps = progress.steps.into_iter();
        let here = steps.filter(|step| step.step_index == (task.step.repetition, task.step.step));
        let tasks = here.flat_map(|step| step.tasks).filter(|note| note.index == task.index);
        let mut bound = tasks.filter_map(|note| note.assignment);
        bound.any(|(_, worker)| self.workers.get(&worker).is_none_or(|worker| !worker.alive))
    }

    /// Whether a worker may run a step: the advice service decides for long-running jobs.
    pub(super) fn is_cleared(&self, step: StepKey, worker: &Name) -> bool {
        !self.is_lasting(step.job) || advice_clears(step, worker)
    }

    /// Whether a worker that the advice service clears has room for two such tasks, and may run one
    /// more task of this step.
    fn has_candidate(&self, task: TaskKey) -> bool {
        let spec = &self.works[&task.step.job].steps[usize::from(task.step.step)];
        let charge = spec.charged_resources();
        let double = charge.plus(&charge);
        let used = |worker: &SimWorker| -> Resources {
            worker.running.values().fold(Resources::default(), |sum, run| sum.plus(&run.charge))
        };
        let takes = |worker: &SimWorker| {
            let here = worker.running.keys().filter(|other| other.step == task.step).count();
            spec.worker_limit == 0 || here < spec.worker_limit as usize
        };
        self.workers.iter().any(|(name, worker)| {
            let has_room = worker.listed.capacity.saturating_sub(&used(worker)).can_fit(&double);
            worker.stays() && advice_clears(task.step, name) && has_room && takes(worker)
        })
    }
}
