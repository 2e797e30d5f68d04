//! Who owns the cell: the last claim in the platform's log.
//!
//! A claim is appended on the condition that nothing was appended since the claimant read the log,
//! so a heartbeat of a living owner voids it. Its offset is the epoch.

use crate::clock::Millis;
use crate::id::{EntryId, Name};
use serde::{Deserialize, Serialize};

/// Time between two heartbeats of an owner in the log. Each is read by every entry; with seven
/// entries that is 20 calls a second of the 2,600 that the store takes.
pub const HEARTBEAT_INTERVAL: Millis = Millis(400);
/// An owner whose heartbeats are missing this long is replaced: two may be lost. A store that is
/// 60 times slower than its usual 4 ms delays each by half a second.
pub const OWNER_TIMEOUT: Millis = Millis(1_200);
/// If the owner's process surely is not there, this much silence is enough: a living owner has
/// sent a heartbeat in that time.
const ABSENT_OWNER_TIMEOUT: Millis = Millis(550);
/// After a gap in which the log could not be read, an owner that is alive is heard within this time:
/// a retry after 100 ms and an answer within 450 ms, and as long to spare as a slow reader needs.
const HEARTBEAT_GRACE: Millis = Millis(800);
/// A log that could be read for this long was not away within the longest lease of the platform's
/// workers.
pub const STEADY_LOG_TIME: Millis = Millis(10_000);
/// Two claims by one entry are this far apart, so that the first can be read back.
const CLAIM_INTERVAL: Millis = Millis(400);
/// A cell is handed on for overload once in this time: several times what a slow VM of the platform's
/// contract stays slow.
const HANDOVER_INTERVAL: Millis = Millis(30_000);
/// The longest time that a small entry delays a claim, so that larger ones come first: longer than
/// the time between two looks of those. A small entry keeps up with a cell on a calm day only.
const MAX_CLAIM_DELAY: Millis = Millis(320);

/// A record of the claims' topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ElectionRecord {
    /// An entry takes the cell over.
    Claim {
        /// The new owner.
        owner: EntryId,
        /// Where other entries reach it.
        addr: Name,
    },
    /// The owner lives.
    Heartbeat {
        /// Its epoch.
        epoch: u64,
        /// The owner.
        owner: EntryId,
        /// Where other entries reach it.
        addr: Name,
        /// The processors of the largest entry that it hears from, itself included, in thousandths.
        largest_cpu: u32,
    },
    /// The owner stops by plan: anybody may claim at once.
    Release {
        /// Its epoch.
        epoch: u64,
    },
    /// The owner does not keep up and hands the cell to another entry: anybody may claim at once.
    Overloaded {
        /// Its epoch.
        epoch: u64,
    },
}

/// The owner by the last claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// One more than the offset of its claim.
    pub epoch: u64,
    /// The entry.
    pub owner: EntryId,
    /// Where other entries reach it.
    pub addr: Name,
}

/// What an entry knows of the owner.
#[derive(Debug)]
pub struct Election {
    me: EntryId,
    /// What this entry may use of processors, in thousandths of one.
    cpu: u32,
    /// The processors of the largest entry that the last owner heard from.
    largest_cpu: u32,
    leader: Option<Leader>,
    released: bool,
    /// The offset after the last record that was read.
    next_offset: u64,
    /// When the owner was last heard through the log, or could have been.
    owner_heard: Millis,
    /// When the log could last be read; `None`: never.
    last_read: Option<Millis>,
    /// Since when it could be read without a gap.
    readable_since: Millis,
    /// The owner's process is not there.
    owner_absent: bool,
    last_claim: Option<Millis>,
    /// Since when a claim is due.
    claim_due: Option<Millis>,
    /// Claims are left to others until then.
    back_off_until: Millis,
    /// How much longer than its processors ask for this entry delays a claim.
    extra_delay: Millis,
    /// When an owner last handed the cell on because it did not keep up.
    last_overload: Option<Millis>,
}

impl Election {
    /// Nothing is known yet; this entry may use `cpu` thousandths of a processor.
    pub fn new(me: EntryId, cpu: u32, now: Millis) -> Self {
        Self {
            me,
            cpu,
            largest_cpu: 0,
            leader: None,
            released: false,
            next_offset: 0,
            owner_heard: now,
            last_read: None,
            readable_since: now,
            owner_absent: false,
            last_claim: None,
            claim_due: None,
            back_off_until: Millis(0),
            extra_delay: Millis(0),
            last_overload: None,
        }
    }

    /// The owner by the last claim that was read.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Whether this entry is the owner.
    pub fn is_owner(&self) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.owner == self.me) && !self.released
    }

    /// Whether the last owner surely is none any more, and nobody has claimed the cell since.
    pub fn is_vacant(&self) -> bool {
        // The owner was an earlier process of this entry. After all entries lost power the first
        // owner is back 0.5 s earlier than by its silence.
        let restarted =
            |leader: &Leader| leader.owner != self.me && leader.owner.name == self.me.name;
        self.released || self.leader.as_ref().is_some_and(restarted)
    }

    /// The offset after the last record that was read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Records before `first` are gone: reading goes on from there.
    pub fn skip_to(&mut self, first: u64) {
        self.next_offset = self.next_offset.max(first);
    }

    /// A record was read.
    pub fn apply(&mut self, now: Millis, offset: u64, record: ElectionRecord) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        match record {
            ElectionRecord::Claim { owner, addr } => {
                self.set_leader(Leader { epoch: offset + 1, owner, addr });
                self.owner_heard = now;
            }
            ElectionRecord::Heartbeat { epoch, owner, addr, largest_cpu }
                if self.epoch() <= epoch =>
            {
                if self.epoch() < epoch {
                    self.set_leader(Leader { epoch, owner, addr });
                }
                self.largest_cpu = largest_cpu;
                self.owner_heard = now;
                self.owner_absent = false;
            }
            ElectionRecord::Release { epoch } if self.epoch() == epoch => self.released = true,
            ElectionRecord::Overloaded { epoch } if self.epoch() == epoch => {
                self.released = true;
                self.last_overload = Some(now);
            }
            ElectionRecord::Heartbeat { .. }
            | ElectionRecord::Release { .. }
            | ElectionRecord::Overloaded { .. } => {}
        }
    }

    fn set_leader(&mut self, leader: Leader) {
        self.leader = Some(leader);
        self.released = false;
        self.owner_absent = false;
        self.claim_due = None;
    }

    fn epoch(&self) -> u64 {
        self.leader.as_ref().map_or(0, |leader| leader.epoch)
    }

    /// All records so far were read at this time.
    pub fn caught_up(&mut self, now: Millis) {
        // While the log cannot be read its silence says nothing about the owner.
        if self
            .last_read
            .is_none_or(|read| now.since(read) >= ABSENT_OWNER_TIMEOUT + ABSENT_OWNER_TIMEOUT)
        {
            // Silence is counted as if it had begun so much earlier.
            self.owner_heard = self.owner_heard.max(now - (OWNER_TIMEOUT - HEARTBEAT_GRACE));
            self.readable_since = now;
        }
        self.last_read = Some(now);
    }

    /// Whether the log could be read all the time lately: then no owner can have gone on without it
    /// by the word of most entries.
    pub fn is_log_steady(&self, now: Millis) -> bool {
        self.is_log_fresh(now) && now.since(self.readable_since) >= STEADY_LOG_TIME
    }

    /// Whether the log could be read a moment ago.
    pub fn is_log_fresh(&self, now: Millis) -> bool {
        self.last_read.is_some_and(|read| now.since(read) < OWNER_TIMEOUT)
    }

    /// The owner of `epoch` told that it gave the cell up, though it cannot write that to the log.
    pub fn record_step_down(&mut self, epoch: u64) {
        self.released = self.released || (epoch > 0 && self.epoch() == epoch);
    }

    /// Leaves claims to others until `until`: this entry does not keep up.
    pub fn back_off(&mut self, until: Millis) {
        self.back_off_until = self.back_off_until.max(until);
    }

    /// Whether an owner that does not keep up may hand the cell on: if the one before it did so lately,
    /// the load is too much for any entry, and a takeover only adds to it. The cell would go
    /// from one to the next without an end.
    pub fn may_hand_over(&self, now: Millis) -> bool {
        self.last_overload.is_none_or(|at| now.since(at) >= HANDOVER_INTERVAL)
    }

    /// Claims are left to others by so much more: this entry has other work, or others are nearer.
    pub fn set_extra_delay(&mut self, extra_delay: Millis) {
        self.extra_delay = extra_delay;
    }

    /// The log is read again from now on, after a time in which it was left unread on purpose. The
    /// owner may have been heard just before: its silence begins now.
    pub fn resume_reading(&mut self, now: Millis) {
        (self.owner_heard, self.readable_since, self.last_read) = (now, now, Some(now));
    }

    /// Connections to the owner of `epoch` are refused, or its process is another one.
    pub fn record_absence(&mut self, epoch: u64) {
        self.owner_absent = self.owner_absent || self.epoch() == epoch;
    }

    /// Whether to claim now: the offset at which the log must end.
    pub fn try_claim(&mut self, now: Millis) -> Option<u64> {
        let paused = self.last_claim.is_some_and(|at| now.since(at) < CLAIM_INTERVAL);
        if paused || now < self.back_off_until || !self.is_log_fresh(now) || self.is_owner() {
            return None;
        }
        let silence = now.since(self.owner_heard);
        let due = match &self.leader {
            None => true,
            Some(_) if self.is_vacant() => true,
            Some(_) if self.owner_absent => silence >= ABSENT_OWNER_TIMEOUT,
            Some(_) => silence >= OWNER_TIMEOUT,
        };
        if !due {
            self.claim_due = None;
            return None;
        }
        let since = *self.claim_due.get_or_insert(now);
        if now.since(since) < self.claim_delay() + self.extra_delay {
            return None;
        }
        self.last_claim = Some(now);
        Some(self.next_offset)
    }

    /// How long this entry delays a claim that is due: not at all if it is the largest, as far as
    /// that is known.
    fn claim_delay(&self) -> Millis {
        /// Before the first owner all entries start together and know nothing of each other.
        const DEFAULT_LARGEST_CPU: u32 = 500;
        let largest_cpu =
            if self.largest_cpu == 0 { DEFAULT_LARGEST_CPU } else { self.largest_cpu };
        let short = largest_cpu.saturating_sub(self.cpu);
        Millis(MAX_CLAIM_DELAY.0 * u64::from(short) / u64::from(largest_cpu.max(1)))
    }
}
