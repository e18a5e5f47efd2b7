//! What upstreams say about themselves in their responses.

mod cold;
mod report;
mod share;
mod state;

pub use cold::{ColdBound, ColdContext, ColdRule, ColdState};
pub use report::{LimitNotice, UpstreamNotice, parse_delay, parse_rate};
pub use share::RecentRequests;
pub use state::{NoticeChange, NoticeContext, NoticeState, PAUSE_MAX_DEFAULT};
