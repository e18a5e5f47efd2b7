//! The `prove` and `promote` commands.

use std::{collections::BTreeSet, sync::Arc};

use cornelarch_core::{
    base::{EnvironmentName, InstanceName, TokenCount},
    config::{
        BudgetSection, Document, ProvenVersion, SectionChange, SectionKind, SectionName, proven_key,
    },
};
use cornelarch_platform::{ObjectStore, StoreError};
use serde::Deserialize;
use serde_json::json;

use crate::operator::{
    CommandReport, PublishRequest, ToolError,
    publish::{build_conflict, encode, publish, read_document, read_head, read_object, unix_time},
    report::describe_changes,
};

/// The part of an instance's status that `prove` checks.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StatusView {
    /// The instance.
    pub instance: InstanceName,
    /// The environment.
    pub environment: EnvironmentName,
    /// The active configuration version; 0 if there is none.
    pub version: u64,
    /// The number of requests answered since the version became active.
    pub answers_under_version: u64,
    /// The number of broken promises since the instance started.
    pub broken_promises: u64,
}

/// Records the newest version of an environment as proven if it is active on every live instance,
/// has served at least one request, and no instance has counted a broken promise.
///
/// # Errors
///
/// Returns [`ToolError::PreconditionFailed`] with every condition that does not hold, and other
/// errors if a platform request fails.
pub async fn prove_version<S: ObjectStore>(
    store: &S,
    environment: &EnvironmentName,
    operator: &str,
    statuses: &[StatusView],
    live: &BTreeSet<InstanceName>,
) -> Result<CommandReport, ToolError> {
    let Some(read) = read_head(store, environment).await? else {
        return Err(precondition_failed(format!(
            "environment {environment} has no document"
        )));
    };
    let version = read.head.version;
    check_statuses(environment, version, statuses, live)?;
    let answered = statuses
        .iter()
        .map(|status| status.answers_under_version)
        .sum();
    let proven = ProvenVersion {
        version,
        operator: operator.to_owned(),
        time: unix_time(),
        instances: statuses
            .iter()
            .map(|status| status.instance.clone())
            .collect(),
        answered,
    };
    write_proven_version(store, environment, &proven).await?;
    let instances = proven.instances.len();
    let text = format!("version {version} of {environment} is proven at {instances} instances");
    Ok(CommandReport::new(text, json!(proven)))
}

fn precondition_failed(message: String) -> ToolError {
    ToolError::PreconditionFailed { message }
}

fn check_statuses(
    environment: &EnvironmentName,
    version: u64,
    statuses: &[StatusView],
    live: &BTreeSet<InstanceName>,
) -> Result<(), ToolError> {
    let mut problems = Vec::new();
    for status in statuses {
        let name = &status.instance;
        if status.environment != *environment {
            problems.push(format!("{name} serves environment {}", status.environment));
        }
        if status.version != version {
            problems.push(format!(
                "{name} is at version {}, not {version}",
                status.version
            ));
        }
        if status.broken_promises > 0 {
            problems.push(format!("{name} broke {} promises", status.broken_promises));
        }
    }
    if statuses
        .iter()
        .all(|status| status.answers_under_version == 0)
    {
        problems.push(format!("no request was answered under version {version}"));
    }
    for name in live {
        if !statuses.iter().any(|status| status.instance == *name) {
            problems.push(format!("the status of live instance {name} was not read"));
        }
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(precondition_failed(problems.join("; ")))
    }
}

/// Records the proven version. Does nothing if it is already recorded, and fails if a newer version
/// is.
async fn write_proven_version<S: ObjectStore>(
    store: &S,
    environment: &EnvironmentName,
    proven: &ProvenVersion,
) -> Result<(), ToolError> {
    let key = proven_key(environment);
    let value = encode(&key, proven)?;
    let mut last = None;
    for _ in 0..3 {
        let read: Option<(u64, ProvenVersion)> = read_object(store, &key).await?;
        if let Some((_, newer)) = read
            .as_ref()
            .filter(|(_, other)| other.version >= proven.version)
        {
            if newer.version == proven.version {
                return Ok(());
            }
            return Err(precondition_failed(format!(
                "version {} is already proven",
                newer.version
            )));
        }
        let expected = read.map_or(0, |(version, _)| version);
        match store.put(&key, expected, value.clone()).await {
            Ok(_) => return Ok(()),
            Err(error @ (StoreError::Conflict { .. } | StoreError::Unknown { .. })) => {
                last = Some(error);
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(last.map_or_else(
        || precondition_failed("the proven version was not recorded".to_owned()),
        ToolError::from,
    ))
}

/// The parameters of `promote`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromoteRequest {
    /// The environment in which the version was proven.
    pub source: EnvironmentName,
    /// The environment to which the version is promoted.
    pub target: EnvironmentName,
    /// The version to promote.
    pub version: u64,
    /// The name of the operator who promotes it.
    pub operator: String,
    /// The operation id, which makes repeated commands idempotent.
    pub operation_id: String,
    /// Whether the target keeps its own `[upstream]` sections.
    pub keep_upstreams: bool,
    /// Whether the change is written; otherwise only the difference is shown.
    pub write: bool,
    /// The version of the target that the operator compared with, if given.
    pub from_version: Option<u64>,
}

/// Publishes the proven version of one environment in another.
///
/// # Errors
///
/// Returns [`ToolError::PreconditionFailed`] if the version is not the proven one,
/// [`ToolError::Conflict`] if the target changed in the meantime, and other errors if a platform
/// request fails.
pub async fn promote_version<S: ObjectStore>(
    store: &S,
    request: &PromoteRequest,
) -> Result<CommandReport, ToolError> {
    let read = read_head(store, &request.target).await?;
    let earlier = read
        .as_ref()
        .and_then(|read| read.head.find_operation(&request.operation_id));
    if let Some(delta) = earlier {
        let text = format!(
            "version {} was published by an earlier attempt",
            delta.version
        );
        return Ok(CommandReport::new(
            text,
            json!({"version": delta.version, "earlier": true}),
        ));
    }
    let proven = read_proven(store, request).await?;
    let old = match &read {
        Some(read) => Some(read_document(store, &request.target, &read.head).await?),
        None => None,
    };
    let current = read.as_ref().map_or(0, |read| read.head.version);
    if let (Some(read), Some(seen)) = (&read, request.from_version)
        && seen != current
    {
        return Err(build_conflict(store, &request.target, None, seen, &read.head).await);
    }
    let new = build_promoted_document(&proven, old.as_ref(), request)?;
    let empty = Document::default();
    let changes = old.as_ref().unwrap_or(&empty).diff(&new);
    let mut lines = describe_changes(old.as_ref(), &changes);
    let sections: Vec<String> = changes
        .iter()
        .map(|change| change.section.to_string())
        .collect();
    if changes.is_empty() || !request.write {
        lines.push(match changes.is_empty() {
            true => format!("{} is unchanged at version {current}", request.target),
            false => format!(
                "nothing was written; {} stays at version {current}",
                request.target
            ),
        });
        let json = json!({"version": current, "changed": false, "sections": sections});
        return Ok(CommandReport::new(lines.join("\n"), json));
    }
    let publish_request = PublishRequest {
        environment: request.target.clone(),
        operator: request.operator.clone(),
        operation_id: request.operation_id.clone(),
        based_on: read,
        old,
        new,
    };
    let published = publish(store, &publish_request).await?;
    lines.push(format!(
        "version {} of {} is published",
        published.version, request.target
    ));
    let json = json!({"version": published.version, "changed": true, "sections": sections});
    Ok(CommandReport::new(lines.join("\n"), json))
}

/// Reads the document of the requested version, which must be the proven one.
async fn read_proven<S: ObjectStore>(
    store: &S,
    request: &PromoteRequest,
) -> Result<Document, ToolError> {
    let source = &request.source;
    let stored: Option<(u64, ProvenVersion)> = read_object(store, &proven_key(source)).await?;
    let proven_version = stored.map_or(0, |(_, stored)| stored.version);
    if proven_version != request.version || proven_version == 0 {
        let wanted = request.version;
        return Err(precondition_failed(format!(
            "version {wanted} of {source} is not proven; the proven version is {proven_version}"
        )));
    }
    let read = read_head(store, source).await?;
    let mut head = read
        .map(|read| read.head)
        .filter(|head| head.base_version <= proven_version);
    if let Some(head) = &mut head {
        // Later versions of the source are not proven and must not be promoted.
        head.deltas.retain(|delta| delta.version <= proven_version);
        head.version = proven_version;
    }
    match head {
        Some(head) => read_document(store, source, &head).await,
        None => Err(precondition_failed(format!(
            "version {proven_version} of {source} is older than its base; prove the newest version"
        ))),
    }
}

/// Builds the document of the target: the proven one with the target's own budgets, customer keys
/// and, if requested, upstreams. Customers and budgets that only the target has are kept.
///
/// # Errors
///
/// Returns [`ToolError::Invalid`] if the result is not a valid document.
pub fn build_promoted_document(
    proven: &Document,
    old: Option<&Document>,
    request: &PromoteRequest,
) -> Result<Document, ToolError> {
    let empty = Document::default();
    let old = old.unwrap_or(&empty);
    let mut promoted = proven.clone();
    // A new budget starts empty, so that tokens come only from a payment in the target.
    for section in Arc::make_mut(&mut promoted.budgets).values_mut() {
        *section = BudgetSection {
            paid: TokenCount::ZERO,
        };
    }
    for (name, section) in Arc::make_mut(&mut promoted.customers) {
        let own = old.customers.get(name);
        section.key_sha256 = own.map(|own| own.key_sha256.clone()).unwrap_or_default();
    }
    let budgets = Arc::make_mut(&mut promoted.budgets);
    budgets.extend(
        old.budgets
            .iter()
            .map(|(name, section)| (name.clone(), section.clone())),
    );
    for (name, section) in old.customers.iter() {
        let customers = Arc::make_mut(&mut promoted.customers);
        customers
            .entry(name.clone())
            .or_insert_with(|| section.clone());
    }
    if request.keep_upstreams {
        promoted.upstreams = Arc::clone(&old.upstreams);
    }
    let mut changes = Document::default().diff(&promoted);
    changes.retain(|change| change.section.kind != SectionKind::Environment);
    changes.push(SectionChange {
        section: SectionName::new(SectionKind::Environment, ""),
        body: Some(format!("name = {}\n", request.target)),
    });
    let promoted = Document::default().apply(&changes);
    promoted.map_err(|errors| ToolError::invalid("the promoted document", &errors))
}
