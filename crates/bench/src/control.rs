//! Subcommand `control`: what a balancer's control costs, against the size of what it controls.
//!
//! Several of the product's own [`acacia_node::control::core::Core`]s run in one thread, in virtual
//! time, joined by queues. Every message is sealed, opened and decoded as on the wire.

/// One balancer of a fleet.
mod balancer;
/// Sizes of what the store holds and balancers pass on.
pub mod document;
/// Balancers joined by queues.
pub mod fleet;
/// A straight line through points.
pub mod line;
/// Memory of the process.
pub mod memory;
/// Replacement of a balancer that holds pins.
pub mod replace;
/// What is controlled.
pub mod size;
/// Time until a change is in force everywhere.
pub mod spread;
/// The platform's store, in memory.
pub mod store;

use std::time::Duration;

use fleet::{Cost, Fleet};
use line::Line;
use size::{DIMENSIONS, Size};

/// What to run.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Seeds, one run each.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    pub seeds: Vec<u64>,
    /// Dimensions: peers, servers, services, pins, changes, replaced, spread, documents; all if none is named.
    #[arg(long, value_delimiter = ',')]
    pub cases: Vec<String>,
    /// Seconds of virtual time that are measured, after the balancers have joined.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
}

/// Time to join, before anything is measured: at 64 balancers heartbeats are 4 s apart and a
/// member is trusted after several.
const JOINING: Duration = Duration::from_secs(120);
/// Time for the flags of new pins to reach everybody.
const FLAGGING: Duration = Duration::from_secs(20);

/// Runs the cases and prints their lines.
pub fn run(options: &Options) -> anyhow::Result<()> {
    let wants = |case: &str| options.cases.is_empty() || options.cases.iter().any(|c| c == case);
    // Kept to the end: memory that one fleet gives back would hide what the next one takes.
    // The first takes what a process takes once.
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

/// One dimension: a line for each point, and one for each fit.
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

/// One measurement.
struct Point {
    value: f64,
    cost: Cost,
    /// Bytes a balancer.
    memory: f64,
}
