//! `settings`: prints a settings file with explanations.

use crate::cmd::Run;
use crate::settings::Settings;
use anyhow::Result;
use bpaf::Bpaf;

/// `settings` has no arguments.
#[derive(Debug, Clone, Bpaf)]
pub struct SettingsArgs {}

impl Run for SettingsArgs {
    fn run(self) -> Result<()> {
        print!("{}", Settings::template());
        Ok(())
    }
}
