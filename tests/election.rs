//! When an entry claims the cell.

use sprucerudder::cell::owner::authority::Authority;
use sprucerudder::cell::owner::claim_record::{self, Extension};
use sprucerudder::cell::owner::claimants::{ClaimantUpdate, Claimants, MAX_RELIANCE};
use sprucerudder::cell::owner::election::{Election, ElectionRecord, Leader, OWNER_TIMEOUT};
use sprucerudder::cell::owner::hand_over::{self, Reason};
use sprucerudder::cell::owner::lag::TickLag;
use sprucerudder::clock::Millis;
use sprucerudder::id::EntryId;

const LARGE: u32 = 500;
const SMALL: u32 = 120;

fn entry(name: &str) -> EntryId {
    EntryId { name: name.into(), incarnation: 1 }
}

/// An entry that has read a claim and a heartbeat of an owner, which hears from a large entry.
fn follower(name: &str, cpu: u32) -> Election {
    let mut election = Election::new(entry(name), cpu, Millis(0));
    let (owner, addr) = (entry("owner"), "1.2.3.4:5".into());
    election.apply(Millis(1), 0, ElectionRecord::Claim { owner: owner.clone(), addr });
    let beat =
        ElectionRecord::Heartbeat { epoch: 1, owner, addr: "1.2.3.4:5".into(), largest_cpu: LARGE };
    election.apply(Millis(2), 1, beat);
    election.caught_up(Millis(2));
    election
}

/// The time of an entry's first claim, if it checks every 10 ms and can always read the log.
fn first_claim(election: &mut Election) -> u64 {
    let times = (0..1_000).map(|index| 10 + index * 10);
    let mut claims = times.filter(|at| {
        election.caught_up(Millis(*at));
        election.try_claim(Millis(*at)).is_some()
    });
    claims.next().unwrap_or(u64::MAX)
}

#[test]
fn a_large_entry_claims_at_once_and_a_small_one_later() {
    let large = first_claim(&mut follower("large", LARGE));
    let small = first_claim(&mut follower("small", SMALL));
    assert!(large <= 2 + OWNER_TIMEOUT.0 + 10, "{large}");
    assert!(small >= large + 200, "{small} after {large}");
    assert!(small <= large + 400, "{small} after {large}");
}

#[test]
fn entries_of_one_size_do_not_wait_for_each_other() {
    let mut election = follower("one", SMALL);
    let (owner, addr) = (entry("owner"), "1.2.3.4:5".into());
    election.apply(
        Millis(3),
        2,
        ElectionRecord::Heartbeat { epoch: 1, owner, addr, largest_cpu: SMALL },
    );
    assert!(first_claim(&mut election) <= 3 + OWNER_TIMEOUT.0 + 10);
}

#[test]
fn without_an_owner_the_large_entries_claim_first() {
    let mut large = Election::new(entry("large"), LARGE, Millis(0));
    let mut small = Election::new(entry("small"), SMALL, Millis(0));
    assert!(first_claim(&mut large) + 200 <= first_claim(&mut small));
}

#[test]
fn a_new_owner_ends_the_wait_of_a_small_entry() {
    let mut election = follower("small", SMALL);
    let late = 2 + OWNER_TIMEOUT.0 + 100;
    election.caught_up(Millis(late));
    assert_eq!(election.try_claim(Millis(late)), None);
    let record = ElectionRecord::Claim { owner: entry("large"), addr: "1.2.3.4:6".into() };
    election.apply(Millis(late + 1), 2, record);
    assert!(first_claim(&mut election) >= late + OWNER_TIMEOUT.0);
}

#[test]
fn only_an_entry_heard_for_a_while_that_reads_the_log_counts_as_larger() {
    let (mut authority, name) =
        (Authority::new("owner".into(), Millis(0), Millis(0), None), "large".into());
    authority.add_peer(Millis(100), &name, LARGE);
    assert_eq!(authority.largest_peer_cpu(Millis(200)), 0, "it has just connected");
    authority.update_peer(Millis(1_900), &name, true);
    assert_eq!(authority.largest_peer_cpu(Millis(2_000)), LARGE);
    assert_eq!(authority.largest_peer_cpu(Millis(2_900)), 0, "it has not been heard lately");
    authority.update_peer(Millis(3_000), &name, false);
    assert_eq!(authority.largest_peer_cpu(Millis(3_010)), 0, "it cannot read the log");
}

#[test]
fn the_restarted_process_of_the_last_owner_claims_at_once() {
    let restarted = EntryId { name: "owner".into(), incarnation: 2 };
    let mut election = Election::new(restarted, LARGE, Millis(0));
    let (owner, addr) = (entry("owner"), "1.2.3.4:5".into());
    election.apply(Millis(1), 0, ElectionRecord::Claim { owner: owner.clone(), addr });
    let beat =
        ElectionRecord::Heartbeat { epoch: 1, owner, addr: "1.2.3.4:5".into(), largest_cpu: LARGE };
    election.apply(Millis(2), 1, beat);
    assert_eq!(first_claim(&mut election), 10);
}

#[test]
fn after_a_gap_in_the_log_a_claim_waits_only_until_a_live_owner_would_be_heard() {
    let mut election = follower("large", LARGE);
    let back = 5_000;
    let times = (0..300).map(|index| back + index * 10);
    let mut claims = times.filter(|at| {
        election.caught_up(Millis(*at));
        election.try_claim(Millis(*at)).is_some()
    });
    let claimed = claims.next().unwrap_or(u64::MAX) - back;
    assert!((800..900).contains(&claimed), "{claimed} ms after the log became readable");
}

/// On a deployment of unequal entries, the large ones claimed with an outdated end of the log, waited
/// for the claim interval, and a small entry claimed the cell meanwhile.
#[test]
fn a_claim_that_found_a_later_end_of_the_log_is_retried_once_that_was_read() {
    let mut election = follower("large", LARGE);
    let claimed = first_claim(&mut election);
    election.record_mismatch(4);
    assert_eq!(election.try_claim(Millis(claimed + 5)), None, "the log was not read since");
    election.skip_to(4);
    assert_eq!(election.try_claim(Millis(claimed + 10)), Some(4));
    assert_eq!(election.try_claim(Millis(claimed + 15)), None, "the second claim did not fail");
}

#[test]
fn a_claim_is_not_retried_if_an_owner_was_found_in_the_log() {
    let mut election = follower("large", LARGE);
    let claimed = first_claim(&mut election);
    election.record_mismatch(3);
    let record = ElectionRecord::Claim { owner: entry("other"), addr: "1.2.3.4:6".into() };
    election.apply(Millis(claimed + 5), 2, record);
    assert_eq!(election.try_claim(Millis(claimed + 10)), None);
}

/// An owner was cut off and replaced, and the store lost its history before the owner had read the
/// claim of its successor. The owner's next heartbeat was appended, so that two owners could act.
#[test]
fn an_owner_that_may_have_missed_a_claim_is_not_the_owner() {
    let mut election = Election::new(entry("owner"), LARGE, Millis(0));
    let claim = |name| ElectionRecord::Claim { owner: entry(name), addr: "1.2.3.4:5".into() };
    election.apply(Millis(1), 0, claim("owner"));
    election.skip_lost(Millis(2), 1);
    assert!(election.is_owner(), "it had read all that was lost");
    election.skip_lost(Millis(5_000), 7);
    assert!(!election.is_owner() && !election.is_vacant());
    election.caught_up(Millis(5_100));
    election.caught_up(Millis(5_900));
    assert_eq!(election.try_claim(Millis(5_900)), None, "another owner may be alive");
    election.caught_up(Millis(6_300));
    assert_eq!(election.try_claim(Millis(6_300)), Some(7));
    election.apply(Millis(6_310), 7, claim("owner"));
    assert!(election.is_owner());
}

/// A record by which the owner of epoch 1 gives up the cell to `successor`.
fn give_up(election: &mut Election, at: u64, successor: &str) {
    let extension =
        Extension { cpu: SMALL, successor: Some(successor.into()), ..Extension::default() };
    election.apply_extended(Millis(at), 2, ElectionRecord::Release { epoch: 1 }, extension);
}

#[test]
fn entries_leave_the_cell_to_the_named_successor_for_400_ms() {
    let (mut successor, mut other) = (follower("next", LARGE), follower("other", LARGE));
    give_up(&mut successor, 5, "next");
    give_up(&mut other, 5, "next");
    assert_eq!(first_claim(&mut successor), 10);
    let claimed = first_claim(&mut other);
    assert!((405..420).contains(&claimed), "{claimed} ms, although the successor had 400 ms");
}

#[test]
fn without_the_rules_for_capacity_a_named_successor_has_no_precedence() {
    let mut other = follower("other", LARGE);
    other.set_prefers_capacity(false);
    give_up(&mut other, 5, "next");
    assert_eq!(first_claim(&mut other), 10);
}

fn claim_of(owner: &str, cpu: u32) -> (ElectionRecord, Extension) {
    let record = ElectionRecord::Claim { owner: entry(owner), addr: "1.2.3.4:6".into() };
    (record, Extension { cpu, ..Extension::default() })
}

/// After an overload, no large entry owned a cell again for 9 s, while small ones did not keep up.
#[test]
fn an_entry_stops_backing_off_once_a_smaller_one_owns_the_cell() {
    for (cpu, claims_at) in [(SMALL, 60), (LARGE, 8_000)] {
        let mut election = follower("slow", LARGE);
        election.apply(Millis(5), 2, ElectionRecord::Release { epoch: 1 });
        election.back_off(Millis(8_000));
        let (record, extension) = claim_of("other", cpu);
        election.apply_extended(Millis(10), 3, record, extension);
        election.apply(Millis(50), 4, ElectionRecord::Release { epoch: 4 });
        election.caught_up(Millis(60));
        let claimed = (6..1_000).map(|index| index * 10).find(|at| {
            election.caught_up(Millis(*at));
            election.try_claim(Millis(*at)).is_some()
        });
        assert_eq!(claimed, Some(claims_at), "an owner of {cpu} millicores claimed");
    }
}

/// An owner of 0.12 of a core reported itself as the largest entry before the others had connected.
/// Small entries then claimed the cell as early as large ones, twice in a row.
#[test]
fn small_entries_do_not_trust_an_owner_that_does_not_know_its_peers_yet() {
    let mut election = follower("small", SMALL);
    let (record, extension) = claim_of("one", SMALL);
    election.apply_extended(Millis(1_000), 2, record, extension.clone());
    let heartbeat = || ElectionRecord::Heartbeat {
        epoch: 3,
        owner: entry("one"),
        addr: "1.2.3.4:6".into(),
        largest_cpu: SMALL,
    };
    election.apply_extended(Millis(1_400), 3, heartbeat(), extension.clone());
    assert!(election.claims_late(), "the owner does not know its peers yet");
    election.apply_extended(Millis(4_000), 4, heartbeat(), extension);
    assert!(!election.claims_late(), "there is no larger entry any more");
}

#[test]
fn callers_do_not_wait_while_nobody_owns_the_cell() {
    let mut election = follower("small", SMALL);
    assert!(!election.is_ownerless(Millis(100)), "it has an owner");
    give_up(&mut election, 200, "next");
    assert!(!election.is_ownerless(Millis(300)), "the successor is about to claim");
    assert!(election.is_ownerless(Millis(700)), "the successor did not claim");
    assert!(!election.is_ownerless(Millis(5_000)), "the log was not read for long");
    let mut equal = Election::new(entry("one"), SMALL, Millis(0));
    let (record, extension) = claim_of("other", SMALL);
    equal.apply_extended(Millis(1), 0, record, extension);
    equal.apply(Millis(2), 1, ElectionRecord::Release { epoch: 1 });
    equal.caught_up(Millis(3));
    assert!(!equal.is_ownerless(Millis(10)), "entries of one size keep callers waiting as before");
}

/// The authority of an owner with a large peer that was last heard at 7,000, and a last heartbeat
/// at `heartbeat`.
fn authority_with_peer(heartbeat: u64) -> Authority {
    let mut authority = Authority::new("owner".into(), Millis(0), Millis(0), None);
    authority.add_peer(Millis(100), &"large".into(), LARGE);
    authority.update_peer(Millis(7_000), &"large".into(), true);
    authority.confirm_heartbeat(Millis(heartbeat));
    authority
}

#[test]
fn an_overloaded_owner_hands_over_although_it_is_late_with_pings_and_heartbeats() {
    let mut election = follower("owner", SMALL);
    let mut lag = TickLag::new(Millis(0));
    let now = Millis(tick_late(&mut lag, 6_000, 400).max(8_100));
    let mut authority = authority_with_peer(now.0 - 1_100);
    let hand_over = hand_over::decide(now, SMALL, &election, &authority, &lag).unwrap();
    assert_eq!(hand_over.reason, Reason::Size);
    assert_eq!(hand_over.successor.unwrap().name, "large".into());
    let hand_over = hand_over::decide(now, LARGE, &election, &authority, &lag).unwrap();
    assert_eq!((hand_over.reason, hand_over.successor), (Reason::Overload, None));
    assert!(
        hand_over::decide(now, LARGE + 1, &election, &authority, &lag).is_none(),
        "it keeps the cell if all other entries are smaller"
    );
    let late = now + Millis(200);
    assert!(hand_over::decide(late, SMALL, &election, &authority, &lag).is_none(), "no authority");
    authority.record_store_failure(now);
    assert!(
        hand_over::decide(now, SMALL, &election, &authority, &lag).is_none(),
        "nobody could claim the cell while the store fails"
    );
    authority.confirm_heartbeat(now);
    give_up(&mut election, now.0 - 100, "large");
    let lag = TickLag::new(Millis(0));
    authority.update_peer(now, &"large".into(), true);
    assert!(
        hand_over::decide(now, SMALL, &election, &authority, &lag).is_none(),
        "the cell was given to a larger entry a moment ago"
    );
}

#[test]
fn records_are_read_with_and_without_an_extension() {
    let (record, extension) = claim_of("one", SMALL);
    let bytes = claim_record::encode(&record, &extension).unwrap();
    assert_eq!(claim_record::decode(&bytes).unwrap(), (record.clone(), extension));
    let former = postcard::to_stdvec(&record).unwrap();
    assert_eq!(claim_record::decode(&former).unwrap(), (record.clone(), Extension::default()));
    // Versions up to 0.13.0 read a record in this way.
    assert_eq!(postcard::from_bytes::<ElectionRecord>(&bytes).unwrap(), record);
}

const TICK_INTERVAL: Millis = Millis(100);

/// Runs ticks that come `late` milliseconds after they are due, for two seconds from `from` on;
/// returns the time then.
fn tick_late(lag: &mut TickLag, from: u64, late: u64) -> u64 {
    let mut now = from;
    while now < from + 2_000 {
        now += TICK_INTERVAL.0 + late;
        lag.record_tick(Millis(now), TICK_INTERVAL);
    }
    now
}

#[test]
fn an_overloaded_owner_hands_the_cell_over_but_not_at_once() {
    let mut lag = TickLag::new(Millis(0));
    let early = tick_late(&mut lag, 0, 400);
    assert!(!lag.should_hand_over(Millis(early)), "it has just taken the cell over");
    let steady = tick_late(&mut lag, 10_000, 1);
    assert!(!lag.should_hand_over(Millis(steady)), "it keeps up");
    lag.record_tick(Millis(steady + 20_000), TICK_INTERVAL);
    assert!(!lag.should_hand_over(Millis(steady + 20_000)), "a single pause is over");
    let slow = tick_late(&mut lag, steady + 20_000, 400);
    assert!(lag.should_hand_over(Millis(slow)));
}

#[test]
fn an_entry_that_backs_off_leaves_a_vacant_cell_to_others() {
    let mut election = follower("slow", LARGE);
    election.apply(Millis(10), 2, ElectionRecord::Release { epoch: 1 });
    election.back_off(Millis(3_000));
    let claimed = first_claim(&mut election);
    assert!((3_000..3_100).contains(&claimed), "{claimed}");
}

#[test]
fn an_overloaded_owner_rejects_new_jobs_until_it_has_recovered() {
    const TICK_INTERVAL: Millis = Millis(100);
    let mut lag = TickLag::new(Millis(0));
    let mut now = 0;
    let mut run = |lag: &mut TickLag, ticks: u64, late: u64| {
        (0..ticks).find(|_| {
            let before = lag.is_shedding();
            now += TICK_INTERVAL.0 + late;
            lag.record_tick(Millis(now), TICK_INTERVAL);
            lag.is_shedding() != before
        })
    };
    // The owner keeps up, also with a pause of a second.
    assert_eq!(run(&mut lag, 50, 1), None);
    assert_eq!(run(&mut lag, 1, 1_000), None);
    assert_eq!(run(&mut lag, 50, 1), None);
    // Three times the load that it can handle: each tick waits for the work before it.
    let first_shed = run(&mut lag, 100, 300).expect("new jobs are rejected");
    assert!(first_shed < 15, "after {first_shed} ticks");
    assert_eq!(run(&mut lag, 100, 300), None, "new jobs are rejected as long as the load lasts");
    let recovered = run(&mut lag, 100, 1).expect("new jobs are accepted again");
    assert!((5..30).contains(&recovered), "after {recovered} ticks");
}

#[test]
fn an_owner_that_got_a_cell_for_overload_does_not_hand_it_over_again() {
    let mut election = follower("one", SMALL);
    assert!(election.may_hand_over(Millis(10)));
    election.apply(Millis(100), 2, ElectionRecord::Overloaded { epoch: 1 });
    assert!(election.is_vacant(), "it is vacant at once");
    let (owner, addr) = (entry("one"), "1.2.3.5:5".into());
    election.apply(Millis(200), 3, ElectionRecord::Claim { owner, addr });
    assert!(!election.is_vacant());
    assert!(!election.may_hand_over(Millis(20_000)), "the load is too high for any owner");
    assert!(election.may_hand_over(Millis(40_000)));
}

/// An owner on a small VM gave up calls after 1 s although the reports had arrived and lay unread,
/// and opened a new connection for each of them: 32,585 in 48 s, which left it less time for the
/// reports.
#[test]
fn an_overloaded_owner_waits_longer_for_workers_until_it_has_recovered() {
    let mut lag = TickLag::new(Millis(0));
    let usual = lag.timeouts();
    let steady = tick_late(&mut lag, 0, 1);
    assert_eq!(lag.timeouts(), usual, "it keeps up");
    lag.record_tick(Millis(steady + 1_000), TICK_INTERVAL);
    assert_eq!(lag.timeouts(), usual, "a single pause");
    let slow = tick_late(&mut lag, steady + 1_000, 400);
    let late = lag.timeouts();
    assert!(
        late.report > usual.report && late.order > usual.order && late.interval > usual.interval
    );
    tick_late(&mut lag, slow, 1);
    assert_eq!(lag.timeouts(), usual, "it keeps up again");
}

// Several tasks of an entry learn of owners, each on a thread of its own: the one that knows of the
// newer owner may publish it first. The entry went back to the former owner, and gave up its
// connection to the new one.
#[test]
fn former_owner_published_over_a_newer_one() {
    let leader = |epoch, name| Leader { epoch, owner: entry(name), addr: "1.2.3.4:5".into() };
    let (former, newer) = (leader(5, "a"), leader(9, "b"));
    assert!(former.replaces(None) && newer.replaces(Some(&former)));
    assert!(!newer.replaces(Some(&newer)), "nothing has changed");
    assert!(!former.replaces(Some(&newer)), "the former owner replaces the newer one");
}

/// An entry that started behind a network partition claimed the cell while its owner, which did not
/// know it, relied on the reports of the others.
#[test]
fn an_entry_that_the_owner_does_not_count_claims_later() {
    let mut claimants = Claimants::default();
    claimants.insert(&"known".into());
    for (name, claims_at) in [("known", OWNER_TIMEOUT), ("new", OWNER_TIMEOUT + MAX_RELIANCE)] {
        let mut election = follower(name, LARGE);
        for (offset, claimants) in
            [(2, ClaimantUpdate::Only(claimants.clone())), (3, ClaimantUpdate::Unchanged)]
        {
            let (owner, addr) = (entry("owner"), "1.2.3.4:5".into());
            let heartbeat = ElectionRecord::Heartbeat { epoch: 1, owner, addr, largest_cpu: LARGE };
            let extension = Extension { claimants, ..Extension::default() };
            election.apply_extended(Millis(10), offset, heartbeat, extension);
        }
        let claimed = (1..7_000).map(|index| 10 * index).find(|at| {
            election.caught_up(Millis(*at));
            election.try_claim(Millis(*at)).is_some()
        });
        assert_eq!(claimed, Some(10 + claims_at.0), "{name}");
    }
}

/// The store lost the records of a live owner, and an entry that had just started claimed the cell at
/// once.
#[test]
fn an_entry_that_finds_lost_records_only_waits_for_heartbeats() {
    let mut election = Election::new(entry("new"), LARGE, Millis(0));
    election.skip_lost(Millis(0), 50);
    let claimed = first_claim(&mut election);
    assert!(claimed >= OWNER_TIMEOUT.0, "{claimed}");
}
