//! `drain`: starts the planned shutdown of an entry.

use crate::cmd::client::{Client, Target, target};
use crate::cmd::{Run, runtime};
use anyhow::Result;
use bpaf::Bpaf;
use hyper::Method;

/// Arguments of `drain`.
#[derive(Debug, Clone, Bpaf)]
pub struct DrainArgs {
    #[bpaf(external)]
    target: Target,
}

impl Run for DrainArgs {
    fn run(self) -> Result<()> {
        let content_type = "application/json; charset=utf-8";
        runtime()?.block_on(async {
            let client = Client::new(self.target);
            client.call(Method::POST, "/v1/drain", content_type, None, String::new()).await
        })?;
        println!("stopping");
        Ok(())
    }
}
