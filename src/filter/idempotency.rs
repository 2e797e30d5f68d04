//! The filter that runs at most one request under an idempotency key: the key is stored at every
//! replica of its shard before anything is sent to a runner.

use crate::controller::shard::owner::Answer;
use crate::entry::Entry;
use crate::filter::{ClassifiedRequest, not_run};
use crate::id::Name;
use crate::wire::msg::{Executed, OwnerRequest, PeerResponse, Reason, RequestError};
use std::sync::Arc;

/// An idempotency key that is reserved for a request.
#[derive(Debug)]
pub struct HeldKey {
    shard: Name,
    key: Name,
    holder: Name,
}

/// Reserves the idempotency key of a request that must not be run more than once.
///
/// # Errors
/// If the key was used before, or the owner of its shard cannot be asked.
pub async fn apply(
    entry: &Arc<Entry>,
    classified: &ClassifiedRequest,
) -> Result<Option<HeldKey>, RequestError> {
    let request = &classified.request;
    let Some(given) = request.key.as_ref().filter(|_| !classified.repeatable()) else {
        return Ok(None);
    };
    let key: Name = format!("{}/{}/{given}", classified.row.team, classified.row.kind).into();
    let holder = request.id.clone();
    let shard = entry.key_shard(&key).ok_or_else(|| not_run(Reason::NoOwner, None))?;
    let held_key = HeldKey { shard: shard.clone(), key: key.clone(), holder: holder.clone() };
    let take = OwnerRequest::TakeKey { key, holder: holder.clone() };
    let remaining = classified.deadline.since(entry.now());
    match entry.ask_owner(&shard, take, remaining).await {
        Ok(PeerResponse::OwnerAnswer(Answer::KeyTaken)) => Ok(Some(held_key)),
        Ok(PeerResponse::OwnerAnswer(Answer::KeyKnown(known))) if known == holder => {
            Ok(Some(held_key))
        }
        Ok(PeerResponse::OwnerAnswer(Answer::KeyKnown(_))) => {
            Err(RequestError { reason: Reason::KeyKnown, run: Executed::Unknown, after: None })
        }
        other => {
            held_key.release(entry);
            let after = other.err().and_then(|refused| refused.after);
            Err(not_run(Reason::NoOwner, after))
        }
    }
}

impl HeldKey {
    /// Releases the key of a request that was certainly not run.
    pub fn release(self, entry: &Arc<Entry>) {
        let entry = entry.clone();
        tokio::spawn(async move {
            let free = OwnerRequest::FreeKey { key: self.key, holder: self.holder };
            let _ = entry.ask_owner(&self.shard, free, crate::clock::Millis(5_000)).await;
        });
    }
}
