//! Identity of a router process.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize, de};
use snafu::Snafu;

use crate::base::InstanceName;

/// Identity of one incarnation of a router process.
///
/// The epoch is chosen at random on each start, so a restarted process never takes over the ledger
/// row or the claims of the previous one. The text representation is `name~hex`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId {
    /// The configured name of the instance.
    pub instance: InstanceName,
    /// The random number that distinguishes this incarnation.
    pub epoch: u64,
}

impl HolderId {
    /// Creates the identity of an incarnation.
    #[must_use]
    pub const fn new(instance: InstanceName, epoch: u64) -> Self {
        Self { instance, epoch }
    }
}

impl fmt::Display for HolderId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}~{:016x}", self.instance, self.epoch)
    }
}

/// Error for a text that is not a [`HolderId`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("holder {text:?} is not of the form name~hex"))]
pub struct ParseHolderError {
    text: String,
}

impl FromStr for HolderId {
    type Err = ParseHolderError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseHolderError {
            text: text.to_owned(),
        };
        let (instance, epoch) = text.rsplit_once('~').ok_or_else(error)?;
        let epoch = u64::from_str_radix(epoch, 16).map_err(|_| error())?;
        if instance.is_empty() {
            return Err(error());
        }
        Ok(Self::new(InstanceName::new(instance), epoch))
    }
}

impl Serialize for HolderId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for HolderId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
