//! The object API as a trait, with its data types and errors.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use cornelarch_core::base::DomainName;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// A value with the version that the platform assigned to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedValue {
    /// The version, which increases with every write; 0 means that the object does not exist.
    pub version: u64,
    /// The stored bytes; every object of this project is JSON.
    pub value: Bytes,
}

/// Whether an instance is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In service.
    Live,
    /// Shutting down; receives no new work.
    Leaving,
}

/// An entry of the platform's instance list, which is eventually consistent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The name of the router instance or upstream.
    pub name: String,
    /// The address as `IP:port`.
    pub address: String,
    /// The failure domain.
    pub domain: DomainName,
    /// Whether the instance is in service.
    pub state: InstanceState,
}

/// An error of a platform call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The expected version is not the current one.
    #[snafu(display("object {key:?} is at version {current}, not at the expected one"))]
    Conflict {
        /// The key of the object.
        key: String,
        /// The current version, 0 if the object does not exist.
        current: u64,
    },
    /// The object does not exist.
    #[snafu(display("object {key:?} does not exist"))]
    NotFound {
        /// The key of the object.
        key: String,
    },
    /// The call was certainly not executed.
    #[snafu(display("platform is unavailable: {reason}"))]
    Unavailable {
        /// What the client saw.
        reason: String,
    },
    /// The write may have taken effect, but its response was lost.
    #[snafu(display("result of the write to {key:?} is unknown: {reason}"))]
    Unknown {
        /// The key of the object.
        key: String,
        /// What the client saw.
        reason: String,
    },
    /// The call exceeds the platform's rate limit and was not executed.
    #[snafu(display("platform call exceeds the rate limit"))]
    RateLimited,
    /// The value is larger than [`MAX_VALUE_BYTES`].
    #[snafu(display("value of {key:?} has {bytes} bytes, more than {MAX_VALUE_BYTES}"))]
    TooLarge {
        /// The key of the object.
        key: String,
        /// The size of the value, in bytes.
        bytes: usize,
    },
}

/// Result of a platform call.
pub type Result<T, E = StoreError> = std::result::Result<T, E>;

/// A store of versioned objects with conditional updates, watches and an instance list.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotFound`], [`StoreError::Unavailable`] or
    /// [`StoreError::RateLimited`].
    fn get(&self, key: &str) -> impl Future<Output = Result<VersionedValue>> + Send;

    /// Writes an object if its version is `expected_version`, where 0 means that it does not
    /// exist, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns any [`StoreError`] except [`StoreError::NotFound`].
    fn put(
        &self,
        key: &str,
        expected_version: u64,
        value: Bytes,
    ) -> impl Future<Output = Result<u64>> + Send;

    /// Deletes an object if its version is `expected_version`.
    ///
    /// # Errors
    ///
    /// Returns any [`StoreError`] except [`StoreError::TooLarge`].
    fn delete(&self, key: &str, expected_version: u64) -> impl Future<Output = Result<()>> + Send;

    /// Lists at most 1,000 keys that begin with `prefix` and sort after `after`, with their
    /// versions.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] or [`StoreError::RateLimited`].
    fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> impl Future<Output = Result<Vec<(String, u64)>>> + Send;

    /// Waits until the object has a version above `after_version`, and returns `None` if that does
    /// not happen within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] or [`StoreError::RateLimited`].
    fn watch(
        &self,
        key: &str,
        after_version: u64,
        timeout: Duration,
    ) -> impl Future<Output = Result<Option<VersionedValue>>> + Send;

    /// Reads the instance list.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] or [`StoreError::RateLimited`].
    fn instances(&self) -> impl Future<Output = Result<Vec<InstanceEntry>>> + Send;
}
