//! `entry`: runs an entry of a cell.

use crate::cmd::{RefusedError, Run, runtime, start_log};
use crate::entry::Entry;
use crate::settings::Settings;
use anyhow::{Context, Result, bail};
use bpaf::Bpaf;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Arguments of `entry`.
#[derive(Debug, Clone, Bpaf)]
pub struct EntryArgs {
    /// Settings file, JSON with comments
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

impl Run for EntryArgs {
    fn run(self) -> Result<()> {
        let text = std::fs::read_to_string(&self.settings)
            .with_context(|| format!("cannot read {}", self.settings.display()))?;
        let settings = match Settings::parse(&text) {
            Ok(settings) => settings,
            Err(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                bail!(RefusedError(format!("{}:\n{}", self.settings.display(), lines.join("\n"))));
            }
        };
        start_log(settings.log_level.parse()?);
        runtime()?.block_on(serve(settings))
    }
}

/// Serves until a planned shutdown is complete, which the first SIGTERM or SIGINT or a call of the drain API
/// starts. A second signal ends the entry at once and drops requests in flight.
async fn serve(settings: Settings) -> Result<()> {
    let (entry, listener) = Entry::bind(settings).await?;
    let signals = count_signals()?;
    let run = entry.clone().run(listener, planned_stop_done(entry, signals.clone()));
    tokio::select! {
        result = run => result?,
        () = wait_for_signals(signals, 2) => log::warn!("event=shutdown-aborted-by-signal"),
    }
    Ok(())
}

/// Counts received SIGTERM and SIGINT signals.
fn count_signals() -> Result<watch::Receiver<u32>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (count, signals) = watch::channel(0);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            count.send_modify(|count| *count += 1);
        }
    });
    Ok(signals)
}

async fn wait_for_signals(mut signals: watch::Receiver<u32>, min_count: u32) {
    let _ = signals.wait_for(|count| *count >= min_count).await;
}

/// Completes when the planned shutdown is complete that a signal or a drain started.
async fn planned_stop_done(entry: Arc<Entry>, signals: watch::Receiver<u32>) {
    tokio::select! {
        () = wait_for_signals(signals, 1) => entry.stop().await,
        () = entry.wait_stopped() => {}
    }
}
