//! Messages between an entry and the owner of a cell. They are sent as length-delimited frames,
//! encoded by `postcard`.

use crate::cell::JobState;
use crate::cell::owner::balance::ServiceLoad;
use crate::cell::owner::log_reports::LogReport;
use crate::cell::workers::shared_list::{ListUpdate, ListVersion};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{AdviceAge, ClearedWorkers};
use crate::workload::{JobDefinition, JobKey, StepKey};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The largest frame in bytes, several times the size of the largest job.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// A message from an entry to the owner of a cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// The first message on a connection. `epoch`: the one in which the sender takes the receiver
    /// for the owner of the cell. `cpu`: the processors that the sender may use, in thousandths of
    /// one. `is_home`: the cell is the sender's home. `history`: what the sender knows about the
    /// time before this epoch.
    Hello { entry: Name, cell: u32, epoch: u64, cpu: u32, is_home: bool, history: LogReport },
    /// Tells whether the sender can read the platform's log. Answered by [`OwnerMessage::Pong`].
    Ping { log_readable: bool },
    /// A caller submits a job for its workspace. `is_forwarded`: the home cell of the job has
    /// forwarded it here, so it must not be forwarded again.
    Submit {
        job: JobKey,
        queue: Name,
        work: Arc<JobDefinition>,
        workspace: Option<Name>,
        is_forwarded: bool,
    },
    /// A caller of a workspace asks for a job's state.
    State { job: JobKey, workspace: Option<Name> },
    /// A caller of a workspace cancels a job.
    Cancel { job: JobKey, workspace: Option<Name> },
    /// A caller asks how many jobs of a queue wait.
    Pending { queue: Name },
    /// The cell to which the receiver forwarded a job has forgotten that job.
    Forget { job: JobKey },
    /// The owner of a cell asks the one that reads the list of workers for the next change of the
    /// list of its cell. `known`: the state of the list that it knows; `None` asks for the whole list.
    FollowWorkers { cell: u32, known: Option<ListVersion> },
    /// Answers [`OwnerMessage::ProbeLog`]: whether the sender could read the platform's log.
    LogProbed { readable: bool },
    /// Answers [`OwnerMessage::AskAdvice`] about the candidate workers. `None`: the advice service
    /// gave no answer. The request may have been made on an earlier connection, or by an earlier
    /// owner.
    Advice { step: StepKey, candidates: Vec<Name>, answer: Option<ClearedWorkers>, age: AdviceAge },
}

impl EntryMessage {
    /// Whether this is a request of a caller, who waits for the answer.
    pub fn is_from_caller(&self) -> bool {
        match self {
            Self::Submit { .. } | Self::State { .. } => true,
            Self::Cancel { .. } | Self::Pending { .. } => true,
            Self::Hello { .. } | Self::Ping { .. } | Self::LogProbed { .. } => false,
            Self::Forget { .. } | Self::Advice { .. } | Self::FollowWorkers { .. } => false,
        }
    }
}

/// A message from the owner of a cell to an entry: an answer, or one that the owner sends on its
/// own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OwnerMessage {
    /// The message was received; it needs no other answer. Sent with id 0, it accepts the sender of
    /// [`EntryMessage::Hello`].
    Ack,
    /// Answers a ping: whether the owner accepts new jobs, the load of its cell by service, and how
    /// many other entries the owner knows.
    Pong { accepts_jobs: bool, loads: Vec<ServiceLoad>, entry_count: u32 },
    /// The job was forwarded to another cell, which has to be asked instead.
    Moved { cell: u32 },
    /// The job is in the store.
    Accepted,
    /// The request had no effect and will have none. It may be repeated later.
    Refused(RefusalReason),
    /// The request may or may not take effect.
    InDoubt,
    /// The state of a job. `None`: there is no such job.
    State(Option<JobState>),
    /// Whether the job existed. If so it has ended, and its end is in the store.
    Cancelled(bool),
    /// The number of waiting jobs.
    Pending(u32),
    /// The changes by the next reading of the list of workers.
    Workers(ListUpdate),
    /// Asks the entry to read the platform's log and to tell whether that works. Not an answer.
    ProbeLog,
    /// The sender has given up the cell but cannot write that to the log. Not an answer.
    SteppedDown { epoch: u64 },
    /// Asks the entry to query the advice service about a step. Not an answer.
    AskAdvice { step: StepKey, workers: Vec<Name>, cost: Millis },
}

/// Why an owner refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The entry is not the owner of the cell, or not yet.
    NotOwner,
    /// The owner does not know the queue yet.
    UnknownQueue,
    /// The store does not accept records.
    StoreUnavailable,
    /// The owner's processor does not keep up with the load.
    Overload,
    /// No cell is known to have a worker of the service.
    NoWorker,
    /// The job belongs to another workspace.
    OtherWorkspace,
    /// The owner has no memory for the job while other jobs are open.
    Memory,
}

/// A message with the id that pairs a request with its answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame<T> {
    /// The id of the request that is sent or answered; 0 if no answer is expected or the message is
    /// not an answer.
    pub id: u64,
    /// The message.
    pub body: T,
}
