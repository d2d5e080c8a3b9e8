use std::process::ExitCode;

use comfy_table::{Table, presets};

use super::step::{Group, Step};

/// What the demo has shown.
#[derive(Debug)]
pub struct Outcome {
    /// Each step with its flows.
    pub(super) steps: Vec<Step>,
    /// Busiest server's work over the mean.
    pub(super) imbalance: f64,
    /// Bytes of control traffic a second, by balancer.
    pub(super) control: Vec<(u16, f64)>,
}

impl Outcome {
    /// Everything as a table, with a line on what the figures mean.
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

    /// Failure if a planned change broke a flow.
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
