use acacia_flow::{shard::Limits, snapshot::State};
use acacia_wire::{flow::Protocol, packet::Kind};
use proptest::prelude::*;
use rand::RngExt;

use crate::{
    fixture::{
        address, config, data, insist, key, open, opening, packet, service, set_state, tables,
    },
    fleet::Fleet,
};

proptest! {
    #![proptest_config(config(24))]

    /// The answer to an opening packet is lost, and the caller retransmits it through another
    /// balancer, while a server starts to drain or the service refuses new flows. Guards against a
    /// second server getting the same request, and against refusing a flow that was served.
    #[test]
    fn a_retransmitted_opening_reaches_one_server(
        seed: u64,
        change_at in 0..40u32,
        refuse_at in 20..80u32,
        guard: bool,
    ) {
        let mut fleet = Fleet::new(5, seed, tables(service(Protocol::Tcp, 0..5, 1)));
        fleet.faults.loss = 0.05;
        fleet.faults.repeat = 0.05;
        fleet.faults.delay = 30;

        for step in 0..100u32 {
            if step == change_at {
                let server = fleet.rng.random_range(0..5);
                fleet.change(1_500, |s| set_state(s, server, State::Draining));
            }
            if step == refuse_at {
                fleet.refusing = true;
                let guarded = address(Protocol::Tcp);
                fleet.balancers.iter_mut().for_each(|b| b.control.guard(guarded, guard));
            }
            // Each caller sends its opening now and again after 1 s and 3 s; then data, if it was
            // answered.
            (step * 3..step * 3 + 3).for_each(|number| fleet.spray(&opening(number)));
            for age in [10, 30u32] {
                let first = step.saturating_sub(age) * 3;
                (first..first + 3).for_each(|number| fleet.spray(&opening(number)));
            }
            let opened = |fleet: &Fleet, number| {
                let truth = fleet.flows.get(&key(Protocol::Tcp, number));
                truth.is_some_and(|truth| truth.server.is_some() && !truth.refused)
            };
            for number in step.saturating_sub(28) * 3..step * 3 {
                if opened(&fleet, number) && fleet.rng.random_bool(0.3) {
                    fleet.spray(&data(number));
                }
            }
            fleet.run(100);
        }

        prop_assert_eq!(&fleet.failures, &Vec::<String>::new());
    }
}

/// Sends data on every open flow, several times and through random balancers.
fn send_on_open_flows(fleet: &mut Fleet) {
    for _ in 0..8 {
        for number in 0..80 {
            let truth = fleet.flows.get(&key(Protocol::Tcp, number));
            if truth.is_some_and(|truth| truth.server.is_some()) {
                fleet.spray(&data(number));
            }
        }
        fleet.run(20);
    }
}

/// A flow ends and its ports are reused immediately. A balancer with a stale cache entry would send
/// packets of the new flow to the old server.
#[test]
fn reused_ports_use_no_stale_cache_entry() {
    let service = service(Protocol::Tcp, 0..5, 1);
    let limits = Limits {
        hints: 1_000_000,
        ..Limits::default()
    };
    let mut fleet = Fleet::with_limits(4, 5, tables(service), limits);
    fleet.change(500, |s| set_state(s, 0, State::Draining));
    fleet.run(6_000);
    open(&mut fleet, 0, 80);
    fleet.change(500, |s| set_state(s, 1, State::Draining));
    fleet.run(6_000);
    send_on_open_flows(&mut fleet);

    for number in 0..80 {
        fleet.spray(&packet(key(Protocol::Tcp, number), Kind::Closing, 0));
    }
    fleet.run(50);
    fleet.flows.clear();
    let again = |number| packet(key(Protocol::Tcp, number), Kind::Opening { isn: 99 }, 0);
    (0..80).for_each(|number| fleet.spray(&again(number)));
    fleet.run(50);
    send_on_open_flows(&mut fleet);
    fleet.run(6_000);
    for number in 0..80 {
        assert!(insist(&mut fleet, &again(number)));
    }
    send_on_open_flows(&mut fleet);

    assert_eq!(fleet.failures, Vec::<String>::new());
    let server = |number| fleet.flows[&key(Protocol::Tcp, number)].server;
    assert!((0..80).all(|number| !matches!(server(number), Some(0 | 1))));
}
