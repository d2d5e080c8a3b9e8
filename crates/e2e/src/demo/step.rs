use std::time::Duration;

use acacia_config::Mark;
use nix::sys::signal::Signal;

use crate::{deployment::Deployment, process::Process};

/// Maximum run time of callers, in seconds: longer than any step, as callers run until they are
/// signalled.
const MAX_SECONDS: u64 = 600;
/// Time limit for a caller to exit, which includes waiting for its last answers.
const EXIT_LIMIT: Duration = Duration::from_secs(20);
/// Check-ins and map downloads per second.
const RATES: (u32, u32) = (120, 30);

/// Counts of the flows of one kind by outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Flows {
    /// Opened flows.
    pub opened: u64,
    /// Flows that were completed, or stayed open as long as their caller wanted.
    pub whole: u64,
    /// Flows that were reset, went silent, or received a wrong or late answer.
    pub broken: u64,
    /// Flows that were refused without executing a request.
    pub refused: u64,
    /// Flows that received no answer.
    pub unanswered: u64,
    /// 99th percentile of the response time, in microseconds.
    pub p99: u64,
}

/// Callers of one kind and the counts of their flows.
#[derive(Debug)]
pub struct Group {
    /// Kind of their requests.
    pub what: &'static str,
    /// Mark of the callers.
    pub mark: Mark,
    /// Counts of their flows; zero until the callers have ended.
    pub flows: Flows,
    process: Option<Process>,
}

/// One step of the demo.
#[derive(Debug)]
pub struct Step {
    /// Description of the change.
    pub name: &'static str,
    /// Whether it is a planned change, which must not break a flow.
    pub planned: bool,
    /// Callers of the step.
    pub groups: Vec<Group>,
}

impl Step {
    /// Starts a step with check-ins by the caller `first` and map downloads by the caller `second`.
    pub fn requests(
        deployment: &Deployment,
        name: &'static str,
        planned: bool,
        (first, second): (u8, u8),
    ) -> anyhow::Result<Self> {
        let seconds = ("seconds", MAX_SECONDS.to_string());
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

    /// Starts a step with `count` feeds held by the caller `number`.
    pub fn feeds(
        deployment: &Deployment,
        name: &'static str,
        planned: bool,
        (number, count): (u8, usize),
    ) -> anyhow::Result<Self> {
        let arguments = [
            ("feeds", count.to_string()),
            ("interval", "1000".to_owned()),
            ("seconds", MAX_SECONDS.to_string()),
        ];
        let feeds = deployment.caller(number, "talkoo-live", &arguments)?;
        Ok(Step {
            name,
            planned,
            groups: vec![Group::new("live feeds", Mark::Paying, feeds)],
        })
    }

    /// Signals the callers to open no new flows.
    pub fn stop(&self) -> anyhow::Result<()> {
        let mut processes = self.groups.iter().filter_map(|g| g.process.as_ref());
        processes.try_for_each(|process| process.signal(Signal::SIGTERM))
    }

    /// Stops the callers, waits for their last answers and reads their counts.
    pub fn end(mut self) -> anyhow::Result<Self> {
        // Signal all callers before waiting for the first, as one may wait long for its last answer.
        self.stop()?;
        for group in &mut self.groups {
            if let Some(process) = group.process.take() {
                group.flows = Flows::parse(&process.wait(EXIT_LIMIT)?.output);
            }
        }
        Ok(self)
    }

    /// Number of flows that broke during the step.
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
