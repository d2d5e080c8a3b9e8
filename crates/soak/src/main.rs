//! `acacia-soak`: plays seeds and tells which broke a promise.

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
    /// The first seed; a fresh one without it.
    #[arg(long)]
    seed: Option<u64>,
    /// How many seeds to play.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Play on for so many minutes, whatever the number of seeds.
    #[arg(long)]
    minutes: Option<u64>,
    /// Balancers of each run.
    #[arg(long, default_value_t = 6)]
    balancers: u8,
    /// Faults of each run.
    #[arg(long, default_value_t = 10)]
    faults: usize,
    /// Faults between balancers of each run, besides.
    #[arg(long, default_value_t = 4)]
    mesh: usize,
    /// How packets travel. Where they are IP, the number of balancers is fixed.
    #[arg(long, value_enum, default_value_t = Transport::Cookie)]
    transport: Transport,
}

/// How packets travel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Transport {
    /// With a cookie.
    Cookie,
    /// As IP.
    Ip,
}

fn main() -> anyhow::Result<ExitCode> {
    let arguments = Arguments::parse();
    let first = arguments.seed.unwrap_or_else(fresh);
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
            ..Plan::usual(seed)
        };
        // Asked to end, the run is dropped, and with it every process that it started.
        let report = runtime.block_on(async {
            tokio::select! {
                report = play(plan) => report,
                ended = asked_to_end() => Err(ended.err().unwrap_or_else(|| anyhow::anyhow!("interrupted"))),
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

/// Waits for an interrupt or a request to end.
async fn asked_to_end() -> anyhow::Result<()> {
    let mut terms = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terms.recv() => Ok(()),
        interrupt = tokio::signal::ctrl_c() => Ok(interrupt?),
    }
}

fn fresh() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_secs()
}

fn print(seed: u64, report: &Report) {
    let (during, after) = (&report.tally.ends, &report.recovered.ends);
    let verdict = verdict(report.breaches.is_empty());
    println!("seed={seed} verdict={verdict} during={during:?} after={after:?}");
    let breaches = report.breaches.iter().map(|breach| &*breach.0);
    let faults = report.faults.iter();
    let faults = faults.map(|entry| told(entry.at, entry.lasts, &entry.fault));
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
    let faults = faults.map(|entry| told(entry.at, entry.lasts, &entry.fault));
    explain(breaches, faults, &report.logs);
}

const fn verdict(is_kept: bool) -> &'static str {
    if is_kept { "kept" } else { "broken" }
}

fn told(at: Duration, lasts: Duration, fault: &impl Debug) -> String {
    format!("at={at:?} lasts={lasts:?} {fault:?}")
}

/// Shows what led to broken promises, if any were.
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
