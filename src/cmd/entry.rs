//! `entry`: runs an entry.

use crate::cmd::{Refusal, Run, runtime, start_log};
use crate::entry::Entry;
use crate::settings::Settings;
use anyhow::{Context, Result, bail};
use bpaf::Bpaf;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};

/// What `entry` takes.
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
                bail!(Refusal(format!("{}:\n{}", self.settings.display(), lines.join("\n"))));
            }
        };
        start_log(settings.log_level.parse()?);
        runtime()?.block_on(serve(settings))
    }
}

async fn serve(settings: Settings) -> Result<()> {
    let (entry, listener) = Entry::bind(settings).await?;
    entry.clone().run(listener, stopped(entry)).await?;
    Ok(())
}

/// Ready when the planned stop that the first SIGTERM, SIGINT or a drain began is done, or at the
/// second signal.
async fn stopped(entry: Arc<Entry>) {
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        () = entry.drained() => return,
    }
    tokio::select! {
        () = entry.stop() => {}
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
