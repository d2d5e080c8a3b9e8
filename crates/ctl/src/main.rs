//! `acaciactl`: the operators' command line.

use std::{
    io::Write as _,
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};

use acacia_ctl::{Cli, Invocation, run};
use clap::Parser as _;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    let json = cli.json;
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let invocation = Invocation {
        unix_time: since.map_or(0, |age| age.as_secs()),
        random: rand::random(),
    };
    let report = run(cli, invocation).await;
    let text = if json { report.json() } else { report.text };
    // A closed pipe, as in `acaciactl status | head`, is not a failure of the command.
    let _ignored = if report.code == acacia_code::Code::Success || json {
        std::io::stdout().write_all(text.as_bytes())
    } else {
        std::io::stderr().write_all(text.as_bytes())
    };
    ExitCode::from(report.code.exit_status())
}
