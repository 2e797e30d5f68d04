//! Waiting tasks of one shard, grouped by shape so that one look decides for a whole group.
//!
//! Tasks of one shape need the same room under the same policy. A shape whose oldest task found no
//! room is blocked until room is freed or the policy changes, so a queue full of tasks that cannot
//! run costs nothing.

use crate::clock::Millis;
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

/// The waiting tasks of one shape, oldest job first.
#[derive(Debug, Default)]
struct Bucket {
    jobs: BTreeMap<(Millis, JobId), BTreeSet<u32>>,
    blocked: Option<u64>,
}

/// The waiting tasks of a shard.
#[derive(Debug, Default)]
pub struct Queue {
    buckets: BTreeMap<Shape, Bucket>,
    freed: u64,
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
        let bucket = self.buckets.entry(shape).or_default();
        bucket.jobs.entry((at, job)).or_default().insert(index);
    }

    /// Adds the first `tasks` tasks of a job at once.
    pub fn add_all(&mut self, shape: Shape, at: Millis, job: JobId, tasks: u32) {
        let bucket = self.buckets.entry(shape).or_default();
        bucket.jobs.insert((at, job), (0..tasks).collect());
    }

    /// The heads of all shapes that are not blocked.
    pub fn heads(&self) -> Vec<Head> {
        let open = self.buckets.iter().filter(|(_, bucket)| bucket.blocked != Some(self.freed));
        let heads = open.filter_map(|(shape, bucket)| bucket.head(shape));
        heads.collect()
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
            self.buckets.remove(&head.shape);
        }
        index
    }

    /// Drops all waiting tasks of a job.
    pub fn drop_job(&mut self, head: &Head) {
        let Some(bucket) = self.buckets.get_mut(&head.shape) else { return };
        bucket.jobs.remove(&(head.at, head.job.clone()));
        if bucket.jobs.is_empty() {
            self.buckets.remove(&head.shape);
        }
    }

    /// Marks a shape as blocked until [`Queue::unblock`].
    pub fn block(&mut self, shape: &Shape) {
        if let Some(bucket) = self.buckets.get_mut(shape) {
            bucket.blocked = Some(self.freed);
        }
    }

    /// Room was freed, or the policy changed: every shape is worth a look again.
    pub fn unblock(&mut self) {
        self.freed += 1;
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
