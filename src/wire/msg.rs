//! Messages between entries: one byte with the protocol version, then the message in postcard.
//!
//! Two entries negotiate the highest version that both support during the TLS handshake. A new
//! version may only append variants to [`PeerRequest`] and [`PeerResponse`], so that messages of
//! earlier versions keep their encoding. Version 2 added delta heartbeats, lending of quota and
//! leadership transfer of shards.

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

/// The oldest protocol version that is still supported.
pub const OLDEST_VERSION: u8 = 1;
/// The newest protocol version.
pub const NEWEST_VERSION: u8 = 2;
/// The first version with [`PeerRequest::DeltaHeartbeat`], [`PeerRequest::LendQuota`] and
/// [`PeerRequest::HandOver`].
pub const VERSION_2: u8 = 2;

/// A message with the logical time at which it was sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The sender's logical clock.
    pub stamp: Stamp,
    /// The message.
    pub body: T,
}

/// A request to another entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// The sender's state, with all shards of its failure domain.
    Heartbeat(Heartbeat),
    /// Replicates a state change of a shard.
    Update { shard: Name, update: Update },
    /// Makes the replica reject earlier epochs of a shard and return its state.
    Seal { shard: Name, epoch: u64 },
    /// Asks the receiver to claim a shard that the sender owns in this epoch and gives up.
    Release { shard: Name, epoch: u64 },
    /// A request to the owner of a shard.
    Owner { shard: Name, request: OwnerRequest },
    /// Asks a shard's owner to lend or renew slots of its runners.
    LendSlots { shard: Name, entry: Name, uses: Vec<SlotUsage>, waiting: u32 },
    /// Asks for the table in force.
    Table,
    /// Asks for the receiver's VM list.
    VmList,
    /// Forwards a request to be served in the receiver's failure domain.
    Forward(Box<ForwardedRequest>),
    /// The sender's state, with only the shards that changed. Since version 2.
    DeltaHeartbeat(DeltaHeartbeat),
    /// Asks the owner of the shard `home` to lend another shard parts of the limits that `home`
    /// manages. Since version 2.
    LendQuota { home: Name, question: HomeRequest },
    /// Transfers a shard that the sender owned in this epoch to the entry `to`, the only one that
    /// may continue from this state. Since version 2.
    HandOver { shard: Name, from: EntryId, to: EntryId, epoch: u64, state: StateSnapshot },
}

/// A request to the owner of a shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OwnerRequest {
    /// Submits a job.
    Submit { job: JobId, spec: JobSpec },
    /// Cancels a job.
    Cancel { job: JobId },
    /// Reserves an idempotency key for `holder`.
    TakeKey { key: Name, holder: Name },
    /// Releases an idempotency key under which nothing was run.
    FreeKey { key: Name, holder: Name },
    /// Asks for the status of a job.
    JobStatus { job: JobId },
    /// Lists the jobs of one team, or of all teams.
    ListJobs { team: Option<Name> },
    /// Asks for the status of the shard.
    ShardStatus,
}

/// A response from another entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The responder's state, with all shards of its failure domain.
    Heartbeat(Heartbeat),
    /// The sequence number of the last state change that this incarnation of an entry holds.
    Updated { by: EntryId, result: Result<u64, ReplicaError> },
    /// The state that this incarnation of an entry holds.
    Sealed { by: EntryId, state: StateSnapshot },
    /// The request was carried out.
    Done,
    /// The responder does not own the shard, or cannot prove that it does.
    NotOwner,
    /// The responder owns the shard, but the outcome is not known yet.
    Pending,
    /// The owner's answer to a request that changes the shard's state.
    OwnerAnswer(Answer),
    /// The status of a job; `None` if the owner does not know it.
    JobStatus(Option<JobStatus>),
    /// The status of each job that was asked for.
    Jobs(Vec<JobStatus>),
    /// The status of a shard.
    ShardStatus(ShardStatus),
    /// The number of slots lent, by runner.
    LentSlots(Vec<(Name, u32)>),
    /// The table in force, if there is one.
    Table(Option<Revision>),
    /// The responder's VM list.
    VmList(VmList),
    /// The response to a forwarded request.
    Forwarded(ForwardedResponse),
    /// The responder's state, with only the shards that changed. Since version 2.
    DeltaHeartbeat(DeltaHeartbeat),
    /// The amount lent of each limit. Since version 2.
    LentQuota(Vec<(Limit, u64)>),
}

/// An entry's state, sent periodically to its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sending entry and its incarnation.
    pub from: EntryId,
    /// Its failure domain.
    pub domain: Name,
    /// The address at which it serves other entries.
    pub addr: SocketAddr,
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// The revision of the table that it has in force.
    pub table_rev: u64,
    /// The revision of its VM list.
    pub list_rev: u64,
    /// The shards of its failure domain, as it knows them.
    pub shards: Vec<ShardHeartbeat>,
}

/// A heartbeat with only the shards that changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeltaHeartbeat {
    /// The heartbeat, with an empty list of shards.
    pub heartbeat: Heartbeat,
    /// The shards that changed since the state that the receiver acknowledged.
    pub delta: Delta,
}

/// The state of one shard in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardHeartbeat {
    /// The shard.
    pub shard: Name,
    /// The newest epoch that the sender knows.
    pub epoch: u64,
    /// Whether the sender owns it in that epoch.
    pub is_owner: bool,
    /// Whether a task start that the sender sent may still reach a worker.
    pub start_pending: bool,
    /// The capacity that the shard can offer; sent by its owner only.
    pub room: Option<ShardCapacity>,
}

/// The status of a shard, as shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: Name,
    /// Its epoch.
    pub epoch: u64,
    /// The entry that owns it.
    pub owner: EntryId,
    /// The entries that replicate its state.
    pub replicas: Vec<EntryId>,
    /// Workers with their total and their used capacity.
    pub workers: Vec<(Name, Size, Size)>,
    /// Workers that get no tasks because tasks keep failing on them.
    pub set_aside: Vec<Name>,
    /// The task counts of each kind of work.
    pub loads: Vec<(Name, Load)>,
}

/// A caller's request, forwarded to another failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The request's id, unique in the cell.
    pub id: Name,
    /// The kind of work.
    pub kind: Name,
    /// The team of its caller.
    pub team: Name,
    /// Its idempotency key.
    pub key: Option<Name>,
    /// Whether the caller allows the request to be run more than once.
    pub may_repeat: bool,
    /// The time left until its deadline.
    pub remaining: Millis,
    /// The headers to pass on to the runner.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The request body.
    pub body: Vec<u8>,
}

/// The response to a forwarded request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ForwardedResponse {
    /// The runner's complete response.
    Complete {
        /// The HTTP status code.
        status: u16,
        /// The `Content-Type` header, if there is one.
        content_type: Option<String>,
        /// The response body.
        body: Vec<u8>,
    },
    /// The request was refused or failed.
    Refused(RequestError),
}

/// Why a request was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{reason:?}, run: {run:?}")]
pub struct RequestError {
    /// The reason, as reported to the caller.
    pub reason: Reason,
    /// Whether the request may have been run.
    pub run: Executed,
    /// The delay after which a retry may succeed, if a retry can help.
    pub after: Option<Millis>,
}

/// Whether a request that failed was run by a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// It was certainly not run.
    No,
    /// It may have been run.
    Unknown,
}

/// The reason for a refusal: one of a fixed list that is part of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No token, or an unknown one.
    Unauthorized,
    /// The token does not allow this.
    Forbidden,
    /// A header or the body is malformed.
    Malformed,
    /// No table is in force yet.
    NoTable,
    /// The table has no such kind of work.
    UnknownKind,
    /// The kind of work belongs to another team.
    WrongTeam,
    /// The body is too large.
    TooLarge,
    /// The queue of this kind of work is full.
    QueueFull,
    /// The deadline has passed, or would pass before a slot is free.
    TooLate,
    /// There was no response before the deadline.
    Timeout,
    /// No upstream could be connected to.
    NoUpstream,
    /// The upstream's response was incomplete or invalid.
    BrokenAnswer,
    /// No reachable failure domain has a weight above zero for this kind of work.
    NoSite,
    /// The idempotency key was used before.
    KeyKnown,
    /// The shard has no owner, or its owner cannot be reached.
    NoOwner,
    /// The owner of the shard refused the job.
    Job(Refusal),
    /// The requested resource does not exist.
    NotFound,
    /// The log cannot be reached.
    NoLog,
    /// Another table was published in the meantime.
    Conflict,
}

/// An error in encoding or decoding a message.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The message has another protocol version (first) than the negotiated one (second).
    #[error("message has protocol version {0}, but version {1} was negotiated")]
    Version(u8, u8),
    /// The bytes cannot be decoded as a message.
    #[error("malformed message: {0}")]
    Malformed(#[from] postcard::Error),
    /// The message has no bytes.
    #[error("empty message")]
    Empty,
}

/// Encodes a message and puts the protocol version in front.
///
/// # Errors
/// If the message cannot be encoded.
pub fn encode<T: Serialize>(version: u8, message: &Envelope<T>) -> Result<Vec<u8>, CodecError> {
    Ok(postcard::to_extend(message, vec![version])?)
}

/// Decodes a message of the negotiated protocol version.
///
/// # Errors
/// If the message is empty, malformed, or of another version.
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
