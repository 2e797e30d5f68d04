//! Runs the scheduling passes of the cell, and executes the actions that it decides on.

use crate::cell::Action;
use crate::cell::advice::queue::AdviceRequest;
use crate::cell::owner::pass_pacing::PassPacing;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::advice_calls::AdviceCall;
use crate::node::lock;
use crate::node::msg::OwnerMessage;
use crate::node::owner::Owner;
use std::sync::Arc;

impl Owner {
    /// Executes the actions that the cell decides on.
    pub(super) async fn run_actions(self: Arc<Self>) {
        let mut pacing = PassPacing::default();
        loop {
            self.schedule_wake.notified().await;
            self.wait_for_pass(pacing.pause(self.node.now())).await;
            let started = self.node.now();
            {
                let has_authority = self.has_authority();
                let mut cell = lock(&self.cell);
                let now = self.node.now();
                match has_authority {
                    true => cell.schedule(now),
                    false => cell.give_up_starts("no-authority"),
                }
                if lock(&self.authority).depends_on_peers(now) {
                    cell.send_unstored(now);
                    self.note_unlogged_starts(now);
                }
            }
            pacing.record_pass(started, self.node.now());
            self.execute_actions();
            self.write_wake.notify_one();
            if lock(&self.cell).wants_pass() {
                self.schedule_wake.notify_one();
            }
        }
    }

    /// Waits before the next scheduling pass. Actions that are decided elsewhere meanwhile do not
    /// wait for it.
    async fn wait_for_pass(self: &Arc<Self>, pause: Millis) {
        let end = tokio::time::sleep(pause.duration());
        tokio::pin!(end);
        while pause > Millis(0) {
            self.execute_actions();
            tokio::select! {
                () = &mut end => return,
                () = self.schedule_wake.notified() => {}
            }
        }
    }

    /// Executes the actions that were decided so far. Starts without authority are given up.
    fn execute_actions(self: &Arc<Self>) {
        let has_authority = self.has_authority();
        let actions = {
            let mut cell = lock(&self.cell);
            if !has_authority {
                cell.give_up_starts("no-authority");
            }
            cell.take_actions()
        };
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Arc<Self>, action: Action) {
        match action {
            Action::Deposed => {
                log::info!("event=deposed epoch={} by=fence", self.epoch);
                self.end();
            }
            Action::Watch(listed) => drop(tokio::spawn(self.clone().watch_worker(listed))),
            Action::Unwatch(worker) => {
                // The woken task ends by itself, because the cell does not know the worker any more.
                if let Some(report_wake) = lock(&self.report_wakes).remove(&worker) {
                    report_wake.notify_one();
                }
                lock(&self.order_permits).remove(&worker);
            }
            Action::PollNow(worker) => {
                if let Some(report_wake) = lock(&self.report_wakes).get(&worker) {
                    report_wake.notify_one();
                }
            }
            Action::RequestAdvice { entry, request } => self.request_advice(entry, request),
            Action::JobForgotten(job, workspace) => {
                self.forget_at_home_cell(job, workspace.as_ref())
            }
            order => drop(tokio::spawn(self.clone().send_order(order))),
        }
    }

    /// Has an entry, possibly this one, ask the advice service.
    fn request_advice(self: &Arc<Self>, entry: Name, request: AdviceRequest) {
        let AdviceRequest { step, workers, cost, .. } = request;
        if entry == self.node.id.name {
            return self.view.request_advice(AdviceCall { step, workers, cost, connection: None });
        }
        let message = OwnerMessage::AskAdvice { step, workers, cost };
        if !self.send_to(&entry, &message) {
            log::info!("event=advice-request-not-sent entry={entry} step={step}");
        }
    }
}
