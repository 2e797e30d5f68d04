//! How long an owner may act without the log.

use sprucerudder::cell::authority::Authority;
use sprucerudder::clock::Millis;

fn heard(authority: &mut Authority, now: u64, entries: &[&str], log: bool) {
    for entry in entries {
        authority.hear(Millis(now), &(*entry).into(), log);
    }
}

#[test]
fn for_a_while_after_a_heartbeat_no_other_owner_can_be() {
    let mut authority = Authority::new(Millis(0));
    heard(&mut authority, 0, &["b", "c"], true);
    assert!(authority.holds(Millis(1_100)));
    assert!(!authority.holds(Millis(1_300)));
    authority.confirm(Millis(1_250));
    assert!(authority.holds(Millis(2_400)));
}

#[test]
fn while_nobody_reads_the_log_the_owner_goes_on() {
    let mut authority = Authority::new(Millis(0));
    heard(&mut authority, 5_000, &["b", "c", "d"], false);
    assert!(authority.holds(Millis(5_100)));
    assert!(!authority.holds(Millis(6_000)), "their words are old");
}

#[test]
fn an_owner_behind_a_cut_does_not_count_only_the_entries_on_its_side() {
    let mut authority = Authority::new(Millis(0));
    heard(&mut authority, 1_000, &["b", "c", "d", "e", "f", "g"], true);
    heard(&mut authority, 3_000, &["b"], false);
    assert!(!authority.holds(Millis(3_100)));
}

#[test]
fn a_single_entry_goes_on_alone() {
    assert!(Authority::new(Millis(0)).holds(Millis(10_000)));
}
