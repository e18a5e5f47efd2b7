//! What upstreams say about themselves in their responses.

mod report;

pub use report::UpstreamNotice;
