use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, OnceLock},
    time::Duration,
};

use acacia_catalog::{
    Catalog, Change,
    route::{Config, Front, Objective, Route, Target},
    server::{Server, State},
};
use acacia_cookie::{Action, Roster, Snapshot, cookie::Cookie, silence::Detector};
use acacia_wire::{
    flow::{Key, Protocol},
    packet::{Kind, Packet},
};

pub const FRONT: Front = Front {
    address: Ipv4Addr::new(198, 18, 0, 1),
    port: 443,
};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A ready server with an address derived from its name.
pub fn server(id: &str, service: &str) -> Server {
    let bits = acacia_cookie::cookie::hash(id) as u32;
    Server {
        id: id.into(),
        tag: u64::from(bits) | 1,
        service: service.into(),
        address: SocketAddrV4::new(Ipv4Addr::from_bits(bits), 8080),
        data_centre: "a".into(),
        slots: 2,
        state: State::Ready,
        warmup_ms: 0,
        started_ms: 0,
        created: 0,
    }
}

pub fn present(server: Server, revision: u64) -> Change {
    Change::Server {
        id: Arc::clone(&server.id),
        revision,
        server: Some(Arc::new(server)),
    }
}

pub fn absent(id: &str, revision: u64) -> Change {
    Change::Server {
        id: id.into(),
        revision,
        server: None,
    }
}

/// A change that starts the evacuation of a data centre, or ends it if `stands` is false.
pub fn evacuation(data_centre: &str, revision: u64, stands: bool) -> Change {
    Change::Evacuation {
        data_centre: data_centre.into(),
        revision,
        stands,
    }
}

/// A configuration with one route, to `services` with equal weights.
pub fn routed(services: &[&str], revision: u64) -> Change {
    let targets = services.iter().map(|service| Target {
        service: (*service).into(),
        weight: 1,
    });
    let route = Route {
        name: "r".into(),
        front: FRONT,
        targets: targets.collect(),
        objective: Objective::default(),
    };
    let config = Config {
        version: revision,
        routes: vec![route],
        ..Config::default()
    };
    Change::Config {
        revision,
        config: Arc::new(config),
    }
}

/// A configuration without routes.
pub fn unrouted(revision: u64) -> Change {
    let config = Config {
        version: revision,
        ..Config::default()
    };
    Change::Config {
        revision,
        config: Arc::new(config),
    }
}

/// A catalog to which the changes have been applied.
pub fn catalog(changes: impl IntoIterator<Item = Change>) -> Catalog {
    let mut catalog = Catalog::default();
    for change in changes {
        let revision = change.revision();
        catalog.apply(change);
        catalog.complete(revision);
    }
    catalog
}

/// The snapshot of a balancer that has just started, after the changes.
pub fn snapshot(changes: impl IntoIterator<Item = Change>) -> Snapshot {
    let mut roster = Roster::default();
    roster.update(&catalog(changes), Duration::ZERO);
    roster.snapshot(&Detector::default(), Duration::ZERO)
}

pub fn key(port: u16) -> Key {
    Key {
        client: [192, 0, 2, 1].into(),
        service: FRONT.address,
        client_port: port,
        service_port: FRONT.port,
        protocol: Protocol::Tcp,
    }
}

pub fn opening(port: u16) -> Packet {
    Packet {
        key: key(port),
        kind: Kind::Opening { isn: 100 },
        payload: 0,
        sequence: 100,
        acknowledgement: 0,
    }
}

/// A packet of an open flow, with `payload` bytes starting at `sequence`.
pub fn middle(port: u16, sequence: u32, payload: u16, acknowledgement: u32) -> Packet {
    Packet {
        key: key(port),
        kind: Kind::Middle,
        payload,
        sequence,
        acknowledgement,
    }
}

/// The name of the server to which a packet is forwarded, and its cookie; `None` if it isn't forwarded.
pub fn sent(action: &Action, snapshot: &Snapshot) -> Option<(Arc<str>, Cookie)> {
    match action {
        Action::Forward { server, cookie, .. } => {
            let server = &snapshot.servers[*server as usize];
            Some((Arc::clone(&server.id), *cookie))
        }
        Action::Reset { .. } | Action::Refuse { .. } | Action::Drop { .. } => None,
    }
}

/// Two server names with the same first cookie, found by search. With 30 bits, this takes some
/// fifty thousand names.
pub fn names_with_same_cookie() -> (String, String) {
    static NAMES: OnceLock<(String, String)> = OnceLock::new();
    let search = || {
        let mut seen = std::collections::HashMap::new();
        for number in 0.. {
            let id = format!("i-{number:x}");
            if let Some(other) = seen.insert(Cookie::of(&id, 0), id.clone()) {
                return (other, id);
            }
        }
        unreachable!("the search ends with a pair")
    };
    NAMES.get_or_init(search).clone()
}
