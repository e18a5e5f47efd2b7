//! Concurrency limits of upstreams and the admission queue of waiting requests.

mod concurrency;
mod flow;
mod queue;

pub use concurrency::{ConcurrencyLimit, ConcurrencyOptions};
pub use queue::{
    AdmissionQueue, AdmissionRefusal, Priority, QueueEffect, QueueOptions, QueueRequest,
    QueueSnapshot, TicketKey,
};
