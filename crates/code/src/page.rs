//! The table of result codes as a page for operators.

use std::fmt::Write as _;

use crate::TABLE;

/// Renders the table as Markdown, which is the content of `docs/ERRORS.md`.
///
/// ```
/// assert!(acacia_code::page::render().contains("| 2 | usage |"));
/// ```
#[must_use]
pub fn render() -> String {
    let mut page = String::from(
        "# Result codes\n\n\
         Made by `cargo run -q -p acacia-code --example table > docs/ERRORS.md`; a test keeps the \
         two equal.\n\
         Numbers below 126 are exit statuses; numbers from 200 only count and log.\n\n\
         | number | name | what has happened | what to do |\n|---|---|---|---|\n",
    );
    for entry in TABLE {
        let (number, name) = (entry.code.number(), entry.code.label());
        writeln!(
            page,
            "| {number} | {name} | {} | {}. |",
            entry.meaning, entry.action
        )
        .expect("writing to a string can't fail");
    }
    page
}
