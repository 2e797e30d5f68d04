//! The owner's view of a job: its steps, its tasks and their state.

use crate::cell::jobs::repetition::Repetition;
use crate::cell::jobs::repetition_set::RepetitionSet;
use crate::cell::jobs::step::{StepState, TaskStatus, finished_record};
use crate::cell::jobs::summary::JobSummary;
use crate::cell::placing::rank::{Rank, RankClass};
use crate::cell::records::journal::{
    JobOutcome, JobRecord, Progress, StepProgress, TaskCrashes, TaskProgress,
};
use crate::cell::records::pieces::PieceKey;
use crate::clock::Millis;
use crate::id::Name;
use crate::visits;
use crate::workload::{JobDefinition, JobKey, Queue, Step, StepKey, TaskKey};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Added to the priority value of jobs beyond their workspace's share. It is larger than the
/// priority value of any queue, so these jobs come after all others.
const OVER_SHARE_PENALTY: u32 = 1 << 16;
/// Jobs with at most this many repetitions list the finished ones in their progress.
const MAX_LISTED_REPETITIONS: u32 = 256;
/// Jobs with more tasks than this in a repetition are recorded in pieces.
const MAX_WHOLE_TASKS: u64 = 10_000;

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
    /// Figures of the definition.
    pub summary: JobSummary,
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
    pub open: BTreeMap<u32, Repetition>,
    /// The repetitions of which all tasks have succeeded.
    pub finished: RepetitionSet,
    /// Whether `finished` has changed since it was last recorded.
    pub finished_changed: bool,
    /// The store has the record that shows that tasks of a job with pieces were assigned.
    pub has_placed_record: bool,
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
            summary: JobSummary::new(&work),
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
            has_placed_record: false,
            stored_pieces: BTreeMap::new(),
            charged_bytes: 0,
            next_repetition: 0,
        }
    }

    /// Creates a job that ended under an earlier owner. Only how it ended is known.
    pub fn ended(queue: Arc<Queue>, outcome: JobOutcome, now: Millis) -> Self {
        let job = Self::new(queue, Arc::new(JobDefinition::empty()), now, 0);
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
        self.open.insert(repetition, Repetition::new(&self.work, self.has_pieces()));
        true
    }

    /// Whether the job is recorded in pieces.
    pub fn has_pieces(&self) -> bool {
        self.summary.tasks > MAX_WHOLE_TASKS
    }

    /// Drops the state of a repetition if all its tasks have succeeded. Returns whether that is so.
    pub fn finish_repetition(&mut self, repetition: u32) -> bool {
        let is_finished = self.open.get_mut(&repetition).is_some_and(Repetition::is_done);
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
        self.open.iter().flat_map(|(number, repetition)| {
            repetition.steps.iter().enumerate().map(|(index, step)| ((*number, index as u16), step))
        })
    }

    /// The specification of a step.
    pub fn spec(&self, step: u16) -> Option<&Step> {
        self.work.steps.get(usize::from(step))
    }

    /// Returns the state of a step.
    pub fn step(&self, key: StepKey) -> Option<&StepState> {
        self.open.get(&key.repetition)?.steps.get(usize::from(key.step))
    }

    /// Returns the mutable state of a step.
    pub fn step_mut(&mut self, key: StepKey) -> Option<&mut StepState> {
        self.open.get_mut(&key.repetition)?.steps.get_mut(usize::from(key.step))
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
            RankClass::Late => self.summary.core_millis,
            RankClass::OnTime | RankClass::Aged => 0,
        };
        Rank { priority: self.priority(), class: self.rank_class, work, due: self.due() }
    }

    /// When the job should end to be on time.
    pub fn due(&self) -> Millis {
        self.known_since + self.queue.objective_of(self.summary.critical_path)
    }

    /// Whether the job has not ended.
    pub fn is_open(&self) -> bool {
        self.closed.is_none()
    }

    /// Whether all steps that a step depends on are done.
    pub fn dependencies_done(&mut self, key: StepKey) -> bool {
        let step = usize::from(key.step);
        let Some(spec) = self.work.steps.get(step) else { return false };
        let repetition = self.open.get_mut(&key.repetition);
        repetition.is_some_and(|open| open.dependencies_done(step, &spec.dependencies))
    }

    /// The steps of the same repetition that depend on a step.
    pub fn dependents(&self, key: StepKey) -> Vec<StepKey> {
        let dependents = self.summary.dependents(key.step);
        visits::add(dependents.len());
        dependents.iter().map(|step| StepKey { step: *step, ..key }).collect()
    }

    /// Drops the definition of a job that has ended.
    pub fn drop_definition(&mut self) {
        self.work = Arc::new(JobDefinition::empty());
        self.summary = JobSummary::new(&self.work);
    }

    /// Marks long-running tasks without a worker as idle since the start of this owner's clock,
    /// because they may have waited for long under an earlier owner.
    pub fn mark_idle_at_takeover(&mut self) {
        for repetition in self.open.values_mut() {
            let steps = repetition.steps.iter_mut().zip(&self.work.steps);
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
        visits::add(self.open.len() * self.work.steps.len());
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
    /// A job with pieces has an empty record, which only shows that a task was assigned.
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
            let steps = self.work.steps.iter().enumerate();
            steps.map(move |(index, step)| finished_record((repetition, index as u16), step.count))
        })
    }

    /// The stored records of worker crashes, for each task that has any.
    ///
    /// A job with pieces has its crashes in the records of the pieces.
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
        self.open.get_mut(&repetition)?.steps.get_mut(usize::from(step))
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
