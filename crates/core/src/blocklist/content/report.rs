//! Keys of request content and the reports about it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    base::{CustomerName, ModelName, ServiceName, UpstreamName},
    blocklist::Fingerprint,
    placement::{RequestSize, shared_parts},
};

/// How probable content is as the cause of crashes that other content explains as well. Of prompt
/// parts, the more specific one is blocked, because it affects fewer requests. A whole request comes
/// last, because it follows a series of crashes if it is sent again and again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ContentRank(u8);

impl ContentRank {
    /// A whole request of one customer.
    pub const REQUEST: Self = Self(0);

    /// Returns the rank of the prompt part at a position, counted from 0.
    #[must_use]
    pub fn of_part(position: usize) -> Self {
        Self(u8::try_from(position.saturating_add(1)).unwrap_or(u8::MAX))
    }

    /// Returns the position of a prompt part, counted from 0, or `None` for a whole request.
    #[must_use]
    pub const fn position(self) -> Option<usize> {
        (self.0 as usize).checked_sub(1)
    }

    /// Creates a rank from its number.
    #[must_use]
    pub const fn from_bits(bits: u8) -> Self {
        Self(bits)
    }

    /// Returns the rank as a number.
    #[must_use]
    pub const fn bits(self) -> u8 {
        self.0
    }
}

/// Identifies content that several requests may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ContentKey {
    /// Hash of the content.
    pub fingerprint: Fingerprint,
    /// How specific the content is.
    pub rank: ContentRank,
}

impl ContentKey {
    /// Returns the key of a whole request. `target` is its method and path.
    #[must_use]
    pub fn of_request(customer: &CustomerName, target: &str, body: &[u8]) -> Self {
        Self {
            fingerprint: Fingerprint::compute(customer, target, body),
            rank: ContentRank::REQUEST,
        }
    }

    /// Returns the keys of the messages of a chat that other requests to the model may share: all but
    /// the last.
    pub fn of_messages<'a>(
        model: &'a ModelName,
        messages: &'a [&'a [u8]],
    ) -> impl Iterator<Item = Self> + 'a {
        let shared = messages.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared = shared.iter().enumerate();
        shared.map(|(position, message)| Self {
            fingerprint: Fingerprint::of_message(model, message),
            rank: ContentRank::of_part(position),
        })
    }

    /// Returns the keys of the prompt parts that a request to `service` may share with others.
    pub fn of_parts<'a>(
        service: &'a ServiceName,
        size: &'a RequestSize,
    ) -> impl Iterator<Item = Self> + 'a {
        let parts = shared_parts(size).iter().enumerate();
        parts.map(|(position, part)| Self {
            fingerprint: Fingerprint::of_part(service, part.digest),
            rank: ContentRank::of_part(position),
        })
    }
}

/// Identifies the crash of one incarnation of an upstream, which ends only once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashName(UpstreamName);

impl CrashName {
    /// Returns the name of the crash of an upstream that started at `started_unix_ms`, if known.
    #[must_use]
    pub fn new(upstream: &UpstreamName, started_unix_ms: Option<u64>) -> Self {
        Self(match started_unix_ms {
            Some(started) => UpstreamName::from(format!("{upstream}@{started}")),
            None => upstream.clone(),
        })
    }

    /// Creates a name from the text of another name.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        Self(UpstreamName::new(text))
    }

    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

/// A crash charged to content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentLoss {
    /// The content that was in flight.
    pub key: ContentKey,
    /// The crash.
    pub crash: CrashName,
    /// Whether an answer to a request with the content came later.
    pub is_cleared: bool,
    /// Time since the crash was detected.
    pub age: Duration,
    /// Whether some instance has served a request with the content recently.
    pub was_answered: bool,
}

/// Report to the other instances. Reports may be repeated, reordered and lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentReport {
    /// Charged and cleared crashes.
    pub losses: Vec<ContentLoss>,
    /// Charged content of which the sender has served other requests recently.
    pub answered: Vec<ContentKey>,
}

impl ContentReport {
    /// Returns whether the report says nothing.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.answered.is_empty()
    }
}
