use std::sync::Arc;

use crate::fixture::cases;
use acacia_config::document::{Document, Id};
use acacia_rollout::{Action, Event, Rollout, Version};
use proptest::prelude::*;

use crate::fixture::{answer, document, ms, peer, rollout};

fn version(revision: u64) -> Option<Version> {
    Some(Version::of(&document(revision)))
}

fn heard(peer: u16, revision: u64) -> Event {
    let version = version(revision);
    Event::Heartbeat { peer, version }
}

fn fetched(peer: u16, revision: u64) -> Event {
    let document = Some(document(revision));
    Event::Fetched { peer, document }
}

fn fetches(actions: &[Action]) -> Vec<u16> {
    let fetch = |action: &Action| match action {
        Action::Fetch { peer } => Some(*peer),
        _ => None,
    };
    actions.iter().filter_map(fetch).collect()
}

/// A ready balancer with a revision in force.
fn serving(revision: u64) -> Rollout {
    let mut core = rollout(9, "hervanta");
    core.step(
        ms(0),
        Event::View(vec![peer(1, "hervanta"), peer(2, "lielahti")]),
    );
    core.step(ms(10), Event::WatchEnded(Some(answer(revision))));
    core.step(ms(1500), Event::Tick);
    core
}

proptest! {
    #![proptest_config(cases(256))]

    /// A restored store, replayed answers, lagging peers and a paused writer all offer older
    /// documents, in any order. The version in force must never decrease.
    #[test]
    fn the_version_in_force_never_decreases(
        offers in prop::collection::vec((1_u64..12, 0_u8..3), 1..60),
    ) {
        let mut core = rollout(1, "hervanta");
        let (mut now, mut highest) = (ms(0), 0);
        for (revision, source) in offers {
            now += ms(50);
            match source {
                0 => drop(core.step(now, Event::WatchEnded(Some(answer(revision))))),
                1 => drop(core.step(now, fetched(2, revision))),
                _ => {
                    core.step(now, heard(2, revision));
                    continue;
                }
            }
            highest = highest.max(revision);
            prop_assert_eq!(core.version(), version(highest));
        }
    }
}

/// A balancer starts while the store returns an older value than a peer already has in force. If it
/// used the store's value, new clients would reach a server that was drained.
#[test]
fn a_starting_balancer_serves_the_highest_version_of_store_and_peers() {
    let mut core = rollout(9, "hervanta");
    core.step(ms(0), Event::View(vec![peer(1, "hervanta")]));
    core.step(ms(10), Event::WatchEnded(Some(answer(4))));
    let announced = core.step(ms(500), heard(1, 5));
    let waiting = core.step(ms(1200), Event::Tick);
    let after = core.step(ms(1300), fetched(1, 5));
    assert_eq!(fetches(&announced), [1]);
    assert!(!waiting.contains(&Action::Ready));
    assert!(after.contains(&Action::Ready));
    assert_eq!(core.version(), version(5));
}

/// The store is down when a balancer starts. The balancer must serve with its peers' version.
#[test]
fn a_starting_balancer_serves_its_peers_version_without_the_store() {
    let mut core = rollout(9, "hervanta");
    core.step(ms(0), Event::View(vec![peer(1, "lielahti")]));
    core.step(ms(400), heard(1, 5));
    core.step(ms(500), fetched(1, 5));
    let before = core.step(ms(2900), Event::Tick);
    let after = core.step(ms(3000), Event::Tick);
    assert!(
        !before.contains(&Action::Ready),
        "the store may still answer"
    );
    assert!(after.contains(&Action::Ready));
}

/// A balancer that got a configuration neither from the store nor from peers must not serve,
/// however long it waits.
#[test]
fn a_starting_balancer_without_a_configuration_never_serves() {
    let mut core = rollout(9, "hervanta");
    core.step(ms(10), Event::WatchEnded(None));
    let late = core.step(ms(60_000), Event::Tick);
    assert!(!late.contains(&Action::Ready));
}

/// A peer that announced the newest document fails, or does not answer. Another peer that has the
/// document must be asked.
#[test]
fn another_peer_is_asked_after_a_timeout() {
    let mut core = serving(1);
    core.step(
        ms(2000),
        Event::View(vec![peer(1, "hervanta"), peer(2, "hervanta")]),
    );
    core.step(ms(2000), heard(1, 1));
    let first = fetches(&core.step(ms(2100), heard(2, 2)));
    core.step(ms(2200), heard(1, 2));
    let early = fetches(&core.step(ms(2900), Event::Tick));
    let second = fetches(&core.step(ms(3100), Event::Tick));
    assert_eq!((first, early, second), (vec![2], vec![], vec![1]));
}

/// The only peer that has the newest version always refuses immediately. It must not be asked in a
/// loop.
#[test]
fn a_refusing_peer_is_asked_a_few_times_a_second_at_most() {
    let mut core = serving(1);
    let mut asked = core.step(ms(2000), heard(1, 2));
    for step in 1..=1000 {
        let refusal = Event::Fetched {
            peer: 1,
            document: None,
        };
        asked.extend(core.step(ms(2000 + step), refusal));
    }
    let asked = fetches(&asked).len();
    assert!((2..=5).contains(&asked), "{asked}");
}

/// Links between data centres are slower and shared, so a document must only be fetched over them
/// if no peer of the same data centre has it.
#[test]
fn a_peer_in_the_same_data_centre_is_asked_first() {
    for id in 10..30 {
        let mut core = rollout(id, "hervanta");
        let view = vec![
            peer(1, "lielahti"),
            peer(2, "hervanta"),
            peer(3, "lielahti"),
        ];
        core.step(ms(0), Event::View(view));
        core.step(ms(100), heard(1, 2));
        core.step(ms(200), heard(2, 2));
        core.step(ms(200), heard(3, 2));
        let next = fetches(&core.step(ms(1200), Event::Tick));
        assert_eq!(next, [2]);
    }
}

/// A later release wrote a document that this one can't decode. The configuration in force must
/// stay, and the document must be reported once and not be fetched again.
#[test]
fn an_undecodable_document_is_rejected_once() {
    let mut core = serving(1);
    let undecodable = Arc::new(Document {
        text: "[galaxy live]\nshape = spiral\n".into(),
        ..(*document(2)).clone()
    });
    core.step(ms(2000), heard(1, 2));
    let offer = || Event::Fetched {
        peer: 1,
        document: Some(undecodable.clone()),
    };
    let first = core.step(ms(2100), offer());
    let again = core.step(ms(4000), offer());
    let later = core.step(ms(6000), heard(1, 2));
    assert_eq!(first, [Action::Reject(Version::of(&undecodable))]);
    assert_eq!((again, later), (vec![], vec![]));
    assert_eq!(core.version(), version(1));
}

/// With a restored store, two operators can create documents with the same revision. All balancers
/// must end with the same document, whichever of them they receive first.
#[test]
fn balancers_agree_on_one_of_two_documents_with_the_same_revision() {
    let conflicting = Arc::new(Document {
        change: Id::new(u128::MAX),
        ..(*document(3)).clone()
    });
    let orders = [
        [document(3), conflicting.clone()],
        [conflicting.clone(), document(3)],
    ];
    let ends = orders.map(|order| {
        let mut core = rollout(1, "hervanta");
        for document in order {
            core.step(
                ms(10),
                Event::Fetched {
                    peer: 2,
                    document: Some(document),
                },
            );
        }
        core.version()
    });
    assert_eq!(ends, [Some(Version::of(&conflicting)); 2]);
}

/// A heartbeat of a dead peer arrives late. Its version can't be fetched any more, and waiting for
/// it would keep a balancer that has just started from ever serving.
#[test]
fn a_late_heartbeat_of_a_dead_peer_is_ignored() {
    let mut core = rollout(9, "hervanta");
    core.step(ms(0), Event::View(vec![peer(1, "hervanta")]));
    core.step(ms(10), Event::WatchEnded(Some(answer(4))));
    core.step(ms(500), Event::View(vec![]));
    let late = core.step(ms(600), heard(1, 9));
    let after = core.step(ms(1200), Event::Tick);
    assert!(fetches(&late).is_empty());
    assert!(after.contains(&Action::Ready));
}

/// Two peers have the change, and one of them refuses. Asking that one again would delay the change
/// for as long as it refuses.
#[test]
fn another_peer_is_asked_after_a_refusal() {
    for id in 10..30 {
        let mut core = rollout(id, "hervanta");
        core.step(
            ms(0),
            Event::View(vec![peer(1, "hervanta"), peer(2, "hervanta")]),
        );
        core.step(ms(100), heard(1, 2));
        core.step(ms(101), heard(2, 2));
        let refusal = Event::Fetched {
            peer: 1,
            document: None,
        };
        core.step(ms(110), refusal);
        let next = fetches(&core.step(ms(400), Event::Tick));
        assert_eq!(next, [2]);
    }
}

/// A peer announces a newer version than it returns, for instance in a replayed heartbeat. The
/// version that it returns must count, until it announces another one.
#[test]
fn a_peer_that_returns_less_than_it_announced_is_not_asked_again() {
    let mut core = serving(1);
    let asked = fetches(&core.step(ms(2000), heard(1, 3)));
    core.step(ms(2100), fetched(1, 1));
    let later = fetches(&core.step(ms(9000), Event::Tick));
    let announced_again = fetches(&core.step(ms(9100), heard(1, 3)));
    assert_eq!((asked, later, announced_again), (vec![1], vec![], vec![1]));
}

/// The revisions above which the watches in some actions wait.
fn watches(actions: &[Action]) -> Vec<u64> {
    let watch = |action: &Action| match action {
        Action::Watch { above } => Some(*above),
        _ => None,
    };
    actions.iter().filter_map(watch).collect()
}

/// The store was restored from a backup and continues to count revisions from there. A watch for a
/// revision above the old ones would report no change until the store reaches them again.
#[test]
fn a_watch_waits_above_the_revision_of_a_restored_store() {
    let mut core = serving(7);
    let restored = core.step(ms(2000), Event::WatchEnded(Some(answer(3))));
    assert_eq!(watches(&restored), [3]);
    assert_eq!(core.version(), version(7));
}

/// The process was stopped during a watch, or the answer was lost within it. Without a timeout, it
/// would wait for that answer forever.
#[test]
fn a_watch_without_a_result_is_started_again() {
    let mut core = serving(1);
    let waiting = watches(&core.step(ms(9_000), Event::Tick));
    let again = watches(&core.step(ms(10_010), Event::Tick));
    assert_eq!((waiting, again), (vec![], vec![1]));
}

/// The store refuses every watch immediately. If the watchers retried without a backoff, they would
/// keep it overloaded; with too long a backoff, they would notice its recovery late.
#[test]
fn watches_back_off_while_the_store_refuses_them() {
    let mut core = serving(1);
    let mut started = Vec::new();
    for at in 2_000..62_000 {
        let actions = match started.last() {
            Some(last) if at - last == 1 => core.step(ms(at), Event::WatchEnded(None)),
            None => core.step(ms(at), Event::WatchEnded(None)),
            Some(_) => core.step(ms(at), Event::Tick),
        };
        if !watches(&actions).is_empty() {
            started.push(at);
        }
    }
    let longest = started.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!((15..60).contains(&started.len()), "{}", started.len());
    assert!(longest <= Some(4_001), "{longest:?}");
}
