//! QUIC between entries: only entries with a certificate of the cell can connect, and two entries
//! negotiate the newest protocol version that both support.

use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::settings::Keys;
use sprucerudder::trace::{EventKind, Stamp, Trace};
use sprucerudder::wire::keys::Authority;
use sprucerudder::wire::msg::{NEWEST_VERSION, PeerRequest, PeerResponse};
use sprucerudder::wire::quic::{QuicTransport, WireError};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

const TIMEOUT: Millis = Millis(10_000);

fn bind(name: &str, keys: &Keys) -> Arc<QuicTransport> {
    bind_with_version(name, keys, NEWEST_VERSION)
}

fn bind_with_version(name: &str, keys: &Keys, newest: u8) -> Arc<QuicTransport> {
    let any = (Ipv4Addr::LOCALHOST, 0).into();
    QuicTransport::bind(any, keys, newest, Arc::new(Trace::new(name.into()))).expect("bind")
}

async fn request_table(
    from: &QuicTransport,
    name: &str,
    to: SocketAddr,
) -> Result<PeerResponse, WireError> {
    from.request(&name.into(), to, PeerRequest::Table, TIMEOUT).await
}

#[tokio::test]
async fn a_peer_without_the_cells_key_is_refused() {
    let cell = Authority::new("cell").expect("authority");
    let other = Authority::new("cell").expect("authority");
    let loaded = Authority::load(cell.certificate(), &cell.private_key()).expect("load");
    let server = bind("e1", &cell.issue("e1").expect("keys"));
    let here = server.addr().expect("addr");
    tokio::spawn(server.serve(|_| async { PeerResponse::Table(None) }));
    let peer = bind("e2", &cell.issue("e2").expect("keys"));
    assert_eq!(request_table(&peer, "e1", here).await.expect("answer"), PeerResponse::Table(None));
    let peer_of_loaded = bind("e3", &loaded.issue("e3").expect("keys"));
    assert_eq!(
        request_table(&peer_of_loaded, "e1", here).await.expect("answer"),
        PeerResponse::Table(None)
    );
    let stranger = bind("e2", &other.issue("e2").expect("keys"));
    assert!(request_table(&stranger, "e1", here).await.is_err());
    let wrong_name = request_table(&peer, "e9", here).await;
    assert!(matches!(wrong_name, Err(WireError::Connect(_))), "{wrong_name:?}");
}

#[tokio::test]
async fn two_entries_negotiate_the_newest_version_that_both_support() {
    let cell = Authority::new("cell").expect("authority");
    for (here, there) in [(1, 1), (1, 2), (2, 1), (2, 2)] {
        let server = bind_with_version("e1", &cell.issue("e1").expect("keys"), there);
        let to = server.addr().expect("addr");
        tokio::spawn(server.serve(|_| async { PeerResponse::Done }));
        let client = bind_with_version("e2", &cell.issue("e2").expect("keys"), here);
        let mut negotiated = 0;
        let request = |version| {
            negotiated = version;
            Some(PeerRequest::VmList)
        };
        let answer = client.request_by_version(&"e1".into(), to, request, TIMEOUT).await;
        assert_eq!(answer.expect("answer"), PeerResponse::Done);
        assert_eq!(negotiated, here.min(there), "{here} with {there}");
    }
}

// Two requests wait on one connection. The first to time out takes it from the pool, and the next
// request opens another one. When the second one times out, it must not take that one from the pool.
#[tokio::test]
async fn newer_connection_dropped_for_a_late_timeout_of_an_older_one() {
    let cell = Authority::new("cell").expect("authority");
    let server = bind("e1", &cell.issue("e1").expect("keys"));
    let to = server.addr().expect("addr");
    tokio::spawn(server.serve(|request| async move {
        match request {
            PeerRequest::Table => std::future::pending().await,
            _ => PeerResponse::Done,
        }
    }));
    let trace = Arc::new(Trace::new("e2".into()));
    let any = (Ipv4Addr::LOCALHOST, 0).into();
    let keys = cell.issue("e2").expect("keys");
    let client = QuicTransport::bind(any, &keys, NEWEST_VERSION, trace.clone()).expect("bind");
    let name = Name::from("e1");
    let ask = |request, limit| client.request(&name, to, request, Millis(limit));
    let opened = || {
        let events = trace.events_after(Stamp(0), usize::MAX);
        events.iter().filter(|event| matches!(event.kind, EventKind::PeerConnected { .. })).count()
    };
    ask(PeerRequest::VmList, 10_000).await.expect("the first connection");
    let late = ask(PeerRequest::Table, 1_500);
    let newer = async {
        let early = ask(PeerRequest::Table, 300).await;
        assert!(matches!(early, Err(WireError::Timeout(_))), "{early:?}");
        ask(PeerRequest::VmList, 10_000).await.expect("the second connection");
        assert_eq!(opened(), 2);
    };
    let (late, ()) = tokio::join!(late, newer);
    assert!(matches!(late, Err(WireError::Timeout(_))), "{late:?}");
    ask(PeerRequest::VmList, 10_000).await.expect("an open connection");
    assert_eq!(opened(), 2, "the second connection was dropped");
}
