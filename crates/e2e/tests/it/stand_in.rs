//! Tests of the simulated components, whose faults would be attributed to balancers.

use std::{
    collections::BTreeSet,
    net::{SocketAddr, TcpListener, UdpSocket},
    time::{Duration, Instant},
};

use acacia_e2e::{
    deployment::wait_until,
    net::{ADMIN, Network, TRAFFIC},
    process::Process,
};
use acacia_stand::{protocol::Request, stack::Stack};
use nix::sys::signal::Signal;
use smoltcp::iface::SocketHandle;

use crate::fixture::counts;

/// Host number of the caller.
const CALLER_HOST: u8 = 2;
/// Host number of the backend server.
const SERVER_HOST: u8 = 100;
/// Number of flows opened at once: more than a server has listening sockets.
const FLOWS: u16 = 96;
/// Time limit of each wait.
const LIMIT: Duration = Duration::from_secs(10);
/// Enough time for several round trips to the server.
const SHORT: Duration = Duration::from_millis(300);
/// Offset of the TCP flags in a packet without IP options.
const FLAGS: usize = 33;
/// Bits of the flags SYN and ACK.
const SYN_ACK: u8 = 18;
/// Bit of the flag SYN.
const SYN: u8 = 2;
/// Bit of the flag FIN.
const FIN: u8 = 1;
/// Offset of the source port in a packet without IP options.
const SOURCE_PORT: usize = 20;
/// Offset of the TCP checksum in a packet without IP options.
const CHECKSUM: usize = 36;

/// A backend server process, and a caller whose packets the test forwards to it.
struct Pair {
    server: Process,
    stack: Stack,
    /// Receives the caller's packets and forwards them.
    forwarder: UdpSocket,
    listen: SocketAddr,
    /// Forwarded SYN packets, and packets that end a flow.
    openings: Vec<Vec<u8>>,
    endings: Vec<Vec<u8>>,
    _claim: TcpListener,
}

/// A flow of the caller.
struct Flow {
    handle: SocketHandle,
    asked: bool,
    answered: bool,
}

impl Pair {
    fn start() -> Self {
        let (network, claim) = Network::claim().unwrap();
        let listen = SocketAddr::V4(network.port(SERVER_HOST, TRAFFIC));
        let link = UdpSocket::bind(network.port(CALLER_HOST, TRAFFIC)).unwrap();
        let forwarder = UdpSocket::bind(network.port(CALLER_HOST, ADMIN)).unwrap();
        forwarder.set_nonblocking(true).unwrap();
        let arguments = [
            "backend".to_owned(),
            "--name=held-up".to_owned(),
            format!("--listen={listen}"),
            format!("--fabric={}", link.local_addr().unwrap()),
            format!("--admin={}", network.port(SERVER_HOST, ADMIN)),
            "--service=198.51.100.1:443".to_owned(),
        ];
        let server = Process::start("acacia-stand", &arguments, "").unwrap();
        let is_up = || {
            let up = server.log().contains("event=backend-up");
            anyhow::ensure!(up, "the server is not up");
            Ok(())
        };
        wait_until(LIMIT, is_up).unwrap();
        let caller = "192.0.2.1".parse().unwrap();
        Pair {
            server,
            stack: Stack::new(caller, link, forwarder.local_addr().unwrap(), 1).unwrap(),
            forwarder,
            listen,
            openings: Vec::new(),
            endings: Vec::new(),
            _claim: claim,
        }
    }

    fn open(&mut self, first_port: u16, count: u16) -> Vec<Flow> {
        let service = ("198.51.100.1".parse().unwrap(), 443);
        let mut open = |port| {
            let handle = self.stack.add();
            self.stack.connect(handle, service, port).unwrap();
            Flow {
                handle,
                asked: false,
                answered: false,
            }
        };
        let flows = (first_port..first_port + count).map(&mut open).collect();
        self.poll();
        flows
    }

    /// Polls the caller's network stack once and forwards the packets that it sent.
    fn poll(&mut self) {
        self.stack.poll(Duration::from_millis(5)).unwrap();
        let mut bytes = [0; 2_048];
        while let Ok(len) = self.forwarder.recv(&mut bytes) {
            let packet = &bytes[..len];
            if packet[FLAGS] & SYN_ACK == SYN {
                self.openings.push(packet.to_vec());
            }
            if packet[FLAGS] & FIN != 0 {
                self.endings.push(packet.to_vec());
            }
            self.forwarder.send_to(packet, self.listen).unwrap();
        }
    }

    fn poll_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.poll();
        }
    }

    /// Sends a request on each flow once it is open. Returns how many are answered within [`LIMIT`].
    fn ask(&mut self, flows: &mut [Flow]) -> u16 {
        let deadline = Instant::now() + LIMIT;
        while flows.iter().any(|flow| !flow.answered) && Instant::now() < deadline {
            self.poll();
            for flow in &mut *flows {
                let socket = self.stack.socket(flow.handle);
                if !flow.asked && socket.can_send() {
                    let line = Request::Map { length: 10 }.line();
                    flow.asked = socket.send_slice(line.as_bytes()).is_ok();
                }
                flow.answered |= socket.can_recv();
            }
        }
        flows.iter().filter(|flow| flow.answered).count() as u16
    }
}

/// A backend server gets no CPU time for a moment while about a hundred feeds are opened. Like a real
/// server, it must accept all of them when it resumes. If it answers all openings in its socket buffer
/// but 32 with a reset (64 of 96 here), tests count these as refused although no balancer refused them:
/// this was seen for 2 of 96 feeds, within 30 ms of their start.
#[test]
fn a_backend_server_that_was_paused_refuses_no_opening() {
    let mut pair = Pair::start();
    pair.server.signal(Signal::SIGSTOP).unwrap();
    let mut flows = pair.open(10_000, FLOWS);

    pair.server.signal(Signal::SIGCONT).unwrap();

    assert_eq!(pair.ask(&mut flows), FLOWS);
}

/// A caller retransmits its SYN because the answer took more than a second; meanwhile older flows have
/// ended at the server and newer ones been opened. The server must not open the flow a second time. With
/// a second sequence number it would answer the flow's packets with resets, and tests would count
/// requests as broken although all balancers sent them to the right server.
#[test]
fn a_retransmitted_opening_opens_no_second_flow() {
    let mut pair = Pair::start();
    let mut older = pair.open(10_000, FLOWS);
    assert_eq!(pair.ask(&mut older), FLOWS);
    pair.openings.clear();
    let mut flows = pair.open(20_000, 10);
    pair.poll_for(SHORT);
    let openings = std::mem::take(&mut pair.openings);
    for flow in &older {
        pair.stack.socket(flow.handle).close();
    }
    pair.poll_for(SHORT);
    // The new listening sockets reuse the slots of those that have ended.
    let mut younger = pair.open(30_000, FLOWS);
    assert_eq!(pair.ask(&mut younger), FLOWS);

    for opening in &openings {
        pair.forwarder.send_to(opening, pair.listen).unwrap();
    }
    pair.poll_for(SHORT);

    assert_eq!(pair.ask(&mut flows), 10);
}

/// A caller gets no CPU time until its set time is over. It must make its requests nevertheless; tests require
/// a minimum of them, and would fail although no balancer did anything wrong.
#[test]
fn a_caller_that_was_paused_makes_all_its_requests() {
    let (network, _claim) = Network::claim().unwrap();
    let fabric = UdpSocket::bind(network.port(CALLER_HOST, TRAFFIC)).unwrap();
    fabric.set_read_timeout(Some(SHORT)).unwrap();
    let arguments = [
        "caller".to_owned(),
        format!("--fabric={}", fabric.local_addr().unwrap()),
        format!("--listen={}:0", network.host(1)),
        "--address=192.0.2.1".to_owned(),
        "--service=198.51.100.1:443".to_owned(),
        "--rate=30".to_owned(),
        "--seconds=1".to_owned(),
    ];

    let mut ports = BTreeSet::new();
    let mut collect_until = |count: usize| {
        let mut bytes = [0; 2_048];
        let deadline = Instant::now() + LIMIT;
        while ports.len() < count && Instant::now() < deadline {
            if let Ok(len) = fabric.recv(&mut bytes) {
                ports.insert(bytes[..len][SOURCE_PORT..SOURCE_PORT + 2].to_vec());
            }
        }
        ports.len()
    };

    let caller = Process::start("acacia-stand", &arguments, "").unwrap();
    assert_eq!(collect_until(1), 1);
    caller.signal(Signal::SIGSTOP).unwrap();
    std::thread::sleep(Duration::from_millis(1_500));
    caller.signal(Signal::SIGCONT).unwrap();

    assert_eq!(collect_until(30), 30);
}

/// Replaces the source port of a packet without IP options, and updates the TCP checksum.
fn with_source_port(mut packet: Vec<u8>, port: u16) -> Vec<u8> {
    let word = |packet: &[u8], at: usize| u16::from_be_bytes([packet[at], packet[at + 1]]);
    let old = word(&packet, SOURCE_PORT);
    let sum = u32::from(!word(&packet, CHECKSUM)) + u32::from(!old) + u32::from(port);
    let folded = (sum & 0xffff) + (sum >> 16);
    let checksum = !((folded & 0xffff) + (folded >> 16)) as u16;
    packet[SOURCE_PORT..SOURCE_PORT + 2].copy_from_slice(&port.to_be_bytes());
    packet[CHECKSUM..CHECKSUM + 2].copy_from_slice(&checksum.to_be_bytes());
    packet
}

/// A balancer that gets no CPU time holds a caller's packet back for longer than the retransmission timeout,
/// and forwards it when the copy has already ended the flow. The server answers the late packet by a reset. If
/// that counted as a packet of a flow that the server never had, tests would take it for a packet that a
/// balancer sent to the wrong server; one of such a flow must still count.
#[test]
fn late_copies_count_apart_from_packets_of_unknown_flows() {
    let mut pair = Pair::start();
    let mut flows = pair.open(10_000, 3);
    assert_eq!(pair.ask(&mut flows), 3);
    for flow in &flows {
        pair.stack.socket(flow.handle).close();
    }
    pair.poll_for(SHORT);
    let late = std::mem::take(&mut pair.endings);
    let stray = with_source_port(late[0].clone(), 20_000);

    for packet in late.iter().chain([&stray]) {
        pair.forwarder.send_to(packet, pair.listen).unwrap();
    }
    pair.poll_for(SHORT);

    let ended = pair.server.end(LIMIT).unwrap();
    let counts = counts(&ended.output);
    assert!(counts["late"] >= 3, "{}", ended.output);
    assert_eq!(counts["resets"], 1, "{}", ended.output);
}
