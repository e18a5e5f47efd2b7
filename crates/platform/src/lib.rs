//! Client of the platform's object API.
//!
//! The trait [`ObjectStore`] is the edge between the router processes and the platform. The
//! daemon uses an HTTP client; tests and measurements use small fakes.

pub mod client;
pub mod store;

pub use client::{ClientOptions, HttpStore};
pub use store::{InstanceEntry, InstanceState, ObjectStore, StoreError, VersionedValue};
