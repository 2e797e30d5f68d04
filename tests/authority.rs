//! How long an owner may act without access to the log.

use sprucerudder::cell::owner::authority::Authority;
use sprucerudder::cell::owner::claimants::{ClaimantUpdate, Claimants, MAX_RELIANCE};
use sprucerudder::clock::Millis;

/// An owner that has taken over at 0 and counts no other entry yet.
fn owner() -> Authority {
    let mut claimants = Claimants::default();
    claimants.insert(&"owner".into());
    Authority::new("owner".into(), Millis(0), Millis(0), Some(&claimants))
}

fn hear_from(authority: &mut Authority, now: u64, entries: &[&str], log: bool) {
    for entry in entries {
        authority.update_peer(Millis(now), &(*entry).into(), log);
    }
}

#[test]
fn no_other_owner_can_exist_for_a_while_after_a_heartbeat() {
    let mut authority = owner();
    hear_from(&mut authority, 0, &["b", "c"], true);
    assert!(authority.is_valid(Millis(1_100)));
    assert!(!authority.is_valid(Millis(1_300)));
    authority.confirm_heartbeat(Millis(1_250));
    assert!(authority.is_valid(Millis(2_400)));
}

#[test]
fn the_owner_continues_while_no_entry_reads_the_log() {
    let mut authority = owner();
    hear_from(&mut authority, 5_000, &["b", "c", "d"], false);
    assert!(authority.is_valid(Millis(5_100)));
    assert!(!authority.is_valid(Millis(6_000)), "their answers are too old");
}

#[test]
fn a_partitioned_owner_does_not_count_only_the_entries_on_its_side() {
    let mut authority = owner();
    hear_from(&mut authority, 1_000, &["b", "c", "d", "e", "f", "g"], true);
    hear_from(&mut authority, 3_000, &["b"], false);
    assert!(!authority.is_valid(Millis(3_100)));
}

/// An owner that was cut off with four of seven entries acted on beside one that could read the log.
#[test]
fn an_owner_stops_if_one_entry_may_be_able_to_read_the_log() {
    let mut authority = owner();
    hear_from(&mut authority, 0, &["b", "c", "d", "e"], true);
    hear_from(&mut authority, 3_000, &["b", "c", "d"], false);
    assert!(!authority.is_valid(Millis(3_100)), "e was not heard");
    hear_from(&mut authority, 3_100, &["e"], true);
    assert!(!authority.is_valid(Millis(3_150)), "e can read the log");
    hear_from(&mut authority, 3_200, &["b", "c", "d", "e"], false);
    assert!(authority.is_valid(Millis(3_250)));
}

/// Entries that the owner does not know wait for so long, and may claim the cell afterwards.
#[test]
fn an_owner_relies_on_its_peers_for_a_limited_time() {
    let mut authority = owner();
    let last = MAX_RELIANCE.0 - 10;
    hear_from(&mut authority, last, &["b", "c"], false);
    assert!(authority.is_valid(Millis(last)));
    assert!(!authority.is_valid(Millis(last + 10)));
}

/// A new owner did not count entries that had not connected to it yet.
#[test]
fn inherited_claimants_count_until_they_connect() {
    let mut claimants = Claimants::default();
    ["owner", "b", "c"].iter().for_each(|name| claimants.insert(&(*name).into()));
    let mut authority = Authority::new("owner".into(), Millis(0), Millis(0), Some(&claimants));
    assert_eq!(authority.claimants(Millis(100)), ClaimantUpdate::Unchanged);
    hear_from(&mut authority, 2_000, &["b"], false);
    assert!(!authority.is_valid(Millis(2_050)), "c may be able to read the log");
    hear_from(&mut authority, 2_100, &["c"], false);
    assert!(authority.is_valid(Millis(2_150)));
}

/// Without an owner before, any entry may claim the cell until the log names those that the owner
/// counts.
#[test]
fn an_owner_relies_on_its_peers_only_once_the_log_names_them() {
    let mut authority = Authority::new("owner".into(), Millis(0), Millis(0), None);
    assert_eq!(authority.claimants(Millis(400)), ClaimantUpdate::Any);
    authority.confirm_claimants(Millis(400), ClaimantUpdate::Any);
    hear_from(&mut authority, 2_600, &["b"], false);
    assert!(!authority.is_valid(Millis(2_650)));
    let named = authority.claimants(Millis(2_650));
    assert!(matches!(&named, ClaimantUpdate::Only(names) if names.contains(&"b".into())));
    authority.confirm_claimants(Millis(2_650), named);
    hear_from(&mut authority, 4_000, &["b"], false);
    assert!(authority.is_valid(Millis(4_050)));
}

#[test]
fn a_single_entry_continues_alone() {
    assert!(owner().is_valid(Millis(10_000)));
}

/// The authority of an owner whose calls to the store have failed since 1,000, and which is
/// connected to three entries.
fn with_failing_store() -> Authority {
    let mut authority = owner();
    for entry in ["b", "c", "d"] {
        authority.add_peer(Millis(0), &entry.into(), 250);
    }
    authority.record_store_failure(Millis(1_000));
    authority
}

#[test]
fn peers_are_asked_once_the_owners_calls_to_the_store_keep_failing() {
    let mut authority = with_failing_store();
    assert!(!authority.should_probe(Millis(1_050)), "a single failure is not enough");
    assert!(authority.should_probe(Millis(1_200)));
    assert!(!authority.should_probe(Millis(1_250)), "they were just asked");
    authority.confirm_heartbeat(Millis(1_300));
    assert!(!authority.should_probe(Millis(2_000)), "the store is available again");
}

#[test]
fn an_owner_is_isolated_when_most_peers_read_the_log_after_it_failed() {
    let mut authority = with_failing_store();
    authority.record_probe(&"b".into(), true);
    authority.record_probe(&"c".into(), true);
    assert!(!authority.is_isolated(Millis(1_100)), "they were not asked yet");
    assert!(authority.should_probe(Millis(1_200)));
    assert!(!authority.is_isolated(Millis(1_200)), "what they said before does not count");
    authority.record_probe(&"b".into(), true);
    authority.record_probe(&"c".into(), false);
    assert!(!authority.is_isolated(Millis(1_210)), "one of three");
    authority.record_probe(&"d".into(), true);
    assert!(authority.is_isolated(Millis(1_220)));
    authority.confirm_heartbeat(Millis(1_230));
    assert!(!authority.is_isolated(Millis(1_240)), "a heartbeat is in the log after all");
}

/// An overloaded owner read pings late, and peers opened new connections because it did not answer.
/// It found no entry that could own the cell, and kept it.
#[test]
fn an_owner_that_is_late_sees_peers_that_connected_again() {
    let mut authority = owner();
    let large = "large".into();
    for connected in [0, 1_000, 2_000] {
        authority.add_peer(Millis(connected), &large, 500);
    }
    let cpu = |authority: &Authority, now, is_late| {
        authority.largest_peer(Millis(now), is_late, None).map(|peer| peer.cpu)
    };
    assert_eq!(cpu(&authority, 2_900, false), None, "it has just connected");
    assert_eq!(cpu(&authority, 2_900, true), Some(500));
    assert_eq!(cpu(&authority, 5_100, true), None, "it has not been heard for 3 s");
    authority.add_peer(Millis(6_000), &large, 500);
    assert_eq!(cpu(&authority, 6_100, true), None, "it may have been replaced meanwhile");
    authority.update_peer(Millis(7_600), &large, true);
    assert_eq!(cpu(&authority, 7_600, true), Some(500));
    authority.add_peer(Millis(8_000), &large, 100);
    assert_eq!(cpu(&authority, 8_100, true), None, "its size has changed");
}

#[test]
fn an_entry_that_was_overloaded_is_the_last_choice_among_the_largest() {
    let mut authority = owner();
    for (entry, cpu) in [("a", 500), ("b", 500), ("c", 120)] {
        authority.add_peer(Millis(0), &entry.into(), cpu);
        authority.update_peer(Millis(2_000), &entry.into(), true);
    }
    for (avoided, chosen) in [("a", "b"), ("b", "a")] {
        let largest = authority.largest_peer(Millis(2_000), false, Some(&avoided.into()));
        assert_eq!(largest.unwrap().name, chosen.into());
    }
}
