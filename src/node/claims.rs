//! The claims on a cell in the platform's log: reading them, claiming the cell, and sending
//! heartbeats as its owner.

use crate::cell::owner::backoff::Backoff;
use crate::cell::owner::claim_record::{self, Extension, FinalState, OwnerState};
use crate::cell::owner::claimants::ClaimantUpdate;
use crate::cell::owner::election::{ElectionRecord, HEARTBEAT_INTERVAL, Leader};
use crate::clock::Millis;
use crate::id::{Name, hash};
use crate::node::view::CellView;
use crate::node::{STORE_RETRY_DELAY, lock};
use crate::platform::store::{Precondition, StoreError, encode_record};
use bytes::BytesMut;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The topic with the claims on cells and the heartbeats of their owners.
const TOPIC: &str = "claims";
/// How long a read waits for the next record: longer than the time between two heartbeats of an
/// owner.
const READ_WAIT: Millis = Millis(900);
/// How much longer than [`READ_WAIT`] the answer to a read may take.
const READ_MARGIN: Millis = Millis(500);
/// Timeout of an append.
const APPEND_TIMEOUT: Millis = Millis(900);
/// Timeout of a call to the store after it has failed. Connections that were opened while it was
/// down hang, and a store that is 60 times slower than usual answers within 240 ms. With the usual
/// timeouts entries would notice late that the store is back.
const PROBE_TIMEOUT: Millis = Millis(450);
/// The least time between two heartbeats.
const MIN_HEARTBEAT_INTERVAL: Millis = Millis(20);
/// The number of entries from which on the reads of heartbeats by small entries are worth saving.
const MIN_LARGE_FLEET: u32 = 100;
/// The time between two reads of the claims by a small entry. With the time of a read it stays below
/// that from which a log counts as not read, also if the store is 60 times slower than usual.
const SMALL_ENTRY_PAUSE: Millis = Millis(700);
/// Time between two checks of whether to claim the cell, without the jitter.
const CLAIM_INTERVAL: Millis = Millis(150);
/// How much later an entry claims a free cell that is not its home. It is the time that a small
/// entry of that cell leaves to a large one.
const FOREIGN_CELL_DELAY: Millis = Millis(350);
/// How much later an entry claims a free cell for each cell that it owns already.
const OWNED_CELL_DELAY: Millis = Millis(300);
/// Entries claim a free cell up to this many milliseconds apart, so that usually the first one
/// wins.
const CLAIM_JITTER_MS: u64 = 120;

impl CellView {
    /// Reads the claims on the cell, and keeps the current owner up to date.
    pub(super) async fn follow_claims(self: Arc<Self>) {
        let mut reachable = true;
        let mut backoff = Backoff::default();
        let mut follows_claims = self.follows_claims.subscribe();
        while follows_claims.wait_for(|follows_claims| *follows_claims).await.is_ok() {
            let (wait, timeout) = match reachable {
                true => (READ_WAIT, READ_WAIT + READ_MARGIN),
                false => (Millis(0), PROBE_TIMEOUT),
            };
            match self.read_claims(wait, timeout).await {
                Ok(()) => {
                    if !std::mem::replace(&mut reachable, true) {
                        log::info!("event=election-readable cell={}", self.cell);
                    }
                    backoff.record_success();
                    tokio::time::sleep(self.claims_pause().duration()).await;
                }
                Err(err) => {
                    if std::mem::replace(&mut reachable, false) {
                        log::info!("event=election-unreadable cell={} error={err:?}", self.cell);
                    }
                    let delay = backoff.next_delay(self.node.entry_count(), self.node.seed());
                    tokio::time::sleep(delay.duration()).await;
                }
            }
        }
    }

    /// The time between two reads of the claims. In a large fleet, most entries are too small to be
    /// the next owner while there are larger ones, and read several heartbeats at once.
    fn claims_pause(&self) -> Millis {
        let is_late = lock(&self.election).claims_late();
        match self.node.entry_count() >= MIN_LARGE_FLEET && is_late {
            true => SMALL_ENTRY_PAUSE,
            false => Millis(0),
        }
    }

    /// Reads new records once, waiting up to `wait` for the first one.
    async fn read_claims(&self, wait: Millis, timeout: Millis) -> Result<(), StoreError> {
        let from = lock(&self.election).next_offset();
        let mut topic = TOPIC.to_string();
        let part = self.partition(&mut topic);
        let read = match self.node.store.read(part, from, wait, timeout).await {
            Err(StoreError::Gone(first)) => {
                log::info!("event=claims-lost cell={} from={from} first={first}", self.cell);
                lock(&self.election).skip_lost(self.now(), first);
                return Ok(());
            }
            read => read?,
        };
        let now = self.now();
        let leader = {
            let mut election = lock(&self.election);
            election.caught_up(now);
            for (offset, bytes) in read.records {
                match claim_record::decode(&bytes) {
                    Ok((record, extension)) => {
                        election.apply_extended(now, offset, record, extension);
                    }
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
                self.claim_wake.notify_one();
            }
            election.leader().cloned()
        };
        self.set_leader(leader);
        Ok(())
    }

    /// Publishes the owner by the last claim. Ends an ownership here that it supersedes.
    pub(super) fn set_leader(&self, leader: Option<Leader>) {
        let Some(leader) = leader else { return };
        let is_new = self.leader.send_if_modified(|known| {
            let is_new = leader.replaces(known.as_ref());
            if is_new {
                *known = Some(leader.clone());
            }
            is_new
        });
        if !is_new {
            return;
        }
        log::info!(
            "event=owner-changed cell={} owner={} epoch={}",
            self.cell,
            leader.owner,
            leader.epoch
        );
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

    /// Claims the cell when it needs an owner. After a successful claim, starts the takeover and
    /// the heartbeats.
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
                election.leader().filter(|_| election.is_owner()).map(|leader| leader.epoch)
            };
            match own_epoch {
                Some(epoch) if epoch > last_epoch => {
                    last_epoch = epoch;
                    self.node.metrics.takeovers.inc();
                    tokio::spawn(self.clone().run_owner(epoch));
                    tokio::spawn(self.clone().send_heartbeats(epoch));
                    tokio::spawn(self.clone().announce_owner(epoch));
                }
                Some(_) => {}
                None => self.claim().await,
            }
        }
    }

    /// Claims the cell if the election allows it now, and again while claims fail because the log
    /// had advanced and the cell still needs an owner.
    async fn claim(&self) {
        if self.node.stopping.load(Ordering::Relaxed) || self.node.policy.borrow().version == 0 {
            return;
        }
        let delay = self.extra_claim_delay();
        lock(&self.election).set_extra_delay(delay);
        let cell = self.cell;
        let mut claim = lock(&self.election).try_claim(self.now());
        while let Some(end) = claim.take() {
            if let Err(StoreError::EndMismatch(actual)) = self.claim_once(end).await {
                claim = self.retry_claim(actual).await;
                if let Some(end) = claim {
                    log::info!("event=claim-retried cell={cell} end={end}");
                }
            }
            self.claim_wake.notify_one();
        }
    }

    /// Appends a claim, on the condition that the log ends at `end`.
    async fn claim_once(&self, end: u64) -> Result<(), StoreError> {
        let (owner, addr) = (self.node.id.clone(), self.node.settings.advertised_addr.clone());
        let record = ElectionRecord::Claim { owner, addr };
        let cell = self.cell;
        let claimants = lock(&self.election).next_claimants();
        let extension = Extension { claimants, ..self.extension(OwnerState::default()) };
        let claimed = self.append_claim(end, &record, extension, APPEND_TIMEOUT).await;
        match &claimed {
            Ok(()) => log::info!("event=cell-claimed cell={cell} end={end}"),
            Err(err) => log::info!("event=claim-failed cell={cell} end={end} error={err:?}"),
        }
        claimed
    }

    /// Reads the log up to `actual`, where a claim found its end. Returns the offset for the next
    /// claim if the cell still needs an owner.
    async fn retry_claim(&self, actual: u64) -> Option<u64> {
        lock(&self.election).record_mismatch(actual);
        if let Err(err) = self.read_claims(Millis(0), PROBE_TIMEOUT).await {
            log::info!("event=claims-not-read cell={} error={err:?}", self.cell);
        }
        lock(&self.election).try_claim(self.now())
    }

    /// How much later than others this entry claims the cell, because of its home and of the cells
    /// that it owns already.
    fn extra_claim_delay(&self) -> Millis {
        let cells = self.node.cells();
        let views = cells.iter().flat_map(|cells| &cells.views);
        let owned = views.filter(|view| view.local_owner().is_some()).count();
        let foreign = if self.is_home { Millis(0) } else { FOREIGN_CELL_DELAY };
        foreign + Millis(OWNED_CELL_DELAY.0 * owned as u64)
    }

    /// Appends a record to the claims, on the condition that they end at `end`.
    async fn append_claim(
        &self,
        end: u64,
        record: &ElectionRecord,
        extension: Extension,
        timeout: Millis,
    ) -> Result<(), StoreError> {
        let sent = self.now();
        let bytes = claim_record::encode(record, &extension);
        let bytes = bytes.map_err(|err| StoreError::Malformed(err.to_string()))?;
        let mut body = BytesMut::new();
        encode_record(&mut body, &bytes);
        let mut topic = TOPIC.to_string();
        let part = self.partition(&mut topic);
        let appended =
            self.node.store.append(part, Precondition::End(end), body.freeze(), timeout).await?;
        self.heartbeat_sent.fetch_max(sent.0, Ordering::Relaxed);
        let now = self.now();
        lock(&self.election).apply_extended(now, appended.offset, record.clone(), extension);
        let leader = lock(&self.election).leader().cloned();
        self.set_leader(leader);
        Ok(())
    }

    /// The extension of a record of this entry.
    fn extension(&self, state: OwnerState) -> Extension {
        let cpu = self.node.settings.millicores;
        let owner_state = Some(state);
        Extension { cpu, successor: None, owner_state, claimants: ClaimantUpdate::Any }
    }

    /// The claimants as a heartbeat of this entry names them. During the takeover the ones that the
    /// claim named stay.
    fn claimants(&self, epoch: u64, now: Millis) -> ClaimantUpdate {
        match self.local_owner_in(epoch) {
            Some(owner) => owner.claimants(now),
            None if lock(&self.election).inherited_claimants().is_some() => {
                ClaimantUpdate::Unchanged
            }
            None => ClaimantUpdate::Any,
        }
    }

    /// Sends heartbeats for as long as this entry owns the cell in `epoch`.
    async fn send_heartbeats(self: Arc<Self>, epoch: u64) {
        let mut timeout = APPEND_TIMEOUT;
        while self.is_leader(epoch) && !self.has_ended_epoch(epoch) {
            let sent = self.now();
            let end = lock(&self.election).next_offset();
            let (owner, addr) = (self.node.id.clone(), self.node.settings.advertised_addr.clone());
            let largest = self.local_owner_in(epoch).map_or(0, |owner| owner.largest_peer_cpu());
            let largest_cpu = largest.max(self.node.settings.millicores);
            let heartbeat = ElectionRecord::Heartbeat { epoch, owner, addr, largest_cpu };
            let claimants = self.claimants(epoch, sent);
            let state = OwnerState { clock: Some(sent), left: None };
            let extension = Extension { claimants: claimants.clone(), ..self.extension(state) };
            match self.append_claim(end, &heartbeat, extension, timeout).await {
                Ok(()) => {
                    timeout = APPEND_TIMEOUT;
                    if let Some(owner) = self.local_owner_in(epoch) {
                        owner.confirm_heartbeat(sent, claimants);
                    }
                    self.wait_for_heartbeat().await;
                }
                Err(StoreError::EndMismatch(_)) => {
                    tokio::time::sleep(CONFLICT_RETRY_DELAY.duration()).await
                }
                Err(err) => {
                    log::debug!(
                        "event=heartbeat-failed cell={} epoch={epoch} error={err:?}",
                        self.cell
                    );
                    if let Some(owner) = self.local_owner_in(epoch) {
                        owner.store_failed();
                    }
                    timeout = PROBE_TIMEOUT;
                    tokio::time::sleep(STORE_RETRY_DELAY.duration()).await;
                }
            }
        }
    }

    /// Waits until the next heartbeat is due: earlier than usual if an entry has connected that the
    /// log does not name yet.
    async fn wait_for_heartbeat(&self) {
        tokio::time::sleep(MIN_HEARTBEAT_INTERVAL.duration()).await;
        let rest = HEARTBEAT_INTERVAL - MIN_HEARTBEAT_INTERVAL;
        tokio::select! {
            () = tokio::time::sleep(rest.duration()) => {}
            () = self.heartbeat_wake.notified() => {}
        }
    }

    /// Appends a record that gives up the cell, so that another entry claims it at once. The append
    /// is retried if it fails, for example because a heartbeat was appended first. `successor`: the
    /// entry that should claim the cell.
    pub(super) async fn release(
        &self,
        record: ElectionRecord,
        successor: Option<Name>,
        left: FinalState,
        epoch: u64,
    ) {
        let deadline = self.now() + RELEASE_TIMEOUT;
        while self.is_leader(epoch) && self.now() < deadline {
            let end = lock(&self.election).next_offset();
            let state = OwnerState { clock: Some(self.now()), left: Some(left) };
            let extension = Extension { successor: successor.clone(), ..self.extension(state) };
            match self.append_claim(end, &record, extension, APPEND_TIMEOUT).await {
                Ok(()) => {
                    return log::info!(
                        "event=cell-released cell={} epoch={epoch} complete={}",
                        self.cell,
                        left.has_complete_records
                    );
                }
                Err(err) => {
                    log::debug!("event=release-failed epoch={epoch} error={err:?}");
                    tokio::time::sleep(CONFLICT_RETRY_DELAY.duration()).await;
                }
            }
        }
        log::info!("event=release-timed-out cell={} epoch={epoch}", self.cell);
    }
}

/// Delay before an append is retried after another record came first: in that time the new record
/// is read.
const CONFLICT_RETRY_DELAY: Millis = Millis(20);
/// How long to try to append the record that gives up the cell. Without the record other entries
/// claim the cell only once the owner's heartbeats have been missing for a while.
const RELEASE_TIMEOUT: Millis = Millis(1_000);
