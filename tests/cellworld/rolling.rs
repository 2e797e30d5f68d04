//! A rolling restart: owners are stopped in good order one after the other, and most of their
//! successors are processes that have just started. Meanwhile workers leave in good order or are
//! lost.

use super::*;
use sprucerudder::cell::owner::claim_record::FinalState;
use sprucerudder::cell::records::journal::{self, LeaseBounds};

/// How long the restarts go on, in milliseconds.
const RESTARTS_MS: u64 = 16_000;
/// How long before its end a worker announces that it leaves.
const NOTICE_MS: u64 = 2_000;
/// The longest time that an owner which stops waits for its records to be stored.
const FLUSH_MS: u64 = 150;

/// How long before its takeover the process of an owner started, in milliseconds, if it has just
/// started.
const MAX_READ_DELAY_MS: u64 = 300;

/// State of the searches with rolling restarts.
#[derive(Debug, Default)]
pub struct RollingRestart {
    /// The last owner gave up the cell.
    pub is_released: bool,
    /// The state in which the last owner gave up the cell.
    pub left: Option<FinalState>,
    /// The number of owners that were stopped.
    pub stops: usize,
}

impl Simulation {
    /// Schedules the stops of owners, the loss of a worker, and workers that leave, from `start` on.
    pub(super) fn add_rolling_restart(&mut self, start: u64) {
        self.outage.has_fresh_owners = true;
        let names: Vec<Name> = self.workers.keys().cloned().collect();
        let lost = names[self.pick(names.len() as u64) as usize].clone();
        let lost_at = start + self.pick(3_000) - 1_500;
        self.schedule_at(lost_at, Event::ReplaceWorker { worker: lost });
        let mut at = start;
        while at < start + RESTARTS_MS {
            self.schedule_at(at, Event::StopOwner);
            at += 900 + self.pick(4_500);
        }
        let mut at = start + self.pick(1_000);
        for worker in names {
            self.schedule_at(at, Event::AnnounceLeaving { worker });
            at += 1_000 + self.pick(3_000);
        }
    }

    /// The current owner begins to stop.
    pub(super) fn stop_owner(&mut self) {
        let Some(owner) = self.owners.len().checked_sub(1) else { return };
        if !self.owners[owner].alive || self.owners[owner].deposed {
            return;
        }
        self.log_event(format!("owner {owner} begins to stop"));
        self.rolling.stops += 1;
        let delay = self.pick(FLUSH_MS);
        self.schedule_after(delay, Event::ReleaseCell { owner });
    }

    /// An owner that stops gives up the cell.
    pub(super) fn release_cell(&mut self, owner: usize) {
        if self.owners[owner].deposed || owner + 1 != self.owners.len() {
            return;
        }
        self.log_event(format!("owner {owner} gives up the cell"));
        self.owners[owner].deposed = true;
        self.connections.close(owner);
        let left = self.owners[owner].cell.leave();
        let has_complete_records =
            left.has_complete_records || self.disabled == Disabled::CompleteRecords;
        self.rolling.is_released = true;
        self.rolling.left = Some(FinalState { has_complete_records, ..left });
        let delay = 60 + self.pick(350);
        self.schedule_after(delay, Event::Elect);
    }

    /// Converts the times that earlier owners recorded to the clock of a new one. A process that has
    /// just started has read the newest record of each owner up to `MAX_READ_DELAY_MS` ago, and may
    /// take it for as new as that.
    pub(super) fn convert_lease_ends(
        &mut self,
        snapshot: &mut Snapshot,
        is_fresh: bool,
        left: Option<FinalState>,
    ) {
        let read_delay = if is_fresh { MAX_READ_DELAY_MS } else { 20 };
        let read_delay = self.pick(read_delay);
        let writer = self.owners.iter().find(|owner| owner.cell.epoch() == snapshot.leases.epoch);
        let heartbeat = writer.map_or(self.now, |owner| owner.heartbeat_at);
        let late = match is_fresh {
            true => (self.now - heartbeat).saturating_sub(read_delay),
            false => read_delay,
        };
        let is_over = self.disabled == Disabled::UnheardLeases;
        let later = |end| Some(end + Millis(late));
        let mut record = snapshot.leases.map_times(later).expect("each time can be converted");
        if is_over {
            record.unheard.values_mut().for_each(|end| *end = Millis(0));
        }
        if self.disabled == Disabled::LongLeases {
            record.long.clear();
        }
        let last_end = left.and_then(|left| left.last_lease_end);
        let last_end = last_end.map(|end| end + Millis(read_delay));
        snapshot.lease_bounds = LeaseBounds { record: Some(record), last_end };
    }

    /// If removals from the record of leases are disabled, returns a new record of leases with the
    /// workers that the stored one names as unheard.
    pub(super) fn keep_unheard(&self, key: &str, value: &[u8]) -> Option<Vec<u8>> {
        if self.disabled != Disabled::UnheardRemovals {
            return None;
        }
        let (mut stored, mut new) = (Snapshot::default(), Snapshot::default());
        stored.apply(key, self.store.get(key)?).unwrap();
        new.apply(key, value).unwrap();
        let mut record = new.leases;
        for (name, end) in stored.leases.unheard {
            record.unheard.entry(name).or_insert(end);
        }
        let (leases_key, value) = journal::put_leases(&record);
        (leases_key == key).then_some(value)
    }

    /// A worker announces that it leaves.
    pub(super) fn announce_leaving(&mut self, name: &Name) {
        let Some(worker) = self.workers.get_mut(name).filter(|worker| worker.alive) else { return };
        worker.listed.leaves_in = Some(Millis(NOTICE_MS));
        self.log_event(format!("{name} will leave"));
        self.publish_list();
        self.schedule_after(NOTICE_MS, Event::Leave { worker: name.clone() });
    }

    /// A worker leaves. Another one takes its place a while later.
    pub(super) fn leave(&mut self, name: &Name) {
        if !self.workers[name].alive {
            return;
        }
        self.log_event(format!("{name} leaves"));
        self.record_lost_runs(name);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.alive = false;
            worker.running.clear();
            worker.down_until = u64::MAX;
        }
        self.publish_list();
        let delay = 1_000 + self.pick(2_000);
        self.schedule_after(delay, Event::Arrive { worker: format!("{name}.n").into() });
    }

    /// A worker is added.
    pub(super) fn arrive(&mut self, name: Name) {
        let domain = self.pick(2);
        self.add_worker(name, domain);
        self.publish_list();
    }
}
