//! Concurrency limits of upstreams, the admission queue of waiting requests, and limits for callers.

mod caller;
mod concurrency;
mod flow;
mod queue;

pub use caller::{
    CallerOptions, CallerStage, CallerView, ProgressMark, choose_connection_cut, choose_memory_cut,
};
pub use concurrency::{ConcurrencyLimit, ConcurrencyOptions};
pub use queue::{
    AdmissionQueue, AdmissionRefusal, Priority, QueueEffect, QueueOptions, QueueRequest,
    QueueSnapshot, TicketKey,
};
