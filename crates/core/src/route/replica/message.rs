//! Events, effects and messages of [`DocumentReplica`](super::DocumentReplica).

use crate::{base::HolderId, route::RouteDocument};

/// Asks a peer for the entries of a newer document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentRequest {
    /// The active version of the sender; 0 if it has none.
    pub version: u64,
    /// The digests of the buckets that the sender has.
    pub digests: Vec<u32>,
}

/// The entries of one bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentBucket {
    /// The position of the bucket.
    pub index: u16,
    /// The entries as JSON; empty if there are none.
    pub entries: String,
}

/// A part of the response to a [`DocumentRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentPart {
    /// The version of the document.
    pub version: u64,
    /// The digests of all buckets of this version.
    pub digests: Vec<u32>,
    /// Some of the buckets that the requester lacks.
    pub buckets: Vec<DocumentBucket>,
    /// Whether no further part follows without another request.
    pub is_last: bool,
}

/// How a request and its answer are transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestChannel {
    /// In datagrams, without opening a connection. A full link loses many of them, at times all.
    Datagram,
    /// Over a connection of its own, which a full link only delays.
    Connection,
}

/// Input of a [`DocumentReplica`](super::DocumentReplica).
#[derive(Clone, Debug)]
pub enum ReplicaEvent {
    /// Drives the retries.
    Tick,
    /// A peer reported its active version.
    PeerVersion {
        /// The process that has the version active.
        peer: HolderId,
        /// The version; 0 if it has none.
        version: u64,
    },
    /// A part of a response arrived.
    PartReceived {
        /// The process that sent it.
        from: HolderId,
        /// The content.
        part: DocumentPart,
    },
}

/// Action that the caller of a [`DocumentReplica`](super::DocumentReplica) must perform.
#[derive(Clone, Debug)]
pub enum ReplicaEffect {
    /// Send a request.
    Request {
        /// The receiver.
        to: HolderId,
        /// The content.
        request: DocumentRequest,
        /// How it is sent.
        channel: RequestChannel,
    },
    /// Activate a document that is complete.
    Activate(Box<RouteDocument>),
}
