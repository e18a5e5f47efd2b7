//! Reading of one section into its type, with all faults collected.

use std::ops::RangeInclusive;

use crate::config::field::FieldValue;

/// Describes a fault with its place among the keys of a section.
pub(super) struct SectionFault {
    pub(super) key: String,
    /// Which of several equal keys is meant, counted from 0.
    pub(super) occurrence: usize,
    pub(super) problem: String,
}

/// Reads the keys of one section.
pub(super) struct SectionReader<'a> {
    properties: Vec<(&'a str, &'a str)>,
    known: Vec<&'static str>,
    faults: Vec<SectionFault>,
}

impl<'a> SectionReader<'a> {
    pub(super) fn new(properties: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        Self {
            properties: properties.into_iter().collect(),
            known: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Returns the value of a key, its default, or reports that it is missing.
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
            self.fault(key, occurrence, "key is given twice".to_owned());
        }
        match (found.first(), default) {
            (Some(&""), _) => self.fail(key, "value is empty".to_owned()),
            (Some(text), _) => match T::parse(text, range) {
                Ok(value) => value,
                Err(problem) => self.fail(key, problem),
            },
            (None, Some(default)) => default,
            (None, None) => self.fail(key, "key is missing".to_owned()),
        }
    }

    /// Reports unknown keys and returns all faults.
    pub(super) fn finish(mut self) -> Vec<SectionFault> {
        let unknown: Vec<&str> = self
            .properties
            .iter()
            .map(|(name, _)| *name)
            .filter(|name| !self.known.contains(name))
            .collect();
        for name in unknown {
            let known = self.known.join(", ");
            self.fault(name, 0, format!("unknown key; known keys are {known}"));
        }
        self.faults
    }

    fn fail<T: FieldValue>(&mut self, key: &str, problem: String) -> T {
        self.fault(key, 0, problem);
        T::blank()
    }

    fn fault(&mut self, key: &str, occurrence: usize, problem: String) {
        self.faults.push(SectionFault {
            key: key.to_owned(),
            occurrence,
            problem,
        });
    }
}
