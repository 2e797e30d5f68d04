//! Suspended failure domains: messages to their workers are delivered afterwards, and their callers
//! get no answer.

use super::*;

impl Simulation {
    /// Suspends all workers of a failure domain, and the owner as well if `with_owner` is set.
    pub(super) fn suspend_domain(&mut self, domain: u64, with_owner: bool) {
        let until = self.now + 100 + self.pick(LEASE_MS + LEASE_MS / 2);
        let domain: Name = format!("d{domain}").into();
        self.log_event(format!(
            "{domain} is suspended until {until}, with the owner: {with_owner}"
        ));
        self.suspension_count += 1;
        // Waits are checked only after the workers have resumed.
        self.note_disruption(until);
        let of_domain = |worker: &&mut SimWorker| worker.listed.domain == domain && worker.alive;
        for worker in self.workers.values_mut().filter(of_domain) {
            worker.suspended_until = worker.suspended_until.max(until);
        }
        if with_owner {
            self.pause_owner(until);
        }
    }

    /// Until when the worker that an event concerns is suspended, if it is.
    pub(super) fn suspended_until(&self, event: &Event) -> Option<u64> {
        let worker = match event {
            Event::Order { worker, .. }
            | Event::ReportCall { worker, .. }
            | Event::AbandonedCall { worker, .. }
            | Event::FinishRun { worker, .. }
            | Event::StopRun { worker, .. }
            | Event::CrashUnder { worker, .. } => worker,
            _ => return None,
        };
        let until = self.workers.get(worker)?.suspended_until;
        (until > self.now).then_some(until)
    }

    /// Delays an event of a suspended worker until it resumes; the caller gets no answer.
    pub(super) fn defer(&mut self, until: u64, event: Event) {
        let at = until + self.pick(20);
        match event {
            Event::Order { owner, worker, life, action, delivery }
                if delivery != Delivery::ArrivesLate =>
            {
                let (start, task, run) = match &action {
                    Action::Start { start, .. } => (true, start.task, start.run),
                    Action::Stop { task, run, .. } => (false, *task, *run),
                    _ => return,
                };
                let (name, outcome, delivery) =
                    (worker.clone(), OrderOutcome::Unknown, Delivery::ArrivesLate);
                let decided_for = life.clone();
                self.schedule_after(
                    CALL_TIMEOUT_MS,
                    Event::OrderAnswered {
                        owner,
                        worker,
                        start,
                        task,
                        run,
                        life: decided_for,
                        outcome,
                    },
                );
                // Only a message that was sent and reached the worker is delivered afterwards.
                let current_life =
                    self.workers.get(&name).map(|worker| worker.listed.incarnation());
                if self.can_reach(owner, &name) && self.has_authority(owner) && current_life == life
                {
                    self.schedule_at(
                        at,
                        Event::Order { owner, worker: name, life, action, delivery },
                    );
                }
            }
            Event::ReportCall { owner, worker, seen, until, sent, lost } => {
                let result = Err(ReportError::NoReply("suspended".to_string()));
                let name = worker.clone();
                self.schedule_after(
                    CALL_TIMEOUT_MS,
                    Event::ReportAnswered { owner, worker: name, sent, result },
                );
                let life = self.workers.get(&worker).map(SimWorker::life);
                if let Some(life) = life.filter(|_| !lost && self.can_reach(owner, &worker)) {
                    self.schedule_at(at, Event::AbandonedCall { owner, worker, life, seen, until });
                }
            }
            event => self.schedule_at(at, event),
        }
    }

    /// A worker handles a report call that was made before its suspension; the caller has given up.
    pub(super) fn receive_abandoned_call(
        &mut self,
        owner: usize,
        name: &Name,
        life: &Name,
        seen: u64,
        until: Option<u64>,
    ) {
        let epoch = self.owners[owner].cell.epoch();
        let is_there =
            |worker: &SimWorker| worker.alive && worker.life() == *life && epoch >= worker.fence;
        if self.workers.get(name).is_some_and(is_there) {
            self.receive_report_call(name, epoch, seen, until);
        }
    }
}
