//! The edge between the gateway and the platform on which it runs.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use cornelarch_core::{base::UpstreamName, placement::UpstreamRecord, route::RouteDocument};
use http::HeaderName;
use snafu::Snafu;

/// Names the headers of requests and answers by what they carry.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; answers repeat it.
    pub attempt_id: HeaderName,
    /// Milliseconds that the sender waits for the answer.
    pub deadline_ms: HeaderName,
    /// Key of a customer; not passed on.
    pub customer_key: HeaderName,
    /// Name of the customer, for the upstream.
    pub customer: HeaderName,
    /// Tokens of the prompt and the largest number of tokens of the answer, as `P,A`.
    pub token_count: HeaderName,
    /// Parts of the prompt as `HEX:TOKENS,HEX:TOKENS`.
    pub prompt_parts: HeaderName,
    /// Rank of the request at an engine, 0 to 9.
    pub engine_priority: HeaderName,
    /// Name of the upstream that alone may run the request.
    pub expected_upstream: HeaderName,
    /// Load of an upstream as `RUNNING,WAITING,SLOTS`.
    pub upstream_load: HeaderName,
    /// Marks the answer to a request that the upstream did not run.
    pub not_run: HeaderName,
    /// Proof that the answer is that of the upstream.
    pub answer_seal: HeaderName,
    /// Headers that only the gateway may set, and that are removed from what callers send.
    pub reserved: Vec<HeaderName>,
}

/// Tells how new the result of a read has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAge {
    /// The state at the time of the call.
    Latest,
    /// A state that may be seconds old, for a smaller price.
    Any,
}

/// Carries a value with the revision at which it was read.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// Revision of the store.
    pub revision: u64,
    /// The value.
    pub value: T,
}

/// Carries what a watch of the configuration returned.
#[derive(Clone, Debug, Default)]
pub struct DocumentChange {
    /// The newest configuration, if there is a new one.
    pub document: Option<RouteDocument>,
    /// Older versions that were transferred along with it, for nothing.
    pub superseded: usize,
}

/// Lists the upstreams of a store at one revision.
pub type DirectoryList = Versioned<Vec<UpstreamRecord>>;

/// Carries changes of the list of upstreams up to a revision.
pub type DirectoryChange = Versioned<Vec<DirectoryEvent>>;

/// Describes one change of the list of upstreams.
#[derive(Clone, Debug)]
pub enum DirectoryEvent {
    /// An upstream was added or changed.
    Listed(UpstreamRecord),
    /// An upstream is no longer listed, or its entry names no usable upstream.
    Unlisted(UpstreamName),
}

/// Carries a stored object of the gateway's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Revision of its last change; 0 if it does not exist.
    pub revision: u64,
    /// The stored JSON; empty if it does not exist.
    pub value: Bytes,
}

/// Lists the ways in which a call to the platform fails.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EdgeError {
    /// The call was certainly not carried out.
    #[snafu(display("platform is unavailable: {reason}"))]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// The call exceeds the rate of the platform and was not carried out.
    #[snafu(display("platform call exceeds the rate limit"))]
    RateLimited,
    /// A write may have taken effect or may still do so.
    #[snafu(display("result of the write is unknown: {reason}"))]
    Unknown {
        /// What was seen.
        reason: String,
    },
    /// The object has another revision than expected.
    #[snafu(display("object has another revision than expected"))]
    Conflict,
    /// The history since the given revision is gone; a new list is needed.
    #[snafu(display("history of the platform is gone"))]
    HistoryGone,
    /// The answer cannot be used.
    #[snafu(display("answer of the platform cannot be used: {reason}"))]
    Unusable {
        /// What is wrong with it.
        reason: String,
    },
}

/// Reads configuration and upstreams from a platform and stores the gateway's own objects there.
pub trait PlatformEdge: Send + Sync + 'static {
    /// Reads the configuration; `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn read_document(
        &self,
        age: ReadAge,
    ) -> impl Future<Output = Result<Versioned<Option<RouteDocument>>, EdgeError>> + Send;

    /// Waits at most `wait` for a configuration after `revision`.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn watch_document(
        &self,
        revision: u64,
        wait: Duration,
        age: ReadAge,
    ) -> impl Future<Output = Result<Versioned<DocumentChange>, EdgeError>> + Send;

    /// Reads all upstreams.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn read_directory(
        &self,
        age: ReadAge,
    ) -> impl Future<Output = Result<DirectoryList, EdgeError>> + Send;

    /// Waits at most `wait` for changes of the upstreams after `revision`.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn watch_directory(
        &self,
        revision: u64,
        wait: Duration,
        age: ReadAge,
    ) -> impl Future<Output = Result<DirectoryChange, EdgeError>> + Send;

    /// Reads an object of the gateway's own.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn read_object(
        &self,
        name: &str,
        age: ReadAge,
    ) -> impl Future<Output = Result<StoredObject, EdgeError>> + Send;

    /// Writes an object if it has the expected revision (0: it does not exist) and returns the new
    /// revision.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn write_object(
        &self,
        name: &str,
        expected_revision: u64,
        value: Bytes,
    ) -> impl Future<Output = Result<u64, EdgeError>> + Send;
}
