use std::{
    fmt::Write as _,
    hint::black_box,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use acacia_catalog::{
    Catalog, Change,
    route::{Config, Front, Objective, Route, Target},
    server::{Server, State},
};
use acacia_cookie::{Action, Resolver, Roster, Snapshot, cookie::Cookie, silence::Detector};
use acacia_wire::{
    flow::{Key, Protocol},
    packet::{Kind, Packet},
};

use super::{Options, cpu, median_and_range};

/// Open flows per balancer in the largest deployment.
const FLOWS: u32 = 10_000;
/// Packets in one measurement.
const PACKETS: u32 = 200_000;
/// Destination of all flows.
const FRONT: Front = Front {
    address: Ipv4Addr::new(198, 18, 0, 1),
    port: 443,
};

/// Numbers of backend servers in one service.
const SERVERS: [u32; 4] = [15, 150, 3_000, 10_000];
/// Snapshots in one measurement, each after the change of one server.
const SNAPSHOTS: u32 = 50;

/// Measures decisions for packets that carry a cookie, and snapshots after a change, by the number of
/// backend servers in one service.
pub fn run(options: &Options, seed: u64) {
    for servers in SERVERS {
        let case = format!("cookie-{servers}");
        if !options.wants(&case) {
            continue;
        }
        let (mut catalog, mut roster) = known(servers);
        let snapshot = roster.snapshot(&Detector::default(), Duration::ZERO);
        let snapshots = (0..options.rounds).map(|_| change_servers(&mut catalog, &mut roster));
        let snapshots = snapshots.collect();
        let measured = (0..options.rounds).map(|_| measure(&snapshot));
        let (openings, packets): (Vec<f64>, Vec<f64>) = measured.unzip();
        let log_lines = (0..options.rounds).map(|_| log_line()).collect();
        let mut output = format!("speed case={case} seed={seed} flows={FLOWS}");
        for (name, values) in [
            ("opening", openings),
            ("packet", packets),
            ("line", log_lines),
            ("snapshot", snapshots),
        ] {
            let [median, least, most] = median_and_range(values);
            // Writing to a `String` never fails.
            let _ = write!(output, " {name}_ns={median:.0} ({least:.0} to {most:.0})");
        }
        println!("{output}");
    }
}

/// Nanoseconds per opening packet and per mid-flow packet.
fn measure(snapshot: &Snapshot) -> (f64, f64) {
    let mut resolver = Resolver::default();
    let mut cookies = Vec::with_capacity(FLOWS as usize);
    let now = Duration::from_secs(1);
    let start = cpu::thread();
    for flow in 0..FLOWS {
        let packet = packet(flow, Kind::Opening { isn: flow }, 0);
        match resolver.resolve(snapshot, &packet, None, now) {
            Action::Forward { cookie, .. } => cookies.push(cookie),
            Action::Reset { .. } | Action::Refuse { .. } | Action::Drop { .. } => {
                cookies.push(Cookie::of("none", 0))
            }
        }
    }
    let opening = per(cpu::thread().saturating_sub(start), FLOWS);
    let start = cpu::thread();
    for number in 0..PACKETS {
        let flow = number % FLOWS;
        let packet = packet(flow, Kind::Middle, number / FLOWS + 1);
        let cookie = Some(cookies[flow as usize]);
        black_box(resolver.resolve(snapshot, &packet, cookie, now));
        black_box(resolver.take_timings());
    }
    (opening, per(cpu::thread().saturating_sub(start), PACKETS))
}

/// Nanoseconds per snapshot after the change of one server.
fn change_servers(catalog: &mut Catalog, roster: &mut Roster) -> f64 {
    let start = cpu::thread();
    for number in 1..=SNAPSHOTS {
        let revision = catalog.revision() + 1;
        let mut server = server(number);
        server.state = match revision % 2 {
            0 => State::Draining,
            _ => State::Ready,
        };
        catalog.apply(change(server, revision));
        catalog.complete(revision);
        roster.update(catalog, Duration::ZERO);
        black_box(roster.snapshot(&Detector::default(), Duration::ZERO));
    }
    per(cpu::thread().saturating_sub(start), SNAPSHOTS)
}

/// Nanoseconds for formatting the log line that is written for each opened flow.
fn log_line() -> f64 {
    let mut text = String::new();
    let start = cpu::thread();
    for number in 0..PACKETS {
        text.clear();
        let (address, port) = (Ipv4Addr::from_bits(number), number % 60_000);
        // Writing to a `String` never fails.
        let _ = write!(
            text,
            "event=flow-opened caller={address}:{port} to={}:{} server=i-7f3a91c2 \
             cookie={number:08x} copies=0 version=7 revision=412",
            FRONT.address, FRONT.port
        );
        black_box(&text);
    }
    per(cpu::thread().saturating_sub(start), PACKETS)
}

fn per(time: Duration, number: u32) -> f64 {
    time.as_nanos() as f64 / f64::from(number)
}

fn packet(flow: u32, kind: Kind, step: u32) -> Packet {
    Packet {
        key: Key {
            client: Ipv4Addr::from_bits(0x0a00_0000 + flow),
            service: FRONT.address,
            client_port: 40_000,
            service_port: FRONT.port,
            protocol: Protocol::Tcp,
        },
        kind,
        payload: 200,
        sequence: flow + 1 + 200 * step,
        acknowledgement: 1_000 * step,
    }
}

fn server(number: u32) -> Server {
    Server {
        id: format!("i-{number:x}").into(),
        tag: number.into(),
        service: "live".into(),
        address: SocketAddrV4::new(Ipv4Addr::from_bits(0x0a80_0000 + number), 8080),
        data_centre: "a".into(),
        slots: 2,
        state: State::Ready,
        warmup_ms: 0,
        started_ms: 0,
        created: 0,
    }
}

fn change(server: Server, revision: u64) -> Change {
    Change::Server {
        id: Arc::clone(&server.id),
        revision,
        server: Some(Arc::new(server)),
    }
}

/// A catalog of one service, and a roster that has its servers.
fn known(servers: u32) -> (Catalog, Roster) {
    let mut catalog = Catalog::default();
    for number in 1..=servers {
        catalog.apply(change(server(number), number.into()));
    }
    let route = Route {
        name: "r".into(),
        front: FRONT,
        targets: vec![Target {
            service: "live".into(),
            weight: 1,
        }],
        objective: Objective::default(),
    };
    let config = Config {
        version: 1,
        routes: vec![route],
        ..Config::default()
    };
    let revision = u64::from(servers) + 1;
    catalog.apply(Change::Config {
        revision,
        config: Arc::new(config),
    });
    catalog.complete(revision);
    let mut roster = Roster::default();
    roster.update(&catalog, Duration::ZERO);
    (catalog, roster)
}
