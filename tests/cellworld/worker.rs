//! What workers do: they start, stop and end runs, and stop them when their lease expires.

use super::*;

impl Simulation {
    pub(super) fn start_run(
        &mut self,
        owner: Option<usize>,
        name: &Name,
        start: &StartOrder,
        until: u64,
        epoch: u64,
    ) -> OrderOutcome {
        let (now, disabled) = (self.now, self.disabled);
        let Some(worker) = self.workers.get_mut(name) else { return OrderOutcome::Unsent };
        let task = start.task;
        if !worker.alive {
            return OrderOutcome::Refused(Refusal::OtherIncarnation);
        }
        if epoch < worker.fence && disabled != Disabled::Fencing {
            return OrderOutcome::Refused(Refusal::StaleFence);
        }
        worker.fence = worker.fence.max(epoch);
        if until <= worker.clock(now) {
            return OrderOutcome::Refused(Refusal::LeaseExpired);
        }
        if worker.running.get(&task).is_some_and(|running| running.run == start.run) {
            return OrderOutcome::Done(None);
        }
        let barred = worker.barred.get(&task).is_some_and(|barred| start.run <= *barred);
        if barred && disabled != Disabled::StopRecords {
            return OrderOutcome::Refused(Refusal::StaleRun);
        }
        worker.renew(now, until);
        let job = task.step.job;
        let spec = self.works[&job].steps[usize::from(task.step.step)].clone();
        let length = spec.estimate.0 / 2 + self.pick(spec.estimate.0.max(1));
        let running = Running {
            run: start.run,
            ends_at: now + length,
            charge: spec.charged_resources(),
            stopping: false,
        };
        self.check_start(name, task, &spec);
        self.check_limit(task, &spec);
        self.check_recorded(task);
        self.check_crashes(owner, task);
        if self.crash_tasks.contains_key(&task) {
            let fuse = 1 + self.pick(40);
            self.schedule_after(
                fuse,
                Event::CrashUnder { worker: name.clone(), task, run: start.run },
            );
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.running.insert(task, running);
        }
        self.log_event(format!("{name} starts {task} run {}", start.run));
        let length = match self.lasting.fails_runs(name, now) {
            true => Some(20 + self.pick(400)),
            false => (!spec.long_running).then_some(length),
        };
        if let Some(length) = length {
            self.schedule_after(
                length,
                Event::FinishRun { worker: name.clone(), task, run: start.run },
            );
        }
        OrderOutcome::Done(None)
    }

    pub(super) fn stop_run(
        &mut self,
        name: &Name,
        task: TaskKey,
        run: u64,
        epoch: u64,
    ) -> OrderOutcome {
        let disabled = self.disabled;
        let Some(worker) = self.workers.get_mut(name) else { return OrderOutcome::Unsent };
        if !worker.alive {
            return OrderOutcome::Refused(Refusal::OtherIncarnation);
        }
        if epoch < worker.fence && disabled != Disabled::Fencing {
            return OrderOutcome::Refused(Refusal::StaleFence);
        }
        worker.fence = worker.fence.max(epoch);
        let barred = worker.barred.entry(task).or_default();
        *barred = (*barred).max(run);
        let running = worker.running.get_mut(&task).filter(|running| running.run == run);
        if let Some(running) = running.filter(|running| !running.stopping) {
            running.stopping = true;
            let time = self.pick(MAX_STOP_MS);
            self.schedule_after(time, Event::StopRun { worker: name.clone(), task, run });
        }
        OrderOutcome::Done(None)
    }

    pub(super) fn finish_run(&mut self, name: &Name, task: TaskKey, run: u64) {
        let running = self.workers.get(name).and_then(|worker| worker.running.get(&task));
        if running.is_none_or(|running| running.run != run || running.stopping) {
            return;
        }
        // Some jobs fail every other time, so that tasks reach the last start that they may have.
        let often_fails = task.step.job.0 % 6 == 0 && self.pick(2) == 0;
        let is_failing = self.lasting.fails_runs(name, self.now);
        let lasts = self.is_lasting(task.step.job);
        let failed = self.chance(6) || often_fails || is_failing || lasts;
        let spec = &self.works[&task.step.job].steps[usize::from(task.step.step)];
        let (gang, count) = (spec.is_gang, spec.count as usize);
        if gang {
            return self.finish_gang(name, task, run, count, failed);
        }
        match failed {
            true => {
                self.end_run(name, task, EndReason::Failed);
            }
            false => {
                self.done.entry(task).or_insert(false);
                self.end_run(name, task, EndReason::Done);
            }
        }
    }

    /// A member of a gang finishes: all members succeed or fail together, and one whose others are
    /// missing ends alone.
    pub(super) fn finish_gang(
        &mut self,
        name: &Name,
        task: TaskKey,
        run: u64,
        count: usize,
        failed: bool,
    ) {
        let members: Vec<(Name, TaskKey)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.alive)
            .flat_map(|(name, worker)| worker.running.iter().map(move |entry| (name, entry)))
            .filter(|(_, (other, running))| other.step == task.step && running.run == run)
            .map(|(name, (other, _))| (name.clone(), *other))
            .collect();
        if members.len() < count {
            return self.end_run(name, task, EndReason::GangIncomplete);
        }
        for (member, other) in members {
            match failed {
                // In every other run all members fail by themselves.
                true if other == task || run % 2 == 0 => {
                    self.failed_gang_runs.entry(task.step).or_default().insert(run);
                    self.end_run(&member, other, EndReason::Failed)
                }
                true => self.end_run(&member, other, EndReason::GangBroken),
                false => {
                    self.done.entry(other).or_insert(false);
                    self.end_run(&member, other, EndReason::Done);
                }
            }
        }
    }

    pub(super) fn end_run(&mut self, name: &Name, task: TaskKey, reason: EndReason) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(running) = worker.running.remove(&task) else { return };
        worker.end_count += 1;
        let seq = worker.end_count;
        let barred = worker.barred.entry(task).or_default();
        *barred = (*barred).max(running.run);
        if reason == EndReason::Done {
            self.unconfirmed_done.entry(task).or_default().insert(running.run);
        }
        if reason == EndReason::Failed && !self.lasting.has_started(task) {
            let life = worker.life();
            self.failures.entry(task).or_default().push((life, seq, false));
        }
        worker.ended.push(EndedTask { seq, task, run: running.run, reason, checkpoint: "".into() });
        self.log_event(format!("{name} ends {task} run {}: {reason:?}", running.run));
    }

    /// Ends the runs of workers whose lease has expired.
    pub(super) fn expire_leases(&mut self) {
        if self.disabled == Disabled::LeaseExpiry {
            return;
        }
        let now = self.now;
        for worker in
            self.workers.values_mut().filter(|worker| worker.clock(now) >= worker.lease_until)
        {
            worker.last_lapsed = worker.end_count;
        }
        let over: Vec<(Name, TaskKey)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.alive && worker.clock(now) >= worker.lease_until)
            .flat_map(|(name, worker)| {
                worker.running.keys().map(|task| (name.clone(), *task)).collect::<Vec<_>>()
            })
            .collect();
        for (name, task) in over {
            self.end_run(&name, task, EndReason::LeaseExpired);
        }
    }
}
