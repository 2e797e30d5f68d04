//! Entries of one cell talk to each other; others are refused.

use sprucerudder::clock::Millis;
use sprucerudder::settings::Keys;
use sprucerudder::trace::Trace;
use sprucerudder::wire::keys::Authority;
use sprucerudder::wire::msg::{NEWEST_VERSION, PeerRequest, PeerResponse};
use sprucerudder::wire::quic::{QuicTransport, WireError};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

const LIMIT: Millis = Millis(10_000);

fn end(name: &str, keys: &Keys) -> Arc<QuicTransport> {
    end_of(name, keys, NEWEST_VERSION)
}

fn end_of(name: &str, keys: &Keys, newest: u8) -> Arc<QuicTransport> {
    let any = (Ipv4Addr::LOCALHOST, 0).into();
    QuicTransport::bind(any, keys, newest, Arc::new(Trace::new(name.into()))).expect("bind")
}

async fn ask(from: &QuicTransport, name: &str, to: SocketAddr) -> Result<PeerResponse, WireError> {
    from.request(&name.into(), to, PeerRequest::Table, LIMIT).await
}

#[tokio::test]
async fn a_peer_without_the_cells_key_is_refused() {
    let cell = Authority::new("cell").expect("authority");
    let other = Authority::new("cell").expect("authority");
    let loaded = Authority::load(cell.certificate(), &cell.private_key()).expect("load");
    let server = end("e1", &cell.issue("e1").expect("keys"));
    let here = server.addr().expect("addr");
    tokio::spawn(server.serve(|_| async { PeerResponse::Table(None) }));
    let friend = end("e2", &cell.issue("e2").expect("keys"));
    assert_eq!(ask(&friend, "e1", here).await.expect("answer"), PeerResponse::Table(None));
    let later = end("e3", &loaded.issue("e3").expect("keys"));
    assert_eq!(ask(&later, "e1", here).await.expect("answer"), PeerResponse::Table(None));
    let stranger = end("e2", &other.issue("e2").expect("keys"));
    assert!(ask(&stranger, "e1", here).await.is_err());
    let wrong_name = ask(&friend, "e9", here).await;
    assert!(matches!(wrong_name, Err(WireError::Connect(_))), "{wrong_name:?}");
}

#[tokio::test]
async fn two_entries_speak_the_newest_version_that_both_know() {
    let cell = Authority::new("cell").expect("authority");
    for (here, there) in [(1, 1), (1, 2), (2, 1), (2, 2)] {
        let server = end_of("e1", &cell.issue("e1").expect("keys"), there);
        let to = server.addr().expect("addr");
        tokio::spawn(server.serve(|_| async { PeerResponse::Done }));
        let client = end_of("e2", &cell.issue("e2").expect("keys"), here);
        let mut spoken = 0;
        let question = |version| {
            spoken = version;
            Some(PeerRequest::VmList)
        };
        let answer = client.request_by_version(&"e1".into(), to, question, LIMIT).await;
        assert_eq!(answer.expect("answer"), PeerResponse::Done);
        assert_eq!(spoken, here.min(there), "{here} with {there}");
    }
}
