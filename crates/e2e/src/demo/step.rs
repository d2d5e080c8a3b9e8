use std::time::Duration;

use acacia_config::Mark;
use nix::sys::signal::Signal;

use crate::{deployment::Deployment, process::Process};

/// Longer than a step lasts: callers go on until they are told to end.
const LONG: u64 = 600;
/// How long a caller may take to end: its last answers must come in.
const ENDING: Duration = Duration::from_secs(20);
/// Check-ins and downloads a second.
const RATES: (u32, u32) = (120, 30);

/// What became of the flows of one kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Flows {
    /// Opened.
    pub opened: u64,
    /// Ended or lasted as their callers wished.
    pub whole: u64,
    /// Cut off, or answered wrongly.
    pub broken: u64,
    /// Refused: not run.
    pub refused: u64,
    /// Never answered.
    pub unanswered: u64,
    /// The time within which 99 of 100 were answered, in microseconds.
    pub p99: u64,
}

/// Callers of one kind, and what became of them.
#[derive(Debug)]
pub struct Group {
    /// What they ask for.
    pub what: &'static str,
    /// Their mark.
    pub mark: Mark,
    /// What became of their flows, once they have ended.
    pub flows: Flows,
    process: Option<Process>,
}

/// One step of the demo.
#[derive(Debug)]
pub struct Step {
    /// What changes.
    pub name: &'static str,
    /// Whether it is a planned change, which must not break a flow.
    pub planned: bool,
    /// Its callers.
    pub groups: Vec<Group>,
}

impl Step {
    /// Check-ins and map downloads by callers with these two numbers.
    pub fn requests(
        deployment: &Deployment,
        name: &'static str,
        planned: bool,
        (first, second): (u8, u8),
    ) -> anyhow::Result<Self> {
        let seconds = ("seconds", LONG.to_string());
        let checkins = [("rate", RATES.0.to_string()), seconds.clone()];
        let maps = [
            ("rate", RATES.1.to_string()),
            ("checkin", "0".to_owned()),
            seconds,
        ];
        let checkins = deployment.caller(first, "talkoo-live", &checkins)?;
        let maps = deployment.caller(second, "karttapalvelu", &maps)?;
        Ok(Step {
            name,
            planned,
            groups: vec![
                Group::new("check-ins", Mark::Paying, checkins),
                Group::new("map downloads", Mark::Trial, maps),
            ],
        })
    }

    /// So many feeds by the caller with this number.
    pub fn feeds(
        deployment: &Deployment,
        name: &'static str,
        planned: bool,
        (number, count): (u8, usize),
    ) -> anyhow::Result<Self> {
        let arguments = [
            ("feeds", count.to_string()),
            ("interval", "1000".to_owned()),
            ("seconds", LONG.to_string()),
        ];
        let feeds = deployment.caller(number, "talkoo-live", &arguments)?;
        Ok(Step {
            name,
            planned,
            groups: vec![Group::new("live feeds", Mark::Paying, feeds)],
        })
    }

    /// Tells the callers to open nothing more.
    pub fn stop(&self) -> anyhow::Result<()> {
        let mut processes = self.groups.iter().filter_map(|g| g.process.as_ref());
        processes.try_for_each(|process| process.signal(Signal::SIGTERM))
    }

    /// Stops the callers, waits for their answers and counts.
    pub fn end(mut self) -> anyhow::Result<Self> {
        // All are told before the first is waited for: one may wait long for a last answer.
        self.stop()?;
        for group in &mut self.groups {
            if let Some(process) = group.process.take() {
                group.flows = Flows::parse(&process.wait(ENDING)?.output);
            }
        }
        Ok(self)
    }

    /// Flows that it broke.
    #[must_use]
    pub fn broken(&self) -> u64 {
        self.groups.iter().map(|group| group.flows.broken).sum()
    }
}

impl Group {
    fn new(what: &'static str, mark: Mark, process: Process) -> Self {
        Group {
            what,
            mark,
            flows: Flows::default(),
            process: Some(process),
        }
    }
}

impl Flows {
    fn parse(line: &str) -> Self {
        let value = |name: &str| {
            line.split_whitespace()
                .filter_map(|pair| pair.split_once('='))
                .find_map(|(key, value)| (key == name).then(|| value.parse().ok())?)
                .unwrap_or(0)
        };
        Flows {
            opened: value("opened"),
            whole: value("done") + value("lasted"),
            broken: value("broken"),
            refused: value("refused"),
            unanswered: value("unanswered"),
            p99: value("p99_us"),
        }
    }
}
