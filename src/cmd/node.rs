//! `node`: runs an entry on the platform, with the platform's settings file.

use crate::cell::mechanism::DisabledMechanisms;
use crate::cell::owner::cell_map::MIN_CELL_WORKERS;
use crate::cmd::{RefusedError, Run};
use crate::logs;
use crate::node::Node;
use crate::platform::settings::{SETTINGS_VARIABLE, Settings};
use anyhow::{Context, Result};
use bpaf::Bpaf;
use simplelog::LevelFilter;
use std::num::NonZeroUsize;
use std::path::PathBuf;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Arguments of `node`.
#[derive(Debug, Clone, Bpaf)]
pub struct NodeArgs {
    /// Settings file of the platform; by default the one that SPRUCERUDDER_SETTINGS names
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
    /// Port of the metrics; by default the second of the ports for other entries
    #[bpaf(argument("PORT"))]
    metrics: Option<u16>,
    /// Address at which other entries reach this one, if it is not the one it listens on
    #[bpaf(argument("ADDR"))]
    advertise: Option<String>,
    /// Minimum number of workers of a cell, if the fleet has at least twice as many; used when the fleet first starts
    #[bpaf(argument("COUNT"), fallback(MIN_CELL_WORKERS), display_fallback)]
    cell_workers: NonZeroUsize,
    /// Mechanisms to disable, to measure their effect
    #[bpaf(argument("NAME,..."), fallback(DisabledMechanisms::default()), hide)]
    without: DisabledMechanisms,
    /// Minimum level of log lines: error, warn, info, debug
    #[bpaf(argument("LEVEL"), fallback(LevelFilter::Info), display_fallback)]
    log: LevelFilter,
}

impl Run for NodeArgs {
    fn run(self) -> Result<()> {
        let path = match self.settings {
            Some(path) => path,
            None => std::env::var_os(SETTINGS_VARIABLE)
                .map(PathBuf::from)
                .with_context(|| format!("{SETTINGS_VARIABLE} names no settings file"))?,
        };
        let text = std::fs::read_to_string(&path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        let mut settings = Settings::parse(&text)
            .map_err(|err| RefusedError(format!("{}: {err}", path.display())))?;
        if let Some(port) = self.metrics {
            settings.metrics_addr = format!("{}:{port}", settings.ip).into();
        }
        if let Some(addr) = self.advertise {
            settings.advertised_addr = addr.into();
        }
        settings.min_workers = self.cell_workers;
        settings.disabled = self.without;
        logs::start(self.log);
        runtime(settings.cores)?.block_on(serve(settings, path))
    }
}

/// Creates a runtime. On a single core it has one thread, as further ones would only add context switches.
fn runtime(cores: usize) -> Result<Runtime> {
    let mut builder = match cores {
        1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    Ok(builder.enable_all().build()?)
}

/// Serves until a planned shutdown is complete, which SIGTERM or SIGINT starts.
async fn serve(settings: Settings, path: PathBuf) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => drop(stop.send_replace(true)),
                _ = interrupt.recv() => drop(stop.send_replace(true)),
                _ = hangup.recv() => check_changed_settings(&path),
            }
        }
    });
    let result = Node::run(settings, stopped).await;
    logs::wait_for_writes();
    Ok(result?)
}

/// Validates the settings file on SIGHUP and logs the result. Nothing is applied, as addresses and limits stay
/// the same while the process runs.
fn check_changed_settings(path: &std::path::Path) {
    let text = std::fs::read_to_string(path).map_err(|err| err.to_string());
    let result = text.and_then(|text| Settings::parse(&text).map_err(|err| err.to_string()));
    match result {
        Ok(_) => log::info!("event=reload outcome=unchanged"),
        Err(err) => log::warn!("event=reload outcome=refused error={err:?}"),
    }
}
