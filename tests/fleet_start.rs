//! A fleet whose entries all start at the same moment, on a virtual clock: one of them counts the
//! workers and writes the map of cells. The store sends a limited number of bytes a second to all.
//!
//! Every entry counted the workers for itself, so that the lists of hundreds of entries took the
//! store longer than their calls wait, and each of them began again from its first page, for good.

use sprucerudder::cell::owner::backoff::Backoff;
use sprucerudder::cell::owner::map_writer::{MapStep, MapWriter};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;

const ENTRIES: usize = 600;
const STEP: Millis = Millis(5);
/// What the store sends in a step to all entries together.
const BYTES_PER_STEP: u64 = 80_000 * STEP.0;
/// A page of the list of workers, and the pages of a list of 6,000 workers.
const PAGE_BYTES: u64 = 160_000;
const PAGES: u32 = 12;
/// How long an entry waits for a page.
const PAGE_TIMEOUT: Millis = Millis(2_000);
/// The time by which the map is written: a third of the time between the start of the entries and
/// that of the traffic on the fleets that this is for.
const MAP_DEADLINE: Millis = Millis(7_000);

/// What happens to the entry that counts, each time when it has read half of its first list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Killed,
    /// Its calls to the store are not answered any more.
    CutOff,
    /// It does not run for five seconds.
    Paused,
}

#[derive(Debug)]
struct Reading {
    pages: u32,
    /// When the store has sent the page.
    sent_at: Millis,
    asked_at: Millis,
}

struct Entry {
    writer: MapWriter,
    reading: Option<Reading>,
    resumes_at: Millis,
    is_gone: bool,
}

struct Fleet {
    now: Millis,
    entries: Vec<Entry>,
    /// Every entry counts, whatever others announce.
    all_count: bool,
    /// The announcements in the log.
    log: Vec<Name>,
    written_at: Option<Millis>,
    /// When the store has sent all that was asked for.
    store_free: Millis,
    bytes: u64,
    announcements_tried: u32,
    faults: Vec<Fault>,
}

impl Fleet {
    fn new(faults: &[Fault], all_count: bool) -> Self {
        let name = |index: usize| Name::from(format!("entry-{index}"));
        let entry = |index| Entry {
            writer: MapWriter::new(&name(index), Millis(1)),
            reading: None,
            resumes_at: Millis(0),
            is_gone: false,
        };
        Self {
            now: Millis(1),
            entries: (0..ENTRIES).map(entry).collect(),
            all_count,
            log: Vec::new(),
            written_at: None,
            store_free: Millis(1),
            bytes: 0,
            announcements_tried: 0,
            faults: faults.to_vec(),
        }
    }

    /// Runs until the map is written, for `time` at the most.
    fn run(&mut self, time: Millis) {
        while self.written_at.is_none() && self.now < time {
            self.now = self.now + STEP;
            // All entries act on the log as it was before this step, as their calls overlap.
            let (end, last) = (self.log.len(), self.log.last().cloned());
            for index in 0..self.entries.len() {
                self.step(index, end, last.as_ref());
            }
        }
    }

    fn step(&mut self, index: usize, end: usize, last: Option<&Name>) {
        let now = self.now;
        let all_count = self.all_count;
        let entry = &mut self.entries[index];
        if entry.is_gone || now < entry.resumes_at {
            return;
        }
        if entry.reading.is_some() {
            return self.read_on(index, end);
        }
        if let Some(counter) = last {
            entry.writer.record_announcement(now, end as u64, counter);
        }
        match entry.writer.next_step(now) {
            _ if all_count => self.ask_for_page(index, 0),
            MapStep::Wait(_) => {}
            MapStep::Count => self.ask_for_page(index, 0),
            MapStep::Announce => self.announce(index, end),
        }
    }

    /// Appends an announcement if the log still ends where the entry read it.
    fn announce(&mut self, index: usize, end: usize) {
        self.announcements_tried += 1;
        if self.log.len() == end {
            self.log.push(format!("entry-{index}").into());
        }
    }

    fn ask_for_page(&mut self, index: usize, pages: u32) {
        self.bytes += PAGE_BYTES;
        let start = self.store_free.max(self.now);
        self.store_free = start + Millis(PAGE_BYTES * STEP.0 / BYTES_PER_STEP);
        let (sent_at, asked_at) = (self.store_free, self.now);
        self.entries[index].reading = Some(Reading { pages, sent_at, asked_at });
    }

    fn read_on(&mut self, index: usize, end: usize) {
        let now = self.now;
        let Some(reading) = &self.entries[index].reading else { return };
        let pages = reading.pages + 1;
        match () {
            () if now >= reading.sent_at && pages == PAGES => self.finish_count(index, end),
            () if now >= reading.sent_at && pages == PAGES / 2 && !self.faults.is_empty() => {
                let fault = self.faults.remove(0);
                self.strike(index, fault);
            }
            () if now >= reading.sent_at => self.ask_for_page(index, pages),
            // An entry that counted for itself began its list again.
            () if now.since(reading.asked_at) >= PAGE_TIMEOUT => {
                let pages = if self.all_count { 0 } else { reading.pages };
                self.ask_for_page(index, pages);
            }
            () => {}
        }
    }

    fn strike(&mut self, index: usize, fault: Fault) {
        let entry = &mut self.entries[index];
        match fault {
            Fault::None => self.ask_for_page(index, PAGES / 2),
            Fault::Killed | Fault::CutOff => entry.is_gone = true,
            Fault::Paused => entry.resumes_at = self.now + Millis(5_000),
        }
    }

    fn finish_count(&mut self, index: usize, end: usize) {
        let entry = &mut self.entries[index];
        entry.reading = None;
        let is_complete = entry.writer.record_count(self.now, 6_000);
        let is_counter = self.log.last().is_some_and(|name| **name == format!("entry-{index}"));
        match () {
            () if !is_complete => self.announce(index, end),
            // The map is appended on the condition that no other entry has announced itself since.
            () if is_counter || self.all_count => self.written_at = Some(self.now),
            () => {}
        }
    }
}

fn start_with(faults: &[Fault]) -> Fleet {
    let mut fleet = Fleet::new(faults, false);
    fleet.run(Millis(60_000));
    fleet
}

#[test]
fn the_map_is_written_soon_however_many_entries_start() {
    let fleet = start_with(&[]);
    let written = fleet.written_at.expect("the map is written");
    assert!(written < MAP_DEADLINE, "after {written} ms");
    let lists = fleet.bytes / (PAGE_BYTES * u64::from(PAGES));
    assert!(lists <= 3, "the store sent {lists} lists");
    assert!(fleet.announcements_tried <= ENTRIES as u32 / 20, "{}", fleet.announcements_tried);
}

#[test]
fn another_entry_counts_when_the_first_one_is_lost() {
    for fault in [Fault::Killed, Fault::CutOff, Fault::Paused] {
        let fleet = start_with(&[fault]);
        let written = fleet.written_at.expect("the map is written");
        assert!(written < MAP_DEADLINE, "{fault:?}: after {written} ms");
    }
}

#[test]
fn the_map_is_written_although_three_counting_entries_are_lost() {
    let fleet = start_with(&[Fault::Killed, Fault::Paused, Fault::CutOff, Fault::None]);
    let written = fleet.written_at.expect("the map is written");
    assert!(written < Millis(16_000), "after {written} ms");
    let lists = fleet.bytes / (PAGE_BYTES * u64::from(PAGES));
    assert!(lists <= 8, "the store sent {lists} lists");
}

#[test]
fn a_store_that_sends_a_list_to_every_entry_never_finishes() {
    // What this guards against, with every entry counting.
    let mut fleet = Fleet::new(&[], true);
    fleet.run(Millis(20_000));
    assert_eq!(fleet.written_at, None);
}

#[test]
fn repeated_calls_of_a_large_fleet_stay_below_the_rate_of_the_store() {
    // Thousands of calls that were refused for their rate came back every 100 ms, and were refused
    // again for that.
    let calls: f64 = (0..ENTRIES as u64)
        .map(|entry| {
            let mut backoff = Backoff::default();
            let delays: Vec<u64> =
                (0..20).map(|_| backoff.next_delay(ENTRIES as u32, entry * 7_919).0).collect();
            1_000.0 / delays[19] as f64
        })
        .sum();
    assert!(calls <= 1_100.0, "{calls} calls a second");
}

#[test]
fn a_small_fleet_repeats_its_calls_soon() {
    // It notices that the store is back as soon as before.
    let mut backoff = Backoff::default();
    let slowest = (0..20).map(|_| backoff.next_delay(42, 7_919)).max();
    assert!(slowest <= Some(Millis(125)), "{slowest:?}");
    backoff.record_success();
    assert!(backoff.next_delay(5_000, 1) <= Millis(125), "the first repetition");
}
