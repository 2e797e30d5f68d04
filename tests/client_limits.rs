//! Which clients give way when an entry runs out of connections.

use sprucerudder::clients::limits::{ClientLimits, ListenerKind};
use sprucerudder::clients::table::{ClientId, ClientTable, MIN_WAIT, Room};
use sprucerudder::clock::Millis;

const MAX_CONNECTIONS: usize = 4;

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
    let [idle, answering, other, silent] = [(); 4].map(|()| admitted(&mut table, start));
    table.begin_answer(idle);
    table.end_answer(start, idle);
    table.begin_answer(answering);
    table.begin_answer(other);
    table.end_answer(MIN_WAIT, other);
    assert_eq!(table.admit(start, MAX_CONNECTIONS), Room::Later, "none was waited for");
    for expected in [silent, idle, other] {
        assert_eq!(table.admit(MIN_WAIT + MIN_WAIT, MAX_CONNECTIONS), Room::Evict(expected));
        assert_eq!(
            table.admit(MIN_WAIT + MIN_WAIT, MAX_CONNECTIONS),
            Room::Later,
            "one is leaving"
        );
        table.remove(expected);
        let next = admitted(&mut table, MIN_WAIT);
        table.begin_answer(next);
    }
    assert_eq!(table.admit(MIN_WAIT + MIN_WAIT, MAX_CONNECTIONS), Room::Later, "all are complete");
}

/// The smallest machines of the deployments have room for more callers than any of their days has.
#[test]
fn the_smallest_machines_have_room_for_their_callers() {
    let limits = ClientLimits::new(Some(120 << 20), Some(3_075));
    assert!(limits.connections(ListenerKind::Callers) >= 600);
    assert!(ClientLimits::new(None, None).connections(ListenerKind::Platform) == usize::MAX);
}
