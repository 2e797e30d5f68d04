//! This entry's reader and writer of the platform's log.

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

/// How long a read waits for records.
const READ_WAIT: Millis = Millis(1_000);
/// The most records of one read.
const READ_MAX: u32 = 500;
/// How long an exchange with the log may take.
const LOG_LIMIT: Millis = Millis(5_000);
/// The log counts as reachable if its end was read this lately.
const LOG_FRESH: Millis = OWNERSHIP_PROOF_TTL;
/// Pause after a failed exchange.
const PAUSE: Millis = Millis(200);
/// The largest batch, in bytes of JSON, unless a single record is larger.
const MAX_BATCH: usize = 256 * 1024;
/// Appends that may wait; more are dropped, oldest first, except those that somebody waits for.
const MAX_QUEUE: usize = 100_000;
/// Claims not appended after this long are dropped: what they were based on is old.
pub(crate) const CLAIM_EXPIRY: Millis = Millis(2_000);
/// Group commit: at least this long between two appends.
const GROUP: Millis = Millis(20);
/// Group commit: records that nobody waits for are held this long for more of them.
const LINGER: Millis = Millis(250);

/// Records for the log.
#[derive(Debug)]
pub(crate) struct Item {
    records: Vec<Record>,
    expires: Option<Millis>,
    done: Option<oneshot::Sender<()>>,
    /// Something waits for it: it is not held for more records.
    prompt: bool,
}

/// The writer's side that the rest of the entry uses.
#[derive(Debug)]
pub(crate) struct Writer {
    items: mpsc::UnboundedSender<Item>,
    seen: watch::Sender<u64>,
    /// When the read began that last came to the log's end.
    tail: watch::Sender<Millis>,
}

impl Writer {
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Item>) {
        let (items, queue) = mpsc::unbounded_channel();
        let (seen, tail) = (watch::Sender::new(0), watch::Sender::new(Millis(0)));
        (Self { items, seen, tail }, queue)
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
    pub fn claim(&self, claim: Claim, now: Millis) {
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
        prompt: bool,
    ) {
        if !records.is_empty() {
            let _ = self.items.send(Item { records, expires, done, prompt });
        }
    }
}

/// Takes what waits into `queue`, and from there as much as one batch holds.
fn gather(
    inbox: &mut mpsc::UnboundedReceiver<Item>,
    queue: &mut VecDeque<Item>,
    now: Millis,
) -> (Vec<Record>, Vec<oneshot::Sender<()>>) {
    while let Ok(item) = inbox.try_recv() {
        queue.push_back(item);
    }
    queue.retain(|item| item.expires.is_none_or(|expires| expires > now));
    while queue.len() > MAX_QUEUE {
        queue.pop_front();
    }
    let (mut records, mut waiting, mut size) = (Vec::new(), Vec::new(), 0);
    while let Some(item) = queue.pop_front() {
        size += item.records.iter().map(weight).sum::<usize>();
        if size > MAX_BATCH && !records.is_empty() {
            queue.push_front(item);
            break;
        }
        records.extend(item.records);
        waiting.extend(item.done);
    }
    (records, waiting)
}

/// Holds records that nobody waits for until more came, or one that somebody waits for.
async fn linger(inbox: &mut mpsc::UnboundedReceiver<Item>, queue: &mut VecDeque<Item>) {
    let over = tokio::time::sleep(LINGER.duration());
    tokio::pin!(over);
    while queue.iter().all(|item| !item.prompt) {
        tokio::select! {
            item = inbox.recv() => match item {
                Some(item) => queue.push_back(item),
                None => return,
            },
            () = &mut over => return,
        }
    }
}

fn weight(record: &Record) -> usize {
    serde_json::to_vec(record).map_or(0, |text| text.len())
}

impl Entry {
    /// Appends batches one after the other. A batch without a good answer is looked for in the log
    /// before it is sent again.
    pub(super) async fn write_log(self: Arc<Self>, mut inbox: mpsc::UnboundedReceiver<Item>) {
        let mut queue = VecDeque::new();
        let mut seq = 0;
        while let Some(item) = inbox.recv().await {
            queue.push_back(item);
            linger(&mut inbox, &mut queue).await;
            while !queue.is_empty() {
                let (records, waiting) = gather(&mut inbox, &mut queue, self.now());
                if records.is_empty() {
                    break;
                }
                seq += 1;
                self.write_batch(seq, records).await;
                tokio::spawn(confirm(self.writer.seen.subscribe(), seq, waiting));
                tokio::time::sleep(GROUP.duration()).await;
            }
        }
    }

    async fn write_batch(&self, seq: u64, records: Vec<Record>) {
        let (writer, stamp) = (self.me.clone(), self.trace.stamp());
        let batch = Batch { version: BATCH_FORMAT, writer, seq, stamp, records };
        let Ok(text) = serde_json::to_string(&batch) else { return };
        let data = Bytes::from(text);
        while *self.writer.seen.borrow() < seq {
            self.metrics.appends.inc();
            match self.append(data.clone()).await {
                Ok(_) => return,
                Err(err) => ::log::warn!("event=append-failed seq={seq} error={err:?}"),
            }
            self.read_past(self.now(), seq).await;
        }
    }

    async fn append(&self, data: Bytes) -> Result<AppendReply, HttpError> {
        let addr = &self.settings.platform.log;
        self.http.post_bytes(&self.me.name, addr, "/log/append", data, LOG_LIMIT).await
    }

    /// Waits until the reader has come to the log's end with a read begun after `failed`, or has
    /// seen the batch.
    async fn read_past(&self, failed: Millis, seq: u64) {
        let mut tail = self.writer.tail.subscribe();
        let mut seen = self.writer.seen.subscribe();
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
            let ask = ReadRequest { from, max: READ_MAX, wait: READ_WAIT };
            let reply = self.read(&ask).await;
            if reply.is_ok() != up {
                up = !up;
                self.trace.record(EventKind::PlatformStatus { part: "log".into(), up });
            }
            match reply {
                Ok(reply) => self.take_read(from, begun, reply),
                Err(_) => tokio::time::sleep(PAUSE.duration()).await,
            }
        }
    }

    async fn read(&self, ask: &ReadRequest) -> Result<ReadReply, HttpError> {
        let addr = &self.settings.platform.log;
        let limit = LOG_LIMIT + READ_WAIT;
        self.http.post_json(&self.me.name, addr, "/log/read", ask, limit).await
    }

    fn take_read(self: &Arc<Self>, from: u64, begun: Millis, reply: ReadReply) {
        if reply.first > from {
            lock(&self.fold).gap(reply.first);
        }
        let full = reply.records.len() >= READ_MAX as usize;
        for record in reply.records {
            self.take_record(record);
        }
        if !full {
            self.writer.tail.send_replace(begun);
        }
        self.folded.send_replace(lock(&self.fold).next());
    }

    fn take_record(self: &Arc<Self>, record: LogRecord) {
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
            self.take_change(change);
        }
        if batch.writer == self.me {
            self.writer.seen.send_replace(batch.seq);
        }
    }

    fn take_change(self: &Arc<Self>, change: LogChange) {
        match change {
            LogChange::Table => self.take_table(),
            LogChange::Claim(claim) if claim.domain == self.settings.domain => {
                self.take_claim(claim)
            }
            LogChange::Claim(_) | LogChange::Job(_) => {}
            LogChange::StateStored { shard, epoch, seq } => self.take_noted(&shard, epoch, seq),
        }
    }

    /// The fold has a new table in force: use it and pass it on.
    pub(super) fn take_table(self: &Arc<Self>) {
        let (table, rev, by) = {
            let fold = lock(&self.fold);
            let by = fold.tables.current().map(|current| current.publish.by.clone());
            (fold.tables.table().clone(), fold.tables.rev(), by.unwrap_or_else(|| "".into()))
        };
        self.set_table(table.clone());
        self.metrics.revision.set(rev as i64);
        self.trace.record(EventKind::TableActivated { rev, by });
        self.set_policy(&table);
        self.update_runners();
        self.news.notify_one();
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
        self.now().since(*self.writer.tail.borrow()) < LOG_FRESH
    }
}

async fn confirm(mut seen: watch::Receiver<u64>, seq: u64, waiting: Vec<oneshot::Sender<()>>) {
    if waiting.is_empty() || seen.wait_for(|seen| *seen >= seq).await.is_err() {
        return;
    }
    for done in waiting {
        let _ = done.send(());
    }
}
