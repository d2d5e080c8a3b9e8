//! `acacia-stand`: the outside of the system in small, for the demo and the tests.

use std::net::SocketAddr;

use acacia_stand::{admin, backend, caller, fabric, stop::Flag};
use clap::Parser;

#[derive(Debug, Parser)]
#[command(
    name = "acacia-stand",
    version,
    about = "Stand-ins for fabric, servers and callers"
)]
enum Command {
    /// Sprays callers' packets over the balancers.
    Fabric(fabric::Options),
    /// Serves requests over real TCP.
    Backend(backend::Options),
    /// Opens feeds and requests, and prints what became of them.
    Caller(caller::Options),
    /// Sends a command to a running stand-in, as JSON.
    Admin {
        /// The stand-in's administration socket.
        to: SocketAddr,
        /// For instance '{"balancers":["127.0.0.1:7001"]}'.
        command: String,
    },
}

fn main() -> anyhow::Result<()> {
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .build();
    simplelog::WriteLogger::init(log::LevelFilter::Info, config, std::io::stderr())?;
    let stop = Flag::on_signals()?;
    match Command::parse() {
        Command::Fabric(options) => fabric::run(&options, &stop),
        Command::Backend(options) => {
            let outcome = backend::run(&options, &stop)?;
            println!(
                "name={} opened={} checkins={} duplicates={} maps={} feeds={} unreadable={}",
                options.name,
                outcome.opened,
                outcome.checkins,
                outcome.duplicates,
                outcome.maps,
                outcome.feeds,
                outcome.unreadable
            );
            Ok(())
        }
        Command::Caller(options) => {
            println!("{}", caller::run(&options, &stop)?.line(&options.name));
            Ok(())
        }
        Command::Admin { to, command } => admin::send(to, &serde_json::from_str(&command)?),
    }
}
