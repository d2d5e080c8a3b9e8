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
    /// The settings file, or - for standard input. Without it, the file that the platform names.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Only check the settings.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let Some(path) = arguments.settings.or_else(acacia_adapter::settings::path) else {
        eprintln!("acaciad: {}: name a settings file", Code::Usage);
        return ExitCode::from(Code::Usage.exit_status());
    };
    let ended = match read(&path) {
        Ok(text) if settings::transport(&text) == Transport::Cookie => {
            checked(cookie::Settings::parse(&text)).map(|settings| match arguments.check {
                true => Ok(Code::Success),
                false => cookie::daemon::run(settings, path),
            })
        }
        Ok(text) => checked(Settings::parse(&text)).map(|settings| match arguments.check {
            true => Ok(Code::Success),
            false => daemon::run(settings),
        }),
        Err(code) => Err(code),
    };
    match ended {
        Ok(Ok(code)) | Err(code) => ExitCode::from(code.exit_status()),
        Ok(Err(error)) => {
            eprintln!("acaciad: {error:#}");
            ExitCode::from(Code::Failure.exit_status())
        }
    }
}

/// Says what is wrong with settings.
fn checked<T>(parsed: Result<T, settings::Error>) -> Result<T, Code> {
    parsed.map_err(|error| {
        eprintln!("acaciad: {error}");
        error.code
    })
}

fn read(path: &Path) -> Result<String, Code> {
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
    Ok(text)
}
