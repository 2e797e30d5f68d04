//! Authorization of callers by their API keys.
//!
//! Keys are added and revoked while callers use them, and an entry may be cut off from policy
//! updates. Such an entry does not know keys that were added since its last update. It therefore
//! asks a caller with an unknown key to retry, which may reach another entry, instead of denying
//! the call for good.

use crate::clock::Millis;
use crate::workspace::{Workspace, Workspaces};
use std::sync::Arc;

/// The oldest policy that may be used to deny a key. A long poll for the next policy record ends
/// after one second, so this allows for one lost poll.
const MAX_POLICY_AGE: Millis = Millis(2_500);

/// The result of an authorization check.
#[derive(Debug, Clone, PartialEq)]
pub enum Access {
    /// The caller is allowed, on behalf of its key's workspace if it sent a known key.
    Granted(Option<Arc<Workspace>>),
    /// The key is missing or not valid.
    Denied,
    /// The key is not in the known policy, which is too old to tell whether the key is valid.
    Unknown,
}

/// Checks whether a caller with this key may call. `allows_anonymous` is set where no key is
/// needed, and `policy_age` is the time since the policy was last read.
pub fn authorize(
    workspaces: &Workspaces,
    allows_anonymous: bool,
    key: Option<&str>,
    policy_age: Millis,
) -> Access {
    let workspace = key.and_then(|key| workspaces.by_api_key(key)).cloned();
    match workspace {
        Some(workspace) => Access::Granted(Some(workspace)),
        None if allows_anonymous => Access::Granted(None),
        None if key.is_some() && !is_policy_fresh(policy_age) => Access::Unknown,
        None => Access::Denied,
    }
}

/// Whether a policy of this age is recent enough to conclude that what it lacks does not exist.
pub fn is_policy_fresh(age: Millis) -> bool {
    age <= MAX_POLICY_AGE
}
