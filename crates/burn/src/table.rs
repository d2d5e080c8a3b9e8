use comfy_table::{Cell, CellAlignment, Table};

use crate::{Report, Row, Severity, WINDOWS, Window};

/// The report as a table for a terminal.
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
        .map(|seconds| format!("burn {}", period(*seconds)));
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
        round(objective.target * 100.0),
        objective.days
    )));
    cells.extend(row.windows.iter().map(|window| right(rate(window))));
    if let Some(longest) = row.windows.last() {
        let count = longest.count;
        let counts = [count.broken, count.refused, count.slow, count.good];
        cells.extend(counts.map(|flows| right(flows.to_string())));
    }
    cells.push(Cell::new(alert(row)));
    cells
}

/// The burn rate, with the time it rests on where that is less than the window.
fn rate(window: &Window) -> String {
    let burn = window
        .burn
        .map_or_else(|| "-".into(), |burn| format!("{burn:.2}"));
    if window.covered < window.seconds {
        format!("{burn} ({})", period(window.covered))
    } else {
        burn
    }
}

/// The most severe alert.
pub(crate) fn alert(row: &Row) -> &'static str {
    match row.alerts.first().map(|alert| alert.rule.severity) {
        Some(Severity::Page) => "PAGE",
        Some(Severity::Ticket) => "ticket",
        None => "",
    }
}

/// What the report can't know, in words.
pub(crate) fn footnote(report: &Report) -> String {
    let mut text = format!(
        "Balancers that answered: {}. In brackets: the time for which all of them have counts, where it \
         is shorter than the window; flows of balancers that are gone are not known. Flows are \
         those of the longest window.",
        report.sources
    );
    if !report.unanswered.is_empty() {
        let names: Vec<String> = report.unanswered.iter().map(u16::to_string).collect();
        text += &format!(" No answer came from balancers {}.", names.join(", "));
    }
    text
}

/// A period in its largest unit that leaves no more than one digit after the point.
pub(crate) fn period(seconds: u64) -> String {
    let unit = [(86_400, "d"), (3600, "h"), (60, "min")]
        .into_iter()
        .find(|(unit, _)| seconds >= *unit);
    match unit {
        Some((unit, name)) => format!(
            "{} {name}",
            round((seconds as f64 / unit as f64 * 10.0).floor() / 10.0)
        ),
        None => format!("{seconds} s"),
    }
}

/// Up to three digits after the point, without needless zeros.
fn round(number: f64) -> String {
    let text = format!("{number:.3}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
