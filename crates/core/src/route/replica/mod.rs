//! Exchange of configurations between instances.
//!
//! A document is divided into buckets of entries. An instance that hears of a newer version sends
//! the digests of its buckets to a peer, which answers with the entries of those that differ. The
//! exchange needs no common version and no history, transfers about as much as was changed, and
//! continues where it stopped if messages are lost or another peer answers. Requests are sent as
//! datagrams at first, and also over a connection if they are not answered.

mod index;
mod message;
mod options;
mod state;

pub use index::{DocumentIndex, ReplicaError};
pub use message::{
    DocumentBucket, DocumentPart, DocumentRequest, ReplicaEffect, ReplicaEvent, RequestChannel,
};
pub use options::ReplicaOptions;
pub use state::DocumentReplica;
