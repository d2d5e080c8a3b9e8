//! Subcommand `flows`: counts flows that break under configuration changes and failures, by policy.
//!
//! A discrete-event simulation: each packet enters at a random balancer, balancers redirect packets
//! to each other with a fixed delay, and every backend server knows the flows that it accepted. A
//! flow breaks when one of its packets reaches a server that doesn't know it, because that server's
//! kernel answers with a reset. Policy `ours` runs the product's decision code.

mod balancer;
mod case;
mod change;
mod fleet;
mod policy;
mod traffic;
mod wheel;

use anyhow::Context as _;

pub use case::Case;
pub use policy::Policy;

/// Command-line options of `flows`.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Random seeds; each case runs once per seed.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub seeds: Vec<u64>,
    /// Cases to run.
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = Case::ALL)]
    pub cases: Vec<Case>,
    /// Policies to compare.
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = Policy::ALL)]
    pub policies: Vec<Policy>,
    /// Number of concurrently open flows.
    #[arg(long, default_value_t = 300_000)]
    pub flows: u32,
    /// Number of balancers.
    #[arg(long, default_value_t = 8)]
    pub balancers: u16,
    /// Number of backend servers.
    #[arg(long, default_value_t = 15)]
    pub servers: u16,
    /// New flows per second at each balancer.
    #[arg(long, default_value_t = 2_000)]
    pub opens: u32,
    /// Minimum duration of a case in seconds, counted from when its flows are open; a case whose
    /// timeline is longer runs to its end.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Number of buckets in the service's hash table.
    #[arg(long, default_value_t = 4_096)]
    pub buckets: usize,
    /// Fraction of packets between balancers that are lost.
    #[arg(long, default_value_t = 0.0)]
    pub loss: f64,
}

/// Runs the selected cases and prints one result line per run.
pub fn run(options: &Options) -> anyhow::Result<()> {
    anyhow::ensure!(options.balancers > 1, "at least two balancers are needed");
    for &case in &options.cases {
        for &policy in &options.policies {
            for &seed in &options.seeds {
                let line = fleet::run(options, case, policy, seed)
                    .with_context(|| format!("case {case:?}, policy {policy:?}"))?;
                println!("{line}");
            }
        }
    }
    Ok(())
}
