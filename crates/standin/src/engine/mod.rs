//! Stand-in for a model engine: chat completions over JSON and SSE with continuous batching, a
//! bounded prefix cache, priorities, resume, cancellation and fault injection.

mod batch;
mod cache;
mod chunk;
mod completion;
mod fault;
mod handle;
mod load;
mod server;

pub use batch::EngineCounts;
pub use completion::{CRASH_MARKER, Prompt, completion_text, completion_tokens, prompt_tokens};
pub use fault::EngineFaults;
pub use handle::{EngineHandle, EngineOptions, bind};
pub use load::{CacheEvent, CacheEventKind, LoadReport};
