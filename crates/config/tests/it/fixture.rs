use proptest::{prelude::ProptestConfig, test_runner::RngSeed};
use std::net::{IpAddr, SocketAddr};

use acacia_config::{
    Config, Customer, Latency, Mark, Objective, Prefix, Protocol, Ratio, Server, Service, State,
    document::{Draft, Id},
};
use proptest::prelude::*;

/// Runs the given number of cases from a fixed seed, so that every run tests the same cases.
pub fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0xacac1a),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// A small configuration: two services with two servers each, and a customer.
pub fn config() -> Config {
    let mut config = Config::default();
    config
        .add_service(Service::new("live", [10, 77, 0, 1], 443, 70).callers(Mark::Paying))
        .add_service(Service::new("maps", [10, 77, 0, 2], 443, 30));
    for (name, service, host) in [
        ("live-1", "live", 1),
        ("live-2", "live", 2),
        ("maps-1", "maps", 3),
        ("maps-2", "maps", 4),
    ] {
        let address = SocketAddr::from(([10, 1, 0, host], 6080));
        config.add_server(Server::new(name, service, address, "hervanta"));
    }
    let prefix = Prefix::new([10, 9, 0, 0].into(), 16).expect("a prefix");
    config.add_customer(Customer::new("crew", Mark::Paying, [prefix]));
    config
}

/// A draft that changes the configuration to `config`.
pub fn draft(change: u128, config: Config) -> Draft {
    Draft {
        change: Id::new(change),
        author: "aino".into(),
        time: 1_800_000_000,
        config,
        in_force: None,
    }
}

fn name() -> impl Strategy<Value = String> {
    "[a-zA-Z0-9][a-zA-Z0-9._-]{0,12}"
}

fn ratio() -> impl Strategy<Value = Ratio> {
    (1_u32..=100_000).prop_filter_map("a ratio", Ratio::new)
}

fn objective() -> impl Strategy<Value = Option<Objective>> {
    let latency = prop::option::of(
        (ratio(), 1_u32..).prop_map(|(ratio, within_ms)| Latency { ratio, within_ms }),
    );
    prop::option::of(
        (ratio(), latency).prop_map(|(availability, latency)| Objective {
            availability,
            latency,
        }),
    )
}

fn mark() -> impl Strategy<Value = Mark> {
    prop_oneof![Just(Mark::Trial), Just(Mark::Paying)]
}

/// The random parts of a service.
type Parts = (String, u16, bool, Mark, u16, u32, Option<Objective>);

/// Services whose names and addresses contain their position, so that no two are equal.
fn services() -> impl Strategy<Value = Vec<Service>> {
    let ports = 1_u16..;
    let one = (
        name(),
        ports,
        any::<bool>(),
        mark(),
        1_u16..,
        1_u32..,
        objective(),
    );
    prop::collection::vec(one, 0..6).prop_map(|parts| {
        (1..)
            .zip(parts)
            .map(|(position, parts)| service(position, parts))
            .collect()
    })
}

fn service(position: u8, parts: Parts) -> Service {
    let (name, port, udp, mark, slots, connections, objective) = parts;
    let (address, protocol) = match udp {
        true => (
            IpAddr::from([0x2001, 0xdb8, 0, 0, 0, 0, 0, position.into()]),
            Protocol::Udp,
        ),
        false => (IpAddr::from([10, 0, 0, position]), Protocol::Tcp),
    };
    let share = 1 + (port % 16) as u8;
    let mut service = Service::new(&format!("s{position}-{name}"), address, port, share)
        .callers(mark)
        .limit(slots, connections)
        .protocol(protocol);
    service.objective = objective;
    service
}

fn state() -> impl Strategy<Value = State> {
    prop_oneof![
        Just(State::Active),
        any::<Option<u64>>().prop_map(|deadline| State::Drain { deadline }),
    ]
}

/// Any configuration without problems.
pub fn any_config() -> impl Strategy<Value = Config> {
    let server = (
        name(),
        any::<prop::sample::Index>(),
        state(),
        any::<Option<(u16, u32)>>(),
    );
    let customer = (
        name(),
        mark(),
        1_u16..,
        prop::collection::btree_set(0_u8..=24, 1..4),
    );
    let servers = prop::collection::vec(server, 0..12);
    let customers = prop::collection::vec(customer, 0..4);
    (services(), servers, customers).prop_map(|(services, servers, customers)| {
        let mut config = Config::default();
        for (position, (name, service, state, limit)) in (1_u16..).zip(servers) {
            if services.is_empty() {
                break;
            }
            let service = &service.get(&services).name;
            let address = SocketAddr::from(([10, 1, 0, position as u8], 6080 + position));
            let mut server = Server::new(&format!("b{position}-{name}"), service, address, &name);
            server.state = state;
            if let Some((slots, connections)) = limit {
                server = server.limit(slots.max(1), connections.max(1));
            }
            config.add_server(server);
        }
        for service in services {
            config.add_service(service);
        }
        for (position, (name, mark, weight, lengths)) in (1_u8..).zip(customers) {
            let prefix = |length| Prefix::new([position, 0, 0, 0].into(), 8 + length);
            let prefixes = lengths.into_iter().filter_map(prefix);
            config.add_customer(
                Customer::new(&format!("c{position}-{name}"), mark, prefixes).weight(weight),
            );
        }
        config
    })
}
