//! What a new owner may assume about the time before it, by what the other entries tell it.

use sprucerudder::cell::owner::authority::Authority;
use sprucerudder::cell::owner::witness::{History, Witnesses, Word};
use sprucerudder::clock::Millis;

/// The answers of `count` entries that are steady and know of 8 other entries.
fn steady(count: usize) -> Witnesses {
    let mut witnesses = Witnesses::default();
    for index in 0..count {
        witnesses.add(&format!("e{index}").into(), Word { is_steady: true, entries: 8 });
    }
    witnesses
}

#[test]
fn an_owner_relies_on_no_set_of_entries_that_leaves_enough_witnesses() {
    // Of 8 other entries, `unable` report that they cannot read the log; the rest are witnesses for
    // the next owner.
    for unable in 0..=8 {
        let mut authority = Authority::new(Millis(0));
        for index in 0..8 {
            let name = format!("e{index}").into();
            authority.join(Millis(0), &name, 500);
            authority.hear(Millis(5_000), &name, index >= unable);
        }
        let relies_on_peers = authority.rests_on_peers(Millis(5_100));
        assert!(!(relies_on_peers && steady(8 - unable).suffice()), "{unable} cannot read the log");
        assert_eq!(relies_on_peers, unable >= 4, "{unable} cannot read the log");
    }
    assert!(steady(5).suffice() && !steady(4).suffice());
}

#[test]
fn an_owner_that_relied_on_its_peers_is_no_witness() {
    // Four of eight other entries cannot read the log, and the owner relies on them. If it were
    // counted itself, it would be the fifth witness.
    let word = |is_steady| Word { is_steady, entries: 8 };
    let mut history = History::new(Millis(1));
    history.note_lost(Millis(60_000));
    let mut witnesses = steady(4);
    witnesses.add(&"owner".into(), word(history.is_steady(Millis(63_000))));
    assert!(!witnesses.suffice());
    witnesses.add(&"owner".into(), word(true));
    assert!(witnesses.suffice());
}

#[test]
fn entries_that_heard_no_owner_are_no_witnesses() {
    let mut witnesses = steady(4);
    witnesses.add(&"new".into(), Word { is_steady: true, entries: 0 });
    assert!(!witnesses.suffice());
}

#[test]
fn a_process_that_has_just_started_is_no_witness_for_the_one_before() {
    let mut history = History::new(Millis(1));
    assert!(!history.is_steady(Millis(9_000)));
    assert!(history.is_steady(Millis(10_001)));
    history.note_lost(Millis(12_000));
    assert!(!history.is_steady(Millis(21_000)));
    assert!(history.is_steady(Millis(22_000)));
}

#[test]
fn entries_that_have_not_connected_yet_count_as_able_to_read_the_log() {
    // A partitioned owner that still reached a few entries without access to the log took them for
    // the majority.
    let mut authority = Authority::new(Millis(0));
    authority.expect(Millis(0), 8);
    for index in 0..3 {
        let name = format!("e{index}").into();
        authority.join(Millis(0), &name, 500);
        authority.hear(Millis(5_000), &name, false);
    }
    assert!(!authority.holds(Millis(5_100)));
    // The others are considered removed after a minute.
    for index in 0..3 {
        authority.hear(Millis(60_000), &format!("e{index}").into(), false);
    }
    assert!(authority.holds(Millis(60_100)));
}
