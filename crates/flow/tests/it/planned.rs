use acacia_flow::snapshot::{Server, State};
use proptest::prelude::*;
use rand::RngExt;

use crate::{
    fleet::Fleet,
    plan::{config, open, retarget, service, set_state, tables, talk},
};
use acacia_wire::flow::Protocol;

#[derive(Debug, Clone)]
enum Change {
    Drain(u16),
    Restore(u16),
    Add(u16),
    Weights,
    Replace(u16),
}

fn changes() -> impl Strategy<Value = Vec<(Change, u64, bool)>> {
    let change = prop_oneof![
        (0..5u16).prop_map(Change::Drain),
        (0..5u16).prop_map(Change::Restore),
        (10..14u16).prop_map(Change::Add),
        Just(Change::Weights),
        (0..5u16).prop_map(Change::Replace),
    ];
    prop::collection::vec((change, 0..6_000u64, any::<bool>()), 2..7)
}

fn apply(fleet: &mut Fleet, change: &Change, spread: u64) {
    match *change {
        Change::Drain(server) => fleet.change(spread, |s| set_state(s, server, State::Draining)),
        Change::Restore(server) => fleet.change(spread, |s| set_state(s, server, State::Up)),
        Change::Add(server) => fleet.change(spread, |s| {
            s.servers.insert(
                server,
                Server {
                    state: State::Cold,
                    weight: 10,
                },
            );
            retarget(s);
        }),
        Change::Weights => {
            let weights: Vec<u32> = (0..20).map(|_| fleet.rng.random_range(1..30)).collect();
            fleet.change(spread, |s| {
                s.servers.iter_mut().for_each(|(id, server)| {
                    server.weight = weights[usize::from(*id)];
                });
                retarget(s);
            });
        }
        Change::Replace(id) => fleet.replace(id),
    }
}

proptest! {
    #![proptest_config(config(24))]

    /// Operators drain, restore, add and re-weight backend servers and replace balancers one
    /// after another, while the store is slow and each balancer hears of it at its own time. A
    /// crew leader whose feed was idle throughout would find it reset at the next packet.
    #[test]
    fn planned_changes_break_no_flow(seed: u64, changes in changes()) {
        let mut fleet = Fleet::new(5, seed, tables(service(Protocol::Tcp, 0..5, 1)));
        fleet.faults.loss = 0.02;
        fleet.faults.repeat = 0.02;
        fleet.faults.delay = 20;
        open(&mut fleet, 0, 60);

        let mut opened = 60;
        for (change, wait, talks) in &changes {
            apply(&mut fleet, change, *wait);
            open(&mut fleet, opened, opened + 20);
            fleet.run(*wait);
            open(&mut fleet, opened + 20, opened + 60);
            opened += 60;
            if *talks {
                talk(&mut fleet, opened / 2, opened);
            }
        }
        fleet.run(20_000);
        let lost = talk(&mut fleet, 0, opened);

        prop_assert_eq!(&fleet.failures, &Vec::<String>::new());
        prop_assert_eq!(lost, Vec::<u32>::new(), "drops {:?}", fleet.drops);
    }
}
