//! The stand-ins themselves: what they do wrong would be blamed on balancers.

use std::{
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

/// Hosts of the network: the caller and the backend server.
const CALLER_HOST: u8 = 2;
const SERVER_HOST: u8 = 100;
/// Flows opened in one moment: more than a server has sockets that listen.
const FLOWS: u16 = 96;
/// Longest wait for anything here.
const LIMIT: Duration = Duration::from_secs(10);
/// Enough for some exchanges with the server.
const SHORT: Duration = Duration::from_millis(300);
/// Where the TCP flags stand in a packet without IP options, and those of an opening and its answer.
const FLAGS: usize = 33;
const SYN_ACK: u8 = 18;
const SYN: u8 = 2;

/// A backend server, and a caller whose packets this test hands to it.
struct Pair {
    server: Process,
    stack: Stack,
    /// Takes the caller's packets.
    way: UdpSocket,
    listen: SocketAddr,
    /// The openings that passed.
    openings: Vec<Vec<u8>>,
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
        let way = UdpSocket::bind(network.port(CALLER_HOST, ADMIN)).unwrap();
        way.set_nonblocking(true).unwrap();
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
            stack: Stack::new(caller, link, way.local_addr().unwrap(), 1).unwrap(),
            way,
            listen,
            openings: Vec::new(),
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
        self.turn();
        flows
    }

    /// Runs the caller for a moment and hands on what it sends.
    fn turn(&mut self) {
        self.stack.poll(Duration::from_millis(5)).unwrap();
        let mut bytes = [0; 2_048];
        while let Ok(len) = self.way.recv(&mut bytes) {
            let packet = &bytes[..len];
            if packet[FLAGS] & SYN_ACK == SYN {
                self.openings.push(packet.to_vec());
            }
            self.way.send_to(packet, self.listen).unwrap();
        }
    }

    fn turns(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.turn();
        }
    }

    /// Asks on each flow as it opens; gives how many are answered within the limit.
    fn ask(&mut self, flows: &mut [Flow]) -> u16 {
        let deadline = Instant::now() + LIMIT;
        while flows.iter().any(|flow| !flow.answered) && Instant::now() < deadline {
            self.turn();
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

/// A backend server gets no processor for a moment while a hundred callers open their feeds. It must
/// take them one after another as it wakes; a real one would. It used to answer all but 32 of those
/// that it found in its socket with a reset (here 64 of 96), and tests counted these as refused: 2 of
/// 96 feeds within 30 ms of their start, while no balancer had refused any.
#[test]
fn a_backend_server_that_was_held_up_refuses_no_opening() {
    let mut pair = Pair::start();
    pair.server.signal(Signal::SIGSTOP).unwrap();
    let mut flows = pair.open(10_000, FLOWS);

    pair.server.signal(Signal::SIGCONT).unwrap();

    assert_eq!(pair.ask(&mut flows), FLOWS);
}

/// A caller sends its opening again, as the answer took more than a second, and meanwhile older flows
/// have ended at the server and younger ones begun. The flow must stay one. A server that opened it a second time, with
/// another sequence number, answered the flow's own packets by resets, and tests counted requests as
/// broken that all balancers had sent to the right server.
#[test]
fn an_opening_that_comes_again_opens_no_second_flow() {
    let mut pair = Pair::start();
    let mut older = pair.open(10_000, FLOWS);
    assert_eq!(pair.ask(&mut older), FLOWS);
    pair.openings.clear();
    let mut flows = pair.open(20_000, 10);
    pair.turns(SHORT);
    let openings = std::mem::take(&mut pair.openings);
    for flow in &older {
        pair.stack.socket(flow.handle).close();
    }
    pair.turns(SHORT);
    // The sockets that listen from now on have the places of those that have ended.
    let mut younger = pair.open(30_000, FLOWS);
    assert_eq!(pair.ask(&mut younger), FLOWS);

    for opening in &openings {
        pair.way.send_to(opening, pair.listen).unwrap();
    }
    pair.turns(SHORT);

    assert_eq!(pair.ask(&mut flows), 10);
}
