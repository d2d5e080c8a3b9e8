use std::{sync::Arc, time::Duration};

use acacia_catalog::{
    Catalog, Change,
    route::{Config, Front, Objective, Route, Target},
};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixture::{added, config, evacuation, removed};

/// A lagging replica of the store answers a read, or a peer's message is delayed. Applied without a
/// check, it would restore an older configuration, and callers of a route that was just added would be
/// reset.
#[test]
fn an_older_configuration_never_comes_back() {
    let mut catalog = Catalog::default();
    catalog.apply(config(9, 20));

    let changed = catalog.apply(config(8, 19));

    assert!(!changed);
    assert_eq!(catalog.config().map(|item| item.value.version), Some(9));
}

/// The store drops its history while a server is removed, so no event reports the removal. Only the
/// next full read shows that the entry is missing; if that were ignored, new flows would go to a server
/// that is gone.
#[test]
fn a_server_missing_from_a_full_read_is_removed() {
    let mut catalog = Catalog::default();
    catalog.replace(vec![added("a", 3), added("b", 4)], 5);

    let changed = catalog.replace(vec![added("a", 3)], 9);

    assert!(changed);
    assert_eq!(catalog.since(5), [removed("b", 9)]);
}

/// A full read takes several pages and seconds; meanwhile a peer reports a newer server. The read lacks
/// that server, but must not remove it.
#[test]
fn a_full_read_does_not_remove_a_server_of_a_later_revision() {
    let mut catalog = Catalog::default();
    catalog.apply(added("young", 12));

    catalog.replace(vec![added("old", 3)], 9);

    let names: Vec<&str> = catalog
        .servers()
        .filter(|(_, item)| item.value.is_some())
        .map(|(id, _)| &**id)
        .collect();
    assert_eq!(names, ["old", "young"]);
}

fn evacuated(catalog: &Catalog) -> Vec<(&str, u64)> {
    let marks = catalog.evacuations();
    marks
        .map(|(centre, revision)| (&**centre, revision))
        .collect()
}

/// A delayed message about a mark that was removed would evacuate the data centre again.
#[test]
fn a_removed_evacuation_is_not_restored_by_an_older_change() {
    let mut catalog = Catalog::default();
    catalog.apply(evacuation("a", 3, true));
    catalog.apply(evacuation("b", 4, true));
    catalog.apply(evacuation("a", 5, false));

    let changed = catalog.apply(evacuation("a", 3, true));

    assert!(!changed);
    assert_eq!(evacuated(&catalog), [("b", 4)]);
}

/// The store drops its history while one mark is set and another removed, so no event reports either.
#[test]
fn a_full_read_sets_and_removes_evacuation_marks() {
    let mut catalog = Catalog::default();
    catalog.replace(vec![evacuation("a", 3, true)], 5);

    let changed = catalog.replace(vec![evacuation("b", 7, true)], 9);

    assert!(changed);
    assert_eq!(evacuated(&catalog), [("b", 7)]);
    assert_eq!(
        catalog.since(5),
        [evacuation("b", 7, true), evacuation("a", 9, false)]
    );
}

/// A peer that was partitioned sends a mark whose tombstone was dropped here.
#[test]
fn an_evacuation_whose_tombstone_was_dropped_is_not_restored_by_a_peer() {
    let mut catalog = Catalog::default();
    catalog.apply(evacuation("a", 3, true));
    catalog.apply(evacuation("a", 5, false));
    catalog.forget(6);

    let changed = catalog.apply(evacuation("a", 3, true));

    assert!(!changed);
    assert_eq!(evacuated(&catalog), []);
}

#[test]
fn a_full_read_older_than_the_known_revision_changes_nothing() {
    let mut catalog = Catalog::default();
    catalog.replace(vec![added("a", 3), config(1, 2)], 9);

    let changed = catalog.replace(Vec::new(), 8);

    assert!(!changed);
    assert_eq!(catalog.since(0).len(), 2);
}

fn routes(version: u64, names: &[&str]) -> Change {
    let route = |name: &&str| Route {
        name: (*name).into(),
        front: Front {
            address: [198, 18, 0, 1].into(),
            port: 443,
        },
        targets: vec![Target {
            service: "live".into(),
            weight: version as u32,
        }],
        objective: Objective::default(),
    };
    let config = Config {
        version,
        routes: names.iter().map(route).collect(),
        ..Config::default()
    };
    Change::Config {
        revision: version,
        config: Arc::new(config),
    }
}

/// One of hundreds of routes changes. If the whole configuration were sent to every balancer, it would
/// saturate the links of the small balancers that pass it on, and callers' packets would queue behind
/// it.
#[test]
fn peers_are_sent_patches_between_configurations() {
    let mut catalog = Catalog::default();
    catalog.apply(routes(3, &["a", "b"]));
    catalog.apply(routes(4, &["a", "c"]));
    catalog.apply(routes(6, &["c"]));

    let near = catalog.since(4);
    let far = catalog.since(2);

    assert!(
        matches!(&near[..], [Change::Patch { revision: 6, patch }] if patch.base == 4),
        "{near:?}"
    );
    assert!(
        matches!(&far[..], [Change::Config { revision: 6, .. }]),
        "{far:?}"
    );
}

/// A balancer that missed a configuration receives the patch to the one after it. Applied to an older
/// configuration, the patch would leave routes in force that nobody configured.
#[test]
fn a_patch_from_another_configuration_is_refused() {
    let (mut ahead, mut behind) = (Catalog::default(), Catalog::default());
    ahead.apply(routes(3, &["a"]));
    ahead.apply(routes(4, &["b"]));
    ahead.apply(routes(5, &["c"]));
    behind.apply(routes(3, &["a"]));
    let patch = ahead.since(4).remove(0);

    assert!(!behind.can_apply(&patch));
    assert!(!behind.apply(patch));
    assert_eq!(behind.config().map(|item| item.revision), Some(3));
}

#[test]
fn removals_are_sent_to_peers_until_their_tombstones_are_dropped() {
    let mut catalog = Catalog::default();
    catalog.apply(added("a", 3));
    catalog.apply(removed("a", 7));

    let sent = catalog.since(3);
    catalog.forget(7);

    assert_eq!(sent, [removed("a", 7)]);
    assert_eq!(catalog.since(0), []);
}

/// A peer that was partitioned for minutes sends a server that was removed in the meantime, and whose
/// tombstone was dropped here. It must not be restored, or new flows would go to a server that is
/// gone.
#[test]
fn a_server_whose_tombstone_was_dropped_is_not_restored_by_a_peer() {
    let mut catalog = Catalog::default();
    catalog.apply(added("a", 3));
    catalog.apply(removed("a", 7));
    catalog.complete(9);
    catalog.forget(9);

    assert!(!catalog.apply(added("a", 3)));
    assert!(catalog.apply(added("b", 10)));
    assert!(
        catalog.replace(vec![added("c", 4)], 11),
        "a full read of the store takes precedence"
    );
}

fn change() -> impl Strategy<Value = Change> {
    // As in the store, each revision belongs to one change; here it determines the change.
    (0..60u64).prop_map(|revision| match revision % 5 {
        0 => config(revision, revision + 1),
        1 => removed(["a", "b", "c"][revision as usize % 3], revision + 1),
        _ => added(["a", "b", "c"][revision as usize % 3], revision + 1),
    })
}

proptest! {
    /// Messages are reordered and repeated. Balancers that have received the same changes must have the
    /// same state, whatever the order.
    #[test]
    fn the_state_does_not_depend_on_the_order_of_changes(
        changes in prop::collection::vec(change(), 0..40),
        seed in any::<u64>(),
    ) {
        let mut shuffled = changes.clone();
        let mut state = seed | 1;
        for at in (1..shuffled.len()).rev() {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            shuffled.swap(at, (state >> 33) as usize % (at + 1));
        }
        shuffled.extend(changes.iter().take(5).cloned());
        let (mut one, mut other) = (Catalog::default(), Catalog::default());
        for change in changes {
            one.apply(change);
        }
        for change in shuffled {
            other.apply(change);
        }

        prop_assert_eq!(one.since(0), other.since(0));
    }

    /// A balancer that has all changes up to a revision and applies a peer's changes since then must
    /// have the same state as the peer.
    #[test]
    fn the_changes_since_a_revision_bring_a_peer_up_to_date(
        changes in prop::collection::vec(change(), 0..40),
        upto in 0..60u64,
    ) {
        let (mut ahead, mut behind) = (Catalog::default(), Catalog::default());
        for change in changes {
            if change.revision() <= upto {
                behind.apply(change.clone());
            }
            ahead.apply(change);
        }

        let mut difference = ahead.since(upto);
        // A peer that skipped a configuration itself has no patch from it, and is asked for the full
        // state.
        if !difference.iter().all(|change| behind.can_apply(change)) {
            difference = ahead.since(0);
        }
        for change in difference {
            behind.apply(change);
        }

        prop_assert_eq!(ahead.since(0), behind.since(0));
    }
}

/// A configuration of many routes saturates small links on its way between balancers. Objectives must
/// add little to its size, and survive the round trip unchanged.
#[rstest]
#[case(Objective::default())]
#[case(Objective { latency: Some(Duration::from_millis(200)), priority: Some(0) })]
#[case(Objective { latency: None, priority: Some(7) })]
#[case(Objective { latency: Some(Duration::from_secs(600)), priority: Some(u32::MAX - 1) })]
fn an_objective_is_serialised_as_two_numbers(#[case] objective: Objective) {
    let text = serde_json::to_string(&objective).expect("text");

    assert!(text.len() <= 24, "{text}");
    let back: Objective = serde_json::from_str(&text).expect("an objective");
    assert_eq!(back, objective);
}
