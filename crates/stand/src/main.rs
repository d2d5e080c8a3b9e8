//! `acacia-stand`: runs stand-ins for the systems around the balancers, for the demo and the tests.

use std::net::SocketAddr;

use acacia_stand::{
    admin, backend, caller, fabric, platform, relay,
    stop::{Flag, POLL},
};
use clap::Parser;

#[derive(Debug, Parser)]
#[command(
    name = "acacia-stand",
    version,
    about = "Stand-ins for the systems around the balancers"
)]
enum Command {
    /// Spreads callers' packets over the balancers and delivers answers to the callers.
    Fabric(fabric::Options),
    /// Serves requests over real TCP.
    Backend(backend::Options),
    /// Opens feeds, sends requests and prints how many succeeded and failed.
    Caller(caller::Options),
    /// Serves a key-value store and a list of VMs from memory.
    Platform {
        /// Address that serves the platform's calls.
        #[arg(long)]
        listen: SocketAddr,
        /// Address that serves the calls that inject faults.
        #[arg(long)]
        control: SocketAddr,
    },
    /// Forwards the traffic among balancers and between them and the platform, and blocks it on
    /// command.
    Relay(relay::Options),
    /// Sends a JSON command to a running stand-in.
    Admin {
        /// Address of the stand-in's administration socket.
        to: SocketAddr,
        /// The command, for instance '{"balancers":["127.0.0.1:7001"]}'.
        command: String,
    },
}

fn main() -> anyhow::Result<()> {
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("acacia")
        .build();
    simplelog::WriteLogger::init(log::LevelFilter::Info, config, std::io::stderr())?;
    let stop = Flag::on_signals()?;
    match Command::parse() {
        Command::Fabric(options) => fabric::run(&options, &stop),
        Command::Backend(options) => {
            let outcome = backend::run(&options, &stop)?;
            println!(
                "name={} opened={} checkins={} duplicates={} maps={} feeds={} unreadable={} \
                 resets={} late={}",
                options.name,
                outcome.opened,
                outcome.checkins,
                outcome.duplicates,
                outcome.maps,
                outcome.feeds,
                outcome.unreadable,
                outcome.resets,
                outcome.late
            );
            Ok(())
        }
        Command::Caller(options) => {
            println!("{}", caller::run(&options, &stop)?.line(&options.name));
            Ok(())
        }
        Command::Platform { listen, control } => serve_platform(listen, control, &stop),
        Command::Relay(options) => relay::run(&options, &stop),
        Command::Admin { to, command } => admin::send(to, &serde_json::from_str(&command)?),
    }
}

fn serve_platform(listen: SocketAddr, control: SocketAddr, stop: &Flag) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let stand = platform::Stand::start(listen, control).await?;
        log::info!("event=platform-up listen={listen}");
        while !stop.is_raised() {
            tokio::time::sleep(POLL).await;
        }
        stand.stop().await;
        Ok(())
    })
}
