//! The claims on a cell: how an entry follows them, makes one, and shows that it lives as the owner.

use crate::cell::owner::election::{BEAT, Leader, Record};
use crate::clock::Millis;
use crate::id::hash;
use crate::node::view::CellView;
use crate::node::{STORE_RETRY_DELAY, lock};
use crate::platform::store::{Precondition, StoreError, encode_record};
use bytes::BytesMut;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The topic with the claims on cells and their owners' heartbeats.
const TOPIC: &str = "claims";
/// How long a read waits for the next record on the claims: longer than an owner's heartbeat.
const READ_WAIT: Millis = Millis(900);
/// How much longer an answer may take.
const READ_MARGIN: Millis = Millis(500);
/// The longest wait for an append's answer.
const APPEND_TIMEOUT: Millis = Millis(900);
/// The longest wait for the store's answer after it failed: connections that were started while it
/// was away hang, and a store 60 times slower than usual answers within 240 ms. With the usual
/// limits entries would notice late that it is back.
const PROBE_TIMEOUT: Millis = Millis(450);
/// Time between two looks at whether to claim.
const CLAIM_INTERVAL: Millis = Millis(150);
/// Entries of other cells leave a free cell to those that belong to it for so long: as long as a small
/// one of these leaves it to a large one.
const FOREIGN_CELL_DELAY: Millis = Millis(350);
/// An entry leaves a free cell to others this long for each cell that it owns.
const OWNED_CELL_DELAY: Millis = Millis(300);
/// Entries claim a free cell up to this much apart, so that mostly the first one wins.
const CLAIM_JITTER_MS: u64 = 120;

impl CellView {
    /// Keeps the owner by the last claim.
    pub(super) async fn follow_claims(self: Arc<Self>) {
        let mut reachable = true;
        let mut follows_claims = self.follows_claims.subscribe();
        while follows_claims.wait_for(|follows_claims| *follows_claims).await.is_ok() {
            let (wait, timeout) = match reachable {
                true => (READ_WAIT, READ_WAIT + READ_MARGIN),
                false => (Millis(0), PROBE_TIMEOUT),
            };
            match self.read_claims(wait, timeout).await {
                Ok(()) => {
                    if !std::mem::replace(&mut reachable, true) {
                        log::info!("event=log-back cell={}", self.cell);
                    }
                }
                Err(err) => {
                    if std::mem::replace(&mut reachable, false) {
                        log::info!("event=log-lost cell={} error={err:?}", self.cell);
                    }
                    tokio::time::sleep(STORE_RETRY_DELAY.duration()).await;
                }
            }
        }
    }

    async fn read_claims(&self, wait: Millis, timeout: Millis) -> Result<(), StoreError> {
        let from = lock(&self.election).end();
        let mut topic = TOPIC.to_string();
        let part = self.partition(&mut topic);
        let read = match self.node.store.read(part, from, wait, timeout).await {
            Err(StoreError::Gone(first)) => {
                lock(&self.election).skip(first);
                return Ok(());
            }
            read => read?,
        };
        let now = self.now();
        let leader = {
            let mut election = lock(&self.election);
            election.caught_up(now);
            for (offset, bytes) in read.records {
                match postcard::from_bytes::<Record>(&bytes) {
                    Ok(record) => election.add(now, offset, record),
                    Err(err) => {
                        log::warn!(
                            "event=claim-unreadable cell={} offset={offset} error={err:?}",
                            self.cell
                        );
                        election.skip(offset + 1);
                    }
                }
            }
            if election.is_vacant() {
                self.claim_wake.notify_one();
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
        self.read_claims(Millis(0), PROBE_TIMEOUT).await.is_ok()
    }

    /// Claims the cell when it needs an owner; takes it over and sends heartbeats as its owner.
    pub(super) async fn campaign(self: Arc<Self>) {
        let jitter = hash(&[self.entry_name().as_bytes()]) % CLAIM_JITTER_MS;
        let mut last_epoch = 0;
        let mut follows_claims = self.follows_claims.subscribe();
        while follows_claims.wait_for(|follows_claims| *follows_claims).await.is_ok() {
            tokio::select! {
                () = tokio::time::sleep((CLAIM_INTERVAL + Millis(jitter)).duration()) => {}
                () = self.claim_wake.notified() => tokio::time::sleep(Millis(jitter).duration()).await,
            }
            let own_epoch = {
                let election = lock(&self.election);
                election.leader().filter(|_| election.is_mine()).map(|leader| leader.epoch)
            };
            match own_epoch {
                Some(epoch) if epoch > last_epoch => {
                    last_epoch = epoch;
                    self.node.metrics.takeovers.inc();
                    tokio::spawn(self.clone().run_owner(epoch));
                    tokio::spawn(self.clone().send_heartbeats(epoch));
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
        let delay = self.extra_claim_delay();
        let end = {
            let mut election = lock(&self.election);
            election.set_handicap(delay);
            election.claim(self.now())
        };
        let Some(end) = end else { return };
        let (owner, addr) = (self.node.id.clone(), self.node.settings.advertised_addr.clone());
        let record = Record::Claim { owner, addr };
        let cell = self.cell;
        match self.append_claim(end, &record, APPEND_TIMEOUT).await {
            Ok(()) => log::info!("event=claimed cell={cell} end={end}"),
            Err(err) => log::info!("event=claim-failed cell={cell} end={end} error={err:?}"),
        }
        self.claim_wake.notify_one();
    }

    /// How much later than others this entry claims the cell, for what it has to do already.
    fn extra_claim_delay(&self) -> Millis {
        let cells = self.node.cells();
        let views = cells.iter().flat_map(|cells| &cells.views);
        let owned = views.filter(|view| view.local_owner().is_some()).count();
        let foreign = if self.is_home { Millis(0) } else { FOREIGN_CELL_DELAY };
        foreign + Millis(OWNED_CELL_DELAY.0 * owned as u64)
    }

    async fn append_claim(
        &self,
        end: u64,
        record: &Record,
        timeout: Millis,
    ) -> Result<(), StoreError> {
        let bytes = postcard::to_stdvec(record);
        let bytes = bytes.map_err(|err| StoreError::Malformed(err.to_string()))?;
        let mut body = BytesMut::new();
        encode_record(&mut body, &bytes);
        let mut topic = TOPIC.to_string();
        let part = self.partition(&mut topic);
        let done =
            self.node.store.append(part, Precondition::End(end), body.freeze(), timeout).await?;
        lock(&self.election).add(self.now(), done.offset, record.clone());
        let leader = lock(&self.election).leader().cloned();
        self.set_leader(leader);
        Ok(())
    }

    /// Shows the other entries that the owner lives, as long as it is the owner.
    async fn send_heartbeats(self: Arc<Self>, epoch: u64) {
        let mut timeout = APPEND_TIMEOUT;
        while self.is_leader(epoch) && !self.has_ended_epoch(epoch) {
            let sent = self.now();
            let end = lock(&self.election).end();
            let (owner, addr) = (self.node.id.clone(), self.node.settings.advertised_addr.clone());
            let largest = self.local_owner_in(epoch).map_or(0, |owner| owner.largest_peer_cpu());
            let most = largest.max(self.node.settings.millicores);
            let heartbeat = Record::Beat { epoch, owner, addr, most };
            match self.append_claim(end, &heartbeat, timeout).await {
                Ok(()) => {
                    timeout = APPEND_TIMEOUT;
                    if let Some(owner) = self.local_owner_in(epoch) {
                        owner.confirm_heartbeat(sent);
                    }
                    tokio::time::sleep(BEAT.duration()).await;
                }
                Err(StoreError::EndMismatch(_)) => {
                    tokio::time::sleep(CONFLICT_RETRY_DELAY.duration()).await
                }
                Err(err) => {
                    log::debug!("event=beat-failed cell={} epoch={epoch} error={err:?}", self.cell);
                    if let Some(owner) = self.local_owner_in(epoch) {
                        owner.store_failed();
                    }
                    timeout = PROBE_TIMEOUT;
                    tokio::time::sleep(STORE_RETRY_DELAY.duration()).await;
                }
            }
        }
    }

    /// Gives the cell up by plan, so that another entry claims it at once. A heartbeat under way
    /// may come first: then it is tried again.
    pub(super) async fn release(&self, record: Record, epoch: u64) {
        let deadline = self.now() + RELEASE_TIMEOUT;
        while self.is_leader(epoch) && self.now() < deadline {
            let end = lock(&self.election).end();
            match self.append_claim(end, &record, APPEND_TIMEOUT).await {
                Ok(()) => {
                    return log::info!("event=released cell={} epoch={epoch}", self.cell);
                }
                Err(err) => {
                    log::debug!("event=release-failed epoch={epoch} error={err:?}");
                    tokio::time::sleep(CONFLICT_RETRY_DELAY.duration()).await;
                }
            }
        }
        log::info!("event=not-released cell={} epoch={epoch}", self.cell);
    }
}

/// A record that came second is sent again once the reader had time to catch up.
const CONFLICT_RETRY_DELAY: Millis = Millis(20);
/// How long an owner that stops tries to say so; without it the others wait for its silence.
const RELEASE_TIMEOUT: Millis = Millis(1_000);
