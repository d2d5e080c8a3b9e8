//! Subcommand `balance`: an event-driven model of callers and backend servers around the real
//! decision code, against simpler policies and an all-knowing one.

/// How flows arrive and are placed.
pub mod arrival;
/// What a run is made of: demand, faults, sizes.
pub mod case;
/// Balancers that place flows by cookie.
pub mod cookie;
/// What happens in a run, in order of time.
pub mod event;
/// Balancers with stale counts of each other, around the product's decision code.
pub mod fleet;
/// Backend servers: slots, a queue, true speeds.
pub mod model;
/// What is measured.
pub mod outcome;
/// One run of one case under one policy.
pub mod simulation;
/// Buckets of new flows.
pub mod table;

use acacia_load::limits::Limits;

use case::{Case, SITES};
use simulation::Policy;

/// What to run.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Seeds, one run each.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    pub seeds: Vec<u64>,
    /// Cases; all if none is named.
    #[arg(long, value_delimiter = ',')]
    pub cases: Vec<String>,
    /// Policies: equal, static, least, ours, cookie, ideal; all if none is named.
    #[arg(long, value_delimiter = ',')]
    pub policies: Vec<String>,
    /// Sites: tampere, lima; both if none is named.
    #[arg(long, value_delimiter = ',')]
    pub sites: Vec<String>,
    /// Mean work of a short request on a server of speed 1, in milliseconds.
    #[arg(long, default_value_t = 10.0)]
    pub work: f64,
    /// Part of the acknowledgements that callers may delay, so that their times tell nothing.
    #[arg(long, default_value_t = 0.3)]
    pub delayed: f64,
    /// Print the writing balancer's view every second, to the standard error.
    #[arg(long)]
    pub trace: bool,
    /// A limit to sweep, as NAME=VALUE, such as `lent=0.8`; may be repeated.
    #[arg(long = "limit")]
    pub limits: Vec<String>,
}

/// Runs the cases and prints their lines.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let limits = limits(&options.limits)?;
    for site in SITES.iter().filter(|site| named(&options.sites, site.name)) {
        for case in Case::all()
            .iter()
            .filter(|case| named(&options.cases, case.name))
        {
            for policy in Policy::ALL
                .iter()
                .filter(|policy| named(&options.policies, policy.name()))
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

fn named(names: &[String], name: &str) -> bool {
    names.is_empty() || names.iter().any(|own| own == name)
}

fn limits(changes: &[String]) -> anyhow::Result<Limits> {
    let mut limits = Limits::default();
    for change in changes {
        let (name, value) = change
            .split_once('=')
            .ok_or_else(|| anyhow::anyhow!("not NAME=VALUE: {change}"))?;
        let value: f64 = value.parse()?;
        let time = || std::time::Duration::from_secs_f64(value);
        match name {
            "fast" => limits.fast = time(),
            "slow" => limits.slow = time(),
            "samples" => limits.samples = value,
            "samples_least" => limits.samples_least = value,
            "patience" => limits.patience = time(),
            "memory" => limits.memory = value,
            "distrust" => limits.distrust = value,
            "eject" => limits.eject = value,
            "rise" => limits.rise = value,
            "fall" => limits.fall = value,
            "period" => limits.period = time(),
            "hysteresis" => limits.hysteresis = value,
            "start" => limits.start = value,
            "rest" => limits.ejection_time = time(),
            "evidence" => limits.evidence = value,
            "silence" => limits.silence = value,
            "bound" => limits.bound = value,
            "timed" => limits.timed = value,
            "calm" => limits.spill_min_progress = value,
            "ceiling" => limits.ceiling = value,
            "lent" => limits.lent = value,
            "about" => limits.paying_window = time(),
            "change" => limits.change = value,
            "target" => limits.target = value,
            "gain" => limits.gain = value,
            "burst" => limits.burst = time(),
            "burst_trial" => limits.burst_trial = time(),
            "slack" => limits.slack = time(),
            "least" => limits.least = value,
            "least_lent" => limits.least_lent = value,
            _ => anyhow::bail!("no such limit to sweep: {name}"),
        }
    }
    Ok(limits)
}
