//! Explanation of one request from the logs of many instances.
//!
//! Everything here works on text that was already read, so that a log of any age can be explained.

mod line;
mod outcome;
mod timeline;

pub use line::{LogLine, LogTime, parse_line};
pub use outcome::RequestOutcome;
pub use timeline::{LogCollection, RequestTimeline};
