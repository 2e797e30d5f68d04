//! The simulated store: topics of one partition each, with conditional appends, fenced producers,
//! and the newest record of each key.

use crate::standin::site::{Call, Reply, reply};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::StatusCode;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Largest number of items in a page of newest records.
const MAX_PAGE_ITEMS: usize = 500;

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
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        let (topics, faults) = (Mutex::default(), Mutex::default());
        Self { topics, faults, changed: watch::channel(0).0 }
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
        let mut records = Vec::new();
        let mut body = call.body.clone();
        while body.remaining() >= 4 {
            let len = (body.get_u32() as usize).min(body.remaining());
            records.push(body.split_to(len));
        }
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
        let has_more = rest.len() > MAX_PAGE_ITEMS;
        let item = |(key, value): &(String, Bytes)| json!({"key": key, "value": BASE64_STANDARD.encode(value), "offset": 0});
        let items: Vec<_> = rest.iter().take(MAX_PAGE_ITEMS).map(item).collect();
        json!({"items": items, "has_more": has_more, "end": end})
    }
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
