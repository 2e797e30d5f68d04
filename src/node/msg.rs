//! Messages between an entry and the owner of the cell: length-delimited frames of `postcard`.

use crate::cell::JobState;
use crate::cell::owner::balance::Load;
use crate::cell::owner::witness::Word;
use crate::clock::Millis;
use crate::id::Name;
use crate::order::ClearedWorkers;
use crate::workload::{JobDefinition, JobKey, StepKey};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The largest frame, in bytes: a job's text and its steps fit many times.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// What an entry asks the owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// The sender, the cell, the epoch in which it takes the receiver for its owner, what the sender
    /// may use of processors, in thousandths of one, whether it belongs to the cell, and what it knows of
    /// the time before.
    Hello { entry: Name, cell: u32, epoch: u64, cpu: u32, is_home: bool, history: Word },
    /// Whether the sender can read the platform's log.
    Ping { log_readable: bool },
    /// A caller submits a job for its workspace; `stay`: its home sent it here, so it goes to no other cell.
    Submit {
        job: JobKey,
        queue: Name,
        work: Arc<JobDefinition>,
        workspace: Option<Name>,
        is_forwarded: bool,
    },
    /// A caller of a workspace asks for a job's state.
    State { job: JobKey, workspace: Option<Name> },
    /// A caller of a workspace withdraws a job.
    Cancel { job: JobKey, workspace: Option<Name> },
    /// A caller asks how many jobs wait.
    Pending { queue: Name },
    /// The cell to which the receiver sent a job has forgotten it.
    Forget { job: JobKey },
    /// Whether the sender could read the platform's log when it was asked to.
    LogProbed { readable: bool },
    /// The advice service answered, or did not.
    Advice { step: StepKey, candidates: Vec<Name>, answer: Option<ClearedWorkers> },
}

impl EntryMessage {
    /// Whether a caller waits for the answer.
    pub fn is_from_caller(&self) -> bool {
        match self {
            Self::Submit { .. } | Self::State { .. } => true,
            Self::Cancel { .. } | Self::Pending { .. } => true,
            Self::Hello { .. } | Self::Ping { .. } | Self::LogProbed { .. } => false,
            Self::Forget { .. } | Self::Advice { .. } => false,
        }
    }
}

/// What the owner answers, or says unasked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OwnerMessage {
    /// Nothing to say.
    Ack,
    /// The answer to a ping: whether the owner takes new jobs, what its cell has to do, and how many other entries
    /// the owner counts.
    Pong { accepts_jobs: bool, loads: Vec<Load>, entry_count: u32 },
    /// The job runs in another cell: ask there.
    Moved { cell: u32 },
    /// The job is in the store.
    Accepted,
    /// Nothing was done and nothing will be: come back later.
    Refused(RefusalReason),
    /// It may be done later.
    InDoubt,
    /// The state of a job; `None`: there is no such job.
    State(Option<JobState>),
    /// Whether there was such a job; if so, it ended, and that is in the store.
    Cancelled(bool),
    /// The number of jobs that wait.
    Pending(u32),
    /// Read the platform's log and say whether that works; sent unasked.
    ProbeLog,
    /// The sender gave the cell up and cannot write that to the log; sent unasked.
    SteppedDown { epoch: u64 },
    /// EntryMessage the advice service this; sent unasked.
    AskAdvice { step: StepKey, workers: Vec<Name>, cost: Millis },
}

/// Why an owner did nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// It is not the owner, or not yet.
    NotOwner,
    /// It does not know the queue yet.
    UnknownQueue,
    /// The store does not take records.
    StoreUnavailable,
    /// More comes than the owner's processor can do.
    Overload,
    /// No cell is known to have a worker of the service.
    NoWorker,
    /// The job is another workspace's.
    OtherWorkspace,
}

/// A message with the number that pairs a question with its answer; 0: unasked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// The number.
    pub id: u64,
    /// The message.
    pub body: T,
}
