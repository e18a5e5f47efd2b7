//! The `history`, `status`, `dump` and `unblock` commands.

use std::collections::BTreeSet;

use cornelarch_core::base::InstanceName;
use reqwest::Method;
use serde_json::{Value, json};

use crate::operator::{
    CommandReport, InstanceClient, StatusView, ToolError,
    arguments::CommandArguments,
    publish::{format_sections, read_head},
};

/// Shows the recent changes of an environment.
pub(crate) async fn history(arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    arguments.positional([])?;
    let environment = arguments.environment()?;
    let Some(read) = read_head(&arguments.store()?, &environment).await? else {
        let message = format!("environment {environment} has no document");
        return Err(ToolError::PreconditionFailed { message });
    };
    let head = read.head;
    let mut text = format!("environment {environment} is at version {}", head.version);
    for delta in head.deltas.iter().rev() {
        text.push_str(&format!(
            "\n{:>8}  {} s  {}  {}  {}",
            delta.version,
            delta.time,
            delta.operator,
            delta.operation_id,
            format_sections(&delta.changes)
        ));
    }
    Ok(CommandReport::new(text, json!(head)))
}

/// Calls all instances concurrently. Returns one JSON entry per instance, with `answer` or `error`,
/// and the number of failed calls.
async fn call_all(
    instances: &[InstanceClient],
    method: &Method,
    path: &str,
) -> (Vec<Value>, usize) {
    let calls = instances
        .iter()
        .map(|instance| instance.call(method.clone(), path));
    let results = futures_util::future::join_all(calls).await;
    let failed = results.iter().filter(|result| result.is_err()).count();
    let values = results
        .into_iter()
        .zip(instances)
        .map(|(result, instance)| match result {
            Ok(value) => json!({"address": instance.address, "answer": value}),
            Err(error) => json!({"address": instance.address, "error": error.to_string()}),
        });
    (values.collect(), failed)
}

fn fail_if_all_failed(values: &[Value], failed: usize) -> Result<(), ToolError> {
    if failed == 0 || failed < values.len() {
        return Ok(());
    }
    let errors = values.iter().filter_map(|value| value["error"].as_str());
    Err(ToolError::Instance {
        address: "all".to_owned(),
        message: errors.collect::<Vec<&str>>().join("; "),
    })
}

/// Shows the status of instances.
pub(crate) async fn status(arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    arguments.positional([])?;
    let (values, failed) = call_all(&arguments.instances()?, &Method::GET, "/status").await;
    fail_if_all_failed(&values, failed)?;
    let mut text = format!(
        "{:<16} {:<12} {:<10} {:>8} {:>8} {:>10} {:>10}",
        "instance", "domain", "phase", "version", "running", "answers", "broken"
    );
    for value in &values {
        let answer = &value["answer"];
        let text_field = |key: &str| answer[key].as_str().unwrap_or("-").to_owned();
        let number_field = |key: &str| {
            answer[key]
                .as_u64()
                .map_or("-".to_owned(), |n| n.to_string())
        };
        text.push_str(&match value["error"].as_str() {
            Some(error) => format!("\n{error}"),
            None => format!(
                "\n{:<16} {:<12} {:<10} {:>8} {:>8} {:>10} {:>10}",
                text_field("instance"),
                text_field("domain"),
                text_field("phase"),
                number_field("version"),
                number_field("running"),
                number_field("answers"),
                number_field("broken_promises")
            ),
        });
    }
    Ok(CommandReport::new(text, values.into()))
}

/// Shows the full state of instances as JSON.
pub(crate) async fn dump(arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    arguments.positional([])?;
    let (values, failed) = call_all(&arguments.instances()?, &Method::GET, "/dump").await;
    fail_if_all_failed(&values, failed)?;
    let json = Value::from(values);
    let text = serde_json::to_string_pretty(&json).unwrap_or_default();
    Ok(CommandReport::new(text, json))
}

/// Unblocks a request at all given instances, which notify the other instances of their domain.
pub(crate) async fn unblock(arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let [fingerprint] = arguments.positional(["FINGERPRINT"])?;
    let valid = fingerprint.len() == 32 && fingerprint.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !valid {
        let message = "a fingerprint has 32 hexadecimal digits".to_owned();
        return Err(ToolError::Usage { message });
    }
    let path = format!("/unblock/{fingerprint}");
    let (values, failed) = call_all(&arguments.instances()?, &Method::POST, &path).await;
    if failed > 0 {
        let errors = values.iter().filter_map(|value| value["error"].as_str());
        let message = errors.collect::<Vec<&str>>().join("; ");
        return Err(ToolError::Instance {
            address: format!("{failed} failed"),
            message,
        });
    }
    let text = format!("{fingerprint} is unblocked at {} instances", values.len());
    Ok(CommandReport::new(text, values.into()))
}

/// Reads the status of every given instance and the union of the live members that they list.
pub(crate) async fn read_statuses(
    instances: &[InstanceClient],
) -> Result<(Vec<StatusView>, BTreeSet<InstanceName>), ToolError> {
    let mut statuses = Vec::new();
    let mut live = BTreeSet::new();
    for instance in instances {
        let dump = instance.call(Method::GET, "/dump").await?;
        let status = serde_json::from_value(dump["status"].clone());
        statuses.push(status.map_err(|error| ToolError::Instance {
            address: instance.address.clone(),
            message: format!("status cannot be parsed: {error}"),
        })?);
        live.extend(list_live_members(&dump["members"]));
    }
    Ok((statuses, live))
}

/// Returns the names of the members in a dump that are alive or suspect.
fn list_live_members(members: &Value) -> Vec<InstanceName> {
    let members = members.as_array().map(Vec::as_slice).unwrap_or_default();
    let live = members.iter().filter_map(|member| {
        let record = &member["record"];
        let live = matches!(record["state"].as_str(), Some("alive" | "suspect"));
        let (name, _) = record["holder"].as_str()?.rsplit_once('~')?;
        live.then(|| InstanceName::new(name))
    });
    live.collect()
}
