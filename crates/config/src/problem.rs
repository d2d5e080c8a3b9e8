use std::{fmt, sync::Arc};

use acacia_code::Code;
use thiserror::Error;

/// A problem of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Problem {
    /// The result code of the problem.
    pub code: Code,
    /// The heading of the section that contains it, as in the INI form.
    pub section: Arc<str>,
    /// The key that it is about.
    pub key: Arc<str>,
    /// The value found.
    pub found: String,
    /// A description of a valid value.
    pub expected: String,
}

impl fmt::Display for Problem {
    /// Prints `section=".." key=.. found=".." expected=".." code=..` on one line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "section={:?} key={:?} found={:?} expected={:?} code={}",
            self.section, self.key, self.found, self.expected, self.code
        )
    }
}

/// The error for an invalid configuration, with all of its problems.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{} problem(s):{}", problems.len(), lines(problems))]
pub struct Invalid {
    /// The problems, in the order of the configuration; at least one.
    pub problems: Vec<Problem>,
}

fn lines(problems: &[Problem]) -> String {
    problems.iter().map(|p| format!("\n  {p}")).collect()
}
