//! Stand-in for the platform: versioned objects with conditional update, watch, list and an
//! instance list, behind a rate limit and with settable faults.

mod fault;
mod handle;
mod server;
mod state;

pub use fault::PlatformFaults;
pub use handle::{PlatformHandle, PlatformOptions, bind};
pub use state::CallCounts;
