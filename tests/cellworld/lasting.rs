//! Jobs that last, the advice service that is asked about them, and workers that fail all they start.
//!
//! By the platform's contract a lasting task has a run again within 6 s and 3 s of the end of its last one, if the last 3 s
//! and the 4 s before them were calm, however full the service is.

use super::*;
use sprucerudder::id::hash;
use sprucerudder::order::Cleared;
use sprucerudder::workload::Advice;

/// How long a lasting task may be without a run.
const RUN_LIMIT: u64 = 9_000;
/// How long it has to have been calm then.
const CALM_LIMIT: u64 = 7_000;
/// Workers of ten that the advice service clears for a step.
const CLEARED: u64 = 6;
/// A question takes as long as on the deployment with the slowest advice.
const ADVICE: Advice = Advice { base: Millis(560), each: 8_000, valid: Millis(2_000) };
const ENTRIES: usize = 9;

/// What the world knows of lasting jobs.
#[derive(Debug, Default)]
pub struct Lasting {
    is_on: bool,
    /// Tasks that vanish with their worker are judged, too.
    pub judges_vanished: bool,
    /// Workers that fail all they start, until then.
    grey: BTreeMap<Name, u64>,
    /// Tasks that have begun once.
    begun: BTreeSet<TaskKey>,
    /// Tasks that may be without a run for so much longer.
    longer: BTreeMap<TaskKey, u64>,
    /// Tasks without a run.
    idle: BTreeMap<TaskKey, Idle>,
    /// When the last trouble ended or will end.
    trouble: u64,
    /// Tasks that lost a run.
    pub lost_runs: usize,
}

/// A task without a run.
#[derive(Debug)]
struct Idle {
    since: u64,
    /// Since when a worker has had room for it all the time.
    place_since: Option<u64>,
}

impl Lasting {
    /// Whether what starts at a worker fails.
    pub fn fails_at(&self, worker: &Name, now: u64) -> bool {
        self.grey.get(worker).is_some_and(|until| *until > now)
    }

    /// A task starts.
    pub fn note_start(&mut self, task: TaskKey, spec: &Step) {
        if spec.lasting {
            self.begun.insert(task);
        }
    }

    /// Whether a task lasts and has begun.
    pub fn has_begun(&self, task: TaskKey) -> bool {
        self.begun.contains(&task)
    }
}

/// Whether the advice service clears a worker for a step: it says the same each time.
fn is_cleared(step: StepKey, worker: &Name) -> bool {
    hash(&[step.to_string().as_bytes(), worker.as_bytes()]) % 10 < CLEARED
}

fn entry(no: usize) -> Name {
    format!("e{no}").into()
}

impl World {
    /// Every other job lasts, and entries ask the advice service about them. Workers tell when they started, or do not.
    pub(super) fn make_lasting(&mut self, keeping: bool) {
        self.lasting.is_on = true;
        self.keeping = keeping;
        for worker in self.workers.values_mut() {
            worker.listed.born = keeping.then_some(Millis(7));
        }
        for no in 4..10 {
            self.add_worker(format!("w{no}").into(), no % 2);
        }
        self.list();
        let mut jobs: Vec<JobKey> = self.works.keys().copied().collect();
        jobs.retain(|job| self.is_lasting(*job));
        for job in jobs {
            let step = Step {
                count: 1 + self.pick(4) as u32,
                room: room(200 + self.pick(300)),
                estimate: Millis(60_000),
                lasting: true,
                apart: self.pick(2) as u32,
                ..Step::default()
            };
            let work = Work { steps: vec![step], ..(*self.works[&job]).clone() };
            self.works.insert(job, Arc::new(work));
        }
        let names: Vec<Name> = self.workers.keys().cloned().collect();
        for name in names {
            if self.pick(3) == 0 {
                let until = CALM - self.pick(2_000);
                self.lasting.grey.insert(name.clone(), until);
                self.note_trouble(until);
            }
        }
        self.replace_owners();
        self.connect_entries(0);
        self.drive(0);
    }

    /// Owners are replaced two or three times in a row, and a worker vanishes meanwhile.
    fn replace_owners(&mut self) {
        let mut at = CALM - 4_000 + self.pick(2_000);
        let names: Vec<Name> = self.workers.keys().cloned().collect();
        let worker = names[self.pick(names.len() as u64) as usize].clone();
        let gone = at + self.pick(1_500);
        self.at(gone, Event::Vanish { worker });
        for _ in 0..2 + self.pick(2) {
            self.at(at, Event::Elect);
            at += 300 + self.pick(1_700);
        }
    }

    /// The lease of the deployments with the longest.
    pub(super) fn lease(&self) -> u64 {
        if self.lasting.is_on { 2 * LEASE } else { LEASE }
    }

    /// How long a run goes on once all jobs that end have ended.
    pub(super) fn rest(&self) -> u64 {
        if self.lasting.is_on { 2 * RUN_LIMIT } else { REST }
    }

    pub(super) fn is_lasting(&self, job: JobKey) -> bool {
        self.lasting.is_on && job.0 % 2 == 0
    }

    pub(super) fn lasting_queue(&self) -> Queue {
        Queue {
            name: "lasts".into(),
            priority: 1,
            advice: Some(ADVICE),
            ..(*self.queue_row).clone()
        }
    }

    pub(super) fn note_trouble(&mut self, until: u64) {
        self.lasting.trouble = self.lasting.trouble.max(until);
    }

    /// A worker vanishes with these tasks: they ran there, or nobody has read their ends. Where workers start again under their ids, its next life may hold a lease by the
    /// clock of the life before, up to the longest, and nobody may start its tasks before that is over.
    pub(super) fn note_vanished(&mut self, tasks: impl Iterator<Item = TaskKey>) {
        let longer = match self.lasting.judges_vanished {
            true if self.keeping => LEASE_MAX - 2 * LEASE,
            true => 0,
            false => END,
        };
        self.lasting.longer.extend(tasks.map(|task| (task, longer)));
    }

    /// All entries connect to a new owner.
    pub(super) fn connect_entries(&mut self, owner: usize) {
        if !self.lasting.is_on {
            return;
        }
        for no in 0..ENTRIES {
            self.owners[owner].cell.add_entry(entry(no), true);
        }
    }

    /// An entry asks the advice service for an owner.
    pub(super) fn ask(&mut self, owner: usize, entry: Name, question: AdviceRequest) {
        let length = question.cost.0 * (90 + self.pick(20)) / 100;
        let lost = self.chance(12);
        if lost && self.pick(2) == 0 {
            let (delay, entry) = (self.pick(length), entry.clone());
            self.after(delay, Event::Reconnect { owner, entry });
        }
        self.after(length, Event::Advice { owner, entry, question, lost });
    }

    pub(super) fn answer_question(
        &mut self,
        owner: usize,
        entry: &Name,
        question: &AdviceRequest,
        lost: bool,
    ) {
        if lost {
            return self.say(format!("{entry}'s answer about {} is lost", question.step));
        }
        let good = question.workers.iter().filter(|name| is_cleared(question.step, name));
        let rows = good.map(|name| (name.clone(), "ticket".into())).collect();
        let answer = Some(Cleared { rows, valid: None });
        let cell = &mut self.owners[owner].cell;
        cell.handle_advice(Millis(self.now), entry, question.step, &question.workers, answer);
        self.drive(owner);
    }

    pub(super) fn reconnect(&mut self, owner: usize, entry: Name) {
        self.say(format!("{entry} connects to owner {owner} again"));
        self.owners[owner].cell.remove_entry(&entry);
        self.owners[owner].cell.add_entry(entry, true);
        self.drive(owner);
    }

    /// No task that lasts is without a run for longer than the contract allows.
    pub(super) fn check_lasting(&mut self) {
        if !self.lasting.is_on {
            return;
        }
        let alive = self.workers.values().filter(|worker| worker.alive);
        let running: BTreeSet<TaskKey> =
            alive.flat_map(|worker| worker.running.keys().copied()).collect();
        let idle: Vec<TaskKey> =
            self.lasting.begun.iter().filter(|task| !running.contains(task)).copied().collect();
        self.lasting.idle.retain(|task, _| !running.contains(task));
        self.lasting.longer.retain(|task, _| !running.contains(task));
        for task in idle {
            let (now, has_place) = (self.now, self.has_place(task));
            let before = self.lasting.idle.len();
            let new = || Idle { since: now, place_since: None };
            let idle = self.lasting.idle.entry(task).or_insert_with(new);
            idle.place_since = idle.place_since.filter(|_| has_place).or(has_place.then_some(now));
            let had_place = idle.place_since.is_some_and(|since| now - since > WAIT_LIMIT);
            let since = idle.since;
            self.lasting.lost_runs += self.lasting.idle.len() - before;
            let is_calm = now >= self.lasting.trouble + CALM_LIMIT;
            let is_long = is_calm && now - since > RUN_LIMIT && had_place;
            if self.now > CALM && self.may_run_unseen(task) {
                self.note_vanished([task].into_iter());
            } else if is_long && now - since > self.limit(task) {
                self.fault(format!("lasting task {task} is without a run since {since}"));
            }
        }
    }

    /// How long a task may be without a run.
    fn limit(&self, task: TaskKey) -> u64 {
        RUN_LIMIT + self.lasting.longer.get(&task).copied().unwrap_or(0)
    }

    /// Whether the store binds a task to a worker that vanished: nobody can know that it never began there. That ends with
    /// the longest lease.
    fn may_run_unseen(&self, task: TaskKey) -> bool {
        let mut snapshot = Snapshot::default();
        let of_job = task.step.job.to_string();
        for (key, value) in self.store.iter().filter(|(key, _)| key.starts_with(&of_job)) {
            snapshot.apply(key, value).unwrap();
        }
        let progress = snapshot.progress.remove(&task.step.job).unwrap_or_default();
        let steps = progress.steps.into_iter();
        let here = steps.filter(|step| step.step_index == (task.step.time, task.step.step));
        let tasks = here.flat_map(|step| step.tasks).filter(|note| note.index == task.index);
        let mut bound = tasks.filter_map(|note| note.assignment);
        bound.any(|(_, worker)| self.workers.get(&worker).is_none_or(|worker| !worker.alive))
    }

    /// Whether a worker may run a step: the advice service is asked about jobs that last.
    pub(super) fn is_cleared(&self, step: StepKey, worker: &Name) -> bool {
        !self.is_lasting(step.job) || is_cleared(step, worker)
    }

    /// Whether a sound worker has room for a task twice over, and takes one more of its step.
    fn has_place(&self, task: TaskKey) -> bool {
        let spec = &self.works[&task.step.job].steps[usize::from(task.step.step)];
        let charge = spec.charge();
        let twice = charge.plus(&charge);
        let used = |worker: &FakeWorker| -> Room {
            worker.running.values().fold(Room::default(), |sum, run| sum.plus(&run.charge))
        };
        let takes = |worker: &FakeWorker| {
            let here = worker.running.keys().filter(|other| other.step == task.step).count();
            spec.apart == 0 || here < spec.apart as usize
        };
        self.workers.iter().any(|(name, worker)| {
            let has_room = worker.listed.room.less(&used(worker)).holds(&twice);
            worker.alive && is_cleared(task.step, name) && has_room && takes(worker)
        })
    }
}
