//! Subcommand `speed`: CPU cost per packet on a traffic thread, from the forwarding decision alone
//! to the complete forwarding of a datagram.

/// Forwarding decisions for packets that carry a cookie.
pub mod cookie;
/// CPU time of the calling thread.
pub mod cpu;
/// Forwarding decisions without sockets.
pub mod decide;
/// Forwarding of datagrams through the worker's sockets, compared with a minimal forwarder.
pub mod forward;
/// Services, balancers, flows and packets that the measurements use.
pub mod scene;
/// Forwarding decisions by several threads on shared state.
pub mod shared;

/// Command-line options of `speed`.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Random seeds; each case runs once per seed.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub seeds: Vec<u64>,
    /// Prefixes of the names of the cases to run; all if none is given.
    #[arg(long, value_delimiter = ',')]
    pub cases: Vec<String>,
    /// Number of open flows.
    #[arg(long, default_value_t = 300_000)]
    pub flows: usize,
    /// Number of measurements per case.
    #[arg(long, default_value_t = 5)]
    pub rounds: usize,
    /// Duration of each measurement over sockets, in milliseconds.
    #[arg(long, default_value_t = 400)]
    pub millis: u64,
}

impl Options {
    /// Returns whether the options select a case.
    #[must_use]
    pub fn wants(&self, case: &str) -> bool {
        self.cases.is_empty() || self.cases.iter().any(|name| case.starts_with(&**name))
    }
}

/// Runs the selected cases and prints one line for each.
pub fn run(options: &Options) -> anyhow::Result<()> {
    for &seed in &options.seeds {
        cookie::run(options, seed);
        decide::run(options, seed)?;
        shared::run(options, seed)?;
        forward::run(options, seed)?;
    }
    Ok(())
}

/// Returns the median, the minimum and the maximum of some measurements, all NaN if there are none.
///
/// ```
/// assert_eq!(acacia_bench::speed::median_and_range(vec![3.0, 1.0, 2.0]), [2.0, 1.0, 3.0]);
/// ```
#[must_use]
pub fn median_and_range(mut values: Vec<f64>) -> [f64; 3] {
    values.sort_by(f64::total_cmp);
    match values.as_slice() {
        [] => [f64::NAN; 3],
        [least, .., most] => [values[values.len() / 2], *least, *most],
        [one] => [*one; 3],
    }
}
