//! Subcommand `speed`: what one packet costs a traffic thread, from the decision alone to a
//! datagram forwarded.

/// Decisions where packets carry a cookie.
pub mod cookie;
/// Processor time of the calling thread.
pub mod cpu;
/// Decisions without sockets.
pub mod decide;
/// Datagrams through the worker's sockets, beside a bare echo.
pub mod forward;
/// Services, balancers, flows and packets.
pub mod scene;
/// Several threads on the same state.
pub mod shared;

/// What to run.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Seeds, one run each.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub seeds: Vec<u64>,
    /// Cases whose names begin so; all if none is named.
    #[arg(long, value_delimiter = ',')]
    pub cases: Vec<String>,
    /// Open flows.
    #[arg(long, default_value_t = 300_000)]
    pub flows: usize,
    /// Measurements of each case.
    #[arg(long, default_value_t = 5)]
    pub rounds: usize,
    /// Milliseconds of each measurement over sockets.
    #[arg(long, default_value_t = 400)]
    pub millis: u64,
}

impl Options {
    /// Whether a case is to be run.
    #[must_use]
    pub fn wants(&self, case: &str) -> bool {
        self.cases.is_empty() || self.cases.iter().any(|name| case.starts_with(&**name))
    }
}

/// Runs the cases and prints their lines.
pub fn run(options: &Options) -> anyhow::Result<()> {
    for &seed in &options.seeds {
        cookie::run(options, seed);
        decide::run(options, seed)?;
        shared::run(options, seed)?;
        forward::run(options, seed)?;
    }
    Ok(())
}

/// The middle one of some measurements, with the least and the most.
///
/// ```
/// assert_eq!(acacia_bench::speed::spread(vec![3.0, 1.0, 2.0]), [2.0, 1.0, 3.0]);
/// ```
#[must_use]
pub fn spread(mut values: Vec<f64>) -> [f64; 3] {
    values.sort_by(f64::total_cmp);
    match values.as_slice() {
        [] => [f64::NAN; 3],
        [least, .., most] => [values[values.len() / 2], *least, *most],
        [one] => [*one; 3],
    }
}
