//! The waiting tasks of one shard, grouped by shape so that one attempt decides for a whole group.
//!
//! Tasks of one shape need the same resources and fall under the same limits. If the oldest task of
//! a shape cannot be placed, the shape is blocked until enough resources are freed or the workers
//! or the table change, so a long queue of tasks that cannot run costs little.

use crate::clock::Millis;
use crate::controller::quota::Limit;
use crate::id::{JobId, Name};
use crate::size::Size;
use std::collections::{BTreeMap, BTreeSet};

/// The properties of a task that decide where and when it can run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shape {
    /// The kind of work.
    pub kind: Name,
    /// The team that submitted the job.
    pub team: Name,
    /// The resources that each task needs.
    pub size: Size,
    /// The number of tasks that must start at the same time if the job is a gang; otherwise 0.
    pub gang: u32,
}

impl Shape {
    /// How much of a limit must be free before a task or gang of this shape can start; `None` if
    /// the limit does not apply to it.
    fn need(&self, limit: &Limit) -> Option<u64> {
        let count = self.gang.max(1) as u64;
        match limit {
            Limit::Row(kind) => (self.kind == *kind).then_some(count),
            Limit::Team(team) => (self.team == *team).then_some(count * self.size.cpu as u64),
        }
    }
}

/// The reason why the tasks of a shape cannot start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockReason {
    /// No schedulable worker has enough free resources.
    Resources,
    /// A limit on running tasks or a team's quota is reached.
    Limit,
}

/// The waiting tasks of one shape, oldest job first.
#[derive(Debug, Default)]
struct Bucket {
    jobs: BTreeMap<(Millis, JobId), BTreeSet<u32>>,
    blocked: Option<BlockReason>,
}

/// The waiting tasks of a shard, and the shapes that are not blocked.
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

    /// The bucket of a shape. A new bucket is not blocked; an existing one stays as it is.
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

    /// The oldest waiting job of each shape that is not blocked.
    pub fn heads(&self) -> Vec<Head> {
        self.open.iter().filter_map(|shape| self.head(shape)).collect()
    }

    /// The oldest waiting job of one shape.
    pub fn head(&self, shape: &Shape) -> Option<Head> {
        self.buckets.get(shape)?.head(shape)
    }

    /// Removes and returns the next waiting task of a job; `None` if it has no more.
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

    /// Removes all waiting tasks of a job.
    pub fn drop_job(&mut self, head: &Head) {
        let Some(bucket) = self.buckets.get_mut(&head.shape) else { return };
        bucket.jobs.remove(&(head.at, head.job.clone()));
        if bucket.jobs.is_empty() {
            self.drop_bucket(&head.shape);
        }
    }

    /// Blocks a shape until it may be possible to place its tasks again.
    pub fn block(&mut self, shape: &Shape, why: BlockReason) {
        if let Some(bucket) = self.buckets.get_mut(shape) {
            bucket.blocked = Some(why);
            self.open.remove(shape);
        }
    }

    /// Unblocks the shapes that may start after a worker's free resources grew to `free`: those
    /// that fit into it, and those blocked by a limit.
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

    /// Unblocks all shapes after the workers, the table or the limit shares changed.
    pub fn unblock(&mut self) {
        for (shape, bucket) in &mut self.buckets {
            if bucket.blocked.take().is_some() {
                self.open.insert(shape.clone());
            }
        }
    }

    /// The smallest amount of a limit that any waiting task or gang needs; 1 if none waits.
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
