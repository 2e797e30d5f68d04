//! The encoding of the records of the election.
//!
//! A record is followed by an [`Extension`]. Entries whose version has no extensions ignore the bytes
//! behind a record, and write none.

use crate::cell::owner::election::ElectionRecord;
use crate::id::Name;
use serde::{Deserialize, Serialize};

/// Information about a record in addition to its fields.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// The CPU of the owner that wrote the record, in millicores; 0 if unknown.
    pub cpu: u32,
    /// The entry that should claim the cell which the record gives up.
    pub successor: Option<Name>,
}

/// Encodes a record and its extension.
///
/// # Errors
/// See [`postcard::to_stdvec`].
pub fn encode(record: &ElectionRecord, extension: &Extension) -> postcard::Result<Vec<u8>> {
    let mut bytes = postcard::to_stdvec(record)?;
    bytes.extend(postcard::to_stdvec(extension)?);
    Ok(bytes)
}

/// Decodes a record and its extension. The extension is empty if there is none, or if it is
/// unreadable: a claim counts in any case, as its epoch fences the owners before it.
///
/// # Errors
/// See [`postcard::take_from_bytes`].
pub fn decode(bytes: &[u8]) -> postcard::Result<(ElectionRecord, Extension)> {
    let (record, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        return Ok((record, Extension::default()));
    }
    let extension = postcard::from_bytes(rest).unwrap_or_else(|err| {
        log::warn!("event=claim-extension-unreadable bytes={} error={err:?}", rest.len());
        Extension::default()
    });
    Ok((record, extension))
}
