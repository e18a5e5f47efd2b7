//! Section types of a configuration document, with the ranges and defaults of their keys.

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

const DAY_S: u64 = 86_400;

/// The first word of a section header, which determines the keys of the section.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SectionKind {
    /// `[environment]`: the environment to which the document belongs.
    Environment,
    /// `[limits]`: limits that apply to all customers.
    Limits,
    /// `[weights]`: settings of the budget policy.
    Weights,
    /// `[model NAME]`: token limits and timeouts.
    Model,
    /// `[service NAME]`: call cost, retry rules and timeouts.
    Service,
    /// `[budget NAME]`: the initial balance.
    Budget,
    /// `[customer NAME]`: keys, budget and permissions.
    Customer,
    /// `[upstream NAME]`: an engine or service instance.
    Upstream,
}

impl SectionKind {
    /// All kinds, in the order of the canonical text.
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

    /// Returns whether the section header includes a name.
    #[must_use]
    pub const fn is_named(self) -> bool {
        !matches!(self, Self::Environment | Self::Limits | Self::Weights)
    }
}

/// Identifier of a section; its text form is the section header without brackets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SectionName {
    /// The first word of the header.
    pub kind: SectionKind,
    /// The name; empty for kinds without a name.
    pub name: String,
}

impl SectionName {
    /// Creates a section identifier.
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

/// The keys of one kind of section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SectionSchema {
    /// The sections to which the keys belong.
    pub kind: SectionKind,
    /// All keys that the section may contain.
    pub keys: &'static [&'static str],
}

/// Conversion between a section type and its text.
pub(super) trait SectionBody: Sized {
    /// Reads the section; errors are collected in `reader`.
    fn read(reader: &mut SectionReader<'_>) -> Self;

    /// Returns the canonical body, which omits keys that have their default value.
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
            /// The keys of the section, in declaration order.
            pub const KEYS: &'static [&'static str] = &[$(stringify!($field),)*];
        }

        impl Default for $name {
            fn default() -> Self {
                Self {
                    $($field: { let value: Option<$type> = $default; value }
                        .unwrap_or_else(<$type as FieldValue>::placeholder),)*
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
    /// The `[environment]` section, which binds a document to one environment.
    EnvironmentSection {
        /// The name of the environment, such as `trial` or `production`.
        name: EnvironmentName = None;
    }
}

define_section! {
    /// A `[budget NAME]` section.
    BudgetSection {
        /// The initial balance in tokens, credited once under operation id `initial/<budget>`.
        paid: TokenCount = None;
    }
}

define_section! {
    /// A `[customer NAME]` section.
    CustomerSection {
        /// The digests of the customer's keys, each optionally followed by the budget charged for
        /// requests with this key. A customer without keys cannot send requests.
        key_sha256: Vec<KeyRule> = Some(Vec::new());
        /// The budget charged for requests.
        budget: BudgetName = None;
        /// The models that the customer may use.
        models: AllowedSet<ModelName> = Some(AllowedSet::default());
        /// The services that the customer may call.
        services: AllowedSet<ServiceName> = Some(AllowedSet::default());
        /// The upstreams that the customer's requests may reach.
        upstreams: AllowedSet<UpstreamName> = Some(AllowedSet::All);
        /// The customer's share of a full queue, relative to other customers.
        weight: u64 = Some(1), in 1..=1_000;
        /// The priority sent to engines; higher values are served first.
        priority: u64 = Some(5), in 0..=9;
        /// The maximum `max_tokens` of a request, in tokens; the model's limit if absent.
        max_tokens: Option<TokenCount> = Some(None), in 1..=10_000_000;
    }
}

define_section! {
    /// A `[model NAME]` section.
    ModelSection {
        /// The default `max_tokens` of a request, in tokens.
        max_tokens_default: TokenCount = Some(TokenCount::new(512)), in 1..=10_000_000;
        /// The maximum `max_tokens` of a request, in tokens.
        max_tokens_limit: TokenCount = Some(TokenCount::new(4_096)), in 1..=10_000_000;
        /// Whether engines can resume an interrupted stream at a sequence number.
        resume: bool = Some(false);
        /// The maximum time in the queue, in milliseconds.
        queue_timeout_ms: u64 = Some(10_000), in 1..=600_000;
        /// The maximum time from sending the request to the first token, in milliseconds.
        first_token_timeout_ms: u64 = Some(30_000), in 1..=600_000;
        /// The maximum time between two chunks, in milliseconds.
        chunk_timeout_ms: u64 = Some(15_000), in 1..=600_000;
    }
}

define_section! {
    /// A `[service NAME]` section.
    ServiceSection {
        /// The fixed cost of one call, in tokens.
        cost_per_call: TokenCount = None;
        /// Calls that may be retried, in addition to `GET` and `HEAD`.
        idempotent: Vec<IdempotentRule> = Some(Vec::new());
        /// The timeout for establishing a connection, in milliseconds.
        connect_timeout_ms: u64 = Some(1_000), in 1..=60_000;
        /// The timeout for a response, in milliseconds.
        timeout_ms: u64 = Some(30_000), in 1..=600_000;
    }
}

impl ServiceSection {
    /// Returns whether a call may be retried; `path` is relative to the service.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        matches!(method, "GET" | "HEAD")
            || self
                .idempotent
                .iter()
                .any(|rule| rule.matches_call(method, path))
    }
}

define_section! {
    /// An `[upstream NAME]` section.
    UpstreamSection {
        /// Whether the upstream is a model engine or a service instance.
        kind: UpstreamKind = None;
        /// The address to which requests are sent, as `IP:port`.
        address: SocketAddr = None;
        /// The failure domain in which the upstream runs.
        domain: DomainName = None;
        /// The models that an engine serves.
        models: Vec<ModelName> = Some(Vec::new());
        /// The service of a service instance.
        service: Option<ServiceName> = Some(None);
        /// The maximum number of requests in flight.
        concurrency: u64 = Some(32), in 1..=100_000;
        /// Whether the upstream rejects orders with an outdated fencing number.
        fencing: bool = Some(false);
        /// Whether the upstream receives new requests.
        state: UpstreamState = Some(UpstreamState::Live);
    }
}

define_section! {
    /// The `[limits]` section, which applies to all customers.
    LimitsSection {
        /// The maximum size of a request body, in bytes.
        body_bytes: u64 = Some(4_194_304), in 1..=67_108_864;
        /// The maximum number of queued requests per model at an instance of capacity 1.
        queue_requests: u64 = Some(256), in 1..=100_000;
        /// The maximum rate of non-idempotent calls across the fleet, per second.
        order_rate: u64 = Some(50), in 1..=100_000;
        /// The retention period of order records, in seconds.
        order_retention_s: u64 = Some(7 * DAY_S), in 7_200..=365 * DAY_S;
        /// The maximum duration of a request, in seconds.
        request_timeout_s: u64 = Some(600), in 1..=DAY_S;
        /// How long a request that exceeds its budget waits for tokens, in milliseconds.
        end_wait_ms: u64 = Some(250), in 0..=60_000;
        /// How long a request that crashed upstreams is blocked, in seconds.
        block_s: u64 = Some(3_600), in 1..=30 * DAY_S;
        /// The number of upstreams lost in a domain after which a request is blocked.
        block_losses: u64 = Some(2), in 1..=100;
        /// The number of retries allowed per hundred first attempts.
        retry_percent: u64 = Some(10), in 0..=100;
        /// The expected additional latency of an upstream in another domain, in milliseconds.
        remote_penalty_ms: u64 = Some(20), in 0..=60_000;
    }
}

define_section! {
    /// The `[weights]` section, which configures the budget policy.
    WeightsSection {
        /// The budget metric that takes precedence.
        weight: BudgetWeight = Some(BudgetWeight::FalseRefusals);
        /// The period of expected demand for which an instance holds tokens, in seconds.
        horizon_s: u64 = Some(60), in 1..=DAY_S;
        /// The duration of a platform outage that held tokens must cover, in seconds.
        outage_reserve_s: u64 = Some(3_900), in 0..=7 * DAY_S;
        /// The maximum share of a budget's available tokens that one holder targets, in percent.
        hold_cap_percent: u64 = Some(50), in 1..=100;
        /// The time after which unreported spending of an idle budget is written, in seconds.
        idle_flush_s: u64 = Some(1_200), in 1..=DAY_S;
        /// The maximum rate of platform reads for exhausted budgets per instance, per second.
        read_rate: u64 = Some(5), in 1..=1_000;
    }
}

/// The schemas of all kinds of sections.
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
