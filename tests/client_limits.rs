//! Which clients are evicted when an entry runs out of connections or of memory for requests.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucerudder::clients::arrival::WINDOW;
use sprucerudder::clients::limits::{ClientLimits, ListenerKind};
use sprucerudder::clients::table::{ClientId, ClientTable, Room};
use sprucerudder::clock::Millis;
use std::collections::BTreeMap;

const MAX_CONNECTIONS: usize = 4;
const MAX_BYTES: u64 = 1_000;

fn admitted(table: &mut ClientTable, now: Millis) -> ClientId {
    match table.admit(now, MAX_CONNECTIONS) {
        Room::Granted(id) => id,
        other => panic!("{other:?}"),
    }
}

/// If the oldest connection went first, a crowd of unfinished headers would close those of idle
/// callers; and if no connection did, a crowd would keep out all others.
#[test]
fn connections_without_a_request_go_first_and_complete_requests_never_do() {
    let (mut table, start) = (ClientTable::default(), Millis(0));
    let [idle, answering, slow, silent] = [(); 4].map(|()| admitted(&mut table, start));
    table.begin_answer(idle);
    table.end_answer(start, idle);
    table.begin_answer(answering);
    table.record_body(start, slow, 0);
    assert_eq!(table.admit(start, MAX_CONNECTIONS), Room::Later, "none was waited for");
    for expected in [silent, slow, idle] {
        assert_eq!(table.admit(WINDOW, MAX_CONNECTIONS), Room::Evict(expected));
        assert_eq!(table.admit(WINDOW, MAX_CONNECTIONS), Room::Later, "one is leaving");
        table.remove(expected);
        let next = admitted(&mut table, WINDOW);
        table.begin_answer(next);
    }
    assert_eq!(table.admit(WINDOW + WINDOW, MAX_CONNECTIONS), Room::Later, "all are complete");
}

/// If any idle connection could go, a caller between two of its requests would be closed, while one
/// that is gone for good stays.
#[test]
fn the_connection_that_has_been_idle_for_the_longest_goes_first() {
    let (mut table, start) = (ClientTable::default(), Millis(0));
    let clients = [(); MAX_CONNECTIONS].map(|()| admitted(&mut table, start));
    let order = [2, 0, 3, 1].map(|index| clients[index]);
    for (turn, id) in order.into_iter().enumerate() {
        table.begin_answer(id);
        table.end_answer(Millis(turn as u64), id);
    }
    let later = WINDOW + WINDOW;
    for expected in order {
        assert_eq!(table.admit(later, MAX_CONNECTIONS), Room::Evict(expected));
        table.remove(expected);
        let next = admitted(&mut table, later);
        table.begin_answer(next);
    }
}

/// A request that became complete while its client was being evicted was cut off; and while it was
/// answered, no other client was evicted.
#[test]
fn a_request_that_becomes_complete_is_answered_and_holds_up_no_others() {
    let (mut table, start) = (ClientTable::default(), Millis(0));
    let [completed, silent, ..] = [(); 4].map(|()| admitted(&mut table, start));
    assert_eq!(table.admit(WINDOW, MAX_CONNECTIONS), Room::Evict(completed));
    table.begin_answer(completed);
    assert!(table.is_complete(completed));
    assert_eq!(table.admit(WINDOW, MAX_CONNECTIONS), Room::Evict(silent));
}

/// A body that stops just short of its end has received more than any other, and must not keep its
/// memory from one that arrives.
#[test]
fn a_body_that_has_stopped_is_evicted_for_one_that_arrives() {
    let (mut table, start) = (ClientTable::default(), Millis(0));
    let [stopped, arriving, new] = [(); 3].map(|()| admitted(&mut table, start));
    for id in [stopped, arriving] {
        table.record_body(start, id, 0);
        table.record_body(start, id, 100_000);
        assert_eq!(table.reserve(start, id, MAX_BYTES / 2, MAX_BYTES), Room::Granted(()));
    }
    table.record_body(start, new, 0);
    assert_eq!(table.reserve(start, new, 1, MAX_BYTES), Room::Exhausted, "both arrive");
    let later = start + WINDOW + WINDOW;
    table.record_body(later, arriving, 100_000);
    assert_eq!(table.reserve(later, new, 1, MAX_BYTES), Room::Evict(stopped));
    assert_eq!(table.reserve(later, stopped, 1, MAX_BYTES), Room::Exhausted, "it is leaving");
    table.remove(stopped);
    assert_eq!(table.reserve(later, new, 1, MAX_BYTES), Room::Granted(()));
}

/// The smallest machines of the deployments have room for more callers than any of their days has.
#[test]
fn the_smallest_machines_have_room_for_their_callers() {
    let limits = ClientLimits::new(Some(120 << 20), Some(3_075));
    assert!(limits.connections(ListenerKind::Callers) >= 600);
    assert!(ClientLimits::new(None, None).connections(ListenerKind::Platform) == usize::MAX);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(80), ..ProptestConfig::default() })]

    /// Whatever clients do in whichever order, there are never more connections than allowed, and
    /// their requests never hold more than allowed, unless one of them is alone.
    #[test]
    fn limits_hold_whatever_clients_do(
        steps in prop::collection::vec((0..6_u8, 0..8_usize, 0..700_u64), 0..200),
    ) {
        let (mut table, mut now) = (ClientTable::default(), Millis(0));
        let mut requested: BTreeMap<ClientId, u64> = BTreeMap::new();
        for (step, index, number) in steps {
            now = now + Millis(number);
            let id = requested.keys().nth(index % requested.len().max(1)).copied();
            match (step, id) {
                (0, _) => match table.admit(now, MAX_CONNECTIONS) {
                    Room::Granted(id) => drop(requested.insert(id, 0)),
                    Room::Evict(id) if number % 2 == 0 => {
                        table.remove(id);
                        requested.remove(&id);
                    }
                    _ => {}
                },
                (1, Some(id)) => table.record_body(now, id, number as usize),
                (2, Some(id)) => table.begin_answer(id),
                (3, Some(id)) => {
                    table.end_answer(now, id);
                    requested.insert(id, 0);
                }
                (4, Some(id)) => {
                    if table.reserve(now, id, number, MAX_BYTES) == Room::Granted(()) {
                        requested.entry(id).and_modify(|bytes| *bytes += number);
                        let others: u64 = requested.values().sum::<u64>() - requested[&id];
                        prop_assert!(table.held() <= MAX_BYTES || others == 0);
                    }
                }
                (_, Some(id)) => {
                    table.remove(id);
                    requested.remove(&id);
                }
                (_, None) => {}
            }
            prop_assert_eq!(table.len(), requested.len());
            prop_assert!(table.len() <= MAX_CONNECTIONS);
            prop_assert_eq!(table.held(), requested.values().sum::<u64>());
        }
    }
}
