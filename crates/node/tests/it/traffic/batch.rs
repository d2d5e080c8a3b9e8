//! Batched sending and receiving of datagrams on loopback sockets.

use std::{
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    time::Duration,
};

use acacia_node::traffic::batch::{Received, SIZE, ToSend};

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let wait = Some(Duration::from_secs(5));
    socket.set_read_timeout(wait).expect("a timeout");
    socket
}

fn address(socket: &UdpSocket) -> SocketAddrV4 {
    let port = socket.local_addr().expect("a bound socket").port();
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

/// Receives `count` datagrams and returns the first byte of each.
fn receive(socket: &UdpSocket, count: usize) -> Vec<u8> {
    let (mut received, mut first_bytes) = (Received::default(), Vec::new());
    while first_bytes.len() < count {
        received.fill(socket).expect("a socket that reads");
        assert!(
            !received.is_empty(),
            "received only {first_bytes:?} of {count}"
        );
        first_bytes.extend((0..received.len()).map(|index| received.get(index)[0]));
    }
    first_bytes
}

/// The kernel rejects a datagram for one backend server: its network is unreachable, a firewall
/// rule forbids it, or the datagram is too large. The same batch contains packets of other flows to
/// healthy servers. If they were dropped too, callers of all services would see stalls that come
/// and go with the traffic of that one server.
#[test]
fn a_datagram_that_the_kernel_rejects_loses_no_other() {
    let (from, to) = (socket(), socket());
    let rejected = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let (received, mut batch) = (Received::default(), ToSend::default());
    for number in 0..10 {
        let at = if number % 3 == 1 {
            rejected
        } else {
            address(&to)
        };
        batch.build(at, |out| out.push(number));
    }
    let lost = batch.flush(&from, &received);
    assert_eq!(lost, 3);
    assert_eq!(receive(&to, 7), [0, 2, 3, 5, 6, 8, 9]);
}

#[test]
fn reused_buffers_hold_no_bytes_of_the_previous_batch() {
    let (from, to) = (socket(), socket());
    let (received, mut batch) = (Received::default(), ToSend::default());
    batch.build(address(&to), |out| out.extend([1; 100]));
    assert_eq!(batch.flush(&from, &received), 0);
    batch.build(address(&to), |out| out.push(2));
    assert_eq!(batch.flush(&from, &received), 0);
    let mut first = Received::default();
    let mut lengths = Vec::new();
    while lengths.len() < 2 {
        first.fill(&to).expect("a socket that reads");
        assert!(!first.is_empty(), "received only {lengths:?}");
        lengths.extend((0..first.len()).map(|index| first.get(index).len()));
    }
    assert_eq!(lengths, [100, 1]);
}

#[test]
fn more_datagrams_than_one_system_call_takes_are_sent_in_order() {
    let (from, to) = (socket(), socket());
    let (received, mut batch) = (Received::default(), ToSend::default());
    let count = 2 * SIZE as u8 + 1;
    for number in 0..count {
        batch.build(address(&to), |out| out.push(number));
    }
    assert_eq!(batch.flush(&from, &received), 0);
    assert_eq!(receive(&to, count.into()), (0..count).collect::<Vec<u8>>());
}
