use std::{collections::BTreeSet, net::SocketAddrV4, time::Duration};

use acacia_catalog::{
    member::{Member, MemberList},
    spread::{
        ReadAction, ReadSchedule, ReadTiming, fetch_children, is_chosen, is_reader, recipients,
    },
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

/// The list that `own` has of the others.
fn list(own: &Member, fleet: &[Member]) -> MemberList {
    let mut list = MemberList::default();
    for other in fleet.iter().filter(|other| other.address != own.address) {
        list.merge(other.clone(), Duration::ZERO);
    }
    list
}

#[rstest]
#[case::today(9)]
#[case::grown(62)]
fn one_of_the_fleet_reads(#[case] count: u8) {
    let fleet = fleet(count, &["a", "b", "c"]);

    let readers = fleet
        .iter()
        .filter(|own| is_reader(own, &list(own, &fleet)));

    assert_eq!(readers.count(), 1);
}

/// The store turns some balancers away and serves the others. Were the first in rank among those
/// that are turned away, nobody would hear of changes but by reading alone.
#[test]
fn one_that_does_not_see_the_store_is_not_the_reader() {
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

/// What the reader learns must reach every balancer by the reader's own messages and one relay in
/// each other data centre, whoever the reader is; else the balancers that are missed would turn to
/// the store after every change.
#[rstest]
#[case::today(9, &["a", "b", "c"])]
#[case::grown(61, &["a", "b", "c", "d"])]
fn news_reach_all_in_two_steps(#[case] count: u8, #[case] centres: &[&str]) {
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
        // A reader tells its own data centre and one of each other, not the fleet.
        assert!(first.len() < fleet.len().div_ceil(centres.len()) + centres.len());
    }
}

/// A large configuration is fetched from whoever told of it. All must get it, and none may be asked
/// by more than a few: the small ones' links would be full for a second.
#[test]
fn large_news_reach_a_data_centre_by_few_steps_of_each() {
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

/// The reader is killed, cut off or frozen just after it told the others. Nobody tells them, and a
/// change that the store accepts at that moment must be in force within the bound all the same.
#[rstest]
#[case::first(0.0)]
#[case::last(0.999)]
fn whoever_hears_nothing_reads_within_the_bound(#[case] share: f64) {
    let mut reading = ReadSchedule::new(ReadTiming::within(BOUND));
    reading.confirmed(Duration::ZERO);
    let mut now = Duration::ZERO;

    while let ReadAction::Wait(wait) = reading.next_action(now, false, share, 0) {
        now += wait;
    }

    assert!(now <= BOUND * 3 / 4, "read after {now:?}");
}

/// Calls of one balancer in 20 s of a store that is away, while so many others don't see it either.
fn calls(blind: usize) -> usize {
    let mut reading = ReadSchedule::new(ReadTiming::within(BOUND));
    let (mut now, mut calls) = (Duration::ZERO, 0);
    while now < Duration::from_secs(20) {
        match reading.next_action(now, false, 0.5, blind) {
            ReadAction::Wait(wait) => now += wait,
            ReadAction::Watch | ReadAction::Poll => {
                calls += 1;
                reading.failed(now);
            }
        }
    }
    calls
}

/// The store is down for long, and each of 61 balancers asks it. What is refused counts as well, and
/// would run over the store just when it comes back: the fleet as a whole must not ask more often the
/// larger it is.
#[test]
fn a_store_that_is_away_is_asked_as_often_by_sixty_balancers_as_by_eight() {
    let (few, many) = (9 * calls(8), 61 * calls(60));

    assert!(
        (150..=250).contains(&few),
        "{few} calls of 9 balancers in 20 s"
    );
    assert!(many < few * 2, "{many} calls of 61 balancers, {few} of 9");
}

/// A balancer that a peer has just told is as well informed as the peer, and has no reason to read.
#[test]
fn a_peer_s_word_takes_the_place_of_a_reading() {
    let mut reading = ReadSchedule::new(ReadTiming::within(BOUND));
    for second in 0..30 {
        let now = Duration::from_secs(second);
        reading.confirmed(now);

        assert!(matches!(
            reading.next_action(now, false, 0.0, 0),
            ReadAction::Wait(_)
        ));
    }
}

/// Three balancers of each data centre examine a server for the others, whatever the fleet's size. If
/// nobody did, or everybody, nobody would hear of it or the server would drown in connections.
#[rstest]
#[case::today(9, 3)]
#[case::grown(73, 3)]
#[case::fewer(2, 1)]
fn as_many_are_chosen_in_each_data_centre_for_each_key(#[case] count: u8, #[case] chosen: usize) {
    let fleet = fleet(count, &["a", "b", "c"]);
    for key in 0..100 {
        for centre in ["a", "b"] {
            let near = fleet.iter().filter(|own| &*own.data_centre == centre);
            let few = near.filter(|own| is_chosen(own, &list(own, &fleet), key, 3));
            assert_eq!(few.count(), chosen);
        }
    }
}

/// Each key has its own examiners: none may carry the work of all.
#[test]
fn the_chosen_of_many_keys_are_spread_over_all() {
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
