//! The `apply` command.

use cornelarch_core::config::Document;
use cornelarch_platform::ObjectStore;
use serde_json::json;
use snafu::ResultExt;

use crate::operator::{
    CommandReport, LedgerTarget, PublishRequest, Published, ToolError, VersionedHead,
    error::UnfundedSnafu,
    fund_new_budgets,
    publish::{build_conflict, publish, read_document, read_head},
    report::describe_changes,
};

/// The parameters of `apply`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyRequest {
    /// The new document.
    pub document: Document,
    /// The version that the document was edited from; 0 for a new environment.
    pub from_version: u64,
    /// The name of the operator who makes the change.
    pub operator: String,
    /// The operation id, which makes repeated commands idempotent.
    pub operation_id: String,
    /// The number of ledger shards of the environment.
    pub shards: u32,
}

/// Publishes a document and pays the initial amounts of its new budgets.
///
/// # Errors
///
/// Returns [`ToolError::Conflict`] if the environment is not at `from_version`, and any other
/// [`ToolError`] except `Usage`.
pub async fn apply_document<S: ObjectStore>(
    store: &S,
    request: &ApplyRequest,
) -> Result<CommandReport, ToolError> {
    let environment = request.document.environment().clone();
    let read = read_head(store, &environment).await?;
    let target = LedgerTarget {
        environment: environment.clone(),
        shards: request.shards,
    };
    let earlier = read
        .as_ref()
        .and_then(|read| read.head.find_operation(&request.operation_id));
    if let Some(delta) = earlier {
        let published = Published {
            version: delta.version,
            already_published: true,
        };
        let funded = fund(store, &target, request, published.version).await?;
        return Ok(report(&published, &[], funded));
    }
    let old = match &read {
        Some(read) => Some(read_document(store, &environment, &read.head).await?),
        None => None,
    };
    let version = read.as_ref().map_or(0, |read| read.head.version);
    if version != request.from_version {
        return Err(build_version_mismatch(store, request, read.as_ref(), old.as_ref()).await);
    }
    let changes = old.as_ref().map(|old| old.diff(&request.document));
    if changes.as_ref().is_some_and(Vec::is_empty) {
        let text = format!("version {version} is unchanged");
        let json = json!({"version": version, "changed": false});
        return Ok(CommandReport::new(text, json));
    }
    let lines = describe_changes(old.as_ref(), changes.as_deref().unwrap_or_default());
    let publish_request = PublishRequest {
        environment,
        operator: request.operator.clone(),
        operation_id: request.operation_id.clone(),
        based_on: read,
        old,
        new: request.document.clone(),
    };
    let published = publish(store, &publish_request).await?;
    let funded = fund(store, &target, request, published.version).await?;
    Ok(report(&published, &lines, funded))
}

async fn fund<S: ObjectStore>(
    store: &S,
    target: &LedgerTarget,
    request: &ApplyRequest,
    version: u64,
) -> Result<Vec<String>, ToolError> {
    let operation_id = &request.operation_id;
    let funded = fund_new_budgets(store, target, &request.document).await;
    funded.context(UnfundedSnafu {
        version,
        operation_id,
    })
}

async fn build_version_mismatch<S: ObjectStore>(
    store: &S,
    request: &ApplyRequest,
    read: Option<&VersionedHead>,
    current: Option<&Document>,
) -> ToolError {
    let environment = request.document.environment();
    let Some(read) = read else {
        return ToolError::PreconditionFailed {
            message: format!("environment {environment} is new; use --from 0"),
        };
    };
    let expected = request.from_version;
    // If the deltas since the expected version are in the head, they show what the other operator
    // changed. Otherwise only a diff against the new document is possible.
    let known = read.head.deltas_after(expected).is_some() && expected > 0;
    if known {
        return build_conflict(store, environment, None, expected, &read.head).await;
    }
    let changes = current.map(|current| current.diff(&request.document));
    let mut lines = vec!["your document would change:".to_owned()];
    lines.extend(describe_changes(current, &changes.unwrap_or_default()));
    ToolError::Conflict {
        expected,
        version: read.head.version,
        changes: lines,
    }
}

fn report(published: &Published, lines: &[String], funded: Vec<String>) -> CommandReport {
    let version = published.version;
    let mut text = lines.join("\n");
    if !text.is_empty() {
        text.push('\n');
    }
    text.push_str(&match published.already_published {
        true => format!("version {version} was published by an earlier attempt"),
        false => format!("version {version} is published"),
    });
    if !funded.is_empty() {
        text.push_str(&format!("\ninitial amounts paid: {}", funded.join(", ")));
    }
    let json = json!({
        "version": version,
        "changed": true,
        "earlier": published.already_published,
        "funded": funded,
    });
    CommandReport::new(text, json)
}
