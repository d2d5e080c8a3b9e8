//! The commands, one module each.

pub(crate) mod apply;
pub(crate) mod burn;
pub(crate) mod check;
pub(crate) mod completions;
pub(crate) mod drain;
pub(crate) mod history;
pub(crate) mod plan;
pub(crate) mod print;
pub(crate) mod status;

use std::path::Path;

use acacia_code::Code;
use acacia_config::{Config, Invalid, parse};
use serde_json::json;

use crate::Report;

/// Reads and checks a configuration file; on failure, the report lists all of its problems.
fn read(file: &Path) -> Result<Config, Report> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        let reason = format!("{}: {error}", file.display());
        Report::failure(Code::ConfigUnreadable, reason)
    })?;
    parse(&text).map_err(|invalid| problems(&invalid))
}

fn problems(invalid: &Invalid) -> Report {
    let data = invalid.problems.iter().map(|problem| {
        json!({
            "code": problem.code.number(),
            "name": problem.code.label(),
            "section": problem.section,
            "key": problem.key,
            "found": problem.found,
            "expected": problem.expected,
        })
    });
    let data: Vec<_> = data.collect();
    let lines: Vec<_> = invalid.problems.iter().map(ToString::to_string).collect();
    Report::with(Code::ConfigInvalid, lines.join("\n"), data)
}
