use std::{collections::BTreeSet, net::SocketAddrV4, time::Duration};

use acacia_catalog::{
    member::{Member, Members},
    spread::{self, fetch_children, is_chosen, is_reader, recipients},
};
use rstest::rstest;

use crate::fixture::member;

const BOUND: Duration = Duration::from_secs(3);

/// A fleet of `count` balancers in `centres` data centres.
fn fleet(count: u8, centres: &[&str]) -> Vec<Member> {
    (0..count)
        .map(|number| member(number, centres[number as usize % centres.len()]))
        .collect()
}

/// The member list of `own`, with all others of the fleet.
fn list(own: &Member, fleet: &[Member]) -> Members {
    let mut list = Members::default();
    for other in fleet.iter().filter(|other| other.address != own.address) {
        list.merge(other.clone(), Duration::ZERO);
    }
    list
}

#[rstest]
#[case::current_size(9)]
#[case::larger_fleet(62)]
fn exactly_one_balancer_is_the_reader(#[case] count: u8) {
    let fleet = fleet(count, &["a", "b", "c"]);

    let readers = fleet
        .iter()
        .filter(|own| is_reader(own, &list(own, &fleet)));

    assert_eq!(readers.count(), 1);
}

/// The store refuses some balancers and serves the others. If the first in rank were refused and yet
/// stayed the reader, the others would learn of changes only by reading the store themselves.
#[test]
fn a_balancer_that_cannot_reach_the_store_is_not_the_reader() {
    let mut fleet = fleet(9, &["a", "b", "c"]);
    let first = fleet
        .iter()
        .position(|own| is_reader(own, &list(own, &fleet)));
    let first = first.expect("a reader");
    fleet[first].sighted = false;

    let readers: Vec<usize> = (0..fleet.len())
        .filter(|at| is_reader(&fleet[*at], &list(&fleet[*at], &fleet)))
        .collect();

    assert_eq!(readers.len(), 1);
    assert_ne!(readers[0], first);
}

/// Whichever balancer is the reader, a change must reach all balancers by the reader's messages and
/// those of one relay in each other data centre. Balancers that are missed would call the store after
/// every change.
#[rstest]
#[case::current_size(9, &["a", "b", "c"])]
#[case::larger_fleet(61, &["a", "b", "c", "d"])]
fn a_small_change_reaches_all_balancers_in_two_hops(#[case] count: u8, #[case] centres: &[&str]) {
    let fleet = fleet(count, centres);
    for reader in &fleet {
        let mut told: BTreeSet<SocketAddrV4> = BTreeSet::from([reader.address]);
        let first = recipients(reader, &list(reader, &fleet), None);
        for address in &first {
            told.insert(*address);
            let relay = fleet.iter().find(|member| member.address == *address);
            let relay = relay.expect("a member");
            let near = list(relay, &fleet);
            told.extend(recipients(relay, &near, Some(&reader.data_centre)));
        }

        assert_eq!(told.len(), fleet.len());
        // The reader sends to its own data centre and one relay of each other, not to the whole fleet.
        assert!(first.len() < fleet.len().div_ceil(centres.len()) + centres.len());
    }
}

/// A large configuration is fetched from the balancer that announced it. All must get it, and none
/// may serve more than a few fetches, which would saturate the link of a small balancer for a second.
#[test]
fn a_large_change_reaches_a_data_centre_with_few_fetches_from_each() {
    let fleet = fleet(20, &["a"]);
    let root = &fleet[7];
    let mut told: Vec<SocketAddrV4> = vec![root.address];
    let mut at = 0;
    while at < told.len() {
        let own = fleet
            .iter()
            .find(|member| member.address == told[at])
            .expect("a member");
        let next = fetch_children(own, &list(own, &fleet), root.address, Some(&"a".into()));
        assert!(next.len() <= 3);
        told.extend(next);
        at += 1;
    }

    let all: BTreeSet<SocketAddrV4> = told.iter().copied().collect();
    assert_eq!((told.len(), all.len()), (fleet.len(), fleet.len()));
}

/// The reader is killed, partitioned or suspended just after it sent a confirmation, so no further one
/// follows. A change that the store accepts at that moment must still be in force within the bound.
#[rstest]
#[case::first(0.0)]
#[case::last(0.999)]
fn a_balancer_without_confirmations_reads_the_store_within_the_bound(#[case] share: f64) {
    let mut schedule = spread::Schedule::new(spread::Timing::within(BOUND));
    schedule.confirmed(Duration::ZERO);
    let mut now = Duration::ZERO;

    while let spread::Action::Wait(wait) = schedule.next_action(now, false, share, 0) {
        now += wait;
    }

    assert!(now <= BOUND * 3 / 4, "read after {now:?}");
}

/// The number of calls of one balancer to an unreachable store in 20 s, while `failing` other balancers
/// can't reach it either.
fn calls(failing: usize) -> usize {
    let mut schedule = spread::Schedule::new(spread::Timing::within(BOUND));
    let (mut now, mut calls) = (Duration::ZERO, 0);
    while now < Duration::from_secs(20) {
        match schedule.next_action(now, false, 0.5, failing) {
            spread::Action::Wait(wait) => now += wait,
            spread::Action::Watch | spread::Action::Poll => {
                calls += 1;
                schedule.failed(now);
            }
        }
    }
    calls
}

/// The store is down for a long time, and each of 61 balancers retries. Refused calls count against
/// the store's limits too and would overload it just as it recovers, so the fleet's total rate of calls
/// must not grow with its size.
#[test]
fn the_rate_of_calls_to_an_unreachable_store_does_not_grow_with_the_fleet() {
    let (few, many) = (9 * calls(8), 61 * calls(60));

    assert!(
        (150..=250).contains(&few),
        "{few} calls of 9 balancers in 20 s"
    );
    assert!(many < few * 2, "{many} calls of 61 balancers, {few} of 9");
}

/// A confirmation from a peer is as good as a read of the store, so a balancer that keeps getting them
/// doesn't read.
#[test]
fn a_confirmation_from_a_peer_replaces_a_read() {
    let mut schedule = spread::Schedule::new(spread::Timing::within(BOUND));
    for second in 0..30 {
        let now = Duration::from_secs(second);
        schedule.confirmed(now);

        assert!(matches!(
            schedule.next_action(now, false, 0.0, 0),
            spread::Action::Wait(_)
        ));
    }
}

/// Three balancers of each data centre examine a server on behalf of the others, whatever the fleet's
/// size. With none, its failure would go unnoticed; with all, it would be flooded with connections.
#[rstest]
#[case::current_size(9, 3)]
#[case::larger_fleet(73, 3)]
#[case::fewer_than_three(2, 1)]
fn each_data_centre_chooses_the_same_number_of_balancers_for_each_key(
    #[case] count: u8,
    #[case] chosen: usize,
) {
    let fleet = fleet(count, &["a", "b", "c"]);
    for key in 0..100 {
        for centre in ["a", "b"] {
            let near = fleet.iter().filter(|own| &*own.data_centre == centre);
            let few = near.filter(|own| is_chosen(own, &list(own, &fleet), key, 3));
            assert_eq!(few.count(), chosen);
        }
    }
}

/// Each key has its own examiners, so that no balancer gets a large part of all the work.
#[test]
fn the_balancers_chosen_for_many_keys_are_spread_evenly() {
    let fleet = fleet(72, &["a", "b", "c"]);
    for own in &fleet {
        let list = list(own, &fleet);
        let keys = (0..800).map(acacia_wire::flow::mix);
        let chosen = keys.filter(|key| is_chosen(own, &list, *key, 3)).count();
        assert!(
            (60..=145).contains(&chosen),
            "{chosen} of 800, 100 expected"
        );
    }
}
