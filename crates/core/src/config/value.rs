//! Value types of a configuration document.

use std::{collections::BTreeSet, fmt};

use serde::Serialize;

use crate::base::BudgetName;

/// Wildcard that allows every name in a list of allowed names.
pub(super) const ALL_NAMES: &str = "*";

/// The set of names that a customer may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum AllowedSet<T: Ord> {
    /// Every name, written as `*`.
    All,
    /// Only these names.
    Listed(BTreeSet<T>),
}

impl<T: Ord> AllowedSet<T> {
    /// Returns whether the customer may use `name`; always true for [`AllowedSet::All`].
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

/// The SHA-256 digest of a customer key.
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

    /// Computes the digest of a key in the form in which the client sends it.
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

/// A customer key that is accepted, written as `DIGEST` or `DIGEST BUDGET`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeyRule {
    /// The SHA-256 digest of the key.
    pub digest: KeyDigest,
    /// The budget charged for requests with this key; the customer's budget if `None`.
    pub budget: Option<BudgetName>,
}

/// A rule that declares calls of a service idempotent, written as `METHOD /path/prefix`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct IdempotentRule {
    /// The HTTP method in upper case.
    pub method: String,
    /// The prefix of the path relative to the service; matches whole segments only.
    pub path_prefix: String,
}

impl IdempotentRule {
    /// Returns whether the rule applies to a call.
    ///
    /// The prefix matches whole segments only. A path with dot segments, backslashes or percent
    /// escapes never matches, because the service could resolve it to another path.
    #[must_use]
    pub fn matches_call(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or_default();
        let is_plain = !path.contains('%')
            && !path.contains('\\')
            && !path.split('/').any(|segment| matches!(segment, "." | ".."));
        let Some(rest) = path.strip_prefix(self.path_prefix.as_str()) else {
            return false;
        };
        let at_segment_boundary =
            rest.is_empty() || rest.starts_with('/') || self.path_prefix.ends_with('/');
        is_plain && at_segment_boundary && self.method == method
    }
}

/// The kind of server that an upstream runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    #[default]
    Engine,
    /// An instance of a service.
    Service,
}

/// Whether an upstream receives new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// Receives new requests.
    #[default]
    Live,
    /// Draining: receives no new requests.
    Leaving,
}

/// The budget metric that takes precedence: false refusals, or tokens held by instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BudgetWeight {
    /// Hold more tokens in instances, so that fewer requests are refused while budget remains.
    #[default]
    FalseRefusals,
    /// Hold fewer tokens in instances.
    HeldMoney,
}
