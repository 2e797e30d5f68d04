//! `demo`: runs a small but complete cell in one process.

use crate::clock::Millis;
use crate::cmd::{Run, runtime, start_log};
use crate::demo;
use anyhow::Result;
use bpaf::Bpaf;
use simplelog::LevelFilter;

/// Arguments of `demo`.
#[derive(Debug, Clone, Bpaf)]
pub struct DemoArgs {
    /// How long requests and jobs are submitted, in seconds
    #[bpaf(argument("S"), fallback(10), display_fallback)]
    seconds: u64,
}

impl Run for DemoArgs {
    fn run(self) -> Result<()> {
        start_log(LevelFilter::Error);
        runtime()?.block_on(demo::run(Millis(self.seconds * 1000)))
    }
}
