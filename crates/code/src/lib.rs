//! The numbered result codes of all programs. A single list generates the [`Code`] enum, the exit
//! statuses and the table in `docs/ERRORS.md`.
//!
//! Codes below 126 may be used as exit statuses; shells give special meanings to higher ones. Codes
//! from 200 appear only in logs and metrics. The meaning of a number never changes, and numbers that
//! are no longer used stay reserved.

mod list;
pub mod page;

pub use list::{Code, TABLE};

/// A result code with its description for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The result code.
    pub code: Code,
    /// What has happened, in one sentence.
    pub meaning: &'static str,
    /// What an operator should do.
    pub action: &'static str,
}

impl Code {
    /// Returns the number of the code.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the exit status of a process that ends with this code, or 1 for codes above 125,
    /// which are not valid exit statuses.
    ///
    /// ```
    /// assert_eq!(acacia_code::Code::Usage.exit_status(), 2);
    /// ```
    #[must_use]
    pub const fn exit_status(self) -> u8 {
        const MAX_EXIT_STATUS: u16 = 125;
        let number = self.number();
        if number <= MAX_EXIT_STATUS {
            number as u8
        } else {
            1
        }
    }
}

impl std::fmt::Display for Code {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}({})", self.label(), self.number())
    }
}
