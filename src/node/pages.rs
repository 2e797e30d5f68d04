//! Reads the latest records of a topic page by page.

use crate::cell::owner::backoff::Backoff;
use crate::clock::Millis;
use crate::node::Node;
use crate::platform::store::{LatestRecord, Partition, StoreError};

/// How often a page is read before the whole reading fails. Where the store refuses most calls for
/// their rate, a list of many pages would otherwise never be read to its end.
const PAGE_ATTEMPTS: u32 = 4;

impl Node {
    /// Reads the latest records of all keys, and the end of the partition as of the first page. A
    /// page that fails is read again, not the pages before it.
    pub(in crate::node) async fn read_latest(
        &self,
        partition: Partition<'_>,
        timeout: Millis,
    ) -> Result<(Vec<LatestRecord>, u64), StoreError> {
        let mut all: Vec<LatestRecord> = Vec::new();
        let mut end = None;
        let mut has_more = true;
        while has_more {
            let after = all.last().map(|item| item.key.clone());
            let mut page = self.read_page(partition, after.as_deref(), timeout).await?;
            end.get_or_insert(page.end);
            has_more = page.has_more && !page.items.is_empty();
            all.append(&mut page.items);
        }
        Ok((all, end.unwrap_or_default()))
    }

    /// Reads one page, repeatedly if that fails.
    async fn read_page(
        &self,
        partition: Partition<'_>,
        after: Option<&str>,
        timeout: Millis,
    ) -> Result<crate::platform::store::Page, StoreError> {
        let mut backoff = Backoff::default();
        let mut attempts = 0;
        loop {
            let err = match self.store.latest(partition, after, timeout).await {
                Ok(page) => return Ok(page),
                Err(err) => err,
            };
            attempts += 1;
            if attempts >= PAGE_ATTEMPTS {
                return Err(err);
            }
            log::debug!("event=page-read-failed topic={} error={err:?}", partition.topic);
            tokio::time::sleep(backoff.next_delay(0, self.seed()).duration()).await;
        }
    }
}
