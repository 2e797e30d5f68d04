//! The table that operators edit: a row for each kind of work, with columns for weights and limits.
//!
//! A table is a CSV file as spreadsheets save it. [`Table::parse`] reports all faults of a file at once.

use crate::clock::Millis;
use crate::id::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Prefix of a row's name if the row is for a VM instead of a kind of work.
const VM_PREFIX: &str = "vm:";
/// Prefix of the heading of a column that holds the weights of a failure domain.
const DOMAIN_PREFIX: &str = "site:";
/// Maximum size of a table, in bytes.
pub const MAX_TABLE_BYTES: usize = 256 * 1024;
/// Maximum weight in any column.
const MAX_WEIGHT: u32 = 1000;
/// Maximum deadline, in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Maximum number of retries that a row may set.
const MAX_RETRIES: u32 = 10;

/// How a kind of work is scheduled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkClass {
    /// Processed by a runner within one HTTP request.
    Request,
    /// Runs on a worker until it finishes.
    Batch,
    /// Runs on a worker until it is cancelled.
    Service,
}

/// A row of the table: the policy for a kind of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Kind of work.
    pub kind: Name,
    /// Team that the row belongs to.
    pub team: Name,
    /// How this kind of work is scheduled.
    pub class: WorkClass,
    /// Urgency: the priority points that a waiting task gains for each second.
    pub weight: u32,
    /// Maximum number running at the same time: requests for each entry, tasks in the whole cell.
    pub limit: u32,
    /// Maximum number waiting at the same time: requests for each entry, tasks for each shard.
    pub queue: u32,
    /// Maximum time that a request may take, or a task may wait.
    pub deadline: Millis,
    /// Whether the work may be run more than once.
    #[serde(rename = "repeat")]
    pub repeatable: bool,
    /// How often a failed task is retried.
    pub retries: u32,
    /// Placement weight for packing tasks onto few workers.
    pub pack: u32,
    /// Placement weight for spreading tasks over many workers.
    pub spread: u32,
    /// CPU quota of the row's team in the whole cell, in thousandths of a core: above it, tasks of this
    /// row don't start. 0 for no quota.
    pub quota: u32,
    /// Placement weight of each failure domain; domains that aren't listed have weight 0.
    #[serde(rename = "sites")]
    pub domain_weights: BTreeMap<Name, u32>,
}

/// A table that has been parsed and validated.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Rows by kind of work.
    pub rows: BTreeMap<Name, Row>,
    /// VMs that the table takes out of service.
    #[serde(rename = "leaving")]
    pub excluded_vms: BTreeSet<Name>,
    /// Largest CPU quota in the rows of each team that has a quota.
    quotas: BTreeMap<Name, u64>,
}

/// A fault in a table file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Line of the file, from 1; 0 for the whole file.
    pub line: u64,
    /// Kind of work of the row; empty if it could not be read.
    pub row: String,
    /// Heading of the column.
    pub column: String,
    /// Invalid value.
    pub value: String,
    /// Description of a valid value.
    #[serde(rename = "want")]
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}: row {:?}, column {:?}: {:?} is invalid: expected {}",
            self.line, self.row, self.column, self.value, self.expected
        )
    }
}

/// Required columns, each with a description of its valid values.
const COLUMNS: [(&str, &str); 12] = [
    ("kind", "a name of letters, digits, '-' and '_', once in the table"),
    ("team", "a name of letters, digits, '-' and '_'"),
    ("class", "request, batch or service"),
    ("weight", "a whole number from 0 to 1000"),
    ("limit", "a whole number from 1 to 1000000"),
    ("queue", "a whole number from 0 to 1000000"),
    ("deadline", "milliseconds, from 1 to 86400000"),
    ("repeat", "yes or no"),
    ("retries", "a whole number from 0 to 10, and 0 where repeat is no"),
    ("pack", "a whole number from 0 to 1000"),
    ("spread", "a whole number from 0 to 1000"),
    ("quota", "thousandths of a core, from 0 to 4000000000, 0 for no quota"),
];

/// Description of the valid values in the column of a failure domain.
const DOMAIN_WEIGHT_HELP: &str = "a whole number from 0 to 1000";

/// Whether `s` is a valid name of a kind of work, team, VM, shard or failure domain.
pub fn is_name(s: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !s.is_empty() && s.len() <= 64 && s.chars().all(is_allowed)
}

/// A line of the file with its headings and the faults found in it so far.
struct TableLine<'a> {
    number: u64,
    headings: &'a [String],
    cells: csv::StringRecord,
    faults: Vec<Fault>,
}

impl TableLine<'_> {
    /// Text of the line's cell in a column; empty if there is none.
    fn cell(&self, column: &str) -> &str {
        let at = self.headings.iter().position(|heading| heading == column);
        at.and_then(|i| self.cells.get(i)).unwrap_or("").trim()
    }

    fn add_fault(&mut self, column: &str, expected: &str) {
        let fault = Fault {
            line: self.number,
            row: self.cell("kind").to_string(),
            column: column.to_string(),
            value: self.cell(column).to_string(),
            expected: expected.to_string(),
        };
        self.faults.push(fault);
    }

    /// Parses a cell, or adds a fault if its value is invalid.
    fn parse_cell<T>(&mut self, column: &str, parse: impl Fn(&str) -> Option<T>) -> Option<T> {
        let value = parse(self.cell(column));
        if value.is_none() {
            self.add_fault(column, expected_value(column));
        }
        value
    }

    fn number(&mut self, column: &str, min: u64, max: u64) -> Option<u64> {
        self.parse_cell(column, |s| s.parse().ok().filter(|n| (min..=max).contains(n)))
    }

    fn number_u32(&mut self, column: &str, min: u32, max: u32) -> Option<u32> {
        self.number(column, min as u64, max as u64).map(|n| n as u32)
    }

    fn name(&mut self, column: &str) -> Option<Name> {
        self.parse_cell(column, |s| is_name(s).then(|| s.into()))
    }

    fn domain_weights(&mut self) -> BTreeMap<Name, u32> {
        let mut weights = BTreeMap::new();
        for heading in self.headings.iter().filter(|heading| heading.starts_with(DOMAIN_PREFIX)) {
            let weight = match self.cell(heading) {
                "" => Some(0),
                s => s.parse().ok().filter(|n| *n <= MAX_WEIGHT),
            };
            match weight {
                Some(0) => {}
                Some(n) => drop(weights.insert(heading[DOMAIN_PREFIX.len()..].into(), n)),
                None => self.add_fault(heading, DOMAIN_WEIGHT_HELP),
            }
        }
        weights
    }

    fn row(&mut self) -> Option<Row> {
        let kind = self.name("kind");
        let team = self.name("team");
        let class = self.parse_cell("class", parse_class);
        let weight = self.number_u32("weight", 0, MAX_WEIGHT);
        let limit = self.number_u32("limit", 1, 1_000_000);
        let queue = self.number_u32("queue", 0, 1_000_000);
        let deadline = self.number("deadline", 1, MAX_DEADLINE_MS);
        let repeatable = self.parse_cell("repeat", parse_yes_no);
        let retries = self.number_u32("retries", 0, MAX_RETRIES);
        let pack = self.number_u32("pack", 0, MAX_WEIGHT);
        let spread = self.number_u32("spread", 0, MAX_WEIGHT);
        let quota = self.number_u32("quota", 0, 4_000_000_000);
        let domain_weights = self.domain_weights();
        if repeatable == Some(false) && retries.is_some_and(|n| n > 0) {
            self.add_fault("retries", expected_value("retries"));
        }
        Some(Row {
            kind: kind?,
            team: team?,
            class: class?,
            weight: weight?,
            limit: limit?,
            queue: queue?,
            deadline: Millis(deadline?),
            repeatable: repeatable?,
            retries: retries?,
            pack: pack?,
            spread: spread?,
            quota: quota?,
            domain_weights,
        })
    }
}

fn expected_value(column: &str) -> &'static str {
    COLUMNS.iter().find(|(name, _)| *name == column).map_or("", |(_, expected)| expected)
}

fn parse_class(s: &str) -> Option<WorkClass> {
    match s {
        "request" => Some(WorkClass::Request),
        "batch" => Some(WorkClass::Batch),
        "service" => Some(WorkClass::Service),
        _ => None,
    }
}

fn parse_yes_no(s: &str) -> Option<bool> {
    match s {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

fn file_fault(line: u64, column: &str, value: &str, expected: &str) -> Fault {
    let [column, value, expected] = [column, value, expected].map(str::to_string);
    Fault { line, row: String::new(), column, value, expected }
}

fn check_headings(headings: &[String]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (name, expected) in COLUMNS {
        if !headings.iter().any(|heading| heading == name) {
            faults.push(file_fault(
                1,
                name,
                "",
                &format!("a column with this heading, of {expected}"),
            ));
        }
    }
    let mut seen = BTreeSet::new();
    for heading in headings {
        let known = COLUMNS.iter().any(|(name, _)| name == heading);
        let is_domain = heading.strip_prefix(DOMAIN_PREFIX).is_some_and(is_name);
        match seen.insert(heading) {
            true if known || is_domain => {}
            true => faults.push(file_fault(1, heading, heading, "a known heading or site:DOMAIN")),
            false => faults.push(file_fault(1, heading, heading, "each heading once")),
        }
    }
    faults
}

impl Table {
    /// Parses and validates a table in CSV format.
    ///
    /// # Errors
    /// All faults of the file, in the order of its lines.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut table = Self::parse_rows(text)?;
        for row in table.rows.values().filter(|row| row.quota > 0) {
            let quota = table.quotas.entry(row.team.clone()).or_insert(0);
            *quota = (*quota).max(row.quota as u64);
        }
        Ok(table)
    }

    /// CPU quota of a team in the whole cell, in thousandths of a core; 0 for no quota.
    pub fn quota(&self, team: &str) -> u64 {
        self.quotas.get(team).copied().unwrap_or(0)
    }

    fn parse_rows(text: &str) -> Result<Self, Vec<Fault>> {
        if text.len() > MAX_TABLE_BYTES {
            let expected = format!("a file of at most {MAX_TABLE_BYTES} bytes");
            return Err(vec![file_fault(0, "", &text.len().to_string(), &expected)]);
        }
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let mut reader = csv::ReaderBuilder::new().flexible(true).from_reader(text.as_bytes());
        let headings: Vec<String> = match reader.headers() {
            Ok(record) => record.iter().map(|s| s.trim().to_string()).collect(),
            Err(err) => return Err(vec![file_fault(1, "", &err.to_string(), "CSV in UTF-8")]),
        };
        let mut faults = check_headings(&headings);
        if !faults.is_empty() {
            return Err(faults);
        }
        let mut table = Self::default();
        for record in reader.records() {
            match record {
                Ok(cells) if cells.iter().all(|cell| cell.trim().is_empty()) => {}
                Ok(cells) => faults.append(&mut table.add_line(&headings, cells)),
                Err(err) => faults.push(file_fault(0, "", &err.to_string(), "CSV in UTF-8")),
            }
        }
        if table.rows.is_empty() && faults.is_empty() {
            faults.push(file_fault(2, "kind", "", "at least one row"));
        }
        if faults.is_empty() { Ok(table) } else { Err(faults) }
    }

    fn add_line(&mut self, headings: &[String], cells: csv::StringRecord) -> Vec<Fault> {
        let number = cells.position().map_or(0, |at| at.line());
        let mut line = TableLine { number, headings, cells, faults: Vec::new() };
        if line.cells.len() > headings.len() {
            let extra = line.cells.get(headings.len()).unwrap_or("").to_string();
            let mut fault = file_fault(number, "", &extra, "no more cells than headings");
            fault.row = line.cell("kind").to_string();
            line.faults.push(fault);
        }
        match line.cell("kind").strip_prefix(VM_PREFIX) {
            Some(vm) if is_name(vm) && line.cell("weight") == "0" => {
                self.excluded_vms.insert(vm.into());
            }
            Some(_) => {
                line.add_fault("weight", "0 in a row vm:NAME, which takes the VM out of use")
            }
            None => match line.row() {
                Some(row) if self.rows.contains_key(&row.kind) => {
                    line.add_fault("kind", expected_value("kind"))
                }
                Some(row) => drop(self.rows.insert(row.kind.clone(), row)),
                None => {}
            },
        }
        line.faults
    }

    /// Describes the differences from `self` to `other`, one line of text for each.
    pub fn diff(&self, other: &Self) -> Vec<String> {
        let mut lines = Vec::new();
        for (kind, row) in &self.rows {
            match other.rows.get(kind) {
                Some(new) if new == row => {}
                Some(new) => lines.push(format!("~ {kind}: {}", row.changes(new).join(", "))),
                None => lines.push(format!("- {kind}")),
            }
        }
        let added = other.rows.keys().filter(|kind| !self.rows.contains_key(*kind));
        lines.extend(added.map(|kind| format!("+ {kind}")));
        lines.extend(
            other.excluded_vms.difference(&self.excluded_vms).map(|vm| format!("+ vm:{vm}")),
        );
        lines.extend(
            self.excluded_vms.difference(&other.excluded_vms).map(|vm| format!("- vm:{vm}")),
        );
        lines
    }
}

impl Row {
    fn changes(&self, new: &Self) -> Vec<String> {
        let cells = |row: &Self| {
            vec![
                ("team", row.team.to_string()),
                ("class", format!("{:?}", row.class).to_lowercase()),
                ("weight", row.weight.to_string()),
                ("limit", row.limit.to_string()),
                ("queue", row.queue.to_string()),
                ("deadline", row.deadline.to_string()),
                ("repeat", row.repeatable.to_string()),
                ("retries", row.retries.to_string()),
                ("pack", row.pack.to_string()),
                ("spread", row.spread.to_string()),
                ("quota", row.quota.to_string()),
                ("sites", format!("{:?}", row.domain_weights)),
            ]
        };
        let pairs = cells(self).into_iter().zip(cells(new));
        let changed = pairs.filter(|(old, new)| old.1 != new.1);
        changed.map(|(old, new)| format!("{} {} -> {}", old.0, old.1, new.1)).collect()
    }

    /// Placement weight of `domain` for this kind of work.
    pub fn domain_weight(&self, domain: &str) -> u32 {
        self.domain_weights.get(domain).copied().unwrap_or(0)
    }
}
