//! `completions`: generates completions for a shell.

use clap::CommandFactory as _;
use clap_complete::Shell;
use serde_json::json;

use crate::{Cli, Report};

pub(crate) fn run(shell: Shell) -> Report {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "acaciactl", &mut script);
    let script = String::from_utf8_lossy(&script);
    let data = json!({ "script": script });
    Report::new(script.clone(), data)
}
