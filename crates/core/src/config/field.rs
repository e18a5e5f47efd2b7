//! Conversion between the text of a value and its type.

use std::{collections::BTreeSet, fmt, net::SocketAddr, ops::RangeInclusive};

use crate::{
    base::{
        BudgetName, DomainName, EnvironmentName, ModelName, ServiceName, TokenCount, UpstreamName,
    },
    config::value::{
        ALL_NAMES, AllowedSet, BudgetWeight, IdempotentRule, KeyDigest, KeyRule, UpstreamKind,
        UpstreamState,
    },
};

/// Largest length of a name, in bytes. Names travel in peer messages of at most 600 bytes.
pub(super) const MAX_NAME_BYTES: usize = 64;

/// Range of a number without limits of its own.
pub(super) const ANY_NUMBER: RangeInclusive<u64> = 0..=u64::MAX;

/// Converts a value of a document from and to text.
pub(super) trait FieldValue: Sized {
    /// Returns the value that stands in for one that failed to parse.
    fn blank() -> Self;

    /// Parses the text; numbers must lie in `range`.
    fn parse(text: &str, range: &RangeInclusive<u64>) -> Result<Self, String>;

    /// Returns the canonical text, or `None` if the key is left out.
    fn render(&self) -> Option<String>;
}

/// Checks that `text` is usable as a name.
pub(super) fn check_name(text: &str) -> Result<(), String> {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(allowed) {
        return Err(format!(
            "name {text:?} must have 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'"
        ));
    }
    Ok(())
}

fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
}

fn join_list<T: ToString>(items: impl Iterator<Item = T>) -> Option<String> {
    let items: Vec<String> = items.map(|item| item.to_string()).collect();
    (!items.is_empty()).then(|| items.join(", "))
}

fn parse_list<T, F>(text: &str, parse: F) -> Result<Vec<T>, String>
where
    T: PartialEq,
    F: Fn(&str) -> Result<T, String>,
{
    let mut items = Vec::new();
    for word in split_list(text) {
        let item = parse(word)?;
        if items.contains(&item) {
            return Err(format!("{word:?} is listed twice"));
        }
        items.push(item);
    }
    Ok(items)
}

fn parse_number(text: &str, range: &RangeInclusive<u64>) -> Result<u64, String> {
    let number: u64 = text
        .replace('_', "")
        .parse()
        .map_err(|_| format!("value {text:?} is not a whole number without a unit"))?;
    if !range.contains(&number) {
        let (low, high) = (range.start(), range.end());
        return Err(format!("value {number} is not between {low} and {high}"));
    }
    Ok(number)
}

impl FieldValue for u64 {
    fn blank() -> Self {
        0
    }

    fn parse(text: &str, range: &RangeInclusive<u64>) -> Result<Self, String> {
        parse_number(text, range)
    }

    fn render(&self) -> Option<String> {
        Some(self.to_string())
    }
}

impl FieldValue for TokenCount {
    fn blank() -> Self {
        Self::ZERO
    }

    fn parse(text: &str, range: &RangeInclusive<u64>) -> Result<Self, String> {
        parse_number(text, range).map(Self::new)
    }

    fn render(&self) -> Option<String> {
        Some(self.to_string())
    }
}

impl<T: FieldValue> FieldValue for Option<T> {
    fn blank() -> Self {
        None
    }

    fn parse(text: &str, range: &RangeInclusive<u64>) -> Result<Self, String> {
        T::parse(text, range).map(Some)
    }

    fn render(&self) -> Option<String> {
        self.as_ref().and_then(T::render)
    }
}

impl FieldValue for SocketAddr {
    fn blank() -> Self {
        Self::from(([0, 0, 0, 0], 0))
    }

    fn parse(text: &str, _range: &RangeInclusive<u64>) -> Result<Self, String> {
        match text.parse::<Self>() {
            Ok(address) if address.port() != 0 => Ok(address),
            _ => Err(format!("value {text:?} is not an address IP:port")),
        }
    }

    fn render(&self) -> Option<String> {
        Some(self.to_string())
    }
}

macro_rules! implement_for_names {
    ($($name:ident)*) => {$(
        impl FieldValue for $name {
            fn blank() -> Self {
                Self::new("")
            }

            fn parse(text: &str, _range: &RangeInclusive<u64>) -> Result<Self, String> {
                check_name(text).map(|()| Self::new(text))
            }

            fn render(&self) -> Option<String> {
                Some(self.to_string())
            }
        }
    )*};
}

implement_for_names!(BudgetName DomainName EnvironmentName ModelName ServiceName UpstreamName);

impl FieldValue for Vec<ModelName> {
    fn blank() -> Self {
        Self::new()
    }

    fn parse(text: &str, range: &RangeInclusive<u64>) -> Result<Self, String> {
        parse_list(text, |word| ModelName::parse(word, range))
    }

    fn render(&self) -> Option<String> {
        join_list(self.iter())
    }
}

impl<T: FieldValue + Ord + fmt::Display> FieldValue for AllowedSet<T> {
    fn blank() -> Self {
        Self::default()
    }

    fn parse(text: &str, range: &RangeInclusive<u64>) -> Result<Self, String> {
        if text == ALL_NAMES {
            return Ok(Self::All);
        }
        let names = parse_list(text, |word| T::parse(word, range))?;
        Ok(Self::Listed(names.into_iter().collect::<BTreeSet<_>>()))
    }

    fn render(&self) -> Option<String> {
        match self {
            Self::All => Some(ALL_NAMES.to_owned()),
            Self::Listed(names) => join_list(names.iter()),
        }
    }
}

impl FieldValue for Vec<KeyRule> {
    fn blank() -> Self {
        Self::new()
    }

    fn parse(text: &str, range: &RangeInclusive<u64>) -> Result<Self, String> {
        parse_list(text, |item| parse_key_rule(item, range))
    }

    fn render(&self) -> Option<String> {
        join_list(self.iter().map(|rule| match &rule.budget {
            Some(budget) => format!("{} {budget}", rule.digest),
            None => rule.digest.to_string(),
        }))
    }
}

fn parse_key_rule(item: &str, range: &RangeInclusive<u64>) -> Result<KeyRule, String> {
    let mut words = item.split_whitespace();
    // A mistyped value may be the key itself, so the message does not repeat it.
    let digest = words
        .next()
        .and_then(KeyDigest::from_hex)
        .ok_or("a key digest must have 64 hexadecimal digits")?;
    let budget = words.next().map(|word| BudgetName::parse(word, range));
    if words.next().is_some() {
        return Err("a key digest may be followed by one budget name only".to_owned());
    }
    Ok(KeyRule {
        digest,
        budget: budget.transpose()?,
    })
}

impl FieldValue for Vec<IdempotentRule> {
    fn blank() -> Self {
        Self::new()
    }

    fn parse(text: &str, _range: &RangeInclusive<u64>) -> Result<Self, String> {
        parse_list(text, parse_idempotent_rule)
    }

    fn render(&self) -> Option<String> {
        join_list(
            self.iter()
                .map(|rule| format!("{} {}", rule.method, rule.path_prefix)),
        )
    }
}

fn parse_idempotent_rule(item: &str) -> Result<IdempotentRule, String> {
    let fail = || format!("rule {item:?} is not of the form METHOD /path/prefix");
    let (method, path) = item.split_once(' ').ok_or_else(fail)?;
    let path = path.trim();
    let method_valid = method.chars().all(|letter| letter.is_ascii_uppercase());
    if !method_valid || !path.starts_with('/') || path.contains([' ', '%', '?']) {
        return Err(fail());
    }
    Ok(IdempotentRule {
        method: method.to_owned(),
        path_prefix: path.to_owned(),
    })
}

macro_rules! implement_for_words {
    ($type:ty { $($word:literal = $value:expr),* }) => {
        impl FieldValue for $type {
            fn blank() -> Self {
                Self::default()
            }

            fn parse(text: &str, _range: &RangeInclusive<u64>) -> Result<Self, String> {
                match text {
                    $($word => Ok($value),)*
                    _ => Err(format!(
                        "value {text:?} is not one of {}",
                        [$($word),*].join(", ")
                    )),
                }
            }

            fn render(&self) -> Option<String> {
                $(if *self == $value {
                    return Some($word.to_owned());
                })*
                None
            }
        }
    };
}

implement_for_words!(bool { "yes" = true, "no" = false });
implement_for_words!(UpstreamKind { "engine" = UpstreamKind::Engine, "service" = UpstreamKind::Service });
implement_for_words!(UpstreamState { "live" = UpstreamState::Live, "leaving" = UpstreamState::Leaving });
implement_for_words!(BudgetWeight {
    "false_refusals" = BudgetWeight::FalseRefusals,
    "held_money" = BudgetWeight::HeldMoney
});
