//! Limits: how many requests run at an upstream and which waiting request runs next.

mod concurrency;
mod flow;
mod queue;

pub use concurrency::{ConcurrencyLimit, ConcurrencyOptions};
pub use queue::{
    AdmissionQueue, AdmissionRefusal, Priority, QueueEffect, QueueOptions, QueueRequest,
    QueueSnapshot, TicketKey,
};
