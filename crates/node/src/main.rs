//! `acaciad`: the balancer.

use std::{io::Read as _, path::PathBuf, process::ExitCode};

use acacia_code::Code;
use acacia_node::{daemon, settings::Settings};
use clap::Parser;

#[derive(Debug, Parser)]
#[command(name = "acaciad", version, about = "Layer-4 load balancer")]
struct Arguments {
    /// The settings file, or - for standard input.
    #[arg(long)]
    settings: PathBuf,
    /// Only check the settings.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match read(&arguments.settings) {
        Ok(settings) => settings,
        Err(code) => return ExitCode::from(code.exit_status()),
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match daemon::run(settings) {
        Ok(code) => ExitCode::from(code.exit_status()),
        Err(error) => {
            eprintln!("acaciad: {error:#}");
            ExitCode::from(Code::Failure.exit_status())
        }
    }
}

fn read(path: &std::path::Path) -> Result<Settings, Code> {
    let mut text = String::new();
    let taken = if path.as_os_str() == "-" {
        std::io::stdin().read_to_string(&mut text).map(|_| ())
    } else {
        std::fs::read_to_string(path).map(|read| text = read)
    };
    if let Err(error) = taken {
        eprintln!(
            "acaciad: {}: {}: {error}",
            Code::SettingsUnreadable,
            path.display()
        );
        return Err(Code::SettingsUnreadable);
    }
    Settings::parse(&text).map_err(|error| {
        eprintln!("acaciad: {error}");
        error.code
    })
}
