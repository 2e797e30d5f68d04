//! `status`: shows the cell as one entry sees it.

use crate::cmd::client::{Client, Target, format_line, print_value, target};
use crate::cmd::{Run, runtime};
use anyhow::Result;
use bpaf::Bpaf;
use serde_json::Value;

/// Arguments of `status`.
#[derive(Debug, Clone, Bpaf)]
pub struct StatusArgs {
    #[bpaf(external)]
    target: Target,
    /// Print the answer as JSON
    json: bool,
}

impl Run for StatusArgs {
    fn run(self) -> Result<()> {
        let mut status =
            runtime()?.block_on(async { Client::new(self.target).get("/v1/status").await })?;
        if self.json {
            return print_value(&status, true);
        }
        let shards = status.as_object_mut().and_then(|fields| fields.remove("shards"));
        println!("{}", format_line(&status));
        if let Some(Value::Array(shards)) = shards {
            shards.iter().for_each(|shard| println!("  {}", format_line(shard)));
        }
        Ok(())
    }
}
