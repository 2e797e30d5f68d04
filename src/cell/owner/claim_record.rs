//! The encoding of the records of the election.
//!
//! A record is followed by an [`Extension`]. Versions up to 0.13.0 ignore the bytes behind a record,
//! and write none.

use crate::cell::owner::election::ElectionRecord;
use crate::id::Name;
use serde::{Deserialize, Serialize};

/// What is known of a record in addition to its fields.
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

/// Decodes a record and its extension, which is empty if there is none or it is unreadable: a claim
/// counts in any case.
///
/// # Errors
/// See [`postcard::take_from_bytes`].
pub fn decode(bytes: &[u8]) -> postcard::Result<(ElectionRecord, Extension)> {
    let (record, rest) = postcard::take_from_bytes(bytes)?;
    Ok((record, postcard::from_bytes(rest).unwrap_or_default()))
}
