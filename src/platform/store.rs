//! The client for the platform's store: append-only topics, some of which keep the latest record of each key.

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

/// The maximum size of the response to a read, in kilobytes. A quarter of a core decodes that within a few
/// milliseconds.
const MAX_READ_KB: u32 = 512;

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store rejected the request and did nothing.
    #[error("the store rejected the request with status {0}")]
    Refused(StatusCode),
    /// The store may or may not have carried out the request.
    #[error("no usable response from the store: {0}")]
    Unknown(HttpError),
    /// The partition's end differs from the offset that the append expects; the actual end is given.
    #[error("the partition ends at offset {0}, not where the append expects")]
    EndMismatch(u64),
    /// A producer with a higher epoch has written to the partition.
    #[error("a producer with a higher epoch has written to the partition")]
    Fenced,
    /// The sequence number isn't the next one of this producer.
    #[error("the sequence number of the append is not the next one")]
    OutOfSequence,
    /// The records have been deleted; the offset of the oldest remaining one is given.
    #[error("the records before offset {0} have been deleted")]
    Gone(u64),
    /// The response is malformed.
    #[error("malformed response from the store: {0}")]
    Malformed(String),
}

/// A partition of a topic.
#[derive(Debug, Clone, Copy)]
pub struct Partition<'a> {
    /// The topic.
    pub topic: &'a str,
    /// The number of the partition, from 0.
    pub index: u32,
}

/// The condition under which an append takes effect.
#[derive(Debug, Clone, Copy)]
pub enum Precondition<'a> {
    /// The partition must end at this offset.
    End(u64),
    /// No producer with a higher epoch may have written. A repeated call has no further effect.
    Producer {
        /// The producer's name.
        name: &'a str,
        /// The producer's epoch.
        epoch: u64,
        /// The sequence number of this call in the epoch.
        seq: u64,
    },
}

/// The response to an append.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Appended {
    /// The offset of the first appended record.
    pub offset: u64,
    /// The offset after the last appended record.
    pub end: u64,
}

/// The response to a read.
#[derive(Debug)]
pub struct Records {
    /// The offset after the partition's last record.
    pub end: u64,
    /// The records with their offsets.
    pub records: Vec<(u64, Bytes)>,
}

/// The latest record of a key.
#[derive(Debug)]
pub struct LatestRecord {
    /// The key.
    pub key: Name,
    /// The value; empty if the key was deleted.
    pub value: Vec<u8>,
}

/// A page of the latest records of all keys.
#[derive(Debug)]
pub struct Page {
    /// The records.
    pub items: Vec<LatestRecord>,
    /// Whether there are more pages.
    pub has_more: bool,
    /// The offset after the partition's last record.
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

/// A client for the store.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    addr: Name,
}

/// Adds a record of a plain topic to the body of an append: its length and the data.
pub fn encode_record(body: &mut BytesMut, data: &[u8]) {
    body.put_u32(data.len() as u32);
    body.put_slice(data);
}

/// Adds a record of a keyed topic to the body of an append. An empty value deletes the key.
pub fn encode_keyed(body: &mut BytesMut, key: &str, value: &[u8]) {
    body.put_u32((1 + key.len() + value.len()) as u32);
    body.put_u8(key.len() as u8);
    body.put_slice(key.as_bytes());
    body.put_slice(value);
}

/// Splits a record of a keyed topic into its key and its value; `None` if it is malformed. Readers skip malformed
/// records, so that one doesn't hide the others.
pub fn decode_keyed(record: &Bytes) -> Option<(Name, Bytes)> {
    let decode = || -> Result<(Name, Bytes), String> {
        let len = usize::from(*record.first().ok_or("the record is empty")?);
        let key = record.get(1..1 + len).ok_or("the record is shorter than its key")?;
        let key = std::str::from_utf8(key).map_err(|err| err.to_string())?;
        Ok((key.into(), record.slice(1 + len..)))
    };
    decode().inspect_err(|err| log::warn!("event=keyed-record-malformed error={err:?}")).ok()
}

impl StoreClient {
    /// Creates a client for the store at `addr`.
    pub fn new(http: HttpClient, addr: Name) -> Self {
        Self { http, addr }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Millis,
    ) -> Result<HttpResponse, StoreError> {
        let malformed = |err: &dyn std::fmt::Display| StoreError::Malformed(err.to_string());
        let uri = uri(&self.addr, path).map_err(|err| malformed(&err))?;
        let request = Request::builder().method(method).uri(uri).body(Full::from(body));
        let request = request.map_err(|err| malformed(&err))?;
        let response = self.http.send(&self.addr, request, timeout).await;
        let response = response.map_err(StoreError::Unknown)?;
        match response.status {
            status if status.is_success() => Ok(response),
            _ => Err(parse_problem(&response)),
        }
    }

    /// Appends records, all of them or none.
    ///
    /// # Errors
    /// [`StoreError::Unknown`] if the records may have been appended.
    pub async fn append(
        &self,
        partition: Partition<'_>,
        precondition: Precondition<'_>,
        body: Bytes,
        timeout: Millis,
    ) -> Result<Appended, StoreError> {
        let Partition { topic, index } = partition;
        let path = match precondition {
            Precondition::End(end) => format!("/log-append?topic={topic}&part={index}&as_of={end}"),
            Precondition::Producer { name, epoch, seq } => format!(
                "/log-append?topic={topic}&part={index}&producer={name}&epoch={epoch}&seq={seq}"
            ),
        };
        let response = self.call(Method::POST, &path, body, timeout).await?;
        parse_json(&response.body)
    }

    /// Reads records from an offset on. Waits up to `wait` for a record if there is none.
    ///
    /// # Errors
    /// [`StoreError::Gone`] if the records at the offset have been deleted.
    pub async fn read(
        &self,
        partition: Partition<'_>,
        from: u64,
        wait: Millis,
        timeout: Millis,
    ) -> Result<Records, StoreError> {
        let Partition { topic, index } = partition;
        let path = format!(
            "/log-read?topic={topic}&part={index}&from={from}&max_kb={MAX_READ_KB}&wait_ms={wait}"
        );
        let response = self.call(Method::GET, &path, Bytes::new(), timeout).await?;
        decode_records(response.body, from)
    }

    /// Reads a page of the latest records of all keys, from the key following `after`.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub async fn latest(
        &self,
        partition: Partition<'_>,
        after: Option<&str>,
        timeout: Millis,
    ) -> Result<Page, StoreError> {
        let Partition { topic, index } = partition;
        let mut path = format!("/log-newest?topic={topic}&part={index}");
        if let Some(key) = after {
            // The platform uses the name of a step's dependencies for the key to continue after.
            path.push_str("&depends_on=");
            path.push_str(key);
        }
        let response = self.call(Method::GET, &path, Bytes::new(), timeout).await?;
        parse_page(&response.body)
    }

    /// Reads all pages of the latest records of all keys, and the end of the partition as of the first page. Later
    /// pages may contain newer records.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub async fn latest_all(
        &self,
        partition: Partition<'_>,
        timeout: Millis,
    ) -> Result<(Vec<LatestRecord>, u64), StoreError> {
        let mut page = self.latest(partition, None, timeout).await?;
        let end = page.end;
        let mut all = std::mem::take(&mut page.items);
        while page.has_more {
            let Some(last) = all.last().map(|item| item.key.clone()) else { break };
            page = self.latest(partition, Some(&last), timeout).await?;
            all.append(&mut page.items);
        }
        Ok((all, end))
    }
}

/// Decodes a page of latest records. Malformed records are skipped, so that one doesn't hide the others.
///
/// # Errors
/// [`StoreError::Malformed`] if the body isn't a page.
pub fn parse_page(body: &[u8]) -> Result<Page, StoreError> {
    let raw: RawPage<'_> = parse_json(body)?;
    let items = raw.items.into_iter().filter_map(|item| {
        let decoded = parse_latest(item.get());
        decoded.inspect_err(|err| log::warn!("event=latest-record-malformed error={err}")).ok()
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

/// Maps an unsuccessful response to an error.
fn parse_problem(response: &HttpResponse) -> StoreError {
    let raw: RawProblem = response.json_or_default();
    match (response.status, raw.reason.as_str()) {
        (StatusCode::PRECONDITION_FAILED, _) => StoreError::EndMismatch(raw.end),
        (StatusCode::CONFLICT, "fenced") => StoreError::Fenced,
        (StatusCode::CONFLICT, "seq") => StoreError::OutOfSequence,
        (StatusCode::GONE, _) => StoreError::Gone(raw.first),
        _ => StoreError::Refused(response.status),
    }
}

/// Decodes the binary response to a read: the partition's end, its first remaining offset, then the records.
fn decode_records(mut body: Bytes, from: u64) -> Result<Records, StoreError> {
    const HEADER_BYTES: usize = 16;
    let truncated = || StoreError::Malformed("the response to a read is truncated".to_string());
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
