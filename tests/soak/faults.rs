//! Random sequences of overlapping faults, each with the time at which it begins and ends.

use fastrand::Rng;
use nix::sys::signal::Signal;
use sprucerudder::standin::site::{WORKER_CPU, store};
use std::time::Duration;

/// A fault of a network link.
#[derive(Debug, Clone, Copy)]
pub enum LinkFault {
    Delay(Duration),
    Reset,
    /// Bytes from the caller are held back.
    HoldRequests,
    /// Bytes to the caller are held back.
    HoldReplies,
    HoldBoth,
}

/// A link with a proxy, by the index of its entry or worker.
#[derive(Debug, Clone, Copy)]
pub enum Link {
    Store(u16),
    Advice(u16),
    Peer(u16),
    Worker(u16),
}

/// The begin or the end of a fault.
#[derive(Debug, Clone)]
pub enum FaultAction {
    SignalEntry(u16, Signal),
    KillEntry(u16),
    /// The VM of an entry loses power: its connections stay open at the workers.
    CutEntryPower(u16),
    /// Starts an entry that is not running.
    StartEntry(u16),
    DisturbLink(Link, LinkFault),
    RestoreLink(Link),
    /// Open connections stall for good without a reset; new ones work.
    StallConnections(Link),
    SetStoreFaults(store::Faults),
    /// The store drops its history.
    CompactStore,
    /// Whether every task that a worker starts fails.
    FailTasks(u16, bool),
    /// A worker executes its orders this many milliseconds later and does not answer them; 0 ends
    /// the fault.
    DelayOrders(u16, u64),
    /// A worker crashes and starts again under a new id.
    CrashWorker(u16),
    /// A worker crashes and starts again under its former id, also after later crashes.
    RestartWorker(u16),
    /// All entries are killed and all workers crash; the workers start again under their former
    /// ids.
    LosePower,
    /// The capacity of a worker changes to this many thousandths of a core.
    ResizeWorker(u16, u64),
}

/// Faults within `period_ms`, sorted by time: milliseconds from the start of the run and the
/// action.
pub fn random_faults(
    rng: &mut Rng,
    entries: u16,
    workers: u16,
    period_ms: u64,
) -> Vec<(u64, FaultAction)> {
    let mut actions = Vec::new();
    for _ in 0..rng.u32(4..11) {
        let start = rng.u64(0..period_ms);
        let end = start + rng.u64(200..3_500);
        let entry = rng.u16(0..entries);
        let worker = rng.u16(0..workers);
        match rng.u32(0..12) {
            0 => {
                actions.push((start, FaultAction::SignalEntry(entry, Signal::SIGSTOP)));
                actions.push((end, FaultAction::SignalEntry(entry, Signal::SIGCONT)));
            }
            1 => {
                // Half of the times decide, because another random number would change the faults
                // of all earlier seeds.
                let loses_power = start % 2 == 0;
                actions.push(match loses_power {
                    true => (start, FaultAction::CutEntryPower(entry)),
                    false => (start, FaultAction::KillEntry(entry)),
                });
                actions.push((end, FaultAction::StartEntry(entry)));
            }
            2 => {
                // A planned replacement of some entries, one after the other.
                for no in 0..rng.u64(1..4) {
                    let other = (entry + no as u16) % entries;
                    actions
                        .push((start + no * 700, FaultAction::SignalEntry(other, Signal::SIGTERM)));
                }
            }
            3 => actions.push((start, FaultAction::SignalEntry(entry, Signal::SIGHUP))),
            4 => {
                for entry in 0..entries {
                    actions.push((start, FaultAction::KillEntry(entry)));
                    actions.push((start + rng.u64(50..800), FaultAction::StartEntry(entry)));
                }
            }
            5 | 6 => {
                let link = match rng.u32(0..3) {
                    0 => Link::Store(entry),
                    1 => Link::Advice(entry),
                    _ => Link::Peer(entry),
                };
                actions.push((start, FaultAction::DisturbLink(link, random_link_fault(rng))));
                actions.push((end, FaultAction::RestoreLink(link)));
            }
            7 => {
                let link = Link::Worker(worker);
                // Some of these faults outlast a lease.
                let end = end + if rng.bool() { 5_000 } else { 0 };
                actions.push((start, FaultAction::DisturbLink(link, random_link_fault(rng))));
                actions.push((end, FaultAction::RestoreLink(link)));
            }
            8 => {
                actions.push((start, FaultAction::SetStoreFaults(random_store_fault(rng))));
                actions.push((end, FaultAction::SetStoreFaults(store::Faults::default())));
            }
            9 => actions.push((start, FaultAction::CompactStore)),
            10 => {
                actions.push((start, FaultAction::FailTasks(worker, true)));
                actions.push((end, FaultAction::FailTasks(worker, false)));
            }
            _ => {
                actions.push((start, FaultAction::DelayOrders(worker, rng.u64(500..4_000))));
                actions.push((end, FaultAction::DelayOrders(worker, 0)));
            }
        }
    }
    actions.sort_by_key(|(at, _)| *at);
    actions
}

/// Stalled connections. They have a random generator of their own, so that the other faults of a
/// recorded seed stay the same.
pub fn random_stalls(
    seed: u64,
    entries: u16,
    workers: u16,
    period_ms: u64,
) -> Vec<(u64, FaultAction)> {
    let mut rng = Rng::with_seed(seed);
    let mut random_stall = |_| {
        let link = match rng.u32(0..3) {
            0 => Link::Store(rng.u16(0..entries)),
            1 => Link::Peer(rng.u16(0..entries)),
            _ => Link::Worker(rng.u16(0..workers)),
        };
        (rng.u64(0..period_ms), FaultAction::StallConnections(link))
    };
    (0..3).map(&mut random_stall).collect()
}

/// Workers that crash, shrink and grow. They have a random generator of their own, so that the
/// other faults of a recorded seed stay the same.
pub fn random_worker_faults(seed: u64, workers: u16, period_ms: u64) -> Vec<(u64, FaultAction)> {
    let mut rng = Rng::with_seed(seed ^ 0x5eed);
    let mut actions = Vec::new();
    for _ in 0..rng.u32(1..4) {
        let (at, worker) = (rng.u64(0..period_ms), rng.u16(0..workers));
        match rng.bool() {
            true => actions.push((at, FaultAction::CrashWorker(worker))),
            false => {
                actions.push((at, FaultAction::ResizeWorker(worker, rng.u64(500..6_000))));
                actions.push((
                    at + rng.u64(500..6_000),
                    FaultAction::ResizeWorker(worker, WORKER_CPU),
                ));
            }
        }
    }
    actions
}

/// Workers that start again under their former ids, and a power loss of the whole cell. They have a
/// random generator of their own.
pub fn random_restarts(
    seed: u64,
    entries: u16,
    workers: u16,
    period_ms: u64,
) -> Vec<(u64, FaultAction)> {
    let mut rng = Rng::with_seed(seed ^ 0x11fe);
    let random_restart =
        |rng: &mut Rng| (rng.u64(0..period_ms), FaultAction::RestartWorker(rng.u16(0..workers)));
    let mut actions: Vec<_> = (0..rng.u32(2..6)).map(|_| random_restart(&mut rng)).collect();
    if rng.u32(0..3) == 0 {
        let at = rng.u64(0..period_ms);
        actions.push((at, FaultAction::LosePower));
        actions.extend((0..entries).map(|no| (at + rng.u64(50..800), FaultAction::StartEntry(no))));
    }
    actions
}

fn random_link_fault(rng: &mut Rng) -> LinkFault {
    match rng.u32(0..5) {
        0 => LinkFault::Delay(Duration::from_millis(rng.u64(5..400))),
        1 => LinkFault::Reset,
        2 => LinkFault::HoldRequests,
        3 => LinkFault::HoldReplies,
        _ => LinkFault::HoldBoth,
    }
}

fn random_store_fault(rng: &mut Rng) -> store::Faults {
    let fault = store::Faults::default();
    match rng.u32(0..4) {
        0 => store::Faults { refuses: true, ..fault },
        1 => store::Faults { silent: true, ..fault },
        2 => store::Faults { lost_replies: rng.u32(1..20), ..fault },
        _ => store::Faults { delay: Duration::from_millis(rng.u64(20..300)), ..fault },
    }
}
