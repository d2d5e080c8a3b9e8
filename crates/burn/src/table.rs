use comfy_table::{Cell, CellAlignment, Table};

use crate::{Report, Row, Severity, WINDOWS, Window};

/// Renders the report as a table for a terminal.
///
/// ```
/// use acacia_burn::{Ledger, Objective, Source, report, table};
/// let ledger = Ledger::new(Source { balancer: 1, incarnation: 1 }, 1_000_000);
/// let report = report(&ledger, 1_000_000, &[7], |_, mark| Objective::default_for(mark));
/// assert!(table(&report).contains("No answer came from balancers 7"));
/// ```
#[must_use]
pub fn table(report: &Report) -> String {
    let mut table = Table::new();
    let windows = WINDOWS
        .iter()
        .map(|seconds| format!("burn {}", format_period(*seconds)));
    let head = ["service", "mark", "objective"].map(String::from);
    let tail = ["broken", "refused", "slow", "good", "alert"].map(String::from);
    table.set_header(
        head.into_iter()
            .chain(windows)
            .chain(tail)
            .collect::<Vec<_>>(),
    );
    for row in &report.rows {
        table.add_row(cells(row));
    }
    format!("{table}\n{}\n", footnote(report))
}

fn cells(row: &Row) -> Vec<Cell> {
    let right = |text: String| Cell::new(text).set_alignment(CellAlignment::Right);
    let objective = &row.objective;
    let mut cells = vec![Cell::new(&*row.service), Cell::new(row.mark.label())];
    cells.push(right(format!(
        "{} % / {} d",
        format_number(objective.target * 100.0),
        objective.days
    )));
    cells.extend(row.windows.iter().map(|window| right(format_burn(window))));
    if let Some(longest) = row.windows.last() {
        let count = longest.count;
        let counts = [count.broken, count.refused, count.slow, count.good];
        cells.extend(counts.map(|flows| right(flows.to_string())));
    }
    cells.push(Cell::new(alert_label(row)));
    cells
}

/// Formats the burn rate, followed by the covered time if that is shorter than the window.
fn format_burn(window: &Window) -> String {
    let burn = window
        .burn
        .map_or_else(|| "-".into(), |burn| format!("{burn:.2}"));
    if window.covered < window.seconds {
        format!("{burn} ({})", format_period(window.covered))
    } else {
        burn
    }
}

/// Returns the label of the most severe alert, or an empty string without alerts.
pub(crate) fn alert_label(row: &Row) -> &'static str {
    match row.alerts.first().map(|alert| alert.rule.severity) {
        Some(Severity::Page) => "PAGE",
        Some(Severity::Ticket) => "ticket",
        None => "",
    }
}

/// Explains which counts the report does not include.
pub(crate) fn footnote(report: &Report) -> String {
    let mut text = format!(
        "Balancers that answered: {}. A time in brackets is the part of the window for which all \
         of them have counts. Flows of balancers that have stopped are missing unless their \
         counts were handed over. Flow counts are those of the longest window.",
        report.sources
    );
    if !report.unanswered.is_empty() {
        let names: Vec<String> = report.unanswered.iter().map(u16::to_string).collect();
        text += &format!(" No answer came from balancers {}.", names.join(", "));
    }
    text
}

/// Formats a period in the largest unit that is not longer, with at most one decimal digit.
pub(crate) fn format_period(seconds: u64) -> String {
    let unit = [(86_400, "d"), (3600, "h"), (60, "min")]
        .into_iter()
        .find(|(unit, _)| seconds >= *unit);
    match unit {
        Some((unit, name)) => format!(
            "{} {name}",
            format_number((seconds as f64 / unit as f64 * 10.0).floor() / 10.0)
        ),
        None => format!("{seconds} s"),
    }
}

/// Formats a number with at most three decimal digits and without trailing zeros.
fn format_number(number: f64) -> String {
    let text = format!("{number:.3}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
