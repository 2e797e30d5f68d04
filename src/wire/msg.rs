//! The messages between entries, encoded by postcard behind one byte with their version.
//!
//! Two entries use the highest version that both speak; the handshake agrees on it. A version only
//! ever adds variants at the end of [`PeerRequest`] and [`PeerResponse`]: what earlier versions have keeps its bytes.
//! Version 2 added heartbeats with only what changed, parts of limits, and hand-overs.

use crate::clock::Millis;
use crate::controller::gossip::Delta;
use crate::controller::list::VmList;
use crate::controller::quota::{HomeRequest, Limit};
use crate::controller::replica::{ReplicaError, StateSnapshot, Update};
use crate::controller::shard::owner::{Answer, Load, Refusal};
use crate::controller::shard_ranking::ShardCapacity;
use crate::controller::slots::SlotUsage;
use crate::controller::table::Revision;
use crate::id::{EntryId, JobId, Name};
use crate::job::{JobSpec, JobStatus};
use crate::size::Size;
use crate::trace::Stamp;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// The oldest version of the messages that is still spoken.
pub const OLDEST_VERSION: u8 = 1;
/// The newest version of the messages.
pub const NEWEST_VERSION: u8 = 2;
/// The first version with [`PeerRequest::DeltaHeartbeat`], [`PeerRequest::LendQuota`] and [`PeerRequest::HandOver`].
pub const VERSION_2: u8 = 2;

/// A message with its sender's clock.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The sender's clock.
    pub stamp: Stamp,
    /// The message.
    pub body: T,
}

/// A question to another entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// I live.
    Heartbeat(Heartbeat),
    /// Hold this for a shard.
    Update { shard: Name, update: Update },
    /// Refuse earlier epochs of a shard and say what you hold.
    Seal { shard: Name, epoch: u64 },
    /// I give up a shard that I own in this epoch: claim it.
    Release { shard: Name, epoch: u64 },
    /// Something for the owner of a shard.
    Owner { shard: Name, request: OwnerRequest },
    /// Lend me slots of a shard's runners.
    LendSlots { shard: Name, entry: Name, uses: Vec<SlotUsage>, waiting: u32 },
    /// What table is in force?
    Table,
    /// What VM list do you have?
    VmList,
    /// Serve this request in your failure domain.
    Forward(Box<ForwardedRequest>),
    /// I live; of the shards only what changed. Since version 2.
    DeltaHeartbeat(DeltaHeartbeat),
    /// Lend a shard parts of the limits that this shard is home to. Since version 2.
    LendQuota { home: Name, question: HomeRequest },
    /// I gave up a shard that I owned in this epoch: you, and nobody else, go on from this state.
    /// Since version 2.
    HandOver { shard: Name, from: EntryId, to: EntryId, epoch: u64, state: StateSnapshot },
}

/// A question to the owner of a shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OwnerRequest {
    /// Accept a job.
    Submit { job: JobId, spec: JobSpec },
    /// Withdraw a job.
    Cancel { job: JobId },
    /// Take an idempotency key.
    TakeKey { key: Name, holder: Name },
    /// Give a key back: surely nothing was run under it.
    FreeKey { key: Name, holder: Name },
    /// The state of a job.
    JobStatus { job: JobId },
    /// The jobs of one team, or of all.
    ListJobs { team: Option<Name> },
    /// The state of the shard.
    ShardStatus,
}

/// An answer from another entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// I live too.
    Heartbeat(Heartbeat),
    /// The last note that this run of an entry holds.
    Updated { by: EntryId, result: Result<u64, ReplicaError> },
    /// What this run of an entry holds.
    Sealed { by: EntryId, state: StateSnapshot },
    /// Done.
    Done,
    /// I do not own that shard.
    NotOwner,
    /// I own that shard, but the answer is not certain yet.
    Pending,
    /// The owner's answer.
    OwnerAnswer(Answer),
    /// A job's state.
    JobStatus(Option<JobStatus>),
    /// Jobs.
    Jobs(Vec<JobStatus>),
    /// A shard's state.
    ShardStatus(ShardStatus),
    /// Slots of each runner.
    LentSlots(Vec<(Name, u32)>),
    /// The table in force.
    Table(Option<Revision>),
    /// The VM list.
    VmList(VmList),
    /// The request's answer.
    Forwarded(ForwardedResponse),
    /// I live too; of the shards only what changed. Since version 2.
    DeltaHeartbeat(DeltaHeartbeat),
    /// Parts of limits. Since version 2.
    LentQuota(Vec<(Limit, u64)>),
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: EntryId,
    /// Its failure domain.
    pub domain: Name,
    /// Its address for other entries.
    pub addr: SocketAddr,
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// The revision of its table.
    pub table_rev: u64,
    /// The version of its VM list.
    pub list_rev: u64,
    /// The shards of its failure domain.
    pub shards: Vec<ShardHeartbeat>,
}

/// A heartbeat with only the shards that changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeltaHeartbeat {
    /// The heartbeat, without shards.
    pub heartbeat: Heartbeat,
    /// The shards that changed.
    pub delta: Delta,
}

/// One shard in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardHeartbeat {
    /// The shard.
    pub shard: Name,
    /// The newest epoch that the sender knows.
    pub epoch: u64,
    /// Whether the sender owns it in that epoch.
    pub is_owner: bool,
    /// Whether a start that the sender sent may still arrive.
    pub start_pending: bool,
    /// What the owner could take, from the owner only.
    pub room: Option<ShardCapacity>,
}

/// A shard's state for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: Name,
    /// Its epoch.
    pub epoch: u64,
    /// Its owner.
    pub owner: EntryId,
    /// Its replicas.
    pub replicas: Vec<EntryId>,
    /// Workers: what they have and what is set aside.
    pub workers: Vec<(Name, Size, Size)>,
    /// Workers set aside because they fail their tasks.
    pub set_aside: Vec<Name>,
    /// Tasks by kind.
    pub loads: Vec<(Name, Load)>,
}

/// A request on its way to another failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Its id.
    pub id: Name,
    /// The kind of work.
    pub kind: Name,
    /// The team of its caller.
    pub team: Name,
    /// Its idempotency key.
    pub key: Option<Name>,
    /// Whether its caller allows that it is run again.
    pub may_repeat: bool,
    /// How long its answer may take from now on.
    pub remaining: Millis,
    /// Headers that go to the runner.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}

/// The answer to a forwarded request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ForwardedResponse {
    /// The runner's whole answer.
    Complete {
        /// Its status.
        status: u16,
        /// Its content type.
        content_type: Option<String>,
        /// Its body.
        body: Vec<u8>,
    },
    /// It was given up.
    Refused(RequestError),
}

/// Why a request got no answer from a runner.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{reason:?}, run: {run:?}")]
pub struct RequestError {
    /// Why.
    pub reason: Reason,
    /// Whether any of it may have run.
    pub run: Executed,
    /// When to come again, if that helps.
    pub after: Option<Millis>,
}

/// Whether a request that failed was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// Surely not.
    No,
    /// Perhaps.
    Unknown,
}

/// Why something was refused: the fixed list of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No token, or an unknown one.
    Unauthorized,
    /// The token does not allow this.
    Forbidden,
    /// A header or body cannot be read.
    Malformed,
    /// No table is in force yet.
    NoTable,
    /// The table has no such kind of work.
    UnknownKind,
    /// The row belongs to another team.
    WrongTeam,
    /// The body is too large.
    TooLarge,
    /// Too many wait already.
    QueueFull,
    /// Its turn would come too late.
    TooLate,
    /// It was not answered in time.
    Timeout,
    /// No upstream could be reached.
    NoUpstream,
    /// The upstream's answer broke off.
    BrokenAnswer,
    /// No failure domain with weight for this kind can be reached.
    NoSite,
    /// The idempotency key was used before.
    KeyKnown,
    /// The owner of the shard cannot be reached.
    NoOwner,
    /// A job was refused.
    Job(Refusal),
    /// There is no such thing.
    NotFound,
    /// The log cannot be reached.
    NoLog,
    /// Another table was published first.
    Conflict,
}

/// A message that could not be read or written.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The message is of another version than the handshake agreed on.
    #[error("version {0}, agreed on {1}")]
    Version(u8, u8),
    /// The bytes are not a message.
    #[error("malformed message: {0}")]
    Malformed(#[from] postcard::Error),
    /// Nothing came.
    #[error("empty message")]
    Empty,
}

/// Encodes a message of a version.
///
/// # Errors
/// If a value cannot be encoded.
pub fn encode<T: Serialize>(version: u8, message: &Envelope<T>) -> Result<Vec<u8>, CodecError> {
    Ok(postcard::to_extend(message, vec![version])?)
}

/// Decodes a message of a version.
///
/// # Errors
/// If it is of another version, or malformed.
pub fn decode<T: for<'de> Deserialize<'de>>(
    version: u8,
    bytes: &[u8],
) -> Result<Envelope<T>, CodecError> {
    match bytes.split_first() {
        Some((first, rest)) if *first == version => Ok(postcard::from_bytes(rest)?),
        Some((first, _)) => Err(CodecError::Version(*first, version)),
        None => Err(CodecError::Empty),
    }
}
