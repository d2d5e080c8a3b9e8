use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream, UdpSocket},
    thread::sleep,
    time::{Duration, Instant},
};

use acacia_e2e::deployment::Deployment;
use acacia_wire::{
    control::{MAX_FRAME, Secret},
    encap::{MAX_HOPS, NO_SERVER, Notified, PORT, Purpose, Redirect, encode},
};
use etherparse::PacketBuilder;
use nix::sys::signal::Signal;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::fixture::{CALLER, assert_whole, drained, feeds, served};

/// Memory budget of a balancer's control plane, in bytes.
const MEMORY_LIMIT: u64 = 128 << 20;
/// Number of datagrams of each kind.
const EACH: usize = 400;
/// Destination address of the packets: a service of the fixture's plan.
const SERVICE: [u8; 4] = [198, 51, 100, 1];
/// Source address of the packets; no caller in these tests uses it.
const CLIENT: [u8; 4] = [192, 0, 2, 99];

fn random(random: &mut Pcg64Mcg, longest: usize) -> Vec<u8> {
    let len = random.random_range(0..longest);
    (0..len).map(|_| random.random()).collect()
}

fn opening() -> Vec<u8> {
    let mut bytes = Vec::new();
    PacketBuilder::ipv4(CLIENT, SERVICE, 64)
        .tcp(40_000, 443, 1, 4096)
        .syn()
        .write(&mut bytes, b"")
        .unwrap();
    bytes
}

/// A redirect that pins a flow to a server, authenticated with a wrong key.
fn forged() -> Vec<u8> {
    let redirect = Redirect {
        purpose: Purpose::Replicate,
        hops: 1,
        sender: 2,
        server: 1,
        passed_on: false,
        notified: Notified::default(),
    };
    let mut bytes = Vec::new();
    encode(
        &redirect,
        &opening(),
        &Secret::new(&[1; 32], None),
        &mut bytes,
    );
    bytes
}

/// A redirect with a valid key whose hop count exceeds the maximum.
fn too_many_hops(deployment: &Deployment) -> Vec<u8> {
    let redirect = Redirect {
        purpose: Purpose::Resolve,
        hops: MAX_HOPS + 1,
        sender: 2,
        server: NO_SERVER,
        passed_on: false,
        notified: Notified::default(),
    };
    let mut bytes = Vec::new();
    encode(&redirect, &opening(), &deployment.secret(), &mut bytes);
    bytes
}

/// An encapsulated packet that is itself addressed to the encapsulation port. Forwarding it would
/// create a loop.
fn looping() -> Vec<u8> {
    let mut bytes = Vec::new();
    PacketBuilder::ipv4(CLIENT, SERVICE, 64)
        .udp(40_000, PORT)
        .write(&mut bytes, &opening())
        .unwrap();
    bytes
}

/// Invalid frames for the control port, each of which is sent on a connection of its own.
fn invalid_frames(source: &mut Pcg64Mcg) -> Vec<Vec<u8>> {
    let with_length = |length: u64, body: &[u8]| {
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend(body);
        bytes
    };
    let mut frames = vec![with_length(u64::MAX, b"x"), with_length(0, b"")];
    for _ in 0..EACH / 20 {
        let body = random(source, 300);
        frames.push(with_length(body.len() as u64, &body));
        frames.push(random(source, 300));
        frames.push(vec![0; source.random_range(0..8)]);
    }
    frames
}

/// An attacker sends invalid input to a balancer's ports: random bytes, truncated packets, forged
/// redirects that would pin a flow to a server of the attacker's choice, packets that would loop, and
/// invalid frames on control connections that stay open. The balancer must count and drop the input
/// and keep running, without an effect on feeds and new check-ins.
#[test]
fn invalid_input_is_counted_and_breaks_nothing() {
    let mut deployment = drained(3);
    let open = feeds(&deployment, 1, 24, 14);
    served(&deployment, 2, 1);
    let mut source = Pcg64Mcg::seed_from_u64(5);
    let traffic = SocketAddr::V4(deployment.traffic(2));
    let control = SocketAddr::V4(deployment.control(2));

    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let kinds = [
        forged(),
        too_many_hops(&deployment),
        looping(),
        opening()[..30].to_vec(),
    ];
    for _ in 0..EACH {
        socket
            .send_to(&random(&mut source, 1_500), traffic)
            .unwrap();
        for bytes in &kinds {
            socket.send_to(bytes, traffic).unwrap();
        }
    }
    let connections: Vec<TcpStream> = invalid_frames(&mut source)
        .iter()
        .map(|frame| {
            let mut stream = TcpStream::connect(control).unwrap();
            // The write fails if the balancer closes the connection first, which is correct.
            let _ = stream.write_all(frame);
            stream
        })
        .collect();

    served(&deployment, 3, 4);
    drop(connections);
    let line = open.wait(CALLER).unwrap().output;
    assert_eq!(assert_whole("feeds", &line)["lasted"], 24);
    deployment.spray_over(&[1, 3]).unwrap();
    deployment.signal_balancer(2, Signal::SIGTERM).unwrap();
    let ended = deployment.wait_balancer(2).unwrap();
    assert_eq!(ended.status, 0, "{}", ended.log);
    let counts = ended.log.lines().rfind(|line| line.contains("event=ended"));
    let counts = crate::fixture::counts(counts.unwrap());
    for label in [
        "redirect-forged",
        "redirect-hops",
        "packet-looping",
        "packet-truncated",
    ] {
        assert!(counts[label] >= EACH as u64, "{label} in {counts:?}");
    }
    assert!(counts["encap-unknown"] > 0, "{counts:?}");
}

/// Unauthenticated clients announce long frames on hundreds of connections and send all but the last
/// byte. If the balancer buffered frames before authentication, it would exhaust the VM's memory and be
/// killed.
#[test]
fn unauthenticated_clients_that_announce_long_frames_use_little_memory() {
    const CLIENTS: usize = 512;
    let deployment = drained(1);
    let control = deployment.control(1);
    let frame = vec![0; MAX_FRAME - 1];

    let clients: Vec<TcpStream> = (0..CLIENTS)
        .map(|_| {
            let mut stream = TcpStream::connect(control).unwrap();
            stream
                .set_write_timeout(Some(Duration::from_millis(500)))
                .unwrap();
            // The write fails if the balancer closes the connection, which is correct.
            let _ = stream.write_all(&(MAX_FRAME as u64).to_be_bytes());
            let _ = stream.write_all(&frame);
            stream
        })
        .collect();

    let peak = deployment.peak_memory(1).unwrap();
    assert!(peak < MEMORY_LIMIT, "{} MiB", peak >> 20);
    drop(clients);
}

/// Unauthenticated clients hold connections to a balancer while its peers have to reconnect. If they
/// used up all connection slots, it would declare all peers dead and resolve flows by outdated tables.
#[test]
fn unauthenticated_clients_do_not_block_peers() {
    const CLIENTS: usize = 600;
    let longer_than_until_dead = Duration::from_secs(10);
    let deployment = drained(3);
    let open = feeds(&deployment, 1, 24, 16);
    let connect = || TcpStream::connect(deployment.control(1)).unwrap();

    let mut held: Vec<TcpStream> = (0..CLIENTS).map(|_| connect()).collect();
    deployment.silence(&[(2, 1), (3, 1)]).unwrap();
    let end = Instant::now() + longer_than_until_dead;
    while Instant::now() < end {
        held.push(connect());
        sleep(Duration::from_millis(10));
    }

    let log = deployment.log(1);
    assert!(!log.contains("to: Dead"), "{log}");
    let line = open.wait(CALLER).unwrap().output;
    assert_eq!(assert_whole("feeds", &line)["lasted"], 24);
}
