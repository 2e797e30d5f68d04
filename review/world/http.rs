//! A small HTTP server, a client, and the relays between zones.

use crate::World;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request with its whole body.
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query_text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }
}

/// A response; `None` instead of one: the request is never answered.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: String) -> Option<Self> {
        Some(Self { status, body: body.into_bytes() })
    }
}

/// Serves requests on a listener, with a thread for each connection. `accepts` tells whether the
/// process that this stands for is up: if not, connections are closed at once.
pub fn serve<H, A>(listener: TcpListener, accepts: A, handler: H)
where
    H: Fn(&Request) -> Option<Response> + Send + Sync + 'static,
    A: Fn() -> bool + Send + Sync + 'static,
{
    let (handler, accepts) = (Arc::new(handler), Arc::new(accepts));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handler, accepts) = (handler.clone(), accepts.clone());
            if !accepts() {
                continue;
            }
            thread::spawn(move || serve_connection(stream, &*accepts, &*handler));
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    accepts: &dyn Fn() -> bool,
    handler: &dyn Fn(&Request) -> Option<Response>,
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if !accepts() {
            return;
        }
        let Some(response) = handler(&request) else {
            // Nothing more is said on this connection until its peer closes it.
            let mut rest = Vec::new();
            let _ = reader.read_to_end(&mut rest);
            return;
        };
        if !accepts() {
            return;
        }
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let bytes = [head.as_bytes(), &response.body].concat();
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let target = line.split_whitespace().nth(1)?.to_string();
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect();
    Some(Request { path: path.to_string(), query, headers, body })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
}

/// A client's connection to an entry, which stays open.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection. `None` if that fails.
    pub fn open(addr: &str, timeout_ms: u64) -> Option<Self> {
        let timeout = Duration::from_millis(timeout_ms);
        let addr: SocketAddr = addr.parse().ok()?;
        let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        Some(Self { reader: BufReader::new(stream) })
    }

    /// Sends one request. `None` if there was no whole answer in time.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        host: &str,
        body: &str,
        timeout_ms: u64,
    ) -> Option<(u16, Vec<u8>)> {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
             x-sprucerudder-deadline-ms: {timeout_ms}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.reader.get_mut().write_all(request.as_bytes()).ok()?;
        let mut line = String::new();
        self.reader.read_line(&mut line).ok()?;
        let status = line.split_whitespace().nth(1)?.parse().ok()?;
        let headers = read_headers(&mut self.reader)?;
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).ok()?;
        Some((status, body))
    }
}

/// Sends one request on a connection of its own. `None` if there was no whole answer in time.
pub fn call(
    addr: &str,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout_ms: u64,
) -> Option<(u16, Vec<u8>)> {
    Connection::open(addr, timeout_ms)?.call(method, path, host, body, timeout_ms)
}

/// Listens on `listen` in zone `from` and passes connections on to `target` in zone `to`, unless the
/// path between the zones is cut. During a cut nothing passes and nothing is answered; connections
/// that saw a cut are closed once it has ended, and what waited on them is lost.
pub fn relay(world: &Arc<World>, listen: &str, from: u8, target: &str, to: u8) {
    let listener = TcpListener::bind(listen).expect("a relay's address is taken");
    let (world, target) = (world.clone(), target.to_string());
    thread::spawn(move || {
        for inbound in listener.incoming().flatten() {
            let (world, target) = (world.clone(), target.clone());
            thread::spawn(move || relay_connection(&world, inbound, from, &target, to));
        }
    });
}

fn relay_connection(world: &Arc<World>, inbound: TcpStream, from: u8, target: &str, to: u8) {
    let count = world.cut_count();
    if world.is_cut(from, to) {
        wait_for_end(world, from, to);
        return;
    }
    let Ok(outbound) = TcpStream::connect(target) else { return };
    for stream in [&inbound, &outbound] {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
    }
    let copies = (inbound.try_clone(), outbound.try_clone());
    let (Ok(inbound_copy), Ok(outbound_copy)) = copies else { return };
    let back = world.clone();
    thread::spawn(move || pump(&back, outbound_copy, inbound_copy, (from, to), count));
    pump(world, inbound, outbound, (from, to), count);
}

fn wait_for_end(world: &World, from: u8, to: u8) {
    while world.is_cut(from, to) {
        thread::sleep(Duration::from_millis(20));
    }
}

/// Copies bytes until either side closes, or a cut has come and ended.
fn pump(
    world: &World,
    mut from: TcpStream,
    mut to: TcpStream,
    (zone, other): (u8, u8),
    count: usize,
) {
    let mut buffer = [0; 65_536];
    loop {
        let read = from.read(&mut buffer);
        if world.cut_count() != count && (world.is_cut(zone, other) || was_cut(world, zone, other))
        {
            wait_for_end(world, zone, other);
            break;
        }
        match read {
            Ok(0) => break,
            Ok(length) => {
                if to.write_all(&buffer[..length]).is_err() {
                    break;
                }
            }
            Err(err)
                if matches!(
                    err.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Whether a cut that has ended was between these zones. There is only one cut in a scenario, and it
/// is of a zone that the caller asks about.
fn was_cut(world: &World, zone: u8, other: u8) -> bool {
    world.last_cut_zone().is_some_and(|cut| cut == zone || cut == other)
}
