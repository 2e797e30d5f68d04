//! Reader and writer of the platform's log.

use crate::clock::Millis;
use crate::controller::log_state::LogChange;
use crate::controller::slots::OWNERSHIP_PROOF_TTL;
use crate::entry::{Entry, lock};
use crate::platform::api::{AppendReply, LogRecord, ReadReply, ReadRequest};
use crate::platform::http::HttpError;
use crate::record::{BATCH_FORMAT, Batch, Claim, Record};
use crate::trace::EventKind;
use bytes::Bytes;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// How long the log holds a read until there are records to return.
const READ_WAIT: Millis = Millis(1_000);
/// The limit of records in one read.
const MAX_READ_RECORDS: u32 = 500;
/// Timeout of a request to the log, without the wait of a read.
const LOG_TIMEOUT: Millis = Millis(5_000);
/// The log counts as reachable if this entry read it to its end within this time.
const LOG_FRESHNESS: Millis = OWNERSHIP_PROOF_TTL;
/// Delay after a failed read.
const RETRY_DELAY: Millis = Millis(200);
/// The size limit of a batch as JSON. A single append that is larger makes a batch of its own.
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// The limit of queued appends. The oldest ones beyond it are dropped.
const MAX_QUEUED_APPENDS: usize = 100_000;
/// Claims that were not appended within this time are dropped: the state that they were based on is
/// outdated.
pub(crate) const CLAIM_EXPIRY: Millis = Millis(2_000);
/// Group commit: the minimum time between two appends.
const MIN_APPEND_INTERVAL: Millis = Millis(20);
/// Group commit: the time for which records that nobody waits for are held back to be batched with
/// later ones.
const GROUP_COMMIT_DELAY: Millis = Millis(250);

/// Records that are queued to be appended to the log together.
#[derive(Debug)]
pub(crate) struct QueuedAppend {
    records: Vec<Record>,
    expires: Option<Millis>,
    done: Option<oneshot::Sender<()>>,
    /// Whether the records are appended without waiting for more.
    is_urgent: bool,
}

/// Handle through which the rest of the entry appends records and sees the reader's progress.
#[derive(Debug)]
pub(crate) struct Writer {
    items: mpsc::UnboundedSender<QueuedAppend>,
    seen_seq: watch::Sender<u64>,
    /// The start time of the last read that reached the end of the log.
    tail_read: watch::Sender<Millis>,
}

impl Writer {
    pub fn new() -> (Self, mpsc::UnboundedReceiver<QueuedAppend>) {
        let (items, queue) = mpsc::unbounded_channel();
        let (seen_seq, tail_read) = (watch::Sender::new(0), watch::Sender::new(Millis(0)));
        (Self { items, seen_seq, tail_read }, queue)
    }

    /// Queues records that may wait to be batched with later ones.
    pub fn append(&self, records: Vec<Record>) {
        self.push(records, None, None, false);
    }

    /// Queues a record to be appended without waiting for more.
    pub fn append_now(&self, record: Record) {
        self.push(vec![record], None, None, true);
    }

    /// Queues a claim, to be appended within [`CLAIM_EXPIRY`] or dropped.
    pub fn append_claim(&self, claim: Claim, now: Millis) {
        self.push(vec![Record::Claim(claim)], Some(now + CLAIM_EXPIRY), None, true);
    }

    /// Appends records and waits up to `limit` until they were read back. Returns `false` if they
    /// were not; they may still be appended later.
    pub async fn commit(&self, records: Vec<Record>, now: Millis, limit: Millis) -> bool {
        let (done, waiting) = oneshot::channel();
        self.push(records, Some(now + limit), Some(done), true);
        let result = tokio::time::timeout(limit.duration(), waiting).await;
        matches!(result, Ok(Ok(())))
    }

    fn push(
        &self,
        records: Vec<Record>,
        expires: Option<Millis>,
        done: Option<oneshot::Sender<()>>,
        is_urgent: bool,
    ) {
        if !records.is_empty() {
            let _ = self.items.send(QueuedAppend { records, expires, done, is_urgent });
        }
    }
}

/// Moves received appends into `queue` and takes one batch from it, with the senders to notify when
/// the batch is committed.
fn take_batch(
    inbox: &mut mpsc::UnboundedReceiver<QueuedAppend>,
    queue: &mut VecDeque<QueuedAppend>,
    now: Millis,
) -> (Vec<Record>, Vec<oneshot::Sender<()>>) {
    while let Ok(item) = inbox.try_recv() {
        queue.push_back(item);
    }
    queue.retain(|item| item.expires.is_none_or(|expires| expires > now));
    while queue.len() > MAX_QUEUED_APPENDS {
        queue.pop_front();
    }
    let (mut records, mut waiting, mut size) = (Vec::new(), Vec::new(), 0);
    while let Some(item) = queue.pop_front() {
        size += item.records.iter().map(encoded_len).sum::<usize>();
        if size > MAX_BATCH_BYTES && !records.is_empty() {
            queue.push_front(item);
            break;
        }
        records.extend(item.records);
        waiting.extend(item.done);
    }
    (records, waiting)
}

/// Waits until an urgent append is queued or [`GROUP_COMMIT_DELAY`] has passed.
async fn wait_for_more(
    inbox: &mut mpsc::UnboundedReceiver<QueuedAppend>,
    queue: &mut VecDeque<QueuedAppend>,
) {
    let over = tokio::time::sleep(GROUP_COMMIT_DELAY.duration());
    tokio::pin!(over);
    while queue.iter().all(|item| !item.is_urgent) {
        tokio::select! {
            item = inbox.recv() => match item {
                Some(item) => queue.push_back(item),
                None => return,
            },
            () = &mut over => return,
        }
    }
}

fn encoded_len(record: &Record) -> usize {
    serde_json::to_vec(record).map_or(0, |text| text.len())
}

impl Entry {
    /// Appends batches one after the other. If an append fails, the log is read to see whether it
    /// holds the batch before the batch is sent again.
    pub(super) async fn write_log(
        self: Arc<Self>,
        mut inbox: mpsc::UnboundedReceiver<QueuedAppend>,
    ) {
        let mut queue = VecDeque::new();
        let mut seq = 0;
        while let Some(item) = inbox.recv().await {
            queue.push_back(item);
            wait_for_more(&mut inbox, &mut queue).await;
            while !queue.is_empty() {
                let (records, waiting) = take_batch(&mut inbox, &mut queue, self.now());
                if records.is_empty() {
                    break;
                }
                seq += 1;
                self.write_batch(seq, records).await;
                tokio::spawn(notify_committed(self.writer.seen_seq.subscribe(), seq, waiting));
                tokio::time::sleep(MIN_APPEND_INTERVAL.duration()).await;
            }
        }
    }

    async fn write_batch(&self, seq: u64, records: Vec<Record>) {
        let (writer, stamp) = (self.me.clone(), self.trace.stamp());
        let batch = Batch { version: BATCH_FORMAT, writer, seq, stamp, records };
        let Ok(text) = serde_json::to_string(&batch) else { return };
        let data = Bytes::from(text);
        while *self.writer.seen_seq.borrow() < seq {
            self.metrics.appends.inc();
            match self.append(data.clone()).await {
                Ok(_) => return,
                Err(err) => ::log::warn!("event=append-failed seq={seq} error={err:?}"),
            }
            self.wait_for_reader(self.now(), seq).await;
        }
    }

    async fn append(&self, data: Bytes) -> Result<AppendReply, HttpError> {
        let addr = &self.settings.platform.log;
        self.http.post_bytes(&self.me.name, addr, "/log/append", data, LOG_TIMEOUT).await
    }

    /// Waits until a read that began after `failed` has reached the end of the log, or the reader has
    /// seen the batch.
    async fn wait_for_reader(&self, failed: Millis, seq: u64) {
        let mut tail = self.writer.tail_read.subscribe();
        let mut seen = self.writer.seen_seq.subscribe();
        tokio::select! {
            _ = tail.wait_for(|tail| *tail > failed) => {}
            _ = seen.wait_for(|seen| *seen >= seq) => {}
        }
    }

    /// Reads the log continuously and applies its records.
    pub(super) async fn read_log(self: Arc<Self>) {
        let mut up = true;
        loop {
            let from = lock(&self.fold).next();
            let begun = self.now();
            let ask = ReadRequest { from, max: MAX_READ_RECORDS, wait: READ_WAIT };
            let reply = self.read(&ask).await;
            if reply.is_ok() != up {
                up = !up;
                self.trace.record(EventKind::PlatformStatus { part: "log".into(), up });
            }
            match reply {
                Ok(reply) => self.apply_read(from, begun, reply),
                Err(_) => tokio::time::sleep(RETRY_DELAY.duration()).await,
            }
        }
    }

    async fn read(&self, ask: &ReadRequest) -> Result<ReadReply, HttpError> {
        let addr = &self.settings.platform.log;
        let limit = LOG_TIMEOUT + READ_WAIT;
        self.http.post_json(&self.me.name, addr, "/log/read", ask, limit).await
    }

    fn apply_read(self: &Arc<Self>, from: u64, begun: Millis, reply: ReadReply) {
        if reply.first > from {
            lock(&self.fold).gap(reply.first);
        }
        let full = reply.records.len() >= MAX_READ_RECORDS as usize;
        for record in reply.records {
            self.apply_record(record);
        }
        if !full {
            self.writer.tail_read.send_replace(begun);
        }
        self.next_offset.send_replace(lock(&self.fold).next());
    }

    fn apply_record(self: &Arc<Self>, record: LogRecord) {
        let batch: Batch = match serde_json::from_str(&record.data) {
            Ok(batch) => batch,
            Err(err) => {
                ::log::warn!("event=record-skipped offset={} error={err:?}", record.offset);
                lock(&self.fold).apply(record.offset, Vec::new());
                return;
            }
        };
        self.trace.observe(batch.stamp);
        let known = batch.version <= BATCH_FORMAT;
        let records = if known { batch.records } else { Vec::new() };
        let changes = lock(&self.fold).apply(record.offset, records);
        for change in changes {
            self.apply_change(change);
        }
        if batch.writer == self.me {
            self.writer.seen_seq.send_replace(batch.seq);
        }
    }

    fn apply_change(self: &Arc<Self>, change: LogChange) {
        match change {
            LogChange::Table => self.apply_table(),
            LogChange::Claim(claim) if claim.domain == self.settings.domain => {
                self.apply_claim(claim)
            }
            LogChange::Claim(_) | LogChange::Job(_) => {}
            LogChange::StateStored { shard, epoch, seq } => self.apply_logged(&shard, epoch, seq),
        }
    }

    /// Puts the newest table into force at this entry and announces it to the peers.
    pub(super) fn apply_table(self: &Arc<Self>) {
        let (table, rev, by) = {
            let fold = lock(&self.fold);
            let by = fold.tables.current().map(|current| current.publish.by.clone());
            (fold.tables.table().clone(), fold.tables.rev(), by.unwrap_or_else(|| "".into()))
        };
        self.set_table(table.clone());
        self.metrics.revision.set(rev as i64);
        self.trace.record(EventKind::TableActivated { rev, by });
        self.pass_table(&table);
        self.update_runners();
        self.state_changed.notify_one();
    }

    /// Appends a snapshot of the table and the claims, unless the log was not yet read to its end.
    pub(super) fn append_snapshot(&self) {
        let fold = lock(&self.fold);
        if fold.synced() {
            self.writer.append(vec![fold.snapshot()]);
        }
    }

    /// Whether this entry has lately read the log to its end.
    pub(crate) fn is_log_fresh(&self) -> bool {
        self.now().since(*self.writer.tail_read.borrow()) < LOG_FRESHNESS
    }
}

async fn notify_committed(
    mut seen: watch::Receiver<u64>,
    seq: u64,
    waiting: Vec<oneshot::Sender<()>>,
) {
    if waiting.is_empty() || seen.wait_for(|seen| *seen >= seq).await.is_err() {
        return;
    }
    for done in waiting {
        let _ = done.send(());
    }
}
