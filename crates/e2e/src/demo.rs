//! The demo: a scaled-down model of today's Tampere deployment that changes under traffic.

mod outcome;
mod step;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

use acacia_config::{Mark, State};
use signal_hook::consts::{SIGINT, SIGTERM};

pub use outcome::Outcome;
use step::Step;

use crate::deployment::{Deployment, Plan, Service};

/// Number of live feeds that stay open through the steps.
const FEEDS: usize = 60;
/// Interval of checking for a request to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The backend server that is drained.
const DRAINED: &str = "talkoo-live-1";
/// The balancer that is replaced.
const REPLACED: u16 = 2;
/// The data centre that is cut off.
const CUT: &str = "hervanta";
/// Minimum duration of the cut in seconds: longer than the timeout after which balancers declare a
/// silent peer dead.
const MIN_CUT_SECONDS: u64 = 7;

/// Options of the demo.
#[derive(Debug, clap::Parser)]
#[command(
    name = "acacia-demo",
    version,
    about = "Shows a deployment serving through changes"
)]
pub struct Options {
    /// Number of balancers.
    #[arg(long, default_value_t = 7)]
    pub balancers: u16,
    /// Minimum duration of each step, in seconds.
    #[arg(long, default_value_t = 8)]
    pub seconds: u64,
}

/// Runs the demo. The exit status of its outcome is 1 if a planned change broke a flow. Fails if a
/// signal interrupts it, after ending all processes that it started.
pub fn run(options: &Options) -> anyhow::Result<Outcome> {
    let asked = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&asked))?;
    }
    announce("starting the platform, the fabric, 19 backend servers and the balancers");
    let mut demo = Demo {
        deployment: Deployment::start(plan(options.balancers)?)?,
        asked,
        seconds: options.seconds,
        steps: Vec::new(),
        callers: 0,
    };
    demo.all()
}

/// A running demo.
struct Demo {
    deployment: Deployment,
    asked: Arc<AtomicBool>,
    seconds: u64,
    steps: Vec<Step>,
    callers: u8,
}

impl Demo {
    fn all(&mut self) -> anyhow::Result<Outcome> {
        self.pause(4)?;
        let bytes = self.deployment.control_bytes()?;
        let since = Instant::now();

        let planned = self.feeds("feeds through planned changes", true)?;
        self.steady()?;
        self.drain()?;
        self.replace()?;
        self.end(planned)?;
        let cut = self.feeds("feeds through the cut", false)?;
        self.cut()?;
        self.healed()?;
        self.end(cut)?;

        let elapsed = since.elapsed();
        let after = self.deployment.control_bytes()?;
        let rate = |id: &u16| {
            let sent = after[id] - bytes.get(id).unwrap_or(&0);
            sent as f64 / elapsed.as_secs_f64()
        };
        let control = after.keys().map(|id| (*id, rate(id))).collect();
        let imbalance = self.imbalance()?;
        announce("ending everything");
        self.deployment.end_all()?;
        Ok(Outcome {
            steps: std::mem::take(&mut self.steps),
            imbalance,
            control,
        })
    }

    fn steady(&mut self) -> anyhow::Result<()> {
        announce("check-ins and map downloads, nothing changes");
        let step = self.begin("nothing changes", true)?;
        self.pause(self.seconds)?;
        self.end(step)
    }

    fn drain(&mut self) -> anyhow::Result<()> {
        announce(&format!("draining the backend server {DRAINED}"));
        let step = self.begin("a backend server drains", true)?;
        let mut config = self.deployment.current()?;
        config.update_server(DRAINED, |server| {
            server.state = State::Drain { deadline: None };
        });
        let since = Instant::now();
        let revision = self.deployment.apply(&config)?;
        let all = self.deployment.balancers();
        self.deployment.wait_in_force(&all, revision)?;
        let took = since.elapsed().as_millis();
        announce(&format!(
            "the drain is in force on every balancer after {took} ms"
        ));
        self.pause(self.seconds)?;
        self.end(step)
    }

    fn replace(&mut self) -> anyhow::Result<()> {
        announce(&format!(
            "replacing balancer {REPLACED}: it hands over and ends, a new one joins"
        ));
        let step = self.begin("a balancer is replaced", true)?;
        self.deployment.replace_balancer(REPLACED)?;
        announce("the new balancer serves");
        self.pause(self.seconds / 3)?;
        self.end(step)
    }

    fn cut(&mut self) -> anyhow::Result<()> {
        announce(&format!(
            "cutting {CUT} off from the other data centres and the platform"
        ));
        let step = self.begin("a data centre is cut off", false)?;
        self.deployment.cut_data_centre(CUT)?;
        self.deployment.cut_platform_from(CUT)?;
        self.pause(self.seconds.max(MIN_CUT_SECONDS))?;
        step.stop()?;
        announce("the line is back");
        self.deployment.heal()?;
        self.end(step)
    }

    fn healed(&mut self) -> anyhow::Result<()> {
        let step = self.begin("the data centre is back", false)?;
        self.pause(self.seconds)?;
        self.end(step)
    }

    /// Starts check-ins and downloads that run until the step ends.
    fn begin(&mut self, name: &'static str, planned: bool) -> anyhow::Result<Step> {
        let numbers = (self.callers + 1, self.callers + 2);
        self.callers += 2;
        Step::requests(&self.deployment, name, planned, numbers)
    }

    /// Opens feeds that stay open until the step ends.
    fn feeds(&mut self, name: &'static str, planned: bool) -> anyhow::Result<Step> {
        self.callers += 1;
        announce(&format!("{FEEDS} crew leaders open live feeds"));
        Step::feeds(&self.deployment, name, planned, (self.callers, FEEDS))
    }

    fn end(&mut self, step: Step) -> anyhow::Result<()> {
        self.steps.push(step.end()?);
        Ok(())
    }

    /// Work of the busiest backend server divided by the mean, among the servers of talkoo-live that
    /// are never drained. Work is the number of connections times the server's processing time.
    fn imbalance(&self) -> anyhow::Result<f64> {
        let service = &self.deployment.plan.services[0];
        let mut busy = Vec::new();
        for number in 1..=service.servers {
            let name = format!("{}-{number}", service.name);
            if name != DRAINED {
                let opened = self.deployment.opened(&name)?;
                busy.push((opened * service.work_of(number)) as f64);
            }
        }
        let mean = busy.iter().sum::<f64>() / busy.len() as f64;
        Ok(busy.iter().copied().fold(0.0, f64::max) / mean)
    }

    /// Waits, and fails early if the demo is asked to stop.
    fn pause(&self, seconds: u64) -> anyhow::Result<()> {
        let until = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < until {
            let asked = self.asked.load(Ordering::Relaxed);
            anyhow::ensure!(!asked, "interrupted; all processes are ended");
            sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}

fn announce(what: &str) {
    println!("==> {what}");
}

/// A scaled-down model of today's Tampere deployment: three data centres, and two services with 15
/// and 4 backend servers of unequal speed.
fn plan(balancers: u16) -> anyhow::Result<Plan> {
    Ok(Plan {
        services: vec![
            Service {
                name: "talkoo-live",
                address: "198.51.100.1:443".parse()?,
                mark: Mark::Paying,
                servers: 15,
                slots: 2,
                work: vec![4, 8, 16],
                at_start: true,
            },
            Service {
                name: "karttapalvelu",
                address: "198.51.100.2:443".parse()?,
                mark: Mark::Trial,
                servers: 4,
                slots: 2,
                work: vec![4, 16],
                at_start: true,
            },
        ],
        balancers,
        data_centres: vec!["hervanta", "lielahti", "kangasala"],
    })
}
