use std::sync::Arc;

use acacia_catalog::Change;
use acacia_code::Code;
use acacia_cookie::{
    Action, Resolver, Roster, Snapshot, cookie::Cookie, silence::Detector, snapshot::Standing,
};
use rstest::rstest;

use crate::fixture::{
    absent, catalog, evacuation, middle, ms, opening, present, routed, sent, server, snapshot,
};

/// Four servers, two in each of two data centres, and the changes that follow.
fn servers(changes: impl IntoIterator<Item = Change>) -> Vec<Change> {
    let server = |number: u64, data_centre: &str| {
        let mut server = server(&format!("h-{number}"), "live");
        server.data_centre = data_centre.into();
        present(server, number)
    };
    let mut all = vec![
        server(1, "a"),
        server(2, "a"),
        server(3, "b"),
        server(4, "b"),
        routed(&["live"], 5),
    ];
    all.extend(changes);
    all
}

/// A balancer's snapshot in data centre `a`.
fn seen(changes: impl IntoIterator<Item = Change>) -> Snapshot {
    let mut snapshot = snapshot(servers(changes));
    snapshot.data_centre = "a".into();
    snapshot
}

/// The servers that some openings go to; none for those that are reset.
fn placed(resolver: &mut Resolver, snapshot: &Snapshot) -> Vec<Option<Arc<str>>> {
    let place = |port| {
        let action = resolver.resolve(snapshot, &opening(port), None, ms(1));
        sent(&action, snapshot).map(|(server, _)| server)
    };
    (1..200).map(place).collect()
}

/// New flows go on to the servers of a data centre that the operators are about to take down.
#[rstest]
#[case::near(&["a"], &["h-3", "h-4"])]
#[case::far(&["b"], &["h-1", "h-2"])]
#[case::both(&["a", "b"], &[])]
fn an_evacuated_data_centre_gets_no_new_flow(#[case] centres: &[&str], #[case] left: &[&str]) {
    let marks = centres.iter().zip(6..);
    let marks = marks.map(|(centre, revision)| evacuation(centre, revision, true));
    let snapshot = seen(marks);

    let placed = placed(&mut Resolver::default(), &snapshot);

    let mut used: Vec<Arc<str>> = placed.into_iter().flatten().collect();
    used.sort_unstable();
    used.dedup();
    let used: Vec<&str> = used.iter().map(|server| &**server).collect();
    assert_eq!(used, left);
}

/// Where no data centre is left, callers wait for an answer that nobody will give.
#[test]
fn where_all_servers_are_evacuated_callers_are_refused_at_once() {
    let snapshot = seen([evacuation("a", 6, true), evacuation("b", 7, true)]);

    let action = Resolver::default().resolve(&snapshot, &opening(1), None, ms(1));

    assert_eq!(
        action,
        Action::Reset {
            code: Code::ServerNone
        }
    );
}

/// Entries lapse together while the store is away, and the servers of an evacuated data centre are taken
/// for the only ones left.
#[test]
fn an_evacuated_server_whose_entry_lapses_gets_no_new_flow() {
    let lapsed = (1..=4).map(|number: u64| absent(&format!("h-{number}"), 6 + number));
    let before = servers([evacuation("a", 6, true)]);
    let mut roster = Roster::default();
    roster.update(&catalog(before.clone()), ms(0));
    roster.update(&catalog(before.into_iter().chain(lapsed)), ms(0));
    let snapshot = roster.snapshot(&Detector::default(), ms(1));

    let placed = placed(&mut Resolver::default(), &snapshot);

    let standing = |server: &Arc<str>| {
        let server = snapshot.server(Cookie::of(server, 0));
        server.map(|server| server.standing)
    };
    assert_eq!(standing(&"h-1".into()), Some(Standing::Evacuated));
    assert!(
        placed
            .iter()
            .flatten()
            .all(|id| ["h-3", "h-4"].contains(&&**id))
    );
    assert!(placed.iter().all(Option::is_some));
}

/// Open feeds end when their data centre is evacuated.
#[test]
fn open_flows_of_an_evacuated_data_centre_go_on() {
    let mut resolver = Resolver::default();
    let before = seen([]);
    let opened = resolver.resolve(&before, &opening(1), None, ms(1));
    let (server, cookie) = sent(&opened, &before).expect("forwarded");
    let after = seen([evacuation("a", 6, true), evacuation("b", 7, true)]);

    let ended = resolver.end_flows_of_gone_servers(&after);
    let action = resolver.resolve(&after, &middle(1, 101, 50, 1), Some(cookie), ms(900));

    assert_eq!(ended, []);
    assert_eq!(sent(&action, &after), Some((server, cookie)));
}

/// The copy of an opening that was placed before the mark follows it there.
#[test]
fn a_copy_of_an_opening_goes_to_no_server_that_has_been_evacuated_since() {
    let mut resolver = Resolver::default();
    let before = seen([]);
    resolver.resolve(&before, &opening(1), None, ms(1));
    let after = seen([evacuation("a", 6, true)]);

    let action = resolver.resolve(&after, &opening(1), None, ms(201));

    let (server, _) = sent(&action, &after).expect("forwarded");
    assert!(["h-3", "h-4"].contains(&&*server), "{server}");
}

/// The copy of an opening goes to the server that it was placed at, as no other is left.
#[test]
fn a_copy_of_an_opening_is_refused_where_all_servers_have_been_evacuated_since() {
    let mut resolver = Resolver::default();
    let before = seen([]);
    resolver.resolve(&before, &opening(1), None, ms(1));
    let after = seen([evacuation("a", 6, true), evacuation("b", 7, true)]);

    let action = resolver.resolve(&after, &opening(1), None, ms(201));

    assert_eq!(
        action,
        Action::Reset {
            code: Code::ServerNone
        }
    );
}

#[test]
fn a_data_centre_is_in_use_again_once_the_mark_is_gone() {
    let snapshot = seen([evacuation("a", 6, true), evacuation("a", 9, false)]);

    let placed = placed(&mut Resolver::default(), &snapshot);

    let near = placed.iter().flatten();
    assert!(near.filter(|id| ["h-1", "h-2"].contains(&&***id)).count() > 100);
}
