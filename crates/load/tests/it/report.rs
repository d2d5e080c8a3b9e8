use acacia_load::{limits::Limits, peer::Peers, pool::Server, report::Report, tally::Tally};
use proptest::prelude::*;

use crate::fixture::seconds;

fn end_tick(peers: &mut Peers) -> Report {
    peers.end_tick(1, seconds(1.0), &Limits::default()).0
}

proptest! {
    #![proptest_config(crate::fixture::config())]

    /// Flows open at one balancer and close at another, reports are lost or arrive twice, and one of
    /// three balancers leaves in the end. The sum of open flows must still be right, or a server
    /// would be taken for full, or a full one for empty.
    #[test]
    fn open_flows_add_up(
        events in prop::collection::vec((0usize..3, any::<bool>(), any::<bool>()), 1..60),
    ) {
        let mut all = [(); 3].map(|()| Peers::new(1, 1));
        let mut open: i64 = 0;
        for (at, opens, delivered) in events {
            let mut tally = Tally::new(1, 1);
            if opens || open == 0 {
                tally.opened(Server(0));
                open += 1;
            } else {
                tally.closed(Server(0), 0);
                open -= 1;
            }
            all[at].absorb(&tally);
            let report = end_tick(&mut all[at]);
            if delivered && at != 0 {
                all[0].merge(at as u16, &report, seconds(1.0));
                all[0].merge(at as u16, &report, seconds(1.0));
            }
        }
        for at in 1..3 {
            let report = end_tick(&mut all[at]);
            all[0].merge(at as u16, &report, seconds(2.0));
        }
        all[0].forget(2);
        let counted = all[0].open().servers[0];
        prop_assert!((counted - open as f64).abs() < 2.0, "{counted} {open}");
    }
}

/// A peer's report may contain absurdly large counts of flows. Their sum must not overflow: it would end the
/// control thread, or make a flood look like next to no demand.
#[test]
fn absurd_counts_of_peers_do_not_overflow() {
    let mut peers = Peers::new(1, 1);
    let mut tally = Tally::new(1, 1);
    (tally.classes[0].admitted, tally.classes[0].refused) = (u32::MAX, u32::MAX);
    for peer in 1..=2 {
        let mut sender = Peers::new(1, 1);
        sender.absorb(&tally);
        peers.merge(peer, &end_tick(&mut sender), seconds(1.0));
    }

    let (_, seen) = peers.end_tick(1, seconds(1.0), &Limits::default());

    assert_eq!(seen.classes, tally.classes);
}

/// A balancer may send a few KB of control traffic per second. With 15 servers and 2,000 new flows
/// per second at each balancer, a report stays under 320 bytes; sent to seven peers each second,
/// that is 2.2 KB per second.
#[test]
fn a_report_fits_the_budget() {
    const SERVERS: usize = 15;
    let mut peers = Peers::new(SERVERS, 2);
    let mut tally = Tally::new(SERVERS, 2);
    for flow in 0..2_000 {
        let server = Server((flow % SERVERS) as u16);
        tally.opened(server);
        tally.asked(server);
        if flow % 8 == 0 {
            tally.completed(server, seconds(0.004));
            tally.answered(server, Some(seconds(0.050)));
            tally.closed(server, 0);
        }
    }
    peers.absorb(&tally);
    let bytes = postcard::to_stdvec(&end_tick(&mut peers)).expect("a report can be encoded");
    assert!(bytes.len() < 320, "{}", bytes.len());
}

/// After a change of the configuration, a server that remains keeps its count under its new index,
/// and new servers start at zero.
#[test]
fn a_changed_configuration_keeps_open_flows() {
    let mut peers = Peers::new(2, 1);
    let mut tally = Tally::new(2, 1);
    (0..5).for_each(|_| tally.opened(Server(1)));
    peers.absorb(&tally);
    let peers = peers.remap(&[Some(1), None, None], &[Some(0)]);
    assert_eq!(peers.open().servers, vec![5.0, 0.0, 0.0]);
}
