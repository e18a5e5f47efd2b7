//! Stand-in for the platform: versioned objects with conditional updates, watches and listing, an
//! instance list, rate limits and fault injection.

mod fault;
mod handle;
mod server;
mod state;

pub use fault::PlatformFaults;
pub use handle::{PlatformHandle, PlatformOptions, bind};
pub use state::CallCounts;
