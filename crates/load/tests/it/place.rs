use acacia_load::{place::choose, plan::Plan, pool::Server};
use proptest::prelude::*;

use crate::fixture::{pool, rng, standing};

proptest! {
    #![proptest_config(crate::fixture::config())]

    /// Signals may say anything; a flow with a choice of servers always gets one, and one that is
    /// left alone only if all of them are.
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

/// One server is over its bound by a quarter, and every balancer hears so at the same time. If all
/// moved all, the second choice would be next; they move a quarter.
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

/// Every server is over its bound alike. Moving flows about would cost pins and help nobody.
#[test]
fn full_saturation_moves_nothing() {
    let mut plan = Plan::unrestricted(&pool(2));
    plan.standings = vec![standing(0.5, false); 2];
    let mut rng = rng(1);
    let still = (0..100).all(|_| choose(&[Server(1), Server(0)], &plan, &mut rng) == Some(0));
    assert!(still);
}

#[test]
fn no_choice_is_no_placement() {
    assert_eq!(
        choose(&[], &Plan::unrestricted(&pool(0)), &mut rng(1)),
        None
    );
}
