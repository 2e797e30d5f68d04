//! Splits records that are larger than the store accepts, and batches that are larger than one
//! append.
//!
//! A record is stored as its first part under its own key, and further parts under keys with a
//! number. All parts of a record, and the removal of parts that it had before, are in one append,
//! so a reader finds either the earlier value or the new one. Different records of a batch may be
//! in different appends, as if they were of different batches.

use std::borrow::Cow;
use std::collections::HashMap;

/// Separates the key of a record from the number of a part. It needs no escaping in URLs.
const PART_SEPARATOR: char = '~';
/// The bytes of a stored record beside its key and its value: two lengths.
const RECORD_OVERHEAD: usize = 5;
/// The longest suffix of the key of a part.
const MAX_SUFFIX_BYTES: usize = 12;

/// The sizes that the store accepts, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SizeLimits {
    /// The size of a record, with its key.
    pub record: usize,
    /// The size of all records of an append.
    pub append: usize,
}

impl SizeLimits {
    /// Creates limits from settings in which 0 means unlimited.
    pub fn new(record: usize, append: usize) -> Self {
        let or_unlimited = |limit: usize| if limit == 0 { usize::MAX } else { limit };
        Self { record: or_unlimited(record), append: or_unlimited(append) }
    }

    /// The size of a value that fits into one record with a key.
    fn value_bytes(&self, key: &str) -> usize {
        self.record.saturating_sub(RECORD_OVERHEAD + key.len() + MAX_SUFFIX_BYTES).max(1)
    }
}

/// Records of a batch that are appended together.
#[derive(Debug, Default, PartialEq)]
pub struct Append<'a> {
    /// Pairs of key and value; an empty value deletes the key.
    pub records: Vec<(Cow<'a, str>, &'a [u8])>,
    /// The size of all records in bytes.
    pub size: usize,
    /// The number of further parts of each record.
    part_counts: Vec<(&'a str, usize)>,
}

impl<'a> Append<'a> {
    fn push(&mut self, key: Cow<'a, str>, value: &'a [u8]) {
        self.size += RECORD_OVERHEAD + key.len() + value.len();
        self.records.push((key, value));
    }

    fn add(&mut self, mut other: Self) {
        self.size += other.size;
        self.records.append(&mut other.records);
        self.part_counts.append(&mut other.part_counts);
    }
}

/// The records in the store that have several parts.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RecordParts {
    /// The number of further parts by key.
    counts: HashMap<String, usize>,
}

impl RecordParts {
    /// Splits the records of a batch into appends within the limits. A record that is larger than
    /// an append has one of its own.
    pub fn split<'a>(
        &self,
        records: impl IntoIterator<Item = (&'a str, &'a [u8])>,
        limits: SizeLimits,
    ) -> Vec<Append<'a>> {
        let mut appends: Vec<Append<'a>> = Vec::new();
        for (key, value) in records {
            let parts = self.split_record(key, value, limits);
            match appends.last_mut() {
                Some(last) if last.size.saturating_add(parts.size) <= limits.append => {
                    last.add(parts)
                }
                _ => appends.push(parts),
            }
        }
        appends
    }

    /// Splits one record. Parts that it has in the store and does not need any more are deleted.
    fn split_record<'a>(&self, key: &'a str, value: &'a [u8], limits: SizeLimits) -> Append<'a> {
        let (first, rest) = value.split_at(value.len().min(limits.value_bytes(key)));
        let mut append = Append::default();
        append.push(key.into(), first);
        let mut count = 0;
        for part in rest.chunks(limits.value_bytes(key)) {
            count += 1;
            append.push(part_key(key, count).into(), part);
        }
        let stored = self.counts.get(key).map_or(0, |count| *count);
        for number in count + 1..=stored {
            append.push(part_key(key, number).into(), b"");
        }
        append.part_counts.push((key, count));
        append
    }

    /// Notes that an append is in the store.
    pub fn record_append(&mut self, append: &Append<'_>) {
        for (key, count) in &append.part_counts {
            match count {
                0 => drop(self.counts.remove(*key)),
                count => drop(self.counts.insert(key.to_string(), *count)),
            }
        }
    }

    /// Joins the parts of records that were read from the store.
    pub fn join(
        records: impl IntoIterator<Item = (String, Vec<u8>)>,
    ) -> (Vec<(String, Vec<u8>)>, Self) {
        let (parts, mut whole): (Vec<_>, Vec<_>) =
            records.into_iter().partition(|(key, _)| parse_part_key(key).is_some());
        let parts: HashMap<String, Vec<u8>> = parts.into_iter().collect();
        let mut counts = HashMap::new();
        if parts.is_empty() {
            return (whole, Self { counts });
        }
        for (key, value) in &mut whole {
            let mut count = 0;
            while let Some(part) = parts.get(&part_key(key, count + 1)) {
                count += 1;
                value.extend_from_slice(part);
            }
            if count > 0 {
                counts.insert(key.clone(), count);
            }
        }
        (whole, Self { counts })
    }
}

fn part_key(key: &str, number: usize) -> String {
    format!("{key}{PART_SEPARATOR}{number}")
}

/// Splits the key of a part into that of its record and the number of the part.
fn parse_part_key(key: &str) -> Option<(&str, usize)> {
    let (key, number) = key.rsplit_once(PART_SEPARATOR)?;
    let number = number.parse().ok().filter(|number| *number > 0)?;
    Some((key, number))
}
