//! Stored form of a configuration: the head object, its deltas and the base.
//!
//! The base is the full text of one version, stored in parts. The head object lists the deltas
//! that lead from the base to the newest version.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    base::{EnvironmentName, InstanceName},
    config::{Document, DocumentError, SectionName},
};

/// Maximum size of a base part, in bytes. The platform limits an object to 1 MB.
pub const BASE_PART_BYTES: usize = 512 * 1024;

/// Number of deltas since the base above which the operator tool writes a new base.
///
/// Watchers read the whole head on every change, so more deltas mean more traffic. With 64 deltas
/// a watcher received 2.4 KB/s at 12,000 changes a day (`cornelarch-measure config`), out of
/// 6 KB/s for all control traffic.
pub const REBASE_DELTAS: usize = 24;

/// Number of deltas that remain in the head when a new base is written. A watcher that is only
/// a few versions behind then does not have to read the base.
pub const RETAINED_DELTAS: usize = 8;

/// Maximum size of the changes of a delta in the head, in bytes. A larger change is stored as a
/// new base.
const MAX_DELTA_BYTES: usize = 256 * 1024;

/// The replacement or removal of one section.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SectionChange {
    /// Identifies the section by kind and name.
    pub section: SectionName,
    /// The new body, or `None` if the section is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

/// A change of a document that leads from one version to the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the change leads to.
    pub version: u64,
    /// The operator who made the change.
    pub operator: String,
    /// The id by which the operator tool recognises its own change after a lost response.
    pub operation_id: String,
    /// The time of the change, in seconds since the Unix epoch.
    pub time: u64,
    /// The changed sections; empty if `base_only` is set.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<SectionChange>,
    /// Whether the change is stored only as a new base because of its size.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub base_only: bool,
}

/// The content of object `config/<environment>/head`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeadObject {
    /// The newest version.
    pub version: u64,
    /// The version that the base parts contain; later deltas are applied to it.
    pub base_version: u64,
    /// The path segment of the base parts. It consists of the version and the operation id of the
    /// writer, so that concurrent writers do not overwrite each other's parts.
    pub base_id: String,
    /// The number of base parts, which are numbered from 0.
    pub base_parts: usize,
    /// The newest deltas, in ascending order of versions.
    pub deltas: Vec<Delta>,
}

/// The reason why a document cannot be built or updated.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// A delta between two versions is missing.
    #[snafu(display("no delta leads from version {from} to version {to}"))]
    MissingDelta {
        /// The version after which a delta is missing.
        from: u64,
        /// The target version.
        to: u64,
    },
    /// The text or a delta does not result in a valid document.
    #[snafu(display("version {version} is not valid: {}", join_errors(errors)))]
    Invalid {
        /// The version that was rejected.
        version: u64,
        /// The validation errors.
        errors: Vec<DocumentError>,
    },
}

fn join_errors(errors: &[DocumentError]) -> String {
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    errors.join("; ")
}

impl HeadObject {
    /// Creates the head of a new environment at version 1, with the document as its base.
    #[must_use]
    pub fn initial(delta: Delta, base_parts: usize) -> Self {
        let empty = Self {
            version: 0,
            base_version: 0,
            base_id: String::new(),
            base_parts: 0,
            deltas: Vec::new(),
        };
        empty.with_base_delta(delta, base_parts)
    }

    /// Returns the head with `delta` appended as the next version.
    #[must_use]
    pub fn with_delta(&self, mut delta: Delta) -> Self {
        let mut head = self.clone();
        head.version += 1;
        delta.version = head.version;
        delta.base_only = false;
        head.deltas.push(delta);
        head
    }

    /// Returns the head with `delta` appended as a version that is stored only as a new base.
    #[must_use]
    pub fn with_base_delta(&self, mut delta: Delta, base_parts: usize) -> Self {
        let mut head = self.clone();
        head.version += 1;
        head.base_id = base_id(head.version, &delta.operation_id);
        head.base_version = head.version;
        head.base_parts = base_parts;
        delta.version = head.version;
        delta.base_only = true;
        delta.changes.clear();
        head.deltas.push(delta);
        head.drop_old_deltas();
        head
    }

    /// Returns the head with a new base at the current version.
    #[must_use]
    pub fn rebased(&self, operation_id: &str, base_parts: usize) -> Self {
        let mut head = self.clone();
        head.base_id = base_id(head.version, operation_id);
        head.base_version = head.version;
        head.base_parts = base_parts;
        head.drop_old_deltas();
        head
    }

    /// Returns whether there are more than [`REBASE_DELTAS`] deltas since the base.
    #[must_use]
    pub fn needs_rebase(&self) -> bool {
        let since_base = self
            .deltas
            .iter()
            .filter(|delta| delta.version > self.base_version);
        since_base.count() > REBASE_DELTAS
    }

    /// Returns the delta with the given operation id.
    #[must_use]
    pub fn find_operation(&self, operation_id: &str) -> Option<&Delta> {
        self.deltas
            .iter()
            .find(|delta| delta.operation_id == operation_id)
    }

    /// Returns the deltas that lead from `version` to the newest version, or `None` if the base
    /// has to be read.
    #[must_use]
    pub fn deltas_after(&self, version: u64) -> Option<&[Delta]> {
        deltas_between(&self.deltas, version, self.version)
    }

    /// Builds the newest document from the text of the base.
    ///
    /// # Errors
    ///
    /// Returns a [`HeadError`] if a delta is missing or a version is not valid.
    pub fn build(&self, base_text: &str) -> Result<Document, HeadError> {
        let base = Document::parse(base_text).map_err(|errors| HeadError::Invalid {
            version: self.base_version,
            errors,
        })?;
        let deltas = self.deltas_after(self.base_version);
        let deltas = deltas.ok_or(HeadError::MissingDelta {
            from: self.base_version,
            to: self.version,
        })?;
        apply_deltas(&base, deltas)
    }

    fn drop_old_deltas(&mut self) {
        let excess = self.deltas.len().saturating_sub(RETAINED_DELTAS);
        self.deltas.drain(..excess);
    }
}

impl Delta {
    /// Returns whether the change is too large for the head and has to be stored as a new base.
    #[must_use]
    pub fn is_large(&self) -> bool {
        let bytes: usize = self
            .changes
            .iter()
            .map(|change| change.body.as_ref().map_or(0, String::len) + change.section.name.len())
            .sum();
        bytes > MAX_DELTA_BYTES
    }
}

fn base_id(version: u64, operation_id: &str) -> String {
    format!("{version}-{operation_id}")
}

/// Returns the contiguous part of `deltas` that leads from version `from` to version `to`, or
/// `None` if a delta is missing.
pub(super) fn deltas_between(deltas: &[Delta], from: u64, to: u64) -> Option<&[Delta]> {
    let start = deltas.partition_point(|delta| delta.version <= from);
    let end = deltas.partition_point(|delta| delta.version <= to);
    let part = &deltas[start..end.max(start)];
    let mut expected = from;
    for delta in part {
        expected += 1;
        if delta.version != expected || delta.base_only {
            return None;
        }
    }
    (expected == to).then_some(part)
}

/// Applies `deltas` in order.
pub(super) fn apply_deltas(document: &Document, deltas: &[Delta]) -> Result<Document, HeadError> {
    let mut document = document.clone();
    for delta in deltas {
        document = document
            .apply(&delta.changes)
            .map_err(|errors| HeadError::Invalid {
                version: delta.version,
                errors,
            })?;
    }
    Ok(document)
}

/// The record of a version that was proven in the trial environment, stored as object
/// `config/trial/proven`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProvenVersion {
    /// The proven version of the trial environment.
    pub version: u64,
    /// The operator who recorded the version as proven.
    pub operator: String,
    /// The time of the record, in seconds since the Unix epoch.
    pub time: u64,
    /// The instances on which the version was active.
    pub instances: Vec<InstanceName>,
    /// The number of requests that these instances answered under the version.
    pub answered: u64,
}

/// Returns the object key of the head.
#[must_use]
pub fn head_key(environment: &EnvironmentName) -> String {
    format!("config/{environment}/head")
}

/// Returns the object key of a base part.
#[must_use]
pub fn base_key(environment: &EnvironmentName, base_id: &str, part: usize) -> String {
    format!("config/{environment}/base/{base_id}/{part}")
}

/// Returns the object key of the [`ProvenVersion`].
#[must_use]
pub fn proven_key(environment: &EnvironmentName) -> String {
    format!("config/{environment}/proven")
}

/// Splits the text of a base into parts of at most [`BASE_PART_BYTES`], at line boundaries.
#[must_use]
pub fn split_base(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > BASE_PART_BYTES {
        // Names and values are ASCII or short, so every part contains a line end.
        let window = &rest.as_bytes()[..BASE_PART_BYTES];
        let end = window.iter().rposition(|byte| *byte == b'\n');
        let (part, tail) = rest.split_at(end.map_or(BASE_PART_BYTES, |end| end + 1));
        parts.push(part);
        rest = tail;
    }
    parts.push(rest);
    parts
}
