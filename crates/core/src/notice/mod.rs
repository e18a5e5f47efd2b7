//! What upstreams say about themselves in their responses.

mod report;
mod share;
mod state;

pub use report::{LimitNotice, UpstreamNotice, parse_delay, parse_rate};
pub use share::RecentRequests;
pub use state::{NoticeChange, NoticeContext, NoticeState, PAUSE_MAX_DEFAULT};
