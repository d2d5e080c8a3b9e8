//! `plan`: shows what applying a file would change.

use std::path::Path;

use acacia_config::{
    Config,
    plan::{Plan, Transition, compare},
};
use serde_json::json;

use crate::{Report, Settings, in_force, report::table};

pub(crate) async fn run(settings: &Settings, file: &Path) -> Result<Report, Report> {
    let after = super::read(file)?;
    let found = in_force::find(settings).await?;
    let revision = found.as_ref().map_or(0, |found| found.document.revision);
    let source = found.as_ref().map_or("store", |found| &found.source);
    let before = found.as_ref().map(|found| found.config.clone());
    let plan = compare(&before.unwrap_or_default(), &after);
    let text = text(&plan, revision, source);
    let data = json!({ "revision": revision, "source": source, "plan": plan });
    Ok(Report::new(text, data))
}

/// The text diff between two configurations.
pub(super) fn difference(before: &Config, after: &Config) -> String {
    compare(before, after).diff
}

fn text(plan: &Plan, revision: u64, source: &str) -> String {
    if plan.is_empty() {
        return format!("no change over revision {revision} (by {source})");
    }
    let mut text = format!("over revision {revision} (by {source}):\n");
    for change in &plan.changes {
        text.push_str(&format!("  {change}\n"));
    }
    for effect in plan.unserved_services() {
        let name = &effect.service;
        text.push_str(&format!(
            "  WARNING: {name} has no backend server for new flows\n"
        ));
    }
    if !plan.effects.is_empty() {
        text.push_str(&format!("\n{}\n", effects(plan)));
    }
    text.push_str(&format!("\n{}", plan.diff));
    text
}

fn effects(plan: &Plan) -> String {
    let header = ["service", "share %", "active", "draining", "slots"];
    let rows = plan.effects.iter().map(|effect| {
        vec![
            effect.service.to_string(),
            transition(effect.share),
            transition(effect.active),
            transition(effect.draining),
            transition(effect.slots),
        ]
    });
    table(&header, rows)
}

fn transition<T: std::fmt::Display + PartialEq>(transition: Transition<T>) -> String {
    if transition.from == transition.to {
        return transition.to.to_string();
    }
    format!("{} -> {}", transition.from, transition.to)
}
