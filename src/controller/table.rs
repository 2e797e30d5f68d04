//! The current table, which results from applying the published tables in the order of the log.

use crate::id::Name;
use crate::record::TablePublish;
use crate::table::Table;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// The number of results of publishes that are kept for operators to query.
const VERDICTS: usize = 1024;

/// A table with its revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// The revision; each accepted publish adds one.
    pub rev: u64,
    /// The publish that it came from.
    pub publish: TablePublish,
}

/// The result of a publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The table took effect as this revision.
    Accepted(u64),
    /// Another publish came first.
    Lost {
        /// The current revision, on which the publish should have been based.
        rev: u64,
        /// The operator who published that revision.
        by: Name,
    },
    /// The table could not be parsed.
    Faulty,
}

/// The newest table in the log and the current table at this entry, which may be newer if a peer
/// sent it.
#[derive(Debug, Default)]
pub struct Tables {
    folded: Option<Revision>,
    current: Option<Revision>,
    table: Arc<Table>,
    verdicts: VecDeque<(Name, Verdict)>,
}

impl Tables {
    /// Applies a publish from the log; returns whether a new revision took effect here.
    ///
    /// A publish whose id has a result already is ignored, so a repeated append has one effect.
    pub fn publish(&mut self, publish: &TablePublish) -> bool {
        if self.verdict(&publish.id).is_some() {
            return false;
        }
        let rev = self.folded.as_ref().map_or(0, |folded| folded.rev);
        let verdict = match Table::parse(&publish.csv) {
            Err(_) => Verdict::Faulty,
            Ok(_) if publish.base != rev => Verdict::Lost { rev, by: self.folded_by() },
            Ok(_) => Verdict::Accepted(rev + 1),
        };
        let accepted = verdict == Verdict::Accepted(rev + 1);
        self.note(publish.id.clone(), verdict);
        if !accepted {
            return false;
        }
        let new = Revision { rev: rev + 1, publish: publish.clone() };
        self.folded = Some(new.clone());
        self.adopt(new)
    }

    /// Takes the log's newest revision from a snapshot; returns whether it took effect here.
    pub fn restore(&mut self, new: Option<Revision>) -> bool {
        let Some(new) = new else { return false };
        if new.rev <= self.folded.as_ref().map_or(0, |folded| folded.rev) {
            return false;
        }
        self.note(new.publish.id.clone(), Verdict::Accepted(new.rev));
        self.folded = Some(new.clone());
        self.adopt(new)
    }

    /// Takes a revision from a peer; returns whether it is newer and took effect here.
    pub fn adopt(&mut self, new: Revision) -> bool {
        if new.rev <= self.rev() {
            return false;
        }
        let Ok(table) = Table::parse(&new.publish.csv) else { return false };
        self.table = Arc::new(table);
        self.current = Some(new);
        true
    }

    /// The newest revision in the log, for a snapshot.
    pub fn folded(&self) -> Option<&Revision> {
        self.folded.as_ref()
    }

    fn folded_by(&self) -> Name {
        self.folded.as_ref().map_or_else(|| "".into(), |folded| folded.publish.by.clone())
    }

    fn note(&mut self, id: Name, verdict: Verdict) {
        if self.verdict(&id).is_some() {
            return;
        }
        self.verdicts.push_back((id, verdict));
        if self.verdicts.len() > VERDICTS {
            self.verdicts.pop_front();
        }
    }

    /// The result of a publish, if it is known.
    pub fn verdict(&self, id: &str) -> Option<&Verdict> {
        self.verdicts.iter().rev().find(|(seen, _)| **seen == *id).map(|(_, verdict)| verdict)
    }

    /// The number of the current revision; 0 before the first.
    pub fn rev(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.rev)
    }

    /// The current revision with the text of its table.
    pub fn current(&self) -> Option<&Revision> {
        self.current.as_ref()
    }

    /// The current table.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }
}
