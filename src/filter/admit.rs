//! Bounds on what is taken in at all.

use crate::entry::Entry;
use crate::filter::{Classified, not_run};
use crate::wire::msg::{Reason, Refused};

/// Checks the body's size and the time that is left.
///
/// # Errors
/// If the body is too large or the answer is due already.
pub fn apply(entry: &Entry, classified: &Classified) -> Result<(), Refused> {
    match () {
        _ if classified.exchange.body.len() > entry.settings.max_body => {
            Err(not_run(Reason::TooLarge, None))
        }
        _ if entry.now() >= classified.due => Err(not_run(Reason::TooLate, None)),
        _ => Ok(()),
    }
}
