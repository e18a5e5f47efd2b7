//! Reconstruction of a request's timeline from the logs of several instances.
//!
//! The module works on log text only, so that logs of any age can be analysed offline.

mod line;
mod outcome;
mod timeline;

pub use line::{LogLine, LogTime, parse_line};
pub use outcome::RequestOutcome;
pub use timeline::{LogCollection, RequestTimeline};
