//! `acacia-demo`: a small deployment that serves while it changes.

use std::process::ExitCode;

use acacia_e2e::demo::{self, Options};
use clap::Parser as _;

/// Exit status of a demo that did not come to its end, as it was asked to end or couldn't start.
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
