//! Limits of rows and teams at one shard: its shares of the limits that the table sets for the
//! cell.

use crate::controller::queue::Shape;
use crate::controller::quota::{Limit, LimitShares, Need, ShareRequest};
use crate::controller::shard::event::Action;
use crate::controller::shard::owner::ShardOwner;
use crate::table::Row;

impl ShardOwner {
    /// Sets the number of shards in the cell, over which its limits are divided.
    pub fn set_shards(&mut self, shards: usize) {
        match &mut self.limit_shares {
            Some(parts) => parts.set_shards(shards),
            None => self.limit_shares = Some(LimitShares::new(shards)),
        }
    }

    fn allowed(&self, limit: &Limit, whole: u64) -> u64 {
        self.limit_shares.as_ref().map_or(whole, |parts| parts.allowed(limit, whole))
    }

    /// The name of the limit that keeps tasks of this shape from starting now, if there is one.
    pub(super) fn exceeded_limit(&self, shape: &Shape) -> Option<&'static str> {
        let Some(row) = self.row(&shape.kind) else { return Some("unknown-kind") };
        let count = shape.gang.max(1) as u64;
        let running = self.limit_usage(&Limit::Row(shape.kind.clone()));
        let team = Limit::Team(shape.team.clone());
        let need = self.limit_usage(&team) + shape.size.cpu as u64 * count;
        let quota = self.allowed(&team, self.table.quota(&shape.team)).min(row.quota as u64);
        match () {
            _ if running + count > self.row_limit(row) => Some("row-limit"),
            _ if row.quota > 0 && need > quota => Some("team-quota"),
            _ => None,
        }
    }

    fn row_limit(&self, row: &Row) -> u64 {
        self.allowed(&Limit::Row(row.kind.clone()), row.limit as u64)
    }

    /// How much of a limit the bound tasks of this shard use.
    fn limit_usage(&self, limit: &Limit) -> u64 {
        match limit {
            Limit::Row(kind) => self.loads.get(kind).map_or(0, |load| load.running as u64),
            Limit::Team(team) => self.team_cpu.get(team).copied().unwrap_or(0),
        }
    }

    /// Has the entry ask for larger shares, once per step, because tasks wait for a limit.
    pub(super) fn request_larger_share(&mut self) {
        if self.limit_shares.is_some() && !self.actions.contains(&Action::RequestShares) {
            self.actions.push(Action::RequestShares);
        }
    }

    /// The share requests to the home shards of all limits that tasks of this shard use or wait
    /// for.
    pub fn share_requests(&mut self) -> Vec<ShareRequest> {
        let needs = self.limit_needs();
        self.limit_shares.as_mut().map_or_else(Vec::new, |parts| parts.share_requests(&needs))
    }

    fn limit_needs(&self) -> Vec<Need> {
        let mut needs = Vec::new();
        for row in self.table.rows.values() {
            let load = self.loads.get(&row.kind).copied().unwrap_or_default();
            if load.running + load.waiting > 0 {
                let limit = Limit::Row(row.kind.clone());
                let (used, waiting) = (load.running as u64, load.waiting as u64);
                let step = self.queue.least(&limit);
                needs.push(Need { limit, whole: row.limit as u64, used, waiting, step });
                self.need_quota(row, load.backlog, &mut needs);
            }
        }
        needs
    }

    /// Adds the need of a row's tasks to the need for their team's quota.
    fn need_quota(&self, row: &Row, backlog: u64, needs: &mut Vec<Need>) {
        let whole = self.table.quota(&row.team);
        let limit = Limit::Team(row.team.clone());
        let waiting = if row.quota > 0 { backlog } else { 0 };
        match needs.iter_mut().find(|need| need.limit == limit) {
            _ if whole == 0 => {}
            Some(need) => need.waiting += waiting,
            None => {
                let used = self.limit_usage(&limit);
                let step = self.queue.least(&limit);
                needs.push(Need { limit, whole, used, waiting, step });
            }
        }
    }

    pub(super) fn apply_shares(&mut self, epoch: u64, lent: &[(Limit, u64)]) {
        if epoch != self.epoch() {
            return;
        }
        let Some(mut parts) = self.limit_shares.take() else { return };
        let grew = parts.apply_grants(lent, |limit| self.limit_usage(limit));
        self.limit_shares = Some(parts);
        if grew {
            self.queue.unblock();
            self.needs_scheduling = true;
        }
    }
}
