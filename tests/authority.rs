//! How long an owner may act without the log.

use sprucerudder::cell::owner::authority::Authority;
use sprucerudder::clock::Millis;

fn heard(authority: &mut Authority, now: u64, entries: &[&str], log: bool) {
    for entry in entries {
        authority.update_peer(Millis(now), &(*entry).into(), log);
    }
}

#[test]
fn for_a_while_after_a_heartbeat_no_other_owner_can_be() {
    let mut authority = Authority::new(Millis(0));
    heard(&mut authority, 0, &["b", "c"], true);
    assert!(authority.is_valid(Millis(1_100)));
    assert!(!authority.is_valid(Millis(1_300)));
    authority.confirm_heartbeat(Millis(1_250));
    assert!(authority.is_valid(Millis(2_400)));
}

#[test]
fn while_nobody_reads_the_log_the_owner_goes_on() {
    let mut authority = Authority::new(Millis(0));
    heard(&mut authority, 5_000, &["b", "c", "d"], false);
    assert!(authority.is_valid(Millis(5_100)));
    assert!(!authority.is_valid(Millis(6_000)), "their words are old");
}

#[test]
fn an_owner_behind_a_cut_does_not_count_only_the_entries_on_its_side() {
    let mut authority = Authority::new(Millis(0));
    heard(&mut authority, 1_000, &["b", "c", "d", "e", "f", "g"], true);
    heard(&mut authority, 3_000, &["b"], false);
    assert!(!authority.is_valid(Millis(3_100)));
}

#[test]
fn a_single_entry_goes_on_alone() {
    assert!(Authority::new(Millis(0)).is_valid(Millis(10_000)));
}

/// An owner that the store has failed since 1,000, heard by three entries.
fn failing() -> Authority {
    let mut authority = Authority::new(Millis(0));
    for entry in ["b", "c", "d"] {
        authority.add_peer(Millis(0), &entry.into(), 250);
    }
    authority.record_store_failure(Millis(1_000));
    authority
}

#[test]
fn others_are_asked_once_the_store_has_failed_the_owner_for_a_moment() {
    let mut authority = failing();
    assert!(!authority.should_probe(Millis(1_050)), "one failure may pass");
    assert!(authority.should_probe(Millis(1_200)));
    assert!(!authority.should_probe(Millis(1_250)), "they were just asked");
    authority.confirm_heartbeat(Millis(1_300));
    assert!(!authority.should_probe(Millis(2_000)), "the store is back");
}

#[test]
fn an_owner_is_isolated_when_most_others_read_the_log_after_it_failed() {
    let mut authority = failing();
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
