//! A job at its owner: its steps, its tasks, and what is known of them.

use crate::cell::jobs::restart_policy::Crash;
use crate::cell::jobs::wait::Wait;
use crate::cell::records::journal::{
    JobOutcome, JobRecord, Progress, StepProgress, TaskCrashes, TaskProgress,
};
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{JobDefinition, JobKey, Queue, Step, StepKey, TaskKey};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What is beyond a workspace's share is less urgent by this: more than any queue is.
const OVER_SHARE_PENALTY: u32 = 1 << 16;

/// Where a task stands.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum TaskStatus {
    /// It needs a worker, now or once its step's turn has come.
    #[default]
    Waiting,
    /// It was given to a worker, as this run.
    Placed {
        /// The worker.
        worker: Name,
        /// The number of the start.
        run: u64,
    },
    /// It is done.
    Done,
}

/// A task.
#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// Where it stands.
    pub status: TaskStatus,
    /// The runs of it that failed: a worker may list an end again after a takeover.
    pub failed_runs: Vec<u64>,
    /// The number of its last start in this epoch.
    pub last_run: u64,
    /// Its saved progress; empty: none.
    pub checkpoint: Name,
    /// Workers on which it failed.
    pub failed_workers: Vec<Name>,
    /// Lives of workers that ended, not by plan, while it ran there.
    pub crashes: Vec<Crash>,
    /// Since when it lasts and waits for a worker.
    pub idle_since: Option<Millis>,
}

impl Default for Task {
    fn default() -> Self {
        let (status, checkpoint) = (TaskStatus::Waiting, "".into());
        let (failed_workers, crashes) = (Vec::new(), Vec::new());
        Self {
            status,
            failed_runs: Vec::new(),
            last_run: 0,
            checkpoint,
            failed_workers,
            crashes,
            idle_since: None,
        }
    }
}

impl Task {
    /// Where the task is known to run as a lower run than `run`.
    pub fn older_run(&self, run: u64) -> Option<(Name, u64)> {
        match &self.status {
            TaskStatus::Placed { worker, run: older } if *older < run => {
                Some((worker.clone(), *older))
            }
            _ => None,
        }
    }
}

/// A worker's clearance for a step.
#[derive(Debug, Clone, PartialEq)]
pub struct Ticket {
    /// What a start must carry.
    pub text: Name,
    /// When it stops holding.
    pub until: Millis,
}

/// What the advice service said about a step.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Clearances {
    /// A question is under way.
    pub is_asking: bool,
    /// When it was put.
    pub asked_at: Millis,
    /// It is not asked again before this time.
    pub retry_at: Millis,
    /// Workers that may run the step; the clearance never changes, only the ticket runs out.
    pub cleared: BTreeMap<Name, Ticket>,
    /// Workers that may not.
    pub denied: BTreeSet<Name>,
}

impl Clearances {
    /// Workers whose tickets hold until `until` at least.
    pub fn ticket_holders(&self, until: Millis) -> impl Iterator<Item = &Name> {
        let holds = move |(_, ticket): &(&Name, &Ticket)| ticket.until > until;
        self.cleared.iter().filter(holds).map(|(name, _)| name)
    }

    /// Whether nothing was asked yet.
    pub fn has_no_answer(&self) -> bool {
        self.cleared.is_empty() && self.denied.is_empty()
    }

    /// Whether any ticket holds until `until`.
    pub fn has_any_ticket(&self, until: Millis) -> bool {
        self.ticket_holders(until).next().is_some()
    }

    /// Whether a worker's ticket holds until `until`.
    pub fn has_ticket_for(&self, name: &Name, until: Millis) -> bool {
        self.cleared.get(name).is_some_and(|ticket| ticket.until > until)
    }
}

/// One step of one repetition.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StepState {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Tasks that are not done.
    pub unfinished: u32,
    /// Tasks that need a worker.
    pub waiting: BTreeSet<u32>,
    /// What the advice service said.
    pub clearances: Clearances,
    /// When its turn came: its dependencies are done and its time is due.
    pub ready_since: Option<Millis>,
    /// Why it waits.
    pub wait: Option<Wait>,
    /// Since when tasks wait and none of it was given to a worker.
    pub idle_since: Option<Millis>,
}

/// A job.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its queue.
    pub queue: Arc<Queue>,
    /// What was asked for.
    pub work: Arc<JobDefinition>,
    /// The workspace of its caller; `None`: anybody's.
    pub workspace: Option<Name>,
    /// Its workspace sent more than its share when it came.
    pub is_over_share: bool,
    /// When this owner learned of it.
    pub known_since: Millis,
    /// The batch with its record.
    pub batch: u64,
    /// It was accepted by an earlier owner, so a task may run where this owner cannot see it.
    pub is_inherited: bool,
    /// A task has been given to a worker.
    pub was_placed: bool,
    /// A worker surely began a task.
    pub has_run: bool,
    /// The failure domain that its tasks go to as far as there is room.
    pub home_domain: Option<Name>,
    /// How it ended, with the batch that says so and the time.
    pub closed: Option<(JobOutcome, u64, Millis)>,
    /// Progress has been written.
    pub has_progress: bool,
    /// Crashes under its tasks have been written.
    pub has_crashes: bool,
    /// The steps: all of the first repetition, then all of the second.
    pub steps: Vec<StepState>,
}

impl Job {
    /// A job of which nothing has run.
    pub fn new(queue: Arc<Queue>, work: Arc<JobDefinition>, now: Millis, batch: u64) -> Self {
        let fresh = |step: &Step| StepState {
            tasks: vec![Task::default(); step.count as usize],
            unfinished: step.count,
            waiting: (0..step.count).collect(),
            ..StepState::default()
        };
        let steps = (0..work.repetitions).flat_map(|_| work.steps.iter().map(fresh)).collect();
        Self {
            queue,
            work,
            workspace: None,
            is_over_share: false,
            known_since: now,
            batch,
            is_inherited: false,
            was_placed: false,
            has_run: false,
            home_domain: None,
            closed: None,
            has_progress: false,
            has_crashes: false,
            steps,
        }
    }

    /// A job that ended under an earlier owner: only its fate is known.
    pub fn ended(queue: Arc<Queue>, fate: JobOutcome, now: Millis) -> Self {
        let work = JobDefinition {
            payload: "".into(),
            steps: Vec::new(),
            repetitions: 0,
            first_due: Millis(0),
            interval: Millis(0),
        };
        let job = Self::new(queue, Arc::new(work), now, 0);
        Self {
            closed: Some((fate, 0, now)),
            was_placed: true,
            has_run: true,
            is_inherited: true,
            ..job
        }
    }

    fn step_index(&self, time: u32, step: u16) -> usize {
        time as usize * self.work.steps.len() + usize::from(step)
    }

    /// What was asked for in a step.
    pub fn spec(&self, step: u16) -> Option<&Step> {
        self.work.steps.get(usize::from(step))
    }

    /// The state of a step.
    pub fn step(&self, key: StepKey) -> Option<&StepState> {
        self.steps.get(self.step_index(key.repetition, key.step))
    }

    /// The state of a step, to change it.
    pub fn step_mut(&mut self, key: StepKey) -> Option<&mut StepState> {
        let at = self.step_index(key.repetition, key.step);
        self.steps.get_mut(at)
    }

    /// How urgent it is: 0 comes first. What is beyond its workspace's share comes after all that is not.
    pub fn priority(&self) -> u32 {
        self.queue.priority.saturating_add(if self.is_over_share { OVER_SHARE_PENALTY } else { 0 })
    }

    /// Whether a step's turn came so long ago.
    pub fn has_waited(&self, now: Millis, key: StepKey, length: Millis) -> bool {
        let turn = self.step(key).and_then(|step| step.ready_since);
        turn.is_some_and(|turn| now.since(turn) >= length)
    }

    /// Whether nobody has ended it.
    pub fn is_open(&self) -> bool {
        self.closed.is_none()
    }

    /// Whether all steps that a step depends on are done.
    pub fn dependencies_done(&self, key: StepKey) -> bool {
        let Some(spec) = self.spec(key.step) else { return false };
        spec.dependencies.iter().all(|after| {
            self.steps
                .get(self.step_index(key.repetition, *after))
                .is_some_and(|step| step.unfinished == 0)
        })
    }

    /// The steps of repetition `time` that depend on `step`.
    pub fn dependents(&self, key: StepKey) -> Vec<StepKey> {
        let steps = self.work.steps.iter().enumerate();
        let follows = steps.filter(|(_, spec)| spec.dependencies.contains(&key.step));
        follows.map(|(no, _)| StepKey { step: no as u16, ..key }).collect()
    }

    /// Tasks that last and are bound to no worker may have waited for long under an earlier owner.
    pub fn mark_idle_at_takeover(&mut self) {
        let steps = self.steps.iter_mut().zip(self.work.steps.iter().cycle());
        for (step, _) in steps.filter(|(_, spec)| spec.long_running) {
            step.mark_idle(Millis(0));
        }
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.unfinished == 0)
    }

    /// Every step of every repetition.
    pub fn step_keys(&self, job: JobKey) -> Vec<StepKey> {
        let steps = self.work.steps.len() as u16;
        let times = 0..self.work.repetitions;
        times
            .flat_map(|repetition| (0..steps).map(move |step| StepKey { job, repetition, step }))
            .collect()
    }

    /// The runs that its tasks were given to workers as.
    pub fn placed_runs(&self, job: JobKey) -> Vec<(Name, TaskKey, u64)> {
        let steps = self.step_keys(job).into_iter().filter_map(|key| Some((key, self.step(key)?)));
        let tasks = steps.flat_map(|(step, state)| {
            let tasks = state.tasks.iter().enumerate();
            tasks.map(move |(index, task)| (TaskKey { step, index: index as u32 }, &task.status))
        });
        let placed = tasks.filter_map(|(task, status)| match status {
            TaskStatus::Placed { worker, run } => Some((worker.clone(), task, *run)),
            TaskStatus::Waiting | TaskStatus::Done => None,
        });
        placed.collect()
    }

    /// The record of the job.
    pub fn record(&self) -> JobRecord {
        match self.closed {
            Some((fate, ..)) => JobRecord::Closed { queue: self.queue.name.clone(), outcome: fate },
            None => JobRecord::Open { queue: (*self.queue).clone(), work: self.work.clone() },
        }
    }

    /// What has to be known of the job's tasks by another owner.
    pub fn progress(&self) -> Progress {
        let width = self.work.steps.len().max(1);
        let notes = self.steps.iter().enumerate().filter_map(|(no, step)| {
            let note = step.note(((no / width) as u32, (no % width) as u16));
            (!note.done.is_empty() || !note.tasks.is_empty()).then_some(note)
        });
        Progress { steps: notes.collect() }
    }

    /// The crashes under the job's tasks.
    pub fn crash_notes(&self) -> Vec<TaskCrashes> {
        let width = self.work.steps.len().max(1);
        let steps = self.steps.iter().enumerate();
        let notes = steps.flat_map(|(no, step)| {
            let place = ((no / width) as u32, (no % width) as u16);
            let tasks = step.tasks.iter().enumerate();
            let crashed = tasks.filter(|(_, task)| !task.crashes.is_empty());
            crashed.map(move |(index, task)| TaskCrashes {
                step_index: place,
                index: index as u32,
                crashes: task.crashes.clone(),
            })
        });
        notes.collect()
    }

    /// Takes in the crashes that an earlier owner counted.
    pub fn restore_crashes(&mut self, notes: &[TaskCrashes]) {
        for note in notes {
            let at = self.step_index(note.step_index.0, note.step_index.1);
            let step = self.steps.get_mut(at);
            let task = step.and_then(|step| step.tasks.get_mut(note.index as usize));
            if let Some(task) = task {
                task.crashes.clone_from(&note.crashes);
            }
        }
        self.has_crashes = true;
    }

    /// Takes in what an earlier owner knew.
    pub fn restore_progress(&mut self, progress: &Progress) {
        for note in &progress.steps {
            let at = self.step_index(note.step_index.0, note.step_index.1);
            if let Some(step) = self.steps.get_mut(at) {
                step.restore(note);
            }
        }
        // Progress is noted of jobs that were given to a worker, and stays when nothing is left to note.
        self.was_placed = true;
        let has_run = |note: &TaskProgress| !note.failed.is_empty() || !note.checkpoint.is_empty();
        let known = |note: &StepProgress| !note.done.is_empty() || note.tasks.iter().any(has_run);
        self.has_run = self.has_run || progress.steps.iter().any(known);
        self.has_progress = true;
    }
}

impl StepState {
    /// Takes note that its waiting tasks have no run; those that were known to wait have waited longer.
    pub fn mark_idle(&mut self, since: Millis) {
        for index in &self.waiting {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.idle_since.get_or_insert(since);
            }
        }
    }

    /// Since when the task waits that has waited longest, of a step that lasts.
    pub fn longest_idle(&self) -> Option<Millis> {
        let waiting = self.waiting.iter().filter_map(|index| self.tasks.get(*index as usize));
        waiting.filter_map(|task| task.idle_since).min()
    }

    fn note(&self, place: (u32, u16)) -> StepProgress {
        const BITS: usize = 8;
        let mut note = StepProgress { step_index: place, ..StepProgress::default() };
        if self.unfinished < self.tasks.len() as u32 {
            note.done = vec![0; self.tasks.len().div_ceil(BITS)];
        }
        for (index, task) in self.tasks.iter().enumerate() {
            let bound = match &task.status {
                TaskStatus::Done => {
                    if let Some(byte) = note.done.get_mut(index / BITS) {
                        *byte |= 1 << (index % BITS);
                    }
                    continue;
                }
                TaskStatus::Placed { worker, run } => Some((*run, worker.clone())),
                TaskStatus::Waiting => None,
            };
            if bound.is_some() || !task.failed_runs.is_empty() || !task.checkpoint.is_empty() {
                let (failed, saved) = (task.failed_runs.clone(), task.checkpoint.clone());
                note.tasks.push(TaskProgress {
                    index: index as u32,
                    failed,
                    checkpoint: saved,
                    assignment: bound,
                });
            }
        }
        note
    }

    fn restore(&mut self, note: &StepProgress) {
        const BITS: usize = 8;
        for index in 0..self.tasks.len() {
            let byte = note.done.get(index / BITS).copied().unwrap_or(0);
            if byte & (1 << (index % BITS)) != 0 {
                self.finish(index as u32);
            }
        }
        for known in &note.tasks {
            if let Some(task) = self.tasks.get_mut(known.index as usize) {
                task.failed_runs = known.failed.clone();
                task.checkpoint = known.checkpoint.clone();
            }
        }
    }

    /// A task is done; `false` if that was known.
    pub fn finish(&mut self, index: u32) -> bool {
        let Some(task) = self.tasks.get_mut(index as usize) else { return false };
        if task.status == TaskStatus::Done {
            return false;
        }
        task.status = TaskStatus::Done;
        self.waiting.remove(&index);
        self.unfinished -= 1;
        true
    }

    /// A task needs a worker again.
    pub fn requeue(&mut self, index: u32) {
        if let Some(task) = self.tasks.get_mut(index as usize) {
            task.status = TaskStatus::Waiting;
            self.waiting.insert(index);
        }
    }

    /// A task is given to a worker.
    pub fn place(&mut self, index: u32, worker: Name, run: u64) {
        if let Some(task) = self.tasks.get_mut(index as usize) {
            task.status = TaskStatus::Placed { worker, run };
            task.idle_since = None;
            self.waiting.remove(&index);
        }
    }
}
