use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::Change;
use acacia_cookie::{
    silence::Finding,
    speed::{Count, Counts},
};
use rstest::rstest;

use super::fixture::{Fleet, config, ms, server};

/// Counts of `count` answers of a server, each after `took`.
fn answers(count: u32, server: &str, took: Duration) -> Vec<Count> {
    let server: Arc<str> = server.into();
    let mut counts = Counts::default();
    for _ in 0..count {
        counts.asked(&server);
        counts.answered(&server, took);
    }
    counts.take(Duration::from_secs(1))
}

fn weight(fleet: &mut Fleet, at: SocketAddrV4, id: &str) -> f64 {
    let now = fleet.now;
    let core = fleet.cores.get_mut(&at).expect("a balancer");
    let (snapshot, _) = core.snapshot(now);
    let found = snapshot.servers.iter().find(|server| &*server.id == id);
    found.expect("a server").weight
}

/// A server is four times as slow as another. Balancers without flows there must learn of it from
/// the others' counts, or a flow that they place there would wait.
#[rstest]
#[case::today(9, &["a", "b", "c"], 5)]
#[case::grown(61, &["a", "b", "c", "d"], 1)]
fn balancers_detect_a_slow_server_from_the_counts_of_others(
    #[case] count: u8,
    #[case] centres: &[&str],
    #[case] each: u32,
) {
    let mut fleet = Fleet::new(count, centres);
    let first = fleet.first();
    let servers = vec![config(5, 3), server("fast", 3), server("slow", 4)];
    fleet.apply_from_store(first, servers, 5);
    let now = fleet.now;
    for core in fleet.cores.values_mut() {
        core.snapshot(now);
    }
    let blind = *fleet.cores.keys().last().expect("a balancer");

    for _ in 0..20 {
        let now = fleet.now;
        for (number, (address, core)) in fleet.cores.iter_mut().enumerate() {
            if *address != blind {
                core.record_counts(answers(each, "fast", ms(20)), now);
                // With a quarter of the requests, the slow server is as busy as the fast one.
                core.record_counts(
                    answers(each * u32::from(number % 4 == 0), "slow", ms(80)),
                    now,
                );
            }
        }
        fleet.rounds(2);
        let now = fleet.now;
        for core in fleet.cores.values_mut() {
            core.evaluate_speeds(now);
        }
    }

    let (fast, slow) = (
        weight(&mut fleet, blind, "fast"),
        weight(&mut fleet, blind, "slow"),
    );
    assert!(fast > 2.0 * slow, "{fast} {slow}");
}

/// A server's VM crashes, and the server restarts on another VM under the same id. It was found
/// silent, and must get flows as soon as its new entry is known rather than after the next probe.
#[test]
fn a_server_that_restarts_under_its_id_is_used_at_once() {
    let mut fleet = Fleet::new(1, &["a"]);
    let first = fleet.first();
    let before = vec![config(5, 3), server("i-1", 3), server("i-2", 4)];
    fleet.apply_from_store(first, before, 5);
    let core = fleet.cores.get_mut(&first).expect("a balancer");
    core.snapshot(ms(6_000));
    core.record_unanswered(&"i-1".into(), ms(6_000));
    core.examination(ms(6_000));
    core.record_findings(vec![("i-1".into(), Finding::Silent)], ms(6_100));
    let (during, _) = core.snapshot(ms(6_100));

    let Change::Server {
        id,
        server: Some(old),
        ..
    } = server("i-1", 3)
    else {
        unreachable!("the fixture gives a server");
    };
    let mut again = (*old).clone();
    again.started_ms = 9;
    let change = Change::Server {
        id,
        revision: 6,
        server: Some(Arc::new(again)),
    };
    fleet.apply_from_store(first, vec![change], 6);

    let core = fleet.cores.get_mut(&first).expect("a balancer");
    let (after, _) = core.snapshot(ms(6_200));
    assert_eq!(during.pools[0].open.len(), 1);
    assert_eq!(after.pools[0].open.len(), 2);
}
