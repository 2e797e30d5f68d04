//! `keys`: makes keys between entries.

use crate::cmd::Run;
use crate::wire::keys::Authority;
use anyhow::{Context, Result};
use bpaf::Bpaf;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

/// The part of the output that holds the authority.
const AUTHORITY_FIELD: &str = "authority";

/// What `keys` takes.
#[derive(Debug, Clone, Bpaf)]
pub struct KeysArgs {
    /// The cell's name
    #[bpaf(argument("NAME"), fallback("cell".to_string()), display_fallback)]
    cell: String,
    /// Output of an earlier call: its authority is used again
    #[bpaf(argument("FILE"))]
    authority: Option<PathBuf>,
    /// Names of entries
    #[bpaf(positional("ENTRY"), some("at least one entry"))]
    entries: Vec<String>,
}

impl Run for KeysArgs {
    fn run(self) -> Result<()> {
        let authority = match &self.authority {
            Some(path) => load_authority(path)?,
            None => Authority::new(&self.cell)?,
        };
        let mut entries = serde_json::Map::new();
        for name in &self.entries {
            let keys = authority.issue(name)?;
            let part = json!({
                "authority": &*keys.authority,
                "certificate": &*keys.certificate,
                "secret": &*keys.secret,
            });
            entries.insert(name.clone(), part);
        }
        let authority_keys =
            json!({"certificate": authority.certificate(), "secret": authority.secret()});
        let output = json!({AUTHORITY_FIELD: authority_keys, "entries": entries});
        println!("{}", serde_json::to_string_pretty(&output)?);
        Ok(())
    }
}

fn load_authority(path: &Path) -> Result<Authority> {
    let text = std::fs::read_to_string(path);
    let text = text.with_context(|| format!("cannot read {}", path.display()))?;
    let output: Value = serde_json::from_str(&text).context("not the output of keys")?;
    let part = |name: &str| {
        let text = output[AUTHORITY_FIELD][name].as_str();
        text.with_context(|| format!("no authority.{name} in {}", path.display()))
    };
    Ok(Authority::load(part("certificate")?, part("secret")?)?)
}
