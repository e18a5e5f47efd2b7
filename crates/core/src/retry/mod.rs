//! Retries: which outcomes may be retried, how long to wait, and how many retries are allowed.

mod budget;
mod outcome;
mod policy;
mod window;

pub use budget::{RetryBudget, RetryBudgetOptions};
pub use outcome::AttemptOutcome;
pub use policy::{AttemptState, RetryDecision, RetryOptions, RetryPolicy};
pub use window::{WindowBudget, WindowOptions};
