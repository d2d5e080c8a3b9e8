//! The operators' command line as a library: [`Cli`] is what was asked for, [`run`] does it and
//! gives a [`Report`] for people or programs.
//!
//! Changes go through the platform's store by compare-and-swap; what is in force is asked of the
//! balancers themselves.

mod cli;
mod fleet;
mod in_force;
mod report;
mod settings;
mod verb;
pub mod wait;

pub use cli::{Cli, Verb};
pub use report::Report;
pub use settings::{Moment, Settings};

/// Does what the command line asks for. Never fails: a failure is a report too.
pub async fn run(cli: Cli, moment: Moment) -> Report {
    let settings = match Settings::resolve(&cli, moment) {
        Ok(settings) => settings,
        Err(failure) => return failure,
    };
    let outcome = match cli.verb {
        Verb::Print { file } => verb::print::run(&settings, file.as_deref()).await,
        Verb::Check { file } => verb::check::run(&file),
        Verb::Plan { file } => verb::plan::run(&settings, &file).await,
        Verb::Apply { file, over, wait } => {
            verb::apply::run(&settings, &file, over, wait.patience()).await
        }
        Verb::Drain {
            servers,
            deadline,
            wait,
        } => verb::drain::run(&settings, &servers, deadline, wait.patience()).await,
        Verb::Undrain { servers, wait } => {
            verb::drain::undo(&settings, &servers, wait.patience()).await
        }
        Verb::Status => verb::status::run(&settings).await,
        Verb::Burn { html } => verb::burn::run(&settings, html.as_deref()).await,
        Verb::History => verb::history::run(&settings).await,
        Verb::Completions { shell } => Ok(verb::completions::run(shell)),
    };
    outcome.unwrap_or_else(|failure| failure)
}
