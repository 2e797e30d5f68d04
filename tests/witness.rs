//! What a new owner may believe of the time before it, by the word of the other entries.

use sprucerudder::cell::owner::authority::Authority;
use sprucerudder::cell::owner::log_reports::{LogHistory, LogReport, LogReports};
use sprucerudder::clock::Millis;

/// So many entries tell an owner that they are steady, and that there are 8 others.
fn steady(count: usize) -> LogReports {
    let mut witnesses = LogReports::default();
    for no in 0..count {
        witnesses.add(&format!("e{no}").into(), LogReport { log_steady: true, peers: 8 });
    }
    witnesses
}

#[test]
fn an_owner_rests_on_no_set_of_entries_that_leaves_enough_witnesses() {
    // Of 8 others, so many say that they cannot read the log; the rest are witnesses for the next owner.
    for unable in 0..=8 {
        let mut authority = Authority::new(Millis(0));
        for no in 0..8 {
            let name = format!("e{no}").into();
            authority.add_peer(Millis(0), &name, 500);
            authority.update_peer(Millis(5_000), &name, no >= unable);
        }
        let rests = authority.depends_on_peers(Millis(5_100));
        assert!(
            !(rests && steady(8 - unable).exclude_unrecorded_starts()),
            "{unable} cannot read the log"
        );
        assert_eq!(rests, unable >= 4, "{unable} cannot read the log");
    }
    assert!(steady(5).exclude_unrecorded_starts() && !steady(4).exclude_unrecorded_starts());
}

#[test]
fn an_owner_that_rested_on_the_others_is_no_witness() {
    // Four of eight others cannot read the log: the owner rests on them. Counted itself, it would be the fifth witness.
    let word = |log_steady| LogReport { log_steady, peers: 8 };
    let mut history = LogHistory::new(Millis(1));
    history.record_loss(Millis(60_000));
    let mut witnesses = steady(4);
    witnesses.add(&"owner".into(), word(history.is_log_steady(Millis(63_000))));
    assert!(!witnesses.exclude_unrecorded_starts());
    witnesses.add(&"owner".into(), word(true));
    assert!(witnesses.exclude_unrecorded_starts());
}

#[test]
fn entries_that_heard_no_owner_are_no_witnesses() {
    let mut witnesses = steady(4);
    witnesses.add(&"new".into(), LogReport { log_steady: true, peers: 0 });
    assert!(!witnesses.exclude_unrecorded_starts());
}

#[test]
fn a_process_that_has_just_started_is_no_witness_for_the_one_before() {
    let mut history = LogHistory::new(Millis(1));
    assert!(!history.is_log_steady(Millis(9_000)));
    assert!(history.is_log_steady(Millis(10_001)));
    history.record_loss(Millis(12_000));
    assert!(!history.is_log_steady(Millis(21_000)));
    assert!(history.is_log_steady(Millis(22_000)));
}

#[test]
fn entries_that_have_not_connected_yet_count_as_ones_that_can_read_the_log() {
    // An owner behind a cut with a few entries that cannot read the log took them for most.
    let mut authority = Authority::new(Millis(0));
    authority.expect_peers(Millis(0), 8);
    for no in 0..3 {
        let name = format!("e{no}").into();
        authority.add_peer(Millis(0), &name, 500);
        authority.update_peer(Millis(5_000), &name, false);
    }
    assert!(!authority.is_valid(Millis(5_100)));
    // They are taken for removed after a minute.
    for no in 0..3 {
        authority.update_peer(Millis(60_000), &format!("e{no}").into(), false);
    }
    assert!(authority.is_valid(Millis(60_100)));
}
