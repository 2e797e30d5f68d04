//! Election of the owner of a cell: the entry with the newest claim in the platform's log.
//!
//! A claim is appended on the condition that nothing was appended since the claimant last read the
//! log, so the claim fails if the owner is alive and sent a heartbeat. The offset of a claim
//! determines its epoch.

use crate::cell::owner::claim_record::Extension;
use crate::cell::owner::claimants::{ClaimantUpdate, Claimants, KnownClaimants, MAX_RELIANCE};
use crate::cell::owner::contact::Contact;
use crate::cell::owner::history::OwnerHistory;
pub use crate::cell::owner::leader::{ElectionRecord, Leader};
use crate::clock::Millis;
use crate::id::{EntryId, Name};

/// The time between two heartbeats of an owner. Every entry reads each of them; with seven entries
/// that makes 20 calls a second of the 2,600 that the store accepts.
pub const HEARTBEAT_INTERVAL: Millis = Millis(400);
/// An owner without a heartbeat for this long is replaced, which allows for two lost heartbeats. A
/// store that is 60 times slower than its usual 4 ms delays each heartbeat by half a second.
pub const OWNER_TIMEOUT: Millis = Millis(1_200);
/// The timeout that is used instead of [`OWNER_TIMEOUT`] if the owner's process is known to be
/// gone. An owner that is alive sends a heartbeat within this time.
const ABSENT_OWNER_TIMEOUT: Millis = Millis(550);
/// How long after a gap in reading the log the heartbeat of an owner that is alive is read at the
/// latest: a retry after 100 ms, an answer within 450 ms, and a margin for a slow reader.
const HEARTBEAT_GRACE: Millis = Millis(800);
/// How long the log must have been readable without a gap to be considered steady, which is the
/// longest lease of the platform's workers.
pub const STEADY_LOG_TIME: Millis = Millis(10_000);
/// The shortest time between two claims by one entry, in which it can read back the first one.
const CLAIM_INTERVAL: Millis = Millis(400);
/// The shortest time between two handovers of a cell because of overload, which is several times as
/// long as a VM may be slow by the platform's contract.
const HANDOVER_INTERVAL: Millis = Millis(30_000);
/// The shortest time between two handovers of a cell because of the owner's size. It is as long as
/// an owner keeps a cell before it gives it up because of overload.
const SIZE_HANDOVER_INTERVAL: Millis = Millis(6_000);
/// How long other entries leave a cell to the successor that its last owner named. It covers two
/// reads of the log and the time by which entries spread their claims.
const SUCCESSOR_TIME: Millis = Millis(400);
/// How long an owner does not know its peers after its claim: a takeover on a small entry of 0.8 s,
/// and the time for which a peer must have been connected.
const PEERS_UNKNOWN_TIME: Millis = Millis(2_500);
/// The longest time by which an entry with little CPU delays a claim, so that larger entries claim
/// first. It is longer than the interval at which these check the log. A small entry keeps up with
/// a cell only under light load.
const MAX_CLAIM_DELAY: Millis = Millis(320);

/// The state of the election as known to one entry.
#[derive(Debug)]
pub struct Election {
    me: EntryId,
    /// CPU available to this entry, in millicores.
    cpu: u32,
    /// The CPU, in millicores, of the largest entry according to the last heartbeat; 0 if unknown.
    largest_cpu: u32,
    /// The value of `largest_cpu` at the time of the last claim.
    inherited_cpu: u32,
    /// Whether the rules for entries with unequal CPU apply.
    prefers_capacity: bool,
    leader: Option<Leader>,
    /// The CPU of the leader in millicores; 0 if unknown.
    owner_cpu: u32,
    /// When the leader became known.
    leader_since: Millis,
    /// Whether the leader gave up the cell.
    released: bool,
    /// Whether records were lost unread since the leader became known, so that there may be a later
    /// one.
    may_be_outdated: bool,
    /// What the owners before told in the log.
    history: OwnerHistory,
    /// The entries that may claim the cell as soon as the leader is silent.
    claimants: KnownClaimants,
    /// The entries that this one has to count as the owner; `None` if unknown.
    inherited_claimants: Option<Claimants>,
    /// The entry that the leader named as its successor, and until when others don't claim the cell.
    successor: Option<(Name, Millis)>,
    /// The offset of the next record to read.
    next_offset: u64,
    /// When the last sign of the owner was read, or the time from which its silence counts.
    owner_heard: Millis,
    /// When the log was last read successfully.
    last_read: Option<Millis>,
    /// Since when the log could be read without a gap.
    readable_since: Millis,
    /// Whether the owner's process is known to be gone.
    owner_absent: bool,
    /// When this entry last tried to claim the cell.
    last_claim: Option<Millis>,
    /// The end of the log at which the last claim failed, because it had advanced.
    rejected_at: Option<u64>,
    /// Since when the conditions for a claim have been met.
    claim_due: Option<Millis>,
    /// Until when this entry does not claim the cell.
    back_off_until: Millis,
    /// The delay of a claim in addition to the one that depends on this entry's CPU.
    extra_delay: Millis,
    /// When an owner last gave up the cell because of overload.
    last_overload: Option<Millis>,
    /// The owner that did so; `None` if unknown.
    overloaded_owner: Option<Name>,
    /// When an owner last gave up the cell and named a successor for a reason other than overload.
    last_succession: Option<Millis>,
}

impl Election {
    /// Creates the state of an entry that has read nothing yet and has `cpu` millicores available.
    pub fn new(me: EntryId, cpu: u32, now: Millis) -> Self {
        Self {
            me,
            cpu,
            largest_cpu: 0,
            inherited_cpu: 0,
            prefers_capacity: true,
            leader: None,
            owner_cpu: 0,
            leader_since: now,
            released: false,
            may_be_outdated: false,
            history: OwnerHistory::default(),
            claimants: KnownClaimants::default(),
            inherited_claimants: None,
            successor: None,
            next_offset: 0,
            owner_heard: now,
            last_read: None,
            readable_since: now,
            owner_absent: false,
            last_claim: None,
            rejected_at: None,
            claim_due: None,
            back_off_until: Millis(0),
            extra_delay: Millis(0),
            last_overload: None,
            overloaded_owner: None,
            last_succession: None,
        }
    }

    /// Sets whether the rules for entries with unequal CPU apply, which is the default.
    pub fn set_prefers_capacity(&mut self, prefers_capacity: bool) {
        self.prefers_capacity = prefers_capacity;
    }

    /// Whether the rules for entries with unequal CPU apply.
    pub fn prefers_capacity(&self) -> bool {
        self.prefers_capacity
    }

    /// The owner according to the newest claim that was read.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Whether this entry is the owner.
    pub fn is_owner(&self) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.owner == self.me)
            && !self.released
            && !self.may_be_outdated
    }

    /// Whether the last owner has certainly stopped and no other entry has claimed the cell since.
    pub fn is_vacant(&self) -> bool {
        // The owner was an earlier process of this entry. After a power loss of all entries, this
        // makes the first owner available 0.5 s earlier than waiting for the timeout.
        let restarted =
            |leader: &Leader| leader.owner != self.me && leader.owner.name == self.me.name;
        self.released || self.leader.as_ref().is_some_and(restarted)
    }

    /// The offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Continues at offset `first`, because earlier records cannot be read.
    pub fn skip_to(&mut self, first: u64) {
        self.next_offset = self.next_offset.max(first);
    }

    /// Continues at offset `first`, because the store has lost earlier records, and with them what
    /// owners told later ones. If some of them were not read, another entry may own the cell. A
    /// heartbeat of this entry would be appended then although it is not the owner any more, so it
    /// waits for those of another one.
    pub fn skip_lost(&mut self, now: Millis, first: u64) {
        if first > self.next_offset {
            self.may_be_outdated = self.may_be_outdated || self.is_owner();
            // There may have been heartbeats among the lost records.
            self.owner_heard = now;
            self.history.record_loss();
        }
        self.skip_to(first);
    }

    /// Applies a record without an extension that was read from the log.
    pub fn apply(&mut self, now: Millis, offset: u64, record: ElectionRecord) {
        self.apply_extended(now, offset, record, Extension::default());
    }

    /// Applies a record that was read from the log.
    pub fn apply_extended(
        &mut self,
        now: Millis,
        offset: u64,
        record: ElectionRecord,
        extension: Extension,
    ) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        match record {
            // A later owner may be known from elsewhere than the log.
            ElectionRecord::Claim { .. } if offset + 1 < self.epoch() => {}
            ElectionRecord::Claim { owner, addr } => {
                let is_own = owner == self.me;
                if is_own {
                    self.inherited_claimants = self.claimants.inherit(&self.me.name);
                }
                self.history.record_claim(offset + 1, extension.owner_state, is_own);
                self.set_leader(now, Leader { epoch: offset + 1, owner, addr });
                self.claimants.apply(extension.claimants);
                self.set_owner_cpu(extension.cpu);
                self.owner_heard = now;
            }
            ElectionRecord::Heartbeat { epoch, owner, addr, largest_cpu }
                if self.epoch() <= epoch =>
            {
                if self.epoch() < epoch {
                    self.set_leader(now, Leader { epoch, owner, addr });
                }
                self.history.record_state(now, epoch, extension.owner_state);
                self.claimants.apply(extension.claimants);
                self.set_owner_cpu(extension.cpu);
                self.set_largest_cpu(now, largest_cpu);
                self.owner_heard = now;
                self.owner_absent = false;
            }
            ElectionRecord::Release { epoch } if self.epoch() == epoch => {
                if extension.successor.is_some() {
                    self.last_succession = Some(now);
                }
                self.release(now, extension);
            }
            ElectionRecord::Overloaded { epoch } if self.epoch() == epoch => {
                self.last_overload = Some(now);
                self.overloaded_owner =
                    self.leader.as_ref().map(|leader| leader.owner.name.clone());
                self.release(now, extension);
            }
            ElectionRecord::Heartbeat { .. }
            | ElectionRecord::Release { .. }
            | ElectionRecord::Overloaded { .. } => {}
        }
    }

    /// Records an owner that is known from elsewhere than the log, unless a later one is known.
    pub fn learn_leader(&mut self, now: Millis, leader: Leader) {
        if leader.epoch > self.epoch() {
            self.set_leader(now, leader);
            self.owner_heard = self.owner_heard.max(now);
        }
    }

    fn set_leader(&mut self, now: Millis, leader: Leader) {
        self.leader = Some(leader);
        (self.leader_since, self.owner_cpu) = (now, 0);
        self.inherited_cpu = self.largest_cpu;
        (self.released, self.may_be_outdated, self.successor) = (false, false, None);
        self.owner_absent = false;
        self.claimants = KnownClaimants::default();
        self.history.forget_release();
        self.claim_due = None;
    }

    /// What the owners before told in the log.
    pub fn history(&self) -> &OwnerHistory {
        &self.history
    }

    /// The claimants as a claim of this entry names them.
    pub fn next_claimants(&self) -> ClaimantUpdate {
        let inherited = self.claimants.inherit(&self.me.name);
        inherited.map_or(ClaimantUpdate::Any, ClaimantUpdate::Only)
    }

    /// The entries that this one has to count since its last claim; `None` if they are unknown.
    pub fn inherited_claimants(&self) -> Option<&Claimants> {
        self.inherited_claimants.as_ref()
    }

    /// Records that the leader gave up the cell and named a successor, if any.
    fn release(&mut self, now: Millis, extension: Extension) {
        self.released = true;
        self.history.record_release(now, self.epoch(), extension.owner_state);
        self.successor = extension.successor.map(|name| (name, now + SUCCESSOR_TIME));
    }

    /// Records the CPU of the leader. If a smaller entry owns the cell, no entry that is as large as
    /// this one can claim it, and this one need not leave it to others.
    fn set_owner_cpu(&mut self, cpu: u32) {
        self.owner_cpu = cpu;
        if self.prefers_capacity && !self.is_owner() && (1..self.cpu).contains(&cpu) {
            self.back_off_until = Millis(0);
        }
    }

    /// Records the CPU of the largest entry that the owner knows. An owner that has just claimed the
    /// cell does not know its peers yet. If small entries took its word for it, they would not leave
    /// the next claim to large ones.
    fn set_largest_cpu(&mut self, now: Millis, largest_cpu: u32) {
        let is_incomplete =
            self.prefers_capacity && now.since(self.leader_since) < PEERS_UNKNOWN_TIME;
        let known = if is_incomplete { self.inherited_cpu } else { 0 };
        self.largest_cpu = largest_cpu.max(known);
    }

    fn epoch(&self) -> u64 {
        self.leader.as_ref().map_or(0, |leader| leader.epoch)
    }

    /// Records that the end of the log was reached at `now`.
    pub fn caught_up(&mut self, now: Millis) {
        // Silence during a gap in reading the log does not mean that the owner is gone.
        if self
            .last_read
            .is_none_or(|read| now.since(read) >= ABSENT_OWNER_TIMEOUT + ABSENT_OWNER_TIMEOUT)
        {
            // The owner has `HEARTBEAT_GRACE` left until `OWNER_TIMEOUT` expires.
            self.owner_heard = self.owner_heard.max(now - (OWNER_TIMEOUT - HEARTBEAT_GRACE));
            self.readable_since = now;
        }
        self.last_read = Some(now);
    }

    /// Whether the log has been readable without a gap for [`STEADY_LOG_TIME`]. Then no owner can
    /// have continued without the log because the other entries could not read it.
    pub fn is_log_steady(&self, now: Millis) -> bool {
        self.is_log_fresh(now) && now.since(self.readable_since) >= STEADY_LOG_TIME
    }

    /// For how long the log has been readable without a gap.
    pub fn readable_time(&self, now: Millis) -> Millis {
        now.since(self.readable_since)
    }

    /// Whether the log was read within [`OWNER_TIMEOUT`].
    pub fn is_log_fresh(&self, now: Millis) -> bool {
        self.last_read.is_some_and(|read| now.since(read) < OWNER_TIMEOUT)
    }

    /// Records that the owner of `epoch` told its peers that it gave up the cell, which it does if
    /// it cannot write that to the log.
    pub fn record_step_down(&mut self, epoch: u64) {
        self.released = self.released || (epoch > 0 && self.epoch() == epoch);
    }

    /// Stops this entry from claiming the cell until `until`, because it is overloaded.
    pub fn back_off(&mut self, until: Millis) {
        self.back_off_until = self.back_off_until.max(until);
    }

    /// Whether an overloaded owner may hand over the cell. If an earlier owner did so recently, the
    /// load is too much for any entry, a takeover would only add to it, and the cell would move
    /// between entries without end.
    pub fn may_hand_over(&self, now: Millis) -> bool {
        self.last_overload.is_none_or(|at| now.since(at) >= HANDOVER_INTERVAL)
    }

    /// Whether an owner may hand over the cell to a far larger entry. If that was done recently, the
    /// larger entry did not keep the cell.
    pub fn may_hand_over_for_size(&self, now: Millis) -> bool {
        self.last_succession.is_none_or(|at| now.since(at) >= SIZE_HANDOVER_INTERVAL)
    }

    /// The owner that last gave up the cell because of overload, if that was recently.
    pub fn overloaded_owner(&self, now: Millis) -> Option<&Name> {
        self.overloaded_owner.as_ref().filter(|_| !self.may_hand_over(now))
    }

    /// Whether nobody owns the cell and no successor was named that is about to claim it, in a
    /// deployment where this entry knows one of another size.
    pub fn is_ownerless(&self, now: Millis) -> bool {
        let is_unequal = self.largest_cpu.max(self.owner_cpu) > self.cpu
            || (1..self.cpu).contains(&self.owner_cpu);
        self.prefers_capacity
            && is_unequal
            && self.is_log_fresh(now)
            && self.needs_owner(now)
            && !self.is_reserved(now)
    }

    /// Sets an additional delay for claims, for an entry that has other work or for which other
    /// entries are closer.
    pub fn set_extra_delay(&mut self, extra_delay: Millis) {
        self.extra_delay = extra_delay;
    }

    /// Records that reading the log resumes after a time in which it was deliberately not read. The
    /// owner may have sent a heartbeat just before, so its silence counts from `now`.
    pub fn resume_reading(&mut self, now: Millis) {
        (self.owner_heard, self.readable_since, self.last_read) = (now, now, Some(now));
    }

    /// Records an attempt to connect to the owner of `epoch`. Returns whether it was the first to show
    /// that the owner's process is gone.
    pub fn record_contact(&mut self, epoch: u64, contact: Contact) -> bool {
        let is_gone = contact.proves_end() && self.epoch() == epoch;
        let is_first = is_gone && !self.owner_absent;
        self.owner_absent = self.owner_absent || is_gone;
        is_first
    }

    /// Decides whether to claim the cell now. Returns the offset at which the log must end for the
    /// claim to be valid.
    pub fn try_claim(&mut self, now: Millis) -> Option<u64> {
        if self.is_paused(now)
            || now < self.back_off_until
            || !self.is_log_fresh(now)
            || self.is_owner()
        {
            return None;
        }
        if !self.needs_owner(now) || self.is_reserved_for_other(now) {
            self.claim_due = None;
            return None;
        }
        let since = *self.claim_due.get_or_insert(now);
        let delay = match self.is_reserved(now) {
            true => Millis(0),
            false => self.claim_delay() + self.extra_delay,
        };
        if now.since(since) < delay {
            return None;
        }
        (self.last_claim, self.rejected_at) = (Some(now), None);
        Some(self.next_offset)
    }

    /// Whether the last owner has given up the cell or has not been heard for too long.
    fn needs_owner(&self, now: Millis) -> bool {
        let silence = now.since(self.owner_heard);
        match &self.leader {
            None if self.next_offset == 0 => true,
            // The records of an owner that may be alive were lost unread.
            None => silence >= OWNER_TIMEOUT,
            Some(_) if self.is_vacant() => true,
            Some(_) if self.owner_absent => silence >= ABSENT_OWNER_TIMEOUT,
            Some(_) if self.claimants.include(&self.me.name) => silence >= OWNER_TIMEOUT,
            // The owner may rely on reports of entries that do not include this one.
            Some(_) => silence >= OWNER_TIMEOUT + MAX_RELIANCE,
        }
    }

    /// Whether the cell is left to the successor that its last owner named.
    fn is_reserved(&self, now: Millis) -> bool {
        self.prefers_capacity && self.successor.as_ref().is_some_and(|(_, until)| now < *until)
    }

    /// Whether the cell is left to a successor that is another entry.
    fn is_reserved_for_other(&self, now: Millis) -> bool {
        let is_me = self.successor.as_ref().is_some_and(|(name, _)| *name == self.me.name);
        self.is_reserved(now) && !is_me
    }

    /// Records that a claim failed because the log ended at `end` instead. It is retried once the
    /// log has been read up to there. If a large entry waited for the claim interval, a small one
    /// would claim first.
    pub fn record_mismatch(&mut self, end: u64) {
        self.rejected_at = Some(end);
    }

    /// Whether the last claim is too recent for another one.
    fn is_paused(&self, now: Millis) -> bool {
        let is_retry =
            self.prefers_capacity && self.rejected_at.is_some_and(|end| self.next_offset >= end);
        !is_retry && self.last_claim.is_some_and(|at| now.since(at) < CLAIM_INTERVAL)
    }

    /// Whether this entry delays its claims by more than half of the longest delay, because there are
    /// far larger entries.
    pub fn claims_late(&self) -> bool {
        self.largest_cpu > 0 && self.claim_delay().0 * 2 > MAX_CLAIM_DELAY.0
    }

    /// How long this entry delays a claim because other entries have more CPU; zero for the largest
    /// known entry.
    fn claim_delay(&self) -> Millis {
        /// The CPU in millicores to compare with before there was any owner, as entries that start
        /// together do not know each other.
        const DEFAULT_LARGEST_CPU: u32 = 500;
        let largest_cpu =
            if self.largest_cpu == 0 { DEFAULT_LARGEST_CPU } else { self.largest_cpu };
        let missing = largest_cpu.saturating_sub(self.cpu);
        Millis(MAX_CLAIM_DELAY.0 * u64::from(missing) / u64::from(largest_cpu.max(1)))
    }
}
