//! Limits of the whole cell, divided over shards: a row's limit on running tasks, and a team's
//! quota of processors.
//!
//! One shard is *home* to each limit. Its owner lends parts of the limit to the owners of all
//! shards. A part has no end in time, since the tasks that it was used for go on: a shard that
//! cannot be reached keeps what it has. What a shard may use in any case, the *floor*, is never
//! lent to others, so a failure domain that is cut off can still start something.
//!
//! The loans are not replicated: a new home lends no more than is held until every shard has told
//! it what it holds. A question names the epoch of the home and the number of shards that its asker
//! knows; an asker that has once asked a later home takes nothing from an earlier one, so no time
//! has to pass for this to be safe.

use crate::id::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The floors of all shards together are one part in this many of a limit.
const GUARANTEE_DIVISOR: u64 = 2;
/// A shard wants this part more than it needs, so that the next task finds room at once.
const HEADROOM_DIVISOR: u64 = 4;

/// What is limited in the whole cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Limit {
    /// Running tasks of a kind.
    Row(Name),
    /// Processors of a team, in thousandths of a core.
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

/// What a shard says of one limit when it asks its home for a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The limit.
    pub limit: Limit,
    /// The part that it holds.
    pub held: u64,
    /// What is in use of it.
    pub used: u64,
    /// What is in use and what waits.
    pub need: u64,
    /// The least that is of use beyond what is used.
    pub step: u64,
}

/// A shard's question to a home: all limits of that home of which it holds or needs a part. A shard
/// has one question under way at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRequest {
    /// The shard that asks.
    pub shard: Name,
    /// Its epoch.
    pub epoch: u64,
    /// Its number; a later one in the same epoch is higher.
    pub seq: u64,
    /// The home's epoch, as the asker knows it.
    pub home: u64,
    /// The shards that the asker knows; they decide which shard is home to what.
    pub shards: usize,
    /// The parts.
    pub asks: Vec<ShareRequest>,
}

impl ShareRequest {
    /// A part that holds whole steps, the next one above `part`.
    fn steps_up(&self, part: u64) -> u64 {
        self.used + part.saturating_sub(self.used).next_multiple_of(self.step.max(1))
    }

    /// A part that holds whole steps, the next one below `part`, unless that is all it needs.
    fn steps_down(&self, part: u64) -> u64 {
        let spare = part.saturating_sub(self.used);
        if part >= self.need { part } else { part - spare % self.step.max(1) }
    }
}

/// What a shard needs of one limit now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Need {
    /// The limit.
    pub limit: Limit,
    /// The limit in the whole cell.
    pub whole: u64,
    /// In use.
    pub used: u64,
    /// What waits for it.
    pub waiting: u64,
    /// The least that something that waits needs.
    pub step: u64,
}

/// The part of a limit that each of `shards` may use in any case.
fn guaranteed_share(whole: u64, shards: usize) -> u64 {
    whole / GUARANTEE_DIVISOR / shards.max(1) as u64
}

/// A part that is held.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    amount: u64,
    /// Given back, but its home has not answered since: it may still count it as lent.
    returned: bool,
}

/// What a shard gets while there is enough for all: its need and some to spare.
fn with_headroom(need: u64, least: u64, whole: u64) -> u64 {
    (need + (need / HEADROOM_DIVISOR).max(least)).min(whole.max(need))
}

/// The borrower's side: the parts that one shard holds.
#[derive(Debug)]
pub struct LimitShares {
    shards: usize,
    held: BTreeMap<Limit, Share>,
}

impl LimitShares {
    /// The parts of one of `shards`, none lent yet.
    pub fn new(shards: usize) -> Self {
        Self { shards, held: BTreeMap::new() }
    }

    /// The number of shards in the cell changed.
    pub fn set_shards(&mut self, shards: usize) {
        self.shards = shards;
    }

    /// What may be in use of a limit here.
    pub fn allowed(&self, limit: &Limit, whole: u64) -> u64 {
        let held = self.held.get(limit).map_or(0, |part| part.amount);
        held.max(guaranteed_share(whole, self.shards)).min(whole)
    }

    /// The question to the homes. What is not needed any more is given back first: nothing above
    /// `held` is used from here on.
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

    /// Takes what a home lent; `true` if something grew.
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

/// One shard's part of a limit, as its home knows it.
#[derive(Debug, Clone, Copy, Default)]
struct GrantedShare {
    /// At most this much is held.
    lent: u64,
    need: u64,
}

/// The home's side: who holds which part.
#[derive(Debug)]
pub struct LimitPool {
    epoch: u64,
    /// Shards that said what they hold, with the number of shards that they knew.
    known_counts: BTreeMap<Name, usize>,
    /// The last question of each shard: its epoch and number.
    last: BTreeMap<Name, (u64, u64)>,
    loans: BTreeMap<Limit, BTreeMap<Name, GrantedShare>>,
}

impl LimitPool {
    /// The pool of an owner of the home in `epoch`.
    pub fn new(epoch: u64) -> Self {
        let (known_counts, last, loans) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { epoch, known_counts, last, loans }
    }

    /// The same owner goes on in a later epoch.
    pub fn renew(&mut self, epoch: u64) {
        self.epoch = epoch;
    }

    /// Answers a question; `None` if it is for another home, or a later one was answered. `known`
    /// is the number of shards that the home knows, `shards` are those that may hold parts, `whole`
    /// says a limit's size.
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

    /// A shard holds nothing of limits that it does not name, and a shard that is gone nothing at
    /// all.
    fn forget(&mut self, shard: &Name, asks: &[ShareRequest], shards: &BTreeSet<Name>) {
        for (limit, loans) in &mut self.loans {
            loans.retain(|other, _| shards.contains(other));
            if !asks.iter().any(|ask| ask.limit == *limit) {
                loans.remove(shard);
            }
        }
        self.loans.retain(|_, loans| !loans.is_empty());
    }

    /// Decides on a part and keeps it as lent. `certain` is whether all that others hold is known.
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

/// The most that each may have so that all needs, cut to it, are no more than `whole`; `None` if
/// there is enough for all.
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
