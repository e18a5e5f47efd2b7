//! Routes from host and path to services, and the customers and limits of a configuration.

mod active;
mod document;
pub mod replica;
mod rule;

pub use active::ActiveDocument;
pub use document::{CustomerRecord, RequestLimits, RouteDocument, RouteLookup};
pub use rule::{ColdStart, RouteKind, RouteRule, ServiceRecord, SplitTarget};
