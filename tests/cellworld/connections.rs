//! Connections of owners to workers, which accept a limited number of them and keep those of owners
//! that lost power.

use super::*;
use sprucerudder::cell::workers::connection_limit::ConnectionLimit;

/// How long an order waits before it asks again for one of the owner's connections.
const RETRY_MS: u64 = 2;

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Call {
    Order,
    Report,
}

/// The connections of one owner to one worker.
#[derive(Debug, Default)]
struct Pool {
    open: usize,
    orders: usize,
    reports: usize,
}

impl Pool {
    fn used(&self) -> usize {
        self.orders + self.reports
    }

    fn count(&mut self, call: Call) -> &mut usize {
        match call {
            Call::Order => &mut self.orders,
            Call::Report => &mut self.reports,
        }
    }
}

/// The connections to all workers, by owner.
#[derive(Debug, Default)]
pub struct WorkerConnections {
    /// The number of connections that a worker accepts; `None` if connections are not simulated.
    pub max: Option<u32>,
    pools: BTreeMap<(usize, Name), Pool>,
    /// The number of connections of owners that lost power, by worker.
    stranded: BTreeMap<Name, usize>,
    /// The number of owners that lost power.
    pub power_losses: usize,
}

impl WorkerConnections {
    /// The number of connections that a worker has open.
    fn open(&self, worker: &Name) -> usize {
        let of_worker = self.pools.iter().filter(|((_, name), _)| name == worker);
        let stranded = self.stranded.get(worker).copied().unwrap_or_default();
        of_worker.map(|(_, pool)| pool.open).sum::<usize>() + stranded
    }

    /// Leaves the connections of an owner open for good.
    fn strand(&mut self, owner: usize) {
        self.power_losses += 1;
        for ((_, worker), pool) in self.take_pools(owner) {
            *self.stranded.entry(worker).or_default() += pool.open;
        }
    }

    fn take_pools(&mut self, owner: usize) -> BTreeMap<(usize, Name), Pool> {
        let (taken, kept) =
            std::mem::take(&mut self.pools).into_iter().partition(|((of, _), _)| *of == owner);
        self.pools = kept;
        taken
    }

    /// Closes the connections of an owner.
    pub(super) fn close(&mut self, owner: usize) {
        self.take_pools(owner);
    }

    /// Closes all connections to a worker that has crashed.
    pub(super) fn forget_worker(&mut self, worker: &Name) {
        self.pools.retain(|(_, name), _| name != worker);
        self.stranded.remove(worker);
    }
}

impl Simulation {
    /// The limit of the owners, or that of owners which do not know what workers accept.
    fn connection_limit(&self) -> ConnectionLimit {
        match self.disabled {
            Disabled::ConnectionLimit => ConnectionLimit { open: 7, idle: 8 },
            _ => ConnectionLimit::new(self.connections.max),
        }
    }

    /// Whether an order has to wait because the owner uses all its connections for orders.
    pub(super) fn must_wait(&self, owner: usize, worker: &Name) -> Option<u64> {
        self.connections.max?;
        let pool = self.connections.pools.get(&(owner, worker.clone()))?;
        (pool.orders >= self.connection_limit().orders()).then_some(RETRY_MS)
    }

    /// Takes a connection for a call. Returns whether there is one: an idle one, or a new one that
    /// the worker accepts.
    pub(super) fn connect(&mut self, owner: usize, worker: &Name, call: Call) -> bool {
        let Some(max) = self.connections.max.filter(|_| self.owners[owner].alive) else {
            return true;
        };
        let is_full = self.connections.open(worker) >= max as usize;
        let pool = self.connections.pools.entry((owner, worker.clone())).or_default();
        if pool.used() == pool.open {
            if is_full {
                return false;
            }
            pool.open += 1;
        }
        *pool.count(call) += 1;
        true
    }

    /// Ends a call. Without an answer, the connection and all idle ones are closed.
    pub(super) fn disconnect(
        &mut self,
        owner: usize,
        worker: &Name,
        call: Call,
        was_answered: bool,
    ) {
        let limit = self.connection_limit();
        let Some(pool) = self.connections.pools.get_mut(&(owner, worker.clone())) else { return };
        let Some(used) = pool.count(call).checked_sub(1) else { return };
        *pool.count(call) = used;
        let max_idle = if was_answered { limit.idle } else { 0 };
        pool.open = pool.open.min(pool.used() + max_idle);
    }

    /// The current owner loses power: nothing closes its connections.
    pub(super) fn cut_owner_power(&mut self) {
        let Some(owner) = self.owners.len().checked_sub(1) else { return };
        self.log_event(format!("owner {owner} loses power"));
        self.note_fault(self.now);
        self.owners[owner].alive = false;
        self.connections.strand(owner);
        let at = self.now + 600 + self.pick(600);
        self.schedule_at(at, Event::Elect);
    }

    /// Makes owners lose power again and again while there are many short tasks.
    pub(super) fn add_owner_power_losses(&mut self, losses: u64, max_connections: u32) {
        self.connections.max = Some(max_connections);
        for work in self.works.values_mut() {
            let mut many = (**work).clone();
            for step in many.steps.iter_mut().filter(|step| !step.is_gang) {
                step.resources = room(200);
                step.count *= 4;
                step.worker_limit = 0;
            }
            *work = Arc::new(many);
        }
        for loss in 0..losses {
            let at = loss * FAULTS_END_MS / losses + self.pick(FAULTS_END_MS / losses);
            self.schedule_at(at, Event::OwnerPowerLoss);
        }
    }
}
