//! What upstreams say about themselves in their responses.

mod report;
mod state;

pub use report::UpstreamNotice;
pub use state::NoticeState;
