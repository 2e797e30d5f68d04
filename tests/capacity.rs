//! A search over elections among entries of unequal CPU, on a virtual clock: several state machines
//! of the election and of the owners' authority over one log.

mod elections;

use elections::{APPEND_TIME, Append, Log, take_arrived};
use sprucerudder::cell::owner::authority::Authority;
use sprucerudder::cell::owner::claim_record::Extension;
use sprucerudder::cell::owner::claimants::ClaimantUpdate;
use sprucerudder::cell::owner::election::{Election, ElectionRecord};
use sprucerudder::cell::owner::hand_over::{self, Reason};
use sprucerudder::cell::owner::lag::{CLAIM_BACKOFF, TickLag};
use sprucerudder::clock::Millis;
use sprucerudder::id::EntryId;
use std::collections::BTreeSet;

const LARGE: u32 = 500;
const SMALL: u32 = 120;
/// The virtual time between two steps of the simulation.
const STEP: u64 = 10;
/// An owner whose last heartbeat is older accepts no jobs.
const HEARTBEAT_MAX_AGE: Millis = Millis(1_000);
/// How long after the last fault a large enough entry must own the cell, by docs/design/hard-load.md.
const BOUND: u64 = 10_000;

struct Ownership {
    epoch: u64,
    ready_at: u64,
    authority: Authority,
    lag: TickLag,
    last_tick: u64,
    next_heartbeat: u64,
    next_check: u64,
    connected: BTreeSet<usize>,
}

struct Entry {
    id: EntryId,
    cpu: u32,
    election: Election,
    owner: Option<Ownership>,
    last_epoch: u64,
    next_check: u64,
    pending: Option<Append>,
    /// Until when each fault lasts.
    dead: u64,
    cut: u64,
    rejected: u64,
    overloaded: u64,
}

impl Entry {
    fn new(index: usize, cpu: u32) -> Self {
        let id = EntryId { name: format!("e{index}").as_str().into(), incarnation: 1 };
        let election = Election::new(id.clone(), cpu, Millis(0));
        Self {
            id,
            cpu,
            election,
            owner: None,
            last_epoch: 0,
            next_check: 0,
            pending: None,
            dead: 0,
            cut: 0,
            rejected: 0,
            overloaded: 0,
        }
    }

    fn append(&mut self, now: u64, record: ElectionRecord, successor: Option<&str>) {
        self.append_naming(now, record, successor, ClaimantUpdate::Any);
    }

    fn append_naming(
        &mut self,
        now: u64,
        record: ElectionRecord,
        successor: Option<&str>,
        claimants: ClaimantUpdate,
    ) {
        let successor = successor.map(Into::into);
        let extension = Extension { cpu: self.cpu, successor, claimants, ..Extension::default() };
        let end = self.election.next_offset();
        self.pending = Some(Append { sent: now, end, record, extension });
    }

    /// The period of what this entry does, which is longer while it is overloaded. The load is more
    /// than a small owner can handle.
    fn period(&self, now: u64, usual: u64, overloaded: u64) -> u64 {
        let is_overloaded = now < self.overloaded
            || self.cpu == SMALL && self.owner.as_ref().is_some_and(|owner| now >= owner.ready_at);
        if is_overloaded { overloaded } else { usual }
    }
}

/// A deployment with one cell.
struct World {
    now: u64,
    log: Log,
    entries: Vec<Entry>,
    store_down: u64,
    prefers_capacity: bool,
}

impl World {
    fn new(cpus: &[u32], prefers_capacity: bool) -> Self {
        let mut entries: Vec<_> =
            cpus.iter().enumerate().map(|(index, cpu)| Entry::new(index, *cpu)).collect();
        for entry in &mut entries {
            entry.election.set_prefers_capacity(prefers_capacity);
        }
        Self { now: 0, log: Log::default(), entries, store_down: 0, prefers_capacity }
    }

    fn reaches_store(&self, index: usize) -> bool {
        let entry = &self.entries[index];
        self.now >= self.store_down.max(entry.dead).max(entry.cut).max(entry.rejected)
    }

    fn reaches_peer(&self, index: usize, other: usize) -> bool {
        let free = |entry: &Entry| self.now >= entry.dead.max(entry.cut);
        index != other && free(&self.entries[index]) && free(&self.entries[other])
    }

    /// The entry that owns the cell and accepts jobs.
    fn serving(&self) -> Option<usize> {
        let now = Millis(self.now);
        (0..self.entries.len()).find(|index| {
            self.entries[*index].owner.as_ref().is_some_and(|owner| {
                self.now >= owner.ready_at
                    && owner.authority.heartbeat_age(now) < HEARTBEAT_MAX_AGE
                    && self.reaches_store(*index)
            })
        })
    }

    /// The entries that may send orders.
    fn acting(&self) -> usize {
        let acts = |entry: &&Entry| {
            self.now >= entry.dead
                && entry.owner.as_ref().is_some_and(|owner| {
                    self.now >= owner.ready_at && owner.authority.is_valid(Millis(self.now))
                })
        };
        self.entries.iter().filter(acts).count()
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP;
            for index in 0..self.entries.len() {
                if self.now >= self.entries[index].dead {
                    self.step(index);
                }
            }
            let log = &self.log.records;
            assert!(self.acting() <= 1, "two owners at {}: {:?}", self.now, log.last_chunk::<4>());
        }
    }

    fn step(&mut self, index: usize) {
        if self.now % self.entries[index].period(self.now, 30, 90) == 0 {
            self.read(index);
        }
        self.deliver(index);
        self.follow_ownership(index);
        self.claim(index);
        self.own(index);
    }

    fn read(&mut self, index: usize) {
        if !self.reaches_store(index) {
            return;
        }
        self.log.read_into(&mut self.entries[index].election, self.now);
    }

    /// Appends what has arrived at the log, if the log still ends where the append requires it.
    fn deliver(&mut self, index: usize) {
        let Some(append) = take_arrived(&mut self.entries[index].pending, self.now) else { return };
        if !self.reaches_store(index) {
            if let Some(owner) = &mut self.entries[index].owner {
                owner.authority.record_store_failure(Millis(self.now));
            }
            return;
        }
        let (now, actual) = (Millis(self.now), self.log.end());
        let entry = &mut self.entries[index];
        if self.log.accept(&append, &mut entry.election, self.now) {
            if let Some(owner) = &mut entry.owner {
                let claimants = append.extension.claimants;
                owner.authority.confirm_claimants(now - Millis(APPEND_TIME), claimants);
            }
        } else if append.is_claim() {
            self.entries[index].election.record_mismatch(actual);
            self.read(index);
            self.entries[index].next_check = self.now;
        } else if let Some(owner) = &mut self.entries[index].owner {
            owner.next_heartbeat = self.now + 20;
        } else {
            // The record that gives up the cell.
            let successor = append.extension.successor;
            self.read(index);
            self.entries[index].append(self.now, append.record, successor.as_deref());
        }
    }

    /// Starts the takeover of an entry that owns the cell, and ends that of one that does not.
    fn follow_ownership(&mut self, index: usize) {
        let (now, peers) = (self.now, self.entries.len() as u32 - 1);
        let entry = &mut self.entries[index];
        let epoch = entry.election.leader().map_or(0, |leader| leader.epoch);
        if entry.owner.as_ref().is_some_and(|owner| owner.epoch < epoch) {
            entry.owner = None;
        }
        if !entry.election.is_owner() || epoch <= entry.last_epoch {
            return;
        }
        let took = if entry.cpu == SMALL { 830 } else { 200 };
        let ready_at = now + took;
        entry.last_epoch = epoch;
        let inherited = entry.election.inherited_claimants().cloned();
        let (name, at) = (entry.id.name.clone(), Millis(now));
        let mut authority = Authority::new(name, at, at, inherited.as_ref());
        authority.expect_peers(Millis(now), peers);
        entry.owner = Some(Ownership {
            epoch,
            ready_at,
            authority,
            lag: TickLag::new(Millis(ready_at)),
            last_tick: ready_at,
            next_heartbeat: now,
            next_check: ready_at + 1_000,
            connected: BTreeSet::new(),
        });
    }

    fn claim(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        if now < entry.next_check || entry.pending.is_some() || entry.owner.is_some() {
            return;
        }
        entry.next_check = now + 150 + 10 * index as u64;
        if entry.election.try_claim(Millis(now)).is_some() {
            let owner = entry.id.clone();
            let claimants = entry.election.next_claimants();
            let record = ElectionRecord::Claim { owner, addr: "1.2.3.4:5".into() };
            entry.append_naming(now, record, None, claimants);
        }
    }

    /// What an owner does: ticks, heartbeats, reading pings, and deciding on a hand-over.
    fn own(&mut self, index: usize) {
        let now = self.now;
        let period = |usual, overloaded| self.entries[index].period(now, usual, overloaded);
        let (tick_period, ping_period) = (period(100, 300), period(150, 900));
        let heartbeat_period = period(400, 1_100);
        let Some(mut owner) = self.entries[index].owner.take() else { return };
        if now >= owner.ready_at {
            if now >= owner.last_tick + tick_period {
                owner.last_tick = now;
                owner.lag.record_tick(Millis(now), Millis(100));
            }
            if now % ping_period == 0 {
                self.read_pings(index, &mut owner);
            }
            if now >= owner.next_check && self.hand_over(index, &mut owner) {
                return;
            }
        }
        let is_late = self.prefers_capacity && owner.lag.is_late();
        let entry = &mut self.entries[index];
        let may_write = entry.election.is_owner() && entry.pending.is_none();
        if now >= owner.next_heartbeat && may_write {
            owner.next_heartbeat = now + heartbeat_period;
            let largest = owner.authority.largest_peer(Millis(now), is_late, None);
            let largest_cpu = largest.map_or(0, |peer| peer.cpu).max(entry.cpu);
            let (epoch, id) = (owner.epoch, entry.id.clone());
            let addr = "1.2.3.4:5".into();
            let claimants = owner.authority.claimants(Millis(now));
            let record = ElectionRecord::Heartbeat { epoch, owner: id, addr, largest_cpu };
            entry.append_naming(now, record, None, claimants);
        }
        self.entries[index].owner = Some(owner);
    }

    fn read_pings(&self, index: usize, owner: &mut Ownership) {
        let now = Millis(self.now);
        for (other, peer) in self.entries.iter().enumerate() {
            // Entries are connected to the owner by the newest claim that they know.
            let leader = peer.election.leader().map_or(0, |leader| leader.epoch);
            if leader == owner.epoch && self.reaches_peer(index, other) {
                if owner.connected.insert(other) {
                    owner.authority.add_peer(now, &peer.id.name, peer.cpu);
                }
                let log_readable = peer.election.is_log_fresh(now);
                owner.authority.update_peer(now, &peer.id.name, log_readable);
            } else {
                owner.connected.remove(&other);
            }
        }
    }

    /// Gives up the cell if that is decided. The ownership has ended then.
    fn hand_over(&mut self, index: usize, owner: &mut Ownership) -> bool {
        let (now, entry) = (Millis(self.now), &mut self.entries[index]);
        owner.next_check = self.now + 1_000;
        let (election, authority) = (&entry.election, &owner.authority);
        let is_serving = authority.heartbeat_age(now) < HEARTBEAT_MAX_AGE;
        let decided = match self.prefers_capacity || is_serving {
            true => hand_over::decide(now, entry.cpu, election, authority, &owner.lag),
            false => None,
        };
        let Some(decided) = decided else { return false };
        let epoch = owner.epoch;
        let record = match decided.reason {
            Reason::Overload => ElectionRecord::Overloaded { epoch },
            Reason::Size | Reason::Stop => ElectionRecord::Release { epoch },
        };
        if decided.reason == Reason::Overload {
            entry.election.back_off(now + CLAIM_BACKOFF);
        }
        let successor = decided.successor.map(|peer| peer.name);
        entry.append(self.now, record, successor.as_deref());
        true
    }

    /// Whether the owner accepts jobs and has at least half the CPU of the largest entry.
    fn is_well_owned(&self) -> bool {
        self.serving().is_some_and(|owner| self.entries[owner].cpu >= self.required_cpu())
    }

    /// Half of the CPU of the largest entry that can read the log.
    fn required_cpu(&self) -> u32 {
        let readers = (0..self.entries.len()).filter(|index| self.reaches_store(*index));
        readers.map(|index| self.entries[index].cpu).max().unwrap_or(0) / 2
    }

    /// The number of times that the cell was given up because of overload.
    fn overload_count(&self) -> usize {
        let is_overload =
            |record: &ElectionRecord| matches!(record, ElectionRecord::Overloaded { .. });
        self.log.records.iter().filter(|(record, _)| is_overload(record)).count()
    }
}

/// The owner is gone. When the large entries claim, records that they have not read are at the
/// end of the log; the small ones claim 300 ms later. Returns the CPU of the next owner.
fn next_owner_after_outdated_claims(prefers_capacity: bool) -> u32 {
    let mut world = World::new(&[LARGE, LARGE, LARGE, SMALL, SMALL], prefers_capacity);
    world.run_until(5_000);
    let gone = world.serving().expect("an owner");
    let epoch = world.entries[gone].last_epoch;
    world.entries[gone].dead = u64::MAX;
    let mut disturbed = BTreeSet::new();
    while world.serving().is_none() {
        world.run_until(world.now + STEP);
        for (index, entry) in world.entries.iter().enumerate() {
            let is_claiming = entry.pending.as_ref().is_some_and(Append::is_claim);
            if is_claiming && entry.cpu == LARGE && disturbed.insert(index) {
                // An append that was delayed. It is of an earlier epoch and changes nothing.
                let late = ElectionRecord::Release { epoch: epoch - 1 };
                world.log.records.push((late, Extension::default()));
            }
        }
    }
    world.entries[world.serving().unwrap()].cpu
}

#[test]
fn large_entries_that_claimed_with_an_outdated_end_claim_before_small_ones() {
    assert_eq!(next_owner_after_outdated_claims(true), LARGE);
    assert_eq!(
        next_owner_after_outdated_claims(false),
        SMALL,
        "the case does not show the failure"
    );
}

/// Runs random faults for 20 s, then checks the bound of docs/design/hard-load.md. Returns whether
/// it holds.
fn holds_bound(seed: u64, prefers_capacity: bool) -> bool {
    let mut rng = fastrand::Rng::with_seed(seed);
    let cpus: Vec<u32> =
        (0..6).map(|index| if index < 2 || rng.u8(..5) == 0 { LARGE } else { SMALL }).collect();
    let mut world = World::new(&cpus, prefers_capacity);
    let mut last_fault = 0;
    while world.now < 20_000 {
        world.run_until(world.now + rng.u64(500..4_000));
        let until = world.now + rng.u64(300..5_000);
        let victim = match world.serving() {
            Some(owner) if rng.bool() => owner,
            _ => rng.usize(..cpus.len()),
        };
        match rng.u8(..6) {
            0 => kill(&mut world, victim, until, prefers_capacity),
            1 => world.entries[victim].cut = until,
            2 => world.entries[victim].overloaded = until + 3_000,
            3 => world.store_down = until,
            4 => world.log.lose_records(),
            // The store rejects a third of the entries at the most. Owners depend on that.
            _ if world.entries.iter().any(|entry| world.now < entry.rejected) => {}
            _ => (0..2).for_each(|index| world.entries[(victim + index) % 6].rejected = until),
        }
        last_fault = last_fault.max(until + 3_000);
    }
    world.run_until(last_fault + BOUND);
    let overloads = world.overload_count();
    assert!(overloads <= 2, "seed {seed}: the cell circulates, {overloads} overloads");
    (0..40).all(|_| {
        world.run_until(world.now + 100);
        world.is_well_owned()
    })
}

/// Kills an entry. It starts again at `until`, with no memory.
fn kill(world: &mut World, victim: usize, until: u64, prefers_capacity: bool) {
    let mut entry = Entry::new(victim, world.entries[victim].cpu);
    entry.id.incarnation = world.now;
    entry.election = Election::new(entry.id.clone(), entry.cpu, Millis(world.now));
    entry.election.set_prefers_capacity(prefers_capacity);
    entry.dead = until;
    world.entries[victim] = entry;
}

/// The number of seeds of the search; set by `SPRUCE_CASES`.
fn case_count() -> u64 {
    match std::env::var("SPRUCE_CASES") {
        Ok(text) => text.parse().unwrap_or_else(|err| panic!("SPRUCE_CASES={text:?}: {err}")),
        Err(_) => 200,
    }
}

#[test]
fn after_faults_a_large_enough_entry_owns_the_cell_within_10_s() {
    let failed: Vec<u64> = (1..=case_count()).filter(|seed| !holds_bound(*seed, true)).collect();
    assert!(failed.is_empty(), "seeds {failed:?}");
    let failed = (1..=200).filter(|seed| !holds_bound(*seed, false)).count();
    assert!(failed > 0, "the search finds nothing without the rules for capacity");
}
