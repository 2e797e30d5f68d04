//! Random series of faults, overlapping, each with the time of its begin and of its end.

use fastrand::Rng;
use nix::sys::signal::Signal;
use sprucerudder::standin::site::{WORKER_CPU, store};
use std::time::Duration;

/// How entries or workers are cut off.
#[derive(Debug, Clone, Copy)]
pub enum Cut {
    Delay(Duration),
    Reset,
    /// Nothing passes from the caller.
    Up,
    /// Nothing passes to the caller.
    Down,
    Both,
}

/// Which relay.
#[derive(Debug, Clone, Copy)]
pub enum Link {
    Store(u16),
    Advice(u16),
    Peer(u16),
    Worker(u16),
}

/// One thing that is done to the cell.
#[derive(Debug, Clone)]
pub enum Act {
    Signal(u16, Signal),
    Kill(u16),
    /// Starts an entry that has no process.
    Start(u16),
    Cut(Link, Cut),
    Heal(Link),
    /// Open connections go silent for good, without a reset; new ones work.
    Silence(Link),
    Store(store::Faults),
    /// The store's history is dropped.
    Compact,
    /// Whether all that a worker starts fails.
    Grey(u16, bool),
    /// Orders to a worker are carried out so much later, in milliseconds, and not answered.
    Late(u16, u64),
    /// A worker crashes by itself, and is back soon.
    Crash(u16),
    /// A worker crashes by itself, and starts again under its id; later crashes of it are such, too.
    Restart(u16),
    /// All entries are killed and all workers crash, these to start again under their ids.
    Power,
    /// A worker has so many processors from now on, in thousandths of one.
    Resize(u16, u64),
}

/// Acts in the order of their times, in milliseconds from the begin.
pub fn draw(rng: &mut Rng, entries: u16, workers: u16, length: u64) -> Vec<(u64, Act)> {
    let mut acts = Vec::new();
    for _ in 0..rng.u32(4..11) {
        let from = rng.u64(0..length);
        let to = from + rng.u64(200..3_500);
        let entry = rng.u16(0..entries);
        let worker = rng.u16(0..workers);
        match rng.u32(0..12) {
            0 => {
                acts.push((from, Act::Signal(entry, Signal::SIGSTOP)));
                acts.push((to, Act::Signal(entry, Signal::SIGCONT)));
            }
            1 => {
                acts.push((from, Act::Kill(entry)));
                acts.push((to, Act::Start(entry)));
            }
            2 => {
                // A planned replacement of some entries, one after the other.
                for no in 0..rng.u64(1..4) {
                    let other = (entry + no as u16) % entries;
                    acts.push((from + no * 700, Act::Signal(other, Signal::SIGTERM)));
                }
            }
            3 => acts.push((from, Act::Signal(entry, Signal::SIGHUP))),
            4 => {
                for entry in 0..entries {
                    acts.push((from, Act::Kill(entry)));
                    acts.push((from + rng.u64(50..800), Act::Start(entry)));
                }
            }
            5 | 6 => {
                let link = match rng.u32(0..3) {
                    0 => Link::Store(entry),
                    1 => Link::Advice(entry),
                    _ => Link::Peer(entry),
                };
                acts.push((from, Act::Cut(link, cut(rng))));
                acts.push((to, Act::Heal(link)));
            }
            7 => {
                let link = Link::Worker(worker);
                // Some cuts outlast a lease.
                let to = to + if rng.bool() { 5_000 } else { 0 };
                acts.push((from, Act::Cut(link, cut(rng))));
                acts.push((to, Act::Heal(link)));
            }
            8 => {
                acts.push((from, Act::Store(store_fault(rng))));
                acts.push((to, Act::Store(store::Faults::default())));
            }
            9 => acts.push((from, Act::Compact)),
            10 => {
                acts.push((from, Act::Grey(worker, true)));
                acts.push((to, Act::Grey(worker, false)));
            }
            _ => {
                acts.push((from, Act::Late(worker, rng.u64(500..4_000))));
                acts.push((to, Act::Late(worker, 0)));
            }
        }
    }
    acts.sort_by_key(|(at, _)| *at);
    acts
}

/// Silent connections, drawn apart from the other acts: those of a kept seed stay as they were.
pub fn draw_silences(seed: u64, entries: u16, workers: u16, length: u64) -> Vec<(u64, Act)> {
    let mut rng = Rng::with_seed(seed);
    let mut silence = |_| {
        let link = match rng.u32(0..3) {
            0 => Link::Store(rng.u16(0..entries)),
            1 => Link::Peer(rng.u16(0..entries)),
            _ => Link::Worker(rng.u16(0..workers)),
        };
        (rng.u64(0..length), Act::Silence(link))
    };
    (0..3).map(&mut silence).collect()
}

/// Workers that crash, shrink and grow, drawn apart from the other acts: kept seeds stay as they were.
pub fn draw_workers(seed: u64, workers: u16, length: u64) -> Vec<(u64, Act)> {
    let mut rng = Rng::with_seed(seed ^ 0x5eed);
    let mut acts = Vec::new();
    for _ in 0..rng.u32(1..4) {
        let (at, worker) = (rng.u64(0..length), rng.u16(0..workers));
        match rng.bool() {
            true => acts.push((at, Act::Crash(worker))),
            false => {
                acts.push((at, Act::Resize(worker, rng.u64(500..6_000))));
                acts.push((at + rng.u64(500..6_000), Act::Resize(worker, WORKER_CPU)));
            }
        }
    }
    acts
}

/// Workers that start again under their ids, and power that is lost everywhere at once, drawn apart from the
/// other acts.
pub fn draw_lives(seed: u64, entries: u16, workers: u16, length: u64) -> Vec<(u64, Act)> {
    let mut rng = Rng::with_seed(seed ^ 0x11fe);
    let restart = |rng: &mut Rng| (rng.u64(0..length), Act::Restart(rng.u16(0..workers)));
    let mut acts: Vec<_> = (0..rng.u32(2..6)).map(|_| restart(&mut rng)).collect();
    if rng.u32(0..3) == 0 {
        let at = rng.u64(0..length);
        acts.push((at, Act::Power));
        acts.extend((0..entries).map(|no| (at + rng.u64(50..800), Act::Start(no))));
    }
    acts
}

fn cut(rng: &mut Rng) -> Cut {
    match rng.u32(0..5) {
        0 => Cut::Delay(Duration::from_millis(rng.u64(5..400))),
        1 => Cut::Reset,
        2 => Cut::Up,
        3 => Cut::Down,
        _ => Cut::Both,
    }
}

fn store_fault(rng: &mut Rng) -> store::Faults {
    let fault = store::Faults::default();
    match rng.u32(0..4) {
        0 => store::Faults { refuses: true, ..fault },
        1 => store::Faults { silent: true, ..fault },
        2 => store::Faults { lost_replies: rng.u32(1..20), ..fault },
        _ => store::Faults { delay: Duration::from_millis(rng.u64(20..300)), ..fault },
    }
}
