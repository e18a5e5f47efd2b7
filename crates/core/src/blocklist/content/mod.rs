//! Detection of request content that crashes upstreams, whichever requests contain it.
//!
//! A crash is charged to all content that was in flight at the upstream anywhere in the fleet:
//! prompt parts that requests may share, and whole requests, which may be repeated. An answer
//! clears the content of its request. Content that remains charged with several crashes is blocked,
//! unless other content explains them better.

mod entry;
mod report;
mod table;

pub use report::{ContentKey, ContentLoss, ContentRank, ContentReport, CrashName};
pub use table::{BlockedContent, ContentOptions, ContentTable};
