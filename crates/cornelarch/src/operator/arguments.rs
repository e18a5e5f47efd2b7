//! Options shared by several commands.

use cornelarch_core::base::EnvironmentName;
use cornelarch_platform::{ClientOptions, HttpStore};
use getopts::{Matches, Options};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::operator::{InstanceClient, LedgerTarget, ToolError};

/// Default number of ledger shards, the same as in the router settings.
const DEFAULT_SHARDS: u32 = 8;

/// A group of command-line options.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OptionGroup {
    /// Address of the platform.
    Platform,
    /// Name of the environment.
    Environment,
    /// Operator name and operation id.
    Change,
    /// Number of ledger shards.
    Ledger,
    /// Operator ports of instances and the operator key.
    Instances,
}

/// Adds the options of a group to a parser.
pub(crate) fn add_group(options: &mut Options, group: OptionGroup) {
    match group {
        OptionGroup::Platform => {
            options.optopt(
                "",
                "platform",
                "base URL of the platform [CORNELARCH_PLATFORM]",
                "URL",
            );
        }
        OptionGroup::Environment => {
            options.optopt(
                "",
                "environment",
                "environment [CORNELARCH_ENVIRONMENT]",
                "NAME",
            );
        }
        OptionGroup::Change => {
            options.optopt(
                "",
                "operator",
                "who makes the change [CORNELARCH_OPERATOR, USER]",
                "NAME",
            );
            options.optopt(
                "",
                "operation-id",
                "id that makes a repeated command idempotent",
                "ID",
            );
        }
        OptionGroup::Ledger => {
            options.optopt(
                "",
                "shards",
                "ledger shards [CORNELARCH_LEDGER_SHARDS, 8]",
                "N",
            );
        }
        OptionGroup::Instances => {
            options.optmulti(
                "",
                "instance",
                "operator port of an instance, may be repeated [CORNELARCH_INSTANCES, \
                 separated by commas]",
                "IP:PORT",
            );
            options.optopt(
                "",
                "operator-key-file",
                "file with the operator key [CORNELARCH_OPERATOR_KEY holds the key itself]",
                "FILE",
            );
        }
    }
}

/// The parsed arguments of one command.
pub(crate) struct CommandArguments {
    pub(crate) matches: Matches,
}

impl CommandArguments {
    /// Returns the value of an option, or else that of an environment variable if it is not empty.
    pub(crate) fn option_or_env(&self, option: &str, variable: &str) -> Option<String> {
        let given = self.matches.opt_str(option);
        given.or_else(|| {
            std::env::var(variable)
                .ok()
                .filter(|value| !value.is_empty())
        })
    }

    fn required_option_or_env(&self, option: &str, variable: &str) -> Result<String, ToolError> {
        self.option_or_env(option, variable)
            .ok_or_else(|| usage_error(format!("--{option} or {variable} is missing")))
    }

    pub(crate) fn required_option(&self, option: &str) -> Result<String, ToolError> {
        let given = self.matches.opt_str(option);
        given.ok_or_else(|| usage_error(format!("--{option} is missing")))
    }

    /// Returns the positional arguments; their number must equal that of `names`.
    pub(crate) fn positional<const N: usize>(
        &self,
        names: [&str; N],
    ) -> Result<[&str; N], ToolError> {
        let free: Vec<&str> = self.matches.free.iter().map(String::as_str).collect();
        free.try_into().map_err(|free: Vec<&str>| {
            let expected = if N == 0 {
                "no arguments".to_owned()
            } else {
                names.join(" ")
            };
            usage_error(format!("expected {expected}, got {} arguments", free.len()))
        })
    }

    pub(crate) fn store(&self) -> Result<HttpStore, ToolError> {
        let options = ClientOptions {
            address: self.required_option_or_env("platform", "CORNELARCH_PLATFORM")?,
            ..ClientOptions::default()
        };
        HttpStore::new(&options).map_err(|error| usage_error(error.to_string()))
    }

    pub(crate) fn environment(&self) -> Result<EnvironmentName, ToolError> {
        let name = self.required_option_or_env("environment", "CORNELARCH_ENVIRONMENT")?;
        Ok(EnvironmentName::from(name))
    }

    pub(crate) fn operator(&self) -> Result<String, ToolError> {
        let name = self.option_or_env("operator", "CORNELARCH_OPERATOR");
        let name = name.or_else(|| std::env::var("USER").ok());
        name.ok_or_else(|| usage_error("--operator or CORNELARCH_OPERATOR is missing".to_owned()))
    }

    /// Returns the operation id from the command line, or a random one.
    pub(crate) fn operation_id(&self) -> Result<String, ToolError> {
        let Some(id) = self.matches.opt_str("operation-id") else {
            return Ok(format!("{:016x}", StdRng::from_os_rng().random::<u64>()));
        };
        let valid = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        if id.is_empty() || id.len() > 64 || !id.chars().all(valid) {
            let message = "--operation-id must have 1 to 64 letters, digits, '-', '_' or '.'";
            return Err(usage_error(message.to_owned()));
        }
        Ok(id)
    }

    pub(crate) fn parsed_option<T: std::str::FromStr>(
        &self,
        option: &str,
    ) -> Result<Option<T>, ToolError> {
        let text = self.matches.opt_str(option);
        let parse = |text: String| {
            text.parse()
                .map_err(|_| usage_error(format!("--{option} {text:?} is not a whole number")))
        };
        text.map(parse).transpose()
    }

    pub(crate) fn shards(&self) -> Result<u32, ToolError> {
        let text = self.option_or_env("shards", "CORNELARCH_LEDGER_SHARDS");
        let shards = text.map_or(Some(DEFAULT_SHARDS), |text| text.parse().ok());
        let shards = shards.filter(|shards| *shards > 0);
        shards.ok_or_else(|| usage_error("--shards must be a whole number above 0".to_owned()))
    }

    pub(crate) fn ledger(&self) -> Result<LedgerTarget, ToolError> {
        Ok(LedgerTarget {
            environment: self.environment()?,
            shards: self.shards()?,
        })
    }

    /// Creates a client for each instance in `--instance` or `CORNELARCH_INSTANCES`.
    pub(crate) fn instances(&self) -> Result<Vec<InstanceClient>, ToolError> {
        let mut addresses = self.matches.opt_strs("instance");
        if addresses.is_empty() {
            let list = std::env::var("CORNELARCH_INSTANCES").unwrap_or_default();
            let list = list
                .split(',')
                .map(str::trim)
                .filter(|item| !item.is_empty());
            addresses = list.map(str::to_owned).collect();
        }
        if addresses.is_empty() {
            return Err(usage_error(
                "--instance or CORNELARCH_INSTANCES is missing".to_owned(),
            ));
        }
        let key = match self.matches.opt_str("operator-key-file") {
            Some(file) => read_file(&file)?.trim().to_owned(),
            None => self.required_option_or_env("operator-key-file", "CORNELARCH_OPERATOR_KEY")?,
        };
        addresses
            .iter()
            .map(|address| InstanceClient::new(address, &key))
            .collect()
    }
}

/// Creates the error for an invalid command line.
pub(crate) fn usage_error(message: String) -> ToolError {
    ToolError::Usage { message }
}

/// Reads a UTF-8 text file.
pub(crate) fn read_file(file: &str) -> Result<String, ToolError> {
    std::fs::read_to_string(file).map_err(|source| ToolError::File {
        file: file.to_owned(),
        source,
    })
}
