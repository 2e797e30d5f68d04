//! The owner's view of a job: its steps, its tasks and their state.

use crate::cell::advice::clearances::Clearances;
use crate::cell::jobs::repetition_set::RepetitionSet;
use crate::cell::jobs::restart_policy::Crash;
use crate::cell::jobs::wait::Wait;
use crate::cell::placing::rank::{Rank, RankClass};
use crate::cell::records::journal::{
    JobOutcome, JobRecord, Progress, StepProgress, TaskCrashes, TaskProgress,
};
use crate::cell::records::pieces::{PieceKey, PieceProgress};
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{JobDefinition, JobKey, Queue, Step, StepKey, TaskKey};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Added to the priority value of jobs beyond their workspace's share. It is larger than the
/// priority value of any queue, so these jobs come after all others.
const OVER_SHARE_PENALTY: u32 = 1 << 16;
/// Jobs with at most this many repetitions list the finished ones in their progress.
const MAX_LISTED_REPETITIONS: u32 = 256;
const BITS_PER_BYTE: usize = 8;
/// Jobs with more tasks than this in a repetition are recorded in pieces.
const MAX_WHOLE_TASKS: u64 = 10_000;
/// The number of tasks of a piece. The record of a piece is some 50 KB long at the most, as long as
/// checkpoints have short names.
pub const PIECE_TASKS: u32 = 2_048;

/// The status of a task.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum TaskStatus {
    /// The task needs a worker, now or once its step is ready.
    #[default]
    Waiting,
    /// The task was assigned to a worker.
    Placed {
        /// The worker.
        worker: Name,
        /// The run number of the assignment.
        run: u64,
    },
    /// The task has succeeded.
    Done,
}

/// The state of one task.
#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// The status of the task.
    pub status: TaskStatus,
    /// The runs of the task that failed. After a takeover a worker may report the same failure
    /// again, which must not count twice.
    pub failed_runs: Vec<u64>,
    /// The name of the task's last checkpoint; empty if there is none.
    pub checkpoint: Name,
    /// Workers on which the task failed; placement avoids them.
    pub failed_workers: Vec<Name>,
    /// Crashes of workers while the task ran on them.
    pub crashes: Vec<Crash>,
    /// When the task began to wait for a worker. Only set for tasks that run until their job is
    /// cancelled.
    pub idle_since: Option<Millis>,
}

impl Default for Task {
    fn default() -> Self {
        let (status, checkpoint) = (TaskStatus::Waiting, "".into());
        let (failed_workers, crashes) = (Vec::new(), Vec::new());
        Self {
            status,
            failed_runs: Vec::new(),
            checkpoint,
            failed_workers,
            crashes,
            idle_since: None,
        }
    }
}

impl Task {
    /// The worker and the number of the run that the task is assigned as, if that run is older than
    /// `run`.
    pub fn older_run(&self, run: u64) -> Option<(Name, u64)> {
        match &self.status {
            TaskStatus::Placed { worker, run: older } if *older < run => {
                Some((worker.clone(), *older))
            }
            _ => None,
        }
    }
}

/// The state of one step of one repetition.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StepState {
    /// The tasks of the step.
    pub tasks: Vec<Task>,
    /// Number of tasks that have not succeeded yet.
    pub unfinished: u32,
    /// Indices of the tasks that need a worker.
    pub waiting: BTreeSet<u32>,
    /// The answers of the advice service about workers for the step.
    pub clearances: Clearances,
    /// When the step became ready: its dependencies are done and its scheduled time has come.
    pub ready_since: Option<Millis>,
    /// The reason and the length of the step's current wait.
    pub wait: Option<Wait>,
    /// Since when tasks of the step wait and none has been assigned to a worker.
    pub idle_since: Option<Millis>,
    /// The step belongs to a job that is recorded in pieces.
    pub has_pieces: bool,
    /// The pieces with changes that have to be recorded.
    pub changed: BTreeSet<u32>,
}

/// Which records of a piece are in the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoredPiece {
    /// The record of the progress.
    pub progress: bool,
    /// The record of crashes.
    pub crashes: bool,
}

/// The state of one job.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// The queue of the job.
    pub queue: Arc<Queue>,
    /// The definition that the caller submitted.
    pub work: Arc<JobDefinition>,
    /// The workspace of its caller; `None` if any caller may ask for it.
    pub workspace: Option<Name>,
    /// The job's workspace had used up its share of submissions when the job was submitted.
    pub is_over_share: bool,
    /// When this owner first learned of the job.
    pub known_since: Millis,
    /// Whether the job can be on time, as of the last update of its rank.
    pub rank_class: RankClass,
    /// The batch with the record of the job.
    pub batch: u64,
    /// The job was accepted by an earlier owner, so its tasks may run on workers that have not
    /// reported to this owner yet.
    pub is_inherited: bool,
    /// A task of the job has been assigned to a worker.
    pub was_placed: bool,
    /// A worker has confirmed that it started a task of the job.
    pub has_run: bool,
    /// The failure domain in which the job's tasks are placed as far as there are free resources.
    pub home_domain: Option<Name>,
    /// The outcome of the job, the batch that records it, and the time at which the job ended.
    pub closed: Option<(JobOutcome, u64, Millis)>,
    /// The store has a record of the job's progress.
    pub has_progress: bool,
    /// The store has a record of crashes of workers that ran its tasks.
    pub has_crashes: bool,
    /// The store has a record of the finished repetitions.
    pub has_finished: bool,
    /// The steps of the repetitions that are open.
    pub open: BTreeMap<u32, Vec<StepState>>,
    /// The repetitions of which all tasks have succeeded.
    pub finished: RepetitionSet,
    /// Whether `finished` has changed since it was last recorded.
    pub finished_changed: bool,
    /// The store has the record that shows that tasks of a job with pieces were assigned.
    pub is_marked: bool,
    /// The pieces that have records in the store.
    pub stored_pieces: BTreeMap<PieceKey, StoredPiece>,
    /// The memory that the job is charged for, in bytes; 0 if none is set aside for it.
    pub charged_bytes: u64,
    /// No earlier repetition is left to be opened.
    pub next_repetition: u32,
}

impl Job {
    /// Creates a job of which no task has run.
    pub fn new(queue: Arc<Queue>, work: Arc<JobDefinition>, now: Millis, batch: u64) -> Self {
        Self {
            queue,
            work,
            workspace: None,
            is_over_share: false,
            known_since: now,
            rank_class: RankClass::default(),
            batch,
            is_inherited: false,
            was_placed: false,
            has_run: false,
            home_domain: None,
            closed: None,
            has_progress: false,
            has_crashes: false,
            has_finished: false,
            open: BTreeMap::new(),
            finished: RepetitionSet::default(),
            finished_changed: false,
            is_marked: false,
            stored_pieces: BTreeMap::new(),
            charged_bytes: 0,
            next_repetition: 0,
        }
    }

    /// Creates a job that ended under an earlier owner. Only how it ended is known.
    pub fn ended(queue: Arc<Queue>, outcome: JobOutcome, now: Millis) -> Self {
        let work = JobDefinition {
            payload: "".into(),
            steps: Vec::new(),
            repetitions: 0,
            first_due: Millis(0),
            interval: Millis(0),
        };
        let job = Self::new(queue, Arc::new(work), now, 0);
        Self {
            closed: Some((outcome, 0, now)),
            was_placed: true,
            has_run: true,
            is_inherited: true,
            ..job
        }
    }

    /// Creates the state of a repetition. Returns `false` if it is open or finished already.
    pub fn open_repetition(&mut self, repetition: u32) -> bool {
        if self.open.contains_key(&repetition) || self.finished.contains(repetition) {
            return false;
        }
        let has_pieces = self.has_pieces();
        let new_step = |step| StepState { has_pieces, ..StepState::new(step) };
        let steps = self.work.steps.iter().map(new_step).collect();
        self.open.insert(repetition, steps);
        true
    }

    /// Whether the job is recorded in pieces.
    pub fn has_pieces(&self) -> bool {
        self.work.repetition_tasks() > MAX_WHOLE_TASKS
    }

    /// Drops the state of a repetition if all its tasks have succeeded. Returns whether that is so.
    pub fn finish_repetition(&mut self, repetition: u32) -> bool {
        let steps = self.open.get(&repetition);
        let is_finished = steps.is_some_and(|steps| steps.iter().all(|step| step.unfinished == 0));
        if is_finished {
            self.open.remove(&repetition);
            self.finished.insert(repetition);
            self.finished_changed = true;
        }
        is_finished
    }

    /// The first repetition that is neither open nor finished.
    pub fn next_unopened(&mut self) -> Option<u32> {
        while self.open.contains_key(&self.next_repetition)
            || self.finished.contains(self.next_repetition)
        {
            self.next_repetition += 1;
        }
        (self.next_repetition < self.work.repetitions).then_some(self.next_repetition)
    }

    /// The steps of open repetitions with the indexes of repetition and step.
    fn open_steps(&self) -> impl Iterator<Item = ((u32, u16), &StepState)> {
        self.open.iter().flat_map(|(repetition, steps)| {
            steps.iter().enumerate().map(|(index, step)| ((*repetition, index as u16), step))
        })
    }

    /// The specification of a step.
    pub fn spec(&self, step: u16) -> Option<&Step> {
        self.work.steps.get(usize::from(step))
    }

    /// Returns the state of a step.
    pub fn step(&self, key: StepKey) -> Option<&StepState> {
        self.open.get(&key.repetition)?.get(usize::from(key.step))
    }

    /// Returns the mutable state of a step.
    pub fn step_mut(&mut self, key: StepKey) -> Option<&mut StepState> {
        self.open.get_mut(&key.repetition)?.get_mut(usize::from(key.step))
    }

    /// The priority of the job: 0 comes first. Jobs beyond their workspace's share come after all
    /// others.
    pub fn priority(&self) -> u32 {
        self.queue.priority.saturating_add(if self.is_over_share { OVER_SHARE_PENALTY } else { 0 })
    }

    /// Whether a step has been ready for at least `length`.
    pub fn has_waited(&self, now: Millis, key: StepKey, length: Millis) -> bool {
        let ready_since = self.step(key).and_then(|step| step.ready_since);
        ready_since.is_some_and(|ready| now.since(ready) >= length)
    }

    /// The position of the job among the waiting ones.
    pub fn rank(&self) -> Rank {
        let work = match self.rank_class {
            RankClass::Late => self.work.core_millis(),
            RankClass::OnTime | RankClass::Aged => 0,
        };
        Rank { priority: self.priority(), class: self.rank_class, work, due: self.due() }
    }

    /// When the job should end to be on time.
    pub fn due(&self) -> Millis {
        self.known_since + self.queue.objective(&self.work)
    }

    /// Whether the job has not ended.
    pub fn is_open(&self) -> bool {
        self.closed.is_none()
    }

    /// Whether all steps that a step depends on are done.
    pub fn dependencies_done(&self, key: StepKey) -> bool {
        let Some(spec) = self.spec(key.step) else { return false };
        spec.dependencies.iter().all(|dependency| {
            self.step(StepKey { step: *dependency, ..key }).is_some_and(|step| step.unfinished == 0)
        })
    }

    /// The steps of the same repetition that depend on a step.
    pub fn dependents(&self, key: StepKey) -> Vec<StepKey> {
        let steps = self.work.steps.iter().enumerate();
        let dependents = steps.filter(|(_, spec)| spec.dependencies.contains(&key.step));
        dependents.map(|(index, _)| StepKey { step: index as u16, ..key }).collect()
    }

    /// Marks long-running tasks without a worker as idle since the start of this owner's clock,
    /// because they may have waited for long under an earlier owner.
    pub fn mark_idle_at_takeover(&mut self) {
        for steps in self.open.values_mut() {
            let steps = steps.iter_mut().zip(&self.work.steps);
            for (step, _) in steps.filter(|(_, spec)| spec.long_running) {
                step.mark_idle(Millis(0));
            }
        }
    }

    /// Whether all tasks have succeeded.
    pub fn is_done(&self) -> bool {
        self.finished.len() >= self.work.repetitions
    }

    /// The keys of every step in every open repetition.
    pub fn step_keys(&self, job: JobKey) -> Vec<StepKey> {
        self.open_steps().map(|((repetition, step), _)| StepKey { job, repetition, step }).collect()
    }

    /// The runs that are assigned to workers, with the workers.
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

    /// The stored record of the job.
    pub fn record(&self) -> JobRecord {
        match self.closed {
            Some((outcome, ..)) => JobRecord::Closed { queue: self.queue.name.clone(), outcome },
            None => JobRecord::Open { queue: (*self.queue).clone(), work: self.work.clone() },
        }
    }

    /// The stored record of the job's progress, from which another owner can continue.
    ///
    /// That of a job with pieces is empty, and only shows that a task was assigned.
    pub fn progress(&self) -> Progress {
        if self.has_pieces() {
            return Progress::default();
        }
        let open = self.open_steps().filter_map(|(step_index, step)| {
            let record = step.progress_record(step_index);
            (!record.done.is_empty() || !record.tasks.is_empty()).then_some(record)
        });
        Progress { steps: self.finished_steps().chain(open).collect() }
    }

    /// The progress of finished repetitions, for versions that do not read the record of these. Jobs
    /// with many repetitions have none.
    fn finished_steps(&self) -> impl Iterator<Item = StepProgress> {
        let is_listed = (2..=MAX_LISTED_REPETITIONS).contains(&self.work.repetitions);
        let finished = self.finished.iter().take_while(move |_| is_listed);
        finished.flat_map(|repetition| {
            self.work.steps.iter().enumerate().map(move |(index, step)| StepProgress {
                step_index: (repetition, index as u16),
                done: vec![u8::MAX; (step.count as usize).div_ceil(BITS_PER_BYTE)],
                tasks: Vec::new(),
            })
        })
    }

    /// The stored records of worker crashes, for each task that has any.
    ///
    /// Those of a job with pieces are in the records of these.
    pub fn crash_records(&self) -> Vec<TaskCrashes> {
        if self.has_pieces() {
            return Vec::new();
        }
        let records = self.open_steps().flat_map(|(step_index, step)| {
            let tasks = step.tasks.iter().enumerate();
            let with_crashes = tasks.filter(|(_, task)| !task.crashes.is_empty());
            with_crashes.map(move |(index, task)| TaskCrashes {
                step_index,
                index: index as u32,
                crashes: task.crashes.clone(),
            })
        });
        records.collect()
    }

    /// The state of a step that an earlier owner recorded. Opens its repetition.
    fn restored_step(&mut self, (repetition, step): (u32, u16)) -> Option<&mut StepState> {
        if repetition < self.work.repetitions {
            self.open_repetition(repetition);
        }
        self.open.get_mut(&repetition)?.get_mut(usize::from(step))
    }

    /// Restores the crashes that an earlier owner counted.
    pub fn restore_crashes(&mut self, records: &[TaskCrashes]) {
        for record in records {
            let step = self.restored_step(record.step_index);
            let task = step.and_then(|step| step.task_mut(record.index));
            if let Some(task) = task {
                task.crashes.clone_from(&record.crashes);
            }
        }
        self.has_crashes = true;
    }

    /// Restores the progress that an earlier owner recorded.
    pub fn restore_progress(&mut self, progress: &Progress) {
        for record in &progress.steps {
            if let Some(step) = self.restored_step(record.step_index) {
                step.restore(record);
            }
            self.finish_repetition(record.step_index.0);
        }
        // Progress is recorded once a task was assigned to a worker, and the record stays even when
        // nothing is left to record.
        self.was_placed = true;
        let has_run =
            |record: &TaskProgress| !record.failed.is_empty() || !record.checkpoint.is_empty();
        let shows_run =
            |record: &StepProgress| !record.done.is_empty() || record.tasks.iter().any(has_run);
        self.has_run = self.has_run || progress.steps.iter().any(shows_run);
        self.has_progress = true;
    }
}

impl StepState {
    /// Creates the state of a step of which no task has run.
    fn new(step: &Step) -> Self {
        Self {
            tasks: vec![Task::default(); step.count as usize],
            unfinished: step.count,
            waiting: (0..step.count).collect(),
            ..Self::default()
        }
    }

    /// The number of failed runs of a gang. Its members share the numbers of their runs, and several of
    /// them may fail in one run.
    pub fn failed_gang_runs(&self) -> usize {
        let runs = self.tasks.iter().flat_map(|task| &task.failed_runs);
        runs.collect::<BTreeSet<&u64>>().len()
    }

    /// Marks the waiting tasks as idle since `since`. Those that are already marked keep their
    /// earlier time.
    pub fn mark_idle(&mut self, since: Millis) {
        for index in &self.waiting {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.idle_since.get_or_insert(since);
            }
        }
    }

    /// Since when the longest waiting task has waited. Only known for tasks that run until their
    /// job is cancelled.
    pub fn longest_idle(&self) -> Option<Millis> {
        let waiting = self.waiting.iter().filter_map(|index| self.tasks.get(*index as usize));
        waiting.filter_map(|task| task.idle_since).min()
    }

    /// The stored record of the step's progress; `step_index` is the repetition and the step.
    fn progress_record(&self, step_index: (u32, u16)) -> StepProgress {
        let mut record = StepProgress { step_index, ..StepProgress::default() };
        if self.unfinished < self.tasks.len() as u32 {
            record.done = done_bitmap(&self.tasks);
        }
        record.tasks = task_records(0, &self.tasks);
        record
    }

    /// The tasks of a piece, with the index of the first one.
    fn piece_tasks(&self, number: u32) -> (u32, &[Task]) {
        let first = number * PIECE_TASKS;
        let end = self.tasks.len().min((first + PIECE_TASKS) as usize);
        (first, self.tasks.get(first as usize..end).unwrap_or_default())
    }

    /// The stored record of the progress of a piece.
    pub fn piece_progress(&self, number: u32) -> PieceProgress {
        let (first, tasks) = self.piece_tasks(number);
        PieceProgress { first, done: done_bitmap(tasks), tasks: task_records(first, tasks) }
    }

    /// The stored record of the crashes of workers that ran tasks of a piece.
    pub fn piece_crashes(&self, key: PieceKey) -> Vec<TaskCrashes> {
        let (first, tasks) = self.piece_tasks(key.number);
        let with_crashes = tasks.iter().enumerate().filter(|(_, task)| !task.crashes.is_empty());
        let record = |(index, task): (usize, &Task)| TaskCrashes {
            step_index: (key.repetition, key.step),
            index: first + index as u32,
            crashes: task.crashes.clone(),
        };
        with_crashes.map(record).collect()
    }

    /// The state of a task that is about to change.
    pub fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        if self.has_pieces {
            self.changed.insert(index / PIECE_TASKS);
        }
        self.tasks.get_mut(index as usize)
    }

    /// Restores the progress that an earlier owner recorded.
    fn restore(&mut self, record: &StepProgress) {
        for index in 0..self.tasks.len() {
            let byte = record.done.get(index / BITS_PER_BYTE).copied().unwrap_or(0);
            if byte & (1 << (index % BITS_PER_BYTE)) != 0 {
                self.finish(index as u32);
            }
        }
        for known in &record.tasks {
            if let Some(task) = self.task_mut(known.index) {
                task.failed_runs = known.failed.clone();
                task.checkpoint = known.checkpoint.clone();
            }
        }
    }

    /// Marks a task as done. Returns `false` if it was done already.
    pub fn finish(&mut self, index: u32) -> bool {
        let Some(task) = self.task_mut(index) else { return false };
        if task.status == TaskStatus::Done {
            return false;
        }
        task.status = TaskStatus::Done;
        self.waiting.remove(&index);
        self.unfinished -= 1;
        true
    }

    /// Marks a task as waiting for a worker again.
    pub fn requeue(&mut self, index: u32) {
        if let Some(task) = self.task_mut(index) {
            task.status = TaskStatus::Waiting;
            self.waiting.insert(index);
        }
    }

    /// Marks a task as assigned to a worker.
    pub fn place(&mut self, index: u32, worker: Name, run: u64) {
        if let Some(task) = self.task_mut(index) {
            task.status = TaskStatus::Placed { worker, run };
            task.idle_since = None;
            self.waiting.remove(&index);
        }
    }
}

/// A bitmap of the tasks that are done, starting from the lowest bit of each byte.
fn done_bitmap(tasks: &[Task]) -> Vec<u8> {
    let mut done = vec![0; tasks.len().div_ceil(BITS_PER_BYTE)];
    for (index, _) in tasks.iter().enumerate().filter(|(_, task)| task.status == TaskStatus::Done) {
        if let Some(byte) = done.get_mut(index / BITS_PER_BYTE) {
            *byte |= 1 << (index % BITS_PER_BYTE);
        }
    }
    done
}

/// The records of those tasks that are not done and have something to record. `first` is the index
/// of the first task.
fn task_records(first: u32, tasks: &[Task]) -> Vec<TaskProgress> {
    let record = |(index, task): (usize, &Task)| {
        let assignment = match &task.status {
            TaskStatus::Done => return None,
            TaskStatus::Placed { worker, run } => Some((*run, worker.clone())),
            TaskStatus::Waiting => None,
        };
        let is_known =
            assignment.is_some() || !task.failed_runs.is_empty() || !task.checkpoint.is_empty();
        is_known.then(|| TaskProgress {
            index: first + index as u32,
            failed: task.failed_runs.clone(),
            checkpoint: task.checkpoint.clone(),
            assignment,
        })
    };
    tasks.iter().enumerate().filter_map(record).collect()
}
