//! Compares policies of sharing runner slots between entries, on the same seeded requests and a
//! virtual clock: leases from the shard's owner, forwarding each request to the owner, and a fixed
//! split.

#[path = "common/mod.rs"]
mod common;

use common::SplitMix64;
use sprucerudder::clock::Millis;
use sprucerudder::controller::slots::{SlotDecision, SlotLender, SlotRequest, Slots};
use sprucerudder::id::Name;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const ENTRIES: usize = 3;
const RUNNERS: usize = 16;
const SLOTS_PER_RUNNER: u32 = 8;
/// Length of the stream of requests.
const STREAM_MS: u64 = 120_000;
/// Requests that arrive before this time are not counted.
const WARM_UP_MS: u64 = 20_000;
/// Interval at which an entry renews its leases at the owner, as in production.
const RENEW_INTERVAL_MS: u64 = 200;
/// Round trip between two entries: twice 0.5 ms.
const ROUND_TRIP_MS: u64 = 1;
const SHARD: &str = "rack";

/// A request: its arrival time, the entry at which it arrives, and its run time on a runner.
#[derive(Clone, Copy)]
struct Request {
    at: u64,
    entry: usize,
    run: u64,
}

/// A policy of sharing slots. Its methods return the requests that start now.
trait SharingPolicy {
    fn arrive(&mut self, now: u64, id: usize, entry: usize) -> Vec<usize>;
    fn end(&mut self, now: u64, id: usize, entry: usize) -> Vec<usize>;
    fn tick(&mut self, now: u64) -> Vec<usize>;
    /// Time that a request waits in addition to its wait for a slot.
    fn extra_wait(&self, entry: usize) -> u64;
}

/// Pools of slots, each of which serves requests first come, first served.
struct Pools {
    free: Vec<u32>,
    waiting: Vec<VecDeque<usize>>,
    round_trip: u64,
}

impl Pools {
    fn fixed_split() -> Self {
        let total = RUNNERS as u32 * SLOTS_PER_RUNNER;
        let free = (0..ENTRIES as u32).map(|i| (total + i) / ENTRIES as u32).collect();
        Self { free, waiting: vec![VecDeque::new(); ENTRIES], round_trip: 0 }
    }

    fn forwarding() -> Self {
        Self {
            free: vec![RUNNERS as u32 * SLOTS_PER_RUNNER],
            waiting: vec![VecDeque::new()],
            round_trip: ROUND_TRIP_MS,
        }
    }

    fn pool(&self, entry: usize) -> usize {
        entry % self.free.len()
    }
}

impl SharingPolicy for Pools {
    fn arrive(&mut self, _: u64, id: usize, entry: usize) -> Vec<usize> {
        let pool = self.pool(entry);
        if self.free[pool] == 0 {
            self.waiting[pool].push_back(id);
            return Vec::new();
        }
        self.free[pool] -= 1;
        vec![id]
    }

    fn end(&mut self, _: u64, _: usize, entry: usize) -> Vec<usize> {
        let pool = self.pool(entry);
        let next = self.waiting[pool].pop_front();
        self.free[pool] += next.is_none() as u32;
        next.into_iter().collect()
    }

    fn tick(&mut self, _: u64) -> Vec<usize> {
        Vec::new()
    }

    fn extra_wait(&self, entry: usize) -> u64 {
        if entry == 0 { 0 } else { self.round_trip }
    }
}

/// The scheduler's own policy: leases from the first entry, which owns the shard.
struct Leases {
    lender: SlotLender,
    slots: Vec<Slots>,
    runners: BTreeMap<usize, Name>,
}

fn entry_name(entry: usize) -> Name {
    format!("e{entry}").into()
}

impl Leases {
    fn new() -> Self {
        let runners: Vec<Name> = (0..RUNNERS).map(|i| format!("r{i}").into()).collect();
        let mut lender = SlotLender::first();
        lender.set_runners(runners.iter().map(|name| (name.clone(), SLOTS_PER_RUNNER)).collect());
        lender.set_entries((0..ENTRIES).map(entry_name).collect());
        let known = || runners.iter().map(|name| (name.clone(), SHARD.into(), false)).collect();
        let slots = (0..ENTRIES).map(|_| {
            let mut slots = Slots::default();
            slots.set_runners(known());
            slots
        });
        Self { lender, slots: slots.collect(), runners: BTreeMap::new() }
    }

    fn take_turns(&mut self, now: u64, entry: usize) -> Vec<usize> {
        let turns = self.slots[entry].turns(virtual_time(now));
        turns.into_iter().filter_map(|turn| self.start(turn)).collect()
    }

    fn start(&mut self, turn: SlotDecision) -> Option<usize> {
        match turn {
            SlotDecision::Go { id, runner } => {
                self.runners.insert(id as usize, runner);
                Some(id as usize)
            }
            SlotDecision::Wait => None,
            SlotDecision::GiveUp { .. } => panic!("no request is due within ten minutes"),
        }
    }
}

/// The virtual time, offset to be later than any lease of a lender's predecessor.
fn virtual_time(now: u64) -> Millis {
    Millis(1_000_000 + now)
}

impl SharingPolicy for Leases {
    fn arrive(&mut self, now: u64, id: usize, entry: usize) -> Vec<usize> {
        let request = SlotRequest {
            id: id as u64,
            kind: "preview".into(),
            weight: 100,
            limit: u32::MAX,
            queue: u32::MAX,
            came: virtual_time(now),
            due: virtual_time(now + 600_000),
        };
        let turn = self.slots[entry].ask(virtual_time(now), request);
        self.start(turn).into_iter().collect()
    }

    fn end(&mut self, now: u64, id: usize, entry: usize) -> Vec<usize> {
        let runner = self.runners.remove(&id).expect("runner");
        let kind = "preview".into();
        self.slots[entry].release(virtual_time(now), &runner, &kind, Millis(40), true);
        self.take_turns(now, entry)
    }

    fn tick(&mut self, now: u64) -> Vec<usize> {
        let mut started = Vec::new();
        for entry in 0..ENTRIES {
            let (uses, waiting) = self.slots[entry].uses(virtual_time(now), SHARD);
            let lent = self.lender.lend(virtual_time(now), &entry_name(entry), &uses, waiting);
            self.slots[entry].lent(virtual_time(now), &lent);
            started.extend(self.take_turns(now, entry));
        }
        started
    }

    fn extra_wait(&self, _: usize) -> u64 {
        0
    }
}

/// Requests that load a share of all slots; `skew` is the share of them that arrives at the second
/// entry.
fn stream(load: f64, skew: f64) -> Vec<Request> {
    let mut rng = SplitMix64(5);
    let rate = load * RUNNERS as f64 * SLOTS_PER_RUNNER as f64 / 0.040;
    let mut at = 0.0;
    let mut requests = Vec::new();
    while at < STREAM_MS as f64 {
        at += rng.exponential_gap(rate);
        let is_second = (rng.below(1_000) as f64) < skew * 1_000.0;
        let entry = if is_second { 1 } else { 2 * rng.below(2) as usize };
        requests.push(Request { at: at as u64, entry, run: 20 + rng.below(41) });
    }
    requests
}

/// Simulates a stream of requests; returns their sorted waits and the peak number of requests at
/// the runners.
fn simulate(requests: &[Request], policy: &mut dyn SharingPolicy) -> (Vec<u64>, usize) {
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let (mut next, mut tick, mut peak, mut waits) = (0, 0, 0, Vec::new());
    while next < requests.len() {
        let end = ends.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
        let now = requests[next].at.min(end).min(tick);
        let started = if now == end {
            let Some(Reverse((_, id))) = ends.pop() else { break };
            policy.end(now, id, requests[id].entry)
        } else if now == tick {
            tick += RENEW_INTERVAL_MS;
            policy.tick(now)
        } else {
            next += 1;
            policy.arrive(now, next - 1, requests[next - 1].entry)
        };
        for id in started {
            let request = requests[id];
            ends.push(Reverse((now + request.run, id)));
            if request.at >= WARM_UP_MS {
                waits.push(now - request.at + policy.extra_wait(request.entry));
            }
        }
        peak = peak.max(ends.len());
    }
    waits.sort_unstable();
    (waits, peak)
}

fn main() {
    println!(
        "waits for a slot, ms: share of requests at one of three entries, load, policy, median,"
    );
    println!("99 %, 99.9 %, peak of requests at the runners");
    for skew in [1.0 / 3.0, 0.6] {
        for load in [0.5, 0.8, 0.95] {
            let requests = stream(load, skew);
            let policies: [(&str, Box<dyn SharingPolicy>); 3] = [
                ("leases", Box::new(Leases::new())),
                ("forwarding", Box::new(Pools::forwarding())),
                ("fixed split", Box::new(Pools::fixed_split())),
            ];
            for (name, mut policy) in policies {
                let (waits, peak) = simulate(&requests, &mut *policy);
                let at = |share: usize| waits[waits.len() * share / 1_000];
                let [p50, p99, p999] = [500, 990, 999].map(at);
                println!("  {skew:.2} {load:.2} {name:<12} {p50:>6} {p99:>6} {p999:>6} {peak:>5}");
                assert!(
                    peak <= RUNNERS * SLOTS_PER_RUNNER as usize,
                    "more requests at the runners than slots"
                );
            }
        }
    }
}
