//! Names and identifiers shared by every module.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// A shared immutable name: of a VM, a failure domain, a shard, a team or a kind of work.
pub type Name = Arc<str>;

/// One run of one entry: a restarted entry has the same name and a higher incarnation.
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

/// A job: the shard that owns it and a number unique in the cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct JobId {
    /// The owning shard.
    pub shard: Name,
    /// A number unique in the cell.
    pub number: u64,
}

/// An identifier could not be parsed.
#[derive(Debug, Error, PartialEq)]
#[error("{0:?} is not a job id: want SHARD.HEX")]
pub struct ParseJobIdError(pub String);

impl JobId {
    /// A new id, unique as long as `counter` is never reused by the same incarnation of `me`.
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
        let bad = || ParseJobIdError(s.to_string());
        let (shard, hex) = s.rsplit_once('.').ok_or_else(bad)?;
        match u64::from_str_radix(hex, 16) {
            Ok(number) if !shard.is_empty() && hex.len() == 16 => {
                Ok(Self { shard: shard.into(), number })
            }
            _ => Err(bad()),
        }
    }
}

/// One attempt at one task of a job. A start repeated with the same id is idempotent at a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's place in the job, from 0.
    pub index: u32,
    /// How often the task was bound to a worker before.
    pub attempt: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}#{}", self.job, self.index, self.attempt)
    }
}

/// A stable hash over several byte strings, the same in every process and version.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut buf = Vec::with_capacity(64);
    for part in parts {
        buf.extend_from_slice(&(part.len() as u32).to_le_bytes());
        buf.extend_from_slice(part);
    }
    xxh3_64(&buf)
}

/// The member of `names` with the highest rendezvous weight for `key`: few keys move when the set
/// changes.
pub fn rendezvous<'a>(key: &str, names: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    names.max_by_key(|name| hash(&[key.as_bytes(), name.as_bytes()]))
}
