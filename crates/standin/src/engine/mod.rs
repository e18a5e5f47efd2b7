//! Stand-in for a model engine: chat completions over JSON and SSE with continuous batching, a
//! bounded prefix cache, priorities, resume, cancellation and settable faults.

mod answer;
mod batch;
mod cache;
mod chunk;
mod fault;
mod handle;
mod load;
mod server;

pub use answer::{CRASH_MARK, Prompt, answer_text, answer_tokens, prompt_tokens};
pub use batch::EngineCounts;
pub use fault::EngineFaults;
pub use handle::{EngineHandle, EngineOptions, bind};
pub use load::{CacheEvent, CacheEventKind, LoadReport};
