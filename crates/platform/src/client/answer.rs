//! JSON answers of the object API.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::store::{InstanceEntry, VersionedValue};

/// Holds an object; the value keeps the bytes that were written.
#[derive(Deserialize)]
pub(crate) struct ObjectAnswer {
    version: u64,
    value: Box<RawValue>,
}

impl From<ObjectAnswer> for VersionedValue {
    fn from(answer: ObjectAnswer) -> Self {
        Self {
            version: answer.version,
            value: Bytes::from(String::from(Box::<str>::from(answer.value))),
        }
    }
}

/// Holds the version that a write produced.
#[derive(Deserialize)]
pub(crate) struct VersionAnswer {
    pub(crate) version: u64,
}

/// Holds the current version of an object whose write was refused.
#[derive(Default, Deserialize)]
pub(crate) struct ConflictAnswer {
    pub(crate) version: u64,
}

/// Holds one page of keys.
#[derive(Deserialize)]
pub(crate) struct ListAnswer {
    entries: Vec<ListEntry>,
}

#[derive(Deserialize)]
struct ListEntry {
    key: String,
    version: u64,
}

impl From<ListAnswer> for Vec<(String, u64)> {
    fn from(answer: ListAnswer) -> Self {
        let entries = answer.entries.into_iter();
        entries.map(|entry| (entry.key, entry.version)).collect()
    }
}

/// Holds the instance list.
#[derive(Deserialize)]
pub(crate) struct InstancesAnswer {
    pub(crate) instances: Vec<InstanceEntry>,
}
