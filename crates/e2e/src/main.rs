//! `acacia-demo`: a small deployment that serves while it changes.

use std::process::ExitCode;

use acacia_e2e::demo::{self, Options};
use clap::Parser as _;

fn main() -> anyhow::Result<ExitCode> {
    let outcome = demo::run(&Options::parse())?;
    println!("\n{}", outcome.table());
    Ok(outcome.exit())
}
