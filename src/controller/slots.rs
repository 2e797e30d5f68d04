//! Slots of runners. The owner of a shard lends them to the entries of its failure domain, and each
//! entry assigns them to its waiting requests.
//!
//! At the entry a lease counts from its request, at the owner from the answer, so it expires at the
//! entry first. The owner counts a lease for [`OWNERSHIP_PROOF_TTL`] longer, since the entry may
//! have renewed it with a new owner of which this one does not know yet. An entry whose lease
//! expired keeps [`GUARANTEED_SLOTS`] slots of each runner, which the owner lends to no other entry
//! as long as this one may exist.

use crate::clock::Millis;
use crate::id::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How long an entry may use lent slots without renewing their lease.
pub const SLOT_LEASE: Millis = Millis(10_000);
/// How recent the proof must be that an owner still owns its shard, for it to lend slots.
pub const OWNERSHIP_PROOF_TTL: Millis = Millis(3_000);
/// The number of slots of each runner that an entry may use after its lease expired.
const GUARANTEED_SLOTS: u32 = 1;
/// A runner that could not be reached gets no requests for this long.
const UNREACHABLE_BACKOFF: Millis = Millis(1_000);
/// A request of weight 0 ranks as if it had arrived this much later, in milliseconds; others are
/// delayed less.
const LOW_WEIGHT_DELAY_MS: u64 = 5_000;
/// The weight of earlier requests in the mean service time, in eighths.
const MEAN_PAST_WEIGHT: u64 = 7;

/// The slots of one runner that an entry holds, as reported in its request for slots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUsage {
    /// The runner.
    pub runner: Name,
    /// Slots held under a lease.
    pub held: u32,
    /// Slots in use.
    pub used: u32,
}

/// Slots of one runner lent to one entry.
#[derive(Debug, Clone, Copy)]
struct SlotLoan {
    count: u32,
    until: Millis,
}

/// The owner's side: which entry holds how many slots of each runner of the shard.
#[derive(Debug)]
pub struct SlotLender {
    since: Millis,
    runners: BTreeMap<Name, u32>,
    loans: BTreeMap<(Name, Name), SlotLoan>,
    waiting_entries: BTreeSet<Name>,
    entries: BTreeSet<Name>,
}

impl SlotLender {
    /// Creates a lender that starts at `now`. Until every lease of its predecessor has expired, it
    /// only renews the slots that entries hold already.
    pub fn new(now: Millis) -> Self {
        Self {
            since: now,
            runners: BTreeMap::new(),
            loans: BTreeMap::new(),
            waiting_entries: BTreeSet::new(),
            entries: BTreeSet::new(),
        }
    }

    /// Creates a lender for a shard that never had an owner, so that no entry can hold slots.
    pub fn first() -> Self {
        Self::new(Millis(0))
    }

    /// Sets the runners of the shard with their numbers of slots.
    pub fn set_runners(&mut self, runners: BTreeMap<Name, u32>) {
        self.loans.retain(|(runner, _), _| runners.contains_key(runner));
        self.runners = runners;
    }

    /// Sets the entries of the failure domain. Each may use [`GUARANTEED_SLOTS`] slots of each
    /// runner, even if it never asked for slots.
    pub fn set_entries(&mut self, entries: BTreeSet<Name>) {
        self.entries = entries;
    }

    /// Frees the slots of an entry whose VM no longer exists.
    pub fn gone(&mut self, entry: &Name) {
        self.entries.remove(entry);
        self.waiting_entries.remove(entry);
        self.loans.retain(|(_, holder), _| holder != entry);
    }

    /// Lends slots to `entry`, at which `waiting` requests have no slot, and returns the number for
    /// each runner. The slots that the entry reports as held stay counted until it reports fewer,
    /// because the answer may be lost.
    pub fn lend(
        &mut self,
        now: Millis,
        entry: &Name,
        uses: &[SlotUsage],
        waiting: u32,
    ) -> Vec<(Name, u32)> {
        self.entries.insert(entry.clone());
        match waiting {
            0 => drop(self.waiting_entries.remove(entry)),
            _ => drop(self.waiting_entries.insert(entry.clone())),
        }
        let runners: Vec<(Name, u32)> = self.runners.iter().map(|(n, s)| (n.clone(), *s)).collect();
        let mut lent = Vec::with_capacity(runners.len());
        for (runner, total) in runners {
            let said = uses.iter().find(|said| said.runner == runner);
            let (held, used) = said.map_or((0, 0), |said| (said.held, said.used));
            let count = self.count(now, entry, &runner, total, held, used, waiting);
            let until = now + SLOT_LEASE + OWNERSHIP_PROOF_TTL;
            let loan = SlotLoan { count: count.max(held).max(used), until };
            self.loans.insert((runner.clone(), entry.clone()), loan);
            lent.push((runner, count));
        }
        lent
    }

    #[expect(clippy::too_many_arguments, reason = "one loan has that many sides")]
    fn count(
        &self,
        now: Millis,
        entry: &Name,
        runner: &Name,
        total: u32,
        held: u32,
        used: u32,
        waiting: u32,
    ) -> u32 {
        let others: u32 = self
            .entries
            .iter()
            .filter(|e| *e != entry)
            .map(|other| self.held(now, runner, other))
            .sum();
        let free = total.saturating_sub(others);
        if now.since(self.since) < SLOT_LEASE + OWNERSHIP_PROOF_TTL {
            return held.min(free);
        }
        let fair = total.div_ceil(self.entries.len().max(1) as u32);
        let rivals = self.waiting_entries.iter().any(|other| other != entry);
        let want = match waiting {
            0 if rivals => used.max(GUARANTEED_SLOTS),
            0 => fair.max(used + GUARANTEED_SLOTS),
            _ if rivals => fair.max(used),
            _ => total,
        };
        want.min(free).max(used.min(free))
    }

    /// The number of slots of a runner that an entry may be using.
    fn held(&self, now: Millis, runner: &Name, entry: &Name) -> u32 {
        match self.loans.get(&(runner.clone(), entry.clone())) {
            Some(loan) if loan.until > now => loan.count.max(GUARANTEED_SLOTS),
            _ => GUARANTEED_SLOTS,
        }
    }
}

/// A runner with the slots that this entry holds and uses there.
#[derive(Debug, Clone)]
struct Runner {
    shard: Name,
    lent: u32,
    until: Millis,
    used: u32,
    leaving: bool,
    backoff_until: Millis,
}

/// A request that asks for a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Identifies the request within the entry.
    pub id: u64,
    /// The kind of work.
    pub kind: Name,
    /// The row's weight.
    pub weight: u32,
    /// The largest number of requests of the kind that may be at runners at the same time.
    pub limit: u32,
    /// The largest number of requests of the kind that may wait at this entry.
    pub queue: u32,
    /// When it arrived.
    pub came: Millis,
    /// When its answer is due.
    pub due: Millis,
}

/// The decision on a request that asked for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request has a slot and is sent to this runner.
    Go { id: u64, runner: Name },
    /// The request waits for a slot.
    Wait,
    /// The request is rejected; the caller should retry after `after`. `full` means that the queue is full.
    GiveUp { id: u64, after: Millis, full: bool },
}

/// The entry's side: the slots that it holds and the requests that wait for one.
#[derive(Debug, Default)]
pub struct Slots {
    runners: BTreeMap<Name, Runner>,
    waiting: BTreeMap<(u64, u64), SlotRequest>,
    running: BTreeMap<Name, u32>,
    means: BTreeMap<Name, u64>,
}

impl Slots {
    /// Sets the runners: name, shard, and whether they are leaving.
    pub fn set_runners(&mut self, runners: Vec<(Name, Name, bool)>) {
        let names: BTreeSet<Name> = runners.iter().map(|(name, _, _)| name.clone()).collect();
        self.runners.retain(|name, runner| runner.used > 0 || names.contains(name));
        for runner in self.runners.values_mut() {
            runner.leaving = true;
        }
        for (name, shard, leaving) in runners {
            let fresh = Runner {
                shard,
                lent: 0,
                until: Millis(0),
                used: 0,
                leaving,
                backoff_until: Millis(0),
            };
            self.runners.entry(name).or_insert(fresh).leaving = leaving;
        }
    }

    /// Marks a runner as leaving.
    pub fn leave(&mut self, runner: &str) {
        if let Some(runner) = self.runners.get_mut(runner) {
            runner.leaving = true;
        }
    }

    /// Records the slots lent in answer to the request sent at `asked`.
    pub fn lent(&mut self, asked: Millis, loans: &[(Name, u32)]) {
        for (name, count) in loans {
            if let Some(runner) = self.runners.get_mut(name) {
                runner.lent = *count;
                runner.until = asked + SLOT_LEASE;
            }
        }
    }

    /// The report to the owner of a shard: the slots held and used at each runner, and the number
    /// of waiting requests.
    pub fn uses(&self, now: Millis, shard: &str) -> (Vec<SlotUsage>, u32) {
        let here = self.runners.iter().filter(|(_, runner)| *runner.shard == *shard);
        let uses = here.map(|(name, runner)| {
            let held = if runner.until > now { runner.lent } else { 0 };
            SlotUsage { runner: name.clone(), held, used: runner.used }
        });
        (uses.collect(), self.waiting.len() as u32)
    }

    /// Assigns a slot to a request, queues it, or rejects it.
    pub fn ask(&mut self, now: Millis, request: SlotRequest) -> SlotDecision {
        let id = request.id;
        let alike = self.waiting.values().filter(|other| other.kind == request.kind).count();
        let ahead = self.wait_ahead(now, &request);
        match () {
            _ if self.waiting.is_empty() && self.may_go(now, &request) => self.go(now, &request),
            _ if alike as u32 >= request.queue => {
                SlotDecision::GiveUp { id, after: ahead, full: true }
            }
            _ if now + ahead >= request.due => {
                SlotDecision::GiveUp { id, after: ahead, full: false }
            }
            _ => {
                self.waiting.insert((rank(&request), id), request);
                SlotDecision::Wait
            }
        }
    }

    fn may_go(&self, now: Millis, request: &SlotRequest) -> bool {
        let running = self.running.get(&request.kind).copied().unwrap_or(0);
        running < request.limit && self.free(now).is_some()
    }

    fn go(&mut self, now: Millis, request: &SlotRequest) -> SlotDecision {
        let Some(name) = self.free(now) else { return SlotDecision::Wait };
        *self.running.entry(request.kind.clone()).or_insert(0) += 1;
        let id = request.id;
        if let Some(runner) = self.runners.get_mut(&name) {
            runner.used += 1;
        }
        SlotDecision::Go { id, runner: name }
    }

    /// The runner with the most free slots.
    fn free(&self, now: Millis) -> Option<Name> {
        let open = self
            .runners
            .iter()
            .filter(|(_, runner)| !runner.leaving && runner.backoff_until <= now);
        let rated =
            open.map(|(name, runner)| (runner.allowed(now).saturating_sub(runner.used), name));
        let best = rated.filter(|(free, _)| *free > 0).max_by_key(|(free, _)| *free);
        best.map(|(_, name)| name.clone())
    }

    /// The estimated time until a request is served, from the mean service times of the requests
    /// before it and of its own kind.
    fn wait_ahead(&self, now: Millis, request: &SlotRequest) -> Millis {
        let slots: u32 = self.runners.values().map(|runner| runner.allowed(now)).sum();
        let before = self.waiting.range(..(rank(request), request.id));
        let work: u64 = before.map(|(_, other)| self.mean(&other.kind).0).sum();
        Millis(work / slots.max(1) as u64) + self.mean(&request.kind)
    }

    /// The mean service time of a kind of request; 0 if none was served yet.
    fn mean(&self, kind: &Name) -> Millis {
        Millis(self.means.get(kind).map_or(0, |micros| micros / 1000))
    }

    /// Frees the slot of a request that took `took`. `reached` tells whether the runner answered.
    pub fn release(&mut self, now: Millis, name: &str, kind: &Name, took: Millis, reached: bool) {
        if let Some(runner) = self.runners.get_mut(name) {
            runner.used = runner.used.saturating_sub(1);
            runner.backoff_until =
                if reached { runner.backoff_until } else { now + UNREACHABLE_BACKOFF };
        }
        if let Some(running) = self.running.get_mut(kind) {
            *running = running.saturating_sub(1);
        }
        if reached {
            let mean = self.means.entry(kind.clone()).or_insert(took.0 * 1000);
            *mean = (*mean * MEAN_PAST_WEIGHT + took.0 * 1000) / (MEAN_PAST_WEIGHT + 1);
        }
    }

    /// The waiting requests that get a slot now, and those that can no longer meet their deadline.
    pub fn turns(&mut self, now: Millis) -> Vec<SlotDecision> {
        let late = self
            .waiting
            .iter()
            .filter(|(_, request)| request.due <= now + self.mean(&request.kind));
        let late: Vec<(u64, u64)> = late.map(|(key, _)| *key).collect();
        let mut turns = Vec::new();
        for key in late {
            self.waiting.remove(&key);
            turns.push(SlotDecision::GiveUp { id: key.1, after: UNREACHABLE_BACKOFF, full: false });
        }
        let order: Vec<(u64, u64)> = self.waiting.keys().copied().collect();
        for key in order {
            if self.free(now).is_none() {
                break;
            }
            let ready = self.waiting.get(&key).filter(|request| self.may_go(now, request)).cloned();
            if let Some(request) = ready {
                self.waiting.remove(&key);
                turns.push(self.go(now, &request));
            }
        }
        turns
    }

    /// Drops a waiting request whose caller disconnected.
    pub fn forget(&mut self, id: u64) {
        self.waiting.retain(|key, _| key.1 != id);
    }

    /// The number of slots of a runner that this entry may use now.
    pub fn allowed(&self, now: Millis, runner: &str) -> u32 {
        self.runners.get(runner).map_or(0, |runner| runner.allowed(now))
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Each runner with the slots that this entry uses and may use, and whether it is leaving.
    pub fn runners(&self, now: Millis) -> Vec<(Name, u32, u32, bool)> {
        let all = self.runners.iter();
        all.map(|(name, at)| (name.clone(), at.used, at.allowed(now), at.leaving)).collect()
    }

    /// The number of requests that are at a runner.
    pub fn used(&self) -> u32 {
        self.runners.values().map(|runner| runner.used).sum()
    }
}

impl Runner {
    fn allowed(&self, now: Millis) -> u32 {
        if self.until > now { self.lent } else { self.lent.min(GUARANTEED_SLOTS) }
    }
}

/// The rank of a request, lower first: its arrival time plus a delay that shrinks with its weight.
/// The delay is bounded, so no request waits forever behind later ones of a higher weight.
fn rank(request: &SlotRequest) -> u64 {
    request.came.0 + LOW_WEIGHT_DELAY_MS / (request.weight as u64 + 1)
}
