//! Entries as separate processes around the simulated platform, with a proxy on each link between
//! them.

use crate::proxy::Proxy;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use sprucerudder::standin::process::Process;
use sprucerudder::standin::site::{ENTRY_PORT_OFFSET, Site};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

/// First port of a cell on its own loopback address.
const BASE_PORT: u16 = 20_000;
/// Offset of a proxy's port from the port that it forwards to.
const PROXY_PORT_OFFSET: u16 = 5_000;
/// Time in which the proxies notice that the connections of a killed process have ended.
const POWER_LOSS_TIME: Duration = Duration::from_millis(50);
/// Offset of the port for other entries within the ports of an entry.
const PEER_PORT_OFFSET: u16 = 2;

/// An entry: its process, if it is running, and the proxies on its links.
pub struct Entry {
    process: Option<Process>,
    pub store_proxy: Arc<Proxy>,
    pub advice_proxy: Arc<Proxy>,
    /// For calls from other entries.
    pub peer_proxy: Arc<Proxy>,
}

pub struct Cell {
    pub site: Site,
    pub entries: Vec<Entry>,
    /// The proxy in front of each worker, used by all entries.
    pub worker_proxies: Vec<Arc<Proxy>>,
    dir: PathBuf,
    min_workers: Option<u16>,
}

fn addr(host: &str, port: u16) -> SocketAddr {
    format!("{host}:{port}").parse().unwrap()
}

/// Adds a worker behind a proxy.
async fn add_worker(site: &mut Site) -> Arc<Proxy> {
    let target: SocketAddr = site.next_worker_addr().parse().unwrap();
    let proxy_addr = SocketAddr::new(target.ip(), target.port() + PROXY_PORT_OFFSET);
    let proxy = Proxy::start(proxy_addr, target).await;
    site.add_worker_at(proxy.addr.to_string()).await.unwrap();
    proxy
}

impl Cell {
    /// Starts a cell on a loopback address that is unique to `host_no` and this process.
    ///
    /// `min_workers`: the smallest number of workers per cell, if the workers may be split into
    /// several cells.
    pub async fn start(host_no: u8, workers: u16, entries: u16, min_workers: Option<u16>) -> Self {
        let pid = std::process::id();
        let host = format!("127.{}.{}.{host_no}", (pid >> 8) as u8, pid as u8);
        let mut site = Site::start(&host, BASE_PORT, 0).await.unwrap();
        let mut proxies = Vec::new();
        for _ in 0..workers {
            proxies.push(add_worker(&mut site).await);
        }
        let dir = std::env::temp_dir().join(format!("sprucerudder-soak-{pid}-{host_no}"));
        std::fs::create_dir_all(&dir).unwrap();
        let mut cell =
            Self { site, entries: Vec::new(), worker_proxies: proxies, dir, min_workers };
        for no in 0..entries {
            let base = BASE_PORT + PROXY_PORT_OFFSET + ENTRY_PORT_OFFSET + no * 10;
            let peer = BASE_PORT + ENTRY_PORT_OFFSET + no * 10 + PEER_PORT_OFFSET;
            let entry = Entry {
                process: None,
                store_proxy: Proxy::start(addr(&host, base), addr(&host, BASE_PORT)).await,
                advice_proxy: Proxy::start(addr(&host, base + 1), addr(&host, BASE_PORT + 1)).await,
                peer_proxy: Proxy::start(addr(&host, base + PEER_PORT_OFFSET), addr(&host, peer))
                    .await,
            };
            cell.entries.push(entry);
            cell.start_entry(no);
        }
        cell
    }

    /// Adds a worker.
    pub async fn add_worker(&mut self) {
        let proxy = add_worker(&mut self.site).await;
        self.worker_proxies.push(proxy);
    }

    /// Starts the process of an entry that is not running.
    pub fn start_entry(&mut self, index: u16) {
        let entry = &mut self.entries[usize::from(index)];
        let host = entry.store_proxy.addr.ip();
        let settings = self.site.settings(index);
        let settings = settings
            .replace(&format!("\"{host}:{BASE_PORT}\""), &format!("\"{}\"", entry.store_proxy.addr))
            .replace(
                &format!("\"{host}:{}\"", BASE_PORT + 1),
                &format!("\"{}\"", entry.advice_proxy.addr),
            );
        let path = self.dir.join(format!("{index}.toml"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{index}.log")))
            .unwrap();
        let program = env!("CARGO_BIN_EXE_sprucerudder");
        let peer = entry.peer_proxy.addr.to_string();
        let min_workers = self.min_workers.map(|count| count.to_string());
        let mut extra_args = vec!["--advertise", &peer];
        extra_args.extend(min_workers.iter().flat_map(|count| ["--cell-workers", count]));
        let process = Process::start_node(program, &path, &settings, &extra_args, Stdio::from(log));
        entry.process = Some(process.unwrap());
    }

    /// Sends a signal to the process of an entry, if it is running.
    pub fn signal(&self, index: u16, signal: Signal) {
        if let Some(process) = &self.entries[usize::from(index)].process
            && let Err(err) = kill(Pid::from_raw(process.id() as i32), signal)
        {
            // The process may just have ended by itself; `has_ended` reports that.
            eprintln!("event=signal-failed entry={index} signal={signal} error={err:?}");
        }
    }

    /// Kills the process of an entry and waits for its end.
    pub fn kill_entry(&mut self, index: u16) {
        drop(self.entries[usize::from(index)].process.take());
    }

    /// Kills the process of an entry as if its VM lost power: its connections to workers stay open
    /// there for good.
    pub async fn cut_entry_power(&mut self, index: u16) {
        self.set_power_losses(true);
        self.kill_entry(index);
        tokio::time::sleep(POWER_LOSS_TIME).await;
        self.set_power_losses(false);
    }

    fn set_power_losses(&self, enabled: bool) {
        for proxy in &self.worker_proxies {
            proxy.update(|state| state.callers_lose_power = enabled);
        }
    }

    /// Whether the process of an entry has ended since the last call; from then on the entry counts
    /// as not running.
    pub fn has_ended(&mut self, index: u16) -> bool {
        let entry = &mut self.entries[usize::from(index)];
        let ended =
            entry.process.as_mut().is_some_and(|process| process.try_wait().unwrap().is_some());
        if ended {
            entry.process = None;
        }
        ended
    }

    pub fn is_running(&self, index: u16) -> bool {
        self.entries[usize::from(index)].process.is_some()
    }

    /// Directory of the entries' logs and settings.
    pub fn dir(&self) -> &PathBuf {
        &self.dir
    }
}
