//! The store: topics of one partition each, conditions, producers, newest records of keys.

use crate::standin::site::{Call, Reply, answer};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::StatusCode;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// The most items of one page of newest records.
const PAGE: usize = 500;

/// Faults of the store.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// It refuses everything.
    pub busy: bool,
    /// It answers nothing.
    pub silent: bool,
    /// This many appends are done and not answered.
    pub lose: u32,
    /// This many appends without records are done and not answered: they fence a partition.
    pub lose_fences: u32,
    /// Each answer comes this much later.
    pub slow: Duration,
}

#[derive(Debug, Default)]
struct Topic {
    records: Vec<Bytes>,
    /// Reads find nothing before this place: the history was dropped.
    first: usize,
    /// By producer: epoch, last sequence number, and the answer to it.
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
    /// Sets its faults.
    pub fn set(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// Writes a keyed record, as operators and workers do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        lock(&self.topics).entry(topic.to_string()).or_default().records.push(record.freeze());
        self.changed.send_modify(|count| *count += 1);
    }

    /// Drops the history of all topics: of keyed ones the newest record of each key stays.
    pub fn compact(&self) {
        for topic in lock(&self.topics).values_mut() {
            topic.first = topic.records.len();
        }
    }

    /// The newest value of each key of a topic.
    pub fn newest(&self, topic: &str) -> BTreeMap<String, Bytes> {
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
        newest
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
        let topic = topics.entry(call.text("topic").to_string()).or_default();
        let end = topic.records.len() as u64;
        if call.number("as_of").is_some_and(|as_of| as_of != end) {
            return (StatusCode::PRECONDITION_FAILED, json!({"end": end}));
        }
        let mut records = Vec::new();
        let mut body = call.body.clone();
        while body.remaining() >= 4 {
            let len = (body.get_u32() as usize).min(body.remaining());
            records.push(body.split_to(len));
        }
        if let (Some(epoch), Some(seq)) = (call.number("epoch"), call.number("seq")) {
            let name = call.text("producer").to_string();
            let known = topic.producers.get(&name).copied();
            match known {
                Some((seen, ..)) if seen > epoch => {
                    return (StatusCode::CONFLICT, json!({"reason": "fenced"}));
                }
                Some((seen, last, offset))
                    if seen == epoch && last == seq && !records.is_empty() =>
                {
                    return (StatusCode::OK, json!({"offset": offset, "end": end}));
                }
                Some((seen, last, _)) if seen == epoch && seq != last + 1 => {
                    return (StatusCode::CONFLICT, json!({"reason": "seq", "seq": last + 1}));
                }
                _ => {}
            }
            // An append without records only sets the epoch: it has no place in the sequence.
            let counted = match (records.is_empty(), known) {
                (true, Some((seen, last, _))) if seen == epoch => last,
                _ => seq,
            };
            topic.producers.insert(name, (epoch, counted, end));
        }
        topic.records.append(&mut records);
        let after = topic.records.len();
        drop(topics);
        self.changed.send_modify(|count| *count += 1);
        (StatusCode::OK, json!({"offset": end, "end": after}))
    }

    fn read(&self, call: &Call) -> Option<Read> {
        let from = call.number("from").unwrap_or(0) as usize;
        let mut topics = lock(&self.topics);
        let topic = topics.entry(call.text("topic").to_string()).or_default();
        if from < topic.first {
            return Some(Read::Gone(topic.first));
        }
        let wanted = topic.records.get(from..).unwrap_or_default();
        let waits = call.number("wait_ms").unwrap_or(0) > 0;
        if wanted.is_empty() && waits {
            return None;
        }
        Some(Read::Records(raw(topic.records.len(), wanted)))
    }

    async fn await_read(&self, call: &Call) -> Read {
        let mut changed = self.changed.subscribe();
        let wait = Duration::from_millis(call.number("wait_ms").unwrap_or(0));
        let read = async {
            loop {
                changed.borrow_and_update();
                if let Some(body) = self.read(call) {
                    return body;
                }
                if changed.changed().await.is_err() {
                    return Read::Records(Bytes::new());
                }
            }
        };
        match tokio::time::timeout(wait, read).await {
            Ok(body) => body,
            Err(_) => Read::Records(raw(self.len(call.text("topic")), &[])),
        }
    }

    fn page(&self, call: &Call) -> serde_json::Value {
        let topic = call.text("topic");
        let after = call.text("depends_on");
        let newest = self.newest(topic);
        let rest: Vec<_> = newest
            .into_iter()
            .filter(|(key, _)| after.is_empty() || key.as_str() > after)
            .collect();
        let more = rest.len() > PAGE;
        let item = |(key, value): &(String, Bytes)| json!({"key": key, "value": BASE64_STANDARD.encode(value), "offset": 0});
        let items: Vec<_> = rest.iter().take(PAGE).map(item).collect();
        json!({"items": items, "has_more": more, "end": self.len(topic)})
    }
}

/// What a read finds.
enum Read {
    Records(Bytes),
    /// Records before this place are gone.
    Gone(usize),
}

fn raw(end: usize, records: &[Bytes]) -> Bytes {
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
    tokio::time::sleep(faults.slow).await;
    if faults.busy {
        return answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
    }
    match call.path.as_str() {
        "/log-append" => {
            let (status, body) = store.append(&call);
            let mut faults = lock(&store.faults);
            if faults.lose_fences > 0 && call.body.is_empty() {
                faults.lose_fences -= 1;
                return None;
            }
            if faults.lose > 0 && status.is_success() {
                faults.lose -= 1;
                return None;
            }
            answer(status, &body)
        }
        "/log-read" => {
            let read = store.await_read(&call).await;
            if lock(&store.faults).silent {
                return None;
            }
            match read {
                Read::Records(body) => Some((StatusCode::OK, body)),
                Read::Gone(first) => answer(StatusCode::GONE, &json!({"first": first})),
            }
        }
        "/log-newest" => answer(StatusCode::OK, &store.page(&call)),
        _ => answer(StatusCode::NOT_FOUND, &json!({})),
    }
}
