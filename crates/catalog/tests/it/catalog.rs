use std::{sync::Arc, time::Duration};

use acacia_catalog::{
    Catalog, Change,
    route::{Config, Front, Objective, Route, Target},
};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixture::{added, config, evacuation, removed};

/// A replica of the store that lags answers a reading, or a peer's message was held up. Taken as it
/// comes, it would put an older configuration in force again: callers of a route that was just
/// added would be reset.
#[test]
fn an_older_configuration_never_comes_back() {
    let mut catalog = Catalog::default();
    catalog.apply(config(9, 20));

    let changed = catalog.apply(config(8, 19));

    assert!(!changed);
    assert_eq!(catalog.config().map(|item| item.value.version), Some(9));
}

/// The store drops its history while a server leaves, so that no event tells of it. Only the whole
/// reading after it shows that its entry is missing; without notice of that, new flows would go to
/// a server that is gone.
#[test]
fn a_server_that_a_whole_reading_lacks_is_removed() {
    let mut catalog = Catalog::default();
    catalog.replace(vec![added("a", 3), added("b", 4)], 5);

    let changed = catalog.replace(vec![added("a", 3)], 9);

    assert!(changed);
    assert_eq!(catalog.since(5), [removed("b", 9)]);
}

/// A reading takes several pages and seconds; meanwhile a peer tells of a server that is newer. The
/// reading knows nothing of it, and must not take it away.
#[test]
fn a_server_from_a_later_revision_outlives_an_older_reading() {
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

/// A late word of a mark that was taken back evacuates the data centre again.
#[test]
fn an_evacuation_that_was_taken_back_is_not_brought_back_by_an_older_word() {
    let mut catalog = Catalog::default();
    catalog.apply(evacuation("a", 3, true));
    catalog.apply(evacuation("b", 4, true));
    catalog.apply(evacuation("a", 5, false));

    let changed = catalog.apply(evacuation("a", 3, true));

    assert!(!changed);
    assert_eq!(evacuated(&catalog), [("b", 4)]);
}

/// The store drops its history while a mark is set and another taken back, so that no event tells.
#[test]
fn a_whole_reading_sets_marks_and_takes_them_back() {
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

/// A peer that was cut off tells of a mark whose removal has been forgotten here.
#[test]
fn a_forgotten_evacuation_is_not_taken_from_a_late_peer() {
    let mut catalog = Catalog::default();
    catalog.apply(evacuation("a", 3, true));
    catalog.apply(evacuation("a", 5, false));
    catalog.forget(6);

    let changed = catalog.apply(evacuation("a", 3, true));

    assert!(!changed);
    assert_eq!(evacuated(&catalog), []);
}

#[test]
fn a_reading_older_than_what_is_complete_changes_nothing() {
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

/// A configuration of hundreds of routes changes in one. Sent whole to every balancer, it would fill
/// the links of the small ones that pass it on, and callers' packets would wait behind it.
#[test]
fn peers_are_told_the_steps_between_configurations() {
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

/// A balancer that has missed a configuration is sent the step to the one after it. Applied to what
/// it has, the step would leave routes in force that nobody configured.
#[test]
fn a_step_from_another_configuration_is_refused() {
    let (mut ahead, mut behind) = (Catalog::default(), Catalog::default());
    ahead.apply(routes(3, &["a"]));
    ahead.apply(routes(4, &["b"]));
    ahead.apply(routes(5, &["c"]));
    behind.apply(routes(3, &["a"]));
    let step = ahead.since(4).remove(0);

    assert!(!behind.can_apply(&step));
    assert!(!behind.apply(step));
    assert_eq!(behind.config().map(|item| item.revision), Some(3));
}

#[test]
fn removals_are_told_to_peers_until_they_are_forgotten() {
    let mut catalog = Catalog::default();
    catalog.apply(added("a", 3));
    catalog.apply(removed("a", 7));

    let told = catalog.since(3);
    catalog.forget(7);

    assert_eq!(told, [removed("a", 7)]);
    assert_eq!(catalog.since(0), []);
}

/// A peer that was cut off for minutes tells of a server that was removed meanwhile, and whose removal
/// is forgotten here. It must not come back: new flows would go to a server that is gone.
#[test]
fn a_forgotten_server_is_not_taken_back_from_a_peer() {
    let mut catalog = Catalog::default();
    catalog.apply(added("a", 3));
    catalog.apply(removed("a", 7));
    catalog.complete(9);
    catalog.forget(9);

    assert!(!catalog.apply(added("a", 3)));
    assert!(catalog.apply(added("b", 10)));
    assert!(
        catalog.replace(vec![added("c", 4)], 11),
        "the store knows better"
    );
}

fn change() -> impl Strategy<Value = Change> {
    // A revision belongs to one change, as in the store: it decides what the change is.
    (0..60u64).prop_map(|revision| match revision % 5 {
        0 => config(revision, revision + 1),
        1 => removed(["a", "b", "c"][revision as usize % 3], revision + 1),
        _ => added(["a", "b", "c"][revision as usize % 3], revision + 1),
    })
}

proptest! {
    /// Messages overtake each other, are lost and repeated. Whatever comes in whatever order,
    /// balancers that have had the same changes know the same.
    #[test]
    fn the_order_of_news_does_not_matter(
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

    /// A balancer that has everything up to some revision and takes a peer's difference since then
    /// knows what the peer knows.
    #[test]
    fn a_difference_brings_a_peer_up_to_date(
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
        // A peer that skipped a configuration has no step from it, and is asked for the whole.
        if !difference.iter().all(|change| behind.can_apply(change)) {
            difference = ahead.since(0);
        }
        for change in difference {
            behind.apply(change);
        }

        prop_assert_eq!(ahead.since(0), behind.since(0));
    }
}

/// A configuration of many routes fills small links on its way from balancer to balancer. What callers
/// expect must add little to it, and arrive as it left.
#[rstest]
#[case(Objective::default())]
#[case(Objective { latency: Some(Duration::from_millis(200)), priority: Some(0) })]
#[case(Objective { latency: None, priority: Some(7) })]
#[case(Objective { latency: Some(Duration::from_secs(600)), priority: Some(u32::MAX - 1) })]
fn an_objective_travels_as_two_numbers(#[case] objective: Objective) {
    let text = serde_json::to_string(&objective).expect("text");

    assert!(text.len() <= 24, "{text}");
    let back: Objective = serde_json::from_str(&text).expect("an objective");
    assert_eq!(back, objective);
}
