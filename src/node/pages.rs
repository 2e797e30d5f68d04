//! Reads the latest records of a topic page by page.

use crate::cell::owner::backoff::Backoff;
use crate::clock::Millis;
use crate::node::Node;
use crate::platform::store::{LatestRecord, Page, Partition, StoreError};

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
        let Page { items: mut all, mut has_more, end } =
            self.read_page(partition, None, timeout).await?;
        while has_more && let Some(last) = all.last().map(|item| item.key.clone()) {
            let mut page = self.read_page(partition, Some(&last), timeout).await?;
            has_more = page.has_more;
            all.append(&mut page.items);
        }
        Ok((all, end))
    }

    /// Reads one page, repeatedly if that fails.
    async fn read_page(
        &self,
        partition: Partition<'_>,
        after: Option<&str>,
        timeout: Millis,
    ) -> Result<Page, StoreError> {
        let mut backoff = Backoff::default();
        let mut attempts = 1;
        loop {
            match self.store.latest(partition, after, timeout).await {
                Err(err) if attempts < PAGE_ATTEMPTS => {
                    log::debug!("event=page-read-failed topic={} error={err:?}", partition.topic);
                }
                result => return result,
            }
            attempts += 1;
            tokio::time::sleep(backoff.next_delay(0, self.seed()).duration()).await;
        }
    }
}
