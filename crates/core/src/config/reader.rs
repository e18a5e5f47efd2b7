//! Reader that converts the keys of a section into typed values and collects all errors.

use std::ops::RangeInclusive;

use crate::config::field::FieldValue;

/// An error in a section, with the key that it concerns.
pub(super) struct SectionError {
    pub(super) key: String,
    /// The index among several equal keys, counted from 0.
    pub(super) occurrence: usize,
    pub(super) problem: String,
}

/// Typed access to the keys of one section.
pub(super) struct SectionReader<'a> {
    properties: Vec<(&'a str, &'a str)>,
    known: Vec<&'static str>,
    errors: Vec<SectionError>,
}

impl<'a> SectionReader<'a> {
    pub(super) fn new(properties: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        Self {
            properties: properties.into_iter().collect(),
            known: Vec::new(),
            errors: Vec::new(),
        }
    }

    /// Returns the value of a key or its default.
    ///
    /// A missing or invalid value is reported and replaced by a placeholder, so that reading goes
    /// on and one pass finds all errors.
    pub(super) fn field<T: FieldValue>(
        &mut self,
        key: &'static str,
        range: &RangeInclusive<u64>,
        default: Option<T>,
    ) -> T {
        self.known.push(key);
        let found: Vec<&str> = self
            .properties
            .iter()
            .filter(|(name, _)| *name == key)
            .map(|(_, value)| value.trim())
            .collect();
        for occurrence in 1..found.len() {
            self.report(key, occurrence, "key is given twice".to_owned());
        }
        match (found.first(), default) {
            (Some(&""), _) => self.report_invalid(key, "value is empty".to_owned()),
            (Some(text), _) => match T::parse(text, range) {
                Ok(value) => value,
                Err(problem) => self.report_invalid(key, problem),
            },
            (None, Some(default)) => default,
            (None, None) => self.report_invalid(key, "key is missing".to_owned()),
        }
    }

    /// Reports unknown keys and returns all errors of the section.
    pub(super) fn finish(mut self) -> Vec<SectionError> {
        let unknown: Vec<&str> = self
            .properties
            .iter()
            .map(|(name, _)| *name)
            .filter(|name| !self.known.contains(name))
            .collect();
        for name in unknown {
            let known = self.known.join(", ");
            self.report(name, 0, format!("unknown key; known keys are {known}"));
        }
        self.errors
    }

    fn report_invalid<T: FieldValue>(&mut self, key: &str, problem: String) -> T {
        self.report(key, 0, problem);
        T::placeholder()
    }

    fn report(&mut self, key: &str, occurrence: usize, problem: String) {
        self.errors.push(SectionError {
            key: key.to_owned(),
            occurrence,
            problem,
        });
    }
}
