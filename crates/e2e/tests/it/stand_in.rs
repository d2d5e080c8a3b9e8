//! The stand-ins themselves: what they do wrong would be blamed on balancers.

use std::{
    net::{SocketAddr, UdpSocket},
    time::{Duration, Instant},
};

use acacia_e2e::{
    net::{ADMIN, Network, TRAFFIC},
    process::Process,
};
use acacia_stand::stack::Stack;
use nix::sys::signal::Signal;

/// Hosts of the network: the caller and the backend server.
const CALLER_HOST: u8 = 2;
const SERVER_HOST: u8 = 100;
/// Flows opened in one moment: more than a server has sockets that listen.
const FLOWS: u16 = 96;

/// A backend server gets no processor for a moment while a hundred callers open their feeds. It must
/// take them one after another as it wakes; a real one would. It used to answer all but 32 of those
/// that it found in its socket with a reset (here 64 of 96), and tests counted these as refused: 2 of
/// 96 feeds within 30 ms of their start, while no balancer had refused any.
#[test]
fn a_backend_server_that_was_held_up_refuses_no_opening() {
    let (network, _claim) = Network::claim().unwrap();
    let listen = network.port(SERVER_HOST, TRAFFIC);
    let link = UdpSocket::bind(network.port(CALLER_HOST, TRAFFIC)).unwrap();
    let arguments = [
        "backend".to_owned(),
        "--name=held-up".to_owned(),
        format!("--listen={listen}"),
        format!("--fabric={}", link.local_addr().unwrap()),
        format!("--admin={}", network.port(SERVER_HOST, ADMIN)),
        "--service=198.51.100.1:443".to_owned(),
    ];
    let server = Process::start("acacia-stand", &arguments, "").unwrap();
    let deadline = Instant::now() + Duration::from_secs(10);
    while !server.log().contains("event=backend-up") && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(10));
    }
    let caller = "192.0.2.1".parse().unwrap();
    let mut stack = Stack::new(caller, link, SocketAddr::V4(listen), 1).unwrap();

    server.signal(Signal::SIGSTOP).unwrap();
    let opened: Vec<_> = (0..FLOWS)
        .map(|flow| {
            let handle = stack.add();
            let service = ("198.51.100.1".parse().unwrap(), 443);
            stack.connect(handle, service, 10_000 + flow).unwrap();
            handle
        })
        .collect();
    stack.turn(Duration::from_millis(50)).unwrap();
    server.signal(Signal::SIGCONT).unwrap();
    let deadline = Instant::now() + Duration::from_secs(5);
    let mut answered = 0;
    while answered < opened.len() && Instant::now() < deadline {
        stack.turn(Duration::from_millis(5)).unwrap();
        let mut states = opened.iter().map(|handle| stack.socket(*handle).may_send());
        answered = states.by_ref().filter(|open| *open).count();
    }

    assert_eq!(answered, usize::from(FLOWS));
}
