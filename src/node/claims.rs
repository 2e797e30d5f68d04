//! The claims on a cell: how an entry follows them, makes one, and shows that it lives as the owner.

use crate::cell::owner::election::{ElectionRecord, HEARTBEAT_INTERVAL, Leader};
use crate::clock::Millis;
use crate::id::hash;
use crate::node::view::View;
use crate::node::{STORE_RETRY, lock};
use crate::platform::store::{Guard, StoreError, put_record};
use bytes::BytesMut;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The topic with the claims on cells and their owners' heartbeats.
const TOPIC: &str = "claims";
/// How long a read waits for the next record on the claims: longer than an owner's heartbeat.
const CLAIM_WAIT: Millis = Millis(900);
/// How much longer an answer may take.
const READ_SPARE: Millis = Millis(500);
/// The longest wait for an append's answer.
const APPEND_LIMIT: Millis = Millis(900);
/// The longest wait for the store's answer after it failed: connections that were begun while it
/// was away hang, and a store 60 times slower than usual answers within 240 ms. With the usual
/// limits entries would notice late that it is back.
const PROBE_LIMIT: Millis = Millis(450);
/// Time between two looks at whether to claim.
const LOOK: Millis = Millis(150);
/// Entries of other cells leave a free cell to those that belong to it for so long: as long as a small
/// one of these leaves it to a large one.
const AWAY: Millis = Millis(350);
/// An entry leaves a free cell to others this long for each cell that it owns.
const OWNS: Millis = Millis(300);
/// Entries claim a free cell up to this much apart, so that mostly the first one wins.
const SPREAD: u64 = 120;

impl View {
    /// Keeps the owner by the last claim.
    pub(super) async fn follow_claims(self: Arc<Self>) {
        let mut reachable = true;
        let mut watched = self.watched.subscribe();
        while watched.wait_for(|watched| *watched).await.is_ok() {
            let (wait, limit) = match reachable {
                true => (CLAIM_WAIT, CLAIM_WAIT + READ_SPARE),
                false => (Millis(0), PROBE_LIMIT),
            };
            match self.read_claims(wait, limit).await {
                Ok(()) => {
                    if !std::mem::replace(&mut reachable, true) {
                        log::info!("event=log-back cell={}", self.cell);
                    }
                }
                Err(err) => {
                    if std::mem::replace(&mut reachable, false) {
                        log::info!("event=log-lost cell={} error={err:?}", self.cell);
                    }
                    tokio::time::sleep(STORE_RETRY.duration()).await;
                }
            }
        }
    }

    async fn read_claims(&self, wait: Millis, limit: Millis) -> Result<(), StoreError> {
        let from = lock(&self.election).next_offset();
        let mut topic = TOPIC.to_string();
        let part = self.part(&mut topic);
        let read = match self.node.store.read(part, from, wait, limit).await {
            Err(StoreError::Gone(first)) => {
                lock(&self.election).skip_to(first);
                return Ok(());
            }
            read => read?,
        };
        let now = self.now();
        let leader = {
            let mut election = lock(&self.election);
            election.caught_up(now);
            for (offset, bytes) in read.records {
                match postcard::from_bytes::<ElectionRecord>(&bytes) {
                    Ok(record) => election.apply(now, offset, record),
                    Err(err) => {
                        log::warn!(
                            "event=claim-unreadable cell={} offset={offset} error={err:?}",
                            self.cell
                        );
                        election.skip_to(offset + 1);
                    }
                }
            }
            if election.is_vacant() {
                self.recheck.notify_one();
            }
            election.leader().cloned()
        };
        self.set_leader(leader);
        Ok(())
    }

    fn set_leader(&self, leader: Option<Leader>) {
        let changed = self.leader.send_if_modified(|current| {
            let changed = *current != leader;
            if changed {
                current.clone_from(&leader);
            }
            changed
        });
        let Some(leader) = leader.filter(|_| changed) else { return };
        log::info!("event=owner cell={} owner={} epoch={}", self.cell, leader.owner, leader.epoch);
        let owner = self.owner.borrow().clone();
        if let Some(owner) = owner.filter(|owner| owner.epoch() < leader.epoch) {
            log::info!("event=deposed cell={} epoch={} by=claim", self.cell, owner.epoch());
            owner.end();
        }
    }

    /// Whether the log can be read now.
    pub(super) async fn probe_log(&self) -> bool {
        self.read_claims(Millis(0), PROBE_LIMIT).await.is_ok()
    }

    /// Claims the cell when it needs an owner; takes it over and sends heartbeats as its owner.
    pub(super) async fn campaign(self: Arc<Self>) {
        let jitter = hash(&[self.me().as_bytes()]) % SPREAD;
        let mut owned = 0;
        let mut watched = self.watched.subscribe();
        while watched.wait_for(|watched| *watched).await.is_ok() {
            tokio::select! {
                () = tokio::time::sleep((LOOK + Millis(jitter)).duration()) => {}
                () = self.recheck.notified() => tokio::time::sleep(Millis(jitter).duration()).await,
            }
            let mine = {
                let election = lock(&self.election);
                election.leader().filter(|_| election.is_owner()).map(|leader| leader.epoch)
            };
            match mine {
                Some(epoch) if epoch > owned => {
                    owned = epoch;
                    self.node.metrics.takeovers.inc();
                    tokio::spawn(self.clone().own(epoch));
                    tokio::spawn(self.clone().send_beats(epoch));
                }
                Some(_) => {}
                None => self.claim().await,
            }
        }
    }

    async fn claim(&self) {
        if self.node.stopping.load(Ordering::Relaxed) || self.node.policy.borrow().version == 0 {
            return;
        }
        let handicap = self.handicap();
        let end = {
            let mut election = lock(&self.election);
            election.set_extra_delay(handicap);
            election.try_claim(self.now())
        };
        let Some(end) = end else { return };
        let (owner, addr) = (self.node.me.clone(), self.node.settings.advertise.clone());
        let record = ElectionRecord::Claim { owner, addr };
        let cell = self.cell;
        match self.append_claim(end, &record, APPEND_LIMIT).await {
            Ok(()) => log::info!("event=claimed cell={cell} end={end}"),
            Err(err) => log::info!("event=claim-failed cell={cell} end={end} error={err:?}"),
        }
        self.recheck.notify_one();
    }

    /// How much later than others this entry claims the cell, for what it has to do already.
    fn handicap(&self) -> Millis {
        let cells = self.node.cells();
        let views = cells.iter().flat_map(|cells| &cells.views);
        let owned = views.filter(|view| view.living_owner().is_some()).count();
        let away = if self.is_home { Millis(0) } else { AWAY };
        away + Millis(OWNS.0 * owned as u64)
    }

    async fn append_claim(
        &self,
        end: u64,
        record: &ElectionRecord,
        limit: Millis,
    ) -> Result<(), StoreError> {
        let bytes = postcard::to_stdvec(record);
        let bytes = bytes.map_err(|err| StoreError::Malformed(err.to_string()))?;
        let mut body = BytesMut::new();
        put_record(&mut body, &bytes);
        let mut topic = TOPIC.to_string();
        let part = self.part(&mut topic);
        let done = self.node.store.append(part, Guard::End(end), body.freeze(), limit).await?;
        lock(&self.election).apply(self.now(), done.offset, record.clone());
        let leader = lock(&self.election).leader().cloned();
        self.set_leader(leader);
        Ok(())
    }

    /// Shows the other entries that the owner lives, as long as it is the owner.
    async fn send_beats(self: Arc<Self>, epoch: u64) {
        let mut limit = APPEND_LIMIT;
        while self.is_leader(epoch) && !self.has_given_up(epoch) {
            let sent = self.now();
            let end = lock(&self.election).next_offset();
            let (owner, addr) = (self.node.me.clone(), self.node.settings.advertise.clone());
            let largest = self.owner_of(epoch).map_or(0, |owner| owner.largest());
            let largest_cpu = largest.max(self.node.settings.cpu);
            let beat = ElectionRecord::Heartbeat { epoch, owner, addr, largest_cpu };
            match self.append_claim(end, &beat, limit).await {
                Ok(()) => {
                    limit = APPEND_LIMIT;
                    if let Some(owner) = self.owner_of(epoch) {
                        owner.confirm(sent);
                    }
                    tokio::time::sleep(HEARTBEAT_INTERVAL.duration()).await;
                }
                Err(StoreError::Moved(_)) => tokio::time::sleep(OVERTAKEN.duration()).await,
                Err(err) => {
                    log::debug!("event=beat-failed cell={} epoch={epoch} error={err:?}", self.cell);
                    if let Some(owner) = self.owner_of(epoch) {
                        owner.store_failed();
                    }
                    limit = PROBE_LIMIT;
                    tokio::time::sleep(STORE_RETRY.duration()).await;
                }
            }
        }
    }

    /// Gives the cell up by plan, so that another entry claims it at once. A heartbeat under way
    /// may come first: then it is tried again.
    pub(super) async fn release(&self, record: ElectionRecord, epoch: u64) {
        let until = self.now() + RELEASE;
        while self.is_leader(epoch) && self.now() < until {
            let end = lock(&self.election).next_offset();
            match self.append_claim(end, &record, APPEND_LIMIT).await {
                Ok(()) => {
                    return log::info!("event=released cell={} epoch={epoch}", self.cell);
                }
                Err(err) => {
                    log::debug!("event=release-failed epoch={epoch} error={err:?}");
                    tokio::time::sleep(OVERTAKEN.duration()).await;
                }
            }
        }
        log::info!("event=not-released cell={} epoch={epoch}", self.cell);
    }
}

/// A record that came second is sent again once the reader had time to catch up.
const OVERTAKEN: Millis = Millis(20);
/// How long an owner that stops tries to say so; without it the others wait for its silence.
const RELEASE: Millis = Millis(1_000);
