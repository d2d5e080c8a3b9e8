//! Runs the membership protocol of a group of balancers in one process, over real connections, and
//! prints the highest rate at which one of them sent, next to the estimated rate.
//!
//! Usage: `group [size] [seconds] [net]`, where `net` is the third byte of the loopback addresses.

use std::net::SocketAddr;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use acacia_member::{Contact, FRAME_BYTES, Group, Heartbeat, Hint, Settings};
use acacia_peer::{Class, Mesh};
use acacia_wire::control::Secret;

/// Bytes added to each heartbeat: as many as the flow and load crates together should add.
const PAYLOAD_BYTES: usize = 16;

fn contact(net: u8, id: u16) -> Contact {
    let address = SocketAddr::from(([127, 10, net, id as u8], 47_300));
    Contact {
        id,
        address,
        data_centre: "hervanta".into(),
    }
}

/// Runs one balancer's control loop for twice `seconds`. Returns whether its view could be relied
/// on at the end, and the bytes that it sent in the second half.
fn run(net: u8, id: u16, size: u16, seconds: u64) -> (bool, u64) {
    let start = Instant::now();
    let settings = Settings::default();
    let peers = usize::from(size) - 1;
    let mut mesh_settings = acacia_peer::Settings::new(id, contact(net, id).address, 1);
    mesh_settings.send_interval = settings.interval_for(peers);
    let secret = Secret::new(&[7; 32], None);
    let (mesh, inbox) = Mesh::<Heartbeat>::open(mesh_settings, secret).expect("the port is free");
    let mut group = Group::new(settings, contact(net, id), 1, start.elapsed());
    let hints = (1..=size).map(|id| Hint {
        contact: contact(net, id),
        leaving: false,
    });
    group.hint(start.elapsed(), &hints.collect::<Vec<_>>());
    let sent_bytes = |mesh: &Mesh<Heartbeat>| {
        mesh.stats()
            .peers
            .values()
            .map(|peer| peer.sent_bytes)
            .sum::<u64>()
    };
    let mut sent_in_first_half = None;
    while start.elapsed() < Duration::from_secs(seconds * 2) {
        for received in inbox.try_iter() {
            let envelope = received.envelope;
            let message = &received.message;
            // A refused heartbeat doesn't change the group.
            let _ = group.receive(
                start.elapsed(),
                envelope.sender,
                envelope.incarnation,
                message,
            );
        }
        let outgoing = group.tick(start.elapsed(), |_| vec![0; PAYLOAD_BYTES]);
        let members = group.view(start.elapsed()).members;
        let addresses = members
            .iter()
            .filter_map(|member| Some((member.id, member.address?)));
        mesh.set_peers(&addresses.collect::<Vec<_>>());
        for outgoing in outgoing {
            // A dropped heartbeat is superseded by the next one.
            let _ = mesh.send(outgoing.to, Class::Heartbeat, &outgoing.heartbeat);
        }
        if sent_in_first_half.is_none() && start.elapsed() >= Duration::from_secs(seconds) {
            sent_in_first_half = Some(sent_bytes(&mesh));
        }
        sleep(settings.tick);
    }
    let now = start.elapsed();
    let result = (
        group.view(now).is_sure(now),
        sent_bytes(&mesh) - sent_in_first_half.unwrap_or_default(),
    );
    mesh.close();
    result
}

fn main() {
    let argument = |at: usize| std::env::args().nth(at).and_then(|text| text.parse().ok());
    let size = argument(1).unwrap_or(8) as u16;
    let seconds = argument(2).unwrap_or(10u64);
    let net = argument(3).unwrap_or(1) as u8;
    let runners: Vec<_> = (1..=size)
        .map(|id| spawn(move || run(net, id, size, seconds)))
        .collect();
    let results: Vec<_> = runners
        .into_iter()
        .filter_map(|runner| runner.join().ok())
        .collect();
    let sure = results.iter().filter(|(sure, _)| *sure).count();
    let most = results
        .iter()
        .map(|(_, bytes)| bytes / seconds)
        .max()
        .unwrap_or_default();
    let peers = usize::from(size) - 1;
    let rate = peers as f64 / Settings::default().interval_for(peers).as_secs_f64();
    println!(
        "case=heartbeats group={size} seconds={seconds} sure={sure} most_bytes_per_second={most} \
         estimate={:.0}",
        rate * (FRAME_BYTES + PAYLOAD_BYTES) as f64
    );
}
