//! `keys`: makes keys between entries.

use crate::cmd::Run;
use crate::wire::keys::Authority;
use anyhow::Result;
use bpaf::Bpaf;
use serde_json::json;

/// What `keys` takes.
#[derive(Debug, Clone, Bpaf)]
pub struct KeysArgs {
    /// The cell's name
    #[bpaf(argument("NAME"), fallback("cell".to_string()), display_fallback)]
    cell: String,
    /// Names of entries
    #[bpaf(positional("ENTRY"), some("at least one entry"))]
    entries: Vec<String>,
}

impl Run for KeysArgs {
    fn run(self) -> Result<()> {
        let authority = Authority::new(&self.cell)?;
        let mut all = serde_json::Map::new();
        for name in &self.entries {
            let keys = authority.issue(name)?;
            let part = json!({
                "authority": &*keys.authority,
                "certificate": &*keys.certificate,
                "secret": &*keys.secret,
            });
            all.insert(name.clone(), part);
        }
        println!("{}", serde_json::to_string_pretty(&all)?);
        Ok(())
    }
}
