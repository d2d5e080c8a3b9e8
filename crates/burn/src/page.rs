use std::sync::Arc;

use crate::plot::plot;
use crate::table::{alert_label, footnote, format_period};
use crate::{Error, Report, Row};

const STYLE: &str = "body{font-family:sans-serif;max-width:50rem;margin:2rem auto}\
    table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.2rem .5rem;\
    text-align:right}.PAGE{color:#b00;font-weight:bold}svg{max-width:100%;height:auto}";

/// Renders the report as a self-contained HTML page with a plot and a table for each service.
///
/// ```
/// use acacia_burn::{Ledger, Objective, Source, page, report};
/// let ledger = Ledger::new(Source { balancer: 1, incarnation: 1 }, 1_000_000);
/// let report = report(&ledger, 1_000_000, &[], |_, mark| Objective::default_for(mark));
/// assert!(page(&report).unwrap().starts_with("<!DOCTYPE html>"));
/// ```
pub fn page(report: &Report) -> Result<String, Error> {
    let mut html = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"/>\
         <title>acaciatrack: service-level burn</title><style>{STYLE}</style></head><body>\n\
         <h1>Service-level burn</h1>\n<p>{}</p>\n<p>Plots: blue is paying, brown is trial, red is \
         the burn rate above which the fastest rule pages the on-call engineer.</p>\n",
        escape(&footnote(report))
    );
    for service in services(report) {
        let of_service = report.rows.iter().filter(|row| row.service == service);
        let rows: Vec<&Row> = of_service.collect();
        let svg = plot(&service, &rows)?;
        html += &format!(
            "<section><h2>{}</h2>\n{svg}\n{}</section>\n",
            escape(&service),
            html_table(&rows)
        );
    }
    Ok(html + "</body></html>\n")
}

fn services(report: &Report) -> Vec<Arc<str>> {
    let mut names: Vec<Arc<str>> = report
        .rows
        .iter()
        .map(|row| Arc::clone(&row.service))
        .collect();
    names.dedup();
    names
}

fn html_table(rows: &[&Row]) -> String {
    let head = [
        "mark", "window", "known", "burn", "broken", "refused", "slow", "good", "alert",
    ];
    let head: String = head.iter().map(|name| format!("<th>{name}</th>")).collect();
    let body: String = rows.iter().flat_map(|row| html_rows(row)).collect();
    format!("<table><tr>{head}</tr>{body}</table>")
}

fn html_rows(row: &Row) -> Vec<String> {
    let html_row = |window: &crate::Window| {
        let count = window.count;
        let burn = window
            .burn
            .map_or_else(|| "-".into(), |burn| format!("{burn:.2}"));
        let cells = [
            row.mark.label().into(),
            format_period(window.seconds),
            format_period(window.covered),
            burn,
            count.broken.to_string(),
            count.refused.to_string(),
            count.slow.to_string(),
            count.good.to_string(),
        ];
        let cells: String = cells
            .iter()
            .map(|cell| format!("<td>{cell}</td>"))
            .collect();
        let alert = alert_label(row);
        format!("<tr>{cells}<td class=\"{alert}\">{alert}</td></tr>\n")
    };
    row.windows.iter().map(html_row).collect()
}

/// Escapes text for HTML. Service names come from the operators' configuration and may contain any
/// character.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
