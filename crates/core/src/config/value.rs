//! Types of the values in a document.

use std::{collections::BTreeSet, fmt};

use serde::Serialize;

use crate::base::BudgetName;

/// Text that stands for every name in a list of allowed names.
pub(super) const ALL_NAMES: &str = "*";

/// Lists the names that a customer may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum AllowedSet<T: Ord> {
    /// Every name, written as `*`.
    All,
    /// Only these names.
    Listed(BTreeSet<T>),
}

impl<T: Ord> AllowedSet<T> {
    /// Returns whether `name` is allowed.
    #[must_use]
    pub fn allows(&self, name: &T) -> bool {
        match self {
            Self::All => true,
            Self::Listed(names) => names.contains(name),
        }
    }

    /// Returns whether no name is allowed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Listed(names) if names.is_empty())
    }

    /// Iterates over the listed names; empty for [`AllowedSet::All`].
    pub fn listed(&self) -> impl Iterator<Item = &T> {
        match self {
            Self::All => None,
            Self::Listed(names) => Some(names.iter()),
        }
        .into_iter()
        .flatten()
    }
}

impl<T: Ord> Default for AllowedSet<T> {
    fn default() -> Self {
        Self::Listed(BTreeSet::new())
    }
}

/// Holds the SHA-256 digest of a customer key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Parses 64 hexadecimal digits, or returns `None`.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        let mut digest = [0; 32];
        for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).ok()?;
            *byte = u8::from_str_radix(pair, 16).ok()?;
        }
        Some(Self(digest))
    }

    /// Computes the digest of a key as the caller sends it.
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        use sha2::Digest;
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Accepts one key of a customer, written as `DIGEST` or `DIGEST BUDGET`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeyRule {
    /// The SHA-256 digest of the key.
    pub digest: KeyDigest,
    /// The budget that pays for requests with this key, if not the customer's own.
    pub budget: Option<BudgetName>,
}

/// Declares calls of a service idempotent, written as `METHOD /path/prefix`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct IdempotentRule {
    /// The HTTP method in capitals.
    pub method: String,
    /// The beginning of the path below the service, in whole segments.
    pub path_prefix: String,
}

impl IdempotentRule {
    /// Returns whether the rule covers a call.
    ///
    /// The prefix matches whole segments only, and a path with dot segments or escapes never
    /// matches, because the service could resolve it to another path.
    #[must_use]
    pub fn covers(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or_default();
        let plain = !path.contains('%')
            && !path.contains('\\')
            && !path.split('/').any(|segment| matches!(segment, "." | ".."));
        let Some(rest) = path.strip_prefix(self.path_prefix.as_str()) else {
            return false;
        };
        let whole = rest.is_empty() || rest.starts_with('/') || self.path_prefix.ends_with('/');
        plain && whole && self.method == method
    }
}

/// Tells what an upstream runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    #[default]
    Engine,
    /// An instance of a plain service.
    Service,
}

/// Tells whether an upstream receives new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// In service.
    #[default]
    Live,
    /// Receives no new work.
    Leaving,
}

/// Tells which fault of budgeting costs the operators more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BudgetWeight {
    /// Holds more tokens in instances so that fewer requests are refused falsely.
    #[default]
    FalseRefusals,
    /// Holds fewer tokens in instances.
    HeldMoney,
}
