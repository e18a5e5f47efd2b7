//! JSON response bodies of the object API.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::store::{InstanceEntry, VersionedValue};

/// An object; the value keeps the exact bytes that were written.
#[derive(Deserialize)]
pub(crate) struct ObjectResponse {
    version: u64,
    value: Box<RawValue>,
}

impl From<ObjectResponse> for VersionedValue {
    fn from(body: ObjectResponse) -> Self {
        Self {
            version: body.version,
            value: Bytes::from(String::from(Box::<str>::from(body.value))),
        }
    }
}

/// The version that a write produced.
#[derive(Deserialize)]
pub(crate) struct VersionResponse {
    pub(crate) version: u64,
}

/// The current version of an object whose write was rejected with a conflict.
#[derive(Default, Deserialize)]
pub(crate) struct ConflictResponse {
    pub(crate) version: u64,
}

/// One page of keys.
#[derive(Deserialize)]
pub(crate) struct ListResponse {
    entries: Vec<ListEntry>,
}

#[derive(Deserialize)]
struct ListEntry {
    key: String,
    version: u64,
}

impl From<ListResponse> for Vec<(String, u64)> {
    fn from(body: ListResponse) -> Self {
        let entries = body.entries.into_iter();
        entries.map(|entry| (entry.key, entry.version)).collect()
    }
}

/// The instance list.
#[derive(Deserialize)]
pub(crate) struct InstancesResponse {
    pub(crate) instances: Vec<InstanceEntry>,
}
