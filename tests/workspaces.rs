//! Workspaces: API keys of their callers, and the limit on what each workspace has running.

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
use sprucerudder::workload::{JobKey, Resources, Step};
use sprucerudder::workspace::{Workspace, Workspaces};
use std::collections::BTreeSet;
use std::num::NonZeroUsize;

const COMPLETED: Option<JobState> = Some(JobState::Closed(JobOutcome::Completed));
const CURRENT_POLICY_AGE: Millis = Millis(0);
const STALE_POLICY_AGE: Millis = Millis(10_000);

/// A workspace whose limit allows this many running tasks of one core.
fn workspace(name: &str, task_limit: u64) -> Workspace {
    let limit = Resources { cpu: 1_000 * task_limit, ..Resources::UNLIMITED };
    Workspace { name: name.into(), weight: 1, limit }
}

fn workspaces(task_limit: u64) -> Workspaces {
    let mut all = Workspaces::default();
    all.add(workspace("large", task_limit), ["key-1".into(), "key-2".into()]);
    all.add(workspace("small", 100), ["key-3".into()]);
    all
}

/// A cluster with capacity for 16 tasks, in which the workspace `large` may have four running.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new(4);
    cluster.workspaces = workspaces(4);
    cluster.cell.set_workspaces(workspaces(4));
    cluster
}

fn step_of(count: u32) -> Step {
    Step { count, ..step() }
}

/// Runs the cluster for `length` milliseconds, checks that it never has more than `limit` tasks
/// running, and returns the peak.
fn run_within_limit(cluster: &mut Cluster, length: u64, limit: usize) -> usize {
    let mut peak = 0;
    for _ in 0..length / 20 {
        cluster.run_for(20);
        peak = peak.max(cluster.running());
        assert!(cluster.running() <= limit, "{} run at {}", cluster.running(), cluster.now);
    }
    peak
}

#[test]
fn a_workspace_stays_within_its_limit() {
    let mut cluster = cluster();
    cluster.submit_for(job(1), step_of(10), "large");
    let peak = run_within_limit(&mut cluster, 4 * RUN_MS, 4);
    assert_eq!(peak, 4);
    run_within_limit(&mut cluster, 2_000, 4);
    assert_eq!(cluster.state(job(1)), COMPLETED);
}

#[test]
fn steps_that_wait_for_the_limit_report_it_and_block_nobody() {
    let mut cluster = cluster();
    cluster.submit_for(job(1), step_of(10), "large");
    cluster.submit_for(job(2), step_of(8), "small");
    cluster.run_for(40);
    assert_eq!(cluster.running(), 12);
    let waits: Vec<WaitReason> = cluster.cell.waiting_steps().map(|(_, why)| why).collect();
    assert_eq!(waits, [WaitReason::WorkspaceLimit]);
}

#[test]
fn the_limit_holds_through_takeovers() {
    // The next owner reads the workspace of each job from the store and counts the tasks that its
    // predecessor bound.
    let mut cluster = cluster();
    cluster.submit_for(job(1), step_of(20), "large");
    for _ in 0..8 {
        run_within_limit(&mut cluster, 200, 4);
        cluster.take_over();
    }
    run_within_limit(&mut cluster, 10_000, 4);
    assert_eq!(cluster.state(job(1)), COMPLETED);
}

/// Partitions the workers on which tasks of a job run.
fn partition_workers_of(cluster: &mut Cluster, key: JobKey) {
    for index in cluster.hosts_of(key) {
        cluster.partition(index, 4_000);
    }
}

#[test]
fn runs_of_a_closed_job_count_after_a_takeover() {
    // A job was closed while its runs went on behind a partition. The next owner did not learn of
    // them from the store, and started other tasks of the workspace beyond its limit.
    let mut cluster = cluster();
    cluster.lasting_jobs.insert(job(1));
    cluster.submit_for(job(1), step_of(4), "large");
    cluster.run_for(100);
    partition_workers_of(&mut cluster, job(1));
    cluster.cell.cancel(Millis(cluster.now), job(1));
    cluster.run_for(40);
    cluster.take_over();
    cluster.submit_for(job(2), step_of(8), "large");
    run_within_limit(&mut cluster, 3_000, 4);
    assert_eq!(cluster.start_count(job(2)), 0, "the workers have not reported yet");
    run_within_limit(&mut cluster, 3_000, 4);
    assert_eq!(cluster.state(job(2)), COMPLETED);
}

#[test]
fn runs_started_without_a_record_count_after_a_takeover() {
    // The store was unavailable, and the owner started tasks without records. Then their workers
    // were partitioned together with it. The next owner did not know of these runs, and started
    // tasks of another job of the workspace beyond its limit.
    let mut cluster = cluster();
    cluster.lasting_jobs.insert(job(1));
    cluster.submit_for(job(1), step_of(4), "large");
    cluster.run_for(100);
    assert_eq!(cluster.running(), 4);
    partition_workers_of(&mut cluster, job(1));
    cluster.take_over_after_outage();
    cluster.submit_for(job(2), step_of(8), "large");
    run_within_limit(&mut cluster, 3_000, 4);
    let waits: Vec<WaitReason> = cluster.cell.waiting_steps().map(|(_, why)| why).collect();
    assert!(waits.iter().all(|why| *why == WaitReason::Takeover), "{waits:?}");
    cluster.cell.cancel(Millis(cluster.now), job(1));
    run_within_limit(&mut cluster, 10_000, 4);
    assert_eq!(cluster.state(job(2)), COMPLETED);
}

#[test]
fn room_of_reported_runs_is_used_again_while_others_may_be_unknown() {
    // Workspaces with a limit started nothing for a lease after a takeover in doubt, although the
    // runs that workers reported had left room. Two of four runs are behind a partition.
    let mut cluster = cluster();
    cluster.lasting_jobs.insert(job(1));
    cluster.submit_for(job(1), Step { worker_limit: 1, ..step_of(4) }, "large");
    cluster.run_for(100);
    let hosts = cluster.hosts_of(job(1));
    assert_eq!(hosts.len(), 4);
    hosts.iter().take(2).for_each(|index| cluster.partition(*index, 4_000));
    cluster.take_over_after_outage();
    cluster.submit_for(job(2), step_of(8), "large");
    run_within_limit(&mut cluster, 1_000, 4);
    assert_eq!(cluster.start_count(job(2)), 0, "the reported runs go on");
    cluster.cell.cancel(Millis(cluster.now), job(1));
    run_within_limit(&mut cluster, 1_000, 4);
    let starts = cluster.start_count(job(2));
    assert!(starts >= 2, "{starts} tasks started where two runs have ended");
    run_within_limit(&mut cluster, 10_000, 4);
    assert_eq!(cluster.state(job(2)), COMPLETED);
}

#[test]
fn runs_that_copies_replaced_count_after_a_takeover() {
    // The store names the last run of each task. Its first run went on behind a partition while a
    // copy ran elsewhere.
    let mut cluster = cluster();
    cluster.lasting_jobs.insert(job(1));
    cluster.submit_for(job(1), Step { allow_copies: true, ..step_of(2) }, "large");
    cluster.run_for(100);
    partition_workers_of(&mut cluster, job(1));
    cluster.run_for(800);
    assert_eq!(cluster.running(), 4, "both tasks have copies");
    cluster.take_over();
    cluster.submit_for(job(2), step_of(8), "large");
    run_within_limit(&mut cluster, 2_000, 4);
}

#[test]
fn the_record_of_unassigned_runs_goes_with_them() {
    let mut cluster = cluster();
    cluster.lasting_jobs.insert(job(1));
    cluster.submit_for(job(1), step_of(4), "large");
    cluster.run_for(100);
    cluster.cell.cancel(Millis(cluster.now), job(1));
    cluster.run_for(20);
    assert_eq!(cluster.record_keys(".r").len(), 1);
    cluster.run_for(400);
    assert_eq!(cluster.running(), 0);
    assert_eq!(cluster.record_keys(".r"), Vec::<String>::new());
}

#[test]
fn a_lowered_limit_stops_nothing_and_starts_nothing() {
    let mut cluster = cluster();
    cluster.submit_for(job(1), step_of(12), "large");
    cluster.run_for(100);
    assert_eq!(cluster.running(), 4);
    cluster.cell.set_workspaces(workspaces(2));
    cluster.run_for(100);
    assert_eq!(cluster.running(), 4);
    cluster.run_for(RUN_MS);
    run_within_limit(&mut cluster, 10 * RUN_MS, 2);
}

#[test]
fn a_task_larger_than_the_limit_runs_alone() {
    let mut cluster = cluster();
    cluster.cell.set_workspaces(workspaces(1));
    let resources = Resources { cpu: 2_000, mem: 1_000, gpu: 0 };
    cluster.submit_for(job(1), Step { count: 3, resources, ..step() }, "large");
    run_within_limit(&mut cluster, 6 * RUN_MS, 1);
    assert_eq!(cluster.state(job(1)), COMPLETED);
}

#[test]
fn all_jobs_of_a_workspace_are_in_one_cell() {
    // Were every limit split over all cells (there were seven), a cell's part could be smaller than
    // any job of a small workspace: jobs that fit the limit did not run.
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
    let cell_of = |no: u32| map.cell_of_workspace(&format!("workspace-{no}").into());
    assert!((0..100).all(|no| cell_of(no) < 8 && cell_of(no) == cell_of(no)));
    let used: BTreeSet<u32> = (0..100).map(cell_of).collect();
    assert_eq!(used.len(), 8, "workspaces are spread over all cells");
}

#[test]
fn a_job_is_seen_by_its_own_workspace() {
    let mut cluster = cluster();
    cluster.submit_for(job(1), step_of(1), "large");
    cluster.run_for(40);
    let is_visible_to =
        |cluster: &Cluster, name: &str| cluster.cell.is_visible(job(1), Some(&name.into()));
    for _ in 0..2 {
        assert!(is_visible_to(&cluster, "large"));
        assert!(!is_visible_to(&cluster, "small"));
        assert!(
            cluster.cell.is_visible(job(1), None),
            "jobs of a queue that is open to all callers are visible to them"
        );
        cluster.take_over();
        cluster.run_for(2_000);
    }
}

/// Runs until all `jobs` are completed; the time from `from` until each of them was seen completed,
/// in milliseconds.
fn completion_times(cluster: &mut Cluster, jobs: std::ops::Range<u64>, from: u64) -> Vec<u64> {
    let mut completion_times = Vec::new();
    let mut left: Vec<u64> = jobs.collect();
    while !left.is_empty() && cluster.now < from + 60_000 {
        cluster.run_for(20);
        let (done, open): (Vec<u64>, Vec<u64>) =
            left.into_iter().partition(|key| cluster.state(job(*key)) == COMPLETED);
        completion_times.extend(done.iter().map(|_| cluster.now - from));
        left = open;
    }
    assert_eq!(left, [0_u64; 0], "jobs not completed in time");
    completion_times
}

#[test]
fn jobs_beyond_the_share_of_a_workspace_are_scheduled_last() {
    // A workspace submits 40 jobs at once, while its share is one a second, and occupies all
    // capacity for ten rounds. Fault: jobs that another workspace submitted afterwards were
    // scheduled behind all of these.
    let mut cluster = Cluster::new(1);
    let mut all = Workspaces::default();
    all.add(workspace("hot", 100), []);
    all.add(Workspace { weight: 10, ..workspace("calm", 100) }, []);
    cluster.cell.set_workspaces(all);
    for key in 100..140 {
        cluster.submit_for(job(key), step_of(1), "hot");
    }
    cluster.run_for(40);
    for key in 1..5 {
        cluster.submit_for(job(key), step_of(1), "calm");
    }
    let from = cluster.now;
    let slowest = completion_times(&mut cluster, 1..5, from).into_iter().max().unwrap();
    assert!(slowest <= 3 * RUN_MS, "{slowest} ms");
    completion_times(&mut cluster, 100..140, from);
}

#[test]
fn callers_are_authorized_by_their_keys() {
    let all = workspaces(4);
    let access = |key, age| authorize(&all, false, key, age);
    let name = |access| match access {
        Access::Granted(Some(workspace)) => Some(workspace.name.clone()),
        _ => None,
    };
    assert_eq!(name(access(Some("key-2"), CURRENT_POLICY_AGE)).as_deref(), Some("large"));
    assert_eq!(access(Some("other"), CURRENT_POLICY_AGE), Access::Denied);
    assert_eq!(access(None, CURRENT_POLICY_AGE), Access::Denied);
    assert_eq!(authorize(&all, true, None, CURRENT_POLICY_AGE), Access::Granted(None));
    assert_eq!(authorize(&all, true, Some("other"), CURRENT_POLICY_AGE), Access::Granted(None));
}

#[test]
fn an_unknown_key_is_not_rejected_permanently_while_the_policy_is_stale() {
    // An entry that is partitioned from the store does not learn of new keys. A permanent rejection
    // is the caller's last answer, whereas a caller that is told to retry reaches another entry.
    let all = workspaces(4);
    assert_eq!(authorize(&all, false, Some("new"), STALE_POLICY_AGE), Access::Unknown);
    assert_eq!(authorize(&all, false, None, STALE_POLICY_AGE), Access::Denied);
    assert!(matches!(
        authorize(&all, false, Some("key-1"), STALE_POLICY_AGE),
        Access::Granted(Some(_))
    ));
}

#[test]
fn a_policy_lists_workspaces_keys_limits_and_open_queues() {
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
