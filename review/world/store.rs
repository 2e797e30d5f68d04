//! The platform's store: topics of one partition each, with conditional appends, fenced producers
//! and the newest record of each key.

use crate::World;
use crate::http::{Request, Response, serve};
use crate::json::{base64, quote};
use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time that the store takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// The most items in a page of newest records.
const MAX_PAGE_ITEMS: usize = 500;
/// The largest record and the largest call that the store takes, as in the settings.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
/// How many of its last appends a producer gets the first answer to again.
const REPEATABLE_APPENDS: usize = 5;

struct Producer {
    epoch: u64,
    last_seq: u64,
    /// The last appends: sequence number, first offset, end.
    answers: Vec<(u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    producers: HashMap<String, Producer>,
    newest: BTreeMap<String, (Vec<u8>, usize)>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// The entry that last appended to a topic under a producer's epoch, which is the owner.
    owner: Option<usize>,
}

pub struct Store {
    world: Arc<World>,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn new(world: &Arc<World>) -> Arc<Self> {
        let (state, changed) = (Mutex::default(), Condvar::new());
        Arc::new(Self { world: world.clone(), state, changed })
    }

    /// Opens an address of the store for one entry, in a zone. Returns the address.
    pub fn listen(self: &Arc<Self>, entry: usize, zone: u8) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let addr = listener.local_addr().expect("no address").to_string();
        let store = self.clone();
        serve(listener, || true, move |request| store.handle(request, entry, zone));
        addr
    }

    /// Writes a keyed record, as the operator and the runners do; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let record = [&[key.len() as u8], key.as_bytes(), value].concat();
        let mut state = self.state.lock().unwrap();
        append(state.topics.entry(topic.to_string()).or_default(), topic, vec![record]);
        self.changed.notify_all();
    }

    /// The entry that acts as the owner, as far as the store has seen.
    pub fn owner(&self) -> Option<usize> {
        self.state.lock().unwrap().owner
    }

    fn handle(&self, request: &Request, entry: usize, zone: u8) -> Option<Response> {
        if self.world.is_cut(zone, 0) {
            return None;
        }
        std::thread::sleep(ANSWER_TIME);
        let response = match request.path.as_str() {
            "/log-append" => self.append(request, entry, zone),
            "/log-read" => self.read(request, zone),
            "/log-newest" => self.newest(request, zone),
            _ => Response::json(404, "{}".to_string()),
        };
        response.filter(|_| !self.world.is_cut(zone, 0))
    }

    fn append(&self, request: &Request, entry: usize, zone: u8) -> Option<Response> {
        let mut state = self.state.lock().unwrap();
        let name = request.query_text("topic").to_string();
        let topic = state.topics.entry(name.clone()).or_default();
        let end = topic.records.len() as u64;
        if request.query_number("as_of").is_some_and(|as_of| as_of != end) {
            return Response::json(412, format!("{{\"end\":{end}}}"));
        }
        let records = split_records(&self.world.globalize(&request.body, zone));
        let is_large = |record: &Vec<u8>| record.len() > RECORD_BYTES;
        if request.body.len() > CALL_BYTES || records.iter().any(is_large) {
            self.world.note(&format!("the store refuses {} bytes to {name}", request.body.len()));
            return Response::json(413, "{}".to_string());
        }
        let new_end = end + records.len() as u64;
        let guard = (request.query_number("epoch"), request.query_number("seq"));
        if let (Some(epoch), Some(seq)) = guard {
            let producer = request.query_text("producer").to_string();
            let new = || Producer { epoch, last_seq: seq, answers: Vec::new() };
            let is_known = topic.producers.contains_key(&producer);
            let known = topic.producers.entry(producer).or_insert_with(new);
            if known.epoch > epoch {
                return Response::json(409, "{\"reason\":\"fenced\"}".to_string());
            }
            if known.epoch < epoch {
                *known = new();
            } else if is_known && !records.is_empty() {
                let repeated = known.answers.iter().find(|(answered, ..)| *answered == seq);
                if let Some((_, offset, end)) = repeated {
                    return Response::json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
                }
                if seq != known.last_seq + 1 {
                    let wanted = known.last_seq + 1;
                    return Response::json(409, format!("{{\"reason\":\"seq\",\"seq\":{wanted}}}"));
                }
            }
            if !records.is_empty() {
                known.last_seq = seq;
                known.answers.push((seq, end, new_end));
                if known.answers.len() > REPEATABLE_APPENDS {
                    known.answers.remove(0);
                }
            }
            append(topic, &name, records);
            state.owner = Some(entry);
        } else {
            append(topic, &name, records);
        }
        self.changed.notify_all();
        Response::json(200, format!("{{\"offset\":{end},\"end\":{new_end}}}"))
    }

    fn read(&self, request: &Request, zone: u8) -> Option<Response> {
        let name = request.query_text("topic").to_string();
        let from = request.query_number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        while state.topics.entry(name.clone()).or_default().records.len() <= from {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let records = &state.topics.entry(name).or_default().records;
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        for record in records.iter().skip(from) {
            let record = self.world.localize(record, zone);
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(&record);
        }
        Some(Response { status: 200, body })
    }

    fn newest(&self, request: &Request, zone: u8) -> Option<Response> {
        let after = request.query_text("depends_on").to_string();
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(request.query_text("topic").to_string()).or_default();
        let rest = topic.newest.iter().filter(|(key, _)| after.is_empty() || **key > after);
        let rest: Vec<_> = rest.collect();
        let item = |(key, (value, offset)): &(&String, &(Vec<u8>, usize))| {
            let value = base64(&self.world.localize(value, zone));
            format!("{{\"key\":{},\"value\":\"{value}\",\"offset\":{offset}}}", quote(key))
        };
        let items: Vec<String> = rest.iter().take(MAX_PAGE_ITEMS).map(item).collect();
        let (has_more, end) = (rest.len() > MAX_PAGE_ITEMS, topic.records.len());
        let items = items.join(",");
        Response::json(
            200,
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end\":{end}}}"),
        )
    }
}

fn append(topic: &mut Topic, name: &str, records: Vec<Vec<u8>>) {
    for record in records {
        if name.starts_with("keyed.") && !record.is_empty() {
            let (key, value) = record[1..].split_at(usize::from(record[0]).min(record.len() - 1));
            let key = String::from_utf8_lossy(key).into_owned();
            match value.is_empty() {
                true => drop(topic.newest.remove(&key)),
                false => drop(topic.newest.insert(key, (value.to_vec(), topic.records.len()))),
            }
        }
        topic.records.push(record);
    }
}

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let (length, rest) = body.split_at(4);
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
        let (record, rest) = rest.split_at(length.min(rest.len()));
        records.push(record.to_vec());
        body = rest;
    }
    records
}
