use std::{net::Ipv4Addr, sync::Arc};

use acacia_flow::{
    Snapshot,
    bitmap::Bitmap,
    rank::{Node, top_two},
    snapshot::{Address, Entry, Server, Service, State},
    table::build,
};
use acacia_tables::BUCKETS;
use acacia_wire::{
    collections::Map,
    control::Secret,
    flow::{Key, Protocol, mix},
    packet::{Kind, Packet},
};
use etherparse::PacketBuilder;

/// Number of balancers, as in the current fleet.
pub const BALANCERS: u16 = 8;
/// Number of services.
const SERVICES: u8 = 9;
/// Backend servers per service.
pub const SERVERS: u16 = 15;
/// Time in milliseconds at which all decisions are made.
pub const NOW: u64 = 1_000_000;
/// Payload of a mid-flow packet in bytes: a short request.
const PAYLOAD: usize = 200;
/// Initial sequence number of the client.
const ISN: u32 = 7;

/// Identifier of the balancer that is measured.
pub const ME: u16 = 0;

/// Returns the address at which clients reach service `number`.
#[must_use]
pub fn address(number: u8) -> Address {
    Address {
        ip: Ipv4Addr::new(198, 51, 100, number),
        port: 443,
        protocol: Protocol::Tcp,
    }
}

/// Returns the addresses of all services.
pub fn addresses() -> impl Iterator<Item = Address> {
    (0..SERVICES).map(address)
}

/// Returns the key of flow `index` for a seed. Client addresses are spread over the same range for
/// all services.
#[must_use]
pub fn key(seed: u64, index: usize) -> Key {
    let draw = mix(mix(seed) ^ index as u64);
    Key {
        client: Ipv4Addr::from_bits(0x0a00_0000 | (draw >> 40) as u32),
        service: address((index % usize::from(SERVICES)) as u8).ip,
        client_port: 1_024 + (draw as u16 >> 1),
        service_port: 443,
        protocol: Protocol::Tcp,
    }
}

/// Returns the first `count` flows that the measured balancer owns, or that it does not own.
#[must_use]
pub fn keys(seed: u64, count: usize, owned: bool) -> Vec<Key> {
    let nodes = nodes();
    let is_owned = |key: &Key| top_two(key.hash(), &nodes)[0].map(|node| node.id) == Some(ME);
    let all = (0..).map(|index| key(seed, index));
    all.filter(|key| is_owned(key) == owned)
        .take(count)
        .collect()
}

fn nodes() -> Vec<Node> {
    let node = |id| Node { id, incarnation: 1 };
    (0..BALANCERS).map(node).collect()
}

/// Returns the snapshot of the measured balancer: all balancers are healthy, and either all buckets
/// are flagged or none.
#[must_use]
pub fn snapshot(flagged: bool) -> Snapshot {
    let set: Arc<[Node]> = nodes().into();
    Snapshot {
        me: Node {
            id: ME,
            incarnation: 1,
        },
        flags_complete_until: u64::MAX,
        fresh_until: u64::MAX,
        owner: true,
        off_base_allowed: true,
        alive: Arc::clone(&set),
        reachable: (0..BALANCERS).collect(),
        settled: Arc::clone(&set),
        missing: Arc::default(),
        partitioned_from: u64::MAX,
        owner_unreachable_at: 0,
        has_unmerged_owners: false,
        ready: Arc::clone(&set),
        target: Arc::clone(&set),
        previous: set,
        steady: true,
        services: addresses()
            .map(|address| (address, entry(address, flagged)))
            .collect(),
    }
}

fn entry(address: Address, flagged: bool) -> Entry {
    let weights: Vec<(u16, u32)> = (1..=SERVERS).map(|server| (server, 1)).collect();
    let base: Arc<[u16]> = build(BUCKETS, &weights, &[]).into();
    // Moves every bucket to the next server, so that new flows are off their base.
    let off = |server: &u16| server % SERVERS + 1;
    let next = match flagged {
        true => base.iter().map(off).collect(),
        false => Arc::clone(&base),
    };
    let server = Server {
        state: State::Up,
        weight: 1,
    };
    let flags = match flagged {
        true => Bitmap::full(BUCKETS),
        false => Bitmap::new(BUCKETS),
    };
    Entry {
        service: Arc::new(Service {
            address,
            since: 1,
            strict: false,
            base,
            next,
            servers: weights
                .iter()
                .map(|(id, _)| (*id, server))
                .collect::<Map<_, _>>(),
        }),
        off_base: flags.clone(),
        flags,
        udp_observed: Bitmap::default(),
        moved: Bitmap::default(),
        guarded: false,
        refusable: false,
        accepting: true,
    }
}

/// Returns the packet that opens a flow.
#[must_use]
pub fn opening(key: &Key) -> Packet {
    Packet {
        key: *key,
        kind: Kind::Opening { isn: ISN },
        payload: 0,
        sequence: ISN,
        acknowledgement: 0,
    }
}

/// Returns a mid-flow packet.
#[must_use]
pub fn middle(key: &Key) -> Packet {
    Packet {
        key: *key,
        kind: Kind::Middle,
        payload: PAYLOAD as u16,
        sequence: ISN + 1,
        acknowledgement: 1,
    }
}

/// Returns the bytes of a mid-flow packet, as the network fabric delivers it.
pub fn bytes(key: &Key) -> anyhow::Result<Vec<u8>> {
    let builder = PacketBuilder::ipv4(key.client.octets(), key.service.octets(), 60)
        .tcp(key.client_port, key.service_port, ISN + 1, 4_096)
        .ack(1);
    let mut bytes = Vec::new();
    builder.write(&mut bytes, &[b'x'; PAYLOAD])?;
    Ok(bytes)
}

/// Returns the key that the balancers share.
#[must_use]
pub fn secret() -> Secret {
    Secret::new(&[7; 32], None)
}
