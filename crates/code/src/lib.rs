//! The numbered result codes of all programs: one list, from which come the enumeration, the
//! exit statuses and the table in `docs/ERRORS.md`.
//!
//! Numbers below 126 may end a process and are then its exit status (a shell gives higher ones
//! another meaning). Numbers from 200 only count and log. A number never changes its meaning; one
//! that is no longer used stays reserved.

mod list;
pub mod page;

pub use list::{Code, TABLE};

/// One row of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The code itself.
    pub code: Code,
    /// What has happened, in a sentence.
    pub meaning: &'static str,
    /// What an operator should do about it.
    pub action: &'static str,
}

impl Code {
    /// The number in the table.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// The exit status of a process that ends for this reason. Codes that never end a process
    /// give 1.
    ///
    /// ```
    /// assert_eq!(acacia_code::Code::Usage.exit_status(), 2);
    /// ```
    #[must_use]
    pub const fn exit_status(self) -> u8 {
        const HIGHEST: u16 = 125;
        let number = self.number();
        if number <= HIGHEST { number as u8 } else { 1 }
    }
}

impl std::fmt::Display for Code {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}({})", self.label(), self.number())
    }
}
