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

/// Memory of a balancer for control, in bytes.
const MEMORY: u64 = 128 << 20;
/// Datagrams of each kind.
const EACH: usize = 400;
/// Service that the packets claim to be for, as in the fixture's plan.
const SERVICE: [u8; 4] = [198, 51, 100, 1];
/// A caller that no test uses.
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

/// A redirect that pins a flow to a server, by somebody who doesn't know the key.
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

/// A redirect by somebody who knows the key, that has passed more balancers than there may be.
fn worn(deployment: &Deployment) -> Vec<u8> {
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

/// The encapsulation in itself: sent on, it would come back for ever.
fn looping() -> Vec<u8> {
    let mut bytes = Vec::new();
    PacketBuilder::ipv4(CLIENT, SERVICE, 64)
        .udp(40_000, PORT)
        .write(&mut bytes, &opening())
        .unwrap();
    bytes
}

/// What a stranger may send to the control port, each on a connection of its own.
fn strange_frames(source: &mut Pcg64Mcg) -> Vec<Vec<u8>> {
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

/// Somebody who reaches a balancer's ports sends it noise: random bytes, packets cut short, forged
/// redirects that would pin a flow to a server of his choice, packets that would go in circles,
/// and nonsense on control connections that he then leaves open. Each is counted and dropped; feeds
/// and new check-ins don't notice, and the balancer goes on.
#[test]
fn noise_on_a_balancers_ports_is_counted_and_breaks_nothing() {
    let mut deployment = drained(3);
    let open = feeds(&deployment, 1, 24, 14);
    served(&deployment, 2, 1);
    let mut source = Pcg64Mcg::seed_from_u64(5);
    let traffic = SocketAddr::V4(deployment.traffic(2));
    let control = SocketAddr::V4(deployment.control(2));

    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let kinds = [
        forged(),
        worn(&deployment),
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
    let connections: Vec<TcpStream> = strange_frames(&mut source)
        .iter()
        .map(|frame| {
            let mut stream = TcpStream::connect(control).unwrap();
            // The other end may close as soon as it has seen enough.
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

/// Strangers announce long frames and send all but the last byte, on hundreds of connections. Buffered
/// before they are authenticated, the frames take the VM's memory, and the balancer is ended for it.
#[test]
fn strangers_that_announce_long_frames_take_little_memory() {
    const STRANGERS: usize = 512;
    let deployment = drained(1);
    let control = deployment.control(1);
    let frame = vec![0; MAX_FRAME - 1];

    let strangers: Vec<TcpStream> = (0..STRANGERS)
        .map(|_| {
            let mut stream = TcpStream::connect(control).unwrap();
            stream
                .set_write_timeout(Some(Duration::from_millis(500)))
                .unwrap();
            // The balancer may close at any moment, which is what it should do.
            let _ = stream.write_all(&(MAX_FRAME as u64).to_be_bytes());
            let _ = stream.write_all(&frame);
            stream
        })
        .collect();

    let peak = deployment.peak_memory(1).unwrap();
    assert!(peak < MEMORY, "{} MiB", peak >> 20);
    drop(strangers);
}

/// Strangers hold connections to a balancer while its peers have to dial it anew. Were they to hold all
/// places, it would take all peers for dead and resolve flows by old tables.
#[test]
fn strangers_keep_no_balancer_from_hearing_its_peers() {
    const STRANGERS: usize = 600;
    let longer_than_until_dead = Duration::from_secs(10);
    let deployment = drained(3);
    let open = feeds(&deployment, 1, 24, 16);
    let connect = || TcpStream::connect(deployment.control(1)).unwrap();

    let mut held: Vec<TcpStream> = (0..STRANGERS).map(|_| connect()).collect();
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
