//! Subcommand `flows`: broken flows under change and failure, by policy.
//!
//! An event loop in virtual time: callers spray packets over balancers at random, balancers hand
//! them on with a fixed delay, and every backend server knows which flows it opened. A flow is
//! broken when one of its packets reaches a server that doesn't, whose kernel answers with a reset.
//! Policy `ours` runs the product's own decision code.

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

/// What to run.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Seeds, one run each.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub seeds: Vec<u64>,
    /// Cases to run.
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = Case::ALL)]
    pub cases: Vec<Case>,
    /// Policies to compare.
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = Policy::ALL)]
    pub policies: Vec<Policy>,
    /// Flows open at a time.
    #[arg(long, default_value_t = 300_000)]
    pub flows: u32,
    /// Balancers.
    #[arg(long, default_value_t = 8)]
    pub balancers: u16,
    /// Backend servers.
    #[arg(long, default_value_t = 15)]
    pub servers: u16,
    /// New flows a second at each balancer.
    #[arg(long, default_value_t = 2_000)]
    pub opens: u32,
    /// Seconds that a case lasts after its flows are open; cases that need longer take longer.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Buckets of the service's table.
    #[arg(long, default_value_t = 4_096)]
    pub buckets: usize,
    /// Share of packets between balancers that are lost.
    #[arg(long, default_value_t = 0.0)]
    pub loss: f64,
}

/// Runs the cases and prints their lines.
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
