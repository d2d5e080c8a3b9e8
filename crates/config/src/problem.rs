use std::{fmt, sync::Arc};

use acacia_code::Code;
use thiserror::Error;

/// One problem of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Problem {
    /// Its row in the table of result codes.
    pub code: Code,
    /// The section that holds it, as in the INI form.
    pub section: Arc<str>,
    /// The key that holds it.
    pub key: Arc<str>,
    /// What stands there.
    pub found: String,
    /// What should stand there.
    pub expected: String,
}

impl fmt::Display for Problem {
    /// `section=".." key=.. found=".." expected=".." code=..` on one line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "section={:?} key={:?} found={:?} expected={:?} code={}",
            self.section, self.key, self.found, self.expected, self.code
        )
    }
}

/// A configuration that can't be taken, with every problem of it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{} problem(s):{}", problems.len(), lines(problems))]
pub struct Invalid {
    /// The problems, in the order of the configuration; at least one.
    pub problems: Vec<Problem>,
}

fn lines(problems: &[Problem]) -> String {
    problems.iter().map(|p| format!("\n  {p}")).collect()
}
