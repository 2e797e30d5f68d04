//! The list of workers that one owner reads for the others: what each of them is told.
//!
//! An owner that is told too little starts tasks on workers that drain, or counts room that is gone.
//! It may miss updates, ask another reader, or read the list itself in between.

use proptest::prelude::*;
use sprucerudder::cell::workers::shared_list::{ListUpdate, ListVersion, SharedList};
use sprucerudder::id::Name;
use sprucerudder::order::WorkerInfo;
use sprucerudder::workload::Resources;
use std::collections::BTreeMap;

fn worker(number: u8, cpu: u64) -> WorkerInfo {
    WorkerInfo {
        id: format!("w{number}").into(),
        started_at: None,
        service: "s".into(),
        addr: "1.2.3.4:5".into(),
        domain: "a".into(),
        capacity: Resources { cpu, mem: 1, gpu: 0 },
        labels: Vec::new(),
        leaves_in: None,
    }
}

/// The cell of a worker.
fn cell(number: u8) -> u32 {
    u32::from(number % 3)
}

/// An owner that applies updates to what it knows.
#[derive(Default)]
struct Follower {
    known: BTreeMap<Name, WorkerInfo>,
    version: Option<ListVersion>,
}

impl Follower {
    fn apply(&mut self, update: ListUpdate) {
        if update.is_whole {
            self.known.clear();
        }
        self.version = Some(update.version);
        for id in update.removed {
            self.known.remove(&id);
        }
        self.known.extend(update.listed.into_iter().map(|worker| (worker.id.clone(), worker)));
    }
}

#[derive(Debug, Clone)]
enum Change {
    Write(u8, u64),
    Remove(u8),
    /// The reader reads the whole list, in which some workers vanished without a record.
    ReadWhole(u8),
    /// The follower of a cell asks for changes.
    Follow(u32),
    /// Another reader takes over, which knows the list only from its own reading.
    NewReader,
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (0..30_u8, 1..3_u64).prop_map(|(number, cpu)| Change::Write(number, cpu)),
        (0..30_u8).prop_map(Change::Remove),
        (0..30_u8).prop_map(Change::ReadWhole),
        (0..3_u32).prop_map(Change::Follow),
        Just(Change::NewReader),
    ]
}

proptest! {
    #[test]
    fn followers_know_the_list_of_their_cells(changes in prop::collection::vec(change(), 1..200)) {
        let mut list = SharedList::new(1);
        let mut actual: BTreeMap<u8, WorkerInfo> = BTreeMap::new();
        let mut followers = [Follower::default(), Follower::default(), Follower::default()];
        let (mut offset, mut readers) = (0, 1);
        for change in changes {
            match change {
                Change::Write(number, cpu) => {
                    let entry = worker(number, cpu);
                    list.apply(offset, &entry.id, Some((cell(number), entry.clone())));
                    actual.insert(number, entry);
                    offset += 1;
                }
                Change::Remove(number) => {
                    list.apply(offset, &worker(number, 1).id, None);
                    actual.remove(&number);
                    offset += 1;
                }
                Change::ReadWhole(vanished) => {
                    actual.remove(&vanished);
                    let listed = actual.iter().map(|(number, entry)| (cell(*number), entry.clone()));
                    list.replace(offset, listed.collect());
                }
                Change::NewReader => {
                    readers += 1;
                    list = SharedList::new(readers);
                    let listed = actual.iter().map(|(number, entry)| (cell(*number), entry.clone()));
                    list.replace(offset, listed.collect());
                }
                Change::Follow(of) => {
                    let follower = &mut followers[of as usize];
                    follower.apply(list.update_since(of, follower.version));
                    let wanted: BTreeMap<Name, WorkerInfo> = actual
                        .iter()
                        .filter(|(number, _)| cell(**number) == of)
                        .map(|(_, entry)| (entry.id.clone(), entry.clone()))
                        .collect();
                    prop_assert_eq!(&follower.known, &wanted);
                }
            }
        }
    }
}

#[test]
fn an_owner_is_told_only_what_changed_in_its_cell() {
    // Entries that only say that a worker is alive are the bulk of what workers write.
    let mut list = SharedList::new(1);
    list.replace(100, (0..30).map(|number| (cell(number), worker(number, 1))).collect());
    let known = Some(list.update_since(0, None).version);
    for number in 0..30 {
        let entry = worker(number, 1);
        list.apply(100 + u64::from(number), &entry.id.clone(), Some((cell(number), entry)));
    }
    let update = list.update_since(0, known);
    assert_eq!((update.is_whole, update.listed.len(), update.removed.len()), (false, 0, 0));
    list.apply(130, &worker(3, 1).id, Some((cell(3), worker(3, 2))));
    assert_eq!(list.update_since(0, known).listed, vec![worker(3, 2)]);
    assert_eq!(list.update_since(1, known).listed, Vec::new());
}

#[test]
fn an_owner_that_missed_too_many_removals_gets_the_whole_list() {
    let mut list = SharedList::new(1);
    let many = |count: u32| {
        let entry = |number| WorkerInfo { id: format!("m{number}").into(), ..worker(0, 1) };
        (0..count).map(|number| (0, entry(number))).collect()
    };
    list.replace(10, many(3_000));
    let known = Some(list.update_since(0, None).version);
    list.replace(20, many(1));
    let update = list.update_since(0, known);
    assert!(update.is_whole);
    assert_eq!(update.listed.len(), 1);
}
