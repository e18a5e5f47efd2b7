//! Publication of configuration changes with conditional writes of the head object.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use cornelarch_core::{
    base::EnvironmentName,
    config::{Delta, Document, HeadObject, SectionChange, base_key, head_key, split_base},
};
use cornelarch_platform::{ObjectStore, StoreError};
use serde::de::DeserializeOwned;

use crate::operator::{ToolError, report::describe_changes};

/// Maximum number of attempts to write the head and find out whether the write took effect.
const MAX_RESOLVE_ATTEMPTS: u32 = 5;
/// Delay after the first such attempt, doubled each time.
const INITIAL_RESOLVE_DELAY: Duration = Duration::from_millis(100);

/// A head object together with its object version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedHead {
    /// The version of the stored object, for conditional writes.
    pub object_version: u64,
    /// The head.
    pub head: HeadObject,
}

/// A change to be published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishRequest {
    /// The environment.
    pub environment: EnvironmentName,
    /// The name of the operator who makes the change.
    pub operator: String,
    /// The operation id, which makes repeated commands idempotent.
    pub operation_id: String,
    /// The head that the change is based on; `None` for a new environment.
    pub based_on: Option<VersionedHead>,
    /// The document before the change.
    pub old: Option<Document>,
    /// The document after the change.
    pub new: Document,
}

/// A published change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Published {
    /// The version of the document.
    pub version: u64,
    /// Whether an earlier attempt with the same operation id published it.
    pub already_published: bool,
}

/// Reads the head of an environment, or `None` if there is none.
///
/// # Errors
///
/// Returns a [`ToolError`] if the platform request fails or the object is invalid.
pub async fn read_head<S: ObjectStore>(
    store: &S,
    environment: &EnvironmentName,
) -> Result<Option<VersionedHead>, ToolError> {
    let read = read_object(store, &head_key(environment)).await?;
    Ok(read.map(|(object_version, head)| VersionedHead {
        object_version,
        head,
    }))
}

/// Reads the newest document of a head from its base and its deltas.
///
/// # Errors
///
/// Returns a [`ToolError`] if a platform request fails or an object is invalid.
pub async fn read_document<S: ObjectStore>(
    store: &S,
    environment: &EnvironmentName,
    head: &HeadObject,
) -> Result<Document, ToolError> {
    let mut text = String::new();
    for part in 0..head.base_parts {
        let key = base_key(environment, &head.base_id, part);
        let part: Option<(u64, String)> = read_object(store, &key).await?;
        let (_, part) = part.ok_or_else(|| ToolError::InvalidObject {
            key,
            message: "a part of the base is missing".to_owned(),
        })?;
        text.push_str(&part);
    }
    let key = head_key(environment);
    head.build(&text)
        .map_err(|error| ToolError::head(&key, &error))
}

/// Reads a JSON object with its version, or `None` if there is none.
pub(crate) async fn read_object<S: ObjectStore, T: DeserializeOwned>(
    store: &S,
    key: &str,
) -> Result<Option<(u64, T)>, ToolError> {
    let read = match store.get(key).await {
        Ok(read) => read,
        Err(StoreError::NotFound { .. }) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let value = serde_json::from_slice(&read.value).map_err(|error| ToolError::InvalidObject {
        key: key.to_owned(),
        message: error.to_string(),
    })?;
    Ok(Some((read.version, value)))
}

/// Encodes an object as JSON.
pub(crate) fn encode<T: serde::Serialize>(key: &str, value: &T) -> Result<Bytes, ToolError> {
    let bytes = serde_json::to_vec(value).map_err(|error| ToolError::InvalidObject {
        key: key.to_owned(),
        message: error.to_string(),
    })?;
    Ok(Bytes::from(bytes))
}

/// Returns the current time in seconds since the Unix epoch.
pub(crate) fn unix_time() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

/// Publishes a change, unless another change was published since the head was read.
///
/// If the response of a write is lost, the head is read again. A delta with the operation id shows
/// that the write took effect. The same bytes are written again only while the stored head is
/// still the one that the change is based on.
pub(crate) async fn publish<S: ObjectStore>(
    store: &S,
    request: &PublishRequest,
) -> Result<Published, ToolError> {
    let mut request = request.clone();
    loop {
        let (expected, head) = build_head(store, &request).await?;
        let key = head_key(&request.environment);
        let value = encode(&key, &head)?;
        match put_head(store, &request, expected, value).await? {
            PutOutcome::Published(published) => {
                if head.needs_rebase() {
                    write_new_base(store, &request, expected + 1, &head).await;
                }
                return Ok(published);
            }
            PutOutcome::Rebased(read) => request.based_on = Some(read),
        }
    }
}

/// Outcome of a write of the head.
enum PutOutcome {
    Published(Published),
    /// Another operator wrote a new base for the same version. The change can be based on it.
    Rebased(VersionedHead),
}

async fn build_head<S: ObjectStore>(
    store: &S,
    request: &PublishRequest,
) -> Result<(u64, HeadObject), ToolError> {
    let changes = match &request.old {
        Some(old) => old.diff(&request.new),
        None => Vec::new(),
    };
    let delta = Delta {
        version: 0,
        operator: request.operator.clone(),
        operation_id: request.operation_id.clone(),
        time: unix_time(),
        changes,
        base_only: false,
    };
    let Some(based_on) = &request.based_on else {
        let parts = write_base(store, request, 1, &request.new).await?;
        return Ok((0, HeadObject::initial(delta, parts)));
    };
    let head = &based_on.head;
    let next = if delta.is_large() {
        let parts = write_base(store, request, head.version + 1, &request.new).await?;
        head.with_base_delta(delta, parts)
    } else {
        head.with_delta(delta)
    };
    Ok((based_on.object_version, next))
}

async fn put_head<S: ObjectStore>(
    store: &S,
    request: &PublishRequest,
    expected: u64,
    value: Bytes,
) -> Result<PutOutcome, ToolError> {
    let key = head_key(&request.environment);
    let mut delay = INITIAL_RESOLVE_DELAY;
    for _ in 0..MAX_RESOLVE_ATTEMPTS {
        let error = match store.put(&key, expected, value.clone()).await {
            Ok(_) => None,
            Err(error @ (StoreError::Conflict { .. } | StoreError::Unknown { .. })) => Some(error),
            Err(error) => return Err(error.into()),
        };
        let Some(source) = error else {
            let version = request
                .based_on
                .as_ref()
                .map_or(0, |read| read.head.version)
                + 1;
            return Ok(PutOutcome::Published(Published {
                version,
                already_published: false,
            }));
        };
        let read = match read_head(store, &request.environment).await {
            Ok(read) => read,
            // The write may have taken effect, so a failed read must not be reported as a failed
            // write.
            Err(_) if matches!(source, StoreError::Unknown { .. }) => {
                tokio::time::sleep(delay).await;
                delay *= 2;
                continue;
            }
            Err(error) => return Err(error),
        };
        let newer = read.filter(|read| read.object_version != expected);
        if let Some(newer) = newer {
            return resolve_newer_head(store, request, newer).await;
        }
        tokio::time::sleep(delay).await;
        delay *= 2;
    }
    Err(ToolError::ResultUnknown {
        source: StoreError::Unknown {
            key,
            reason: format!("no response in {MAX_RESOLVE_ATTEMPTS} attempts"),
        },
        operation_id: request.operation_id.clone(),
    })
}

/// Determines whether a newer head contains this operation or the change of another operator.
async fn resolve_newer_head<S: ObjectStore>(
    store: &S,
    request: &PublishRequest,
    newer: VersionedHead,
) -> Result<PutOutcome, ToolError> {
    if let Some(delta) = newer.head.find_operation(&request.operation_id) {
        return Ok(PutOutcome::Published(Published {
            version: delta.version,
            already_published: false,
        }));
    }
    let expected = request.based_on.as_ref();
    let expected = expected.map_or(0, |read| read.head.version);
    if newer.head.version == expected {
        return Ok(PutOutcome::Rebased(newer));
    }
    let (environment, old) = (&request.environment, request.old.as_ref());
    Err(build_conflict(store, environment, old, expected, &newer.head).await)
}

/// Builds the conflict error, which lists what was changed since the expected version.
pub(crate) async fn build_conflict<S: ObjectStore>(
    store: &S,
    environment: &EnvironmentName,
    old: Option<&Document>,
    expected: u64,
    head: &HeadObject,
) -> ToolError {
    let since = head.deltas.iter().filter(|delta| delta.version > expected);
    let mut lines: Vec<String> = since
        .map(|delta| {
            let (version, operator) = (delta.version, &delta.operator);
            let sections = format_sections(&delta.changes);
            format!("version {version} by {operator}: {sections}")
        })
        .collect();
    if let (Some(old), Ok(new)) = (old, read_document(store, environment, head).await) {
        lines.extend(describe_changes(Some(old), &old.diff(&new)));
    }
    ToolError::Conflict {
        expected,
        version: head.version,
        changes: lines,
    }
}

/// Formats the changed sections as one line.
pub(crate) fn format_sections(changes: &[SectionChange]) -> String {
    if changes.is_empty() {
        return "whole document".to_owned();
    }
    let sections = changes.iter().map(|change| match &change.body {
        Some(_) => format!("[{}]", change.section),
        None => format!("[{}] removed", change.section),
    });
    sections.collect::<Vec<String>>().join(", ")
}

/// Writes the parts of a base and returns their number. The key prefix contains the operation id,
/// so an existing part was written by an earlier attempt of this operation.
async fn write_base<S: ObjectStore>(
    store: &S,
    request: &PublishRequest,
    version: u64,
    document: &Document,
) -> Result<usize, ToolError> {
    let text = document.to_text();
    let parts = split_base(&text);
    for (part, content) in parts.iter().enumerate() {
        let folder = format!("{version}-{}", request.operation_id);
        let key = base_key(&request.environment, &folder, part);
        let content = encode(&key, content)?;
        match store.put(&key, 0, content.clone()).await {
            Ok(_) => {}
            Err(StoreError::Conflict { .. } | StoreError::Unknown { .. }) => {
                if store.get(&key).await?.value != content {
                    let message = "a different text is stored under this operation id".to_owned();
                    return Err(ToolError::InvalidObject { key, message });
                }
            }
            Err(error) => return Err(error.into()),
        }
    }
    Ok(parts.len())
}

/// Writes a new base after many deltas. On failure the old base remains valid, and the next change
/// retries.
async fn write_new_base<S: ObjectStore>(
    store: &S,
    request: &PublishRequest,
    object_version: u64,
    head: &HeadObject,
) {
    let Ok(parts) = write_base(store, request, head.version, &request.new).await else {
        return;
    };
    let rebased = head.rebased(&request.operation_id, parts);
    let key = head_key(&request.environment);
    let Ok(value) = encode(&key, &rebased) else {
        return;
    };
    if store.put(&key, object_version, value).await.is_ok() {
        delete_old_bases(store, &request.environment, head.base_version).await;
    }
}

/// Deletes all bases older than the previous one. Instances may still be reading the previous one.
async fn delete_old_bases<S: ObjectStore>(store: &S, environment: &EnvironmentName, previous: u64) {
    let prefix = format!("config/{environment}/base/");
    let Ok(keys) = store.list(&prefix, "").await else {
        return;
    };
    for (key, version) in keys {
        let folder = key.strip_prefix(&prefix).unwrap_or_default();
        let base_version = folder
            .split('-')
            .next()
            .and_then(|number| number.parse::<u64>().ok());
        if base_version.is_some_and(|base| base < previous) {
            // A failure is ignored, because a remaining object only takes up space.
            let _ = store.delete(&key, version).await;
        }
    }
}
