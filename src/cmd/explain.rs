//! `explain`: from log lines to what steps waited for.

use crate::cmd::Run;
use anyhow::{Context, Result};
use bpaf::Bpaf;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::BufRead;

/// What `explain` takes.
#[derive(Debug, Clone, Bpaf)]
pub struct ExplainArgs {
    /// Only steps of this job
    #[bpaf(argument("JOB"))]
    job: Option<String>,
}

impl Run for ExplainArgs {
    fn run(self) -> Result<()> {
        let (mut waits, mut missing) = (WaitTimes::default(), MissingLines::default());
        for line in std::io::stdin().lock().lines() {
            let line = line.context("cannot read standard input")?;
            waits.add(&line, self.job.as_deref());
            missing.add(&line);
        }
        print!("{}", waits.table());
        if missing.lines > 0 {
            println!("{} log lines are missing in {} places", missing.lines, missing.gaps);
        }
        Ok(())
    }
}

/// The value of a key in a log line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Where numbers of lines leap, in logs that follow each other process by process.
#[derive(Debug, Default)]
pub struct MissingLines {
    last_number: Option<u64>,
    /// Lines that are missing.
    pub lines: u64,
    /// How often lines are missing.
    pub gaps: u64,
}

impl MissingLines {
    /// Takes in one line.
    pub fn add(&mut self, line: &str) {
        let Some(number) = field(line, "line").and_then(|text| text.parse::<u64>().ok()) else {
            return;
        };
        // A lower number is the first of another process.
        let skipped = self.last_number.map_or(0, |last| number.saturating_sub(last + 1));
        self.lines += skipped;
        self.gaps += u64::from(skipped > 0);
        self.last_number = Some(number);
    }
}

/// How long steps waited, by queue and reason.
#[derive(Debug, Default)]
pub struct WaitTimes {
    rows: BTreeMap<(String, String), Vec<u64>>,
}

impl WaitTimes {
    /// Takes in one line of a log, if it tells of a wait, and of `job` if one is wanted.
    pub fn add(&mut self, line: &str, job: Option<&str>) {
        let field = |name: &str| field(line, name);
        let of_job = |step: &str| job.is_none_or(|job| step.starts_with(job));
        let is_wait = matches!(field("event"), Some("waited" | "wait-expired"));
        if !is_wait || !field("step").is_some_and(of_job) {
            return;
        }
        let (Some(queue), Some(reason)) = (field("queue"), field("for")) else { return };
        // A line that was cut off has no length of time that could be added.
        let Some(ms) = field("ms").and_then(|ms| ms.parse().ok()) else { return };
        self.rows.entry((queue.to_string(), reason.to_string())).or_default().push(ms);
    }

    /// A row for each queue and reason: how many waits, the sum, the median, one in ten, the longest.
    pub fn table(&mut self) -> String {
        let mut text = String::new();
        let headings = ["queue", "waited for", "waits", "sum s", "median ms", "90 % ms", "most ms"];
        let [queue, reason, rest @ ..] = headings;
        let rest: String = rest.iter().map(|name| format!("{name:>11}")).collect();
        text.push_str(&format!("{queue:<24}{reason:<14}{rest}\n"));
        for ((queue, reason), waits) in &mut self.rows {
            waits.sort_unstable();
            let percentile =
                |percent: usize| waits.get((waits.len() * percent / 100).min(waits.len() - 1));
            let sum = waits.iter().sum::<u64>() / 1_000;
            let figures = [
                Some(&(waits.len() as u64)),
                Some(&sum),
                percentile(50),
                percentile(90),
                waits.last(),
            ];
            let figures: String =
                figures.into_iter().flatten().map(|figure| format!("{figure:>11}")).collect();
            // Writing to a string does not fail.
            if writeln!(text, "{queue:<24}{reason:<14}{figures}").is_err() {
                break;
            }
        }
        text
    }
}
