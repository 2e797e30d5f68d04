//! A small deployment for the cases of the second review: the platform's store, the runners, the
//! network between the zones and the clients are stand-ins in this process, and the entries are the
//! project's own program, started as processes of their own.
//!
//! Usage: `world SCENARIO FOLDER`. It writes FOLDER/record.txt and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the scenario could not run. With TROUBLE=0 in the environment it
//! does the same without the disruption.

mod entries;
mod http;
mod json;
mod runner;
mod scenarios;
mod store;

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// How a scenario ended.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// What all parts share: the clock, the record, and which zone is cut off.
pub struct World {
    scenario: String,
    started: Instant,
    record: Mutex<File>,
    /// The number of the zone that is cut off from all others and from the store; 0 if none is.
    cut_zone: AtomicUsize,
    /// The zone that was cut off last.
    last_cut_zone: AtomicUsize,
    /// The number of cuts that have begun or ended, by which connections know that one came since.
    cut_count: AtomicUsize,
    /// The zone of each host number: 127.0.0.HOST.
    zones: Mutex<HashMap<u8, u8>>,
}

impl World {
    pub fn scenario(&self) -> &str {
        &self.scenario
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a line to the record.
    pub fn note(&self, line: &str) {
        let mut file = self.record.lock().unwrap();
        writeln!(file, "{:>7} {line}", self.now()).unwrap();
    }

    pub fn has_trouble(&self) -> bool {
        std::env::var("TROUBLE").as_deref() != Ok("0")
    }

    /// Cuts a zone off, or ends the cut if `zone` is 0.
    pub fn set_cut(&self, zone: u8) {
        if zone != 0 {
            self.last_cut_zone.store(usize::from(zone), Ordering::SeqCst);
        }
        self.cut_count.fetch_add(1, Ordering::SeqCst);
        self.cut_zone.store(usize::from(zone), Ordering::SeqCst);
        match zone {
            0 => self.note("the cut ends"),
            zone => self
                .note(&format!("zone {zone} is cut off from the other zones and from the store")),
        }
    }

    /// Whether the path between two zones is cut; the store is in zone 0.
    pub fn is_cut(&self, from: u8, to: u8) -> bool {
        let cut = self.cut_zone.load(Ordering::SeqCst) as u8;
        cut != 0 && from != to && (from == cut || to == cut)
    }

    pub fn last_cut_zone(&self) -> Option<u8> {
        Some(self.last_cut_zone.load(Ordering::SeqCst) as u8).filter(|zone| *zone != 0)
    }

    pub fn cut_count(&self) -> usize {
        self.cut_count.load(Ordering::SeqCst)
    }

    pub fn set_zone(&self, host: u8, zone: u8) {
        self.zones.lock().unwrap().insert(host, zone);
    }

    /// The address of a host as another zone reaches it: through a relay of that zone.
    pub fn relayed(host: u8, zone: u8) -> String {
        format!("127.0.{zone}.{host}")
    }

    /// Replaces the addresses of hosts in other zones by those of the relays of `zone`, which have
    /// the same length.
    pub fn localize(&self, bytes: &[u8], zone: u8) -> Vec<u8> {
        let zones = self.zones.lock().unwrap();
        replace_hosts(bytes, b"127.0.0.", |host| {
            let is_remote = zones.get(&host).is_some_and(|known| *known != zone);
            is_remote.then(|| Self::relayed(host, zone))
        })
    }

    /// The reverse of [`World::localize`].
    pub fn globalize(&self, bytes: &[u8], zone: u8) -> Vec<u8> {
        let prefix = format!("127.0.{zone}.");
        replace_hosts(bytes, prefix.as_bytes(), |host| Some(format!("127.0.0.{host}")))
    }
}

/// Replaces each `prefix` with a host number and a colon behind it by `replacement` and a colon.
fn replace_hosts(
    bytes: &[u8],
    prefix: &[u8],
    replacement: impl Fn(u8) -> Option<String>,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let rest = &bytes[at..];
        if rest.starts_with(prefix) {
            let digits: Vec<u8> =
                rest[prefix.len()..].iter().copied().take_while(u8::is_ascii_digit).collect();
            let host = std::str::from_utf8(&digits).ok().and_then(|text| text.parse().ok());
            let is_address = rest.get(prefix.len() + digits.len()) == Some(&b':');
            if let Some(text) = host.filter(|_| is_address).and_then(&replacement) {
                out.extend_from_slice(text.as_bytes());
                at += prefix.len() + digits.len();
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    out
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = args.as_slice() else {
        eprintln!("usage: world SCENARIO FOLDER");
        std::process::exit(2);
    };
    let record =
        File::create(format!("{folder}/record.txt")).expect("the record cannot be written");
    let world = Arc::new(World {
        scenario: scenario.clone(),
        started: Instant::now(),
        record: Mutex::new(record),
        cut_zone: AtomicUsize::new(0),
        last_cut_zone: AtomicUsize::new(0),
        cut_count: AtomicUsize::new(0),
        zones: Mutex::new(HashMap::new()),
    });
    world.note(&format!("scenario {scenario}, trouble {}", world.has_trouble()));
    // A panic ends the entries, as they are dropped, and says nothing about the rule.
    let run = AssertUnwindSafe(|| scenarios::run(&world, scenario));
    let verdict = catch_unwind(run).unwrap_or_else(|_| Verdict::NotRun("a panic".to_string()));
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_string()),
        Verdict::Broken(why) => (1, format!("the rule was broken: {why}")),
        Verdict::NotRun(why) => (2, format!("could not run: {why}")),
    };
    world.note(&text);
    println!("{text}");
    std::process::exit(code);
}
