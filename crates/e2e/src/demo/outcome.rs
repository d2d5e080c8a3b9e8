use std::process::ExitCode;

use comfy_table::{Table, presets};

use super::step::{Group, Step};

/// Results of the demo.
#[derive(Debug)]
pub struct Outcome {
    /// The steps with the counts of their flows.
    pub(super) steps: Vec<Step>,
    /// Work of the busiest server divided by the mean.
    pub(super) imbalance: f64,
    /// Control traffic of each balancer, in bytes per second.
    pub(super) control: Vec<(u16, f64)>,
}

impl Outcome {
    /// Formats the results as a table with a summary below.
    #[must_use]
    pub fn table(&self) -> String {
        let mut table = Table::new();
        table.load_style(presets::ASCII_MARKDOWN).set_header([
            "while",
            "flows",
            "mark",
            "opened",
            "whole",
            "broken",
            "refused",
            "unanswered",
            "p99 ms",
        ]);
        for step in &self.steps {
            for group in &step.groups {
                table.add_row(row(step, group));
            }
        }
        let control: Vec<String> = self
            .control
            .iter()
            .map(|(id, rate)| format!("{id}: {rate:.0}"))
            .collect();
        format!(
            "{table}\n\n\
             Broken flows of planned changes: {} (must be 0).\n\
             Busiest backend server of talkoo-live over the mean, each by its true speed: {:.2}.\n\
             Control bytes a second, by balancer: {}.",
            self.broken(),
            self.imbalance,
            control.join(", ")
        )
    }

    /// Exit status 1 if a planned change broke a flow, otherwise 0.
    #[must_use]
    pub fn exit(&self) -> ExitCode {
        ExitCode::from(u8::from(self.broken() > 0))
    }

    fn broken(&self) -> u64 {
        let planned = self.steps.iter().filter(|step| step.planned);
        planned.map(Step::broken).sum()
    }
}

fn row(step: &Step, group: &Group) -> Vec<String> {
    let flows = &group.flows;
    vec![
        step.name.to_owned(),
        group.what.to_owned(),
        group.mark.label().to_owned(),
        flows.opened.to_string(),
        flows.whole.to_string(),
        flows.broken.to_string(),
        flows.refused.to_string(),
        flows.unanswered.to_string(),
        match flows.p99 {
            0 => "-".to_owned(),
            micros => format!("{:.1}", micros as f64 / 1_000.0),
        },
    ]
}
