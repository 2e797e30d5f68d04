//! The subcommands, one file each.

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
    /// Does its whole work.
    ///
    /// # Errors
    /// With context for people; [`RefusedError`] marks an answer of no.
    fn run(self) -> Result<()>;
}

/// A scheduler for unlike workloads on one cluster, driven by one table.
///
///
/// Exit codes: 0 done; 1 failed; 2 wrong use; 3 refused by the system, or a check found faults.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Runs an entry until SIGTERM; a second one stops it at once
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
    /// Runs a small stand-in for a system that is not ours, for trials and tests
    ///
    ///
    /// Example: sprucerudder standin worker --listen 127.0.0.1:9001 --name w1 --cpu 16000 --mem 32000
    #[bpaf(command)]
    Standin(#[bpaf(external(standin::standin_args))] standin::StandinArgs),
    /// Runs a whole small cell in this process and reports waits, packing and control cost
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
    /// Submits, shows, withdraws and lists jobs
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
    /// Begins the planned stop of an entry, so that its VM can be replaced
    ///
    ///
    /// Example: sprucerudder drain --addr 127.0.0.1:7001
    #[bpaf(command)]
    Drain(#[bpaf(external(drain::drain_args))] drain::DrainArgs),
    /// Shows the time line of several processes, in one order, and checks it
    ///
    ///
    /// Example: sprucerudder timeline --check 127.0.0.1:7001 127.0.0.1:9001
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline::timeline_args))] timeline::TimelineArgs),
    /// Tells from log lines on standard input what steps waited for, by queue
    ///
    ///
    /// Example: sprucerudder explain --job 27e4a95938c85eee < entry.log
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::explain_args))] explain::ExplainArgs),
    /// Makes a certificate authority and keys for entries, as parts of their settings
    ///
    ///
    /// Example: sprucerudder keys --cell delta nasr-1 nasr-2
    #[bpaf(command)]
    Keys(#[bpaf(external(keys::keys_args))] keys::KeysArgs),
    /// Prints a settings file with every setting, its default and what it means
    #[bpaf(command)]
    Settings(#[bpaf(external(settings::settings_args))] settings::SettingsArgs),
}

/// The command line's parser.
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

/// An answer of no: the system refused, or a check found faults.
#[derive(Debug)]
pub struct RefusedError(pub String);

impl fmt::Display for RefusedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for RefusedError {}

/// The exit code of a refusal.
const REFUSED_EXIT_CODE: u8 = 3;

/// Says what went wrong and returns the exit code for it.
pub fn report(err: &anyhow::Error) -> ExitCode {
    eprintln!("sprucerudder: {err:#}");
    match err.is::<RefusedError>() {
        true => ExitCode::from(REFUSED_EXIT_CODE),
        false => ExitCode::FAILURE,
    }
}

/// The exit code of a wrong use.
const USAGE_EXIT_CODE: u8 = 2;

/// Prints the help that was asked for, or what is wrong with the command line.
pub fn report_usage(failure: ParseFailure) -> ExitCode {
    const MAX_COLUMNS: usize = 100;
    failure.print_message(MAX_COLUMNS);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(USAGE_EXIT_CODE),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}

/// Sends logs to standard error: for each event one line of key=value pairs and nothing else.
fn start_log(level: LevelFilter) {
    let started = TermLogger::init(level, logs::config(), TerminalMode::Stderr, ColorChoice::Never);
    if let Err(err) = started {
        // Another log is in use already, and goes on.
        eprintln!("event=log-started-twice error={err:?}");
    }
}

/// A runtime with several threads.
fn runtime() -> Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread().enable_all().build()?)
}
