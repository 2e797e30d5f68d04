//! Who may call.
//!
//! The load that this answers: keys that are added and taken away while callers use them, some of them through
//! entries that do not hear of it. An entry that has not heard of the policy for a while does not know a key that
//! was added since: its caller is told to come back, and finds another entry, in place of a refusal for good.

use crate::clock::Millis;
use crate::workspace::{Workspace, Workspaces};
use std::sync::Arc;

/// The policy is as the operators have it if it was read so short ago: the wait for its next record ends after a
/// second, and one may be lost.
const FRESH: Millis = Millis(2_500);

/// What a caller gets.
#[derive(Debug, Clone, PartialEq)]
pub enum Access {
    /// It may call, and belongs to this workspace if to any.
    Granted(Option<Arc<Workspace>>),
    /// Its key is not in force.
    Denied,
    /// Nobody can tell here: what is known is too old.
    Unsure,
}

/// Whether a caller may call with its key. `is_open`: no key is needed; `age`: since the policy was last read.
pub fn access(all: &Workspaces, is_open: bool, key: Option<&str>, age: Millis) -> Access {
    let workspace = key.and_then(|key| all.by_api_key(key)).cloned();
    match workspace {
        Some(workspace) => Access::Granted(Some(workspace)),
        None if is_open => Access::Granted(None),
        None if key.is_some() && !is_fresh(age) => Access::Unsure,
        None => Access::Denied,
    }
}

/// Whether what is not in a policy that was read so long ago is surely not there.
pub fn is_fresh(age: Millis) -> bool {
    age <= FRESH
}
