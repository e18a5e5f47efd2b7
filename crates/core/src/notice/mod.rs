//! What upstreams say about themselves in their responses.

mod report;
mod state;

pub use report::{UpstreamNotice, parse_delay, parse_rate};
pub use state::{NoticeState, PAUSE_MAX_DEFAULT};
