//! Errors of the operator tool with their exit codes.

use cornelarch_core::{
    budget::ShardError,
    config::{DocumentError, HeadError},
};
use cornelarch_platform::StoreError;
use snafu::Snafu;

/// Lists the ways in which a command fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ToolError {
    /// The command line is wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong.
        message: String,
    },
    /// A file cannot be read.
    #[snafu(display("file {file} cannot be read: {source}"))]
    File {
        /// The path.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A document or a settings file has faults.
    #[snafu(display("{file} has {} fault(s):\n{}", faults.len(), faults.join("\n")))]
    Invalid {
        /// The path or the name of the text.
        file: String,
        /// Every fault.
        faults: Vec<String>,
    },
    /// Another operator was first.
    #[snafu(display(
        "nothing was written: the environment is at version {version}, not at {expected}; \
         changed since then:\n{}",
        changes.join("\n")
    ))]
    Conflict {
        /// The version that the change was based on.
        expected: u64,
        /// The current version.
        version: u64,
        /// What changed in between.
        changes: Vec<String>,
    },
    /// The platform did not answer.
    #[snafu(display("platform call failed, nothing was written: {source}"))]
    Platform {
        /// The cause.
        source: StoreError,
    },
    /// A write may have taken effect.
    #[snafu(display(
        "the result is unknown: {source}; repeat the command with --operation-id {operation_id}, \
         which finds out and does nothing twice"
    ))]
    ResultUnknown {
        /// The cause.
        source: StoreError,
        /// The id of the operation.
        operation_id: String,
    },
    /// A version is published, but initial amounts are missing.
    #[snafu(display(
        "version {version} is published, but initial amounts are not paid: {source}; repeat the \
         command with --operation-id {operation_id}"
    ))]
    Unfunded {
        /// The published version.
        version: u64,
        /// The id of the operation.
        operation_id: String,
        /// The cause.
        #[snafu(source(from(ToolError, Box::new)))]
        source: Box<ToolError>,
    },
    /// A condition of the command does not hold.
    #[snafu(display("nothing was written: {message}"))]
    PreconditionFailed {
        /// The condition.
        message: String,
    },
    /// A stored object cannot be used.
    #[snafu(display("object {key} cannot be used: {message}"))]
    InvalidObject {
        /// The key of the object.
        key: String,
        /// What is wrong.
        message: String,
    },
    /// An instance did not answer as expected.
    #[snafu(display("instance {address}: {message}"))]
    Instance {
        /// The address of its operators' port.
        address: String,
        /// What is wrong.
        message: String,
    },
}

impl ToolError {
    /// Returns the exit code, as documented in `docs/OPERATIONS.md`.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidObject { .. } | Self::Instance { .. } | Self::File { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Invalid { .. } => 3,
            Self::Conflict { .. } => 4,
            Self::Platform { .. } => 5,
            Self::ResultUnknown { .. } | Self::Unfunded { .. } => 6,
            Self::PreconditionFailed { .. } => 7,
        }
    }

    /// Wraps the faults of a document.
    pub(crate) fn invalid(file: &str, errors: &[DocumentError]) -> Self {
        Self::Invalid {
            file: file.to_owned(),
            faults: errors.iter().map(ToString::to_string).collect(),
        }
    }

    /// Wraps a head that does not lead to a document.
    pub(crate) fn head(key: &str, error: &HeadError) -> Self {
        Self::InvalidObject {
            key: key.to_owned(),
            message: error.to_string(),
        }
    }
}

impl From<StoreError> for ToolError {
    fn from(source: StoreError) -> Self {
        Self::Platform { source }
    }
}

impl From<ShardError> for ToolError {
    fn from(error: ShardError) -> Self {
        Self::PreconditionFailed {
            message: error.to_string(),
        }
    }
}
