//! Requests of callers: submitting and cancelling jobs, and taking idempotency keys.

use crate::clock::Millis;
use crate::controller::shard::event::{Action, Answer, Refusal, refusal_name};
use crate::controller::shard::owner::{ShardOwner, shape};
use crate::controller::shard::runtime::{Effect, StopReason, Worker};
use crate::id::{JobId, Name};
use crate::job::{JobSpec, MAX_TASKS, StateChange};
use crate::record::Record;
use crate::size::Size;
use crate::table::WorkClass;
use crate::trace::EventKind;

impl ShardOwner {
    pub(super) fn submit(&mut self, now: Millis, token: u64, job: JobId, spec: JobSpec) {
        if !self.state.jobs.contains_key(&job) {
            if let Err(why) = self.check_admission(&spec) {
                let reason = refusal_name(why);
                self.actions.push(Action::Trace(EventKind::JobRefused { job, reason }));
                self.actions.push(Action::Reply { token, answer: Answer::Refused(why) });
                return;
            }
            self.accept(now, &job, &spec);
        }
        let change = StateChange::Submit { job: job.clone(), spec, at: now };
        let answer = Answer::Submitted { job };
        self.record_change(change, Some(Effect::Reply { token, answer }));
    }

    fn accept(&mut self, now: Millis, job: &JobId, spec: &JobSpec) {
        self.load_mut(&spec.kind).add_waiting(spec.tasks, spec.size.cpu);
        self.queue.add_all(shape(spec), now, job.clone(), spec.tasks);
        self.needs_scheduling = true;
        let (job, spec) = (job.clone(), spec.clone());
        self.actions.push(Action::Trace(EventKind::JobSubmitted {
            job: job.clone(),
            kind: spec.kind.clone(),
            tasks: spec.tasks,
            repeat: spec.repeatable,
        }));
        self.actions.push(Action::Append(Record::Job { job, spec, at: now }));
    }

    /// Checks whether a job can be accepted: by its row of the table, the free places in the row's
    /// queue and the sizes of the workers.
    ///
    /// # Errors
    /// The reason why the job is refused.
    pub fn check_admission(&self, spec: &JobSpec) -> Result<(), Refusal> {
        let row = self.table.rows.get(&spec.kind).ok_or(Refusal::UnknownKind)?;
        let waiting = self.loads.get(&spec.kind).map_or(0, |load| load.waiting);
        let fits = |worker: &Worker| worker.ledger.total().max_copies(&spec.size);
        let copies: u64 = self.workers.values().map(|worker| fits(worker) as u64).sum();
        let need = if spec.gang { spec.tasks as u64 } else { 1 };
        match () {
            _ if row.class == WorkClass::Request => Err(Refusal::UnknownKind),
            _ if row.team != spec.team => Err(Refusal::WrongTeam),
            _ if spec.tasks == 0 || spec.tasks > MAX_TASKS => Err(Refusal::BadSize),
            _ if spec.size == Size::default() => Err(Refusal::BadSize),
            _ if self.workers.is_empty() => Err(Refusal::NoWorkers),
            _ if copies < need => Err(Refusal::NeverFits),
            _ if waiting + spec.tasks > row.queue => Err(Refusal::QueueFull),
            _ => Ok(()),
        }
    }

    pub(super) fn cancel(&mut self, now: Millis, token: u64, id: JobId) {
        let Some(job) = self.state.jobs.get(&id) else {
            self.actions.push(Action::Reply { token, answer: Answer::NotFound });
            return;
        };
        if !job.cancelled && !job.is_over() {
            let (kind, queued, cpu) = (job.spec.kind.clone(), job.queued, job.spec.size.cpu);
            let bound: Vec<u32> = job.bound.iter().copied().collect();
            if !self.restarting_gangs.contains(&id) {
                self.load_mut(&kind).remove_waiting(queued, cpu);
            }
            self.actions.push(Action::Trace(EventKind::JobCancelled { job: id.clone() }));
            self.record_change(StateChange::Cancel { job: id.clone() }, None);
            for index in bound {
                self.stop_task(now, &id, index, StopReason::Cancel);
            }
            self.close_if_finished(now, &id);
        }
        let Some(job) = self.state.jobs.get(&id) else { return };
        let answer = Answer::Cancelled(Box::new(job.status(&id)));
        self.record_change(StateChange::Cancel { job: id }, Some(Effect::Reply { token, answer }));
    }

    pub(super) fn take_key(&mut self, now: Millis, token: u64, key: Name, holder: Name) {
        let known = self.state.keys.get(&key).map(|known| known.holder.clone());
        let answer = match known {
            Some(known) => Answer::KeyKnown(known),
            None => Answer::KeyTaken,
        };
        let change = StateChange::Key { key, holder, at: now };
        self.record_change(change, Some(Effect::Reply { token, answer }));
    }
}
