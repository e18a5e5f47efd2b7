//! Streams of answer chunks: order, duplicates, gaps and resumption.

mod assembler;
mod event;

pub use assembler::{StreamAssembler, StreamOptions};
pub use event::{AttemptNumber, StreamChunk, StreamCounters, StreamEffect, StreamEvent, StreamId};
