//! `settings`: prints an explained settings file.

use crate::cmd::Run;
use crate::settings::Settings;
use anyhow::Result;
use bpaf::Bpaf;

/// What `settings` takes: nothing.
#[derive(Debug, Clone, Bpaf)]
pub struct SettingsArgs {}

impl Run for SettingsArgs {
    fn run(self) -> Result<()> {
        print!("{}", Settings::template());
        Ok(())
    }
}
