//! The open connections of the other entries to an owner.
//!
//! An entry can have several connections for a while: it opens another one when it gives the former
//! up, and the owner may not know yet that the former one is dead. After a takeover, connections
//! that waited for the owner are registered in any order. So the order of registrations says
//! nothing: connections are ordered by the numbers that they got when they were accepted, and an
//! entry stays connected for as long as any of them is open.

use crate::id::Name;
use std::collections::BTreeMap;

/// The number of a connection, in the order in which this process accepted them.
pub type ConnectionNumber = u64;

/// The open connections of each entry, with the value `T` that is needed to use one.
#[derive(Debug)]
pub struct Connections<T> {
    entries: BTreeMap<Name, EntryConnections<T>>,
}

/// The connections of an entry that has connected at least once.
#[derive(Debug)]
struct EntryConnections<T> {
    /// The newest connection that was ever added. It is kept when that connection closes, so that
    /// what an older one tells is known to be outdated.
    newest: ConnectionNumber,
    open: BTreeMap<ConnectionNumber, T>,
}

/// The change made by adding a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addition {
    /// No connection of the entry that was added before is newer, whether that is still open or not.
    pub is_newest: bool,
    /// The connection is now used for sending to the entry.
    pub is_used: bool,
    /// The number of open connections of the entry.
    pub open: usize,
}

/// The change made by removing a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Removal {
    /// The connection was the one that was used for sending to the entry.
    pub was_used: bool,
    /// The connection that is used now; `None` if the entry has no open connection.
    pub used: Option<ConnectionNumber>,
    /// The number of open connections that the entry has left.
    pub open: usize,
}

impl<T> Default for Connections<T> {
    fn default() -> Self {
        Self { entries: BTreeMap::new() }
    }
}

impl<T> Connections<T> {
    /// Adds a connection of an entry. The newest open one is used for sending.
    pub fn add(&mut self, entry: &Name, number: ConnectionNumber, value: T) -> Addition {
        let known = self
            .entries
            .entry(entry.clone())
            .or_insert_with(|| EntryConnections { newest: number, open: BTreeMap::new() });
        let is_newest = number >= known.newest;
        known.newest = known.newest.max(number);
        known.open.insert(number, value);
        let is_used = known.used() == Some(number);
        Addition { is_newest, is_used, open: known.open.len() }
    }

    /// Removes a connection of an entry. Returns `None` if it is not open.
    pub fn remove(&mut self, entry: &Name, number: ConnectionNumber) -> Option<Removal> {
        let known = self.entries.get_mut(entry)?;
        let was_used = known.used() == Some(number);
        known.open.remove(&number)?;
        Some(Removal { was_used, used: known.used(), open: known.open.len() })
    }

    /// The connection that is used for sending to an entry, and its value.
    pub fn used(&self, entry: &Name) -> Option<(ConnectionNumber, &T)> {
        let (number, value) = self.entries.get(entry)?.open.last_key_value()?;
        Some((*number, value))
    }

    /// The entries with an open connection.
    pub fn connected(&self) -> impl Iterator<Item = &Name> {
        self.entries.iter().filter(|(_, known)| !known.open.is_empty()).map(|(entry, _)| entry)
    }
}

impl<T> EntryConnections<T> {
    fn used(&self) -> Option<ConnectionNumber> {
        self.open.last_key_value().map(|(number, _)| *number)
    }
}
