//! The state of a step of one repetition, and of its tasks.

use crate::cell::advice::clearances::Clearances;
use crate::cell::jobs::restart_policy::Crash;
use crate::cell::jobs::wait::Wait;
use crate::cell::records::journal::{StepProgress, TaskCrashes, TaskProgress};
use crate::cell::records::pieces::{PieceKey, PieceProgress};
use crate::clock::Millis;
use crate::id::Name;
use crate::visits;
use crate::workload::Step;
use std::collections::BTreeSet;

/// The number of tasks of a piece. The record of a piece is some 50 KB long at the most, as long as
/// checkpoints have short names.
pub const PIECE_TASKS: u32 = 2_048;
const BITS_PER_BYTE: usize = 8;

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
    /// For a gang, the run whose members were all stopped because one of them had ended, unless a
    /// task was assigned to a worker since.
    pub stopped_run: Option<u64>,
    /// For a gang, the runs of which a member failed. Members share the numbers of their runs.
    failed_gang_runs: BTreeSet<u64>,
    /// How many of the step's dependencies, from the first on, are known to be done.
    pub done_dependencies: usize,
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

impl StepState {
    /// Creates the state of a step of which no task has run.
    pub(super) fn new(step: &Step, has_pieces: bool) -> Self {
        Self {
            tasks: vec![Task::default(); step.count as usize],
            unfinished: step.count,
            waiting: (0..step.count).collect(),
            has_pieces,
            ..Self::default()
        }
    }

    /// Records that a run of a task failed. Returns how often the task has failed, or the gang if it
    /// belongs to one: several members may fail in one run, which counts once.
    pub fn record_failure(&mut self, index: u32, run: u64, is_gang: bool) -> usize {
        let Some(task) = self.task_mut(index) else {
            // Unreachable, as the caller has found the task.
            log::error!("event=task-unknown index={index} run={run}");
            return 0;
        };
        task.failed_runs.push(run);
        let failed = task.failed_runs.len();
        if !is_gang {
            return failed;
        }
        self.failed_gang_runs.insert(run);
        self.failed_gang_runs.len()
    }

    /// Whether all tasks have succeeded.
    pub fn is_done(&self) -> bool {
        self.unfinished == 0
    }

    /// Marks the waiting tasks as idle since `since`. Those that are already marked keep their
    /// earlier time.
    pub fn mark_idle(&mut self, since: Millis) {
        visits::add(self.waiting.len());
        for index in &self.waiting {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.idle_since.get_or_insert(since);
            }
        }
    }

    /// Since when the longest waiting task has waited. Only known for tasks that run until their
    /// job is cancelled.
    pub fn longest_idle(&self) -> Option<Millis> {
        visits::add(self.waiting.len());
        let waiting = self.waiting.iter().filter_map(|index| self.tasks.get(*index as usize));
        waiting.filter_map(|task| task.idle_since).min()
    }

    /// The stored record of the step's progress; `step_index` is the repetition and the step.
    pub(super) fn progress_record(&self, step_index: (u32, u16)) -> StepProgress {
        let mut record = StepProgress { step_index, ..StepProgress::default() };
        if self.unfinished < self.tasks.len() as u32 {
            record.done = done_bitmap(&self.tasks);
        }
        record.tasks = task_records(0, &self.tasks);
        record
    }

    /// The index of the first task of a piece, and its tasks.
    fn piece_tasks(&self, number: u32) -> (u32, &[Task]) {
        let first = number * PIECE_TASKS;
        let end = self.tasks.len().min((first + PIECE_TASKS) as usize);
        match self.tasks.get(first as usize..end) {
            Some(tasks) => (first, tasks),
            None => {
                // Unreachable, as pieces are numbered by the indexes of changed tasks.
                log::error!("event=piece-unknown number={number} tasks={}", self.tasks.len());
                (first, &[])
            }
        }
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
    pub(super) fn restore(&mut self, record: &StepProgress) {
        for index in 0..self.tasks.len() {
            let byte = record.done.get(index / BITS_PER_BYTE).copied().unwrap_or(0);
            if byte & (1 << (index % BITS_PER_BYTE)) != 0 {
                self.finish(index as u32);
            }
        }
        for known in &record.tasks {
            self.failed_gang_runs.extend(&known.failed);
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
            self.stopped_run = None;
        }
    }
}

/// The stored record of the progress of a step of `count` tasks that have all succeeded.
pub(super) fn finished_record(step_index: (u32, u16), count: u32) -> StepProgress {
    let done = vec![u8::MAX; (count as usize).div_ceil(BITS_PER_BYTE)];
    StepProgress { step_index, done, tasks: Vec::new() }
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
