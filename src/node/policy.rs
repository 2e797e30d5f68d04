//! Follows the operators' policy in the platform's store, and the failure domains that they drain.

use crate::cell::owner::backoff::Backoff;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::{Node, lock};
use crate::platform::config::{KEY, Policy, TOPIC, drained_domain};
use crate::platform::store::{Partition, StoreError, decode_keyed};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The partition with the operators' records.
const POLICY_PART: Partition<'static> = Partition { topic: TOPIC, index: 0 };
/// How long a read waits for the next record of the operators at the most. A call with an unknown
/// key is denied only with a policy that is hardly older than that.
const MAX_READ_WAIT: Millis = Millis(2_000);
/// A dead connection is noticed within the time of a read, and then the policy is read again: both
/// have to fit into the bound on when a change is in force.
const READS_PER_BOUND: u64 = 2;
/// How much longer than the wait the answer to a read may take.
const READ_MARGIN: Millis = Millis(500);
/// Timeout of reading the newest policy.
const READ_TIMEOUT: Millis = Millis(1_500);

impl Node {
    /// Keeps the policy at the newest version that the operators have published.
    pub(super) async fn follow_policy(self: Arc<Self>) {
        let mut next_offset = None;
        let mut backoff = Backoff::default();
        loop {
            let result = match next_offset {
                None => self.read_policy().await,
                Some(from) => self.wait_for_policy(from).await,
            };
            match result {
                Ok(end) => {
                    *lock(&self.policy_read_at) = self.now();
                    next_offset = Some(end);
                    backoff.record_success();
                }
                Err(StoreError::Gone(_)) => next_offset = None,
                Err(err) => {
                    log::debug!("event=policy-read-failed error={err:?}");
                    next_offset = None;
                    let delay = backoff.next_delay(self.entry_count(), self.seed());
                    tokio::time::sleep(delay.duration()).await;
                }
            }
        }
    }

    /// Reads the newest policy. Returns the offset from which to read on.
    async fn read_policy(&self) -> Result<u64, StoreError> {
        let (items, end) = self.store.latest_all(POLICY_PART, READ_TIMEOUT).await?;
        // Set before the policy, because an entry with a policy may own a cell.
        let kept = items.iter().filter(|item| !item.value.is_empty());
        self.set_drained(kept.filter_map(|item| drained_domain(&item.key)).collect());
        if let Some(item) = items.iter().find(|item| *item.key == *KEY) {
            self.set_policy(&item.value);
        }
        Ok(end)
    }

    /// Waits for the next records of the operators. Returns the offset from which to read on.
    async fn wait_for_policy(&self, from: u64) -> Result<u64, StoreError> {
        let wait = Millis(self.settings.policy_bound.0 / READS_PER_BOUND).min(MAX_READ_WAIT);
        let read = self.store.read(POLICY_PART, from, wait, wait + READ_MARGIN).await?;
        let end = read.records.last().map_or(from, |(offset, _)| offset + 1);
        let keyed: Vec<_> =
            read.records.iter().filter_map(|(_, record)| decode_keyed(record)).collect();
        let mut drained = BTreeSet::clone(&self.drained_domains.borrow());
        for (key, value) in &keyed {
            match drained_domain(key) {
                Some(domain) if value.is_empty() => drop(drained.remove(&domain)),
                Some(domain) => drop(drained.insert(domain)),
                None => {}
            }
        }
        self.set_drained(drained);
        if let Some((_, value)) = keyed.iter().rfind(|(key, _)| **key == *KEY) {
            self.set_policy(value);
        }
        // Records that were removed between two reads leave a gap before the first remaining one.
        match read.end > from && read.records.is_empty() {
            true => self.read_policy().await,
            false => Ok(end),
        }
    }

    /// Sets the failure domains that are drained.
    fn set_drained(&self, domains: BTreeSet<Name>) {
        self.drained_domains.send_if_modified(|current| {
            let has_changed = **current != domains;
            if has_changed {
                self.metrics.drained_domains.set(domains.len() as i64);
                *current = Arc::new(domains);
            }
            has_changed
        });
    }

    /// Puts a policy in force if it is newer than the current one.
    fn set_policy(&self, text: &[u8]) {
        match Policy::parse(text) {
            Ok(policy) => {
                self.policy.send_if_modified(|current| {
                    let is_newer = policy.version > current.version;
                    if is_newer {
                        let (version, queues) = (policy.version, policy.queues.len());
                        let workspaces = policy.workspaces.len();
                        log::info!(
                            "event=policy-updated version={version} queues={queues} workspaces={workspaces}"
                        );
                        *current = Arc::new(policy);
                    }
                    is_newer
                });
            }
            Err(err) => log::error!("event=policy-invalid error={err:?}"),
        }
    }
}
