//! `acacia-soak`: runs seeds and reports those that violated a guarantee.

use std::{
    fmt::Debug,
    process::ExitCode,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use acacia_soak::{
    ip,
    run::{Plan, Report, play},
};
use clap::{Parser, ValueEnum};
use tokio::signal::unix::{SignalKind, signal};

#[derive(Debug, Parser)]
#[command(
    name = "acacia-soak",
    version,
    about = "Plays random faults against real balancers"
)]
struct Arguments {
    /// First seed; by default taken from the clock.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of seeds to run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Start new seeds for this many minutes instead of running a fixed number.
    #[arg(long)]
    minutes: Option<u64>,
    /// Number of balancers of each run.
    #[arg(long, default_value_t = 6)]
    balancers: u8,
    /// Number of faults of each run.
    #[arg(long, default_value_t = 10)]
    faults: usize,
    /// Number of additional faults of the traffic between balancers (cookie transport only).
    #[arg(long, default_value_t = 4)]
    mesh: usize,
    /// Number of additional floods of one data centre's callers and lapses of all servers' entries
    /// (cookie transport only).
    #[arg(long, default_value_t = 2)]
    load: usize,
    /// Transport of callers' packets. With IP, the number of balancers is fixed.
    #[arg(long, value_enum, default_value_t = Transport::Cookie)]
    transport: Transport,
}

/// Transport of callers' packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Transport {
    /// Packets that name their server by a cookie.
    Cookie,
    /// IP packets.
    Ip,
}

fn main() -> anyhow::Result<ExitCode> {
    let arguments = Arguments::parse();
    let first = arguments.seed.unwrap_or_else(seed_from_clock);
    let end = arguments
        .minutes
        .map(|minutes| Instant::now() + Duration::from_secs(60 * minutes));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let mut failed = 0;
    for seed in first.. {
        let is_over = match end {
            Some(end) => Instant::now() >= end,
            None => seed - first >= arguments.seeds,
        };
        if is_over {
            break;
        }
        if arguments.transport == Transport::Ip {
            let report = ip::play(seed, arguments.faults)?;
            print_ip(seed, &report);
            failed += usize::from(!report.breaches.is_empty());
            continue;
        }
        let plan = Plan {
            balancers: arguments.balancers,
            faults: arguments.faults,
            mesh: arguments.mesh,
            load: arguments.load,
            ..Plan::usual(seed)
        };
        // On a signal the run is dropped, which ends every process that it started.
        let report = runtime.block_on(async {
            tokio::select! {
                report = play(plan) => report,
                ended = wait_for_signal() => Err(ended.err().unwrap_or_else(|| anyhow::anyhow!("interrupted"))),
            }
        })?;
        print(seed, &report);
        failed += usize::from(!report.breaches.is_empty());
    }
    println!("failed={failed}");
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Waits for SIGINT or SIGTERM.
async fn wait_for_signal() -> anyhow::Result<()> {
    let mut terms = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terms.recv() => Ok(()),
        interrupt = tokio::signal::ctrl_c() => Ok(interrupt?),
    }
}

fn seed_from_clock() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_secs()
}

fn print(seed: u64, report: &Report) {
    let (during, after) = (&report.tally.ends, &report.recovered.ends);
    let verdict = verdict(report.breaches.is_empty());
    let flood = &report.flood.ends;
    println!("seed={seed} verdict={verdict} during={during:?} flood={flood:?} after={after:?}");
    let breaches = report.breaches.iter().map(|breach| &*breach.0);
    let faults = report.faults.iter();
    let faults = faults.map(|entry| format_fault(entry.at, entry.lasts, &entry.fault));
    explain(breaches, faults, &report.logs);
}

fn print_ip(seed: u64, report: &ip::Report) {
    let verdict = verdict(report.breaches.is_empty());
    println!("seed={seed} verdict={verdict}");
    for line in &report.callers {
        println!("  {}", line.trim());
    }
    let breaches = report.breaches.iter().map(String::as_str);
    let faults = report.faults.iter();
    let faults = faults.map(|entry| format_fault(entry.at, entry.lasts, &entry.fault));
    explain(breaches, faults, &report.logs);
}

const fn verdict(is_ok: bool) -> &'static str {
    if is_ok { "kept" } else { "broken" }
}

fn format_fault(at: Duration, lasts: Duration, fault: &impl Debug) -> String {
    format!("at={at:?} lasts={lasts:?} {fault:?}")
}

/// Prints the violations with the faults and logs of the run; nothing if there are none.
fn explain<'a>(
    breaches: impl Iterator<Item = &'a str>,
    faults: impl Iterator<Item = String>,
    logs: &[String],
) {
    let breaches: Vec<&str> = breaches.collect();
    if breaches.is_empty() {
        return;
    }
    breaches.iter().for_each(|breach| println!("  {breach}"));
    faults.for_each(|fault| println!("  {fault}"));
    logs.iter().for_each(|log| println!("{log}"));
}
