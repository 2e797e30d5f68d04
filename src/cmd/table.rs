//! `table`: checks, shows, compares and publishes tables.

use crate::cmd::client::{Client, Target, print_value, target};
use crate::cmd::{RefusedError, Run, runtime};
use crate::table::Table;
use anyhow::{Context, Result, bail};
use bpaf::Bpaf;
use hyper::Method;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// Subcommands of `table`.
#[derive(Debug, Clone, Bpaf)]
pub enum TableArgs {
    /// Checks a file; needs no entry
    #[bpaf(command)]
    Check {
        /// Print faults as JSON
        json: bool,
        /// The table, CSV
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the active table as CSV
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        target: Target,
        /// Print revision, operator and text as JSON
        json: bool,
    },
    /// Shows what publishing a file would change
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        target: Target,
        /// The table, CSV
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Publishes a file; if several operators publish at the same time, one succeeds
    #[bpaf(command)]
    Publish {
        #[bpaf(external)]
        target: Target,
        /// Revision that the file was edited from; by default the active one
        #[bpaf(argument("REV"))]
        base: Option<u64>,
        /// Idempotency key: publishing again with the same key has no further effect
        #[bpaf(argument("KEY"))]
        key: Option<String>,
        /// Print the answer as JSON
        json: bool,
        /// The table, CSV
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

impl Run for TableArgs {
    fn run(self) -> Result<()> {
        match self {
            Self::Check { json, file } => check_file(&file, json),
            Self::Show { target, json } => runtime()?.block_on(show(target, json)),
            Self::Diff { target, file } => runtime()?.block_on(diff(target, &file)),
            Self::Publish { target, base, key, json, file } => {
                runtime()?.block_on(publish(target, base, key, json, &file))
            }
        }
    }
}

fn read_file(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))
}

fn parse_table(text: &str) -> Result<Table> {
    Table::parse(text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        RefusedError(lines.join("\n")).into()
    })
}

fn check_file(file: &Path, json: bool) -> Result<()> {
    let text = read_file(file)?;
    match Table::parse(&text) {
        Ok(table) => println!("ok rows={} leaving={}", table.rows.len(), table.excluded_vms.len()),
        Err(faults) if json => {
            println!("{}", serde_json::to_string_pretty(&faults)?);
            bail!(RefusedError(format!("{} faults", faults.len())));
        }
        Err(_) => drop(parse_table(&text)?),
    }
    Ok(())
}

async fn show(target: Target, json: bool) -> Result<()> {
    let table = Client::new(target).get("/v1/table").await?;
    if json {
        return print_value(&table, true);
    }
    print!("{}", csv_text(&table));
    Ok(())
}

fn csv_text(table: &Value) -> &str {
    table.get("csv").and_then(Value::as_str).unwrap_or("")
}

async fn diff(target: Target, file: &Path) -> Result<()> {
    let new = parse_table(&read_file(file)?)?;
    let table = Client::new(target).get("/v1/table").await?;
    let old = match csv_text(&table) {
        "" => Table::default(),
        text => parse_table(text)?,
    };
    old.diff(&new).iter().for_each(|line| println!("{line}"));
    Ok(())
}

async fn publish(
    target: Target,
    base: Option<u64>,
    key: Option<String>,
    json: bool,
    file: &Path,
) -> Result<()> {
    let text = read_file(file)?;
    parse_table(&text)?;
    let client = Client::new(target);
    let base = match base {
        Some(base) => base,
        None => {
            let table = client.get("/v1/table").await?;
            table.get("rev").and_then(Value::as_u64).context("the entry gave no revision")?
        }
    };
    let path = format!("/v1/table?base={base}");
    let content_type = "text/plain; charset=utf-8";
    let answer = client.call(Method::PUT, &path, content_type, key.as_deref(), text).await?;
    print_value(&answer, json)
}
