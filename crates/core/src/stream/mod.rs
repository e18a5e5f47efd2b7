//! Response streams: reordering, deduplication, gap detection and resumption of chunks.

mod assembler;
mod event;
mod splitter;

pub use assembler::{StreamAssembler, StreamOptions};
pub use event::{AttemptNumber, StreamChunk, StreamCounters, StreamEffect, StreamEvent, StreamId};
pub use splitter::{EventSplitter, MAX_EVENT_BYTES, find_event_id};
