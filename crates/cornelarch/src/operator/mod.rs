//! Commands of the operator tool.

mod apply;
mod arguments;
mod budget;
mod check;
mod command;
mod error;
mod explain;
mod instance;
mod ledger;
mod promote;
mod publish;
mod report;
mod show;

pub use apply::{ApplyRequest, apply_document};
pub use command::run;
pub use error::ToolError;
pub use instance::InstanceClient;
pub use ledger::{LedgerTarget, fund_new_budgets, release_holder, show_budgets, top_up_budget};
pub use promote::{
    PromoteRequest, StatusView, build_promoted_document, promote_version, prove_version,
};
pub use publish::{PublishRequest, Published, VersionedHead, read_document, read_head};
pub use report::CommandReport;
