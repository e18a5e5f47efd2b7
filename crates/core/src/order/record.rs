//! The record of an order that is stored at the platform.

use std::{borrow::Cow, fmt, sync::Arc, time::Duration};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};

use crate::base::{CustomerName, EnvironmentName, HolderId};

/// Largest answer body that a record stores, in bytes. Encoding at most doubles its size, which
/// leaves room for the headers within the platform's limit of 1 MB per object.
pub const MAX_STORED_BODY_BYTES: usize = 256 * 1024;

/// Largest total of header names and values that a record stores, in bytes.
const MAX_STORED_HEADER_BYTES: usize = 32 * 1024;

/// Length of truncated digests in bytes. At 128 bits the probability of a collision is negligible.
const DIGEST_BYTES: usize = 16;

/// Identifies one claim; generated at random for every attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(pub u128);

impl fmt::Display for ClaimId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl Serialize for ClaimId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ClaimId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let number = u128::from_str_radix(&text, 16).map_err(de::Error::custom)?;
        Ok(Self(number))
    }
}

/// Digest of the content of a request, with which the reuse of an idempotency key for a different
/// request is detected.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(Arc<str>);

impl RequestDigest {
    /// Computes the digest of a request to a service.
    #[must_use]
    pub fn new(service: &str, method: &str, path_and_query: &str, body: &[u8]) -> Self {
        let parts = [
            service.as_bytes(),
            method.as_bytes(),
            path_and_query.as_bytes(),
            body,
        ];
        Self(digest_hex(&parts).into())
    }
}

/// Returns the platform key under which the record of an order is stored.
#[must_use]
pub fn record_key(
    environment: &EnvironmentName,
    customer: &CustomerName,
    idempotency_key: &str,
) -> String {
    let digest = digest_hex(&[idempotency_key.as_bytes()]);
    format!("order/{environment}/{customer}/{digest}")
}

/// Answer of an upstream, returned to every caller of the order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers in order.
    pub headers: Vec<(String, String)>,
    /// The body, stored as text where possible and as hexadecimal digits otherwise.
    #[serde(serialize_with = "write_body", deserialize_with = "read_body")]
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Returns whether the answer is small enough to be stored in a record.
    #[must_use]
    pub fn fits(&self) -> bool {
        let headers = self.headers.iter();
        let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        self.body.len() <= MAX_STORED_BODY_BYTES && header_bytes <= MAX_STORED_HEADER_BYTES
    }
}

/// Progress of an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The claimant may have sent the call, or may still send it.
    Claimed,
    /// The call ran, and every repeated request gets this answer.
    Answered(StoredAnswer),
    /// The call ran, but its answer was too large to be stored.
    AnsweredTooLarge {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The call was provably not sent and never will be under this claim; the order may be claimed
    /// again.
    FailedBeforeSend,
}

/// State of an order, stored as one object of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The process that made the current claim.
    pub claimant: HolderId,
    /// The current claim; only its owner sends the call, and at most once.
    pub claim: ClaimId,
    /// Distinguishes a repeated request from a different one with the same order id.
    pub digest: RequestDigest,
    /// The wall-clock time of the claim in seconds since the Unix epoch; used only for retention.
    pub created_s: u64,
    /// The progress of the order.
    pub state: OrderState,
}

/// A record with the version that the platform assigned to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionedRecord {
    /// The version of the object.
    pub version: u64,
    /// The content of the object at this version.
    pub record: OrderRecord,
}

/// Returns whether a record is older than `retention` and may be removed. A record with a time
/// after `now_s`, written by a claimant with a faster clock, counts as new.
#[must_use]
pub fn is_expired(record: &OrderRecord, now_s: u64, retention: Duration) -> bool {
    now_s.saturating_sub(record.created_s) > retention.as_secs()
}

/// Returns the truncated SHA-256 of the length-prefixed parts in hexadecimal digits.
fn digest_hex(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    encode_hex(&hasher.finalize()[..DIGEST_BYTES])
}

fn encode_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 15]);
    digits
        .map(|digit| char::from(DIGITS[usize::from(digit)]))
        .collect()
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u32>> = text.chars().map(|digit| digit.to_digit(16)).collect();
    let digits = digits.filter(|digits| digits.len() % 2 == 0)?;
    Some(
        digits
            .chunks(2)
            .map(|pair| (pair[0] * 16 + pair[1]) as u8)
            .collect(),
    )
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EncodedBody<'a> {
    Text(Cow<'a, str>),
    Hex(String),
}

fn write_body<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    // JSON escapes most control characters as six bytes, which could exceed the size limit of the
    // platform object.
    let is_short = |text: &str| {
        text.chars()
            .all(|c| c >= ' ' || matches!(c, '\n' | '\r' | '\t'))
    };
    let encoded = match std::str::from_utf8(body) {
        Ok(text) if is_short(text) => EncodedBody::Text(text.into()),
        _ => EncodedBody::Hex(encode_hex(body)),
    };
    encoded.serialize(serializer)
}

fn read_body<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    match EncodedBody::deserialize(deserializer)? {
        EncodedBody::Text(text) => Ok(text.into_owned().into_bytes()),
        EncodedBody::Hex(text) => decode_hex(&text).ok_or_else(|| {
            de::Error::custom("stored answer body is not a valid hexadecimal string")
        }),
    }
}
