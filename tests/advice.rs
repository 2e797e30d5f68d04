//! Requests to the advice service while many steps wait for it, on a virtual clock.

use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::{Action, Cell, CellConfig};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{
    ClearedWorkers, Refusal, ReportError, RunningTask, StartOrder, WorkerInfo, WorkerReport,
};
use sprucerudder::workload::{
    AdviceConfig, JobDefinition, JobKey, Queue, Resources, Step, StepKey,
};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// The cores of a worker, in thousandths: room for one task of a job of [`JOB_CPU`].
const WORKER_CPU: u64 = 8_000;
const JOB_CPU: u64 = 8_000;

/// A request for one of the tasks takes this long, and names two workers for each task.
const LONG: AdviceConfig = AdviceConfig {
    base_latency: Millis(300),
    worker_micros: 100_000,
    ticket_validity: Millis(2_500),
};
const SHORT: AdviceConfig =
    AdviceConfig { base_latency: Millis(20), worker_micros: 1_000, ticket_validity: Millis(2_500) };

/// A request that an entry was told to send.
#[derive(Debug, Clone)]
struct Sent {
    entry: Name,
    step: StepKey,
    workers: Vec<Name>,
}

/// An owner with idle workers, whose store answers at once.
struct Cluster {
    cell: Cell,
    now: u64,
    workers: usize,
}

fn worker(index: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("w{index:02}").into(),
        service: "s".into(),
        domain: "d".into(),
        addr: format!("addr{index}").into(),
        labels: if index < 2 { vec!["x".into()] } else { Vec::new() },
        capacity: Resources { cpu: WORKER_CPU, mem: 1 << 20, gpu: 0 },
        started_at: None,
        leaves_in: None,
    }
}

fn queue(name: &str, priority: u32, advice: AdviceConfig) -> (Name, Arc<Queue>) {
    let queue = Queue {
        name: name.into(),
        service: "s".into(),
        priority,
        max_attempts: 2,
        stretch: 2_000,
        target: Millis(1_000),
        advice: Some(advice),
    };
    (name.into(), Arc::new(queue))
}

/// A step of tasks that fill a worker each.
fn step(count: u32) -> Step {
    Step { count, resources: Resources { cpu: JOB_CPU, mem: 1, gpu: 0 }, ..Step::default() }
}

impl Cluster {
    fn new(workers: usize, entries: usize) -> Self {
        let config = CellConfig {
            lease: Millis(6_000),
            max_lease: Millis(10_000),
            job_retention: Millis(100_000),
            disabled: DisabledMechanisms::default(),
            memory: None,
        };
        let queues = HashMap::from([
            queue("long", 2, LONG),
            queue("low", 3, LONG),
            queue("short", 0, SHORT),
        ]);
        let mut cell = Cell::new(1, config, queues, Snapshot::default(), false, Millis(0));
        cell.set_workers(Millis(0), (0..workers).map(worker).collect());
        for index in 0..entries {
            cell.add_entry(format!("e{index:02}").into(), true);
        }
        let mut cluster = Self { cell, now: 1, workers };
        for index in 0..workers {
            let report = WorkerReport { clock: 1_000, ..WorkerReport::default() };
            cluster.cell.on_report(Millis(1), Millis(0), &worker(index).id, &report);
        }
        cluster.advance(1);
        cluster
    }

    fn submit(&mut self, key: u64, queue: &str, count: u32) -> StepKey {
        self.submit_step(key, queue, step(count))
    }

    fn submit_step(&mut self, key: u64, queue: &str, step: Step) -> StepKey {
        self.submit_steps(key, queue, vec![step])
    }

    /// Submits a job. Returns its first step.
    fn submit_steps(&mut self, key: u64, queue: &str, steps: Vec<Step>) -> StepKey {
        let work = JobDefinition {
            payload: "".into(),
            steps,
            repetitions: 1,
            first_due: Millis(0),
            interval: Millis(0),
        };
        let submitted = self.cell.submit(Millis(self.now), JobKey(key), queue, Arc::new(work));
        assert!(submitted.is_some());
        StepKey { job: JobKey(key), repetition: 0, step: 0 }
    }

    /// Lets time pass, makes a scheduling pass and returns the requests and starts that it led to.
    fn advance(&mut self, by: u64) -> (Vec<Sent>, Vec<(Name, StartOrder)>) {
        self.now += by;
        let now = Millis(self.now);
        self.cell.tick(now, now);
        self.cell.schedule(now);
        while let Some(batch) = self.cell.take_batch(now) {
            self.cell.mark_stored(now, batch.number);
        }
        self.cell.schedule(now);
        let (mut sent, mut starts) = (Vec::new(), Vec::new());
        for action in self.cell.take_actions() {
            match action {
                Action::RequestAdvice { entry, request } => {
                    sent.push(Sent { entry, step: request.step, workers: request.workers });
                }
                Action::Start { worker, start, .. } => starts.push((worker, start)),
                _ => {}
            }
        }
        (sent, starts)
    }

    /// All workers report, those of these starts that they run.
    fn report_running(&mut self, starts: &[(Name, StartOrder)]) {
        for index in 0..self.workers {
            let id = worker(index).id;
            let here = starts.iter().filter(|(name, _)| *name == id);
            let running = here.map(|(_, start)| RunningTask {
                task: start.task,
                run: start.run,
                checkpoint: "c".into(),
                pace_percent: 100,
                gauge: None,
            });
            let running = running.collect();
            let report = WorkerReport { clock: self.now, running, ..WorkerReport::default() };
            self.cell.on_report(Millis(self.now), Millis(self.now - 1), &id, &report);
        }
    }

    /// The first worker is listed, and reports, as an incarnation that started at this time.
    fn list_again(&mut self, started_at: u64) {
        let started_at = Some(Millis(started_at));
        let listed = WorkerInfo { started_at, ..worker(0) };
        self.cell.set_workers(Millis(self.now), vec![listed]);
        self.now += 10;
        let report = WorkerReport { clock: 1_000, started_at, ..WorkerReport::default() };
        self.cell.on_report(Millis(self.now), Millis(self.now - 1), &worker(0).id, &report);
    }

    /// Answers a request and cancels its job.
    fn clear_and_cancel(&mut self, sent: &Sent) {
        self.clear_all(sent);
        self.cell.cancel(Millis(self.now), sent.step.job);
    }

    /// Cancels the job of a request, which then gets no answer.
    fn withdraw(&mut self, sent: &Sent) {
        self.cell.cancel(Millis(self.now), sent.step.job);
        self.cell.handle_advice(Millis(self.now), &sent.entry, sent.step, &sent.workers, None);
    }

    /// Answers a request: all of its workers may run the step.
    fn clear_all(&mut self, sent: &Sent) {
        let tickets = sent.workers.iter().map(|name| (name.clone(), "ticket".into())).collect();
        let answer = Some(ClearedWorkers { tickets, valid_for: None });
        self.cell.handle_advice(Millis(self.now), &sent.entry, sent.step, &sent.workers, answer);
    }
}

#[test]
fn a_request_that_waited_names_no_worker_that_filled_up_meanwhile() {
    // The workers of a request were chosen when it was queued. Steps that were queued together chose
    // the same ones, and by the time the later requests were sent the earlier steps had filled them.
    let mut cluster = Cluster::new(8, 1);
    for key in 1..=3 {
        cluster.submit(key, "long", 1);
    }
    let (mut sent, _) = cluster.advance(1);
    let mut full: BTreeSet<Name> = BTreeSet::new();
    for _ in 0..3 {
        assert_eq!(sent.len(), 1, "one entry sends one request at a time");
        let request = sent.remove(0);
        let stale: Vec<&Name> =
            request.workers.iter().filter(|name| full.contains(*name)).collect();
        assert!(stale.is_empty(), "{:?} names full workers {stale:?}", request.step);
        cluster.now += 500;
        cluster.clear_all(&request);
        let (next, starts) = cluster.advance(0);
        assert_eq!(starts.len(), 1, "{:?} has a worker", request.step);
        full.extend(starts.into_iter().map(|(name, _)| name));
        sent = next;
    }
}

#[test]
fn requests_in_progress_do_not_all_name_the_workers_with_the_most_room() {
    // All requests that were sent before the first answer named the same workers. The first step
    // filled them, and the others got nothing, while the rest of the cell was idle.
    let mut cluster = Cluster::new(24, 6);
    for key in 1..=4 {
        cluster.submit(key, "long", 2);
    }
    let (sent, _) = cluster.advance(1);
    assert_eq!(sent.len(), 4);
    cluster.now += 700;
    sent.iter().for_each(|request| cluster.clear_all(request));
    let (_, starts) = cluster.advance(0);
    assert_eq!(starts.len(), 4 * 2, "there is a worker for each task");
}

#[test]
fn a_request_that_was_lost_keeps_back_no_room() {
    // What is kept back for an answer has to end with the request, however that ends.
    let mut cluster = Cluster::new(12, 3);
    let step = cluster.submit(1, "long", 2);
    let (first, _) = cluster.advance(1);
    let lost = |cluster: &mut Cluster, entry: &Name| cluster.cell.remove_entry(entry);
    lost(&mut cluster, &first[0].entry);
    cluster.cell.cancel(Millis(cluster.now), step.job);
    cluster.submit(2, "long", 2);
    let (second, _) = cluster.advance(1);
    assert_eq!(second[0].workers, first[0].workers);
}

#[test]
fn no_entry_is_kept_free_for_short_requests_that_do_not_come() {
    // A third of the entries was kept free of long requests at all times. They stood idle for as
    // long as nothing but long requests waited, and the queue grew.
    let mut cluster = Cluster::new(24, 6);
    for key in 1..=6 {
        cluster.submit(key, "long", 1);
    }
    let (sent, _) = cluster.advance(1);
    assert_eq!(sent.len(), 6, "each entry sends a request");
}

#[test]
fn short_requests_that_go_on_coming_do_not_wait_for_long_ones() {
    // While short requests come, entries are kept free for as many as come at once.
    let mut cluster = Cluster::new(24, 6);
    for key in 1..=20 {
        cluster.submit(key, "short", 1);
        let (sent, _) = cluster.advance(0);
        assert_eq!(sent.len(), 1);
        cluster.advance(22);
        cluster.clear_all(&sent[0]);
        cluster.cell.cancel(Millis(cluster.now), sent[0].step.job);
        cluster.advance(28);
    }
    for key in 101..=112 {
        cluster.submit(key, "long", 1);
    }
    let (long, _) = cluster.advance(1);
    assert!((4..6).contains(&long.len()), "{} of 6 entries send long requests", long.len());
    cluster.submit(21, "short", 1);
    let (short, _) = cluster.advance(1);
    assert_eq!(short.len(), 1, "the short request is sent at once");
}

#[test]
fn steps_whose_workers_are_full_do_not_keep_the_service_from_steps_with_room() {
    // Requests went by rank alone. Where the workers of one service were full, its urgent steps were
    // asked about again and again, to no avail, while steps beside free workers waited.
    let mut cluster = Cluster::new(6, 1);
    let labelled = |count| Step { required_label: "x".into(), ..step(count) };
    cluster.submit_step(1, "long", labelled(2));
    let (sent, _) = cluster.advance(1);
    cluster.now += 500;
    cluster.clear_all(&sent[0]);
    let (_, starts) = cluster.advance(0);
    assert_eq!(starts.len(), 2, "the workers with the label are full");
    for key in 2..=4 {
        cluster.submit_step(key, "long", labelled(1));
    }
    let with_room = cluster.submit(5, "low", 1);
    let (sent, _) = cluster.advance(1);
    assert_eq!(sent[0].step, with_room);
}

#[test]
fn a_step_is_asked_about_though_more_urgent_ones_keep_coming() {
    // Nothing bounded the wait of a step behind steps of a higher rank, which came as fast as they
    // were asked about.
    let mut cluster = Cluster::new(12, 1);
    cluster.submit(1, "long", 1);
    let (mut sent, _) = cluster.advance(1);
    let low = cluster.submit(2, "low", 1);
    let submitted = cluster.now;
    for key in 3.. {
        assert!(cluster.now - submitted < 3_000, "not asked about within 3 s");
        cluster.submit(key, "long", 1);
        cluster.submit(key + 1_000, "long", 1);
        let request = sent.remove(0);
        cluster.now += 500;
        cluster.clear_all(&request);
        (sent, _) = cluster.advance(0);
        cluster.cell.cancel(Millis(cluster.now), request.step.job);
        if sent[0].step == low {
            return;
        }
    }
}

#[test]
fn short_requests_do_not_take_the_turn_of_the_step_that_waits_longest() {
    // A short request between two long ones ended the turn of the oldest step, so that no long
    // request ever went by age.
    let mut cluster = Cluster::new(12, 2);
    cluster.submit(900, "short", 1);
    let (short, _) = cluster.advance(1);
    cluster.clear_and_cancel(&short[0]);
    cluster.submit(1, "long", 1);
    let (mut sent, _) = cluster.advance(1);
    let low = cluster.submit(2, "low", 1);
    let submitted = cluster.now;
    for key in 3.. {
        assert!(cluster.now - submitted < 3_000, "not asked about within 3 s");
        cluster.submit(key, "long", 1);
        cluster.submit(key + 1_000, "long", 1);
        cluster.submit(key + 2_000, "short", 1);
        let (short, _) = cluster.advance(1);
        cluster.now += 22;
        cluster.clear_and_cancel(&short[0]);
        let request = sent.remove(0);
        cluster.now += 478;
        cluster.clear_all(&request);
        (sent, _) = cluster.advance(0);
        cluster.cell.cancel(Millis(cluster.now), request.step.job);
        if sent[0].step == low {
            return;
        }
    }
}

#[test]
fn a_large_step_is_asked_about_beside_small_ones_that_have_not_started() {
    // What small steps were expected to take counted as taken. A step that needs whole workers was
    // passed over for as long as small ones came, on workers that were all idle.
    let mut cluster = Cluster::new(4, 2);
    let resources = Resources { cpu: JOB_CPU / 8, mem: 1, gpu: 0 };
    let small = || Step { count: 4, resources, ..Step::default() };
    cluster.submit_step(1, "low", small());
    let (mut sent, _) = cluster.advance(1);
    cluster.now += 350;
    let large = cluster.submit(900_000, "long", 1);
    let submitted = cluster.now;
    for key in 2.. {
        assert!(cluster.now - submitted < 3_000, "not asked about within 3 s");
        cluster.submit_step(key, "low", small());
        cluster.submit_step(key + 1_000, "low", small());
        sent.extend(cluster.advance(1).0);
        if sent.iter().any(|request| request.step == large) {
            return;
        }
        cluster.now += 350;
        cluster.withdraw(&sent.remove(0));
        sent.extend(cluster.advance(0).0);
    }
}

#[test]
fn an_urgent_step_that_can_make_room_is_asked_about() {
    // Only free room counted. An urgent step whose workers were full of work that it may stop was
    // passed over for as long as steps of other workers came, and without a ticket it stops nothing.
    let mut cluster = Cluster::new(6, 1);
    let labelled =
        |count| Step { required_label: "x".into(), has_checkpoints: true, ..step(count) };
    cluster.submit_step(1, "low", labelled(2));
    let (sent, _) = cluster.advance(1);
    cluster.now += 500;
    cluster.clear_all(&sent[0]);
    let (_, starts) = cluster.advance(0);
    cluster.report_running(&starts);
    cluster.advance(400);
    cluster.report_running(&starts);
    let urgent = cluster.submit_step(2, "long", labelled(1));
    cluster.submit(3, "low", 1);
    let submitted = cluster.now;
    let (mut sent, _) = cluster.advance(1);
    for key in 4.. {
        assert!(cluster.now - submitted < 3_000, "not asked about within 3 s");
        if sent[0].step == urgent {
            return;
        }
        cluster.submit(key, "low", 1);
        cluster.now += 500;
        cluster.withdraw(&sent.remove(0));
        cluster.report_running(&starts);
        (sent, _) = cluster.advance(0);
    }
}

#[test]
fn a_step_is_not_sent_again_to_the_entry_that_failed_it() {
    // The first idle entry was taken. One that cannot reach the service failed each request at once
    // and got the next one, while another entry was idle.
    let mut cluster = Cluster::new(4, 2);
    cluster.submit(1, "long", 1);
    let (sent, _) = cluster.advance(1);
    let Sent { entry, step, workers } = &sent[0];
    cluster.cell.handle_advice(Millis(cluster.now), entry, *step, workers, None);
    let (again, _) = cluster.advance(500);
    assert_ne!(again[0].entry, *entry);
}

#[test]
fn a_denial_of_a_removed_worker_is_forgotten() {
    // Another incarnation may be of another kind. Denials were kept when the worker was removed and
    // listed again under its id.
    let mut cluster = Cluster::new(1, 1);
    cluster.list_again(1);
    cluster.advance(10);
    cluster.submit(1, "long", 1);
    let (sent, _) = cluster.advance(300);
    let Sent { entry, step, workers } = &sent[0];
    let denied = Some(ClearedWorkers { tickets: Vec::new(), valid_for: None });
    cluster.cell.handle_advice(Millis(cluster.now), entry, *step, workers, denied);
    assert!(cluster.advance(500).0.is_empty(), "there is nobody else to ask about");
    let replaced = ReportError::Refused(Refusal::OtherIncarnation);
    cluster.cell.on_missing_report(Millis(cluster.now), &worker(0).id, &replaced);
    cluster.list_again(500);
    let asked = (0..10).any(|_| !cluster.advance(500).0.is_empty());
    assert!(asked, "the next incarnation is asked about");
}

#[test]
fn steps_without_room_do_not_hide_a_step_of_their_queue_that_has_room() {
    // One step stood for all of its queue, also for those that may run on other workers.
    let mut cluster = Cluster::new(6, 1);
    let labelled = |count| Step { required_label: "x".into(), ..step(count) };
    cluster.submit_step(1, "long", labelled(2));
    let (sent, _) = cluster.advance(1);
    cluster.now += 500;
    cluster.clear_all(&sent[0]);
    assert_eq!(cluster.advance(0).1.len(), 2);
    for key in 2..=4 {
        cluster.submit_step(key, "long", labelled(1));
    }
    let with_room = cluster.submit(5, "long", 1);
    let (sent, _) = cluster.advance(1);
    assert_eq!(sent[0].step, with_room);
}

#[test]
fn a_step_whose_request_was_lost_keeps_its_place() {
    // A lost request was queued as a new one, behind all that had come meanwhile.
    let mut cluster = Cluster::new(12, 1);
    let first = cluster.submit(1, "long", 1);
    let (sent, _) = cluster.advance(1);
    for key in 2..=4 {
        cluster.submit(key, "long", 1);
    }
    cluster.advance(100);
    cluster.cell.remove_entry(&sent[0].entry);
    cluster.advance(100);
    cluster.cell.add_entry(sent[0].entry.clone(), true);
    let (again, _) = cluster.advance(1);
    assert_eq!(again[0].step, first);
}
