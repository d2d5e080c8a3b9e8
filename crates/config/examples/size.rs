//! Measures the size of a configuration and the time to process it: `size SERVICES SERVERS`. Prints
//! one line of key=value pairs, with times in milliseconds.

use std::{net::Ipv4Addr, time::Instant};

use acacia_config::{
    Config, Server, Service, check,
    document::{Document, Draft, Id},
    parse, plan, print,
};

fn main() {
    let mut numbers = std::env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok());
    let services: u32 = numbers.next().unwrap_or(2);
    let servers: u32 = numbers.next().unwrap_or(19);
    let config = build(services, servers);
    let (text, print_ms) = timed(|| print(&config));
    let (problems, check_ms) = timed(|| check(&config));
    let (read, parse_ms) = timed(|| parse(&text));
    let (plan, plan_ms) = timed(|| plan::compare(&Config::default(), &config));
    let draft = Draft {
        change: Id::new(1),
        author: "aino".into(),
        time: 1_800_000_000,
        config: config.clone(),
        in_force: None,
    };
    let document = match Document::follow(None, &draft) {
        Ok(document) => document.encode().len().to_string(),
        Err(error) => format!("{:?}", error.to_string()),
    };
    println!(
        "services={services} servers={servers} problems={} same={} text={} document={document} \
         print_ms={print_ms} check_ms={check_ms} parse_ms={parse_ms} plan_ms={plan_ms} changes={}",
        problems.len(),
        read == Ok(config),
        text.len(),
        plan.changes.len(),
    );
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, u128) {
    let start = Instant::now();
    let value = work();
    (value, start.elapsed().as_millis())
}

/// Services with a share of 1% each, and servers distributed over them.
fn build(services: u32, servers: u32) -> Config {
    let mut config = Config::default();
    for number in 0..services {
        let address = Ipv4Addr::from_bits(0x0a4d_0000 + number);
        let name = format!("service-{number:04}");
        config.add_service(Service::new(&name, address, 443, 1));
    }
    for number in 0..servers {
        let address = Ipv4Addr::from_bits(0x0a01_0000 + number);
        let service = format!("service-{:04}", number % services.max(1));
        let name = format!("host-{number:05}");
        config.add_server(Server::new(
            &name,
            &service,
            (address, 6080).into(),
            "hervanta",
        ));
    }
    config
}
