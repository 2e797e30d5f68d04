//! The faults that are injected: crashes, restarts, partitions, pauses, changes of capacity and
//! power losses.

use super::*;

impl Simulation {
    /// Changes the capacity of a random worker.
    pub(super) fn resize_worker(&mut self) {
        let names: Vec<Name> = self.workers.keys().cloned().collect();
        let name = names[self.pick(names.len() as u64) as usize].clone();
        let cpu = 400 + self.pick(1_800);
        self.log_event(format!("{name} now has a capacity of {cpu} millicores"));
        self.resize_count += 1;
        let until = self.now + CONTACT_MS + HEARTBEAT_MS;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.old_rooms.push((until, worker.listed.capacity));
            worker.listed.capacity = room(cpu);
        }
        // The worker's next list entry has the new capacity, and each owner reads the list at its
        // own interval.
        let announced = self.pick(HEARTBEAT_MS);
        for owner in 0..self.owners.len() {
            let delay = announced + self.pick(LIST_INTERVAL_MS);
            self.schedule_after(delay, Event::ReadList { owner });
        }
    }

    /// A worker crashes because of a task, unless its run has ended meanwhile.
    pub(super) fn crash_under(&mut self, name: &Name, task: TaskKey, run: u64) {
        let Some(worker) = self.workers.get(name).filter(|worker| worker.alive) else { return };
        if worker.running.get(&task).is_none_or(|running| running.run != run) {
            return;
        }
        let downtime = 300 + self.pick(7_000);
        self.log_event(format!("{name} crashes under {task} run {run} for {downtime} ms"));
        self.crash(name, downtime);
    }

    /// Waits are checked again from 4 s after `until` on.
    pub(super) fn note_disruption(&mut self, until: u64) {
        self.last_disruption = self.last_disruption.max(until);
    }

    /// A worker crashes independently of its tasks, and comes back at once or seconds later.
    pub(super) fn crash_at_random(&mut self, name: &Name) {
        if !self.workers.get(name).is_some_and(|worker| worker.alive) {
            return;
        }
        let downtime = self.pick(1_000) * (1 + 4 * self.pick(2));
        self.log_event(format!("{name} crashes for {downtime} ms"));
        self.crash(name, downtime);
    }

    /// All workers and the owner crash at the same moment, and come back within a second.
    pub(super) fn cut_power(&mut self) {
        self.log_event("power is lost everywhere".to_string());
        for owner in &mut self.owners {
            owner.alive = false;
        }
        let names: Vec<Name> = self.workers.keys().cloned().collect();
        for name in names {
            if self.workers[&name].alive {
                let downtime = self.pick(1_000);
                self.crash(&name, downtime);
            }
        }
        self.power_losses += 1;
        let at = self.now + self.pick(1_000);
        self.schedule_at(at, Event::Elect);
    }

    pub(super) fn crash(&mut self, name: &Name, downtime: u64) {
        self.last_disruption = self.now + downtime;
        self.connections.forget_worker(name);
        self.note_fault(self.now);
        self.record_lost_runs(name);
        let running: Vec<TaskKey> = self.workers[name].running.keys().copied().collect();
        let life = self.workers[name].life();
        for task in running {
            if let Some(incarnations) = self.crash_tasks.get_mut(&task) {
                incarnations.insert(life.clone());
            }
        }
        let until = self.now + downtime;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.alive = false;
            worker.still_listed = true;
            worker.down_until = until;
            worker.running.clear();
        }
        let worker = name.clone();
        self.schedule_after(downtime, Event::RestartWorker { worker: worker.clone() });
        let listed_for = 1_000 + self.pick(3_500);
        self.schedule_after(listed_for, Event::RemoveEntry { worker });
    }

    /// Records that a worker ends while its current tasks run on it.
    pub(super) fn record_lost_runs(&mut self, name: &Name) {
        let worker = &self.workers[name];
        for task in worker.running.keys() {
            self.crashed_under.entry(*task).or_default().insert(worker.life());
        }
    }

    /// Starts the next incarnation of a crashed worker.
    pub(super) fn restart_worker(&mut self, name: &Name) {
        self.restart_count += 1;
        let old = self.workers[name].listed.clone();
        if self.keeps_ids && self.pick(4) > 0 {
            return self.restart_same_id(name);
        }
        let id: Name = format!("{}+{}", old.addr, self.restart_count).into();
        self.add_worker(id.clone(), 0);
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.listed = WorkerInfo { id, ..old };
        }
        self.publish_list();
    }

    /// Starts the next incarnation of a worker under the same id. It remembers nothing, and may
    /// have another capacity.
    pub(super) fn restart_same_id(&mut self, name: &Name) {
        self.id_reuses += 1;
        let (clock_base, cpu) = (self.pick(3_000_000), 1_200 + self.pick(1_000));
        // The system clock may have been set back.
        let born =
            Millis(1_000_000 * self.restart_count + self.pick(10) + self.now - self.pick(self.now));
        self.log_event(format!("{name} is back under its id, born at {born}"));
        let old = self.workers[name].listed.clone();
        let clock_drift = self.workers[name].clock_drift;
        // By the platform's contract a reduced capacity counts only after this time, also for the
        // next incarnation.
        let until = self.now + CONTACT_MS + HEARTBEAT_MS;
        self.add_worker(name.clone(), 0);
        if let Some(worker) = self.workers.get_mut(name) {
            (worker.clock_base, worker.clock_drift) = (clock_base, clock_drift);
            worker.old_rooms.push((until, old.capacity));
            worker.listed = WorkerInfo { started_at: Some(born), capacity: room(cpu), ..old };
        }
        self.publish_list();
    }

    /// Pauses the current owner until then; another one takes over meanwhile.
    pub(super) fn pause_owner(&mut self, until: u64) {
        let Some(owner) = self.owners.len().checked_sub(1) else { return };
        self.log_event(format!("owner {owner} is paused until {until}"));
        self.owners[owner].paused_until = until;
        self.note_fault(until);
        self.pause_ends.insert(owner, until);
        self.unnoticed_pauses.insert(owner, until - self.now);
        let at = self.now + 1_200 + self.pick(400);
        self.schedule_at(at, Event::Elect);
    }

    /// A worker is gone for good, and another one takes its place.
    pub(super) fn replace_worker(&mut self, name: &Name, next: Name) {
        self.log_event(format!("{name} is gone for good"));
        self.note_fault(self.now);
        let domain = self.pick(2);
        self.record_lost_runs(name);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.alive = false;
            let unread_ends: Vec<TaskKey> = worker.ended.iter().map(|row| row.task).collect();
            let tasks = std::mem::take(&mut worker.running).into_keys();
            self.allow_extra_time(tasks.chain(unread_ends));
        }
        self.add_worker(next, domain);
        self.publish_list();
    }

    /// Injects a random fault now and then, as long as faults are allowed.
    pub(super) fn inject_fault(&mut self) {
        if !self.chance(4) {
            return;
        }
        let names: Vec<Name> = self.workers.keys().cloned().collect();
        let name = names[self.pick(names.len() as u64) as usize].clone();
        match self.pick(5) {
            0 => {
                let until = self.now + 200 + self.pick(5_000);
                self.log_event(format!("{name} is partitioned until {until}"));
                self.note_fault(until);
                // If the owner is on the worker's side of the partition, another one takes over on
                // the other side.
                let with_owner = self.pick(2) == 0;
                let first_unreachable = if with_owner { self.owners.len() } else { 0 };
                if let Some(worker) = self.workers.get_mut(&name) {
                    worker.partitioned_until = until;
                    worker.first_unreachable = first_unreachable;
                }
                if with_owner {
                    let at = self.now + 1_200 + self.pick(300);
                    self.schedule_at(at, Event::Elect);
                }
            }
            1 if self.replaced_count < 2 && self.workers[&name].alive => {
                self.replaced_count += 1;
                let next = format!("{name}.{}", self.replaced_count).into();
                self.replace_worker(&name, next);
            }
            2 => {
                let until = self.now + 500 + self.pick(4_000);
                self.pause_owner(until);
            }
            3 => {
                let Some(owner) = self.owners.len().checked_sub(1) else { return };
                self.log_event(format!("owner {owner} dies"));
                self.note_fault(self.now);
                self.owners[owner].alive = false;
                // Only the process ends, and the VM closes its connections.
                self.connections.close(owner);
                let at = self.now + 600 + self.pick(600);
                self.schedule_at(at, Event::Elect);
            }
            _ => {
                let at = self.now;
                self.schedule_at(at, Event::Elect);
            }
        }
    }
}
