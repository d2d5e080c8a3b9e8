//! `acacia-demo`: a small deployment that serves while it changes.

use std::time::Duration;

use acacia_e2e::deployment::{Deployment, Plan, Service};
use clap::Parser;

#[derive(Debug, Parser)]
#[command(
    name = "acacia-demo",
    version,
    about = "Shows a deployment serving through changes"
)]
struct Options {
    /// Number of balancers.
    #[arg(long, default_value_t = 7)]
    balancers: u16,
    /// How long callers go on, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

fn main() -> anyhow::Result<()> {
    let options = Options::parse();
    let mut deployment = Deployment::start(plan(options.balancers)?)?;
    let seconds = || ("seconds", options.seconds.to_string());
    let limit = Duration::from_secs(options.seconds + 30);
    let callers = [
        deployment.caller(
            1,
            "talkoo-live",
            &[("name", "feeds".into()), ("feeds", "40".into()), seconds()],
        )?,
        deployment.caller(
            2,
            "talkoo-live",
            &[
                ("name", "check-ins".into()),
                ("rate", "40".into()),
                seconds(),
            ],
        )?,
        deployment.caller(
            3,
            "karttapalvelu",
            &[
                ("name", "maps".into()),
                ("rate", "20".into()),
                ("checkin", "0".into()),
                seconds(),
            ],
        )?,
    ];
    for caller in callers {
        print!("{}", caller.wait(limit)?.output);
    }
    for line in deployment.end_servers()? {
        print!("{line}");
    }
    for id in deployment.balancers() {
        println!("balancer={id} exit={}", deployment.end_balancer(id)?);
    }
    Ok(())
}

/// Today's Tampere in small.
fn plan(balancers: u16) -> anyhow::Result<Plan> {
    Ok(Plan {
        services: vec![
            Service {
                name: "talkoo-live",
                address: "198.51.100.1:443".parse()?,
                servers: 15,
                slots: 2,
                work: vec![2, 4, 8],
            },
            Service {
                name: "karttapalvelu",
                address: "198.51.100.2:443".parse()?,
                servers: 4,
                slots: 2,
                work: vec![2, 8],
            },
        ],
        balancers,
        data_centres: vec!["hervanta", "lielahti", "kangasala"],
    })
}
