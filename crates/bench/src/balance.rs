//! Subcommand `balance`: a discrete-event simulation of callers and backend servers that runs the
//! product's decision code and compares it with simpler policies and with an omniscient one.

/// Arrival of flows and their placement on backend servers.
pub mod arrival;
/// Definitions of the simulated cases: sites, demand and faults.
pub mod case;
/// Balancers that place flows whose packets carry a routing cookie.
pub mod cookie;
/// Events of a simulation and the queue that orders them by time.
pub mod event;
/// Balancers that run the product's decision code on delayed reports from their peers.
pub mod fleet;
/// Model of a backend server: parallel slots, a queue and a true speed.
pub mod model;
/// Results of a simulation.
pub mod outcome;
/// Simulation of one case under one policy.
pub mod simulation;
/// Hash table that maps buckets of new flows to backend servers.
pub mod table;

use acacia_load::limits::Limits;

use case::{Case, SITES};
use simulation::Policy;

/// Command-line options of `balance`.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Random seeds; each case runs once per seed.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    pub seeds: Vec<u64>,
    /// Cases to run; all by default.
    #[arg(long, value_delimiter = ',')]
    pub cases: Vec<String>,
    /// Policies to compare (equal, static, least, ours, cookie, ideal); all by default.
    #[arg(long, value_delimiter = ',')]
    pub policies: Vec<String>,
    /// Sites to simulate (tampere, lima); both by default.
    #[arg(long, value_delimiter = ',')]
    pub sites: Vec<String>,
    /// Mean service time of a short request on a server of speed 1, in milliseconds.
    #[arg(long, default_value_t = 10.0)]
    pub work: f64,
    /// Fraction of acknowledgements that callers delay, which makes them useless as latency
    /// samples.
    #[arg(long, default_value_t = 0.3)]
    pub delayed: f64,
    /// Print the state of the balancer that writes the table to standard error every second.
    #[arg(long)]
    pub trace: bool,
    /// Override a limit of the decision code, as NAME=VALUE (for example `lent=0.8`); repeatable.
    #[arg(long = "limit")]
    pub limits: Vec<String>,
}

/// Runs the selected cases and prints one result line per run.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let limits = limits_with_overrides(&options.limits)?;
    for site in SITES
        .iter()
        .filter(|site| is_selected(&options.sites, site.name))
    {
        for case in Case::all()
            .iter()
            .filter(|case| is_selected(&options.cases, case.name))
        {
            for policy in Policy::ALL
                .iter()
                .filter(|policy| is_selected(&options.policies, policy.name()))
            {
                for seed in &options.seeds {
                    let mut scene = case::Scene::new(site, case, options.work / 1e3, *seed);
                    scene.trace = options.trace;
                    scene.delayed = options.delayed;
                    let outcome = simulation::run(&scene, *policy, &limits, *seed);
                    let (site, case, policy) = (site.service, case.name, policy.name());
                    println!("service={site} case={case} policy={policy} seed={seed} {outcome}");
                }
            }
        }
    }
    Ok(())
}

fn is_selected(names: &[String], name: &str) -> bool {
    names.is_empty() || names.iter().any(|selected| selected == name)
}

fn limits_with_overrides(overrides: &[String]) -> anyhow::Result<Limits> {
    let mut limits = Limits::default();
    for assignment in overrides {
        let (name, value) = assignment
            .split_once('=')
            .ok_or_else(|| anyhow::anyhow!("expected NAME=VALUE, got {assignment:?}"))?;
        let value: f64 = value.parse()?;
        let duration = || std::time::Duration::from_secs_f64(value);
        match name {
            "fast" => limits.fast = duration(),
            "slow" => limits.slow = duration(),
            "samples" => limits.samples = value,
            "samples_least" => limits.samples_least = value,
            "patience" => limits.patience = duration(),
            "memory" => limits.memory = value,
            "distrust" => limits.distrust = value,
            "eject" => limits.eject = value,
            "rise" => limits.rise = value,
            "fall" => limits.fall = value,
            "period" => limits.period = duration(),
            "hysteresis" => limits.hysteresis = value,
            "start" => limits.start = value,
            "rest" => limits.ejection_time = duration(),
            "evidence" => limits.evidence = value,
            "silence" => limits.silence = value,
            "bound" => limits.bound = value,
            "timed" => limits.timed = value,
            "calm" => limits.spill_min_progress = value,
            "ceiling" => limits.ceiling = value,
            "lent" => limits.lent = value,
            "about" => limits.paying_window = duration(),
            "change" => limits.change = value,
            "target" => limits.target = value,
            "gain" => limits.gain = value,
            "burst" => limits.burst = duration(),
            "burst_trial" => limits.burst_trial = duration(),
            "slack" => limits.slack = duration(),
            "least" => limits.least = value,
            "least_lent" => limits.least_lent = value,
            _ => anyhow::bail!("unknown limit: {name}"),
        }
    }
    Ok(limits)
}
