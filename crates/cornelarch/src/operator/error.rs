//! Errors of the operator tool and their exit codes.

use cornelarch_core::{
    budget::ShardError,
    config::{DocumentError, HeadError},
};
use cornelarch_platform::StoreError;
use snafu::Snafu;

/// An error that ends a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ToolError {
    /// The command line is invalid.
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
    /// A document or a settings file is invalid.
    #[snafu(display("{file} has {} fault(s):\n{}", faults.len(), faults.join("\n")))]
    Invalid {
        /// The path, or a description if the text is not a file.
        file: String,
        /// All faults that were found.
        faults: Vec<String>,
    },
    /// Another operator published a version first.
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
    /// A platform request failed.
    #[snafu(display("platform call failed, nothing was written: {source}"))]
    Platform {
        /// The cause.
        source: StoreError,
    },
    /// A write failed and may have taken effect.
    #[snafu(display(
        "the result is unknown: {source}; repeat the command with --operation-id {operation_id}, \
         which reports the result and applies nothing twice"
    ))]
    ResultUnknown {
        /// The cause.
        source: StoreError,
        /// The id of the operation.
        operation_id: String,
    },
    /// A version was published, but the initial amounts of its budgets were not paid.
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
    /// A precondition of the command does not hold.
    #[snafu(display("nothing was written: {message}"))]
    PreconditionFailed {
        /// The precondition that failed.
        message: String,
    },
    /// A stored object is invalid.
    #[snafu(display("object {key} cannot be used: {message}"))]
    InvalidObject {
        /// The key of the object.
        key: String,
        /// What is wrong.
        message: String,
    },
    /// A call to an instance failed.
    #[snafu(display("instance {address}: {message}"))]
    Instance {
        /// The address of its operator port.
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

    /// Converts the errors of a document.
    pub(crate) fn invalid(file: &str, errors: &[DocumentError]) -> Self {
        Self::Invalid {
            file: file.to_owned(),
            faults: errors.iter().map(ToString::to_string).collect(),
        }
    }

    /// Converts the error of a head from which no document can be built.
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
