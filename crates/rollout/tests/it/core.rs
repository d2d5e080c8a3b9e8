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

/// A balancer that serves with that revision in force.
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

    /// A store that was restored, replayed answers, peers that lag and a writer that was paused
    /// all offer older documents, in any order. What is in force never goes back.
    #[test]
    fn what_is_in_force_never_goes_back(offers in prop::collection::vec((1_u64..12, 0_u8..3), 1..60)) {
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

/// A balancer starts while the store answers an older value than a peer already has in force.
/// If it served by the store, new callers would reach a server that was drained.
#[test]
fn a_newborn_serves_only_by_the_highest_of_store_and_peers() {
    let mut core = rollout(9, "hervanta");
    core.step(ms(0), Event::View(vec![peer(1, "hervanta")]));
    core.step(ms(10), Event::WatchEnded(Some(answer(4))));
    let told = core.step(ms(500), heard(1, 5));
    let waiting = core.step(ms(1200), Event::Tick);
    let after = core.step(ms(1300), fetched(1, 5));
    assert_eq!(fetches(&told), [1]);
    assert!(!waiting.contains(&Action::Ready));
    assert!(after.contains(&Action::Ready));
    assert_eq!(core.version(), version(5));
}

/// The store is down when a balancer starts. It must serve by what its peers have.
#[test]
fn a_newborn_without_store_serves_by_its_peers() {
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

/// A balancer that has heard neither store nor peers knows nothing, however long it waits.
#[test]
fn a_newborn_that_knows_nothing_never_serves() {
    let mut core = rollout(9, "hervanta");
    core.step(ms(10), Event::WatchEnded(None));
    let late = core.step(ms(60_000), Event::Tick);
    assert!(!late.contains(&Action::Ready));
}

/// A peer dies while it serves the newest document, or answers nothing. Another holder is asked.
#[test]
fn another_holder_is_asked_when_one_does_not_answer() {
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

/// The only holder refuses at once, again and again. It must not be asked in a loop.
#[test]
fn a_refusing_holder_is_asked_a_few_times_a_second_at_most() {
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

/// Links between data centres are slower and shared by all; a document crosses one only if it
/// must.
#[test]
fn a_holder_in_the_same_data_centre_is_asked_first() {
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

/// A later release wrote a document that this one can't understand. It stays with what is in
/// force, says so once, and does not fetch the same again and again.
#[test]
fn a_document_that_is_not_understood_changes_nothing() {
    let mut core = serving(1);
    let strange = Arc::new(Document {
        text: "[galaxy live]\nshape = spiral\n".into(),
        ..(*document(2)).clone()
    });
    core.step(ms(2000), heard(1, 2));
    let offer = || Event::Fetched {
        peer: 1,
        document: Some(strange.clone()),
    };
    let first = core.step(ms(2100), offer());
    let again = core.step(ms(4000), offer());
    let later = core.step(ms(6000), heard(1, 2));
    assert_eq!(first, [Action::Reject(Version::of(&strange))]);
    assert_eq!((again, later), (vec![], vec![]));
    assert_eq!(core.version(), version(1));
}

/// A restored store lets two operators make the same revision. Whichever a balancer hears first,
/// all end with the same one.
#[test]
fn two_documents_of_one_revision_end_the_same_everywhere() {
    let twin = Arc::new(Document {
        change: Id::new(u128::MAX),
        ..(*document(3)).clone()
    });
    let orders = [[document(3), twin.clone()], [twin.clone(), document(3)]];
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
    assert_eq!(ends, [Some(Version::of(&twin)); 2]);
}

/// A peer dies, and a heartbeat of its comes late. What it had can't be fetched any more; waiting
/// for it would keep a newborn from ever serving.
#[test]
fn a_late_heartbeat_of_a_dead_peer_holds_nobody_up() {
    let mut core = rollout(9, "hervanta");
    core.step(ms(0), Event::View(vec![peer(1, "hervanta")]));
    core.step(ms(10), Event::WatchEnded(Some(answer(4))));
    core.step(ms(500), Event::View(vec![]));
    let late = core.step(ms(600), heard(1, 9));
    let after = core.step(ms(1200), Event::Tick);
    assert!(fetches(&late).is_empty());
    assert!(after.contains(&Action::Ready));
}

/// Two peers have the change and one of them refuses. Asking the same again would put the change
/// off for as long as that lasts.
#[test]
fn after_a_refusal_the_other_holder_is_asked() {
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

/// A peer tells a newer version than it gives, say because its heartbeat was forged by a replay.
/// It is taken at what it gives, until it tells anew.
#[test]
fn a_peer_that_gives_less_than_it_tells_is_not_asked_again() {
    let mut core = serving(1);
    let asked = fetches(&core.step(ms(2000), heard(1, 3)));
    core.step(ms(2100), fetched(1, 1));
    let later = fetches(&core.step(ms(9000), Event::Tick));
    let told_again = fetches(&core.step(ms(9100), heard(1, 3)));
    assert_eq!((asked, later, told_again), (vec![1], vec![], vec![1]));
}

/// The revisions for which a watch begins with these actions.
fn watches(actions: &[Action]) -> Vec<u64> {
    let watch = |action: &Action| match action {
        Action::Watch { above } => Some(*above),
        _ => None,
    };
    actions.iter().filter_map(watch).collect()
}

/// The store was restored from a backup and counts its writes from there. A watch for a revision
/// above the old ones would tell of no change until the store has counted up again.
#[test]
fn a_watch_follows_a_restored_store_down() {
    let mut core = serving(7);
    let restored = core.step(ms(2000), Event::WatchEnded(Some(answer(3))));
    assert_eq!(watches(&restored), [3]);
    assert_eq!(core.version(), version(7));
}

/// The process was stopped in the middle of a watch, or the answer got lost inside it. Without a
/// limit it would wait for that answer for good.
#[test]
fn a_watch_without_an_end_is_made_again() {
    let mut core = serving(1);
    let waiting = watches(&core.step(ms(9_000), Event::Tick));
    let again = watches(&core.step(ms(10_010), Event::Tick));
    assert_eq!((waiting, again), (vec![], vec![1]));
}

/// The store refuses every watch at once. All watchers of a fleet would keep it down if they
/// came back without pause, and would miss its return if they paused for long.
#[test]
fn a_refusing_store_is_asked_ever_more_rarely() {
    let mut core = serving(1);
    let mut begun = Vec::new();
    for at in 2_000..62_000 {
        let actions = match begun.last() {
            Some(last) if at - last == 1 => core.step(ms(at), Event::WatchEnded(None)),
            None => core.step(ms(at), Event::WatchEnded(None)),
            Some(_) => core.step(ms(at), Event::Tick),
        };
        if !watches(&actions).is_empty() {
            begun.push(at);
        }
    }
    let longest = begun.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!((15..60).contains(&begun.len()), "{}", begun.len());
    assert!(longest <= Some(4_001), "{longest:?}");
}
