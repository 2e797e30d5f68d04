//! The filter that refuses requests that are too large or past their deadline.

use crate::entry::Entry;
use crate::filter::{ClassifiedRequest, not_run};
use crate::wire::msg::{Reason, RequestError};

/// Checks the size of the body and the deadline.
///
/// # Errors
/// If the body is too large or the deadline has passed.
pub fn apply(entry: &Entry, classified: &ClassifiedRequest) -> Result<(), RequestError> {
    match () {
        _ if classified.request.body.len() > entry.settings.max_body => {
            Err(not_run(Reason::TooLarge, None))
        }
        _ if entry.now() >= classified.deadline => Err(not_run(Reason::TooLate, None)),
        _ => Ok(()),
    }
}
