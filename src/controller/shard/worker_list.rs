//! Changes of the list of VMs that concern the workers of a shard.

use crate::clock::Millis;
use crate::controller::list::{Role, Vm};
use crate::controller::place::Ledger;
use crate::controller::shard::owner::ShardOwner;
use crate::controller::shard::runtime::{StopReason, TaskRuntime, Worker};
use crate::id::{Name, TaskId};
use crate::job::StateChange;
use std::collections::BTreeSet;

impl ShardOwner {
    /// Applies version `rev` of the VM list to the workers of the shard.
    pub(super) fn set_workers(&mut self, now: Millis, rev: u64, vms: Vec<Vm>) {
        if rev < self.state.list {
            return;
        }
        if rev > self.state.list {
            self.record_change(StateChange::List { rev }, None);
        }
        let vms = vms.into_iter().filter(|vm| vm.role == Role::Worker && vm.rack == self.shard);
        let vms: Vec<Vm> = vms.collect();
        let names: BTreeSet<Name> = vms.iter().map(|vm| vm.name.clone()).collect();
        let known: Vec<Name> = self.workers.keys().cloned().collect();
        for name in known.iter().filter(|name| !names.contains(*name)) {
            self.remove_worker(now, name);
        }
        for vm in vms {
            self.set_worker(vm);
        }
        self.handle_orphans(now);
        self.queue.unblock();
        self.needs_scheduling = true;
        self.finish_rebuild(now);
    }

    fn set_worker(&mut self, vm: Vm) {
        if let Some(worker) = self.workers.get_mut(&vm.name) {
            worker.leaving = vm.leaving;
            worker.ledger.resize(vm.size);
            return;
        }
        if let Some(unreported) = &mut self.unreported {
            unreported.insert(vm.name.clone());
        }
        let worker = Worker {
            addr: vm.addr,
            ledger: Ledger::new(vm.size),
            tasks: BTreeSet::new(),
            unbound_tasks: Default::default(),
            acks: Vec::new(),
            incarnation: 0,
            last_report: None,
            leaving: vm.leaving,
        };
        self.workers.insert(vm.name.clone(), worker);
        let here = self.state.all_bound().filter(|(_, _, bound)| bound.worker == vm.name);
        let tasks: Vec<TaskId> = here.map(|(task, _, _)| task).collect();
        for task in tasks {
            self.restore_binding(task, &vm.name);
        }
    }

    /// Reserves resources for a task that is bound to a worker already, by a former owner or
    /// because it was found running during a rebuild.
    pub(super) fn restore_binding(&mut self, task: TaskId, name: &Name) {
        let Some(job) = self.state.jobs.get(&task.job) else { return };
        let (kind, team, size) = (job.spec.kind.clone(), job.spec.team.clone(), job.spec.size);
        let stop = job.cancelled.then_some(StopReason::Cancel);
        let stop =
            stop.or(self.restarting_gangs.contains(&task.job).then_some(StopReason::Restart));
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.ledger.reserve_unchecked(&kind, &size);
        worker.tasks.insert(task.clone());
        self.load_mut(&kind).running += 1;
        *self.team_cpu.entry(team.clone()).or_insert(0) += size.cpu as u64;
        let runtime = TaskRuntime {
            worker: name.clone(),
            kind,
            team,
            size,
            stop_reason: stop,
            bound_here: false,
            start_sent: true,
            last_seen: None,
            last_command: Millis(0),
        };
        self.runtimes.insert(task, runtime);
    }

    fn remove_worker(&mut self, now: Millis, name: &Name) {
        let tasks = self.workers.get(name).map(|worker| worker.tasks.clone()).unwrap_or_default();
        for task in &tasks {
            self.on_task_lost(now, task);
        }
        self.workers.remove(name);
        self.health.forget(name);
        if let Some(unreported) = &mut self.unreported {
            unreported.remove(name);
        }
    }

    /// Requeues or ends tasks bound to workers that were gone before this entry became the owner.
    fn handle_orphans(&mut self, now: Millis) {
        let bound = self.state.all_bound();
        let gone = bound.filter(|(_, _, bound)| !self.workers.contains_key(&bound.worker));
        let tasks: Vec<TaskId> = gone.map(|(task, _, _)| task).collect();
        for task in tasks {
            self.on_task_lost(now, &task);
        }
    }
}
