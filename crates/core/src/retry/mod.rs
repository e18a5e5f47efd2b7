//! Retry policy, backoff and retry budgets.

mod budget;
mod outcome;
mod policy;
mod spread;
mod window;

pub use budget::{RetryBudget, RetryBudgetOptions};
pub use outcome::{AttemptOutcome, is_final_status};
pub use policy::{AttemptState, RetryDecision, RetryOptions, RetryPolicy};
pub use spread::spread_delay;
pub use window::{WindowBudget, WindowOptions};
