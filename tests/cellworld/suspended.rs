//! Failure domains that are suspended: what their workers were told waits, and nobody is answered.

use super::*;

impl World {
    /// All workers of a failure domain stop where they are; with `with_owner`, so does the owner.
    pub(super) fn suspend(&mut self, domain: u64, with_owner: bool) {
        let until = self.now + 100 + self.pick(LEASE + LEASE / 2);
        let domain: Name = format!("d{domain}").into();
        self.say(format!("{domain} is suspended until {until}, with the owner: {with_owner}"));
        self.suspensions += 1;
        // It is calm again once they go on.
        self.calm_after(until);
        let of_domain = |worker: &&mut FakeWorker| worker.listed.domain == domain && worker.alive;
        for worker in self.workers.values_mut().filter(of_domain) {
            worker.suspended_until = worker.suspended_until.max(until);
        }
        if with_owner {
            self.pause_owner(until);
        }
    }

    /// Until when the worker is suspended that an event is for.
    pub(super) fn suspension(&self, event: &Event) -> Option<u64> {
        let worker = match event {
            Event::Order { worker, .. }
            | Event::Hold { worker, .. }
            | Event::Unanswered { worker, .. }
            | Event::Finish { worker, .. }
            | Event::Stopped { worker, .. }
            | Event::Crash { worker, .. } => worker,
            _ => return None,
        };
        let until = self.workers.get(worker)?.suspended_until;
        (until > self.now).then_some(until)
    }

    /// Something for a suspended worker waits until then, and whoever asked gets no answer.
    pub(super) fn hold_back(&mut self, until: u64, event: Event) {
        let at = until + self.pick(20);
        match event {
            Event::Order { owner, worker, life, action, answer } if answer != Answer::Belated => {
                let (start, task, run) = match &action {
                    Action::Start { start, .. } => (true, start.task, start.run),
                    Action::Stop { task, run, .. } => (false, *task, *run),
                    _ => return,
                };
                let (name, outcome, answer) = (worker.clone(), Outcome::Unknown, Answer::Belated);
                let told = life.clone();
                self.after(
                    LOST_AFTER,
                    Event::Answered { owner, worker, start, task, run, life: told, outcome },
                );
                // One that was not sent any more, or did not get there, is not held there.
                let is_there = self.workers.get(&name).map(|there| there.listed.life());
                if self.reaches(owner, &name) && self.may_order(owner) && is_there == life {
                    self.at(at, Event::Order { owner, worker: name, life, action, answer });
                }
            }
            Event::Hold { owner, worker, seen, until, sent, lost } => {
                let result = Err(HoldError::Silent("suspended".to_string()));
                let name = worker.clone();
                self.after(LOST_AFTER, Event::Held { owner, worker: name, sent, result });
                let life = self.workers.get(&worker).map(FakeWorker::life);
                if let Some(life) = life.filter(|_| !lost && self.reaches(owner, &worker)) {
                    self.at(at, Event::Unanswered { owner, worker, life, seen, until });
                }
            }
            event => self.at(at, event),
        }
    }

    /// A call for a report that was made before a suspension is taken in after it, and answers nobody.
    pub(super) fn take_unanswered(
        &mut self,
        owner: usize,
        name: &Name,
        life: &Name,
        seen: u64,
        until: Option<u64>,
    ) {
        let epoch = self.owners[owner].cell.epoch();
        let is_there =
            |worker: &FakeWorker| worker.alive && worker.life() == *life && epoch >= worker.fence;
        if self.workers.get(name).is_some_and(is_there) {
            self.take_hold(name, epoch, seen, until);
        }
    }
}
