//! The `budget` commands.

use cornelarch_core::{
    base::{BudgetName, HolderId, TokenCount},
    config::Document,
};

use crate::operator::{
    CommandReport, ToolError,
    arguments::{CommandArguments, usage_error},
    publish::{read_document, read_head},
    release_holder, show_budgets, top_up_budget,
};

async fn read_current(arguments: &CommandArguments) -> Result<Document, ToolError> {
    let store = arguments.store()?;
    let environment = arguments.environment()?;
    match read_head(&store, &environment).await? {
        Some(read) => read_document(&store, &environment, &read.head).await,
        None => Err(ToolError::PreconditionFailed {
            message: format!("environment {environment} has no document"),
        }),
    }
}

async fn check_budget(arguments: &CommandArguments, budget: &BudgetName) -> Result<(), ToolError> {
    if read_current(arguments).await?.budgets.contains_key(budget) {
        return Ok(());
    }
    Err(ToolError::PreconditionFailed {
        message: format!("budget {budget} is not in the document"),
    })
}

/// Shows the given budgets, or all budgets of the document.
pub(crate) async fn show(arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let free = arguments.matches.free.iter();
    let mut budgets: Vec<BudgetName> = free.map(|name| BudgetName::new(name)).collect();
    if budgets.is_empty() {
        budgets = read_current(arguments)
            .await?
            .budgets
            .keys()
            .cloned()
            .collect();
    }
    let rows = arguments.matches.opt_present("rows");
    show_budgets(&arguments.store()?, &arguments.ledger()?, &budgets, rows).await
}

/// Adds paid tokens to a budget.
pub(crate) async fn top_up(arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let [budget, amount] = arguments.positional(["BUDGET", "TOKENS"])?;
    let budget = BudgetName::new(budget);
    let tokens = amount
        .replace('_', "")
        .parse::<u64>()
        .ok()
        .filter(|tokens| *tokens > 0);
    let tokens =
        tokens.ok_or_else(|| usage_error(format!("{amount:?} is not a number of tokens")))?;
    // With a random operation id, a repeated command would pay twice.
    arguments.required_option("operation-id")?;
    let operation_id = arguments.operation_id()?;
    check_budget(arguments, &budget).await?;
    let (store, target) = (arguments.store()?, arguments.ledger()?);
    top_up_budget(
        &store,
        &target,
        &budget,
        TokenCount::new(tokens),
        &operation_id,
    )
    .await
}

/// Writes off the tokens of a lost holder.
pub(crate) async fn release(arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let [budget] = arguments.positional(["BUDGET"])?;
    let holder = arguments.required_option("holder")?;
    let holder: HolderId = holder
        .parse()
        .map_err(|error| usage_error(format!("{error}")))?;
    arguments.required_option("operation-id")?;
    let operation_id = arguments.operation_id()?;
    let credit = arguments.matches.opt_present("credit");
    let (store, target) = (arguments.store()?, arguments.ledger()?);
    release_holder(
        &store,
        &target,
        &BudgetName::new(budget),
        &holder,
        &operation_id,
        credit,
    )
    .await
}
