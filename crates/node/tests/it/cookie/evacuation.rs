use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::spread;
use acacia_cookie::snapshot::Standing;
use rstest::rstest;

use super::fixture::{Fleet, config, evacuation, ms, server};

/// Balancers in three data centres that know a configuration and a server in data centre `a`.
fn fleet(count: u8) -> Fleet {
    let mut fleet = Fleet::new(count, &["a", "b", "c"]);
    let first = fleet.first();
    fleet.tell(first, vec![config(5, 3), server("i-1", 4)], 5);
    fleet
}

/// How each balancer that can be reached treats the server.
fn standings(fleet: &mut Fleet) -> BTreeMap<SocketAddrV4, Standing> {
    let now = fleet.now;
    let lost = fleet.lost.clone();
    let reached = fleet.cores.iter_mut();
    let reached = reached.filter(|(address, _)| !lost.contains(address));
    let standing = |core: &mut acacia_node::cookie::core::Core| {
        let (snapshot, _) = core.snapshot(now);
        snapshot.servers[0].standing
    };
    reached
        .map(|(address, core)| (*address, standing(core)))
        .collect()
}

fn all_are(fleet: &mut Fleet, wanted: Standing) -> bool {
    standings(fleet)
        .values()
        .all(|standing| *standing == wanted)
}

/// A mark that only the reader of the store knows leaves the other balancers' flows going there.
#[rstest]
#[case::small(9)]
#[case::grown(67)]
fn an_evacuation_is_in_force_everywhere_once_one_balancer_has_read_it(#[case] count: u8) {
    let mut fleet = fleet(count);
    let first = fleet.first();

    fleet.tell(first, vec![evacuation("a", 6, true)], 6);
    assert!(all_are(&mut fleet, Standing::Evacuated));

    fleet.tell(first, vec![evacuation("a", 7, false)], 7);
    assert!(all_are(&mut fleet, Standing::Ready));
}

/// A balancer that starts while the store is away opens flows on the servers that are to be left alone.
#[test]
fn a_balancer_that_starts_without_the_store_knows_evacuations_before_it_serves() {
    let mut fleet = fleet(9);
    let first = fleet.first();
    fleet.tell(first, vec![evacuation("a", 6, true)], 6);

    let new = fleet.join(20, "b");
    fleet.rounds(1);

    assert!(fleet.cores[&new].is_informed());
    assert_eq!(standings(&mut fleet)[&new], Standing::Evacuated);
}

/// A balancer that was cut off while a mark was set, and while another was taken back, keeps to what it
/// knew once it is back.
#[test]
fn a_balancer_that_was_cut_off_catches_up_with_evacuations() {
    let mut fleet = fleet(9);
    let first = fleet.first();
    fleet.tell(first, vec![evacuation("b", 6, true)], 6);
    let missed = *fleet.cores.keys().last().expect("a balancer");
    fleet.lost.push(missed);
    fleet.tell(first, vec![evacuation("b", 7, false)], 7);
    fleet.tell(first, vec![evacuation("a", 8, true)], 8);

    fleet.lost.clear();
    fleet.rounds(8);

    let now = fleet.now;
    let summary = fleet.cores[&missed].summary(now);
    assert_eq!(summary.revision, 8);
    assert_eq!(standings(&mut fleet)[&missed], Standing::Evacuated);
    let evacuations = fleet.cores[&missed].summary(now).evacuations;
    let centres: Vec<&str> = evacuations.iter().map(|mark| &*mark.data_centre).collect();
    assert_eq!(centres, ["a"]);
}

/// The store drops its history while a mark is set: only a whole reading tells of it.
#[test]
fn a_whole_reading_brings_a_mark_whose_event_was_lost() {
    let mut fleet = fleet(9);
    let first = fleet.first();
    let now = fleet.now;
    let reading = vec![config(5, 3), server("i-1", 4), evacuation("a", 6, true)];

    let core = fleet.cores.get_mut(&first).expect("a balancer");
    let outcome = core.apply_full_read(reading, 9, now, now);
    fleet.deliver(outcome.outgoing);

    assert!(all_are(&mut fleet, Standing::Evacuated));
}

/// Nobody tells a balancer of a mark: it must turn to the store itself within half of the bound, so that
/// the rest of it is left for the reading.
#[test]
fn a_balancer_without_news_asks_the_store_within_the_bound() {
    const BOUND: Duration = Duration::from_millis(3_000);
    let mut fleet = fleet(3);
    let last = *fleet.cores.keys().last().expect("a balancer");
    let told = fleet.now;

    let core = fleet.cores.get_mut(&last).expect("a balancer");
    let asks = (0..).map(|step| told + ms(50 * step));
    let asks = asks
        .into_iter()
        .find(|at| core.next_store_action(*at) == spread::Action::Poll);

    let waited = asks.expect("it asks") - told;
    assert!(waited <= BOUND.mul_f64(0.71), "{waited:?}");
}

/// Operators ask what a balancer knows of an evacuation.
#[test]
fn the_age_of_an_evacuation_is_told() {
    let mut fleet = fleet(3);
    let first = fleet.first();
    fleet.tell(first, vec![evacuation("a", 6, true)], 6);
    standings(&mut fleet);
    fleet.now += ms(700);
    standings(&mut fleet);

    let summary = fleet.cores[&first].summary(fleet.now);

    let mark = &summary.evacuations[0];
    assert_eq!((&mark.data_centre, mark.revision), (&Arc::from("a"), 6));
    assert_eq!(mark.enforced, ms(700));
}
