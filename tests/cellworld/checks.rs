//! What must hold at each start, while it is calm, and at the end.

use super::*;

impl World {
    /// Once all jobs came to an end, the rest of the time is short: it shows what starts though nothing should.
    pub(super) fn note_calm(&mut self) {
        let Some(owner) = self.owners.last() else { return };
        let is_over =
            |job: &JobKey| matches!(owner.cell.job_state(*job), Some(JobState::Closed(_)));
        let mut ending = self.accepted.iter().filter(|job| !self.is_lasting(**job));
        let all = self.accepted.len() == self.works.len() && ending.all(is_over);
        if self.now > CALM && all {
            self.end = self.end.min(self.now + self.rest());
        }
    }

    pub(super) fn check_ends(&mut self) {
        let states: Vec<(JobKey, Option<JobState>)> = {
            let Some(owner) = self.owners.last() else { return };
            let ending = self.accepted.iter().filter(|job| !self.is_lasting(**job));
            ending.map(|job| (*job, owner.cell.job_state(*job))).collect()
        };
        for (job, state) in states {
            match state {
                Some(JobState::Closed(_)) => {}
                other => self.fault(format!("job {job} did not end: {other:?}")),
            }
        }
    }

    /// Nothing waits for longer than the platform's contract allows while a worker has room for it twice over
    /// and less than half of all room is in use: 3 s, with 4 s of calm before them.
    pub(super) fn check_waits(&mut self, owner: usize) {
        let is_owner = owner + 1 == self.owners.len() && !self.owners[owner].deposed;
        if !is_owner {
            return;
        }
        let calm_from = CALM.max(self.crashed_at) + CALM_BEFORE;
        if self.now < calm_from {
            self.idle.clear();
            return;
        }
        let waits: Vec<_> = self.owners[owner].cell.waiting_steps().collect();
        let is_idle = |(step, why): &(StepKey, WaitReason)| {
            *why != WaitReason::Crashes && self.has_room(*step) && !self.has_half(step.job)
        };
        let idle: Vec<(StepKey, WaitReason)> = waits.into_iter().filter(is_idle).collect();
        self.idle.retain(|step, _| idle.iter().any(|(other, _)| other == step));
        for (step, why) in idle {
            let since = *self.idle.entry(step).or_insert(self.now);
            if self.now - since > WAIT_LIMIT {
                self.fault(format!("step {step} waits though there is room: {}", why.name()));
            }
        }
    }

    /// Whether nothing of a step's job runs, though a worker has room for a task of it twice over and less than
    /// half of all room is in use.
    pub(super) fn has_room(&self, step: StepKey) -> bool {
        let spec = &self.works[&step.job].steps[usize::from(step.step)];
        let charge = spec.charge();
        let alive = || self.workers.values().filter(|worker| worker.alive);
        let used = |worker: &FakeWorker| -> Room {
            worker.running.values().fold(Room::default(), |sum, run| sum.plus(&run.charge))
        };
        let runs =
            alive().any(|worker| worker.running.keys().any(|task| task.step.job == step.job));
        let all: u64 = alive().map(|worker| worker.listed.room.cpu).sum();
        let taken: u64 = alive().map(|worker| used(worker).cpu).sum();
        let twice = charge.plus(&charge);
        let is_free = |worker: &FakeWorker| {
            let is_cut = worker.cut_until + CALM_BEFORE > self.now;
            let may_run = self.is_cleared(step, &worker.listed.id);
            !is_cut && may_run && worker.listed.room.less(&used(worker)).holds(&twice)
        };
        // A gang needs room for all of it at once.
        !spec.gang && !runs && taken * 2 < all && alive().any(is_free)
    }

    /// Owners in touch start a task that crashes its workers twice more, after three crashed under it.
    pub(super) fn check_crashes(&mut self, owner: Option<usize>, task: TaskKey) {
        let Some(owner) = owner else { return };
        let crashed = self.bad.get(&task).map_or(0, BTreeSet::len);
        let was_paused = self.paused.get(&owner).is_some_and(|until| *until + CONTACT > self.now);
        if crashed < 3 || was_paused || owner + 1 != self.owners.len() {
            return;
        }
        let more = self.more.entry(task).or_default();
        *more += 1;
        if *more >= 3 {
            self.fault(format!("{task} started three times more after {crashed} crashes"));
        }
    }

    /// What must hold at each start.
    pub(super) fn check_start(&mut self, name: &Name, task: TaskKey, spec: &Step) {
        let job = task.step.job;
        let worker = &self.workers[name];
        let used = worker.running.values().fold(Room::default(), |sum, run| sum.plus(&run.charge));
        let wanted = used.plus(&spec.charge());
        let before = worker.rooms.iter().filter(|(until, _)| *until >= self.now);
        let mut rooms = before.map(|(_, room)| *room).chain([worker.listed.room]);
        let over = !rooms.any(|room| room.holds(&wanted));
        let here = worker.running.keys().filter(|other| other.step == task.step).count() as u32;
        let crowded = spec.apart > 0 && here >= spec.apart;
        let elsewhere =
            self.workers.values().any(|worker| worker.alive && worker.running.contains_key(&task));
        let early = spec.after.iter().any(|after| {
            let count = self.works[&job].steps[usize::from(*after)].count;
            let step = StepKey { step: *after, ..task.step };
            (0..count).any(|index| !self.done.contains_key(&TaskKey { step, index }))
        });
        let confirmed = self.done.get(&task).copied().unwrap_or(false);
        let failed = self.fails.get(&task).map_or(0, Vec::len);
        self.lasting.note_start(task, spec);
        let faults = [
            (over, "a worker is given more than it has"),
            (crowded, "more tasks of a step on one worker than allowed"),
            (elsewhere && !spec.copies, "a task runs twice at once"),
            (early, "a task starts before what it depends on is done"),
            (confirmed && !spec.copies, "a task starts again after its end was confirmed"),
        ];
        for (wrong, what) in faults {
            if wrong {
                self.fault(format!("{what}: {task} on {name}"));
            }
        }
        if failed >= self.queue_row.attempts as usize && !spec.lasting {
            self.excess.push((task, failed));
            self.check_excess();
        }
    }

    /// Ends that are lost with their worker before anybody confirmed them do not count.
    pub(super) fn check_excess(&mut self) {
        let allowed = self.queue_row.attempts as usize;
        let wrong = self.excess.iter().find(|(task, failed)| {
            let ends = self.fails.get(task).map(Vec::as_slice).unwrap_or_default();
            ends.iter().take(*failed).filter(|(.., confirmed)| *confirmed).count() >= allowed
        });
        if let Some((task, _)) = wrong.copied() {
            self.fault(format!("a task started once more than it may: {task}"));
        }
    }
}
