//! The subcommands of the command line, one file each.

mod client;
mod demo;
mod drain;
mod entry;
mod explain;
mod job;
mod keys;
mod node;
mod settings;
mod standin;
mod status;
mod table;
mod timeline;

use crate::logs;
use anyhow::Result;
use bpaf::{Bpaf, OptionParser, ParseFailure};
use simplelog::{ColorChoice, LevelFilter, TermLogger, TerminalMode};
use std::fmt;
use std::process::ExitCode;

/// Runs a subcommand.
pub trait Run {
    /// Runs the subcommand to its end.
    ///
    /// # Errors
    /// An error with context for the user. A [`RefusedError`] sets the exit code for a refusal.
    fn run(self) -> Result<()>;
}

/// A scheduler for mixed workloads on one cluster, configured by one table.
///
///
/// Exit codes: 0 success; 1 failure; 2 wrong usage; 3 refused by the system, or a check found faults.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Runs an entry until SIGTERM; a second SIGTERM stops it at once
    ///
    ///
    /// Example: sprucerudder entry --settings nasr-1.jsonc
    #[bpaf(command)]
    Entry(#[bpaf(external(entry::entry_args))] entry::EntryArgs),
    /// Runs an entry on the platform until SIGTERM
    ///
    ///
    /// Example: sprucerudder node --settings local.toml
    #[bpaf(command)]
    Node(#[bpaf(external(node::node_args))] node::NodeArgs),
    /// Runs a small stand-in for an external system, for trials and tests
    ///
    ///
    /// Example: sprucerudder standin worker --listen 127.0.0.1:9001 --name w1 --cpu 16000 --mem 32000
    #[bpaf(command)]
    Standin(#[bpaf(external(standin::standin_args))] standin::StandinArgs),
    /// Runs a small cell in this process and reports waiting times, packing and control cost
    ///
    ///
    /// Example: sprucerudder demo
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::demo_args))] demo::DemoArgs),
    /// Checks, shows, compares and publishes tables
    ///
    ///
    /// Example: sprucerudder table check desk.csv
    #[bpaf(command)]
    Table(#[bpaf(external(table::table_args))] table::TableArgs),
    /// Submits, shows, cancels and lists jobs
    ///
    ///
    /// Example: sprucerudder job submit --kind build --cpu 2000 --mem 1000 --run 5000
    #[bpaf(command)]
    Job(#[bpaf(external(job::job_args))] job::JobArgs),
    /// Shows entries, shards and their owners, workers and tasks
    ///
    ///
    /// Example: sprucerudder status --addr 127.0.0.1:7001
    #[bpaf(command)]
    Status(#[bpaf(external(status::status_args))] status::StatusArgs),
    /// Starts the planned shutdown of an entry, so that its VM can be replaced
    ///
    ///
    /// Example: sprucerudder drain --addr 127.0.0.1:7001
    #[bpaf(command)]
    Drain(#[bpaf(external(drain::drain_args))] drain::DrainArgs),
    /// Shows the merged timeline of several processes and checks it
    ///
    ///
    /// Example: sprucerudder timeline --check 127.0.0.1:7001 127.0.0.1:9001
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline::timeline_args))] timeline::TimelineArgs),
    /// Sums up from log lines on standard input what steps waited for, by queue
    ///
    ///
    /// Example: sprucerudder explain --job 27e4a95938c85eee < entry.log
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::explain_args))] explain::ExplainArgs),
    /// Creates a certificate authority and keys for entries, as parts of their settings
    ///
    ///
    /// Example: sprucerudder keys --cell delta nasr-1 nasr-2
    #[bpaf(command)]
    Keys(#[bpaf(external(keys::keys_args))] keys::KeysArgs),
    /// Prints a settings file with every setting, its default and what it means
    #[bpaf(command)]
    Settings(#[bpaf(external(settings::settings_args))] settings::SettingsArgs),
}

/// Returns the parser of the command line.
pub fn options() -> OptionParser<Command> {
    command()
}

impl Run for Command {
    fn run(self) -> Result<()> {
        match self {
            Self::Entry(args) => args.run(),
            Self::Node(args) => args.run(),
            Self::Standin(args) => args.run(),
            Self::Demo(args) => args.run(),
            Self::Table(args) => args.run(),
            Self::Job(args) => args.run(),
            Self::Status(args) => args.run(),
            Self::Drain(args) => args.run(),
            Self::Timeline(args) => args.run(),
            Self::Explain(args) => args.run(),
            Self::Keys(args) => args.run(),
            Self::Settings(args) => args.run(),
        }
    }
}

/// The system refused a request, or a check found faults.
#[derive(Debug)]
pub struct RefusedError(pub String);

impl fmt::Display for RefusedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for RefusedError {}

/// Exit code for a [`RefusedError`].
const REFUSED_EXIT_CODE: u8 = 3;

/// Prints an error and returns its exit code.
pub fn report(err: &anyhow::Error) -> ExitCode {
    eprintln!("sprucerudder: {err:#}");
    match err.is::<RefusedError>() {
        true => ExitCode::from(REFUSED_EXIT_CODE),
        false => ExitCode::FAILURE,
    }
}

/// Exit code for wrong usage of the command line.
const USAGE_EXIT_CODE: u8 = 2;

/// Prints the requested help, or the error in the command line, and returns the exit code.
pub fn report_usage(failure: ParseFailure) -> ExitCode {
    const MAX_COLUMNS: usize = 100;
    failure.print_message(MAX_COLUMNS);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(USAGE_EXIT_CODE),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}

/// Sends log lines to standard error, each with nothing but the key=value pairs of its event.
fn start_log(level: LevelFilter) {
    let started = TermLogger::init(level, logs::config(), TerminalMode::Stderr, ColorChoice::Never);
    if let Err(err) = started {
        // A logger is already installed and stays in use.
        eprintln!("event=logger-already-installed error={err:?}");
    }
}

/// Creates a multi-threaded runtime.
fn runtime() -> Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread().enable_all().build()?)
}
