//! How many connections to a worker are open.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use sprucerudder::cell::workers::connection_limit::ConnectionLimit;
use sprucerudder::clock::Millis;
use sprucerudder::platform::config::Policy;
use sprucerudder::platform::http::{HttpClient, HttpResponse, uri};
use sprucerudder::standin::site::Site;
use std::time::Duration;

const PORT: u16 = 20_000;

#[test]
fn a_worker_keeps_the_connections_of_sixteen_former_owners() {
    // Guards against workers that no owner can reach any more, because former owners left all of
    // the connections open that a worker accepts.
    for max in 32..=1_000 {
        let limit = ConnectionLimit::new(Some(max));
        assert!(limit.open * 16 <= max as usize, "{limit:?} of {max}");
        assert!(limit.idle <= limit.open);
        assert_eq!(limit.orders() + 1, limit.open, "one connection for reports");
    }
}

#[test]
fn an_owner_never_opens_more_connections_than_a_worker_accepts() {
    for max in 1..=1_000 {
        assert!(ConnectionLimit::new(Some(max)).open <= max as usize);
    }
}

#[test]
fn the_policy_tells_how_many_connections_workers_accept() {
    let text = r#"{"version": 1, "services": [
        {"name": "limited", "max_conns": 64}, {"name": "zero", "max_conns": 0}, {"name": "none"}
    ]}"#;
    let policy = Policy::parse(text.as_bytes()).unwrap();
    assert_eq!(policy.worker_connections.get("limited"), Some(&64));
    assert_eq!(policy.worker_connections.len(), 1);
}

/// Asks a worker of a site for a report, which it holds back for a while.
async fn ask_for_report(http: &HttpClient, addr: &str, limit: ConnectionLimit) -> HttpResponse {
    let body = Full::from(Bytes::from_static(br#"{"wait_ms": 150}"#));
    let request = Request::post(uri(addr, "/hold").unwrap()).body(body).unwrap();
    http.send_limited(addr, Some(limit), request, Millis(10_000)).await.unwrap()
}

async fn await_connections(site: &Site, count: usize) {
    let reached = async {
        while site.open_connections() != count {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(30), reached).await;
    assert!(result.is_ok(), "{} connections instead of {count}", site.open_connections());
}

#[tokio::test]
async fn calls_beyond_the_limit_wait_for_a_connection_and_idle_ones_are_closed() {
    // Guards against a burst of calls that uses up the connections of a worker.
    let host = format!("127.3.{}.{}", (std::process::id() >> 8) as u8, std::process::id() as u8);
    let site = Site::start(&host, PORT, 1).await.unwrap();
    let (http, addr) = (HttpClient::default(), format!("{host}:{}", PORT + 2));
    let limit = ConnectionLimit { open: 3, idle: 1 };
    let calls =
        futures_util::future::join_all((0..12).map(|_| ask_for_report(&http, &addr, limit)));
    let largest = async {
        let mut largest = 0;
        for _ in 0..40 {
            largest = largest.max(site.open_connections());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        largest
    };
    let (answers, largest) = tokio::join!(calls, largest);
    assert!(answers.iter().all(|answer| answer.status == StatusCode::OK));
    assert_eq!(largest, limit.open);
    await_connections(&site, limit.idle).await;
    http.close(&addr);
    await_connections(&site, 0).await;
}
