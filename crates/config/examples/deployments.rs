//! Prints the configuration of one of the current deployments: `tampere` (the default) or `lima`.

use std::net::SocketAddr;

use acacia_config::{Config, Customer, Latency, Mark, Objective, Ratio, Server, Service, print};

/// Port on which backend servers receive encapsulated packets.
const PORT: u16 = 6080;

fn main() {
    let config = match std::env::args().nth(1).as_deref() {
        Some("lima") => lima(),
        _ => tampere(),
    };
    print!("{}", print(&config));
}

/// Crew leaders' feeds and check-ins on 15 hosts, printable maps on 4 hosts.
fn tampere() -> Config {
    let mut config = Config::default();
    config
        .add_service(
            Service::new("talkoo-live", [10, 77, 0, 1], 443, 80)
                .callers(Mark::Paying)
                .objective(objective(99_950, 250)),
        )
        .add_service(Service::new("karttapalvelu", [10, 77, 0, 2], 443, 20))
        .add_customer(Customer::new(
            "crew-leaders",
            Mark::Paying,
            ["10.40.0.0/16".parse().expect("a prefix")],
        ));
    let centres = ["hervanta", "lielahti", "kangasala"];
    hosts(&mut config, "talkoo-live", "live", centres, 1..=15);
    hosts(&mut config, "karttapalvelu", "kartta", centres, 16..=19);
    config
}

/// The enrolment desk on 15 hosts, recipe booklets on 4 hosts.
fn lima() -> Config {
    let mut config = Config::default();
    config
        .add_service(
            Service::new("matricula", [10, 78, 0, 1], 443, 80)
                .callers(Mark::Paying)
                .limit(3, 2000)
                .objective(objective(99_900, 400)),
        )
        .add_service(Service::new("recetario", [10, 78, 0, 2], 443, 20).limit(3, 2000));
    let centres = ["lima-a", "lima-b", "lima-c"];
    hosts(&mut config, "matricula", "mat", centres, 1..=15);
    hosts(&mut config, "recetario", "rec", centres, 16..=19);
    config
}

/// Distributes the hosts of a service over the data centres.
fn hosts(
    config: &mut Config,
    service: &str,
    prefix: &str,
    centres: [&str; 3],
    numbers: std::ops::RangeInclusive<u8>,
) {
    for number in numbers {
        let centre = usize::from(number) % centres.len();
        let address = SocketAddr::from(([10, 1 + centre as u8, 0, number], PORT));
        let name = format!("{prefix}-{number:02}");
        config.add_server(Server::new(&name, service, address, centres[centre]));
    }
}

/// An objective with this availability, in thousandths of a percent, and 99 % of answers beginning
/// within the given time.
fn objective(availability: u32, within_ms: u32) -> Objective {
    let ratio = |steps| Ratio::new(steps).expect("a ratio of at most 100%");
    Objective {
        availability: ratio(availability),
        latency: Some(Latency {
            ratio: ratio(99_000),
            within_ms,
        }),
    }
}
