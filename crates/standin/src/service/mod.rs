//! Stand-in for a plain service: lookups with `GET`, orders with `POST`, and a count of
//! executions per order.

mod fault;
mod handle;
mod server;

pub use fault::ServiceFaults;
pub use handle::{ServiceCounts, ServiceHandle, ServiceOptions, bind};
pub use server::{CRASH_MARKER, FENCE_HEADER, lookup_response};
