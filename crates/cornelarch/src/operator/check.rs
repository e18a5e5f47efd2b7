//! The `check` and `diff` commands.

use std::collections::BTreeSet;

use cornelarch_core::{base::EnvironmentName, config::Document};
use cornelarch_router::RouterSettings;
use serde_json::json;

use crate::operator::{
    CommandReport, ToolError,
    arguments::{CommandArguments, read_file, usage_error},
    publish::{read_document, read_head},
    report::describe_changes,
};

/// Reads and parses a document.
pub(crate) fn load_document(file: &str) -> Result<Document, ToolError> {
    Document::parse(&read_file(file)?).map_err(|errors| ToolError::invalid(file, &errors))
}

/// Validates a document, and router settings files against it.
pub(crate) fn check(arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let [file] = arguments.positional(["DOCUMENT"])?;
    let document = load_document(file)?;
    let settings = arguments.matches.opt_strs("settings");
    check_settings(&document, &settings)?;
    let warnings = collect_warnings(&document);
    let mut text = format!(
        "{file}: environment {}, {} customers, {} budgets, {} models, {} services, {} upstreams, \
         {} settings files",
        document.environment(),
        document.customers.len(),
        document.budgets.len(),
        document.models.len(),
        document.services.len(),
        document.upstreams.len(),
        settings.len()
    );
    warnings
        .iter()
        .for_each(|warning| text.push_str(&format!("\nwarning: {warning}")));
    let json = json!({"valid": true, "environment": document.environment(), "warnings": warnings});
    Ok(CommandReport::new(text, json))
}

fn check_settings(document: &Document, files: &[String]) -> Result<(), ToolError> {
    let mut faults = Vec::new();
    let mut names = BTreeSet::new();
    for file in files {
        let settings = match RouterSettings::parse(file, &read_file(file)?) {
            Ok(settings) => settings,
            Err(error) => {
                faults.push(error.to_string());
                continue;
            }
        };
        if settings.environment != *document.environment() {
            faults.push(format!(
                "{file}: environment {} differs from that of the document",
                settings.environment
            ));
        }
        if !names.insert(settings.instance.clone()) {
            faults.push(format!(
                "{file}: instance {} is also defined in another file",
                settings.instance
            ));
        }
        if settings.drain.as_secs() < document.limits.request_timeout_s {
            let timeout = document.limits.request_timeout_s;
            faults.push(format!(
                "{file}: drain_s is below request_timeout_s = {timeout} of the document, so a stop \
                 would interrupt requests"
            ));
        }
    }
    if faults.is_empty() {
        return Ok(());
    }
    let file = "the settings".to_owned();
    Err(ToolError::Invalid { file, faults })
}

fn collect_warnings(document: &Document) -> Vec<String> {
    let mut warnings = Vec::new();
    for (name, customer) in document.customers.iter() {
        if customer.key_sha256.is_empty() {
            warnings.push(format!(
                "customer {name} has no key and cannot send requests"
            ));
        }
        if customer.models.is_empty() && customer.services.is_empty() {
            warnings.push(format!("customer {name} may use no model and no service"));
        }
    }
    for name in document.models.keys() {
        if !document
            .upstreams
            .values()
            .any(|upstream| upstream.models.contains(name))
        {
            warnings.push(format!("model {name} has no upstream"));
        }
    }
    for name in document.services.keys() {
        if !document
            .upstreams
            .values()
            .any(|upstream| upstream.service.as_ref() == Some(name))
        {
            warnings.push(format!("service {name} has no upstream"));
        }
    }
    warnings
}

/// Compares a document with the published version, or two documents with each other.
pub(crate) async fn diff(arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let free: Vec<&str> = arguments.matches.free.iter().map(String::as_str).collect();
    let (version, old, new) = match free[..] {
        [old, new] => (None, Some(load_document(old)?), load_document(new)?),
        [new] => {
            let new = load_document(new)?;
            let (version, old) = read_current(arguments, new.environment()).await?;
            (Some(version), old, new)
        }
        _ => return Err(usage_error("expected DOCUMENT or OLD NEW".to_owned())),
    };
    let empty = Document::default();
    let changes = old.as_ref().unwrap_or(&empty).diff(&new);
    let mut lines = describe_changes(old.as_ref(), &changes);
    if let Some(version) = version {
        lines.push(format!("apply with --from {version}"));
    }
    let json = json!({"from_version": version, "changes": changes});
    Ok(CommandReport::new(lines.join("\n"), json))
}

async fn read_current(
    arguments: &CommandArguments,
    environment: &EnvironmentName,
) -> Result<(u64, Option<Document>), ToolError> {
    let store = arguments.store()?;
    Ok(match read_head(&store, environment).await? {
        Some(read) => {
            let document = read_document(&store, environment, &read.head).await?;
            (read.head.version, Some(document))
        }
        None => (0, None),
    })
}
