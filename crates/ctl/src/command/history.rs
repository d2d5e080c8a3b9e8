//! `history`: lists the last changes.

use crate::{Report, Settings, in_force, report::table};

pub(crate) async fn run(settings: &Settings) -> Result<Report, Report> {
    let found = in_force::require(settings).await?;
    let records = found.document.records();
    let now = settings.invocation.unix_time;
    let rows = records.iter().map(|record| {
        vec![
            record.revision.to_string(),
            age(now.saturating_sub(record.time)),
            record.author.to_string(),
            record.change.to_string(),
        ]
    });
    let text = table(&["revision", "age", "author", "change"], rows);
    Ok(Report::new(text, &records))
}

/// Formats an age in seconds, minutes, hours or days.
fn age(seconds: u64) -> String {
    match seconds {
        0..=119 => format!("{seconds}s"),
        120..=7199 => format!("{}m", seconds / 60),
        7200..=172_799 => format!("{}h", seconds / 3600),
        _ => format!("{}d", seconds / 86_400),
    }
}
