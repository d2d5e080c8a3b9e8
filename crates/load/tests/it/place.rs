use acacia_load::{place::choose, plan::Plan, pool::Server};
use proptest::prelude::*;

use crate::fixture::{pool, rng, standing};

proptest! {
    #![proptest_config(crate::fixture::config())]

    /// Whatever the state of the servers, a flow gets one of its choices, and an ejected server only
    /// if all of them are ejected.
    #[test]
    fn a_flow_is_always_placed(
        seed: u64,
        standings in prop::collection::vec((0.0..1.0f64, any::<bool>()), 1..6),
    ) {
        let mut plan = Plan::unrestricted(&pool(standings.len()));
        plan.standings =
            standings.iter().map(|(spill, ejected)| standing(*spill, *ejected)).collect();
        let ranked: Vec<Server> = (0..standings.len() as u16).map(Server).collect();
        let position = choose(&ranked, &plan, &mut rng(seed)).expect("there are servers");
        let all = standings.iter().all(|(_, ejected)| *ejected);
        prop_assert!(all || !standings[position].1);
    }
}

/// A server spills a quarter of its flows, and all balancers know it at the same time. If each moved
/// all flows, the second choice would be overloaded next; they must move a quarter.
#[test]
fn only_the_excess_moves() {
    let mut plan = Plan::unrestricted(&pool(2));
    plan.standings = vec![standing(0.25, false), standing(0.0, false)];
    let mut rng = rng(1);
    let moved = (0..10_000)
        .filter(|_| choose(&[Server(0), Server(1)], &plan, &mut rng) == Some(1))
        .count();
    assert!((2_300..2_700).contains(&moved), "{moved}");
}

/// All servers are above their bounds alike. Moving flows would need pins and wouldn't help.
#[test]
fn full_saturation_moves_nothing() {
    let mut plan = Plan::unrestricted(&pool(2));
    plan.standings = vec![standing(0.5, false); 2];
    let mut rng = rng(1);
    let still = (0..100).all(|_| choose(&[Server(1), Server(0)], &plan, &mut rng) == Some(0));
    assert!(still);
}

#[test]
fn without_servers_there_is_no_placement() {
    assert_eq!(
        choose(&[], &Plan::unrestricted(&pool(0)), &mut rng(1)),
        None
    );
}
