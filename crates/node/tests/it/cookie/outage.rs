//! Whether balancers can tell an outage of the store from servers that lose their entries.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::Change;
use rstest::rstest;

use super::fixture::{Fleet, config, ms, removed, server};

/// Number of servers, all of one service.
const SERVERS: u64 = 5;

fn name(number: u64) -> String {
    format!("i-{number}")
}

/// Balancers that know all servers, and the one that reads the store.
fn fleet() -> (Fleet, SocketAddrV4) {
    let mut fleet = Fleet::new(3, &["a"]);
    let first = fleet.first();
    let servers = (1..=SERVERS).map(|number| server(&name(number), number));
    let entries: Vec<Change> = servers.chain([config(SERVERS + 1, 1)]).collect();
    fleet.apply_from_store(first, entries, SERVERS + 1);
    view(&mut fleet);
    (fleet, first)
}

/// For each balancer, whether it counts the service as lapsed.
fn view(fleet: &mut Fleet) -> Vec<bool> {
    let now = fleet.now;
    let cores = fleet.cores.values_mut();
    let lapsed = |core: &mut acacia_node::cookie::core::Core| {
        let (snapshot, _) = core.snapshot(now);
        snapshot.pools.iter().any(|pool| pool.lapsed)
    };
    cores.map(lapsed).collect()
}

/// Lets the reader hear from the store each `pause` for `time`, which changes nothing.
fn hear(fleet: &mut Fleet, reader: SocketAddrV4, time: Duration, pause: Duration) {
    let end = fleet.now + time;
    while fleet.now < end {
        fleet.now += pause;
        let revision = fleet.cores[&reader].revision();
        fleet.apply_from_store(reader, Vec::new(), revision);
        fleet.gossip();
        view(fleet);
    }
}

/// Guards against an outage that balancers see in entries that run out while the store answers, and against a
/// lapse that they don't see after one.
#[rstest]
#[case::answering(ms(1_200), false)]
#[case::away(ms(4_000), true)]
fn missing_entries_are_a_lapse_only_after_an_outage(#[case] pause: Duration, #[case] lapsed: bool) {
    let (mut fleet, reader) = fleet();
    hear(&mut fleet, reader, ms(4_000), pause);

    let revision = fleet.cores[&reader].revision();
    let gone = (1..SERVERS).map(|number| removed(&name(number), revision + number));
    let gone: Vec<Change> = gone.collect();
    fleet.apply_from_store(reader, gone, revision + SERVERS);

    assert_eq!(view(&mut fleet), [lapsed; 3]);
    let names: Vec<Arc<str>> = fleet.cores[&reader]
        .difference(0, fleet.now)
        .changes
        .iter()
        .filter_map(|change| match change {
            Change::Server { id, server, .. } => server.as_ref().map(|_| Arc::clone(id)),
            _ => None,
        })
        .collect();
    assert_eq!(names, [Arc::from(name(SERVERS))]);
}
