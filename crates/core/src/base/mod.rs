//! Basic types used by all modules: names, token amounts, time and process identities.

mod amount;
mod holder;
mod name;
mod time;

pub use amount::TokenCount;
pub use holder::{HolderId, ParseHolderError};
pub use name::{
    BudgetName, CustomerName, DomainName, EnvironmentName, InstanceName, ModelName, RegionName,
    ServiceName, UpstreamName,
};
pub use time::MonotonicTime;
