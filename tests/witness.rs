//! What a new owner may assume about the time before it, by what the other entries tell it.

use sprucerudder::cell::owner::authority::Authority;
use sprucerudder::cell::owner::claimants::Claimants;
use sprucerudder::cell::owner::log_reports::{LogHistory, LogReport, LogReports};
use sprucerudder::clock::Millis;

/// An owner that has taken over at 0 and counts no other entry yet.
fn owner() -> Authority {
    let mut claimants = Claimants::default();
    claimants.insert(&"owner".into());
    Authority::new("owner".into(), Millis(0), Millis(0), Some(&claimants))
}

/// The answers of `count` entries that are steady and know of 8 other entries.
fn steady(count: usize) -> LogReports {
    let mut witnesses = LogReports::default();
    for index in 0..count {
        witnesses.add(&format!("e{index}").into(), LogReport { log_steady: true, peers: 8 });
    }
    witnesses
}

#[test]
fn an_owner_relies_on_no_set_of_entries_that_leaves_enough_witnesses() {
    // Of 8 other entries, `unable` report that they cannot read the log; the rest are witnesses for
    // the next owner.
    for unable in 0..=8 {
        let mut authority = owner();
        for index in 0..8 {
            let name = format!("e{index}").into();
            authority.add_peer(Millis(0), &name, 500);
            authority.update_peer(Millis(5_000), &name, index >= unable);
        }
        let relies_on_peers = authority.depends_on_peers(Millis(5_100));
        assert!(
            !(relies_on_peers && steady(8 - unable).exclude_unrecorded_starts()),
            "{unable} cannot read the log"
        );
        assert_eq!(relies_on_peers, unable == 8, "{unable} cannot read the log");
    }
    assert!(steady(5).exclude_unrecorded_starts() && !steady(4).exclude_unrecorded_starts());
}

#[test]
fn an_owner_that_relied_on_its_peers_is_no_witness() {
    // Four of eight other entries cannot read the log, and the owner relies on them. If it were
    // counted itself, it would be the fifth witness.
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
fn entries_that_have_not_connected_yet_count_as_able_to_read_the_log() {
    // A partitioned owner that still reached a few entries without access to the log took them for
    // the majority.
    let mut authority = owner();
    authority.expect_peers(Millis(0), 8);
    for index in 0..3 {
        let name = format!("e{index}").into();
        authority.add_peer(Millis(0), &name, 500);
        authority.update_peer(Millis(5_000), &name, false);
    }
    assert!(!authority.is_valid(Millis(5_100)));
    // The others are considered removed after a minute. Without a heartbeat for that time the owner
    // does not act in any case.
    for index in 0..3 {
        authority.update_peer(Millis(60_000), &format!("e{index}").into(), false);
    }
    assert!(!authority.is_valid(Millis(60_100)));
    authority.confirm_heartbeat(Millis(58_000));
    assert!(!authority.is_valid(Millis(59_900)), "the others still count");
    assert!(authority.is_valid(Millis(60_100)));
}
