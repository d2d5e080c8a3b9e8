//! Parses the keys of one section and collects the problems with them.

use acacia_code::Code;
use ini::Properties;

use crate::Problem;

/// A section that is being parsed.
pub(super) struct Keys<'a> {
    section: &'a str,
    properties: &'a Properties,
    problems: &'a mut Vec<Problem>,
    known: Vec<&'static str>,
}

impl<'a> Keys<'a> {
    pub(super) fn new(
        section: &'a str,
        properties: &'a Properties,
        problems: &'a mut Vec<Problem>,
    ) -> Self {
        Keys {
            section,
            properties,
            problems,
            known: Vec::new(),
        }
    }

    /// All keys and values, for sections whose keys are names of servers.
    pub(super) fn lines(&self) -> impl Iterator<Item = (&'a str, &'a str)> + use<'a> {
        self.properties.iter()
    }

    pub(super) fn has(&self, key: &str) -> bool {
        self.properties.contains_key(key)
    }

    /// The value of a key that must be present.
    pub(super) fn required<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if !self.has(key) {
            self.missing(key, expected);
        }
        self.optional(key, expected, parse)
    }

    /// The value of a key that may be present at most once.
    pub(super) fn optional<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.known.push(key);
        let mut values = self.properties.get_all(key);
        let first = values.next()?;
        if let Some(second) = values.next() {
            self.problem(Code::ConfigDuplicate, key, second, "the key once");
        }
        let value = parse(first);
        if value.is_none() {
            self.problem(Code::ConfigValueInvalid, key, first, expected);
        }
        value
    }

    /// The values of a key that may be present any number of times.
    pub(super) fn repeated<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Vec<T> {
        self.known.push(key);
        let mut values = Vec::new();
        for text in self.properties.get_all(key) {
            match parse(text) {
                Some(value) => values.push(value),
                None => self.problem(Code::ConfigValueInvalid, key, text, expected),
            }
        }
        values
    }

    pub(super) fn missing(&mut self, key: &str, expected: &str) {
        self.problem(Code::ConfigKeyMissing, key, "", expected);
    }

    pub(super) fn problem(&mut self, code: Code, key: &str, found: &str, expected: &str) {
        self.problems.push(Problem {
            code,
            section: self.section.into(),
            key: key.into(),
            found: found.into(),
            expected: expected.into(),
        });
    }

    /// Adds a problem for each key that was not requested by one of the functions above.
    pub(super) fn finish(mut self) {
        let expected = format!("one of {}", self.known.join(", "));
        for (key, value) in self.properties {
            if !self.known.contains(&key) {
                self.problem(Code::ConfigKeyUnknown, key, value, &expected);
            }
        }
    }

    pub(super) fn unknown_section(mut self) {
        let expected = "[service NAME], [servers SERVICE] or [customer NAME]";
        let found = self.section;
        self.problem(Code::ConfigKeyUnknown, "", found, expected);
    }
}
