//! Routes from a host and a path to a service, with the rules for their requests.

mod document;
mod rule;

pub use document::{CustomerRecord, RequestLimits, RouteDocument, RouteLookup};
pub use rule::{RouteKind, RouteRule, ServiceRecord, SplitTarget};
