//! `acacia-demo`: runs a small deployment and changes it under traffic.

use std::process::ExitCode;

use acacia_e2e::demo::{self, Options};
use clap::Parser as _;

/// Exit status when the demo failed to start or was interrupted.
const UNFINISHED: u8 = 2;

fn main() -> ExitCode {
    match demo::run(&Options::parse()) {
        Ok(outcome) => {
            println!("\n{}", outcome.table());
            outcome.exit()
        }
        Err(error) => {
            eprintln!("acacia-demo: {error:#}");
            ExitCode::from(UNFINISHED)
        }
    }
}
