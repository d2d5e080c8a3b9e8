//! Subcommand `control`: cost of a balancer's control plane as the group and configuration grow.
//!
//! Several instances of [`acacia_node::control::core::Core`] run in one thread and in virtual time,
//! connected by in-memory queues. Every message is sealed, opened and decoded as on the network.

/// Control plane of one simulated balancer.
mod balancer;
/// Sizes of the stored documents that balancers also send to each other.
pub mod document;
/// Simulated group of balancers, connected by in-memory queues.
pub mod fleet;
/// Linear regression.
pub mod line;
/// Resident memory of the process.
pub mod memory;
/// Replacement of a balancer that holds pins.
pub mod replace;
/// Size of the simulated group and of its configuration.
pub mod size;
/// Time until a configuration change is in force on every balancer.
pub mod spread;
/// In-memory implementation of the platform's key-value store.
pub mod store;

use std::time::Duration;

use fleet::{Cost, Fleet};
use line::Line;
use size::{DIMENSIONS, Size};

/// Command-line options of `control`.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Random seeds; each case runs once per seed.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub seeds: Vec<u64>,
    /// Dimensions to measure: peers, servers, services, pins, changes, replaced, spread, documents; all if none is named.
    #[arg(long, value_delimiter = ',')]
    pub cases: Vec<String>,
    /// Duration of the measurement in seconds of virtual time, after the balancers have joined.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
}

/// Time for all balancers to join before the measurement starts: with 64 balancers the heartbeat
/// interval is 4 s, and a member is trusted only after several heartbeats.
const JOINING: Duration = Duration::from_secs(120);
/// Time for the flags of new pins to reach every balancer.
const FLAGGING: Duration = Duration::from_secs(20);

/// Runs the selected dimensions and prints their results.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let wants = |case: &str| options.cases.is_empty() || options.cases.iter().any(|c| c == case);
    // Fleets stay alive until the end: memory freed by one would be reused by the next and hide
    // its growth. The first fleet absorbs the one-time allocations of the process.
    let size = Size::default();
    let mut fleets = vec![Fleet::new(&size, 0)?];
    fleets[0].run(FLAGGING, &size);
    for &seed in &options.seeds {
        for (name, sizes) in DIMENSIONS.iter().filter(|(name, _)| wants(name)) {
            sweep(name, sizes, seed, options.seconds, &mut fleets)?;
        }
        if wants("replaced") {
            replace::run(seed)?;
        }
        if wants("spread") {
            spread::run(seed)?;
        }
    }
    if wants("documents") {
        document::run()?;
    }
    Ok(())
}

/// Measures one dimension. Prints one line per point and one per linear fit.
fn sweep(
    name: &str,
    values: &[u32],
    seed: u64,
    seconds: u64,
    fleets: &mut Vec<Fleet>,
) -> anyhow::Result<()> {
    let mut points = Vec::new();
    for &value in values {
        let size = Size::default().with(name, value);
        let before = memory::resident()?;
        let mut fleet = Fleet::new(&size, seed)?;
        fleet.run(JOINING, &size);
        fleet.pin(&size, seed);
        fleet.run(FLAGGING, &size);
        let memory = memory::resident()?.saturating_sub(before) / u64::from(size.peers);
        fleet.reset();
        fleet.run(Duration::from_secs(seconds), &size);
        let (cost, serving) = (fleet.cost(), fleet.serving());
        let all = usize::from(size.peers);
        anyhow::ensure!(serving == all, "{serving} of {all} balancers serve");
        println!(
            "case={name} seed={seed} {size} {cost} memory_bytes={memory} pins_held={}",
            fleet.pins()
        );
        points.push(Point {
            value: f64::from(value),
            cost,
            memory: memory as f64,
        });
        fleets.push(fleet);
    }
    let fit = |figure: &str, of: &dyn Fn(&Point) -> f64| {
        let line = Line::fit(points.iter().map(|point| (point.value, of(point))));
        println!("case={name} fit={figure} seed={seed} {line}");
    };
    fit("sent_bytes_per_second", &|point| point.cost.sent());
    fit("tcp_acknowledgement_bytes_per_second", &|point| {
        point.cost.acks
    });
    fit("processor_micros_per_second", &|point| point.cost.micros);
    fit("store_calls_per_second", &|point| point.cost.calls);
    fit("memory_bytes", &|point| point.memory);
    Ok(())
}

/// Result of one measurement.
struct Point {
    value: f64,
    cost: Cost,
    /// Resident memory per balancer, in bytes.
    memory: f64,
}
