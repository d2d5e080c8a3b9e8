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

/// The first byte of each datagram that comes in, until `count` are there.
fn take(socket: &UdpSocket, count: usize) -> Vec<u8> {
    let (mut received, mut taken) = (Received::default(), Vec::new());
    while taken.len() < count {
        received.fill(socket).expect("a socket that reads");
        assert!(!received.is_empty(), "only {taken:?} of {count} came");
        taken.extend((0..received.len()).map(|index| received.get(index)[0]));
    }
    taken
}

/// One backend server has an address that the kernel can't send to: its network is gone, a rule of
/// the firewall forbids it, or the datagram is too large. In the same batch stand packets of other
/// flows for healthy servers. Would they be given up with it, callers of all services would notice
/// stalls that come and go with the one server's traffic.
#[test]
fn a_datagram_that_the_kernel_refuses_costs_no_other() {
    let (from, to) = (socket(), socket());
    let refused = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let (received, mut batch) = (Received::default(), ToSend::default());
    for number in 0..10 {
        let at = if number % 3 == 1 {
            refused
        } else {
            address(&to)
        };
        batch.build(at, |out| out.push(number));
    }
    let lost = batch.flush(&from, &received);
    assert_eq!(lost, 3);
    assert_eq!(take(&to, 7), [0, 2, 3, 5, 6, 8, 9]);
}

#[test]
fn buffers_used_again_hold_nothing_of_the_batch_before() {
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
        assert!(!first.is_empty(), "only {lengths:?} came");
        lengths.extend((0..first.len()).map(|index| first.get(index).len()));
    }
    assert_eq!(lengths, [100, 1]);
}

#[test]
fn more_than_one_batch_goes_out_in_order() {
    let (from, to) = (socket(), socket());
    let (received, mut batch) = (Received::default(), ToSend::default());
    let count = 2 * SIZE as u8 + 1;
    for number in 0..count {
        batch.build(address(&to), |out| out.push(number));
    }
    assert_eq!(batch.flush(&from, &received), 0);
    assert_eq!(take(&to, count.into()), (0..count).collect::<Vec<u8>>());
}
