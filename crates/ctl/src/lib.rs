//! The operators' command line as a library: [`Cli`] holds the arguments, [`run`] runs the command
//! and returns a [`Report`] for people or programs.
//!
//! Changes are made in the platform's store by compare-and-swap; the balancers themselves are
//! queried for what they have in force.

mod cli;
mod command;
mod fleet;
mod in_force;
mod report;
mod settings;
pub mod wait;

pub use cli::{Cli, Command};
pub use report::Report;
pub use settings::{Invocation, Settings};

/// Runs the command of a command line. A failure is returned as a report too.
pub async fn run(cli: Cli, invocation: Invocation) -> Report {
    let settings = match Settings::resolve(&cli, invocation) {
        Ok(settings) => settings,
        Err(failure) => return failure,
    };
    let outcome = match cli.verb {
        Command::Print { file } => command::print::run(&settings, file.as_deref()).await,
        Command::Check { file } => command::check::run(&file),
        Command::Plan { file } => command::plan::run(&settings, &file).await,
        Command::Apply { file, over, wait } => {
            command::apply::run(&settings, &file, over, wait.timeout()).await
        }
        Command::Drain {
            servers,
            deadline,
            wait,
        } => command::drain::run(&settings, &servers, deadline, wait.timeout()).await,
        Command::Undrain { servers, wait } => {
            command::drain::undrain(&settings, &servers, wait.timeout()).await
        }
        Command::Status => command::status::run(&settings).await,
        Command::Burn { html } => command::burn::run(&settings, html.as_deref()).await,
        Command::History => command::history::run(&settings).await,
        Command::Completions { shell } => Ok(command::completions::run(shell)),
    };
    outcome.unwrap_or_else(|failure| failure)
}
