//! `standin`: runs a stand-in for an external system: the platform, a worker or a runner.

use crate::clock::Millis;
use crate::cmd::{Run, runtime, start_log};
use crate::controller::list::VmList;
use crate::server::serve;
use crate::size::Size;
use crate::standin::{platform::Platform, runner::Runner, worker::Worker};
use anyhow::{Context, Result};
use bpaf::Bpaf;
use simplelog::LevelFilter;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::net::TcpListener;

/// The stand-in to run.
#[derive(Debug, Clone, Bpaf)]
pub enum StandinArgs {
    /// The platform, with its log and VM list
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// File with the initial VM list, JSON
        #[bpaf(argument("FILE"))]
        list: Option<PathBuf>,
        /// How long records are kept, in milliseconds
        #[bpaf(argument("MS"), fallback(600_000), display_fallback)]
        retention: u64,
    },
    /// A worker that accepts every start, whoever sends it and whatever is free
    #[bpaf(command)]
    Worker {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// Its name
        #[bpaf(argument("NAME"))]
        name: String,
        /// CPU, in thousandths of a core
        #[bpaf(argument("N"))]
        cpu: u32,
        /// Memory, in MB
        #[bpaf(argument("MB"))]
        mem: u32,
        /// Accelerators
        #[bpaf(argument("N"), fallback(0), display_fallback)]
        acc: u32,
    },
    /// A runner, which answers requests
    #[bpaf(command)]
    Runner {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// Its name
        #[bpaf(argument("NAME"))]
        name: String,
        /// Maximum number of concurrent requests
        #[bpaf(argument("N"), fallback(8), display_fallback)]
        slots: u32,
    },
}

impl Run for StandinArgs {
    fn run(self) -> Result<()> {
        start_log(LevelFilter::Info);
        runtime()?.block_on(run(self))
    }
}

async fn run(args: StandinArgs) -> Result<()> {
    let stop = async {
        let _ = tokio::signal::ctrl_c().await;
    };
    match args {
        StandinArgs::Platform { listen, list, retention } => {
            let platform = Platform::new(Millis(retention));
            if let Some(path) = list {
                let text = std::fs::read_to_string(&path);
                let text = text.with_context(|| format!("cannot read {}", path.display()))?;
                let list: VmList =
                    serde_json::from_str(&text).context("the file is not a VM list")?;
                platform.set_list(list);
            }
            serve(TcpListener::bind(listen).await?, platform.app(), stop).await?;
        }
        StandinArgs::Worker { listen, name, cpu, mem, acc } => {
            let worker = Worker::new(name.into(), Size::new(cpu, mem, acc));
            tokio::spawn(worker.clone().run());
            serve(TcpListener::bind(listen).await?, worker.app(), stop).await?;
        }
        StandinArgs::Runner { listen, name, slots } => {
            let runner = Runner::new(name.into(), slots);
            serve(TcpListener::bind(listen).await?, runner.app(), stop).await?;
        }
    }
    Ok(())
}
