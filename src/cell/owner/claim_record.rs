//! The encoding of the records of the election.
//!
//! A record is followed by an [`Extension`], that by an [`OwnerState`], and that by a
//! [`ClaimantUpdate`]. Entries of older versions ignore the bytes behind what they know, and write
//! none.

use crate::cell::owner::claimants::ClaimantUpdate;
use crate::cell::owner::election::ElectionRecord;
use crate::clock::Millis;
use crate::id::Name;
use serde::{Deserialize, Serialize};

/// Information about a record in addition to its fields.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// The CPU of the owner that wrote the record, in millicores; 0 if unknown.
    pub cpu: u32,
    /// The entry that should claim the cell which the record gives up.
    pub successor: Option<Name>,
    /// The state of the owner that wrote the record; `None` if its version does not tell.
    #[serde(skip)]
    pub owner_state: Option<OwnerState>,
    /// The entries that may claim the cell as soon as the owner is silent. Only written together
    /// with `owner_state`.
    #[serde(skip)]
    pub claimants: ClaimantUpdate,
}

/// What an owner tells later owners in its records.
///
/// An owner that writes this state also keeps the record of leases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerState {
    /// The time on the owner's clock when the record was sent. Claims do not tell the time, because
    /// the claimant may find only later that it is the owner.
    pub clock: Option<Millis>,
    /// The state in which the owner left the cell, in records that give it up.
    pub left: Option<FinalState>,
}

/// The state in which an owner leaves the cell. The owner sends no start and renews no lease
/// afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalState {
    /// All starts are recorded in the store.
    pub has_complete_records: bool,
    /// When the last lease expires, on the owner's clock; `None` if the cell has no workers.
    pub last_lease_end: Option<Millis>,
}

/// Encodes a record and its extension.
///
/// # Errors
/// See [`postcard::to_stdvec`].
pub fn encode(record: &ElectionRecord, extension: &Extension) -> postcard::Result<Vec<u8>> {
    let mut bytes = postcard::to_stdvec(record)?;
    bytes.extend(postcard::to_stdvec(extension)?);
    if let Some(state) = extension.owner_state {
        bytes.extend(postcard::to_stdvec(&state)?);
        bytes.extend(postcard::to_stdvec(&extension.claimants)?);
    }
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
    let extension = decode_extension(rest).unwrap_or_else(|err| {
        log::warn!("event=claim-extension-unreadable bytes={} error={err:?}", rest.len());
        Extension::default()
    });
    Ok((record, extension))
}

fn decode_extension(bytes: &[u8]) -> postcard::Result<Extension> {
    let (extension, rest): (Extension, &[u8]) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        return Ok(extension);
    }
    let (state, rest): (OwnerState, &[u8]) = postcard::take_from_bytes(rest)?;
    let claimants = if rest.is_empty() { ClaimantUpdate::Any } else { postcard::from_bytes(rest)? };
    Ok(Extension { owner_state: Some(state), claimants, ..extension })
}
