use acacia_catalog::server::State;
use acacia_cookie::{
    Roster,
    cookie::{Cookie, VARIANTS},
    silence::Detector,
    snapshot::Standing,
};
use rstest::rstest;

use crate::fixture::{absent, catalog, ms, present, routed, server, snapshot};

/// The standing of `id` at `at` ms, after the changes have come at time 0.
fn standing(changes: Vec<acacia_catalog::Change>, id: &str, at: u64) -> Standing {
    let mut roster = Roster::default();
    // The balancer has known the first changes before it hears of the last.
    for upto in 1..=changes.len() {
        roster.update(&catalog(changes[..upto].iter().cloned()), ms(0));
    }
    let snapshot = roster.snapshot(&Detector::default(), ms(at));
    let found = snapshot.servers.iter().find(|server| &*server.id == id);
    found.expect("a server that is known").standing
}

/// Leases run out while the store is away, and all servers' entries are removed at once although
/// the servers live. Were they taken for gone, every caller would be turned away until the entries
/// are back, two seconds later.
#[test]
fn entries_that_lapse_together_leave_the_servers_in_use_for_a_while() {
    let before = vec![
        present(server("h-1", "live"), 1),
        present(server("h-2", "live"), 2),
        routed(&["live"], 3),
    ];
    let lapsed = [absent("h-1", 4), absent("h-2", 5)];
    let mut roster = Roster::default();
    roster.update(&catalog(before.clone()), ms(0));
    roster.update(&catalog(before.into_iter().chain(lapsed)), ms(100));

    let during = roster.snapshot(&Detector::default(), ms(1_900));
    let after = roster.snapshot(&Detector::default(), ms(2_200));

    assert_eq!(during.pools[0].open.len(), 2);
    assert_eq!(after.pools[0].open.len(), 0);
}

/// One server's entry lapses, the others' stand: it has most likely died, and the others take the
/// new flows.
#[test]
fn a_missing_server_gets_no_new_flow_beside_ready_ones() {
    let before = vec![
        present(server("h-1", "live"), 1),
        present(server("h-2", "live"), 2),
        routed(&["live"], 3),
    ];
    let mut roster = Roster::default();
    roster.update(&catalog(before.clone()), ms(0));
    roster.update(
        &catalog(before.into_iter().chain([absent("h-1", 4)])),
        ms(0),
    );

    let snapshot = roster.snapshot(&Detector::default(), ms(1));

    let open = snapshot.pools[0]
        .open
        .iter()
        .map(|at| &*snapshot.servers[*at as usize].id);
    assert_eq!(open.collect::<Vec<_>>(), ["h-2"]);
}

#[rstest]
#[case::ready(State::Ready, false, 0, Standing::Ready)]
#[case::draining(State::Draining, false, 0, Standing::Draining)]
#[case::lapsed(State::Ready, true, 1_000, Standing::Missing)]
#[case::lapsed_for_good(State::Ready, true, 2_000, Standing::Lost)]
#[case::left(State::Draining, true, 0, Standing::Gone)]
fn a_server_s_standing_follows_from_its_entry(
    #[case] state: State,
    #[case] removed: bool,
    #[case] at: u64,
    #[case] expected: Standing,
) {
    let mut changes = vec![present(
        acacia_catalog::server::Server {
            state,
            ..server("h-1", "live")
        },
        1,
    )];
    if removed {
        changes.push(absent("h-1", 2));
    }

    assert_eq!(standing(changes, "h-1", at), expected);
}

/// A server dies, and its address is given to a server of another service. Packets of its flows
/// that go on reach the new one, which keeps silent as they aren't meant for it, and their callers
/// wait out their deadlines.
#[test]
fn a_server_whose_address_another_has_is_gone() {
    let old = server("h-1", "live");
    let new = acacia_catalog::server::Server {
        address: old.address,
        ..server("h-9", "maps")
    };
    let changes = vec![present(old, 1), absent("h-1", 2), present(new, 3)];

    assert_eq!(standing(changes, "h-1", 0), Standing::Gone);
}

#[test]
fn a_server_is_known_by_its_cookie_for_as_long_as_a_flow_may_live() {
    let mut roster = Roster::default();
    let before = vec![present(server("h-1", "live"), 1)];
    roster.update(&catalog(before.clone()), ms(0));
    let after = catalog(before.into_iter().chain([absent("h-1", 2)]));
    roster.update(&after, ms(0));

    roster.update(&after, ms(59_000));
    let within = roster.snapshot(&Detector::default(), ms(59_000));
    roster.update(&after, ms(61_000));
    let beyond = roster.snapshot(&Detector::default(), ms(61_000));

    assert!(within.server(Cookie::of("h-1", 0)).is_some());
    assert!(beyond.server(Cookie::of("h-1", 0)).is_none());
}

/// Names of servers whose first cookies are the same, found by search: with 30 bits, two of some
/// fifty thousand names.
fn twins() -> (String, String) {
    let mut seen = std::collections::HashMap::new();
    for number in 0.. {
        let id = format!("i-{number:x}");
        if let Some(other) = seen.insert(Cookie::of(&id, 0), id.clone()) {
            return (other, id);
        }
    }
    unreachable!("the search ends with a pair")
}

/// Two of 21,000 servers have the same cookie. Without a second one, half of the packets of their
/// flows would reach the other server, which ends them.
#[test]
fn servers_that_share_a_cookie_open_flows_with_another() {
    let (one, other) = twins();

    let snapshot = snapshot([
        present(server(&one, "live"), 1),
        present(server(&other, "live"), 2),
    ]);

    let cookies: Vec<Cookie> = snapshot
        .servers
        .iter()
        .map(|server| server.cookie)
        .collect();
    assert_ne!(cookies[0], cookies[1]);
    for (server, id) in snapshot.servers.iter().zip([&one, &other]) {
        assert_eq!(
            snapshot.server(server.cookie).map(|found| &*found.id),
            Some(id.as_str())
        );
        assert!((0..VARIANTS).any(|variant| server.cookie == Cookie::of(id, variant)));
    }
}

/// A balancer opens a flow at a server when it knows no other with that cookie; then the other one
/// starts. Its flows must go on to the first.
#[test]
fn a_shared_cookie_names_the_server_that_was_there_before() {
    let (one, other) = twins();
    let before = snapshot([present(server(&one, "live"), 1)]);
    let opened = before.servers[0].cookie;

    let after = snapshot([
        present(server(&one, "live"), 1),
        present(server(&other, "live"), 2),
    ]);

    assert_eq!(
        after.server(opened).map(|server| &*server.id),
        Some(one.as_str())
    );
}

/// Servers that were released one after the other stay known by their cookies for a minute. Peers
/// that name them as silent must not bring them under examination for all that time.
#[test]
fn a_server_that_has_left_is_in_question_no_more() {
    let leaving = acacia_catalog::server::Server {
        state: State::Draining,
        ..server("h-1", "live")
    };
    let before = vec![present(leaving, 1), present(server("h-2", "live"), 2)];
    let mut roster = Roster::default();
    roster.update(&catalog(before.clone()), ms(0));
    let gone = [absent("h-1", 3), absent("h-2", 4)];
    roster.update(&catalog(before.into_iter().chain(gone)), ms(0));

    let names: Vec<&str> = roster.servers().map(|server| &*server.id).collect();

    assert_eq!(names, ["h-2"]);
}
