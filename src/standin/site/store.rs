//! The simulated store: topics of one partition each, with conditional appends, fenced producers,
//! and the newest record of each key.

use crate::standin::site::{Call, Reply, reply};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::StatusCode;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Largest number of items in a page of newest records.
const MAX_PAGE_ITEMS: usize = 500;
/// Largest size of the values in a page of newest records, in bytes.
const MAX_PAGE_BYTES: usize = 1024 * 1024;
/// Largest number of topics.
const MAX_TOPICS: usize = 100;
/// Longest time that a read may wait for a record, in milliseconds.
const MAX_READ_WAIT_MS: u64 = 30_000;
/// Size of the answer to a read that names none, in kilobytes.
const DEFAULT_READ_KB: u64 = 1_024;
/// Largest number of writing and of reading calls in a second, for all callers together.
const WRITES_PER_SECOND: u32 = 600;
const READS_PER_SECOND: u32 = 2_000;

/// The sizes that the store accepts, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// A record.
    pub record: usize,
    /// The body of an append.
    pub call: usize,
}

impl Default for Sizes {
    /// Those of the users' deployments.
    fn default() -> Self {
        Self { record: 262_144, call: 2_097_152 }
    }
}

/// Counts the calls of the current second.
#[derive(Debug)]
struct CallRate {
    max: u32,
    since: Instant,
    count: u32,
}

impl CallRate {
    fn new(max: u32) -> Self {
        Self { max, since: Instant::now(), count: 0 }
    }

    /// Whether one more call is within the rate.
    fn admit(&mut self) -> bool {
        if self.since.elapsed() >= Duration::from_secs(1) {
            (self.since, self.count) = (Instant::now(), 0);
        }
        self.count += 1;
        self.count <= self.max
    }
}

/// Faults of the store.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Every call is refused.
    pub refuses: bool,
    /// No call is answered.
    pub silent: bool,
    /// Number of appends that take effect but are not answered.
    pub lost_replies: u32,
    /// Number of appends without records, which fence a partition, that take effect but are not
    /// answered.
    pub lost_fences: u32,
    /// Delay of each answer.
    pub delay: Duration,
}

#[derive(Debug, Default)]
struct Topic {
    records: Vec<Bytes>,
    /// Offset of the first record that can still be read: the history before it was dropped.
    first_kept: usize,
    /// By producer: its epoch, its last sequence number, and the offset that was answered to it.
    producers: HashMap<String, (u64, u64, u64)>,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    faults: Mutex<Faults>,
    sizes: Mutex<Sizes>,
    writes: Mutex<CallRate>,
    reads: Mutex<CallRate>,
    /// The number of calls that were refused because they exceeded a limit.
    rejected: AtomicUsize,
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        let (topics, faults) = (Mutex::default(), Mutex::default());
        Self {
            topics,
            faults,
            sizes: Mutex::default(),
            writes: Mutex::new(CallRate::new(WRITES_PER_SECOND)),
            reads: Mutex::new(CallRate::new(READS_PER_SECOND)),
            rejected: AtomicUsize::new(0),
            changed: watch::channel(0).0,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Store {
    /// Replaces the faults.
    pub fn set(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// Changes the sizes that the store accepts.
    pub fn set_sizes(&self, sizes: Sizes) {
        *lock(&self.sizes) = sizes;
    }

    /// The sizes that the store accepts.
    pub fn sizes(&self) -> Sizes {
        *lock(&self.sizes)
    }

    /// The number of calls that were refused because they exceeded a limit.
    pub fn rejected_calls(&self) -> usize {
        self.rejected.load(Ordering::Relaxed)
    }

    /// The status of the refusal of a call that exceeds a limit.
    fn limit_status(&self, call: &Call) -> Option<StatusCode> {
        let is_append = call.path == "/log-append";
        let rate = if is_append { &self.writes } else { &self.reads };
        let sizes = self.sizes();
        let is_large = is_append
            && (call.body.len() > sizes.call
                || split_records(&call.body).iter().any(|record| record.len() > sizes.record));
        let waits_long = call.query_number("wait_ms").unwrap_or(0) > MAX_READ_WAIT_MS;
        let topics = lock(&self.topics);
        let is_new_topic = !topics.contains_key(call.query_text("topic"));
        match () {
            () if is_large => Some(StatusCode::PAYLOAD_TOO_LARGE),
            () if waits_long => Some(StatusCode::BAD_REQUEST),
            () if is_new_topic && topics.len() >= MAX_TOPICS => Some(StatusCode::BAD_REQUEST),
            () if !lock(rate).admit() => Some(StatusCode::TOO_MANY_REQUESTS),
            () => None,
        }
    }

    /// Appends a keyed record, as operators and workers do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        lock(&self.topics).entry(topic.to_string()).or_default().records.push(record.freeze());
        self.changed.send_modify(|count| *count += 1);
    }

    /// Drops the history of all topics; of keyed topics the newest record of each key remains.
    pub fn compact(&self) {
        for topic in lock(&self.topics).values_mut() {
            topic.first_kept = topic.records.len();
        }
    }

    /// The newest value of each key of a topic.
    pub fn newest(&self, topic: &str) -> BTreeMap<String, Bytes> {
        self.newest_and_end(topic).0
    }

    /// The newest value of each key of a topic, and the end of the topic at that time. A caller that
    /// got a later end would miss the records between.
    fn newest_and_end(&self, topic: &str) -> (BTreeMap<String, Bytes>, usize) {
        let topics = lock(&self.topics);
        let records = topics.get(topic).map(|topic| topic.records.as_slice()).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for record in records {
            let len = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..1 + len]).into_owned();
            match record.slice(1 + len..) {
                value if value.is_empty() => drop(newest.remove(&key)),
                value => drop(newest.insert(key, value)),
            }
        }
        (newest, records.len())
    }

    /// The number of records of a topic.
    pub fn len(&self, topic: &str) -> usize {
        lock(&self.topics).get(topic).map_or(0, |topic| topic.records.len())
    }

    /// Whether a topic has no records.
    pub fn is_empty(&self, topic: &str) -> bool {
        self.len(topic) == 0
    }

    fn append(&self, call: &Call) -> (StatusCode, serde_json::Value) {
        let mut topics = lock(&self.topics);
        let topic = topics.entry(call.query_text("topic").to_string()).or_default();
        let end = topic.records.len() as u64;
        if call.query_number("as_of").is_some_and(|as_of| as_of != end) {
            return (StatusCode::PRECONDITION_FAILED, json!({"end": end}));
        }
        let mut records = split_records(&call.body);
        if let (Some(epoch), Some(seq)) = (call.query_number("epoch"), call.query_number("seq")) {
            let name = call.query_text("producer").to_string();
            let known = topic.producers.get(&name).copied();
            match known {
                Some((known_epoch, ..)) if known_epoch > epoch => {
                    return (StatusCode::CONFLICT, json!({"reason": "fenced"}));
                }
                Some((known_epoch, last, offset))
                    if known_epoch == epoch && last == seq && !records.is_empty() =>
                {
                    return (StatusCode::OK, json!({"offset": offset, "end": end}));
                }
                Some((known_epoch, last, _)) if known_epoch == epoch && seq != last + 1 => {
                    return (StatusCode::CONFLICT, json!({"reason": "seq", "seq": last + 1}));
                }
                _ => {}
            }
            // An append without records only sets the epoch of its producer and takes no sequence
            // number.
            let last_seq = match (records.is_empty(), known) {
                (true, Some((known_epoch, last, _))) if known_epoch == epoch => last,
                _ => seq,
            };
            topic.producers.insert(name, (epoch, last_seq, end));
        }
        topic.records.append(&mut records);
        let new_end = topic.records.len();
        drop(topics);
        self.changed.send_modify(|count| *count += 1);
        (StatusCode::OK, json!({"offset": end, "end": new_end}))
    }

    fn read(&self, call: &Call) -> Option<ReadResult> {
        let from = call.query_number("from").unwrap_or(0) as usize;
        let mut topics = lock(&self.topics);
        let topic = topics.entry(call.query_text("topic").to_string()).or_default();
        if from < topic.first_kept {
            return Some(ReadResult::Compacted(topic.first_kept));
        }
        let wanted = topic.records.get(from..).unwrap_or_default();
        let may_wait = call.query_number("wait_ms").unwrap_or(0) > 0;
        if wanted.is_empty() && may_wait {
            return None;
        }
        let max_kb = call.query_number("max_kb").unwrap_or(DEFAULT_READ_KB);
        let wanted = &wanted[..count_within(wanted, max_kb)];
        Some(ReadResult::Records(encode_records(topic.records.len(), wanted)))
    }

    async fn wait_for_records(&self, call: &Call) -> ReadResult {
        let mut changed = self.changed.subscribe();
        let wait = Duration::from_millis(call.query_number("wait_ms").unwrap_or(0));
        let read = async {
            loop {
                changed.borrow_and_update();
                if let Some(body) = self.read(call) {
                    return body;
                }
                if changed.changed().await.is_err() {
                    return ReadResult::Records(Bytes::new());
                }
            }
        };
        match tokio::time::timeout(wait, read).await {
            Ok(body) => body,
            Err(_) => ReadResult::Records(encode_records(self.len(call.query_text("topic")), &[])),
        }
    }

    fn newest_page(&self, call: &Call) -> serde_json::Value {
        let topic = call.query_text("topic");
        let after = call.query_text("depends_on");
        let (newest, end) = self.newest_and_end(topic);
        let rest: Vec<_> = newest
            .into_iter()
            .filter(|(key, _)| after.is_empty() || key.as_str() > after)
            .collect();
        let mut size = 0;
        let fits = |(key, value): &&(String, Bytes)| {
            size += key.len() + value.len();
            size <= MAX_PAGE_BYTES
        };
        let count = rest.iter().take(MAX_PAGE_ITEMS).take_while(fits).count().max(1);
        let has_more = rest.len() > count;
        let item = |(key, value): &(String, Bytes)| json!({"key": key, "value": BASE64_STANDARD.encode(value), "offset": 0});
        let items: Vec<_> = rest.iter().take(count).map(item).collect();
        json!({"items": items, "has_more": has_more, "end": end})
    }
}

/// Splits the body of an append into its records.
fn split_records(body: &Bytes) -> Vec<Bytes> {
    let (mut body, mut records) = (body.clone(), Vec::new());
    while body.remaining() >= 4 {
        let len = (body.get_u32() as usize).min(body.remaining());
        records.push(body.split_to(len));
    }
    records
}

/// The number of records that fit into an answer of `max_kb`, at least one.
fn count_within(records: &[Bytes], max_kb: u64) -> usize {
    let mut left = max_kb as usize * 1024;
    let fits = |record: &&Bytes| {
        let size = record.len() + 4;
        let is_within = size <= left;
        left = left.saturating_sub(size);
        is_within
    };
    records.iter().take_while(fits).count().max(1).min(records.len())
}

/// The result of a read.
enum ReadResult {
    Records(Bytes),
    /// Records before this offset were dropped.
    Compacted(usize),
}

fn encode_records(end: usize, records: &[Bytes]) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u64(end as u64);
    body.put_u64(0);
    for record in records {
        body.put_u32(record.len() as u32);
        body.put_slice(record);
    }
    body.freeze()
}

pub(super) async fn handle(store: Arc<Store>, call: Call) -> Reply {
    let faults = lock(&store.faults).clone();
    if faults.silent {
        return None;
    }
    tokio::time::sleep(faults.delay).await;
    if faults.refuses {
        return reply(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
    }
    if let Some(status) = store.limit_status(&call) {
        store.rejected.fetch_add(1, Ordering::Relaxed);
        return reply(status, &json!({}));
    }
    match call.path.as_str() {
        "/log-append" => {
            let (status, body) = store.append(&call);
            let mut faults = lock(&store.faults);
            if faults.lost_fences > 0 && call.body.is_empty() {
                faults.lost_fences -= 1;
                return None;
            }
            if faults.lost_replies > 0 && status.is_success() {
                faults.lost_replies -= 1;
                return None;
            }
            reply(status, &body)
        }
        "/log-read" => {
            let read = store.wait_for_records(&call).await;
            if lock(&store.faults).silent {
                return None;
            }
            match read {
                ReadResult::Records(body) => Some((StatusCode::OK, body)),
                ReadResult::Compacted(first) => reply(StatusCode::GONE, &json!({"first": first})),
            }
        }
        "/log-newest" => reply(StatusCode::OK, &store.newest_page(&call)),
        _ => reply(StatusCode::NOT_FOUND, &json!({})),
    }
}
