//! Workspaces: their callers' keys, and the bound on what each has running.

mod lifeworld;

use lifeworld::{Cluster, RUN_MS, job, step};
use sprucerudder::cell::JobState;
use sprucerudder::cell::jobs::wait_reason::WaitReason;
use sprucerudder::cell::owner::access::{Access, authorize};
use sprucerudder::cell::owner::cell_map::CellMap;
use sprucerudder::cell::records::journal::JobOutcome;
use sprucerudder::clock::Millis;
use sprucerudder::order::WorkerInfo;
use sprucerudder::platform::config::Policy;
use sprucerudder::workload::{Resources, Step};
use sprucerudder::workspace::{Workspace, Workspaces};
use std::collections::BTreeSet;
use std::num::NonZeroUsize;

const COMPLETED: Option<JobState> = Some(JobState::Closed(JobOutcome::Completed));
const NOW: Millis = Millis(0);
const LONG_AGO: Millis = Millis(10_000);

/// A workspace that may have so many tasks of one processor running.
fn workspace(name: &str, tasks: u64) -> Workspace {
    let limit = Resources { cpu: 1_000 * tasks, ..Resources::UNLIMITED };
    Workspace { name: name.into(), weight: 1, limit }
}

fn workspaces(tasks: u64) -> Workspaces {
    let mut all = Workspaces::default();
    all.add(workspace("large", tasks), ["key-1".into(), "key-2".into()]);
    all.add(workspace("small", 100), ["key-3".into()]);
    all
}

/// A site with room for 16 tasks, and one of whose workspaces may have four running.
fn site() -> Cluster {
    let mut site = Cluster::new(4);
    site.workspaces = workspaces(4);
    site.cell.set_workspaces(workspaces(4));
    site
}

fn wide(count: u32) -> Step {
    Step { count, ..step() }
}

/// Plays, and checks that a job never has more tasks running than `most`.
fn play_bounded(site: &mut Cluster, length: u64, most: usize) -> usize {
    let mut peak = 0;
    for _ in 0..length / 20 {
        site.run_for(20);
        peak = peak.max(site.running());
        assert!(site.running() <= most, "{} run at {}", site.running(), site.now);
    }
    peak
}

#[test]
fn a_workspace_has_no_more_running_than_its_bound() {
    let mut site = site();
    site.submit_for(job(1), wide(10), "large");
    let peak = play_bounded(&mut site, 4 * RUN_MS, 4);
    assert_eq!(peak, 4);
    play_bounded(&mut site, 2_000, 4);
    assert_eq!(site.state(job(1)), COMPLETED);
}

#[test]
fn what_waits_for_the_bound_says_so_and_holds_up_nobody() {
    let mut site = site();
    site.submit_for(job(1), wide(10), "large");
    site.submit_for(job(2), wide(8), "small");
    site.run_for(40);
    assert_eq!(site.running(), 12);
    let waits: Vec<WaitReason> = site.cell.waiting_steps().map(|(_, why)| why).collect();
    assert_eq!(waits, [WaitReason::WorkspaceLimit]);
}

#[test]
fn the_bound_holds_through_takeovers() {
    // The next owner finds the workspace of each job in the store, and counts what the former one bound.
    let mut site = site();
    site.submit_for(job(1), wide(20), "large");
    for _ in 0..8 {
        play_bounded(&mut site, 200, 4);
        site.take_over();
    }
    play_bounded(&mut site, 10_000, 4);
    assert_eq!(site.state(job(1)), COMPLETED);
}

#[test]
fn a_bound_that_falls_stops_nothing_and_starts_nothing() {
    let mut site = site();
    site.submit_for(job(1), wide(12), "large");
    site.run_for(100);
    assert_eq!(site.running(), 4);
    site.cell.set_workspaces(workspaces(2));
    site.run_for(100);
    assert_eq!(site.running(), 4);
    site.run_for(RUN_MS);
    play_bounded(&mut site, 10 * RUN_MS, 2);
}

#[test]
fn a_task_larger_than_the_bound_runs_alone() {
    let mut site = site();
    site.cell.set_workspaces(workspaces(1));
    let resources = Resources { cpu: 2_000, mem: 1_000, gpu: 0 };
    site.submit_for(job(1), Step { count: 3, resources, ..step() }, "large");
    play_bounded(&mut site, 6 * RUN_MS, 1);
    assert_eq!(site.state(job(1)), COMPLETED);
}

#[test]
fn all_jobs_of_a_workspace_are_in_one_cell() {
    // Where each of seven cells had its part of every bound, a part held no whole job of a small workspace, and a job
    // that could run did not.
    let worker = |no: u32| WorkerInfo {
        id: format!("w{no}").into(),
        started_at: None,
        service: "s".into(),
        addr: "".into(),
        domain: "d".into(),
        capacity: Resources { cpu: 4_000, mem: 4_000, gpu: 0 },
        labels: vec!["a".into(), format!("r{}", no / 10).into()],
        leaves_in: None,
    };
    let workers: Vec<WorkerInfo> = (0..800).map(worker).collect();
    let map = CellMap::new(&workers, NonZeroUsize::new(100).unwrap());
    assert_eq!(map.cell_count(), 8);
    let of = |no: u32| map.cell_of_workspace(&format!("workspace-{no}").into());
    assert!((0..100).all(|no| of(no) < 8 && of(no) == of(no)));
    let used: BTreeSet<u32> = (0..100).map(of).collect();
    assert_eq!(used.len(), 8, "they are spread");
}

#[test]
fn a_job_is_seen_by_its_own_workspace() {
    let mut site = site();
    site.submit_for(job(1), wide(1), "large");
    site.run_for(40);
    let sees = |site: &Cluster, name: &str| site.cell.is_visible(job(1), Some(&name.into()));
    for _ in 0..2 {
        assert!(sees(&site, "large"));
        assert!(!sees(&site, "small"));
        assert!(site.cell.is_visible(job(1), None), "on a queue that is open to all");
        site.take_over();
        site.run_for(2_000);
    }
}

/// How long after `from` each of some jobs was done.
fn ages(site: &mut Cluster, jobs: std::ops::Range<u64>, from: u64) -> Vec<u64> {
    let mut ages = Vec::new();
    let mut left: Vec<u64> = jobs.collect();
    while !left.is_empty() && site.now < from + 60_000 {
        site.run_for(20);
        let (done, open): (Vec<u64>, Vec<u64>) =
            left.into_iter().partition(|key| site.state(job(*key)) == COMPLETED);
        ages.extend(done.iter().map(|_| site.now - from));
        left = open;
    }
    assert_eq!(left, [0_u64; 0], "not done");
    ages
}

#[test]
fn what_a_workspace_sends_beyond_its_share_comes_after_all_else() {
    // One workspace sends 40 jobs at once where its share is one a second, and fills all room for ten rounds. Jobs of
    // another one that come after them went behind all of these.
    let mut site = Cluster::new(1);
    let mut all = Workspaces::default();
    all.add(workspace("hot", 100), []);
    all.add(Workspace { weight: 10, ..workspace("calm", 100) }, []);
    site.cell.set_workspaces(all);
    for key in 100..140 {
        site.submit_for(job(key), wide(1), "hot");
    }
    site.run_for(40);
    for key in 1..5 {
        site.submit_for(job(key), wide(1), "calm");
    }
    let from = site.now;
    let slowest = ages(&mut site, 1..5, from).into_iter().max().unwrap();
    assert!(slowest <= 3 * RUN_MS, "{slowest} ms");
    ages(&mut site, 100..140, from);
}

#[test]
fn keys_decide_who_may_call() {
    let all = workspaces(4);
    let of = |key, age| authorize(&all, false, key, age);
    let name = |access| match access {
        Access::Granted(Some(workspace)) => Some(workspace.name.clone()),
        _ => None,
    };
    assert_eq!(name(of(Some("key-2"), NOW)).as_deref(), Some("large"));
    assert_eq!(of(Some("other"), NOW), Access::Denied);
    assert_eq!(of(None, NOW), Access::Denied);
    assert_eq!(authorize(&all, true, None, NOW), Access::Granted(None));
    assert_eq!(authorize(&all, true, Some("other"), NOW), Access::Granted(None));
}

#[test]
fn a_key_that_may_have_been_added_since_is_not_refused_for_good() {
    // An entry behind a cut from the store does not hear of new keys. A refusal for good is the caller's last answer;
    // told to come back it finds another entry.
    let all = workspaces(4);
    assert_eq!(authorize(&all, false, Some("new"), LONG_AGO), Access::Unknown);
    assert_eq!(authorize(&all, false, None, LONG_AGO), Access::Denied);
    assert!(matches!(authorize(&all, false, Some("key-1"), LONG_AGO), Access::Granted(Some(_))));
}

#[test]
fn a_policy_names_workspaces_keys_bounds_and_open_queues() {
    let text = r#"{"version":7,"routes":[
        {"name":"a","host":"h","path_prefix":"/a/","service":"s","anonymous":true},
        {"name":"b","host":"h","path_prefix":"/b/","service":"s"}],
        "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"weight":18,
        "upper_bound":{"cpu":4000,"mem_mb":0,"gpu":0}}]}"#;
    let policy = Policy::parse(text.as_bytes()).unwrap();
    assert!(policy.route("h", "/a/1").unwrap().is_anonymous);
    assert!(!policy.route("h", "/b/1").unwrap().is_anonymous);
    assert!(policy.requires_keys);
    let all = policy.workspaces;
    let of_key = all.by_api_key("k2").unwrap();
    let limit = Resources { cpu: 4_000, ..Resources::UNLIMITED };
    assert_eq!(**of_key, Workspace { name: "t".into(), weight: 18, limit });
    assert!(all.by_api_key("k3").is_none());
    let none = Policy::parse(br#"{"version":7}"#).unwrap();
    assert!(none.workspaces.is_empty() && !none.requires_keys);
}
