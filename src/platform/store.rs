//! The platform's store: append-only topics, some of which keep the newest record of each key.

use crate::clock::Millis;
use crate::id::Name;
use crate::platform::http::{HttpClient, HttpError, HttpResponse, uri};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;

/// A read answers with at most this many kilobytes; small enough to be decoded within a few
/// milliseconds of a quarter of a core.
const MAX_READ_KB: u32 = 512;

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store refused: {0}")]
    Refused(StatusCode),
    /// Whether it was done is not known.
    #[error("no answer from the store: {0}")]
    Unknown(HttpError),
    /// The partition does not end where the append wants it to.
    #[error("the partition ends at {0}")]
    EndMismatch(u64),
    /// A producer with a higher epoch has written.
    #[error("a producer of a later epoch has written")]
    Fenced,
    /// The sequence number is not the one after the last.
    #[error("the sequence number does not follow the last")]
    OutOfSequence,
    /// The records are gone; the oldest one kept is named.
    #[error("records before {0} are gone")]
    Gone(u64),
    /// The answer cannot be read.
    #[error("the store's answer cannot be read: {0}")]
    Malformed(String),
}

/// Where a call goes.
#[derive(Debug, Clone, Copy)]
pub struct Partition<'a> {
    /// The topic.
    pub topic: &'a str,
    /// The partition.
    pub index: u32,
}

/// What an append depends on.
#[derive(Debug, Clone, Copy)]
pub enum Precondition<'a> {
    /// The partition must end at this offset.
    End(u64),
    /// Nobody with a higher epoch may have written, and a repeated call has one effect.
    Producer {
        /// The producer's name.
        name: &'a str,
        /// The producer's epoch.
        epoch: u64,
        /// The number of this call in the epoch.
        seq: u64,
    },
}

/// The answer to an append.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Appended {
    /// The place of the first record.
    pub offset: u64,
    /// The place after the last one.
    pub end: u64,
}

/// Records from some offset on.
#[derive(Debug)]
pub struct Records {
    /// The place after the partition's last record.
    pub end: u64,
    /// The records with their places.
    pub records: Vec<(u64, Bytes)>,
}

/// The newest record of a key.
#[derive(Debug)]
pub struct LatestRecord {
    /// The key.
    pub key: Name,
    /// The value; empty if the key was dropped.
    pub value: Vec<u8>,
}

/// Some of the newest records of all keys.
#[derive(Debug)]
pub struct Page {
    /// The records.
    pub items: Vec<LatestRecord>,
    /// Whether there are more after the last one.
    pub has_more: bool,
    /// The place after the partition's last record.
    pub end: u64,
}

#[derive(Deserialize)]
struct RawItem {
    key: Name,
    #[serde(default)]
    value: String,
}

#[derive(Deserialize)]
struct RawPage<'a> {
    #[serde(default, borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    has_more: bool,
    end: u64,
}

#[derive(Deserialize, Default)]
struct RawProblem {
    #[serde(default)]
    reason: String,
    #[serde(default)]
    end: u64,
    #[serde(default)]
    first: u64,
}

/// The store's client.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    addr: Name,
}

/// Adds a record of a plain topic to the body of an append.
pub fn encode_record(body: &mut BytesMut, data: &[u8]) {
    body.put_u32(data.len() as u32);
    body.put_slice(data);
}

/// Adds a record of a keyed topic to the body of an append; an empty value drops the key.
pub fn encode_keyed(body: &mut BytesMut, key: &str, value: &[u8]) {
    body.put_u32((1 + key.len() + value.len()) as u32);
    body.put_u8(key.len() as u8);
    body.put_slice(key.as_bytes());
    body.put_slice(value);
}

/// Splits a record of a keyed topic into its key and its value; `None`: it is not such a record.
/// One bad record must not hide the others, so readers go on without it.
pub fn decode_keyed(record: &Bytes) -> Option<(Name, Bytes)> {
    let split = || -> Result<(Name, Bytes), String> {
        let len = usize::from(*record.first().ok_or("it is empty")?);
        let key = record.get(1..1 + len).ok_or("it is shorter than its key")?;
        let key = std::str::from_utf8(key).map_err(|err| err.to_string())?;
        Ok((key.into(), record.slice(1 + len..)))
    };
    split().inspect_err(|err| log::warn!("event=record-unreadable error={err:?}")).ok()
}

impl StoreClient {
    /// A client of the store at `addr`.
    pub fn new(http: HttpClient, addr: Name) -> Self {
        Self { http, addr }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Millis,
    ) -> Result<HttpResponse, StoreError> {
        let malformed = |err: &dyn std::fmt::Display| StoreError::Malformed(err.to_string());
        let uri = uri(&self.addr, path).map_err(|err| malformed(&err))?;
        let request = Request::builder().method(method).uri(uri).body(Full::from(body));
        let request = request.map_err(|err| malformed(&err))?;
        let answer = self.http.send(&self.addr, request, limit).await;
        let answer = answer.map_err(StoreError::Unknown)?;
        match answer.status {
            status if status.is_success() => Ok(answer),
            _ => Err(parse_problem(&answer)),
        }
    }

    /// Appends records, all or none.
    ///
    /// # Errors
    /// [`StoreError::Unknown`] if it may have been done.
    pub async fn append(
        &self,
        partition: Partition<'_>,
        precondition: Precondition<'_>,
        body: Bytes,
        limit: Millis,
    ) -> Result<Appended, StoreError> {
        let Partition { topic, index } = partition;
        let path = match precondition {
            Precondition::End(end) => format!("/log-append?topic={topic}&part={index}&as_of={end}"),
            Precondition::Producer { name, epoch, seq } => format!(
                "/log-append?topic={topic}&part={index}&producer={name}&epoch={epoch}&seq={seq}"
            ),
        };
        let answer = self.call(Method::POST, &path, body, limit).await?;
        parse_json(&answer.body)
    }

    /// Reads records from an offset on; waits up to `wait` for the first one.
    ///
    /// # Errors
    /// [`StoreError::Gone`] if they were removed.
    pub async fn read(
        &self,
        partition: Partition<'_>,
        from: u64,
        wait: Millis,
        limit: Millis,
    ) -> Result<Records, StoreError> {
        let Partition { topic, index } = partition;
        let path = format!(
            "/log-read?topic={topic}&part={index}&from={from}&max_kb={MAX_READ_KB}&wait_ms={wait}"
        );
        let answer = self.call(Method::GET, &path, Bytes::new(), limit).await?;
        decode_records(answer.body, from)
    }

    /// Reads the newest records of all keys after `after`.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub async fn latest(
        &self,
        partition: Partition<'_>,
        after: Option<&str>,
        limit: Millis,
    ) -> Result<Page, StoreError> {
        let Partition { topic, index } = partition;
        let mut path = format!("/log-newest?topic={topic}&part={index}");
        if let Some(key) = after {
            // The platform gives the key to continue after in the field of a step's dependencies.
            path.push_str("&depends_on=");
            path.push_str(key);
        }
        let answer = self.call(Method::GET, &path, Bytes::new(), limit).await?;
        parse_page(&answer.body)
    }

    /// Reads the newest records of all keys; they may be of slightly different times.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub async fn latest_all(
        &self,
        partition: Partition<'_>,
        limit: Millis,
    ) -> Result<(Vec<LatestRecord>, u64), StoreError> {
        let mut page = self.latest(partition, None, limit).await?;
        let end = page.end;
        let mut all = std::mem::take(&mut page.items);
        while page.has_more {
            let Some(last) = all.last().map(|item| item.key.clone()) else { break };
            page = self.latest(partition, Some(&last), limit).await?;
            all.append(&mut page.items);
        }
        Ok((all, end))
    }
}

/// Reads a page of newest records. One that cannot be read does not hide the others.
///
/// # Errors
/// [`StoreError::Malformed`]: it is no page at all.
pub fn parse_page(body: &[u8]) -> Result<Page, StoreError> {
    let raw: RawPage<'_> = parse_json(body)?;
    let items = raw.items.into_iter().filter_map(|item| {
        let found = parse_latest(item.get());
        found.inspect_err(|err| log::warn!("event=item-unreadable error={err}")).ok()
    });
    Ok(Page { items: items.collect(), has_more: raw.has_more, end: raw.end })
}

fn parse_latest(item: &str) -> Result<LatestRecord, StoreError> {
    let raw: RawItem = parse_json(item.as_bytes())?;
    let value = BASE64_STANDARD.decode(&raw.value);
    let value = value.map_err(|err| StoreError::Malformed(err.to_string()))?;
    Ok(LatestRecord { key: raw.key, value })
}

fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|err| StoreError::Malformed(err.to_string()))
}

fn parse_problem(answer: &HttpResponse) -> StoreError {
    let raw: RawProblem = answer.json_or_default();
    match (answer.status, raw.reason.as_str()) {
        (StatusCode::PRECONDITION_FAILED, _) => StoreError::EndMismatch(raw.end),
        (StatusCode::CONFLICT, "fenced") => StoreError::Fenced,
        (StatusCode::CONFLICT, "seq") => StoreError::OutOfSequence,
        (StatusCode::GONE, _) => StoreError::Gone(raw.first),
        _ => StoreError::Refused(answer.status),
    }
}

/// Splits the raw answer to a read: the end, the first offset kept, then the records.
fn decode_records(mut body: Bytes, from: u64) -> Result<Records, StoreError> {
    const HEADER_BYTES: usize = 16;
    let truncated = || StoreError::Malformed("a read's answer is too short".to_string());
    if body.len() < HEADER_BYTES {
        return Err(truncated());
    }
    let end = body.get_u64();
    let first = body.get_u64();
    let mut records = Vec::new();
    let mut offset = from.max(first);
    while body.has_remaining() {
        if body.remaining() < 4 {
            return Err(truncated());
        }
        let len = body.get_u32() as usize;
        if body.remaining() < len {
            return Err(truncated());
        }
        records.push((offset, body.split_to(len)));
        offset += 1;
    }
    Ok(Records { end, records })
}
