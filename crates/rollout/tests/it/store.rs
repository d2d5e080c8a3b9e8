use acacia_rollout::WATCHERS;
use rstest::rstest;

use crate::{fixture::ms, simulation::Simulation};

/// The platform counts each waiting watch, and its rate limits grow more slowly than the number of
/// balancers. While nothing changes, a data centre of any size must make at most two watches
/// every 2 s.
#[rstest]
#[case(4)]
#[case(60)]
fn idle_watches_do_not_grow_with_the_number_of_balancers(#[case] balancers: u16) {
    let mut simulation = Simulation::new(balancers, 2);
    simulation.accept();
    simulation.run(ms(10_000));
    let before = simulation.watches();
    simulation.run(ms(60_000));
    let bound = 2 * WATCHERS * (60 / 2 + 1);
    assert!(
        simulation.watches() - before <= bound,
        "{}",
        simulation.watches() - before
    );
}

/// While the store is down, only the watchers retry, after a random backoff.
#[rstest]
#[case(4)]
#[case(60)]
fn retries_do_not_grow_with_the_number_of_balancers(#[case] balancers: u16) {
    let mut simulation = Simulation::new(balancers, 2);
    simulation.accept();
    simulation.run(ms(10_000));
    simulation.set_reachable(|reachable| reachable.fill(false));
    let before = simulation.watches();
    simulation.run(ms(60_000));
    let bound = 2 * WATCHERS * 60;
    assert!(
        simulation.watches() - before <= bound,
        "{}",
        simulation.watches() - before
    );
}

/// Without faults, a change is in force on every balancer within 2 s.
#[rstest]
#[case(7, 3, 0)]
#[case(9, 3, 700)]
#[case(60, 2, 1300)]
fn a_change_is_in_force_within_two_seconds(
    #[case] balancers: u16,
    #[case] data_centres: u16,
    #[case] at: u64,
) {
    let mut simulation = Simulation::new(balancers, data_centres);
    simulation.accept();
    simulation.run(ms(10_000 + at));
    simulation.accept();
    simulation.run(ms(2_000));
    assert_eq!(simulation.lagging(), [0_u16; 0]);
}

/// The store fails as soon as one balancer has a change. The others must get it from peers within
/// 8 s.
#[rstest]
#[case(7, 3)]
#[case(60, 2)]
fn a_change_spreads_through_peers_when_the_store_fails(
    #[case] balancers: u16,
    #[case] data_centres: u16,
) {
    let mut simulation = Simulation::new(balancers, data_centres);
    simulation.accept();
    simulation.run(ms(10_000));
    simulation.set_reachable(|reachable| reachable[1..].fill(false));
    simulation.accept();
    while simulation.lagging().contains(&0) {
        simulation.run(ms(100));
    }
    simulation.set_reachable(|reachable| reachable.fill(false));
    simulation.run(ms(8_000));
    assert_eq!(simulation.lagging(), [0_u16; 0]);
}
