//! Records written by version 0.5.0 are read by this version and written back unchanged: during a
//! rolling upgrade, entries of both versions own cells in turn.
//!
//! `UPDATE_GOLDEN=1 cargo test --test golden` writes the file. The file of a released version must
//! stay as that version wrote it.

use sprucerudder::cell::jobs::restart_policy::Evidence;
use sprucerudder::cell::owner::election::ElectionRecord;
use sprucerudder::cell::records::journal::{
    JobOutcome, JobRecord, Progress, Snapshot, StepProgress, TaskProgress, WorkerRecord, put_job,
    put_progress, put_workers,
};
use sprucerudder::clock::Millis;
use sprucerudder::id::EntryId;
use sprucerudder::workload::{AdviceConfig, JobDefinition, JobKey, Queue, Resources, Step};
use std::fmt::Write;
use std::sync::Arc;

const GOLDEN_PATH: &str = "tests/golden/records-0.5.0.txt";
const JOB_KEY: JobKey = JobKey(0x68aa_a70a_b6d3_eae3);

fn queue() -> Queue {
    Queue {
        name: "q".into(),
        service: "s".into(),
        priority: 3,
        max_attempts: 2,
        stretch: 1_500,
        target: Millis(250),
        advice: Some(AdviceConfig {
            base_latency: Millis(5),
            worker_micros: 100,
            ticket_validity: Millis(2_500),
        }),
    }
}

fn open_job() -> JobRecord {
    let resources = Resources { cpu: 500, mem: 256, gpu: 1 };
    let first_due = Step {
        count: 4,
        resources,
        estimate: Millis(900),
        data_rack: "r1-3".into(),
        ..Step::default()
    };
    let second =
        Step { dependencies: vec![0], is_gang: true, has_checkpoints: true, ..first_due.clone() };
    let steps = vec![first_due, second];
    let (first_due, interval) = (Millis(0), Millis(0));
    let work = JobDefinition { payload: "text".into(), steps, repetitions: 1, first_due, interval };
    JobRecord::Open { queue: queue(), work: Arc::new(work) }
}

fn progress() -> Progress {
    let assignment = Some((1_030, "i-1".into()));
    let task =
        TaskProgress { index: 2, failed: vec![1_025], checkpoint: "0bb8".into(), assignment };
    Progress {
        steps: vec![StepProgress { step_index: (0, 1), done: vec![0b101], tasks: vec![task] }],
    }
}

fn worker_records() -> Vec<WorkerRecord> {
    vec![WorkerRecord { id: "i-1".into(), service: "s".into(), addr: "10.1.64.25:8623".into() }]
}

fn election_records() -> Vec<ElectionRecord> {
    let owner = EntryId { name: "entry-1".into(), incarnation: 7 };
    let addr: sprucerudder::id::Name = "10.1.0.13:7720".into();
    vec![
        ElectionRecord::Claim { owner: owner.clone(), addr: addr.clone() },
        ElectionRecord::Heartbeat { epoch: 9, owner, addr, largest_cpu: 250 },
        ElectionRecord::Release { epoch: 9 },
        ElectionRecord::Overloaded { epoch: 9 },
    ]
}

/// All records, one per line: the key and the value in hexadecimal.
fn golden_lines() -> String {
    let closed = JobRecord::Closed { queue: "q".into(), outcome: JobOutcome::Failed };
    let mut records = vec![
        put_job(JOB_KEY, &open_job()),
        put_job(JobKey(2), &closed),
        put_job(JobKey(3), &JobRecord::Forwarded { cell: 5 }),
        put_progress(JOB_KEY, &progress()),
        put_workers(&worker_records()),
    ];
    for (no, record) in election_records().iter().enumerate() {
        records.push((format!("claim-{no}"), postcard::to_stdvec(record).unwrap()));
    }
    let mut text = String::new();
    for (key, value) in records {
        let hex: String = value.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(text, "{key} {hex}").unwrap();
    }
    text
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).unwrap());
    pairs.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect()
}

#[test]
fn records_of_version_0_5_0_are_read_and_written_unchanged() {
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(GOLDEN_PATH, golden_lines()).unwrap();
    }
    let text = std::fs::read_to_string(GOLDEN_PATH).unwrap();
    assert_eq!(golden_lines(), text);
    let mut snapshot = Snapshot::default();
    let mut decoded_records = Vec::new();
    for line in text.lines() {
        let (key, hex) = line.split_once(' ').unwrap();
        match key.starts_with("claim-") {
            true => {
                decoded_records.push(postcard::from_bytes::<ElectionRecord>(&bytes(hex)).unwrap())
            }
            false => snapshot.apply(key, &bytes(hex)).unwrap(),
        }
    }
    assert_eq!(decoded_records, election_records());
    assert_eq!(snapshot.jobs[&JOB_KEY], open_job());
    assert_eq!(snapshot.progress[&JOB_KEY], progress());
    assert_eq!(snapshot.workers, worker_records());
    assert_eq!(snapshot.jobs.len(), 3);
}

/// Crashes of a task as version 0.8.0 wrote them, with a flag for whether the task ran alone.
const CRASH_RECORD_0_8_0: &str =
    "01 00 01 02 02 05 692d314037 02 6131 00 01 03 692d32 02 6131 01 00";

#[test]
fn crashes_written_with_an_alone_flag_are_read_as_evidence() {
    let mut snapshot = Snapshot::default();
    snapshot.apply(&format!("{JOB_KEY}.c"), &bytes(&CRASH_RECORD_0_8_0.replace(' ', ""))).unwrap();
    let crashes = &snapshot.crashes[&JOB_KEY][0].crashes;
    let read: Vec<_> = crashes.iter().map(|one| (one.evidence, one.is_confirmed)).collect();
    assert_eq!(read, [(Evidence::Shared, true), (Evidence::Alone, false)]);
    assert_eq!(crashes[0].worker.started_at, Some(Millis(7)));
}
