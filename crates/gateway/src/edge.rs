//! Interface between the gateway and the platform on which it runs.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use cornelarch_core::{
    base::UpstreamName,
    placement::{EvacuationEvent, EvacuationState, UpstreamRecord},
    route::RouteDocument,
};
use http::HeaderName;
use snafu::Snafu;

/// Names of the request and response headers that the gateway reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; responses echo it.
    pub attempt_id: HeaderName,
    /// Time for which the sender waits for the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// API key of a customer; not forwarded to upstreams.
    pub customer_key: HeaderName,
    /// Name of the customer, set by the gateway for the upstream.
    pub customer: HeaderName,
    /// Number of prompt tokens and maximum number of answer tokens, as `P,A`.
    pub token_count: HeaderName,
    /// Parts of the prompt as `HEX:TOKENS,HEX:TOKENS`.
    pub prompt_parts: HeaderName,
    /// Scheduling priority of the request at an engine, 0 to 9.
    pub engine_priority: HeaderName,
    /// Name of the only upstream that may run the request.
    pub expected_upstream: HeaderName,
    /// Load of an upstream as `RUNNING,WAITING,SLOTS`.
    pub upstream_load: HeaderName,
    /// Marks the response to a request that the upstream did not run.
    pub not_run: HeaderName,
    /// Proves that the upstream itself produced the response.
    pub response_seal: HeaderName,
    /// Marks, with the value `1`, the responses of an upstream that is shutting down.
    pub leaving: HeaderName,
    /// Requests a second that an upstream takes from all instances together, a decimal number.
    pub rate_limit: HeaderName,
    /// Headers that only the gateway may set; they are removed from the requests of callers.
    pub reserved: Vec<HeaderName>,
}

/// Freshness required of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAge {
    /// The result reflects the state at the time of the call.
    Latest,
    /// The result may be seconds old, which costs the platform less.
    Any,
}

/// A value with the revision of the store at which it was read.
#[derive(Clone, Debug)]
pub struct Versioned<T> {
    /// Revision of the store.
    pub revision: u64,
    /// Content as of `revision`.
    pub value: T,
}

/// Result of a watch of the configuration.
#[derive(Clone, Debug, Default)]
pub struct DocumentChange {
    /// The newest configuration, if there is a new one.
    pub document: Option<RouteDocument>,
    /// Number of older versions that were transferred as well, although they are of no use.
    pub superseded: usize,
}

/// All upstreams at one revision of the store.
pub type DirectoryList = Versioned<Vec<UpstreamRecord>>;

/// Changes to the list of upstreams up to a revision of the store.
pub type DirectoryChange = Versioned<Vec<DirectoryEvent>>;

/// Changes to the evacuations up to a revision of the store, in their order.
pub type EvacuationEvents = Versioned<Vec<EvacuationEvent>>;

/// One change to the list of upstreams.
#[derive(Clone, Debug)]
pub enum DirectoryEvent {
    /// An upstream was added or changed.
    Listed(UpstreamRecord),
    /// An upstream was removed, or its entry does not describe a usable upstream.
    Unlisted(UpstreamName),
}

/// An object that the gateway keeps in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Revision of the last change; 0 if the object does not exist.
    pub revision: u64,
    /// The stored JSON; empty if the object does not exist.
    pub value: Bytes,
}

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EdgeError {
    /// The platform did not carry out the call.
    #[snafu(display("platform is unavailable: {reason}"))]
    Unavailable {
        /// Description of the failure.
        reason: String,
    },
    /// The call exceeds the rate limit of the platform and was not carried out.
    #[snafu(display("platform call exceeds the rate limit"))]
    RateLimited,
    /// A write may have taken effect, or may still take effect.
    #[snafu(display("result of the write is unknown: {reason}"))]
    Unknown {
        /// Description of the failure.
        reason: String,
    },
    /// The revision of the object is not the expected one.
    #[snafu(display("object does not have the expected revision"))]
    Conflict,
    /// The platform no longer holds the changes since the given revision; a full read is needed.
    #[snafu(display("platform no longer holds the changes since the requested revision"))]
    HistoryGone,
    /// The response of the platform is invalid.
    #[snafu(display("invalid response of the platform: {reason}"))]
    Unusable {
        /// Why the response is invalid.
        reason: String,
    },
}

/// Access to a platform that provides the configuration and the upstreams and stores the gateway's
/// own objects.
pub trait PlatformEdge: Send + Sync + 'static {
    /// Reads the configuration; `None` if none was published yet.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn read_document(
        &self,
        age: ReadAge,
    ) -> impl Future<Output = Result<Versioned<Option<RouteDocument>>, EdgeError>> + Send;

    /// Waits at most `wait` for a configuration newer than `revision`.
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

    /// Waits at most `wait` for changes to the upstreams after `revision`.
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

    /// Reads which failure domains are evacuated.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn read_evacuations(
        &self,
        age: ReadAge,
    ) -> impl Future<Output = Result<EvacuationState, EdgeError>> + Send;

    /// Waits at most `wait` for changes to the evacuations after `revision`.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn watch_evacuations(
        &self,
        revision: u64,
        wait: Duration,
        age: ReadAge,
    ) -> impl Future<Output = Result<EvacuationEvents, EdgeError>> + Send;

    /// Reads an object that the gateway stored.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn read_object(
        &self,
        name: &str,
        age: ReadAge,
    ) -> impl Future<Output = Result<StoredObject, EdgeError>> + Send;

    /// Writes an object if its revision is `expected_revision` (0: it must not exist) and returns
    /// the new revision.
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
