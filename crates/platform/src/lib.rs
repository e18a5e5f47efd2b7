//! Client of the platform's object API.
//!
//! The trait [`ObjectStore`] separates the router processes from the platform. The daemon uses the
//! HTTP client [`HttpStore`]; tests and benchmarks use in-memory fakes.

pub mod client;
pub mod store;

pub use client::{BodyError, BodyLimits, ClientOptions, HttpStore, read_body};
pub use store::{InstanceEntry, InstanceState, ObjectStore, StoreError, VersionedValue};
