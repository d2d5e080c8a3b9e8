use std::fmt::Display;

use acacia_code::Code;
use comfy_table::{Table, presets};
use serde::Serialize;
use serde_json::{Value, json};

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The result code, which determines the command's exit status.
    pub code: Code,
    /// The outcome as text for people, with a final line break.
    pub text: String,
    /// The outcome as data for programs.
    pub data: Value,
}

impl Report {
    /// Creates the report of a success.
    pub(crate) fn new(text: impl Into<String>, data: impl Serialize) -> Self {
        Report::with(Code::Success, text, data)
    }

    /// Creates a report with the given code.
    pub(crate) fn with(code: Code, text: impl Into<String>, data: impl Serialize) -> Self {
        let mut text = text.into();
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        // Encoding fails only for maps with keys that are not strings, and there are none.
        let data = serde_json::to_value(data).unwrap_or(Value::Null);
        Report { code, text, data }
    }

    /// Creates the report of a failure.
    pub(crate) fn failure(code: Code, reason: impl Display) -> Self {
        let text = format!("error={code} reason={:?}", reason.to_string());
        Report::with(code, text, json!({ "reason": reason.to_string() }))
    }

    /// The report as a line of JSON.
    #[must_use]
    pub fn json(&self) -> String {
        let (number, name) = (self.code.number(), self.code.label());
        let report = json!({ "code": number, "name": name, "data": self.data });
        format!("{report}\n")
    }
}

/// Formats a table for people.
pub(crate) fn table(header: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(header.iter().copied());
    for row in rows {
        table.add_row(row);
    }
    table.trim_fmt()
}
