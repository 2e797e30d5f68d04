//! The failure domain that serves a request, by the row's weights.
//!
//! The site with the highest weight serves all that reaches it; another one serves a share of its
//! requests in proportion to its weight and passes the rest on.

use crate::clock::Millis;
use crate::entry::Entry;
use crate::filter::{Classified, not_run};
use crate::id::{Name, hash};
use crate::table::Row;
use crate::wire::msg::{Ask, Forward, Forwarded, Reason, Refused, Run, Tell};
use std::collections::BTreeSet;

/// Callers come again after this long when no site can be reached.
const NO_SITE_RETRY: Millis = Millis(2_000);

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Site {
    /// This failure domain serves it.
    Here,
    /// Another one does.
    There(Name),
    /// None with weight can be reached.
    Nowhere,
}

/// Chooses by `seed` among this failure domain and the others that can be reached.
pub fn choose(row: &Row, here: &Name, others: &BTreeSet<Name>, seed: u64) -> Site {
    let own = row.domain_weight(here) as u64;
    let rated: Vec<(&Name, u64)> =
        others.iter().map(|d| (d, row.domain_weight(d) as u64)).collect();
    let most = rated.iter().map(|(_, weight)| *weight).max().unwrap_or(0).max(own);
    let sum: u64 = rated.iter().map(|(_, weight)| weight).sum();
    let (draw, rest) = (seed % 1000, seed / 1000);
    match () {
        _ if most == 0 => Site::Nowhere,
        _ if sum == 0 || draw * most < own * 1000 => Site::Here,
        _ => {
            let mut left = rest % sum;
            let there = rated.iter().find(|(_, weight)| {
                let hit = left < *weight;
                left = left.saturating_sub(*weight);
                hit
            });
            there.map_or(Site::Here, |(name, _)| Site::There((*name).clone()))
        }
    }
}

/// Passes the request on if another failure domain is to serve it.
///
/// # Errors
/// If none can, or the one chosen could not answer.
pub async fn apply(entry: &Entry, classified: &Classified) -> Result<Option<Forwarded>, Refused> {
    let seed = hash(&[classified.exchange.id.as_bytes()]);
    let others = entry.other_domains();
    match choose(&classified.row, &entry.settings.domain, &others, seed) {
        Site::Here => Ok(None),
        Site::Nowhere => Err(not_run(Reason::NoSite, Some(NO_SITE_RETRY))),
        Site::There(domain) => pass_on(entry, classified, &domain, seed).await.map(Some),
    }
}

async fn pass_on(
    entry: &Entry,
    classified: &Classified,
    domain: &str,
    seed: u64,
) -> Result<Forwarded, Refused> {
    let nowhere = || not_run(Reason::NoSite, Some(NO_SITE_RETRY));
    let (name, addr) = entry.entry_of(domain, seed).ok_or_else(nowhere)?;
    let left = classified.due.since(entry.now());
    let exchange = &classified.exchange;
    let forward = Forward {
        id: exchange.id.clone(),
        kind: exchange.kind.clone(),
        team: classified.row.team.clone(),
        key: exchange.key.clone(),
        repeat: exchange.repeat,
        left,
        headers: exchange.headers.clone(),
        body: exchange.body.to_vec(),
    };
    match entry.quic.ask(&name, addr, Ask::Forward(Box::new(forward)), left).await {
        Ok(Tell::Forwarded(Forwarded::Refused(refused))) => Err(refused),
        Ok(Tell::Forwarded(whole)) => Ok(whole),
        Err(err) if err.is_unsent() => Err(nowhere()),
        _ => Err(Refused { reason: Reason::Timeout, run: Run::Unknown, after: None }),
    }
}
