//! `acacia-bench`: measures decisions, flows, balance and control traffic.

use clap::Parser;

#[derive(Debug, Parser)]
#[command(
    name = "acacia-bench",
    version,
    about = "Measures acaciatrack's own decisions"
)]
enum Command {
    /// Decisions a second, bytes a flow, packets a second forwarded.
    Speed(acacia_bench::speed::Options),
    /// Broken flows under change and failure, by policy.
    Flows(acacia_bench::flows::Options),
    /// Imbalance, answer times and refusals under load, by policy.
    Balance(acacia_bench::balance::Options),
    /// Control bytes, processor time and memory against size.
    Control(acacia_bench::control::Options),
}

fn main() -> anyhow::Result<()> {
    match Command::parse() {
        Command::Speed(options) => acacia_bench::speed::run(&options),
        Command::Flows(options) => acacia_bench::flows::run(&options),
        Command::Balance(options) => acacia_bench::balance::run(&options),
        Command::Control(options) => acacia_bench::control::run(&options),
    }
}
