//! Services, packets and callers shared by several tests.

use std::sync::Arc;

use acacia_flow::{
    control::Tables,
    snapshot::{Address, Server, Service, State},
    table::build,
};
use acacia_wire::{
    flow::{Key, Protocol},
    packet::{Kind, Packet},
};
use proptest::test_runner::{Config, RngSeed};

use crate::fleet::Fleet;

pub const BUCKETS: usize = 64;

/// Runs the same cases every time. The environment variables `ACACIA_CASES` and `ACACIA_SEED`
/// select another number of cases and another seed. `PROPTEST_RNG_SEED`, which is set under cargo,
/// takes precedence over `ACACIA_SEED`.
pub fn config(cases: u32) -> Config {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    Config {
        cases: number("ACACIA_CASES").map_or(cases, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(number("ACACIA_SEED").unwrap_or(0x00ac_ac1a)),
        failure_persistence: None,
        max_shrink_iters: 20,
        ..Config::default()
    }
}

pub fn address(protocol: Protocol) -> Address {
    Address {
        ip: [198, 51, 100, 1].into(),
        port: 443,
        protocol,
    }
}

pub fn service(protocol: Protocol, servers: std::ops::Range<u16>, since: u64) -> Service {
    let weights: Vec<_> = servers.clone().map(|id| (id, 10)).collect();
    let table: Arc<[u16]> = build(BUCKETS, &weights, &[]).into();
    Service {
        address: address(protocol),
        since,
        strict: false,
        base: Arc::clone(&table),
        next: table,
        servers: servers
            .map(|id| {
                (
                    id,
                    Server {
                        state: State::Up,
                        weight: 10,
                    },
                )
            })
            .collect(),
    }
}

pub fn tables(service: Service) -> Tables {
    Tables {
        version: service.since,
        services: vec![Arc::new(service)],
    }
}

/// Recomputes the table for new flows.
pub fn retarget(service: &mut Service) {
    let eligible = service
        .servers
        .iter()
        .filter(|(_, server)| server.is_eligible());
    let weights: Vec<_> = eligible.map(|(&id, server)| (id, server.weight)).collect();
    service.next = build(service.base.len(), &weights, &service.base).into();
}

pub fn set_state(service: &mut Service, server: u16, state: State) {
    if let Some(entry) = service.servers.get_mut(&server) {
        entry.state = state;
    }
    retarget(service);
}

pub fn key(protocol: Protocol, number: u32) -> Key {
    Key {
        client: (0xc000_0200 + (number >> 8)).into(),
        service: [198, 51, 100, 1].into(),
        client_port: 10_000 + (number & 0xff) as u16,
        service_port: 443,
        protocol,
    }
}

pub fn packet(key: Key, kind: Kind, payload: u16) -> Packet {
    Packet {
        key,
        kind,
        payload,
        sequence: 1,
        acknowledgement: 1,
    }
}

pub fn opening(number: u32) -> Packet {
    packet(
        key(Protocol::Tcp, number),
        Kind::Opening { isn: number + 7 },
        0,
    )
}

pub fn data(number: u32) -> Packet {
    packet(key(Protocol::Tcp, number), Kind::Middle, 100)
}

/// Retransmits `packet` until it is delivered, as a caller's transport would. Returns whether it
/// was delivered within about 40 s.
pub fn insist(fleet: &mut Fleet, packet: &Packet) -> bool {
    for attempt in 0..12 {
        let before = fleet
            .flows
            .get(&packet.key)
            .map_or(0, |truth| truth.delivered);
        fleet.spray(packet);
        fleet.run(if attempt < 2 { 60 } else { 4_000 });
        if fleet.flows[&packet.key].delivered > before {
            return true;
        }
    }
    false
}

/// Opens flows `from..to`; each caller then sends an acknowledgement.
pub fn open(fleet: &mut Fleet, from: u32, to: u32) {
    for number in from..to {
        fleet.spray(&opening(number));
    }
    fleet.run(50);
    for number in from..to {
        if fleet.flows[&key(Protocol::Tcp, number)].server.is_none() {
            insist(fleet, &opening(number));
        }
        fleet.spray(&packet(key(Protocol::Tcp, number), Kind::Middle, 0));
    }
    fleet.run(50);
}

/// Sends data on every open flow of `from..to`, with retransmissions. Returns the numbers of the
/// flows whose packet was not delivered.
pub fn talk(fleet: &mut Fleet, from: u32, to: u32) -> Vec<u32> {
    let opened = |fleet: &Fleet, number| {
        let truth = fleet.flows[&key(Protocol::Tcp, number)];
        truth.server.is_some() && !truth.is_abandoned(fleet.now)
    };
    let numbers: Vec<u32> = (from..to).filter(|&number| opened(fleet, number)).collect();
    let delivered = |fleet: &Fleet, number: u32| fleet.flows[&key(Protocol::Tcp, number)].delivered;
    let before: Vec<u32> = numbers
        .iter()
        .map(|&number| delivered(fleet, number))
        .collect();
    numbers
        .iter()
        .for_each(|&number| fleet.spray(&data(number)));
    fleet.run(100);
    let undelivered = numbers
        .iter()
        .zip(before)
        .filter(|(number, b)| delivered(fleet, **number) == *b);
    let undelivered: Vec<u32> = undelivered.map(|(number, _)| *number).collect();
    undelivered
        .into_iter()
        .filter(|&number| !insist(fleet, &data(number)))
        .collect()
}
