//! `acacia-bench`: benchmarks of forwarding decisions, flows, balance, control traffic and membership.

use clap::Parser;

#[derive(Debug, Parser)]
#[command(name = "acacia-bench", version, about = "Benchmarks for acaciatrack")]
enum Command {
    /// Decisions per second, bytes of state per flow, packets forwarded per second.
    Speed(acacia_bench::speed::Options),
    /// Broken flows during changes and failures, by policy.
    Flows(acacia_bench::flows::Options),
    /// Imbalance, response times and refused connections under load, by policy.
    Balance(acacia_bench::balance::Options),
    /// Control traffic, CPU time and memory by deployment size.
    Control(acacia_bench::control::Options),
    /// Membership by fleet size: traffic, CPU time, wrong removals, time to know of failures.
    Members(acacia_bench::members::Options),
}

fn main() -> anyhow::Result<()> {
    match Command::parse() {
        Command::Speed(options) => acacia_bench::speed::run(&options),
        Command::Flows(options) => acacia_bench::flows::run(&options),
        Command::Balance(options) => acacia_bench::balance::run(&options),
        Command::Control(options) => acacia_bench::control::run(&options),
        Command::Members(options) => {
            acacia_bench::members::run(&options);
            Ok(())
        }
    }
}
