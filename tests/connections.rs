//! Which connections of an entry an owner knows and uses, when some of them are dead and all are
//! registered and closed in any order.

use proptest::prelude::*;
use proptest::sample::Index;
use sprucerudder::cell::owner::connections::{Addition, Connections, Removal};
use sprucerudder::id::Name;
use std::collections::{BTreeMap, BTreeSet};

const ENTRIES: [&str; 3] = ["a", "b", "c"];

fn connected(connections: &Connections<u64>) -> Vec<&str> {
    connections.connected().map(|entry| &**entry).collect()
}

// A dead connection is registered after the live one that replaced it, and closed at its first read.
// The entry was removed with it, although its live connection stayed open.
#[test]
fn entry_removed_with_a_stale_connection() {
    let entry = Name::from("a");
    let mut connections = Connections::default();
    let live = connections.add(&entry, 2, 2);
    assert_eq!(live, Addition { is_newest: true, is_used: true, open: 1 });
    let stale = connections.add(&entry, 1, 1);
    assert_eq!(stale, Addition { is_newest: false, is_used: false, open: 2 });
    assert_eq!(connections.used(&entry), Some((2, &2)));
    let closed = connections.remove(&entry, 1);
    assert_eq!(closed, Some(Removal { was_used: false, used: Some(2), open: 1 }));
    assert_eq!(connected(&connections), ["a"]);
    let closed = connections.remove(&entry, 2);
    assert_eq!(closed, Some(Removal { was_used: true, used: None, open: 0 }));
    assert!(connected(&connections).is_empty());
    assert_eq!(connections.remove(&entry, 2), None);
}

// The order in which connections are accepted need not be that in which the entry opened them. If
// the newest one turns out to be the dead one, the live one has to be used.
#[test]
fn entry_removed_although_an_older_connection_is_open() {
    let entry = Name::from("a");
    let mut connections = Connections::default();
    connections.add(&entry, 1, 1);
    connections.add(&entry, 2, 2);
    let closed = connections.remove(&entry, 2);
    assert_eq!(closed, Some(Removal { was_used: true, used: Some(1), open: 1 }));
    assert_eq!(connections.used(&entry), Some((1, &1)));
}

// A greeting that was handled late brought back what the entry told before it reconnected, also if
// its newer connection had been closed again by then.
#[test]
fn stale_greeting_taken_for_the_newest() {
    let entry = Name::from("a");
    let mut connections = Connections::default();
    assert!(connections.add(&entry, 2, 2).is_newest);
    connections.remove(&entry, 2);
    let stale = connections.add(&entry, 1, 1);
    assert_eq!(stale, Addition { is_newest: false, is_used: true, open: 1 });
    assert!(connections.add(&entry, 3, 3).is_newest);
}

/// A connection: its entry, and whether it is dead, so that it closes at some time.
fn arb_connection() -> impl Strategy<Value = (Name, bool)> {
    (proptest::sample::select(&ENTRIES[..]), any::<bool>())
        .prop_map(|(entry, is_dead)| (entry.into(), is_dead))
}

proptest! {
    // Connections are added in any order, and dead ones are closed at any time after that. The
    // entries with a live connection were lost to the dead ones.
    #[test]
    fn entry_with_an_open_connection_not_known(
        accepted in prop::collection::vec(arb_connection(), 1..12),
        choices in prop::collection::vec(any::<Index>(), 24),
    ) {
        let mut connections = Connections::default();
        let mut open: BTreeMap<Name, BTreeSet<u64>> = BTreeMap::new();
        let mut newest: BTreeMap<Name, u64> = BTreeMap::new();
        let mut unknown: Vec<u64> = (0..accepted.len() as u64).collect();
        let mut dead: Vec<u64> = Vec::new();
        for choice in choices {
            let remaining = unknown.len() + dead.len();
            if remaining == 0 {
                break;
            }
            let index = choice.index(remaining);
            if index < unknown.len() {
                let number = unknown.swap_remove(index);
                let (entry, is_dead) = &accepted[number as usize];
                let known = open.entry(entry.clone()).or_default();
                known.insert(number);
                let last = newest.entry(entry.clone()).or_insert(number);
                *last = number.max(*last);
                let expected = Addition {
                    is_newest: *last == number,
                    is_used: known.last() == Some(&number),
                    open: known.len(),
                };
                prop_assert_eq!(connections.add(entry, number, number), expected);
                if *is_dead {
                    dead.push(number);
                }
            } else {
                let number = dead.swap_remove(index - unknown.len());
                let (entry, _) = &accepted[number as usize];
                let known = open.get_mut(entry).expect("added");
                let was_used = known.last() == Some(&number);
                known.remove(&number);
                let used = known.last().copied();
                let expected = Removal { was_used, used, open: known.len() };
                prop_assert_eq!(connections.remove(entry, number), Some(expected));
            }
            for (entry, known) in &open {
                let used = connections.used(entry).map(|(number, _)| number);
                prop_assert_eq!(used, known.last().copied());
            }
        }
        // All were added and all dead ones closed: exactly the entries with a live one are left.
        prop_assert!(unknown.is_empty() && dead.is_empty());
        let live = accepted.iter().filter(|(_, is_dead)| !is_dead);
        let live: BTreeSet<&str> = live.map(|(entry, _)| &**entry).collect();
        prop_assert_eq!(connected(&connections), Vec::from_iter(live));
    }
}
