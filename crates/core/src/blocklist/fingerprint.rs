//! Fingerprints of requests.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize, de};
use snafu::Snafu;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::base::{CustomerName, ModelName, ServiceName, UpstreamName};

/// Hash that identifies equal requests of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Computes the fingerprint of a request body for `target`, the model or service name.
    #[must_use]
    pub fn compute(customer: &CustomerName, target: &str, body: &[u8]) -> Self {
        Self::hash_fields(&[customer.as_str().as_bytes(), target.as_bytes(), body])
    }

    /// Computes the fingerprint of a prompt part of requests to a service.
    #[must_use]
    pub fn of_part(service: &ServiceName, digest: u64) -> Self {
        Self::hash_fields(&[service.as_str().as_bytes(), &digest.to_le_bytes()])
    }

    /// Computes the fingerprint of a message in chats with a model.
    #[must_use]
    pub fn of_message(model: &ModelName, message: &[u8]) -> Self {
        Self::hash_fields(&[model.as_str().as_bytes(), message])
    }

    fn hash_fields(fields: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        // Length prefixes separate the fields, so that different content gives different inputs.
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        Self(hasher.digest128())
    }

    /// Creates a fingerprint from its number.
    #[must_use]
    pub const fn from_bits(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the rendezvous-hashing rank of an upstream for this fingerprint.
    pub(super) fn rendezvous_rank(self, upstream: &UpstreamName) -> (u64, u128) {
        let seed = (self.0 as u64) ^ ((self.0 >> 64) as u64);
        // The fingerprint breaks ties, so that no two suspects are assigned the same upstream.
        (xxh3_64_with_seed(upstream.as_bytes(), seed), self.0)
    }

    /// Returns the fingerprint as a number.
    #[must_use]
    pub const fn bits(self) -> u128 {
        self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Error for text that is not a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("invalid fingerprint {text:?}: expected 32 hexadecimal digits"))]
pub struct ParseFingerprintError {
    text: String,
}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        match u128::from_str_radix(text, 16) {
            Ok(bits) if is_hex => Ok(Self(bits)),
            _ => Err(ParseFingerprintError {
                text: text.to_owned(),
            }),
        }
    }
}

impl Serialize for Fingerprint {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
