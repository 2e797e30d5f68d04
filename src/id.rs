//! Names and identifiers shared by all modules, and stable hashing of names.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// A shared immutable name: of a VM, a failure domain, a shard, a team or a kind of work.
pub type Name = Arc<str>;

/// Identifies one run of an entry's process: a restarted entry keeps its name and has a higher incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryId {
    /// The entry's name from its settings.
    pub name: Name,
    /// The start time of the process in milliseconds since the Unix epoch.
    #[serde(rename = "inc")]
    pub incarnation: u64,
}

impl fmt::Display for EntryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.incarnation)
    }
}

/// Identifies a job by the shard that owns it and a number that is unique in the cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct JobId {
    /// The owning shard.
    pub shard: Name,
    /// Number of the job, unique in the cell; a hash, so the numbers have no order.
    pub number: u64,
}

/// A text is not a valid job id.
#[derive(Debug, Error, PartialEq)]
#[error("{0:?} is not a job id: want SHARD.HEX")]
pub struct ParseJobIdError(pub String);

impl JobId {
    /// Creates an id, which is unique as long as the same incarnation of `me` uses each `counter` once.
    pub fn new(shard: Name, me: &EntryId, counter: u64) -> Self {
        Self {
            shard,
            number: hash(&[
                me.name.as_bytes(),
                &me.incarnation.to_le_bytes(),
                &counter.to_le_bytes(),
            ]),
        }
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:016x}", self.shard, self.number)
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for JobId {
    type Error = ParseJobIdError;

    fn try_from(s: String) -> Result<Self, ParseJobIdError> {
        s.parse()
    }
}

impl FromStr for JobId {
    type Err = ParseJobIdError;

    fn from_str(s: &str) -> Result<Self, ParseJobIdError> {
        let error = || ParseJobIdError(s.to_string());
        let (shard, hex) = s.rsplit_once('.').ok_or_else(error)?;
        match u64::from_str_radix(hex, 16) {
            Ok(number) if !shard.is_empty() && hex.len() == 16 => {
                Ok(Self { shard: shard.into(), number })
            }
            _ => Err(error()),
        }
    }
}

/// Identifies one attempt at one task of a job. Workers ignore a repeated start with the same id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Index of the task in the job, from 0.
    pub index: u32,
    /// How often the task was bound to a worker before this attempt.
    pub attempt: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}#{}", self.job, self.index, self.attempt)
    }
}

/// Hashes a sequence of byte strings. The result is the same in every process and version.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut buf = Vec::with_capacity(64);
    for part in parts {
        buf.extend_from_slice(&(part.len() as u32).to_le_bytes());
        buf.extend_from_slice(part);
    }
    xxh3_64(&buf)
}

/// Chooses one of `names` for `key` by rendezvous hashing, so that few keys move to another name
/// when the set of names changes.
pub fn rendezvous<'a>(key: &str, names: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    names.max_by_key(|name| hash(&[key.as_bytes(), name.as_bytes()]))
}
