//! The filter that chooses the failure domain that serves a request, by the weights in the row.
//!
//! The failure domain with the highest weight serves every request that it receives. Any other one
//! serves a share of the requests that it receives, its own weight divided by the highest weight,
//! and forwards the rest.

use crate::clock::Millis;
use crate::entry::Entry;
use crate::filter::{ClassifiedRequest, not_run};
use crate::id::{Name, hash};
use crate::table::Row;
use crate::wire::msg::{
    Executed, ForwardedRequest, ForwardedResponse, PeerRequest, PeerResponse, Reason, RequestError,
};
use std::collections::BTreeSet;

/// The `Retry-After` delay while no failure domain with a weight above zero can be reached.
const NO_DOMAIN_RETRY: Millis = Millis(2_000);

/// The failure domain that is to serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Destination {
    /// The failure domain of this entry.
    Local,
    /// Another failure domain.
    Remote(Name),
    /// No failure domain with a weight above zero can be reached.
    Unreachable,
}

/// Chooses among this failure domain and the other reachable ones; `seed` stands in for a random
/// number.
pub fn choose(row: &Row, here: &Name, others: &BTreeSet<Name>, seed: u64) -> Destination {
    let own_weight = row.domain_weight(here) as u64;
    let weights: Vec<(&Name, u64)> =
        others.iter().map(|domain| (domain, row.domain_weight(domain) as u64)).collect();
    let max_weight = weights.iter().map(|(_, weight)| *weight).max().unwrap_or(0).max(own_weight);
    let total_weight: u64 = weights.iter().map(|(_, weight)| weight).sum();
    let (permille, rest) = (seed % 1000, seed / 1000);
    match () {
        _ if max_weight == 0 => Destination::Unreachable,
        _ if total_weight == 0 || permille * max_weight < own_weight * 1000 => Destination::Local,
        _ => {
            let mut offset = rest % total_weight;
            let chosen = weights.iter().find(|(_, weight)| {
                let hit = offset < *weight;
                offset = offset.saturating_sub(*weight);
                hit
            });
            chosen.map_or(Destination::Local, |(name, _)| Destination::Remote((*name).clone()))
        }
    }
}

/// Forwards the request if another failure domain is to serve it; `None` if this one is.
///
/// # Errors
/// If no failure domain can serve the request, or the chosen one refuses it or does not respond.
pub async fn apply(
    entry: &Entry,
    classified: &ClassifiedRequest,
) -> Result<Option<ForwardedResponse>, RequestError> {
    let seed = hash(&[classified.request.id.as_bytes()]);
    let others = entry.other_domains();
    match choose(&classified.row, &entry.settings.domain, &others, seed) {
        Destination::Local => Ok(None),
        Destination::Unreachable => Err(not_run(Reason::NoSite, Some(NO_DOMAIN_RETRY))),
        Destination::Remote(domain) => {
            forward_request(entry, classified, &domain, seed).await.map(Some)
        }
    }
}

async fn forward_request(
    entry: &Entry,
    classified: &ClassifiedRequest,
    domain: &str,
    seed: u64,
) -> Result<ForwardedResponse, RequestError> {
    let unreachable = || not_run(Reason::NoSite, Some(NO_DOMAIN_RETRY));
    let (name, addr) = entry.entry_in_domain(domain, seed).ok_or_else(unreachable)?;
    let remaining = classified.deadline.since(entry.now());
    let request = &classified.request;
    let forwarded = ForwardedRequest {
        id: request.id.clone(),
        kind: request.kind.clone(),
        team: classified.row.team.clone(),
        key: request.key.clone(),
        may_repeat: request.may_repeat,
        remaining,
        headers: request.headers.clone(),
        body: request.body.to_vec(),
    };
    match entry
        .quic
        .request(&name, addr, PeerRequest::Forward(Box::new(forwarded)), remaining)
        .await
    {
        Ok(PeerResponse::Forwarded(ForwardedResponse::Refused(refused))) => Err(refused),
        Ok(PeerResponse::Forwarded(response)) => Ok(response),
        Err(err) if err.is_unsent() => Err(unreachable()),
        _ => Err(RequestError { reason: Reason::Timeout, run: Executed::Unknown, after: None }),
    }
}
