//! Heartbeats with only what changed: whatever the network does, what a peer holds is a state that
//! the sender was in, never older than before, and soon the present one.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucerudder::controller::gossip::{Delta, DeltaOutcome, Inbox, Outbox};
use sprucerudder::id::{EntryId, Name};
use sprucerudder::wire::msg::ShardHeartbeat;
use std::collections::BTreeMap;

const SHARDS: usize = 3;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A shard's epoch changes.
    Change(usize, u64),
    /// The sender sends.
    Send,
    /// A message of those under way arrives, and stays under way: it may come again.
    Arrive(usize),
    /// An answer of those under way arrives, and may come again.
    Answer(usize),
    /// The receiver restarts.
    Restart,
    /// The receiver forgets the sender.
    Forget,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..SHARDS, 0_u64..3).prop_map(|(shard, epoch)| Step::Change(shard, epoch)),
        4 => Just(Step::Send),
        4 => (0_usize..64).prop_map(Step::Arrive),
        4 => (0_usize..64).prop_map(Step::Answer),
        1 => Just(Step::Restart),
        1 => Just(Step::Forget),
    ];
    vec(step, 1..60)
}

fn entry(name: &str, incarnation: u64) -> EntryId {
    EntryId { name: name.into(), incarnation }
}

fn beat(shard: usize, epoch: u64) -> ShardHeartbeat {
    let shard: Name = format!("rack{shard}").into();
    ShardHeartbeat { shard, epoch, is_owner: false, start_pending: false, room: None }
}

/// One direction: a sender, a receiver, and all that was ever under way.
struct Pair {
    now: [u64; SHARDS],
    outbox: Outbox,
    inbox: Inbox,
    inc: u64,
    sent: Vec<Delta>,
    answers: Vec<(EntryId, u64)>,
    /// The sender's state by number.
    past: BTreeMap<u64, Vec<ShardHeartbeat>>,
}

impl Pair {
    fn new() -> Self {
        Self {
            now: [1; SHARDS],
            outbox: Outbox::default(),
            inbox: Inbox::default(),
            inc: 1,
            sent: Vec::new(),
            answers: Vec::new(),
            past: BTreeMap::new(),
        }
    }

    fn state(&self) -> Vec<ShardHeartbeat> {
        (0..SHARDS).map(|shard| beat(shard, self.now[shard])).collect()
    }

    fn send(&mut self) {
        self.outbox.update(self.state());
        let delta = self.outbox.delta("b", 0);
        self.past.insert(delta.seq, self.state());
        self.sent.push(delta);
    }

    fn arrive(&mut self, index: usize) -> DeltaOutcome {
        let delta = self.sent[index].clone();
        let before = self.inbox.held(1);
        let taken = self.inbox.take(&entry("a", 1), delta.clone());
        let held = self.inbox.held(1);
        assert!(
            held >= before || taken == DeltaOutcome::MissingBase,
            "never back: {before} to {held}"
        );
        if taken == DeltaOutcome::Applied {
            assert_eq!(held, delta.seq);
            assert_eq!(self.inbox.shards(), self.past[&held], "state {held} as it was sent");
        }
        self.answers.push((entry("b", self.inc), held));
        taken
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Change(shard, epoch) => self.now[shard] = epoch,
            Step::Send => self.send(),
            Step::Arrive(at) if !self.sent.is_empty() => {
                self.arrive(at % self.sent.len());
            }
            Step::Answer(at) if !self.answers.is_empty() => {
                let (from, held) = self.answers[at % self.answers.len()].clone();
                self.outbox.acked(&from, held);
            }
            Step::Restart => {
                self.inc += 1;
                self.inbox = Inbox::default();
            }
            Step::Forget => self.inbox = Inbox::default(),
            Step::Arrive(_) | Step::Answer(_) => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default()
    })]

    #[test]
    fn a_peer_holds_states_that_the_sender_was_in(steps in steps()) {
        let mut pair = Pair::new();
        for step in steps {
            pair.step(step);
        }
        for _ in 0..3 {
            pair.send();
            pair.arrive(pair.sent.len() - 1);
            let (from, held) = pair.answers.last().expect("answer").clone();
            pair.outbox.acked(&from, held);
        }
        prop_assert_eq!(pair.inbox.shards(), pair.state());
    }
}

#[test]
fn nothing_is_sent_twice_to_a_peer_that_has_it() {
    let mut pair = Pair::new();
    pair.send();
    assert_eq!(pair.sent[0].shards.len(), SHARDS);
    assert_eq!(pair.arrive(0), DeltaOutcome::Applied);
    pair.outbox.acked(&entry("b", 1), 1);
    pair.send();
    assert_eq!(pair.sent[1].shards, Vec::new());
    pair.now[1] = 7;
    pair.send();
    assert_eq!(pair.sent[2].shards, vec![beat(1, 7)]);
}
