//! Reports to a statsd server.

use std::{
    net::{SocketAddr, SocketAddrV4, UdpSocket},
    time::Duration,
};

use acacia_code::Code;
use acacia_node::{
    admin,
    counter::{Counter, KINDS, Kind},
    metrics::{Reporter, Traffic},
};
use acacia_peer::Stats;

fn statsd() -> (UdpSocket, SocketAddrV4) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    match socket.local_addr().unwrap() {
        SocketAddr::V4(address) => (socket, address),
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

/// Receives all lines of a report, up to its last gauge. A report may consist of several datagrams.
fn receive(socket: &UdpSocket) -> Vec<String> {
    let mut lines: Vec<String> = Vec::new();
    while !lines.iter().any(|line| line.contains("control_received")) {
        let mut buffer = [0; 2048];
        let length = socket.recv(&mut buffer).unwrap();
        let text = std::str::from_utf8(&buffer[..length]).unwrap();
        lines.extend(text.lines().map(str::to_owned));
    }
    lines
}

#[test]
fn counters_are_sent_as_deltas_and_every_name_is_on_the_page() {
    let (socket, address) = statsd();
    let mut reporter = Reporter::open(address, 3).unwrap();
    let counter = Counter::default();
    let snapshot = |sent| admin::Status {
        status: acacia_api::Status {
            revision: Some(8),
            ..acacia_api::Status::default()
        },
        traffic: Traffic { sent, received: 0 },
        mesh: Stats {
            inbox_full: sent / 1_000,
            ..Stats::default()
        },
        ..admin::Status::default()
    };

    counter.kind(Kind::Ingress, 5);
    counter.code(Code::PacketTruncated);
    reporter.report(&snapshot(1_000), &counter);
    let first = receive(&socket);
    counter.kind(Kind::Ingress, 2);
    reporter.report(&snapshot(3_000), &counter);
    let second = receive(&socket);

    let lines = [
        "ingress:5|c",
        "packet-truncated:1|c",
        "control_inbox_full:1|c",
        "revision:8|g",
    ];
    for line in lines {
        assert!(
            first.contains(&format!("acaciatrack.3.{line}")),
            "{first:?}"
        );
    }
    let lines = [
        "ingress:2|c",
        "control_inbox_full:2|c",
        "control_sent_per_second:200|g",
    ];
    for line in lines {
        assert!(
            second.contains(&format!("acaciatrack.3.{line}")),
            "{second:?}"
        );
    }
    assert!(!second.iter().any(|line| line.contains("packet-truncated")));
    let page = include_str!("../../../../docs/METRICS.md");
    let gauges = second.iter().filter_map(|line| line.strip_suffix("|g"));
    let names = gauges.map(|line| line.split([':', '.']).nth(2).unwrap());
    let mesh = Stats::default().counts();
    let names = names.chain(mesh.keys().copied());
    for name in names.chain(KINDS.iter().map(|(_, name)| *name)) {
        assert!(page.contains(&format!("| `{name}` |")), "{name} is missing");
    }
}
