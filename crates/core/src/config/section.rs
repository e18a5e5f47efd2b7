//! Sections of a document with their keys, units, ranges and defaults.

use std::{fmt, net::SocketAddr, ops::RangeInclusive, str::FromStr};

use serde::{Deserialize, Serialize, de};

use crate::{
    base::{
        BudgetName, DomainName, EnvironmentName, ModelName, ServiceName, TokenCount, UpstreamName,
    },
    config::{
        field::{ANY_NUMBER, FieldValue, check_name},
        reader::SectionReader,
        value::{AllowedSet, BudgetWeight, IdempotentRule, KeyRule, UpstreamKind, UpstreamState},
    },
};

/// One day, in seconds.
const DAY_S: u64 = 86_400;

/// Lists the kinds of sections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SectionKind {
    /// `[environment]`
    Environment,
    /// `[limits]`
    Limits,
    /// `[weights]`
    Weights,
    /// `[model NAME]`
    Model,
    /// `[service NAME]`
    Service,
    /// `[budget NAME]`
    Budget,
    /// `[customer NAME]`
    Customer,
    /// `[upstream NAME]`
    Upstream,
}

impl SectionKind {
    /// Every kind, in the order of the canonical text.
    pub const ALL: [Self; 8] = [
        Self::Environment,
        Self::Limits,
        Self::Weights,
        Self::Model,
        Self::Service,
        Self::Budget,
        Self::Customer,
        Self::Upstream,
    ];

    /// Returns the first word of the section header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Environment => "environment",
            Self::Limits => "limits",
            Self::Weights => "weights",
            Self::Model => "model",
            Self::Service => "service",
            Self::Budget => "budget",
            Self::Customer => "customer",
            Self::Upstream => "upstream",
        }
    }

    /// Returns whether the header carries a name.
    #[must_use]
    pub const fn is_named(self) -> bool {
        !matches!(self, Self::Environment | Self::Limits | Self::Weights)
    }
}

/// Identifies a section; the text form is the header without brackets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SectionName {
    /// The kind of section.
    pub kind: SectionKind,
    /// The name; empty for kinds without a name.
    pub name: String,
}

impl SectionName {
    /// Creates the identity of a section.
    #[must_use]
    pub fn new(kind: SectionKind, name: &str) -> Self {
        Self {
            kind,
            name: name.to_owned(),
        }
    }
}

impl fmt::Display for SectionName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.kind.as_str())?;
        if self.kind.is_named() {
            write!(formatter, " {}", self.name)?;
        }
        Ok(())
    }
}

impl FromStr for SectionName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut words = text.split_whitespace();
        let word = words.next().unwrap_or_default();
        let Some(kind) = SectionKind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == word)
        else {
            let known = SectionKind::ALL.map(SectionKind::as_str).join(", ");
            return Err(format!("unknown section; known sections are {known}"));
        };
        let name = words.next();
        if words.next().is_some() || name.is_some() != kind.is_named() {
            let form = if kind.is_named() { " NAME" } else { "" };
            return Err(format!("section header must be [{word}{form}]"));
        }
        let name = name.unwrap_or_default();
        if kind.is_named() {
            check_name(name)?;
        }
        Ok(Self::new(kind, name))
    }
}

impl Serialize for SectionName {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for SectionName {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// Names the keys of a kind of section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SectionSchema {
    /// The kind of section.
    pub kind: SectionKind,
    /// Every key that the section may have.
    pub keys: &'static [&'static str],
}

/// Reads and writes one kind of section.
pub(super) trait SectionBody: Sized {
    /// Reads the keys; faults stay in the reader.
    fn read(reader: &mut SectionReader<'_>) -> Self;

    /// Returns the canonical body; a key with its default value is left out.
    fn body(&self) -> String;
}

macro_rules! define_section {
    (
        $(#[$meta:meta])*
        $name:ident {
            $($(#[$field_meta:meta])* $field:ident: $type:ty = $default:expr $(, in $range:expr)?;)*
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, Serialize)]
        pub struct $name {
            $($(#[$field_meta])* pub $field: $type,)*
        }

        impl $name {
            /// The keys of the section.
            pub const KEYS: &'static [&'static str] = &[$(stringify!($field),)*];
        }

        impl Default for $name {
            fn default() -> Self {
                Self {
                    $($field: { let value: Option<$type> = $default; value }
                        .unwrap_or_else(<$type as FieldValue>::blank),)*
                }
            }
        }

        impl SectionBody for $name {
            fn read(reader: &mut SectionReader<'_>) -> Self {
                Self {
                    $($field: {
                        let ranges: &[RangeInclusive<u64>] = &[$($range,)? ANY_NUMBER];
                        reader.field(stringify!($field), &ranges[0], $default)
                    },)*
                }
            }

            fn body(&self) -> String {
                let mut body = String::new();
                $({
                    let default: Option<$type> = $default;
                    if default.as_ref() != Some(&self.$field)
                        && let Some(text) = self.$field.render()
                    {
                        body.push_str(stringify!($field));
                        body.push_str(" = ");
                        body.push_str(&text);
                        body.push('\n');
                    }
                })*
                body
            }
        }
    };
}

define_section! {
    /// Holds `[environment]`.
    EnvironmentSection {
        /// The name of the environment, such as `trial` or `production`.
        name: EnvironmentName = None;
    }
}

define_section! {
    /// Holds `[budget NAME]`.
    BudgetSection {
        /// The initial amount in tokens, credited once under operation id `initial/<budget>`.
        paid: TokenCount = None;
    }
}

define_section! {
    /// Holds `[customer NAME]`.
    CustomerSection {
        /// The digests of the customer's keys; a digest may be followed by the budget that pays
        /// for requests with this key. A customer without keys cannot send requests.
        key_sha256: Vec<KeyRule> = Some(Vec::new());
        /// The budget that pays for requests.
        budget: BudgetName = None;
        /// The models that the customer may use.
        models: AllowedSet<ModelName> = Some(AllowedSet::default());
        /// The services that the customer may call.
        services: AllowedSet<ServiceName> = Some(AllowedSet::default());
        /// The upstreams that the customer's requests may reach.
        upstreams: AllowedSet<UpstreamName> = Some(AllowedSet::All);
        /// The customer's share of a full queue, relative to other customers.
        weight: u64 = Some(1), in 1..=1_000;
        /// The priority that is sent to engines; a higher one is served first.
        priority: u64 = Some(5), in 0..=9;
        /// The largest `max_tokens` of one request, in tokens; the model's limit if absent.
        max_tokens: Option<TokenCount> = Some(None), in 1..=10_000_000;
    }
}

define_section! {
    /// Holds `[model NAME]`.
    ModelSection {
        /// The `max_tokens` of a request that gives none, in tokens.
        max_tokens_default: TokenCount = Some(TokenCount::new(512)), in 1..=10_000_000;
        /// The largest `max_tokens` of a request, in tokens.
        max_tokens_limit: TokenCount = Some(TokenCount::new(4_096)), in 1..=10_000_000;
        /// Whether engines can resume a broken stream at a sequence number.
        resume: bool = Some(false);
        /// The longest wait in the queue, in milliseconds.
        queue_timeout_ms: u64 = Some(10_000), in 1..=600_000;
        /// The longest wait for the first token after sending, in milliseconds.
        first_token_timeout_ms: u64 = Some(30_000), in 1..=600_000;
        /// The longest wait between two chunks, in milliseconds.
        chunk_timeout_ms: u64 = Some(15_000), in 1..=600_000;
    }
}

define_section! {
    /// Holds `[service NAME]`.
    ServiceSection {
        /// The fixed cost of one call, in tokens.
        cost_per_call: TokenCount = None;
        /// Calls that may be repeated, apart from `GET` and `HEAD`.
        idempotent: Vec<IdempotentRule> = Some(Vec::new());
        /// The longest wait for a connection, in milliseconds.
        connect_timeout_ms: u64 = Some(1_000), in 1..=60_000;
        /// The longest wait for an answer, in milliseconds.
        timeout_ms: u64 = Some(30_000), in 1..=600_000;
    }
}

impl ServiceSection {
    /// Returns whether a call may be repeated; `path` is the path below the service.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        matches!(method, "GET" | "HEAD")
            || self.idempotent.iter().any(|rule| rule.covers(method, path))
    }
}

define_section! {
    /// Holds `[upstream NAME]`.
    UpstreamSection {
        /// What the upstream runs.
        kind: UpstreamKind = None;
        /// The address.
        address: SocketAddr = None;
        /// The failure domain.
        domain: DomainName = None;
        /// The models of an engine.
        models: Vec<ModelName> = Some(Vec::new());
        /// The service of a service instance.
        service: Option<ServiceName> = Some(None);
        /// The largest number of requests in flight.
        concurrency: u64 = Some(32), in 1..=100_000;
        /// Whether the upstream rejects an order with an old fencing number.
        fencing: bool = Some(false);
        /// Whether the upstream receives new work.
        state: UpstreamState = Some(UpstreamState::Live);
    }
}

define_section! {
    /// Holds `[limits]`.
    LimitsSection {
        /// The largest request body, in bytes.
        body_bytes: u64 = Some(4_194_304), in 1..=67_108_864;
        /// The largest number of queued requests per model at an instance of capacity 1.
        queue_requests: u64 = Some(256), in 1..=100_000;
        /// The rate of non-idempotent calls of the whole fleet, per second.
        order_rate: u64 = Some(50), in 1..=100_000;
        /// The time for which order records are kept, in seconds.
        order_retention_s: u64 = Some(7 * DAY_S), in 7_200..=365 * DAY_S;
        /// The longest time of one request, in seconds.
        request_timeout_s: u64 = Some(600), in 1..=DAY_S;
        /// The wait of a request that does not fit its budget, in milliseconds.
        end_wait_ms: u64 = Some(250), in 0..=60_000;
        /// The time for which a request that crashed upstreams is blocked, in seconds.
        block_s: u64 = Some(3_600), in 1..=30 * DAY_S;
        /// The number of upstreams lost in a domain after which a request is blocked.
        block_losses: u64 = Some(2), in 1..=100;
        /// The retries allowed per hundred first attempts.
        retry_percent: u64 = Some(10), in 0..=100;
        /// The expected extra time of an upstream in another domain, in milliseconds.
        remote_penalty_ms: u64 = Some(20), in 0..=60_000;
    }
}

define_section! {
    /// Holds `[weights]`.
    WeightsSection {
        /// Which fault of budgeting costs more.
        weight: BudgetWeight = Some(BudgetWeight::FalseRefusals);
        /// The time for which an instance holds tokens ahead, in seconds.
        horizon_s: u64 = Some(60), in 1..=DAY_S;
        /// The platform outage that held tokens must cover, in seconds.
        outage_reserve_s: u64 = Some(3_900), in 0..=7 * DAY_S;
        /// The largest share of a budget's available tokens that one holder targets, in percent.
        hold_cap_percent: u64 = Some(50), in 1..=100;
        /// The time after which unreported spend of an idle budget is written, in seconds.
        idle_flush_s: u64 = Some(1_200), in 1..=DAY_S;
        /// The platform reads of exhausted budgets per instance, per second.
        read_rate: u64 = Some(5), in 1..=1_000;
    }
}

/// The keys of every kind of section.
pub const SECTION_SCHEMAS: [SectionSchema; 8] = [
    SectionSchema {
        kind: SectionKind::Environment,
        keys: EnvironmentSection::KEYS,
    },
    SectionSchema {
        kind: SectionKind::Limits,
        keys: LimitsSection::KEYS,
    },
    SectionSchema {
        kind: SectionKind::Weights,
        keys: WeightsSection::KEYS,
    },
    SectionSchema {
        kind: SectionKind::Model,
        keys: ModelSection::KEYS,
    },
    SectionSchema {
        kind: SectionKind::Service,
        keys: ServiceSection::KEYS,
    },
    SectionSchema {
        kind: SectionKind::Budget,
        keys: BudgetSection::KEYS,
    },
    SectionSchema {
        kind: SectionKind::Customer,
        keys: CustomerSection::KEYS,
    },
    SectionSchema {
        kind: SectionKind::Upstream,
        keys: UpstreamSection::KEYS,
    },
];
