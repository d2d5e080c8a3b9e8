use std::sync::Arc;

use acacia_catalog::{Change, spread};
use acacia_cookie::silence::Finding;
use rstest::rstest;

use super::fixture::{Fleet, config, ms, removed, server, settings};

fn all(fleet: &Fleet, version: u64) -> Vec<Option<u64>> {
    vec![Some(version); fleet.cores.len() - fleet.lost.len()]
}

/// Lists of members are kept by gossip. Where a balancer is missing on another's list, news may pass
/// by a data centre, and its balancers turn to the store.
#[rstest]
#[case::today(9, &["a", "b", "c"])]
#[case::grown(61, &["a", "b", "c", "d"])]
#[case::large(195, &["a", "b", "c", "d", "e"])]
fn next_to_no_balancer_is_missing_on_another_s_list(#[case] count: u8, #[case] centres: &[&str]) {
    let mut fleet = Fleet::new(count, centres);
    let others = usize::from(count) - 1;
    let (mut missing, mut pairs) = (0, 0);
    for _ in 0..40 {
        fleet.rounds(1);
        missing += fleet
            .cores
            .values()
            .map(|core| others - core.peers().len())
            .sum::<usize>();
        pairs += fleet.cores.len() * others;
    }

    assert!(missing * 2_000 < pairs, "{missing} of {pairs}");
}

/// Balancers go on naming one that has died to others that have dropped it, and it never leaves their
/// lists: news go to nobody, and nobody reads the store in its place.
#[rstest]
#[case::today(9, &["a", "b", "c"])]
#[case::large(195, &["a", "b", "c", "d", "e"])]
fn a_dead_balancer_leaves_all_lists_for_good(#[case] count: u8, #[case] centres: &[&str]) {
    let mut fleet = Fleet::new(count, centres);
    let dead = fleet.first();
    fleet.lost.push(dead);

    // A last word may be under way for as long as an expiry takes, and again to whoever missed it.
    fleet.rounds(36);
    for _ in 0..24 {
        fleet.rounds(1);
        let living = fleet.cores.iter().filter(|(address, _)| **address != dead);
        let named = living.filter(|(_, core)| core.peers().get(dead).is_some());
        assert_eq!(named.count(), 0);
    }
}

/// An operator adds a route. The store tells one balancer; all others must have it in force at once
/// and without a call, or the store's calls grow with the fleet.
#[rstest]
#[case::today(9, &["a", "b", "c"])]
#[case::grown(61, &["a", "b", "c", "d"])]
fn what_one_balancer_reads_all_have_at_once(#[case] count: u8, #[case] centres: &[&str]) {
    let mut fleet = Fleet::new(count, centres);
    let first = fleet.first();
    fleet.tell(first, vec![config(5, 3), server("i-1", 4)], 5);

    fleet.tell(first, vec![config(6, 4)], 6);

    assert_eq!(fleet.versions(), all(&fleet, 6));
}

/// A configuration grows by hundreds of routes. Were it fetched from the reader and one relay by
/// everybody, their links would be full for a second and callers' packets late.
#[test]
fn a_large_configuration_is_fetched_from_many() {
    let mut fleet = Fleet::new(61, &["a", "b", "c", "d"]);
    let first = fleet.first();
    fleet.tell(first, vec![config(5, 3)], 5);
    fleet.fetched.clear();

    fleet.tell(first, vec![config(6, 400)], 6);

    assert_eq!(fleet.versions(), all(&fleet, 6));
    // Three of the own data centre and a relay of each other.
    let most = fleet.fetched.values().max().copied().unwrap_or(0);
    assert!(most <= 6, "one was asked {most} times: {:?}", fleet.fetched);
}

/// The store is away while a balancer starts. It must learn all from its peers, or its callers are
/// served by nobody until the store is back.
#[test]
fn a_balancer_that_starts_while_the_store_is_away_learns_all_from_peers() {
    let mut fleet = Fleet::new(9, &["a", "b", "c"]);
    let first = fleet.first();
    fleet.tell(first, vec![config(5, 3), server("i-1", 4)], 5);

    let new = fleet.join(20, "b");
    fleet.rounds(1);

    let core = &fleet.cores[&new];
    assert!(core.is_informed());
    assert_eq!((core.version(), core.revision()), (Some(5), 5));
}

/// The store is away, and most balancers that one which starts has heard of are paused. It must not
/// depend on chance when it learns all from one that lives, or its callers are served by nobody.
#[test]
fn a_balancer_that_starts_among_paused_ones_learns_all_from_one_that_lives() {
    let mut fleet = Fleet::new(61, &["a", "b", "c"]);
    let first = fleet.first();
    fleet.tell(first, vec![config(5, 3)], 5);
    let new = fleet.join(200, "b");
    let now = fleet.now;
    let asked = fleet.cores.get_mut(&new).expect("a balancer").gossip(now);
    fleet.deliver(asked);
    let others = fleet.cores.keys().copied();
    fleet.lost = others.filter(|one| ![first, new].contains(one)).collect();

    fleet.rounds(1);

    assert!(fleet.cores[&new].is_informed());
}

/// A whole fleet starts at once and hears from the same seeds that they know more. While the store
/// answers everybody in milliseconds, nobody may fetch the whole catalog from a seed; where it doesn't,
/// everybody must.
#[test]
fn a_balancer_that_starts_gives_the_store_a_moment_before_it_asks_a_peer() {
    let mut fleet = Fleet::new(3, &["a"]);
    let first = fleet.first();
    fleet.tell(first, vec![config(5, 3)], 5);
    let new = fleet.join(20, "a");
    let now = fleet.now;
    let word = fleet
        .cores
        .get_mut(&first)
        .expect("a balancer")
        .gossip(now)
        .remove(0)
        .message;

    let core = fleet.cores.get_mut(&new).expect("a balancer");
    let early = core.receive(word.clone(), now + ms(50));
    let late = core.receive(word.clone(), now + ms(300));

    assert!(!early.fetch);
    assert!(late.fetch);
}

/// A balancer is cut off while the configuration changes several times, and comes back among peers
/// that send each other only the steps.
#[test]
fn a_balancer_that_missed_changes_catches_up() {
    let mut fleet = Fleet::new(9, &["a", "b", "c"]);
    let first = fleet.first();
    fleet.tell(first, vec![config(5, 3)], 5);
    let missed = *fleet.cores.keys().last().expect("a balancer");
    fleet.lost.push(missed);
    for revision in 6..90 {
        fleet.tell(first, vec![config(revision, 3)], revision);
    }

    fleet.lost.clear();
    fleet.rounds(4);

    assert_eq!(fleet.versions(), all(&fleet, 89));
}

/// Servers are replaced for as long as a balancer runs. What it keeps of those that are gone must
/// not grow, nor what it tells a balancer that starts. One that was cut off meanwhile must hear of the
/// removals all the same, or it would send flows to servers that are gone.
#[test]
fn removed_servers_are_forgotten_and_a_balancer_that_was_cut_off_hears_of_them() {
    let mut fleet = Fleet::new(3, &["a"]);
    let first = fleet.first();
    let start = vec![config(5, 3), server("i-0", 3), server("i-1", 4)];
    fleet.tell(first, start, 5);
    let apart = *fleet.cores.keys().last().expect("a balancer");
    fleet.lost.push(apart);
    fleet.tell(first, vec![removed("i-1", 6)], 6);
    for number in 2..200 {
        let revision = 5 + 2 * number;
        let name = format!("i-{number}");
        fleet.tell(first, vec![server(&name, revision)], revision);
        fleet.tell(first, vec![removed(&name, revision + 1)], revision + 1);
    }

    // Longer than the longest life of a flow, twice.
    fleet.rounds(260);
    fleet.lost.clear();
    fleet.rounds(4);

    let now = fleet.now;
    let told = fleet.cores[&first].difference(0, now);
    assert_eq!(told.changes.len(), 2, "{:?}", told.changes);
    let core = fleet.cores.get_mut(&apart).expect("a balancer");
    let (snapshot, _) = core.snapshot(now);
    let names: Vec<&str> = snapshot.pools[0]
        .open
        .iter()
        .map(|position| &*snapshot.servers[*position as usize].id)
        .collect();
    assert_eq!(names, ["i-0"]);
}

/// A message with an older configuration was held up on its way. It must not bring the old one back
/// in force.
#[test]
fn a_late_message_reverts_nothing() {
    let mut fleet = Fleet::new(3, &["a"]);
    let first = fleet.first();
    fleet.tell(first, vec![config(5, 3)], 5);
    let now = fleet.now;
    let late = fleet.cores.get_mut(&first).expect("a balancer").gossip(now);
    fleet.tell(first, vec![config(6, 3)], 6);

    fleet.deliver(late);
    let stale = fleet.cores[&first].difference(0, now);
    let other = *fleet.cores.keys().nth(1).expect("another");
    let core = fleet.cores.get_mut(&other).expect("a balancer");
    core.apply_store_changes(vec![config(5, 9)], 5, now, now);

    assert_eq!(fleet.versions(), all(&fleet, 6));
    assert!(stale.changes.iter().all(|change| change.revision() <= 6));
}

/// Without changes, one balancer keeps a watch at the store and all others make no call at all.
#[test]
fn one_balancer_watches_and_no_other_calls() {
    let mut fleet = Fleet::new(9, &["a", "b", "c"]);
    let first = fleet.first();
    fleet.tell(first, vec![config(5, 3)], 5);
    let now = fleet.now;

    // All have just heard from the store in the words of the first.
    let turns: Vec<spread::Action> = fleet
        .cores
        .values_mut()
        .map(|core| core.next_store_action(now))
        .collect();

    let calls = turns
        .iter()
        .filter(|turn| !matches!(turn, spread::Action::Wait(_)));
    assert!(calls.count() <= 1, "{turns:?}");
}

/// Each balancer of a fleet that starts at once opens a watch of its own at the store.
#[test]
fn a_fleet_that_starts_at_once_opens_next_to_no_watch() {
    let mut fleet = Fleet::new(0, &["a"]);
    for number in 1..=195 {
        fleet.join(number, ["a", "b", "c", "d", "e"][usize::from(number) % 5]);
    }
    let (now, change) = (fleet.now, config(5, 3));
    let mut watches = 0;

    for core in fleet.cores.values_mut() {
        core.apply_full_read(vec![change.clone()], 5, now, now);
    }
    for _ in 0..4 {
        let now = fleet.now;
        let turns = fleet
            .cores
            .values_mut()
            .map(|core| core.next_store_action(now));
        watches += turns.filter(|turn| *turn == spread::Action::Watch).count();
        fleet.rounds(1);
    }

    assert!(watches <= 20, "{watches} watches of 195 balancers");
}

/// A whole fleet starts at once with a reading that is seconds old. Each member that then calls the store
/// again is a call, and one that doesn't learn what it missed reverts an accepted change.
#[test]
fn a_fleet_that_starts_with_an_old_reading_learns_the_rest_from_one() {
    let mut fleet = Fleet::new(0, &["a"]);
    for number in 1..=195 {
        fleet.join(number, ["a", "b", "c", "d", "e"][usize::from(number) % 5]);
    }
    let start = fleet.now;
    for core in fleet.cores.values_mut() {
        core.prime(vec![config(5, 3)], 5, start);
        assert!(core.is_informed());
    }

    let mut calls = 0;
    for _ in 0..6 {
        let now = fleet.now;
        let callers: Vec<_> = fleet
            .cores
            .iter_mut()
            .filter_map(|(address, core)| match core.next_store_action(now) {
                spread::Action::Wait(_) => None,
                spread::Action::Watch | spread::Action::Poll => Some(*address),
            })
            .collect();
        calls += callers.len();
        for caller in callers {
            fleet.tell(caller, vec![config(6, 4)], 6);
        }
        fleet.rounds(1);
    }

    assert_eq!(fleet.versions(), all(&fleet, 6));
    assert!(calls <= 20, "{calls} calls of 195 balancers");
}

/// The store answers the first reading of a balancer that reaches no peer, and then nobody confirms it.
#[test]
fn a_first_reading_that_nobody_confirms_is_read_again() {
    let mut core = acacia_node::cookie::core::Core::new(&settings(3, "a"), 1, ms(0));
    core.prime(vec![config(5, 3)], 5, ms(0));

    let early = core.next_store_action(ms(900));
    let late = core.next_store_action(ms(2_200));

    assert!(matches!(early, spread::Action::Wait(_)));
    assert_eq!(late, spread::Action::Poll);
}

/// A balancer without peers never watches the store, and its callers miss every change.
#[test]
fn a_balancer_alone_reads_for_itself() {
    let mut fleet = Fleet::new(1, &["a"]);
    let first = fleet.first();
    fleet.tell(first, vec![config(5, 3)], 5);

    let now = fleet.now;
    let turn = fleet
        .cores
        .get_mut(&first)
        .expect("a balancer")
        .next_store_action(now);

    assert_eq!(turn, spread::Action::Watch);
}

/// The reader dies. A change that the store accepts at that moment must be in force within the
/// bound of three seconds, so others must have turned to the store by then.
#[test]
fn when_the_reader_dies_another_reads_within_the_bound() {
    let mut fleet = Fleet::new(9, &["a", "b", "c"]);
    let reader = fleet.first();
    fleet.tell(reader, vec![config(5, 3)], 5);
    fleet.lost.push(reader);
    let start = fleet.now;

    let mut read = Vec::new();
    for (address, core) in fleet
        .cores
        .iter_mut()
        .filter(|(address, _)| **address != reader)
    {
        let mut now = start;
        while let spread::Action::Wait(wait) = core.next_store_action(now) {
            now += wait;
        }
        read.push((*address, now - start));
    }

    let last = read.iter().map(|(_, after)| *after).max().expect("others");
    assert!(last < ms(2_200), "{read:?}");
}

/// A cut puts the servers of a data centre out of reach. The first that is found silent must bring
/// the others under examination at once: each would else cost its callers an unanswered packet.
#[test]
fn the_neighbours_of_a_silent_server_are_examined() {
    let settings = settings(1, "a");
    let mut core = acacia_node::cookie::core::Core::new(&settings, 1, ms(0));
    let servers: Vec<Change> = (1..=5)
        .map(|number| server(&format!("i-{number}"), number))
        .collect();
    core.apply_full_read(servers, 9, ms(0), ms(0));
    core.snapshot(ms(0));
    core.record_unanswered(&"i-1".into(), ms(10));
    let (examination, _) = core.examination(ms(10));
    assert_eq!(examination.targets.len(), 1);
    assert!(examination.control.is_some());

    let outcome = core.record_findings(vec![("i-1".into(), Finding::Silent)], ms(100));

    assert!(outcome.examine && outcome.changed);
    let (examination, _) = core.examination(ms(100));
    let examined: Vec<&str> = examination
        .targets
        .iter()
        .map(|target| &*target.server)
        .collect();
    assert_eq!(examined, ["i-2", "i-3", "i-4", "i-5"]);
}

/// A server of a large fleet dies. Were all its neighbours examined by every balancer, they would get
/// more connections from balancers than from callers. Three of each data centre examine each, and a
/// balancer of a small data centre examines all.
#[test]
fn a_balancer_of_a_large_fleet_examines_few_neighbours() {
    let mut fleet = Fleet::new(60, &["a", "b", "c"]);
    let servers: Vec<Change> = (1..=40)
        .map(|number| server(&format!("i-{number}"), number))
        .collect();
    let now = fleet.now;
    let mut examined = 0;
    for core in fleet.cores.values_mut() {
        core.apply_full_read(servers.clone(), 99, now, now);
        core.snapshot(now);
        core.record_unanswered(&"i-1".into(), now);
        core.examination(now);
        core.record_findings(vec![("i-1".into(), Finding::Silent)], now + ms(100));
        examined += core.examination(now + ms(100)).0.targets.len();
    }

    // Three in each of three data centres for each of 39 neighbours.
    assert_eq!(examined, 39 * 9);
}

/// A cut takes more servers than one message names. Each must be told to the data centre at once: the
/// others' callers wait for nothing at those that are left out.
#[test]
fn all_servers_that_fell_silent_together_are_told() {
    let settings = settings(1, "a");
    let mut core = acacia_node::cookie::core::Core::new(&settings, 1, ms(0));
    let ids: Vec<Arc<str>> = (1..=50)
        .map(|number| format!("i-{number}").into())
        .collect();
    let servers = ids.iter().zip(1..).map(|(id, number)| server(id, number));
    core.apply_full_read(servers.collect(), 60, ms(0), ms(0));
    core.snapshot(ms(0));
    for id in &ids {
        core.record_unanswered(id, ms(10));
    }
    core.examination(ms(10));
    let findings = ids.iter().map(|id| (Arc::clone(id), Finding::Silent));

    let outcome = core.record_findings(findings.collect(), ms(100));

    let told = outcome
        .outgoing
        .iter()
        .flat_map(|outgoing| &outgoing.message.silent);
    assert_eq!(told.count(), 50);
    assert!(
        outcome
            .outgoing
            .iter()
            .all(|outgoing| outgoing.message.silent.len() <= 20)
    );
}

/// A step of the configuration was missed, so that the next one doesn't fit what is in force. It must
/// not be applied, and the whole must be asked for.
#[test]
fn a_step_that_does_not_fit_makes_the_balancer_ask_for_the_whole() {
    let mut fleet = Fleet::new(2, &["a"]);
    let (one, other) = (fleet.first(), *fleet.cores.keys().last().expect("two"));
    fleet.tell(one, vec![config(5, 3)], 5);
    // The other one reads a configuration that the first never sees.
    let now = fleet.now;
    let core = fleet.cores.get_mut(&other).expect("a balancer");
    core.apply_store_changes(vec![config(6, 50)], 6, now, now);

    fleet.tell(one, vec![config(7, 3)], 7);
    fleet.rounds(2);

    assert_eq!(fleet.versions(), [Some(7), Some(7)]);
    assert!(!fleet.cores[&other].difference(0, now).changes.is_empty());
}
