use std::sync::Arc;

use acacia_catalog::{Change, spread};
use acacia_cookie::silence::Finding;
use rstest::rstest;

use super::fixture::{Fleet, config, ms, removed, server, settings};

fn all(fleet: &Fleet, version: u64) -> Vec<Option<u64>> {
    vec![Some(version); fleet.cores.len() - fleet.unreachable.len()]
}

/// If balancers were missing from each other's lists, changes could miss a part of a data centre, or a
/// whole one, and those who miss them would read the store themselves.
#[rstest]
#[case::today(9, &["a", "b", "c"])]
#[case::grown(61, &["a", "b", "c", "d"])]
#[case::large(195, &["a", "b", "c", "d", "e"])]
fn a_balancer_knows_its_data_centre_and_representatives_of_the_others(
    #[case] count: u8,
    #[case] centres: &[&str],
) {
    let mut fleet = Fleet::new(count, centres);
    let sizes: Vec<usize> = centres
        .iter()
        .map(|centre| {
            let cores = fleet.cores.values();
            cores
                .filter(|core| &*core.own().data_centre == *centre)
                .count()
        })
        .collect();
    for _ in 0..40 {
        fleet.rounds(1);
        for core in fleet.cores.values() {
            for (centre, size) in centres.iter().zip(&sizes) {
                let known = core.peers().of(centre).count();
                let wanted = match &*core.own().data_centre == *centre {
                    true => size - 1,
                    false => (*size).min(3),
                };
                assert_eq!(known, wanted, "{centre} at {}", core.own().address);
            }
        }
    }
}

/// If balancers kept gossiping about a dead one to others that have dropped it, it would never
/// leave their lists: changes would be sent to it in vain, and no other balancer would replace it
/// as reader.
#[rstest]
#[case::today(9, &["a", "b", "c"])]
#[case::large(195, &["a", "b", "c", "d", "e"])]
fn a_dead_balancer_leaves_all_lists_for_good(#[case] count: u8, #[case] centres: &[&str]) {
    let mut fleet = Fleet::new(count, centres);
    let dead = fleet.first();
    fleet.unreachable.push(dead);

    // Its last heartbeat may circulate for as long as an expiry takes, and once more among
    // balancers that missed it.
    fleet.rounds(36);
    for _ in 0..24 {
        fleet.rounds(1);
        let living = fleet.cores.iter().filter(|(address, _)| **address != dead);
        let named = living.filter(|(_, core)| core.peers().get(dead).is_some());
        assert_eq!(named.count(), 0);
    }
}

/// An operator adds a route, and one balancer reads it from the store. If the others didn't get it
/// from that balancer at once, calls to the store would grow with the fleet.
#[rstest]
#[case::today(9, &["a", "b", "c"])]
#[case::grown(61, &["a", "b", "c", "d"])]
fn a_change_read_by_one_balancer_reaches_all_at_once(#[case] count: u8, #[case] centres: &[&str]) {
    let mut fleet = Fleet::new(count, centres);
    let first = fleet.first();
    fleet.apply_from_store(first, vec![config(5, 3), server("i-1", 4)], 5);

    fleet.apply_from_store(first, vec![config(6, 4)], 6);

    assert_eq!(fleet.versions(), all(&fleet, 6));
}

/// A configuration grows by hundreds of routes. If all balancers fetched it from the reader and one
/// relay, these links would be saturated for a second, and callers' packets delayed.
#[test]
fn a_large_configuration_is_fetched_from_many() {
    let mut fleet = Fleet::new(61, &["a", "b", "c", "d"]);
    let first = fleet.first();
    fleet.apply_from_store(first, vec![config(5, 3)], 5);
    fleet.fetched.clear();

    fleet.apply_from_store(first, vec![config(6, 400)], 6);

    assert_eq!(fleet.versions(), all(&fleet, 6));
    // Three balancers of its own data centre, and one relay in each of the others.
    let most = fleet.fetched.values().max().copied().unwrap_or(0);
    assert!(most <= 6, "one was asked {most} times: {:?}", fleet.fetched);
}

/// A balancer that starts while the store is unavailable must get the full state from its peers.
/// Otherwise it couldn't serve callers until the store is available again.
#[test]
fn a_balancer_that_starts_without_the_store_gets_the_full_state_from_peers() {
    let mut fleet = Fleet::new(9, &["a", "b", "c"]);
    let first = fleet.first();
    fleet.apply_from_store(first, vec![config(5, 3), server("i-1", 4)], 5);

    let new = fleet.join(20, "b");
    fleet.rounds(1);

    let core = &fleet.cores[&new];
    assert!(core.is_informed());
    assert_eq!((core.version(), core.revision()), (Some(5), 5));
}

/// A balancer starts while the store is unavailable and most peers that it knows are paused. How
/// soon it gets the state from the running peer must not depend on random gossip, as it can't serve
/// callers before.
#[test]
fn a_balancer_that_starts_among_paused_peers_gets_the_state_from_the_running_one() {
    let mut fleet = Fleet::new(61, &["a", "b", "c"]);
    let first = fleet.first();
    fleet.apply_from_store(first, vec![config(5, 3)], 5);
    let new = fleet.join(200, "b");
    let now = fleet.now;
    let asked = fleet.cores.get_mut(&new).expect("a balancer").gossip(now);
    fleet.deliver(asked);
    let others = fleet.cores.keys().copied();
    fleet.unreachable = others.filter(|one| ![first, new].contains(one)).collect();

    fleet.rounds(1);

    assert!(fleet.cores[&new].is_informed());
}

/// A whole fleet starts at once, and the same seeds announce a later revision to all. As long as
/// the store may answer, no balancer may fetch the full catalog from a seed, which would overload
/// the seeds; after the grace period, all must.
#[test]
fn a_balancer_that_starts_waits_for_the_store_before_it_fetches_from_a_peer() {
    let mut fleet = Fleet::new(3, &["a"]);
    let first = fleet.first();
    fleet.apply_from_store(first, vec![config(5, 3)], 5);
    let new = fleet.join(20, "a");
    let now = fleet.now;
    let announcement = fleet
        .cores
        .get_mut(&first)
        .expect("a balancer")
        .gossip(now)
        .remove(0)
        .message;

    let core = fleet.cores.get_mut(&new).expect("a balancer");
    let early = core.receive(announcement.clone(), now + ms(50));
    let late = core.receive(announcement.clone(), now + ms(300));

    assert!(!early.fetch);
    assert!(late.fetch);
}

/// A balancer is cut off while the configuration changes several times. Back among peers that send
/// each other only patches, it must fetch what it missed.
#[test]
fn a_balancer_that_missed_changes_catches_up() {
    let mut fleet = Fleet::new(9, &["a", "b", "c"]);
    let first = fleet.first();
    fleet.apply_from_store(first, vec![config(5, 3)], 5);
    let missed = *fleet.cores.keys().last().expect("a balancer");
    fleet.unreachable.push(missed);
    for revision in 6..90 {
        fleet.apply_from_store(first, vec![config(revision, 3)], revision);
    }

    fleet.unreachable.clear();
    fleet.rounds(4);

    assert_eq!(fleet.versions(), all(&fleet, 89));
}

/// Servers are replaced for as long as a balancer runs. Neither the records that it keeps of
/// removed servers nor the state that it sends to a new balancer may grow with that. A balancer
/// that was cut off meanwhile must still get the removals, or it would send flows to servers that
/// no longer exist.
#[test]
fn removals_are_discarded_and_still_reach_a_balancer_that_was_cut_off() {
    let mut fleet = Fleet::new(3, &["a"]);
    let first = fleet.first();
    let start = vec![config(5, 3), server("i-0", 3), server("i-1", 4)];
    fleet.apply_from_store(first, start, 5);
    let cut_off = *fleet.cores.keys().last().expect("a balancer");
    fleet.unreachable.push(cut_off);
    fleet.apply_from_store(first, vec![removed("i-1", 6)], 6);
    for number in 2..200 {
        let revision = 5 + 2 * number;
        let name = format!("i-{number}");
        fleet.apply_from_store(first, vec![server(&name, revision)], revision);
        fleet.apply_from_store(first, vec![removed(&name, revision + 1)], revision + 1);
    }

    // More than twice the maximum lifetime of a flow.
    fleet.rounds(260);
    fleet.unreachable.clear();
    fleet.rounds(4);

    let now = fleet.now;
    let told = fleet.cores[&first].difference(0, now);
    assert_eq!(told.changes.len(), 2, "{:?}", told.changes);
    let core = fleet.cores.get_mut(&cut_off).expect("a balancer");
    let (snapshot, _) = core.snapshot(now);
    let names: Vec<&str> = snapshot.pools[0]
        .open
        .iter()
        .map(|position| &*snapshot.servers[position as usize].id)
        .collect();
    assert_eq!(names, ["i-0"]);
}

/// A delayed message with an older configuration must not replace the current one.
#[test]
fn a_delayed_message_reverts_nothing() {
    let mut fleet = Fleet::new(3, &["a"]);
    let first = fleet.first();
    fleet.apply_from_store(first, vec![config(5, 3)], 5);
    let now = fleet.now;
    let late = fleet.cores.get_mut(&first).expect("a balancer").gossip(now);
    fleet.apply_from_store(first, vec![config(6, 3)], 6);

    fleet.deliver(late);
    let stale = fleet.cores[&first].difference(0, now);
    let other = *fleet.cores.keys().nth(1).expect("another");
    let core = fleet.cores.get_mut(&other).expect("a balancer");
    core.apply_store_changes(vec![config(5, 9)], 5, now, now);

    assert_eq!(fleet.versions(), all(&fleet, 6));
    assert!(stale.changes.iter().all(|change| change.revision() <= 6));
}

/// While nothing changes, one balancer watches the store and the others make no calls.
#[test]
fn one_balancer_watches_the_store_and_the_others_make_no_calls() {
    let mut fleet = Fleet::new(9, &["a", "b", "c"]);
    let first = fleet.first();
    fleet.apply_from_store(first, vec![config(5, 3)], 5);
    let now = fleet.now;

    // The first balancer has just forwarded the store's state to all.
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

/// If balancers that start at once didn't wait for their peers, each would open its own watch.
#[test]
fn a_fleet_that_starts_at_once_opens_few_watches() {
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

/// A whole fleet starts at once with a read that may be seconds old. If members then polled the
/// store again, calls would grow with the fleet; a member that missed a later change would serve an
/// outdated configuration.
#[test]
fn a_fleet_that_starts_with_a_stale_read_catches_up_in_few_calls() {
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
                _ => Some(*address),
            })
            .collect();
        calls += callers.len();
        for caller in callers {
            fleet.apply_from_store(caller, vec![config(6, 4)], 6);
        }
        fleet.rounds(1);
    }

    assert_eq!(fleet.versions(), all(&fleet, 6));
    assert!(calls <= 20, "{calls} calls of 195 balancers");
}

/// A balancer that reaches no peer must poll the store again, as no peer confirms its first read,
/// which may be stale.
#[test]
fn a_first_read_that_no_peer_confirms_is_repeated() {
    let mut core = acacia_node::cookie::core::Core::new(&settings(3, "a"), 1, ms(0));
    core.prime(vec![config(5, 3)], 5, ms(0));

    let early = core.next_store_action(ms(900));
    let late = core.next_store_action(ms(2_200));

    assert!(matches!(early, spread::Action::Wait(_)));
    assert_eq!(late, spread::Action::Poll);
}

/// A balancer without peers must watch the store itself, or its callers would miss every change.
#[test]
fn a_balancer_without_peers_watches_the_store() {
    let mut fleet = Fleet::new(1, &["a"]);
    let first = fleet.first();
    fleet.apply_from_store(first, vec![config(5, 3)], 5);

    let now = fleet.now;
    let turn = fleet
        .cores
        .get_mut(&first)
        .expect("a balancer")
        .next_store_action(now);

    assert_eq!(turn, spread::Action::Watch);
}

/// The reader crashes. A change that the store accepts at that moment must be in force within the
/// bound of three seconds, so the others must read the store early enough.
#[test]
fn when_the_reader_crashes_the_others_read_within_the_bound() {
    let mut fleet = Fleet::new(9, &["a", "b", "c"]);
    let reader = fleet.first();
    fleet.apply_from_store(reader, vec![config(5, 3)], 5);
    fleet.unreachable.push(reader);
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

/// A partition makes the servers of a data centre unreachable. The first one found silent must
/// start the examination of the others at once; otherwise each would first cost a caller an
/// unanswered packet.
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

/// A server crashes in a large fleet. If every balancer examined all servers in its data centre,
/// they would get more connections from balancers than from callers. Three balancers of each data
/// centre examine a sample.
#[test]
fn few_balancers_of_a_large_fleet_examine_a_sample_of_the_neighbours() {
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

    // Three balancers in each of three data centres, 16 servers each.
    assert_eq!(examined, 9 * 16);
}

/// A partition affects more servers than fit into one message. All must be reported to the data
/// centre at once; at those left out, the other balancers' callers would wait in vain.
#[test]
fn all_servers_that_became_silent_together_are_reported() {
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

/// A balancer missed a configuration patch, so that the next one doesn't apply to its version. It
/// must reject that patch and fetch the full state.
#[test]
fn a_patch_that_does_not_apply_makes_the_balancer_fetch_the_full_state() {
    let mut fleet = Fleet::new(2, &["a"]);
    let (one, other) = (fleet.first(), *fleet.cores.keys().last().expect("two"));
    fleet.apply_from_store(one, vec![config(5, 3)], 5);
    // The second balancer reads a configuration that the first one never gets.
    let now = fleet.now;
    let core = fleet.cores.get_mut(&other).expect("a balancer");
    core.apply_store_changes(vec![config(6, 50)], 6, now, now);

    fleet.apply_from_store(one, vec![config(7, 3)], 7);
    fleet.rounds(2);

    assert_eq!(fleet.versions(), [Some(7), Some(7)]);
    assert!(!fleet.cores[&other].difference(0, now).changes.is_empty());
}
