//! Request and response types of the administration API. Their doc comments are part of its OpenAPI
//! description.

use crate::controller::shard::owner::Load;
use crate::id::Name;
use crate::job::JobStatus;
use crate::size::Size;
use crate::wire::msg::ShardStatus;
use poem_openapi::Object;
use std::collections::BTreeMap;

/// A job to run.
#[derive(Debug, Object)]
pub(super) struct JobRequest {
    /// The kind of work: a row of the table.
    pub(super) kind: String,
    /// How many tasks.
    #[oai(default = "one")]
    pub(super) tasks: u32,
    /// Whether all tasks must run at once.
    #[oai(default)]
    pub(super) gang: bool,
    /// Processors of a task, in thousandths of a core.
    pub(super) cpu: u32,
    /// Memory of a task, in MB.
    pub(super) mem: u32,
    /// Accelerators of a task.
    #[oai(default)]
    pub(super) acc: u32,
    /// The declared run time in milliseconds; 0 for a service.
    #[oai(default)]
    pub(super) run: u64,
    /// Whether a task may be started again; the row can forbid it.
    #[oai(default = "yes")]
    pub(super) repeat: bool,
}

fn one() -> u32 {
    1
}

fn yes() -> bool {
    true
}

/// An accepted job.
#[derive(Debug, Object)]
pub(super) struct JobAccepted {
    /// Its id.
    pub(super) job: String,
    /// Where it is kept: `log` or `peer`.
    pub(super) kept: String,
}

/// A job's state.
#[derive(Debug, Object)]
pub(super) struct JobView {
    /// Its id.
    pub(super) job: String,
    /// The kind of work.
    pub(super) kind: String,
    /// Its team.
    pub(super) team: String,
    /// `queued`, `running`, `ended` or `cancelled`.
    pub(super) state: String,
    /// Tasks waiting.
    pub(super) queued: u32,
    /// Tasks bound to a worker.
    pub(super) running: u32,
    /// Ended tasks by outcome.
    ended: BTreeMap<String, u32>,
    /// Why tasks wait, if any do.
    pub(super) why: String,
}

impl From<JobStatus> for JobView {
    fn from(status: JobStatus) -> Self {
        let state = match () {
            _ if status.running > 0 => "running",
            _ if status.queued > 0 => "queued",
            _ if status.cancelled => "cancelled",
            _ => "ended",
        };
        let name = |outcome| format!("{outcome:?}").to_lowercase();
        Self {
            job: status.job.to_string(),
            kind: status.spec.kind.to_string(),
            team: status.spec.team.to_string(),
            state: state.to_string(),
            queued: status.queued,
            running: status.running,
            ended: status.ended.into_iter().map(|(outcome, n)| (name(outcome), n)).collect(),
            why: status.wait_reason,
        }
    }
}

/// The table in force.
#[derive(Debug, Object)]
pub(super) struct TableView {
    /// Its revision; 0 if there is none.
    pub(super) rev: u64,
    /// Who published it.
    pub(super) by: String,
    /// The table as CSV.
    pub(super) csv: String,
}

/// An accepted publish.
#[derive(Debug, Object)]
pub(super) struct Published {
    /// The new revision.
    pub(super) rev: u64,
}

/// One entry's view of the cell.
#[derive(Debug, Object)]
pub(super) struct StatusView {
    /// This entry.
    pub(super) entry: String,
    /// Its failure domain.
    pub(super) domain: String,
    /// The revision of its table.
    pub(super) rev: u64,
    /// Whether it can read the log.
    pub(super) log: bool,
    /// Whether it is stopping.
    pub(super) stopping: bool,
    /// Entries heard lately.
    pub(super) peers: Vec<String>,
    /// Runner slots in use here.
    pub(super) slots: u32,
    /// Requests waiting for a slot here.
    pub(super) waiting: u32,
    /// Runners of this failure domain: slots in use here, and slots that may be.
    pub(super) runners: Vec<String>,
    /// Teams: tasks waiting and running in all shards whose owners answered.
    pub(super) teams: Vec<String>,
    /// The shards of the cell.
    pub(super) shards: Vec<ShardView>,
}

/// A shard.
#[derive(Debug, Object)]
pub(super) struct ShardView {
    /// Its name.
    pub(super) shard: String,
    /// Its failure domain.
    pub(super) domain: String,
    /// Its epoch.
    pub(super) epoch: u64,
    /// Its owner.
    pub(super) owner: String,
    /// Whether the owner answered.
    pub(super) reached: bool,
    /// Its replicas.
    pub(super) replicas: Vec<String>,
    /// Workers with what they have and what is set aside.
    pub(super) workers: Vec<String>,
    /// Workers set aside because they fail their tasks.
    pub(super) aside: Vec<String>,
    /// Tasks by kind.
    pub(super) tasks: Vec<String>,
}

impl ShardView {
    /// Fills in the status that the shard's owner reported.
    pub(super) fn fill_from_owner(&mut self, state: ShardStatus) {
        let room =
            |(name, total, used): &(Name, Size, Size)| format!("{name} used {used} of {total}");
        let load = |(kind, load): &(Name, Load)| {
            format!("{kind} waiting {} running {}", load.waiting, load.running)
        };
        self.epoch = state.epoch;
        self.owner = state.owner.to_string();
        self.replicas = state.replicas.iter().map(ToString::to_string).collect();
        self.workers = state.workers.iter().map(room).collect();
        self.aside = state.set_aside.iter().map(ToString::to_string).collect();
        self.tasks = state.loads.iter().map(load).collect();
    }
}
