//! What upstreams say about themselves in their responses.

mod report;
mod state;

pub use report::{UpstreamNotice, parse_delay};
pub use state::{NoticeState, PAUSE_MAX_DEFAULT};
