//! Bounds on what is taken in at all.

use crate::entry::Entry;
use crate::filter::{ClassifiedRequest, not_run};
use crate::wire::msg::{Reason, RequestError};

/// Checks the body's size and the time that is left.
///
/// # Errors
/// If the body is too large or the answer is due already.
pub fn apply(entry: &Entry, classified: &ClassifiedRequest) -> Result<(), RequestError> {
    match () {
        _ if classified.request.body.len() > entry.settings.max_body => {
            Err(not_run(Reason::TooLarge, None))
        }
        _ if entry.now() >= classified.deadline => Err(not_run(Reason::TooLate, None)),
        _ => Ok(()),
    }
}
