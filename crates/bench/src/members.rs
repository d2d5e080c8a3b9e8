//! Subcommand `members`: membership of fleets of different sizes, with the real state machines and a
//! simulated network. Shows what a balancer sends and spends, and how long lists are wrong after a
//! failure.

/// Failures, and what is measured after them.
pub mod case;
/// The simulated balancers and their network.
pub mod fleet;

use case::Case;

/// Command-line options of `members`.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Random seeds; each case runs once per seed.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub seeds: Vec<u64>,
    /// Numbers of balancers.
    #[arg(long, value_delimiter = ',', default_value = "984,1968,3936")]
    pub sizes: Vec<usize>,
    /// Number of balancers in each data centre.
    #[arg(long, default_value_t = 197)]
    pub near: usize,
    /// Share of messages that are lost.
    #[arg(long, default_value_t = 0.02)]
    pub loss: f64,
    /// Length of the quiet case in seconds.
    #[arg(long, default_value_t = 600)]
    pub quiet_s: u64,
    /// Cases to run; all if none is given.
    #[arg(long, value_delimiter = ',')]
    pub cases: Vec<Case>,
}

/// Runs the selected cases and prints one line for each.
pub fn run(options: &Options) {
    for &seed in &options.seeds {
        for &size in &options.sizes {
            for case in case::ALL {
                if options.cases.is_empty() || options.cases.contains(&case) {
                    println!("{}", case.run(options, size, seed));
                }
            }
        }
    }
}
