use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::spread;
use acacia_cookie::snapshot::Standing;
use rstest::rstest;

use super::fixture::{Fleet, config, evacuation, ms, server};

/// Balancers in three data centres that know a configuration and a server in data centre `a`.
fn fleet(count: u8) -> Fleet {
    let mut fleet = Fleet::new(count, &["a", "b", "c"]);
    let first = fleet.first();
    fleet.apply_from_store(first, vec![config(5, 3), server("i-1", 4)], 5);
    fleet
}

/// The state of the server at each reachable balancer.
fn standings(fleet: &mut Fleet) -> BTreeMap<SocketAddrV4, Standing> {
    let now = fleet.now;
    let unreachable = fleet.unreachable.clone();
    let reachable = fleet.cores.iter_mut();
    let reachable = reachable.filter(|(address, _)| !unreachable.contains(address));
    let standing = |core: &mut acacia_node::cookie::core::Core| {
        let (snapshot, _) = core.snapshot(now);
        snapshot.servers[0].standing
    };
    reachable
        .map(|(address, core)| (*address, standing(core)))
        .collect()
}

fn all_are(fleet: &mut Fleet, wanted: Standing) -> bool {
    standings(fleet)
        .values()
        .all(|standing| *standing == wanted)
}

/// If only the reader of the store knew an evacuation, the other balancers would keep opening flows
/// there.
#[rstest]
#[case::small(9)]
#[case::grown(67)]
fn an_evacuation_is_in_force_everywhere_once_one_balancer_has_read_it(#[case] count: u8) {
    let mut fleet = fleet(count);
    let first = fleet.first();

    fleet.apply_from_store(first, vec![evacuation("a", 6, true)], 6);
    assert!(all_are(&mut fleet, Standing::Evacuated));

    fleet.apply_from_store(first, vec![evacuation("a", 7, false)], 7);
    assert!(all_are(&mut fleet, Standing::Ready));
}

/// A balancer that starts while the store is unavailable must get the evacuations from its peers,
/// or it would open flows on the evacuated servers.
#[test]
fn a_balancer_that_starts_without_the_store_knows_evacuations_before_it_serves() {
    let mut fleet = fleet(9);
    let first = fleet.first();
    fleet.apply_from_store(first, vec![evacuation("a", 6, true)], 6);

    let new = fleet.join(20, "b");
    fleet.rounds(1);

    assert!(fleet.cores[&new].is_informed());
    assert_eq!(standings(&mut fleet)[&new], Standing::Evacuated);
}

/// A balancer that was cut off while one evacuation was set and another revoked must not keep its
/// old state after it is reconnected.
#[test]
fn a_balancer_that_was_cut_off_catches_up_with_evacuations() {
    let mut fleet = fleet(9);
    let first = fleet.first();
    fleet.apply_from_store(first, vec![evacuation("b", 6, true)], 6);
    let missed = *fleet.cores.keys().last().expect("a balancer");
    fleet.unreachable.push(missed);
    fleet.apply_from_store(first, vec![evacuation("b", 7, false)], 7);
    fleet.apply_from_store(first, vec![evacuation("a", 8, true)], 8);

    fleet.unreachable.clear();
    fleet.rounds(8);

    let now = fleet.now;
    let summary = fleet.cores[&missed].summary(now);
    assert_eq!(summary.revision, 8);
    assert_eq!(standings(&mut fleet)[&missed], Standing::Evacuated);
    let evacuations = fleet.cores[&missed].summary(now).evacuations;
    let centres: Vec<&str> = evacuations
        .iter()
        .map(|evacuation| &*evacuation.data_centre)
        .collect();
    assert_eq!(centres, ["a"]);
}

/// If the store discards its history while an evacuation is set, only a full read contains it.
#[test]
fn a_full_read_applies_an_evacuation_whose_event_was_lost() {
    let mut fleet = fleet(9);
    let first = fleet.first();
    let now = fleet.now;
    let reading = vec![config(5, 3), server("i-1", 4), evacuation("a", 6, true)];

    let core = fleet.cores.get_mut(&first).expect("a balancer");
    let outcome = core.apply_full_read(reading, 9, now, now);
    fleet.deliver(outcome.outgoing);

    assert!(all_are(&mut fleet, Standing::Evacuated));
}

/// A balancer that gets no message about an evacuation must poll the store itself after half of the
/// bound, plus jitter, so that the rest of the bound is left for the read.
#[test]
fn a_balancer_without_messages_polls_the_store_within_the_bound() {
    const BOUND: Duration = Duration::from_millis(3_000);
    let mut fleet = fleet(3);
    let last = *fleet.cores.keys().last().expect("a balancer");
    let start = fleet.now;

    let core = fleet.cores.get_mut(&last).expect("a balancer");
    let poll = (0..).map(|step| start + ms(50 * step));
    let poll = poll
        .into_iter()
        .find(|at| core.next_store_action(*at) == spread::Action::Poll);

    let waited = poll.expect("it polls") - start;
    assert!(waited <= BOUND.mul_f64(0.71), "{waited:?}");
}

/// Operators query the evacuations that a balancer knows, and since when each is in force.
#[test]
fn the_age_of_an_evacuation_is_reported() {
    let mut fleet = fleet(3);
    let first = fleet.first();
    fleet.apply_from_store(first, vec![evacuation("a", 6, true)], 6);
    standings(&mut fleet);
    fleet.now += ms(700);
    standings(&mut fleet);

    let summary = fleet.cores[&first].summary(fleet.now);

    let evacuation = &summary.evacuations[0];
    assert_eq!(
        (&evacuation.data_centre, evacuation.revision),
        (&Arc::from("a"), 6)
    );
    assert_eq!(evacuation.enforced, ms(700));
}
