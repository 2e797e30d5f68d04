//! Randomized simulations of the cell's state machine with crashes, pauses, partitions, and lost,
//! delayed and reordered messages. With one mechanism disabled, an invariant has to be violated.

mod cellworld;

use cellworld::{
    Disabled, search, search_crashing_tasks, search_lasting, search_limits,
    search_owner_power_losses, search_power_loss, search_preemption, search_ranked,
    search_restarts, search_restarts_with, search_rolling_restarts, search_room_changes,
    search_stops_after_outages, search_store_outages, search_suspensions,
    search_takeovers_with_few_connections, search_truncated_reports, search_withdrawals,
};

/// A number from the environment. An invalid one is an error; it doesn't fall back to the default.
fn number(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text.parse().unwrap_or_else(|err| panic!("{name}={text:?}: {err}")),
        Err(_) => default,
    }
}

/// Shows the owners' log if `SPRUCE_LOG` is set; meant for a run of one seed.
fn show_log() {
    if std::env::var_os("SPRUCE_LOG").is_some() {
        let config = simplelog::Config::default();
        // Another search of the same process may have initialized the logger.
        if simplelog::SimpleLogger::init(log::LevelFilter::Info, config).is_err() {
            println!("the logger is already initialized");
        }
    }
}

/// The number of seeds of a search; set by `SPRUCE_CASES`.
fn case_count() -> u64 {
    number("SPRUCE_CASES", 400)
}

/// The first seed; set by `SPRUCE_SEED`.
fn first_seed() -> u64 {
    number("SPRUCE_SEED", 1)
}

/// The first seed of a second range, which differs in each version: a fault that occurs once in
/// hundreds of seeds would go unnoticed if the same seeds were run every time.
fn version_seed() -> u64 {
    let parts = [env!("CARGO_PKG_VERSION_MAJOR"), env!("CARGO_PKG_VERSION_MINOR")];
    let [major, minor] = parts.map(|part| part.parse::<u64>().expect("a number"));
    (major * 1_000 + minor) * 10_000_000
}

/// The seeds of a search: both ranges, or only the one set in the environment.
fn seeds() -> impl Iterator<Item = u64> {
    let first = first_seed();
    let second = if std::env::var_os("SPRUCE_SEED").is_some() { 0 } else { case_count() };
    (first..first + case_count()).chain(version_seed()..version_seed() + second)
}

#[test]
fn invariants_hold_under_random_faults() {
    let violation = seeds().find_map(|seed| search(seed, Disabled::Nothing));
    assert_eq!(violation, None, "{}", violation.as_deref().unwrap_or_default());
}

fn assert_breaks(disabled: Disabled) {
    assert_breaks_in(disabled, search);
}

fn assert_breaks_in(disabled: Disabled, search: impl Fn(u64, Disabled) -> Option<String>) {
    let violation = (1..3_000).find_map(|seed| search(seed, disabled));
    let found = violation.as_deref().and_then(|text| text.lines().next());
    println!("{disabled:?} disabled: {found:?}");
    assert!(found.is_some(), "no seed violates an invariant with {disabled:?} disabled");
}

#[test]
fn workers_without_fencing_violate_an_invariant() {
    assert_breaks(Disabled::Fencing);
}

#[test]
fn workers_without_stop_records_violate_an_invariant() {
    assert_breaks(Disabled::StopRecords);
}

#[test]
fn a_store_that_accepts_records_of_deposed_owners_violates_an_invariant() {
    assert_breaks(Disabled::StoreFencing);
}

#[test]
fn owners_that_send_orders_without_the_log_violate_an_invariant() {
    assert_breaks(Disabled::LogAuthority);
}

#[test]
fn workers_that_run_without_a_lease_violate_an_invariant() {
    assert_breaks(Disabled::LeaseExpiry);
}

#[test]
fn earlier_failures_do_not_recur() {
    // 5,502: a task failed for the third time on a partitioned worker, whose lease then expired;
    // the task was started elsewhere, and the failure was confirmed afterwards. The contract does
    // not count it.
    for seed in [5, 38, 5_502, 210_022, 233_665, 511_540, 520_615, 530_139] {
        let violation = search(seed, Disabled::Nothing);
        assert_eq!(violation, None, "{}", violation.as_deref().unwrap_or_default());
    }
    let (violation, _) = search_preemption(5_212);
    assert_eq!(violation, None, "{}", violation.as_deref().unwrap_or_default());
    // 9: the other run of a copied task was not counted, because a takeover came first. 272,
    // 11,651: a suspected crash was never resolved, because the next incarnation had been listed
    // before, or came back at another address.
    for seed in [9, 272, 11_651] {
        let (violation, _) = search_crashing_tasks(seed);
        assert_eq!(violation, None, "{}", violation.as_deref().unwrap_or_default());
    }
}

/// Runs all seeds of a search. No seed may violate an invariant, and at least one must have
/// produced the condition that the search is about.
fn assert_holds(search: impl Fn(u64) -> (Option<String>, usize)) {
    show_log();
    let mut occurrences = 0;
    for seed in seeds() {
        let (violation, count) = search(seed);
        assert_eq!(violation, None, "{}", violation.as_deref().unwrap_or_default());
        occurrences += count;
    }
    assert!(occurrences > 0, "no seed produced the condition that the search is about");
}

#[test]
fn invariants_hold_under_preemption() {
    assert_holds(search_preemption);
}

#[test]
fn no_step_waits_beside_free_capacity_where_late_jobs_go_last() {
    // The order of late jobs must not leave a step unplaced: its request, its reservations and its
    // place among the ready steps change together.
    assert_holds(search_ranked);
}

#[test]
fn reservations_delay_no_task_for_long() {
    // Room was reserved for a gang that never found enough of it, and again as soon as the
    // reservation had expired. Steps that were blocked by it reserved room, too, which they could
    // not use. A task for which two workers had room waited for more than 3 s.
    for seed in [700_425, 1_000_799, 1_002_625] {
        let (violation, _) = search_preemption(seed);
        assert_eq!(violation, None, "{}", violation.as_deref().unwrap_or_default());
    }
    let (violation, _) = search_power_loss(750_181);
    assert_eq!(violation, None, "{}", violation.as_deref().unwrap_or_default());
}

#[test]
fn invariants_hold_when_workers_crash_under_tasks() {
    assert_holds(search_crashing_tasks);
}

#[test]
fn invariants_hold_when_rooms_change_and_owners_are_suspended() {
    assert_holds(search_room_changes);
}

#[test]
fn invariants_hold_when_workers_restart_with_the_same_id() {
    assert_holds(search_restarts);
}

#[test]
fn an_owner_waits_for_a_lease_granted_by_the_previous_clock() {
    // A worker restarted under its id and was asked for a lease by the clock of its previous
    // incarnation: it granted 10 s, the longest lease. The next owner assumed a usual lease while
    // the worker was partitioned, and started its task elsewhere 0.4 s too early.
    let (violation, _) = search_restarts(106_447);
    assert_eq!(violation, None, "{}", violation.as_deref().unwrap_or_default());
}

#[test]
fn a_start_decided_before_a_pause_is_not_sent_after_it() {
    // An owner was paused for 4.5 s between its decision on a start and the store's answer; then it
    // handled the answer and sent the start. Its worker had restarted meanwhile and had not seen
    // the newer fencing token. The task ran elsewhere:
    //  4800 owner 3 is paused until 9284
    //  4880 owner 4 takes over with epoch 5
    //  7585 w3.1 starts T.0.1.2 run 7169
    //  8852 w5 is back under its id, born at 5007808
    //  9285 VIOLATION a task runs twice at once: T.0.1.2 on w5
    let (violation, _) = search_restarts(730_858);
    assert_eq!(violation, None, "{}", violation.as_deref().unwrap_or_default());
}

#[test]
fn invariants_hold_with_workspace_limits_and_withdrawn_jobs() {
    assert_holds(|seed| search_limits(seed, Disabled::Nothing));
}

#[test]
fn owners_without_workspace_limits_violate_an_invariant() {
    assert_breaks_limits(Disabled::Limits);
}

#[test]
fn owners_without_workspace_records_violate_an_invariant() {
    assert_breaks_limits(Disabled::WorkspaceRecords);
}

fn assert_breaks_limits(disabled: Disabled) {
    assert_breaks_in(disabled, |seed, disabled| search_limits(seed, disabled).0);
}

#[test]
fn invariants_hold_after_a_total_power_loss() {
    assert_holds(search_power_loss);
}

#[test]
fn invariants_hold_when_failure_domains_are_suspended() {
    assert_holds(search_suspensions);
}

#[test]
fn no_lasting_task_is_without_a_run_for_long() {
    assert_holds(|seed| search_lasting(seed, true));
}

#[test]
fn no_lasting_task_waits_long_for_unrelated_workers() {
    // An owner whose process had just started held back every inherited task until the lease of one
    // lost worker had expired, also tasks whose own workers had reported their ends:
    //  event=runs-unknown epoch=22 worker=w0 others=0 left_ms=7300
    //  event=waiting step=0000000000000002.0.0 queue=lasts for=takeover ms=8000 question=none
    assert_holds(|seed| search_lasting(seed, false));
}

#[test]
fn lasting_tasks_run_again_in_time_through_a_rolling_restart() {
    // Guards against waits that begin anew with each owner: tasks on a worker that has left or is
    // lost, and all tasks after a takeover by a process that has just started.
    assert_holds(|seed| search_rolling_restarts(seed, Disabled::Nothing));
}

#[test]
fn owners_that_take_unheard_leases_for_over_violate_an_invariant() {
    assert_breaks_in(Disabled::UnheardLeases, |seed, disabled| {
        search_rolling_restarts(seed, disabled).0
    });
}

#[test]
fn owners_that_rely_on_outdated_records_of_unheard_workers_violate_an_invariant() {
    // Guards against a renewal of a lease before the record of its end is removed.
    assert_breaks_in(Disabled::UnheardRemovals, search);
}

#[test]
fn owners_that_do_not_learn_of_long_leases_violate_an_invariant() {
    assert_breaks_in(Disabled::LongLeases, |seed, disabled| search_restarts_with(seed, disabled).0);
}

#[test]
fn invariants_hold_when_owners_stop_after_store_outages() {
    assert_holds(|seed| search_stops_after_outages(seed, Disabled::Nothing));
}

/// Each of several owners in a row waits anew for workers to be stable, and a step waits beside room.
#[test]
fn a_step_starts_in_time_through_takeovers_after_a_store_outage() {
    let (violation, _) = search_stops_after_outages(700_706, Disabled::Nothing);
    assert_eq!(violation, None, "{}", violation.as_deref().unwrap_or_default());
}

#[test]
fn owners_that_always_leave_complete_records_violate_an_invariant() {
    // Guards against a takeover that trusts the records although the store was away just before it.
    assert_breaks_in(Disabled::CompleteRecords, |seed, disabled| {
        search_stops_after_outages(seed, disabled).0
    });
}

#[test]
fn invariants_hold_during_store_outages() {
    assert_holds(|seed| search_store_outages(seed, Disabled::Nothing));
}

#[test]
fn owners_that_trust_records_after_an_outage_violate_an_invariant() {
    assert_breaks_in(Disabled::UnrecordedStarts, |seed, disabled| {
        search_store_outages(seed, disabled).0
    });
}

#[test]
fn invariants_hold_when_reports_do_not_list_all_ends() {
    // Guards against tasks that run again because their end was not among those that a worker lists
    // at once.
    assert_holds(|seed| search_truncated_reports(seed, Disabled::Nothing));
}

#[test]
fn a_new_owner_waits_until_workers_have_listed_all_ends() {
    // Guards against an owner that takes the first report of a worker for complete: a run without a
    // record had ended, and its end was not among those that the worker listed at once.
    assert_holds_for(|seed| search_truncated_reports(seed, Disabled::Nothing), 381);
}

#[test]
fn owners_that_take_truncated_reports_for_complete_violate_an_invariant() {
    assert_breaks_in(Disabled::TruncatedReports, |seed, disabled| {
        search_truncated_reports(seed, disabled).0
    });
}

#[test]
fn invariants_hold_when_owners_lose_power_in_series() {
    // Guards against workers that no owner can reach any more because they keep the connections of
    // owners that lost power.
    assert_holds(|seed| search_owner_power_losses(seed, Disabled::Nothing));
}

#[test]
fn owners_without_connection_limits_violate_an_invariant() {
    assert_breaks_in(Disabled::ConnectionLimit, |seed, disabled| {
        search_owner_power_losses(seed, disabled).0
    });
}

#[test]
fn invariants_hold_when_owners_are_replaced_often_and_workers_accept_few_connections() {
    assert_holds(|seed| search_takeovers_with_few_connections(seed, Disabled::Nothing));
}

#[test]
fn a_start_that_waits_for_a_connection_is_not_sent_once_its_task_is_done() {
    // Guards against a task that runs again: a start waited for a connection, the worker of an
    // earlier run came back and listed its end, and the start was sent all the same.
    assert_holds_for(
        |seed| search_takeovers_with_few_connections(seed, Disabled::Nothing),
        150_000_320,
    );
}

#[test]
fn owners_that_keep_connections_after_their_end_violate_an_invariant() {
    assert_breaks_in(Disabled::ClosedConnections, |seed, disabled| {
        search_takeovers_with_few_connections(seed, disabled).0
    });
}

#[test]
fn invariants_hold_when_withdrawn_jobs_are_submitted_again() {
    // Starts of a withdrawn job were sent together with those of the same job when it had been
    // submitted again, and the bindings of both had the same run numbers.
    assert_holds(search_withdrawals);
}

/// Runs a single seed of a search that failed before.
fn assert_holds_for(search: impl Fn(u64) -> (Option<String>, usize), seed: u64) {
    let (violation, _) = search(seed);
    assert_eq!(violation, None, "{}", violation.as_deref().unwrap_or_default());
}

#[test]
fn a_step_whose_tasks_are_done_is_not_reported_as_waiting() {
    // All tasks of a step were done, and the step was still reported as waiting for a worker:
    //  event=waiting step=0000000000000004.0.0 queue=q for=bound ms=4082 tasks=0
    assert_holds_for(search_room_changes, 6_017_283);
    assert_holds_for(search_preemption, 6_004_569);
}

#[test]
fn waits_are_checked_once_suspended_workers_resume() {
    // Half of the workers were suspended until 18802, and the check counted their room 0.3 s later:
    //  14210 d1 is suspended until 18802
    //  19113 VIOLATION step 000000000000000c.0.0 waits though there is room: room
    assert_holds_for(search_suspensions, 6_001_138);
}

#[test]
fn a_job_with_five_crashes_that_are_doubtful_by_a_takeover_comes_to_an_end() {
    // The last of five crashes was seen by one owner. The next owner counted it as uncertain,
    // because an earlier owner had sent the task, and the job waits until it is cancelled.
    assert_holds_for(search_crashing_tasks, 6_017_112);
}

#[test]
fn a_job_is_not_given_up_for_one_crash_and_starts_that_reached_nobody() {
    // Two starts reached nobody, the task ran on one worker that another task crashed, and a start
    // without an answer met the crash of the next one. The task counted as the cause:
    //  15250 w7 crashes under 0000000000000004.0.0.0 run 193273528328 for 1972 ms
    //  17254 w0 crashes under 0000000000000004.0.0.0 run 193273528333 for 2307 ms
    //  40930 VIOLATION job 0000000000000006 failed without a cause
    assert_holds_for(search_restarts, 12_000_343);
}

#[test]
fn a_job_is_not_given_up_for_one_seen_crash_and_unanswered_starts() {
    // Two starts had no answer, one of them at a worker that had stayed up, and one run was seen
    // when its worker crashed. With one worker that crashed under it, the task was given up:
    //  event=crash-counted task=T worker=w6@1001039 crashes=1 evidence=UnansweredAlone
    //  event=crash-counted task=T worker=w4@7 crashes=2 evidence=Doubtful
    //  event=crash-counted task=T worker=w3@5006429 crashes=3 evidence=Alone
    //  37610 VIOLATION job 0000000000000008 failed without a cause
    assert_holds_for(search_restarts, 20_000_283);
    assert_holds_for(search_crashing_tasks, 20_000_838);
}

#[test]
fn a_takeover_behind_a_cut_keeps_a_workspace_within_its_bound() {
    // 11516 VIOLATION 0000000000000009.0.1.2 takes workspace one to 4389 of Some(4238)
    assert_holds_for(|seed| search_limits(seed, Disabled::Nothing), 6_014_115);
}
