use std::fmt::Display;

use acacia_code::Code;
use comfy_table::{Table, presets};
use serde::Serialize;
use serde_json::{Value, json};

/// What came of a command.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The result code; its exit status is the command's.
    pub code: Code,
    /// For people, with the final line break.
    pub text: String,
    /// For programs.
    pub data: Value,
}

impl Report {
    /// A success.
    pub(crate) fn new(text: impl Into<String>, data: impl Serialize) -> Self {
        Report::with(Code::Success, text, data)
    }

    /// A report with a code of its own.
    pub(crate) fn with(code: Code, text: impl Into<String>, data: impl Serialize) -> Self {
        let mut text = text.into();
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        // Only maps with keys that are no strings can't be encoded; there are none.
        let data = serde_json::to_value(data).unwrap_or(Value::Null);
        Report { code, text, data }
    }

    /// A failure with its reason.
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

/// A table for people.
pub(crate) fn table(header: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(header.iter().copied());
    for row in rows {
        table.add_row(row);
    }
    table.trim_fmt()
}
