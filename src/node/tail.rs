//! What an entry follows in the platform's store: the policy and the claims on the cell.

use crate::cell::election::{BEAT, Leader, Record};
use crate::clock::Millis;
use crate::id::hash;
use crate::node::{Node, STORE_RETRY, lock};
use crate::platform::config::{KEY, Policy, TOPIC};
use crate::platform::store::{Guard, Part, StoreError, put_record, split_keyed};
use bytes::BytesMut;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The operators' records.
const OPERATORS: Part<'static> = Part { topic: TOPIC, part: 0 };
/// The claims on the cell and its owner's heartbeats.
const CLAIMS: Part<'static> = Part { topic: "claims", part: 0 };
/// How long a read waits for the next record of the operators: a silent connection is noticed
/// within this time, and a change must be in force within two seconds.
const POLICY_WAIT: Millis = Millis(1_000);
/// How long a read waits for the next record on the claims: longer than an owner's heartbeat.
const CLAIM_WAIT: Millis = Millis(900);
/// How much longer an answer may take.
const READ_SPARE: Millis = Millis(500);
/// The longest wait for an append's answer.
const APPEND_LIMIT: Millis = Millis(900);
/// The longest wait for the store's answer after it failed: connections that were begun while it
/// was away hang, and a store 60 times slower than usual answers within 240 ms. With the usual
/// limits entries noticed up to 1 s late that it was back.
const PROBE_LIMIT: Millis = Millis(450);
/// Time between two looks at whether to claim.
const LOOK: Millis = Millis(150);
/// Entries claim a free cell up to this much apart, so that mostly the first one wins.
const SPREAD: u64 = 120;

impl Node {
    /// Keeps the policy as the operators published it last.
    pub(super) async fn follow_policy(self: Arc<Self>) {
        let mut next = None;
        loop {
            let result = match next {
                None => self.read_policy().await,
                Some(from) => self.await_policy(from).await,
            };
            match result {
                Ok(end) => next = Some(end),
                Err(StoreError::Gone(_)) => next = None,
                Err(err) => {
                    log::debug!("event=policy-unread error={err:?}");
                    next = None;
                    tokio::time::sleep(STORE_RETRY.duration()).await;
                }
            }
        }
    }

    /// Reads the newest policy.
    async fn read_policy(&self) -> Result<u64, StoreError> {
        let (items, end) = self.store.newest_all(OPERATORS, POLICY_WAIT + READ_SPARE).await?;
        if let Some(item) = items.iter().find(|item| *item.key == *KEY) {
            self.set_policy(&item.value);
        }
        Ok(end)
    }

    /// Waits for the next records of the operators.
    async fn await_policy(&self, from: u64) -> Result<u64, StoreError> {
        let limit = POLICY_WAIT + READ_SPARE;
        let read = self.store.read(OPERATORS, from, POLICY_WAIT, limit).await?;
        let end = read.records.last().map_or(from, |(offset, _)| offset + 1);
        let keyed = read.records.iter().filter_map(|(_, record)| split_keyed(record));
        if let Some((_, value)) = keyed.filter(|(key, _)| **key == *KEY).last() {
            self.set_policy(&value);
        }
        // Records that went away between two reads leave a gap before the first one kept.
        match read.end > from && read.records.is_empty() {
            true => self.read_policy().await,
            false => Ok(end),
        }
    }

    /// Puts a policy in force unless a later one is.
    fn set_policy(&self, text: &[u8]) {
        match Policy::parse(text) {
            Ok(policy) => {
                self.policy.send_if_modified(|current| {
                    let newer = policy.version > current.version;
                    if newer {
                        let (version, queues) = (policy.version, policy.queues.len());
                        log::info!("event=policy version={version} queues={queues}");
                        *current = Arc::new(policy);
                    }
                    newer
                });
            }
            Err(err) => log::error!("event=policy-unreadable error={err:?}"),
        }
    }

    /// Keeps the owner by the last claim.
    pub(super) async fn follow_claims(self: Arc<Self>) {
        let mut reachable = true;
        loop {
            let (wait, limit) = match reachable {
                true => (CLAIM_WAIT, CLAIM_WAIT + READ_SPARE),
                false => (Millis(0), PROBE_LIMIT),
            };
            match self.read_claims(wait, limit).await {
                Ok(()) => {
                    if !std::mem::replace(&mut reachable, true) {
                        log::info!("event=log-back");
                    }
                }
                Err(err) => {
                    if std::mem::replace(&mut reachable, false) {
                        log::info!("event=log-lost error={err:?}");
                    }
                    tokio::time::sleep(STORE_RETRY.duration()).await;
                }
            }
        }
    }

    async fn read_claims(&self, wait: Millis, limit: Millis) -> Result<(), StoreError> {
        let from = lock(&self.election).end();
        let read = match self.store.read(CLAIMS, from, wait, limit).await {
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
                        log::warn!("event=claim-unreadable offset={offset} error={err:?}");
                        election.skip(offset + 1);
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
        log::info!("event=owner owner={} epoch={}", leader.owner, leader.epoch);
        let owner = self.owner.borrow().clone();
        if let Some(owner) = owner.filter(|owner| owner.epoch() < leader.epoch) {
            log::info!("event=deposed epoch={} by=claim", owner.epoch());
            owner.end();
        }
    }

    /// Whether the log can be read now.
    pub(super) async fn probe_log(&self) -> bool {
        self.read_claims(Millis(0), PROBE_LIMIT).await.is_ok()
    }

    /// Claims the cell when it needs an owner; takes it over and sends heartbeats as its owner.
    pub(super) async fn campaign(self: Arc<Self>) {
        let jitter = hash(&[self.me.name.as_bytes()]) % SPREAD;
        let mut owned = 0;
        loop {
            tokio::select! {
                () = tokio::time::sleep((LOOK + Millis(jitter)).duration()) => {}
                () = self.recheck.notified() => tokio::time::sleep(Millis(jitter).duration()).await,
            }
            let mine = {
                let election = lock(&self.election);
                election.leader().filter(|_| election.is_mine()).map(|leader| leader.epoch)
            };
            match mine {
                Some(epoch) if epoch > owned => {
                    owned = epoch;
                    self.metrics.takeovers.inc();
                    tokio::spawn(self.clone().own(epoch));
                    tokio::spawn(self.clone().send_beats(epoch));
                }
                Some(_) => {}
                None => self.claim().await,
            }
        }
    }

    async fn claim(&self) {
        if self.stopping.load(Ordering::Relaxed) || self.policy.borrow().version == 0 {
            return;
        }
        let Some(end) = lock(&self.election).claim(self.now()) else { return };
        let record =
            Record::Claim { owner: self.me.clone(), addr: self.settings.advertise.clone() };
        match self.append_claim(end, &record, APPEND_LIMIT).await {
            Ok(()) => log::info!("event=claimed end={end}"),
            Err(err) => log::info!("event=claim-failed end={end} error={err:?}"),
        }
        self.recheck.notify_one();
    }

    async fn append_claim(
        &self,
        end: u64,
        record: &Record,
        limit: Millis,
    ) -> Result<(), StoreError> {
        let bytes = postcard::to_stdvec(record);
        let bytes = bytes.map_err(|err| StoreError::Malformed(err.to_string()))?;
        let mut body = BytesMut::new();
        put_record(&mut body, &bytes);
        let done = self.store.append(CLAIMS, Guard::End(end), body.freeze(), limit).await?;
        lock(&self.election).add(self.now(), done.offset, record.clone());
        let leader = lock(&self.election).leader().cloned();
        self.set_leader(leader);
        Ok(())
    }

    /// Shows the other entries that the owner lives, as long as it is the owner.
    async fn send_beats(self: Arc<Self>, epoch: u64) {
        let mut limit = APPEND_LIMIT;
        while self.is_leader(epoch) && !self.has_given_up(epoch) {
            let sent = self.now();
            let end = lock(&self.election).end();
            let (owner, addr) = (self.me.clone(), self.settings.advertise.clone());
            let largest = self.owner_of(epoch).map_or(0, |owner| owner.largest());
            let most = largest.max(self.settings.cpu);
            let beat = Record::Beat { epoch, owner, addr, most };
            match self.append_claim(end, &beat, limit).await {
                Ok(()) => {
                    limit = APPEND_LIMIT;
                    if let Some(owner) = self.owner_of(epoch) {
                        owner.confirm(sent);
                    }
                    tokio::time::sleep(BEAT.duration()).await;
                }
                Err(StoreError::Moved(_)) => tokio::time::sleep(OVERTAKEN.duration()).await,
                Err(err) => {
                    log::debug!("event=beat-failed epoch={epoch} error={err:?}");
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
    pub(super) async fn release(&self, epoch: u64) {
        let until = self.now() + RELEASE;
        while self.is_leader(epoch) && self.now() < until {
            let end = lock(&self.election).end();
            match self.append_claim(end, &Record::Release { epoch }, APPEND_LIMIT).await {
                Ok(()) => return log::info!("event=released epoch={epoch}"),
                Err(err) => {
                    log::debug!("event=release-failed epoch={epoch} error={err:?}");
                    tokio::time::sleep(OVERTAKEN.duration()).await;
                }
            }
        }
        log::info!("event=not-released epoch={epoch}");
    }
}

/// A record that came second is sent again once the reader had time to catch up.
const OVERTAKEN: Millis = Millis(20);
/// How long an owner that stops tries to say so; without it the others wait for its silence.
const RELEASE: Millis = Millis(1_000);
