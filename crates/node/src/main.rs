//! `acaciad`: the balancer.

use std::{
    io::Read as _,
    path::{Path, PathBuf},
    process::ExitCode,
};

use acacia_code::Code;
use acacia_node::{
    cookie, daemon,
    settings::{self, Settings, Transport},
};
use clap::Parser;

#[derive(Debug, Parser)]
#[command(name = "acaciad", version, about = "Layer-4 load balancer")]
struct Arguments {
    /// The settings file, or - for standard input. Defaults to the file that the platform provides.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let Some(path) = arguments.settings.or_else(acacia_adapter::settings::path) else {
        eprintln!(
            "acaciad: {}: no settings file given; use --settings FILE",
            Code::Usage
        );
        return ExitCode::from(Code::Usage.exit_status());
    };
    let outcome = match read(&path) {
        Ok(text) if settings::transport(&text) == Transport::Cookie => {
            report_problems(cookie::Settings::parse(&text)).map(|settings| match arguments.check {
                true => Ok(Code::Success),
                false => cookie::daemon::run(settings, path),
            })
        }
        Ok(text) => report_problems(Settings::parse(&text)).map(|settings| match arguments.check {
            true => Ok(Code::Success),
            false => daemon::run(settings),
        }),
        Err(code) => Err(code),
    };
    match outcome {
        Ok(Ok(code)) | Err(code) => ExitCode::from(code.exit_status()),
        Ok(Err(error)) => {
            eprintln!("acaciad: {error:#}");
            ExitCode::from(Code::Failure.exit_status())
        }
    }
}

/// Prints the problems of invalid settings to standard error.
fn report_problems<T>(parsed: Result<T, settings::Error>) -> Result<T, Code> {
    parsed.map_err(|error| {
        eprintln!("acaciad: {error}");
        error.code
    })
}

fn read(path: &Path) -> Result<String, Code> {
    let mut text = String::new();
    let result = if path.as_os_str() == "-" {
        std::io::stdin().read_to_string(&mut text).map(|_| ())
    } else {
        std::fs::read_to_string(path).map(|read| text = read)
    };
    if let Err(error) = result {
        eprintln!(
            "acaciad: {}: {}: {error}",
            Code::SettingsUnreadable,
            path.display()
        );
        return Err(Code::SettingsUnreadable);
    }
    Ok(text)
}
