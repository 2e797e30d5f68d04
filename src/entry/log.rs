//! This entry's reader and writer of the platform's log.

use crate::clock::Millis;
use crate::controller::fold::Change;
use crate::controller::slots::OWNER_PROOF;
use crate::entry::{Entry, lock};
use crate::platform::api::{AppendReply, LogRecord, ReadReply, ReadRequest};
use crate::platform::http::HttpError;
use crate::record::{BATCH_FORMAT, Batch, Claim, Record};
use crate::trace::EventKind;
use bytes::Bytes;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// How long a read waits for records.
const READ_WAIT: Millis = Millis(1_000);
/// The most records of one read.
const MAX_READ_RECORDS: u32 = 500;
/// How long an exchange with the log may take.
const LOG_TIMEOUT: Millis = Millis(5_000);
/// The log counts as reachable if its end was read this lately.
const LOG_FRESHNESS: Millis = OWNER_PROOF;
/// Pause after a failed exchange.
const RETRY_DELAY: Millis = Millis(200);
/// The largest batch, in bytes of JSON, unless a single record is larger.
const MAX_BATCH_BYTES: usize = 256 * 1024;
/// Appends that may wait; more are dropped, oldest first, except those that somebody waits for.
const MAX_QUEUED_APPENDS: usize = 100_000;
/// Claims not appended after this long are dropped: what they were based on is old.
pub(crate) const CLAIM_EXPIRY: Millis = Millis(2_000);
/// Group commit: at least this long between two appends.
const MIN_APPEND_INTERVAL: Millis = Millis(20);
/// Group commit: records that nobody waits for are held this long for more of them.
const GROUP_COMMIT_DELAY: Millis = Millis(250);

/// Records for the log.
#[derive(Debug)]
pub(crate) struct QueuedAppend {
    records: Vec<Record>,
    expires: Option<Millis>,
    done: Option<oneshot::Sender<()>>,
    /// Something waits for it: it is not held for more records.
    is_urgent: bool,
}

/// The writer's side that the rest of the entry uses.
#[derive(Debug)]
pub(crate) struct Writer {
    items: mpsc::UnboundedSender<QueuedAppend>,
    seen_seq: watch::Sender<u64>,
    /// When the read began that last came to the log's end.
    tail_read: watch::Sender<Millis>,
}

impl Writer {
    pub fn new() -> (Self, mpsc::UnboundedReceiver<QueuedAppend>) {
        let (items, queue) = mpsc::unbounded_channel();
        let (seen_seq, tail_read) = (watch::Sender::new(0), watch::Sender::new(Millis(0)));
        (Self { items, seen_seq, tail_read }, queue)
    }

    /// Appends in a while; nobody waits.
    pub fn append(&self, records: Vec<Record>) {
        self.push(records, None, None, false);
    }

    /// Appends as soon as it can be.
    pub fn append_now(&self, record: Record) {
        self.push(vec![record], None, None, true);
    }

    /// Appends a claim soon or never.
    pub fn append_claim(&self, claim: Claim, now: Millis) {
        self.push(vec![Record::Claim(claim)], Some(now + CLAIM_EXPIRY), None, true);
    }

    /// Appends and waits until the records were read back, at most `limit`; `false` if they were
    /// not. They may be appended later all the same.
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

/// Takes what waits into `queue`, and from there as much as one batch holds.
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

/// Holds records that nobody waits for until more came, or one that somebody waits for.
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
    /// Appends batches one after the other. A batch without a good answer is looked for in the log
    /// before it is sent again.
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

    /// Waits until the reader has come to the log's end with a read begun after `failed`, or has
    /// seen the batch.
    async fn wait_for_reader(&self, failed: Millis, seq: u64) {
        let mut tail = self.writer.tail_read.subscribe();
        let mut seen = self.writer.seen_seq.subscribe();
        tokio::select! {
            _ = tail.wait_for(|tail| *tail > failed) => {}
            _ = seen.wait_for(|seen| *seen >= seq) => {}
        }
    }

    /// Follows the log.
    pub(super) async fn read_log(self: Arc<Self>) {
        let mut up = true;
        loop {
            let from = lock(&self.fold).next();
            let begun = self.now();
            let ask = ReadRequest { from, max: MAX_READ_RECORDS, wait: READ_WAIT };
            let reply = self.read(&ask).await;
            if reply.is_ok() != up {
                up = !up;
                self.trace.record(EventKind::Platform { part: "log".into(), up });
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

    fn apply_change(self: &Arc<Self>, change: Change) {
        match change {
            Change::Table => self.apply_table(),
            Change::Claim(claim) if claim.domain == self.settings.domain => self.apply_claim(claim),
            Change::Claim(_) | Change::Job(_) => {}
            Change::Noted { shard, epoch, seq } => self.apply_logged(&shard, epoch, seq),
        }
    }

    /// The fold has a new table in force: use it and pass it on.
    pub(super) fn apply_table(self: &Arc<Self>) {
        let (table, rev, by) = {
            let fold = lock(&self.fold);
            let by = fold.tables.current().map(|current| current.publish.by.clone());
            (fold.tables.table().clone(), fold.tables.rev(), by.unwrap_or_else(|| "".into()))
        };
        self.set_table(table.clone());
        self.metrics.revision.set(rev as i64);
        self.trace.record(EventKind::TableInForce { rev, by });
        self.pass_table(&table);
        self.update_runners();
        self.state_changed.notify_one();
    }

    /// Appends a snapshot if the last one is old; `due` says so for this entry.
    pub(super) fn append_snapshot(&self) {
        let fold = lock(&self.fold);
        if fold.synced() {
            self.writer.append(vec![fold.snapshot()]);
        }
    }

    /// Whether this entry can read the log up to its end.
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
