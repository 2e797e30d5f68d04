//! Authentication of callers by the bearer tokens in the settings.

use crate::filter::not_run;
use crate::id::Name;
use crate::settings::Token;
use crate::wire::msg::{Reason, RequestError};

/// An authenticated caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The token's name.
    pub name: Name,
    /// The team that the token belongs to; `None` for an operator.
    pub team: Option<Name>,
}

impl Caller {
    /// Whether this caller may act for `team`.
    pub fn may_act_for(&self, team: &str) -> bool {
        self.team.as_ref().is_none_or(|own| **own == *team)
    }
}

/// Looks up the caller that a token belongs to.
///
/// # Errors
/// If the token is missing or unknown.
pub fn apply(tokens: &[Token], given: Option<&str>) -> Result<Caller, RequestError> {
    let given = given.ok_or_else(|| not_run(Reason::Unauthorized, None))?;
    let known = tokens.iter().find(|token| constant_time_eq(&token.token, given));
    let token = known.ok_or_else(|| not_run(Reason::Unauthorized, None))?;
    let team = token.right.strip_prefix("team:").map(Name::from);
    Ok(Caller { name: token.name.clone(), team })
}

/// Compares all bytes even after a difference, so that response times reveal nothing about the
/// token.
fn constant_time_eq(known: &str, given: &str) -> bool {
    let pairs = known.bytes().zip(given.bytes());
    known.len() == given.len() && pairs.fold(0, |diff, (a, b)| diff | (a ^ b)) == 0
}
