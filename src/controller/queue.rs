//! Waiting tasks of one shard, grouped by shape so that one look decides for a whole group.
//!
//! Tasks of one shape need the same room under the same policy. A shape whose oldest task found no
//! room is blocked until room that may help is freed or the policy changes, so a queue full of
//! tasks that cannot run costs little.

use crate::clock::Millis;
use crate::controller::quota::Limit;
use crate::id::{JobId, Name};
use crate::size::Size;
use std::collections::{BTreeMap, BTreeSet};

/// What decides where and when a task may run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shape {
    /// The kind of work.
    pub kind: Name,
    /// The team.
    pub team: Name,
    /// What a task needs.
    pub size: Size,
    /// For a gang the number of tasks that must run at once, otherwise 0.
    pub gang: u32,
}

impl Shape {
    /// What tasks of this shape need of a limit at once; `None` if it is not theirs.
    fn need(&self, limit: &Limit) -> Option<u64> {
        let count = self.gang.max(1) as u64;
        match limit {
            Limit::Row(kind) => (self.kind == *kind).then_some(count),
            Limit::Team(team) => (self.team == *team).then_some(count * self.size.cpu as u64),
        }
    }
}

/// Why the tasks of a shape cannot run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockReason {
    /// No open worker has room.
    Resources,
    /// A limit or quota is reached.
    Limit,
}

/// The waiting tasks of one shape, oldest job first.
#[derive(Debug, Default)]
struct Bucket {
    jobs: BTreeMap<(Millis, JobId), BTreeSet<u32>>,
    blocked: Option<BlockReason>,
}

/// The waiting tasks of a shard.
#[derive(Debug, Default)]
pub struct Queue {
    buckets: BTreeMap<Shape, Bucket>,
    open: BTreeSet<Shape>,
}

/// The oldest waiting job of a shape.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// The shape.
    pub shape: Shape,
    /// When the job was accepted.
    pub at: Millis,
    /// The job.
    pub job: JobId,
}

impl Queue {
    /// Adds one waiting task.
    pub fn add(&mut self, shape: Shape, at: Millis, job: JobId, index: u32) {
        let bucket = self.bucket(shape);
        bucket.jobs.entry((at, job)).or_default().insert(index);
    }

    /// Adds the first `tasks` tasks of a job at once.
    pub fn add_all(&mut self, shape: Shape, at: Millis, job: JobId, tasks: u32) {
        let bucket = self.bucket(shape);
        bucket.jobs.insert((at, job), (0..tasks).collect());
    }

    /// The bucket of a shape; a new one is worth a look, one that is blocked stays so.
    fn bucket(&mut self, shape: Shape) -> &mut Bucket {
        if !self.buckets.contains_key(&shape) {
            self.open.insert(shape.clone());
        }
        self.buckets.entry(shape).or_default()
    }

    fn drop_bucket(&mut self, shape: &Shape) {
        self.buckets.remove(shape);
        self.open.remove(shape);
    }

    /// The heads of all shapes that are not blocked.
    pub fn heads(&self) -> Vec<Head> {
        self.open.iter().filter_map(|shape| self.head(shape)).collect()
    }

    /// The head of one shape.
    pub fn head(&self, shape: &Shape) -> Option<Head> {
        self.buckets.get(shape)?.head(shape)
    }

    /// Takes the next waiting task of a job; `None` when it has no more.
    pub fn take(&mut self, head: &Head) -> Option<u32> {
        let bucket = self.buckets.get_mut(&head.shape)?;
        let key = (head.at, head.job.clone());
        let tasks = bucket.jobs.get_mut(&key)?;
        let index = tasks.pop_first();
        if tasks.is_empty() {
            bucket.jobs.remove(&key);
        }
        if bucket.jobs.is_empty() {
            self.drop_bucket(&head.shape);
        }
        index
    }

    /// Drops all waiting tasks of a job.
    pub fn drop_job(&mut self, head: &Head) {
        let Some(bucket) = self.buckets.get_mut(&head.shape) else { return };
        bucket.jobs.remove(&(head.at, head.job.clone()));
        if bucket.jobs.is_empty() {
            self.drop_bucket(&head.shape);
        }
    }

    /// Marks a shape as blocked.
    pub fn block(&mut self, shape: &Shape, why: BlockReason) {
        if let Some(bucket) = self.buckets.get_mut(shape) {
            bucket.blocked = Some(why);
            self.open.remove(shape);
        }
    }

    /// Room of this size was freed on one worker: shapes that it may help are worth a look again.
    pub fn unblock_for(&mut self, free: &Size) {
        for (shape, bucket) in &mut self.buckets {
            let helps = match bucket.blocked {
                None => false,
                Some(BlockReason::Limit) => true,
                Some(BlockReason::Resources) => free.can_fit(&shape.size),
            };
            if helps {
                bucket.blocked = None;
                self.open.insert(shape.clone());
            }
        }
    }

    /// Workers or the policy changed: every shape is worth a look again.
    pub fn unblock(&mut self) {
        for (shape, bucket) in &mut self.buckets {
            if bucket.blocked.take().is_some() {
                self.open.insert(shape.clone());
            }
        }
    }

    /// The least of a limit that a waiting task, or a gang of them, needs; 1 if none waits.
    pub fn least(&self, limit: &Limit) -> u64 {
        let needs = self.buckets.keys().filter_map(|shape| shape.need(limit));
        needs.min().unwrap_or(1)
    }

    /// The number of shapes with waiting tasks.
    pub fn shapes(&self) -> usize {
        self.buckets.len()
    }
}

impl Bucket {
    fn head(&self, shape: &Shape) -> Option<Head> {
        let ((at, job), _) = self.jobs.first_key_value()?;
        Some(Head { shape: shape.clone(), at: *at, job: job.clone() })
    }
}
