use acacia_rollout::WATCHERS;
use rstest::rstest;

use crate::{fixture::ms, world::World};

/// The platform counts each waiting watch and its rates grow more slowly than the fleet. An idle
/// minute costs each data centre two watches every 2 s, however many balancers it has.
#[rstest]
#[case(4)]
#[case(60)]
fn idle_calls_do_not_grow_with_the_fleet(#[case] balancers: u16) {
    let mut world = World::new(balancers, 2);
    world.accept();
    world.run(ms(10_000));
    let before = world.watches();
    world.run(ms(60_000));
    let bound = 2 * WATCHERS * (60 / 2 + 1);
    assert!(
        world.watches() - before <= bound,
        "{}",
        world.watches() - before
    );
}

/// The store is down: watchers come back with spread pauses, the rest of the fleet not at all.
#[rstest]
#[case(4)]
#[case(60)]
fn calls_during_an_outage_do_not_grow_with_the_fleet(#[case] balancers: u16) {
    let mut world = World::new(balancers, 2);
    world.accept();
    world.run(ms(10_000));
    world.set_store(|reach| reach.fill(false));
    let before = world.watches();
    world.run(ms(60_000));
    let bound = 2 * WATCHERS * 60;
    assert!(
        world.watches() - before <= bound,
        "{}",
        world.watches() - before
    );
}

/// A change in a healthy fleet is in force on every balancer within 2 s.
#[rstest]
#[case(7, 3, 0)]
#[case(9, 3, 700)]
#[case(60, 2, 1300)]
fn a_change_is_in_force_within_two_seconds(
    #[case] balancers: u16,
    #[case] centres: u16,
    #[case] at: u64,
) {
    let mut world = World::new(balancers, centres);
    world.accept();
    world.run(ms(10_000 + at));
    world.accept();
    world.run(ms(2_000));
    assert_eq!(world.lagging(), [0_u16; 0]);
}

/// The store goes down the moment one balancer has a change. The others have it from peers
/// within 8 s.
#[rstest]
#[case(7, 3)]
#[case(60, 2)]
fn a_change_spreads_by_peers_when_the_store_is_lost(#[case] balancers: u16, #[case] centres: u16) {
    let mut world = World::new(balancers, centres);
    world.accept();
    world.run(ms(10_000));
    world.set_store(|reach| reach[1..].fill(false));
    world.accept();
    while world.lagging().contains(&0) {
        world.run(ms(100));
    }
    world.set_store(|reach| reach.fill(false));
    world.run(ms(8_000));
    assert_eq!(world.lagging(), [0_u16; 0]);
}
