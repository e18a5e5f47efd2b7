//! Conversion between typed values and their text in a configuration document.

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

/// Maximum length of a name, in bytes. Peer messages, which carry names, have at most 600 bytes.
pub(super) const MAX_NAME_BYTES: usize = 64;

/// Range of a number that is not restricted further.
pub(super) const ANY_NUMBER: RangeInclusive<u64> = 0..=u64::MAX;

/// A value that can be parsed from and rendered to the text of a document.
pub(super) trait FieldValue: Sized {
    /// Returns the value that replaces a missing or invalid one.
    fn placeholder() -> Self;

    /// Parses `text`; numbers must lie in `range`.
    fn parse(text: &str, range: &RangeInclusive<u64>) -> Result<Self, String>;

    /// Returns the canonical text, or `None` if the key is omitted from the section.
    fn render(&self) -> Option<String>;
}

/// Checks that `text` is a valid name. Names are segments of the paths of objects, in which `.` and
/// `..` have a meaning.
pub(super) fn check_name(text: &str) -> Result<(), String> {
    if matches!(text, "." | "..") {
        return Err(format!("name must not be {text:?}"));
    }
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(allowed) {
        return Err(format!(
            "name {text:?} must consist of 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'"
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
    fn placeholder() -> Self {
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
    fn placeholder() -> Self {
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
    fn placeholder() -> Self {
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
    fn placeholder() -> Self {
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

macro_rules! impl_for_names {
    ($($name:ident)*) => {$(
        impl FieldValue for $name {
            fn placeholder() -> Self {
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

impl_for_names!(BudgetName DomainName EnvironmentName ModelName ServiceName UpstreamName);

impl FieldValue for Vec<ModelName> {
    fn placeholder() -> Self {
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
    fn placeholder() -> Self {
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
    fn placeholder() -> Self {
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
    // An invalid digest may be the key itself, so the error must not contain the value.
    let digest = words
        .next()
        .and_then(KeyDigest::from_hex)
        .ok_or("a key digest must have 64 hexadecimal digits")?;
    let budget = words.next().map(|word| BudgetName::parse(word, range));
    if words.next().is_some() {
        return Err("a key digest may be followed by at most one budget name".to_owned());
    }
    Ok(KeyRule {
        digest,
        budget: budget.transpose()?,
    })
}

impl FieldValue for Vec<IdempotentRule> {
    fn placeholder() -> Self {
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
    let fail = || format!("rule {item:?} does not have the form METHOD /path/prefix");
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

macro_rules! impl_for_keywords {
    ($type:ty { $($word:literal = $value:expr),* }) => {
        impl FieldValue for $type {
            fn placeholder() -> Self {
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

impl_for_keywords!(bool { "yes" = true, "no" = false });
impl_for_keywords!(UpstreamKind { "engine" = UpstreamKind::Engine, "service" = UpstreamKind::Service });
impl_for_keywords!(UpstreamState { "live" = UpstreamState::Live, "leaving" = UpstreamState::Leaving });
impl_for_keywords!(BudgetWeight {
    "false_refusals" = BudgetWeight::FalseRefusals,
    "held_money" = BudgetWeight::HeldMoney
});
