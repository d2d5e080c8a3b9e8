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

/// Changes that add four servers, two in each of two data centres, and a route, followed by `changes`.
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

/// The snapshot of a balancer in data centre `a`, with the servers and the changes.
fn snapshot_in_a(changes: impl IntoIterator<Item = Change>) -> Snapshot {
    let mut snapshot = snapshot(servers(changes));
    snapshot.data_centre = "a".into();
    snapshot
}

/// The servers to which 199 SYNs are forwarded; `None` for each SYN that is reset.
fn placed(resolver: &mut Resolver, snapshot: &Snapshot) -> Vec<Option<Arc<str>>> {
    let place = |port| {
        let action = resolver.resolve(snapshot, &opening(port), None, ms(1));
        sent(&action, snapshot).map(|(server, _)| server)
    };
    (1..200).map(place).collect()
}

/// Guards against placing new flows at servers of a data centre that operators are about to take down.
#[rstest]
#[case::local(&["a"], &["h-3", "h-4"])]
#[case::remote(&["b"], &["h-1", "h-2"])]
#[case::both(&["a", "b"], &[])]
fn an_evacuated_data_centre_gets_no_new_flow(#[case] centres: &[&str], #[case] left: &[&str]) {
    let marks = centres.iter().zip(6..);
    let marks = marks.map(|(centre, revision)| evacuation(centre, revision, true));
    let snapshot = snapshot_in_a(marks);

    let placed = placed(&mut Resolver::default(), &snapshot);

    let mut used: Vec<Arc<str>> = placed.into_iter().flatten().collect();
    used.sort_unstable();
    used.dedup();
    let used: Vec<&str> = used.iter().map(|server| &**server).collect();
    assert_eq!(used, left);
}

/// Guards against leaving callers without an answer if no data centre takes new flows.
#[test]
fn new_flows_are_reset_at_once_if_all_servers_are_evacuated() {
    let snapshot = snapshot_in_a([evacuation("a", 6, true), evacuation("b", 7, true)]);

    let action = Resolver::default().resolve(&snapshot, &opening(1), None, ms(1));

    assert_eq!(
        action,
        Action::Reset {
            code: Code::ServerNone
        }
    );
}

/// All entries expire during an outage of the store. Guards against using the servers of an evacuated
/// data centre as if no others were left.
#[test]
fn an_evacuated_server_whose_entry_expires_gets_no_new_flow() {
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

/// Guards against ending open flows, such as long-lived feeds, when their data centre is evacuated.
#[test]
fn open_flows_of_an_evacuated_data_centre_go_on() {
    let mut resolver = Resolver::default();
    let before = snapshot_in_a([]);
    let opened = resolver.resolve(&before, &opening(1), None, ms(1));
    let (server, cookie) = sent(&opened, &before).expect("forwarded");
    let after = snapshot_in_a([evacuation("a", 6, true), evacuation("b", 7, true)]);

    let ended = resolver.end_flows_of_gone_servers(&after);
    let action = resolver.resolve(&after, &middle(1, 101, 50, 1), Some(cookie), ms(900));

    assert_eq!(ended, []);
    assert_eq!(sent(&action, &after), Some((server, cookie)));
}

/// Guards against forwarding a retransmitted SYN to the server of the original, if that server has been
/// evacuated in between.
#[test]
fn a_retransmitted_syn_does_not_go_to_an_evacuated_server() {
    let mut resolver = Resolver::default();
    let before = snapshot_in_a([]);
    resolver.resolve(&before, &opening(1), None, ms(1));
    let after = snapshot_in_a([evacuation("a", 6, true)]);

    let action = resolver.resolve(&after, &opening(1), None, ms(201));

    let (server, _) = sent(&action, &after).expect("forwarded");
    assert!(["h-3", "h-4"].contains(&&*server), "{server}");
}

/// Guards against forwarding a retransmitted SYN to the evacuated server of the original because no other
/// server is left.
#[test]
fn a_retransmitted_syn_is_reset_if_all_servers_have_been_evacuated() {
    let mut resolver = Resolver::default();
    let before = snapshot_in_a([]);
    resolver.resolve(&before, &opening(1), None, ms(1));
    let after = snapshot_in_a([evacuation("a", 6, true), evacuation("b", 7, true)]);

    let action = resolver.resolve(&after, &opening(1), None, ms(201));

    assert_eq!(
        action,
        Action::Reset {
            code: Code::ServerNone
        }
    );
}

#[test]
fn a_data_centre_gets_new_flows_again_after_its_evacuation_ends() {
    let snapshot = snapshot_in_a([evacuation("a", 6, true), evacuation("a", 9, false)]);

    let placed = placed(&mut Resolver::default(), &snapshot);

    let local = placed.iter().flatten();
    assert!(local.filter(|id| ["h-1", "h-2"].contains(&&***id)).count() > 100);
}
