//! Whether an owner gives up its cell because it is overloaded or far smaller than another entry,
//! and which entry should claim the cell next.

use crate::cell::owner::authority::{Authority, PeerCpu};
use crate::cell::owner::election::Election;
use crate::cell::owner::lag::TickLag;
use crate::clock::Millis;
use std::fmt;

/// An entry has clearly more CPU than another one if it has at least this many times as much.
const MIN_SIZE_RATIO: u32 = 2;

/// Why an owner gives up its cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The process is about to stop.
    Stop,
    /// Another entry has clearly more CPU.
    Size,
    /// The owner is overloaded.
    Overload,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stop => "stop",
            Self::Size => "size",
            Self::Overload => "overload",
        })
    }
}

/// The decision of an owner to give up its cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandOver {
    /// Why the cell is given up.
    pub reason: Reason,
    /// The largest entry that can own the cell.
    pub largest: PeerCpu,
    /// The entry that should claim the cell, if one has clearly more CPU than the owner.
    pub successor: Option<PeerCpu>,
}

/// Decides whether an owner with `cpu` millicores gives up its cell.
///
/// By the rules for entries with unequal CPU, an owner does so while its heartbeats are late, but not without authority, and not while the
/// store fails its calls: nobody could claim the cell then.
pub fn decide(
    now: Millis,
    cpu: u32,
    election: &Election,
    authority: &Authority,
    lag: &TickLag,
) -> Option<HandOver> {
    if !election.prefers_capacity() {
        let largest = authority.largest_peer(now, false, None)?;
        let is_larger = largest.cpu >= cpu.max(1) * MIN_SIZE_RATIO;
        let is_overloaded = election.may_hand_over(now) && lag.should_hand_over(now);
        let reason = if is_overloaded { Reason::Overload } else { Reason::Size };
        let hands_over = is_larger || is_overloaded;
        return hands_over.then_some(HandOver { reason, largest, successor: None });
    }
    let may_write = authority.is_valid(now)
        && !authority.depends_on_peers(now)
        && !authority.is_store_failing();
    if !may_write {
        return None;
    }
    let overloaded_before = election.overloaded_owner(now);
    let largest = authority.largest_peer(now, lag.is_late(), overloaded_before)?;
    let is_larger = largest.cpu >= cpu.max(1) * MIN_SIZE_RATIO;
    let is_overloaded =
        largest.cpu >= cpu && lag.should_hand_over(now) && election.may_hand_over(now);
    // A small owner's overload does not mean that a larger entry would be overloaded, and must not
    // keep that one from handing over.
    let reason = match is_larger && election.may_hand_over_for_size(now) {
        true => Reason::Size,
        false if is_overloaded => Reason::Overload,
        false => return None,
    };
    let successor = is_larger.then(|| largest.clone());
    Some(HandOver { reason, largest, successor })
}

/// The entry that should claim the cell of an owner with `cpu` millicores that stops, if one has
/// clearly more CPU.
pub fn successor_at_stop(now: Millis, cpu: u32, authority: &Authority) -> Option<PeerCpu> {
    let largest = authority.largest_peer(now, false, None)?;
    (largest.cpu >= cpu.max(1) * MIN_SIZE_RATIO).then_some(largest)
}
