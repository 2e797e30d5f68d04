//! `explain`: reads log lines and sums up what steps waited for, and for how long.

use crate::cmd::Run;
use anyhow::{Context, Result};
use bpaf::Bpaf;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::BufRead;

/// Arguments of `explain`.
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

/// Returns the value of a key in a log line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Counts missing log lines by gaps in the line numbers. The logs of several processes must come one after the other.
#[derive(Debug, Default)]
pub struct MissingLines {
    last_number: Option<u64>,
    /// Number of missing lines.
    pub lines: u64,
    /// Number of gaps in the line numbers.
    pub gaps: u64,
}

impl MissingLines {
    /// Adds one log line.
    pub fn add(&mut self, line: &str) {
        let Some(number) = field(line, "line").and_then(|text| text.parse::<u64>().ok()) else {
            return;
        };
        // A lower number than the last one starts the log of another process.
        let skipped = self.last_number.map_or(0, |last| number.saturating_sub(last + 1));
        self.lines += skipped;
        self.gaps += u64::from(skipped > 0);
        self.last_number = Some(number);
    }
}

/// Waiting times of steps in milliseconds, by queue and reason.
#[derive(Debug, Default)]
pub struct WaitTimes {
    rows: BTreeMap<(String, String), Vec<u64>>,
}

impl WaitTimes {
    /// Adds one log line if it is about a wait, and about `job` if that is set.
    pub fn add(&mut self, line: &str, job: Option<&str>) {
        let field = |name: &str| field(line, name);
        let of_job = |step: &str| job.is_none_or(|job| step.starts_with(job));
        let is_wait = matches!(field("event"), Some("waited" | "wait-expired"));
        if !is_wait || !field("step").is_some_and(of_job) {
            return;
        }
        let (Some(queue), Some(reason)) = (field("queue"), field("for")) else { return };
        // A truncated line may lack the waiting time.
        let Some(ms) = field("ms").and_then(|ms| ms.parse().ok()) else { return };
        self.rows.entry((queue.to_string(), reason.to_string())).or_default().push(ms);
    }

    /// Formats a table with a row for each queue and reason: number of waits, total, median, 90th percentile, maximum.
    pub fn table(&mut self) -> String {
        let mut text = String::new();
        let headings = ["queue", "waited for", "waits", "total s", "median ms", "p90 ms", "max ms"];
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
            // Writing to a string doesn't fail.
            if writeln!(text, "{queue:<24}{reason:<14}{figures}").is_err() {
                break;
            }
        }
        text
    }
}
