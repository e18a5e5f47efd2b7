//! Stand-in for an HTTP service: `GET` requests are lookups, `POST` requests are orders, and the
//! executions of each order are counted.

mod fault;
mod handle;
mod server;

pub use fault::ServiceFaults;
pub use handle::{ServiceCounts, ServiceHandle, ServiceOptions, bind};
pub use server::{CRASH_MARKER, FENCE_HEADER, lookup_response};
