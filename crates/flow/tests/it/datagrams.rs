use acacia_flow::snapshot::State;
use acacia_wire::{
    flow::{Key, Protocol},
    packet::{Kind, Packet},
};

use crate::{
    fixture::{key, opening, packet, service, set_state, tables},
    fleet::Fleet,
};

fn datagram(number: u32) -> Packet {
    packet(key(Protocol::Udp, number), Kind::Datagram, 100)
}

fn server(fleet: &Fleet, key: &Key) -> Option<u16> {
    fleet.flows.get(key).and_then(|truth| truth.server)
}

/// Callers send datagrams while a server drains. Nothing marks the first datagram of a flow, so a
/// live flow mistaken for a new one would move to another server in mid-exchange. Live flows must
/// stay, and once every live flow has been seen, new ones must avoid the draining server.
#[test]
fn live_udp_flows_stay_on_a_draining_server_and_new_ones_avoid_it() {
    let mut fleet = Fleet::new(4, 3, tables(service(Protocol::Udp, 0..4, 1)));
    (0..60).for_each(|number| fleet.spray(&datagram(number)));
    fleet.change(1_000, |s| set_state(s, 1, State::Draining));

    for _ in 0..40 {
        fleet.run(5_000);
        (0..60).for_each(|number| fleet.spray(&datagram(number)));
    }
    (100..200).for_each(|number| fleet.spray(&datagram(number)));
    fleet.run(100);

    assert_eq!(fleet.failures, Vec::<String>::new());
    assert!((0..60).any(|n| server(&fleet, &key(Protocol::Udp, n)) == Some(1)));
    assert!((100..200).all(|n| server(&fleet, &key(Protocol::Udp, n)) != Some(1)));
}

/// A router reports that an answer was too large for its link. The ICMP error must reach the server
/// that sent the answer, or large answers stall, and it must not count as traffic of the flow.
#[test]
fn icmp_errors_follow_their_flow_and_leave_no_state() {
    let mut fleet = Fleet::new(4, 3, tables(service(Protocol::Tcp, 0..4, 1)));
    fleet.change(500, |s| set_state(s, 1, State::Draining));
    fleet.run(6_000);
    (0..60).for_each(|number| fleet.spray(&opening(number)));
    fleet.run(50);
    let pins = |fleet: &Fleet| -> usize {
        fleet
            .balancers
            .iter()
            .map(|b| (0..2).map(|at| b.shards.at(at).len()).sum::<usize>())
            .sum()
    };
    let before = pins(&fleet);

    for number in (0..60).chain(500..560) {
        fleet.spray(&packet(key(Protocol::Tcp, number), Kind::Error, 0));
    }
    fleet.run(50);

    let known = |failure: &String| !failure.contains("not None");
    assert_eq!(fleet.failures.iter().filter(|f| known(f)).count(), 0);
    assert_eq!(pins(&fleet), before);
}
