//! Streams of answer chunks: order, duplicates, gaps and resumption.

mod assembler;
mod event;
mod splitter;

pub use assembler::{StreamAssembler, StreamOptions};
pub use event::{AttemptNumber, StreamChunk, StreamCounters, StreamEffect, StreamEvent, StreamId};
pub use splitter::{EventSplitter, MAX_EVENT_BYTES, find_event_id};
