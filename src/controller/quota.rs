//! Limits of the cell, divided over its shards: a row's limit on running tasks, and a team's quota
//! of processors.
//!
//! Each limit has one *home* shard, whose owner grants shares of the limit to the owners of all
//! shards. A share does not expire, since the tasks that use it keep running: a shard that cannot
//! be reached keeps its share. The *guaranteed share* of a shard is never granted to others, so a
//! failure domain that is cut off can still start tasks.
//!
//! Grants are not replicated. A new owner of a home shard grants no more than each shard already
//! holds until every shard has reported its shares. A request names the epoch of the home and the
//! number of shards that the requester knows. A requester that has asked a later owner of the home
//! accepts nothing from an earlier one, so this is safe without waiting for any time to pass.

use crate::id::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The guaranteed shares of all shards together are the limit divided by this.
const GUARANTEE_DIVISOR: u64 = 2;
/// A shard gets its need divided by this on top of its need, so that the next task can start at
/// once.
const HEADROOM_DIVISOR: u64 = 4;

/// A limit that applies to the whole cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Limit {
    /// The number of running tasks of a kind.
    Row(Name),
    /// The processors used by a team, in thousandths of a core.
    Team(Name),
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Row(kind) => write!(f, "row/{kind}"),
            Self::Team(team) => write!(f, "team/{team}"),
        }
    }
}

/// A shard's request for a share of one limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The limit.
    pub limit: Limit,
    /// The share that the shard holds.
    pub held: u64,
    /// How much of the share is in use.
    pub used: u64,
    /// How much is in use and waited for.
    pub need: u64,
    /// The smallest useful increase, which one waiting task or gang needs.
    pub step: u64,
}

/// A shard's request to one home, with all limits of that home of which it holds or needs a share.
/// A shard has one request to a home in progress at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRequest {
    /// The requesting shard.
    pub shard: Name,
    /// The epoch of the requesting shard's owner.
    pub epoch: u64,
    /// The number of the request, which grows within the epoch.
    pub seq: u64,
    /// The epoch of the home shard, as the requester knows it.
    pub home: u64,
    /// The number of shards that the requester knows. The known shards decide which one is home to
    /// which limit.
    pub shards: usize,
    /// The requests, one for each limit.
    pub asks: Vec<ShareRequest>,
}

impl ShareRequest {
    /// Rounds `part` up so that the unused rest is a multiple of `step`.
    fn steps_up(&self, part: u64) -> u64 {
        self.used + part.saturating_sub(self.used).next_multiple_of(self.step.max(1))
    }

    /// Rounds `part` down so that the unused rest is a multiple of `step`, unless it covers the
    /// need.
    fn steps_down(&self, part: u64) -> u64 {
        let spare = part.saturating_sub(self.used);
        if part >= self.need { part } else { part - spare % self.step.max(1) }
    }
}

/// A shard's present need of one limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Need {
    /// The limit.
    pub limit: Limit,
    /// The limit of the whole cell.
    pub whole: u64,
    /// How much is in use.
    pub used: u64,
    /// How much waiting tasks need.
    pub waiting: u64,
    /// The smallest amount that a waiting task or gang needs.
    pub step: u64,
}

/// The share of a limit that each of `shards` may always use.
fn guaranteed_share(whole: u64, shards: usize) -> u64 {
    whole / GUARANTEE_DIVISOR / shards.max(1) as u64
}

/// A share that this shard holds.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    amount: u64,
    /// Whether it was given back, but the home has not confirmed that yet and may still count it as
    /// held.
    returned: bool,
}

/// The share that a shard gets while the limit is large enough for all: its need plus headroom.
fn with_headroom(need: u64, least: u64, whole: u64) -> u64 {
    (need + (need / HEADROOM_DIVISOR).max(least)).min(whole.max(need))
}

/// The requesting side: the shares that one shard holds.
#[derive(Debug)]
pub struct LimitShares {
    shards: usize,
    held: BTreeMap<Limit, Share>,
}

impl LimitShares {
    /// Creates the shares of one of `shards` shards, with none granted yet.
    pub fn new(shards: usize) -> Self {
        Self { shards, held: BTreeMap::new() }
    }

    /// Sets the number of shards in the cell.
    pub fn set_shards(&mut self, shards: usize) {
        self.shards = shards;
    }

    /// How much of a limit this shard may use.
    pub fn allowed(&self, limit: &Limit, whole: u64) -> u64 {
        let held = self.held.get(limit).map_or(0, |part| part.amount);
        held.max(guaranteed_share(whole, self.shards)).min(whole)
    }

    /// The requests to the homes. Gives back what is no longer needed first: from here on the shard
    /// uses no more than the `held` of each request.
    pub fn share_requests(&mut self, needs: &[Need]) -> Vec<ShareRequest> {
        let unneeded = |limit: &Limit| !needs.iter().any(|need| need.limit == *limit);
        let mut asks = Vec::with_capacity(needs.len());
        for (limit, part) in self.held.iter_mut().filter(|(limit, _)| unneeded(limit)) {
            *part = Share { amount: 0, returned: true };
            asks.push(ShareRequest { limit: limit.clone(), held: 0, used: 0, need: 0, step: 1 });
        }
        asks.extend(needs.iter().map(|need| self.share_request(need)));
        asks
    }

    fn share_request(&mut self, need: &Need) -> ShareRequest {
        let least = guaranteed_share(need.whole, self.shards);
        let all = need.used + need.waiting.min(need.whole);
        let before = self.allowed(&need.limit, need.whole);
        let held = before.min(with_headroom(all, least, need.whole)).max(need.used);
        self.held.insert(need.limit.clone(), Share { amount: held, returned: false });
        ShareRequest {
            limit: need.limit.clone(),
            held,
            used: need.used,
            need: all,
            step: need.step,
        }
    }

    /// Applies the shares that a home granted; returns whether any share grew.
    pub fn apply_grants(&mut self, parts: &[(Limit, u64)], used: impl Fn(&Limit) -> u64) -> bool {
        let mut grew = false;
        for (limit, amount) in parts {
            match self.held.get_mut(limit) {
                Some(part) if part.returned => drop(self.held.remove(limit)),
                Some(part) => {
                    let amount = (*amount).max(used(limit));
                    grew |= amount > part.amount;
                    part.amount = amount;
                }
                None => {}
            }
        }
        grew
    }
}

/// One shard's share of a limit, as its home knows it.
#[derive(Debug, Clone, Copy, Default)]
struct GrantedShare {
    /// The most that the shard may hold.
    lent: u64,
    need: u64,
}

/// The home's side: which shard holds which share.
#[derive(Debug)]
pub struct LimitPool {
    epoch: u64,
    /// The shards that have reported their shares, with the number of shards that each knew.
    known_counts: BTreeMap<Name, usize>,
    /// The epoch and number of the last request of each shard.
    last: BTreeMap<Name, (u64, u64)>,
    loans: BTreeMap<Limit, BTreeMap<Name, GrantedShare>>,
}

impl LimitPool {
    /// Creates the pool of the home's owner in `epoch`.
    pub fn new(epoch: u64) -> Self {
        let (known_counts, last, loans) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { epoch, known_counts, last, loans }
    }

    /// Continues under the same owner in a later epoch.
    pub fn renew(&mut self, epoch: u64) {
        self.epoch = epoch;
    }

    /// Answers a request; `None` if it is for another epoch of the home, or the same or a later
    /// request was answered before. `known` is the number of shards that the home knows, `shards`
    /// are those that may hold shares, and `whole` returns the size of a limit.
    pub fn grant(
        &mut self,
        question: &HomeRequest,
        known: usize,
        shards: &BTreeSet<Name>,
        whole: impl Fn(&Limit) -> u64,
    ) -> Option<Vec<(Limit, u64)>> {
        let HomeRequest { shard, asks, .. } = question;
        let number = (question.epoch, question.seq);
        if question.home != self.epoch || self.last.get(shard).is_some_and(|at| *at >= number) {
            return None;
        }
        self.last.insert(shard.clone(), number);
        self.known_counts.insert(shard.clone(), question.shards);
        self.forget(shard, asks, shards);
        let certain = shards.iter().all(|shard| self.known_counts.get(shard) == Some(&known));
        let grant = |ask: &ShareRequest| {
            let part = self.part(shard, ask, shards.len(), whole(&ask.limit), certain);
            (ask.limit.clone(), part)
        };
        Some(asks.iter().map(grant).collect())
    }

    /// Drops the grants of limits that a shard's request does not name, and of shards that no
    /// longer exist.
    fn forget(&mut self, shard: &Name, asks: &[ShareRequest], shards: &BTreeSet<Name>) {
        for (limit, loans) in &mut self.loans {
            loans.retain(|other, _| shards.contains(other));
            if !asks.iter().any(|ask| ask.limit == *limit) {
                loans.remove(shard);
            }
        }
        self.loans.retain(|_, loans| !loans.is_empty());
    }

    /// Decides on a shard's share and records it. `certain` tells whether the shares of all other
    /// shards are known; otherwise a share grows up to the guaranteed one only.
    fn part(
        &mut self,
        shard: &Name,
        ask: &ShareRequest,
        shards: usize,
        whole: u64,
        certain: bool,
    ) -> u64 {
        let least = guaranteed_share(whole, shards);
        let loans = self.loans.entry(ask.limit.clone()).or_default();
        let others = || loans.iter().filter(|(other, _)| *other != shard).map(|(_, loan)| loan);
        let silent = shards.saturating_sub(others().count() + 1) as u64 * least;
        let taken = others().map(|loan| loan.lent.max(least)).sum::<u64>() + silent;
        let needs = others().map(|loan| loan.need).chain([ask.need]);
        let needs: Vec<u64> = needs.map(|need| need.max(least)).collect();
        let spare = whole.saturating_sub(silent + needs.iter().sum::<u64>());
        let wish = match fair_cap(needs, whole.saturating_sub(silent)) {
            _ if !certain => ask.held,
            None => with_headroom(ask.need, least, whole).min(ask.need + spare / shards as u64),
            Some(most) => ask.need.min(ask.steps_up(most)),
        };
        let part = ask.steps_down(wish.min(whole.saturating_sub(taken))).max(least);
        loans.insert(shard.clone(), GrantedShare { lent: part.max(ask.held), need: ask.need });
        part
    }
}

/// The cap on each need under which all needs together fit into `whole` (max-min fairness); `None`
/// if they fit without a cap.
fn fair_cap(mut needs: Vec<u64>, whole: u64) -> Option<u64> {
    needs.sort_unstable();
    let mut left = whole;
    for (index, need) in needs.iter().enumerate() {
        let rest = (needs.len() - index) as u64;
        if *need > left / rest {
            return Some(left.div_ceil(rest));
        }
        left -= need;
    }
    None
}
