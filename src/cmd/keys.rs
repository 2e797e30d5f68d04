//! `keys`: creates the certificates and private keys with which entries authenticate each other.

use crate::cmd::Run;
use crate::wire::keys::Authority;
use anyhow::{Context, Result};
use bpaf::Bpaf;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

/// Name of the output's field that holds the certificate authority.
const AUTHORITY_FIELD: &str = "authority";

/// Arguments of `keys`.
#[derive(Debug, Clone, Bpaf)]
pub struct KeysArgs {
    /// Name of the cell
    #[bpaf(argument("NAME"), fallback("cell".to_string()), display_fallback)]
    cell: String,
    /// Output of an earlier call, whose certificate authority is reused
    #[bpaf(argument("FILE"))]
    authority: Option<PathBuf>,
    /// Names of the entries
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
            json!({"certificate": authority.certificate(), "secret": authority.private_key()});
        let output = json!({AUTHORITY_FIELD: authority_keys, "entries": entries});
        println!("{}", serde_json::to_string_pretty(&output)?);
        Ok(())
    }
}

fn load_authority(path: &Path) -> Result<Authority> {
    let text = std::fs::read_to_string(path);
    let text = text.with_context(|| format!("cannot read {}", path.display()))?;
    let output: Value =
        serde_json::from_str(&text).context("the file is not the output of `sprucerudder keys`")?;
    let part = |name: &str| {
        let text = output[AUTHORITY_FIELD][name].as_str();
        text.with_context(|| format!("no authority.{name} in {}", path.display()))
    };
    Ok(Authority::load(part("certificate")?, part("secret")?)?)
}
