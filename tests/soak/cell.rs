//! Real entries as separate processes around the stand-in of the platform, each way in between
//! through a relay of its own.

use crate::proxy::Proxy;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use sprucerudder::standin::process::Process;
use sprucerudder::standin::site::{ENTRY_PORT_OFFSET, Site};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;

/// The first port of a cell on its own loopback address; relays are this much above what they
/// relay to.
const PORT: u16 = 20_000;
const RELAY: u16 = 5_000;
/// The port for other entries, among those of an entry.
const PEER: u16 = 2;

/// One entry: its process, if there is one now, and the relays on its ways.
pub struct Entry {
    process: Option<Process>,
    pub store: Arc<Proxy>,
    pub advice: Arc<Proxy>,
    /// From other entries.
    pub peer: Arc<Proxy>,
}

pub struct Cell {
    pub site: Site,
    pub entries: Vec<Entry>,
    /// To each worker, from all entries.
    pub workers: Vec<Arc<Proxy>>,
    folder: PathBuf,
    cell_size: Option<u16>,
}

fn addr(host: &str, port: u16) -> SocketAddr {
    format!("{host}:{port}").parse().unwrap()
}

impl Cell {
    /// A cell on a loopback address that belongs to this seed and this run of the tests.
    ///
    /// `cell_size`: the fewest workers of a cell, if there may be several.
    pub async fn start(no: u8, workers: u16, entries: u16, cell_size: Option<u16>) -> Self {
        let pid = std::process::id();
        let host = format!("127.{}.{}.{no}", (pid >> 8) as u8, pid as u8);
        let mut site = Site::start(&host, PORT, 0).await.unwrap();
        let mut proxies = Vec::new();
        for _ in 0..workers {
            let target: SocketAddr = site.next_worker_addr().parse().unwrap();
            let proxy = Proxy::start(addr(&host, target.port() + RELAY), target).await;
            site.add_worker_at(proxy.addr.to_string()).await.unwrap();
            proxies.push(proxy);
        }
        let folder = std::env::temp_dir().join(format!("sprucerudder-soak-{pid}-{no}"));
        std::fs::create_dir_all(&folder).unwrap();
        let mut cell = Self { site, entries: Vec::new(), workers: proxies, folder, cell_size };
        for no in 0..entries {
            let base = PORT + RELAY + ENTRY_PORT_OFFSET + no * 10;
            let peer = PORT + ENTRY_PORT_OFFSET + no * 10 + PEER;
            let entry = Entry {
                process: None,
                store: Proxy::start(addr(&host, base), addr(&host, PORT)).await,
                advice: Proxy::start(addr(&host, base + 1), addr(&host, PORT + 1)).await,
                peer: Proxy::start(addr(&host, base + PEER), addr(&host, peer)).await,
            };
            cell.entries.push(entry);
            cell.start_entry(no);
        }
        cell
    }

    /// Starts the process of an entry that has none.
    pub fn start_entry(&mut self, no: u16) {
        let entry = &mut self.entries[usize::from(no)];
        let host = entry.store.addr.ip();
        let settings = self.site.settings(no);
        let through = settings
            .replace(&format!("\"{host}:{PORT}\""), &format!("\"{}\"", entry.store.addr))
            .replace(&format!("\"{host}:{}\"", PORT + 1), &format!("\"{}\"", entry.advice.addr));
        let path = self.folder.join(format!("{no}.toml"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{no}.log")))
            .unwrap();
        let program = env!("CARGO_BIN_EXE_sprucerudder");
        let peer = entry.peer.addr.to_string();
        let size = self.cell_size.map(|size| size.to_string());
        let mut more = vec!["--advertise", &peer];
        more.extend(size.iter().flat_map(|size| ["--cell-workers", size]));
        let process = Process::start_node(program, &path, &through, &more, Stdio::from(log));
        entry.process = Some(process.unwrap());
    }

    /// Sends a signal to an entry's process, if it has one.
    pub fn signal(&self, no: u16, signal: Signal) {
        if let Some(process) = &self.entries[usize::from(no)].process
            && let Err(err) = kill(Pid::from_raw(process.id() as i32), signal)
        {
            // It may have ended by itself a moment ago: the check of its end tells.
            eprintln!("event=not-signalled entry={no} signal={signal} error={err:?}");
        }
    }

    /// Kills an entry's process and waits for its end.
    pub fn kill_entry(&mut self, no: u16) {
        drop(self.entries[usize::from(no)].process.take());
    }

    /// Whether an entry's process ended; one that did is forgotten.
    pub fn has_ended(&mut self, no: u16) -> bool {
        let entry = &mut self.entries[usize::from(no)];
        let ended =
            entry.process.as_mut().is_some_and(|process| process.try_wait().unwrap().is_some());
        if ended {
            entry.process = None;
        }
        ended
    }

    pub fn is_running(&self, no: u16) -> bool {
        self.entries[usize::from(no)].process.is_some()
    }

    /// Where logs and settings are.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }
}
