//! The `explain` command.

use std::{io::Read, path::Path};

use serde_json::json;
use snafu::ResultExt;

use crate::{
    explain::LogCollection,
    operator::{
        CommandReport, ToolError,
        arguments::{CommandArguments, usage_error},
        error::FileSnafu,
    },
};

/// Instance name of a log that is read from standard input.
const STANDARD_INPUT: &str = "-";

/// Explains how a request ended from the logs of instances.
pub(crate) fn explain(arguments: &CommandArguments) -> Result<CommandReport, ToolError> {
    let Some((id, files)) = arguments.matches.free.split_first() else {
        return Err(usage_error("the request id is missing".to_owned()));
    };
    let mut logs = LogCollection::default();
    if files.is_empty() {
        logs.add_log(STANDARD_INPUT, &read_log(STANDARD_INPUT)?);
    }
    for file in files {
        logs.add_log(&instance_name(file), &read_log(file)?);
    }
    let timeline = logs.explain(id);
    let text = format!(
        "{}\n{} other lines were skipped",
        timeline.render(),
        logs.skipped
    );
    let texts = |lines: &[crate::explain::LogLine]| -> Vec<String> {
        let name = |line: &crate::explain::LogLine| format!("{} {}", line.instance, line.text);
        lines.iter().map(name).collect()
    };
    let json = json!({
        "cause": timeline.outcome.to_string(),
        "lines": texts(&timeline.lines),
        "related": texts(&timeline.related),
        "skipped": logs.skipped,
    });
    Ok(CommandReport::new(text, json))
}

/// Reads a log. Invalid UTF-8 is replaced, because a process that is killed may truncate a line
/// within a character.
fn read_log(file: &str) -> Result<String, ToolError> {
    let mut bytes = Vec::new();
    match file {
        STANDARD_INPUT => std::io::stdin().read_to_end(&mut bytes).map(drop),
        path => std::fs::read(path).map(|read| bytes = read),
    }
    .context(FileSnafu { file })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Returns the name of the instance that wrote a log, which is the file name without its extension.
fn instance_name(file: &str) -> String {
    let stem = Path::new(file).file_stem();
    stem.map_or_else(
        || file.to_owned(),
        |stem| stem.to_string_lossy().into_owned(),
    )
}
