//! `job`: submits, shows, cancels and lists jobs.

use crate::cmd::client::{Client, Target, print_value, target};
use crate::cmd::{Run, runtime};
use anyhow::Result;
use bpaf::Bpaf;
use hyper::Method;
use serde_json::json;

/// Subcommands of `job`.
#[derive(Debug, Clone, Bpaf)]
pub enum JobArgs {
    /// Submits a job and prints its id and where it is stored
    #[bpaf(command)]
    Submit {
        #[bpaf(external)]
        target: Target,
        /// Kind of work: a row of the table
        #[bpaf(argument("KIND"))]
        kind: String,
        /// Number of tasks
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        tasks: u32,
        /// Run all tasks at the same time or none
        gang: bool,
        /// CPU of a task, in thousandths of a core
        #[bpaf(argument("N"))]
        cpu: u32,
        /// Memory of a task, in MB
        #[bpaf(argument("MB"))]
        mem: u32,
        /// Accelerators of a task
        #[bpaf(argument("N"), fallback(0), display_fallback)]
        acc: u32,
        /// Declared run time of a task, in milliseconds; 0 for a service
        #[bpaf(argument("MS"), fallback(0), display_fallback)]
        run: u64,
        /// Never start a task again once it was started
        once: bool,
        /// Idempotency key: submitting again with the same key returns the same job
        #[bpaf(argument("KEY"))]
        key: Option<String>,
        /// Print the answer as JSON
        json: bool,
    },
    /// Shows the state of a job
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        target: Target,
        /// Print the answer as JSON
        json: bool,
        /// The job
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Cancels a job
    #[bpaf(command)]
    Cancel {
        #[bpaf(external)]
        target: Target,
        /// Print the answer as JSON
        json: bool,
        /// The job
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Lists the jobs that the token may see
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        target: Target,
        /// Print the answer as JSON
        json: bool,
    },
}

impl Run for JobArgs {
    fn run(self) -> Result<()> {
        runtime()?.block_on(run(self))
    }
}

async fn run(args: JobArgs) -> Result<()> {
    let content_type = "application/json; charset=utf-8";
    let empty_body = String::new();
    let (answer, json) = match args {
        JobArgs::Submit { target, kind, tasks, gang, cpu, mem, acc, run, once, key, json } => {
            let repeat = !once;
            let body = json!({
                "kind": kind, "tasks": tasks, "gang": gang, "cpu": cpu, "mem": mem, "acc": acc,
                "run": run, "repeat": repeat,
            });
            let client = Client::new(target);
            let body = body.to_string();
            (client.call(Method::POST, "/v1/jobs", content_type, key.as_deref(), body).await?, json)
        }
        JobArgs::Status { target, json, job } => {
            (Client::new(target).get(&format!("/v1/jobs/{job}")).await?, json)
        }
        JobArgs::Cancel { target, json, job } => {
            let path = format!("/v1/jobs/{job}");
            (
                Client::new(target)
                    .call(Method::DELETE, &path, content_type, None, empty_body)
                    .await?,
                json,
            )
        }
        JobArgs::List { target, json } => (Client::new(target).get("/v1/jobs").await?, json),
    };
    print_value(&answer, json)
}
