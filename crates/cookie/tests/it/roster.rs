use acacia_catalog::server::State;
use acacia_cookie::{
    Roster,
    cookie::{Cookie, VARIANTS},
    silence::{Detector, Finding},
    snapshot::Standing,
};
use rstest::rstest;

use crate::fixture::{
    absent, catalog, ms, names_with_same_cookie, present, routed, server, snapshot,
};

/// The standing of `id` at `at` ms, after the changes were applied at time 0.
fn standing(changes: Vec<acacia_catalog::Change>, id: &str, at: u64) -> Standing {
    let mut roster = Roster::default();
    // The changes are applied one by one, so that the balancer knows the earlier ones first.
    for count in 1..=changes.len() {
        roster.update(&catalog(changes[..count].iter().cloned()), ms(0));
    }
    let snapshot = roster.snapshot(&Detector::default(), ms(at));
    let found = snapshot.servers.iter().find(|server| &*server.id == id);
    found.expect("the server is known").standing
}

/// Leases expire during an outage of the store, and the entries of all servers are removed at once
/// although the servers are alive. If the servers counted as gone, every caller would be rejected
/// until the entries are back, two seconds later.
#[test]
fn servers_whose_entries_all_expire_remain_in_use_for_a_while() {
    let before = vec![
        present(server("h-1", "live"), 1),
        present(server("h-2", "live"), 2),
        routed(&["live"], 3),
    ];
    let expired = [absent("h-1", 4), absent("h-2", 5)];
    let mut roster = Roster::default();
    roster.update(&catalog(before.clone()), ms(0));
    roster.update(&catalog(before.into_iter().chain(expired)), ms(100));

    let during = roster.snapshot(&Detector::default(), ms(1_900));
    let after = roster.snapshot(&Detector::default(), ms(2_200));

    assert_eq!(during.pools[0].open.len(), 2);
    assert_eq!(after.pools[0].open.len(), 0);
}

/// The entry of one server expires and those of the others remain. The server has most likely
/// crashed, and the others must get the new flows.
#[test]
fn a_missing_server_gets_no_new_flow_while_others_are_ready() {
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
        .map(|at| &*snapshot.servers[at as usize].id);
    assert_eq!(open.collect::<Vec<_>>(), ["h-2"]);
}

#[rstest]
#[case::ready(State::Ready, false, 0, Standing::Ready)]
#[case::draining(State::Draining, false, 0, Standing::Draining)]
#[case::expired(State::Ready, true, 1_000, Standing::Missing)]
#[case::expired_for_long(State::Ready, true, 2_000, Standing::Lost)]
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

/// A server crashes, and its address is assigned to a server of another service. The new server
/// ignores packets of the old flows, as they are not meant for it. If these flows were not ended,
/// their callers would wait until their deadlines.
#[test]
fn a_server_whose_address_was_reassigned_is_gone() {
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

/// Guards against resets of a draining server's flows in the moment in which it stops, before its entry is
/// removed and while it may still end them itself.
#[rstest]
#[case::just_found_silent(0, Standing::Draining)]
#[case::still_listed(499, Standing::Draining)]
#[case::silent_for_long(500, Standing::Gone)]
fn a_draining_server_that_falls_silent_keeps_its_flows_for_a_moment(
    #[case] after: u64,
    #[case] expected: Standing,
) {
    let draining = acacia_catalog::server::Server {
        state: State::Draining,
        ..server("h-1", "live")
    };
    let mut roster = Roster::default();
    roster.update(&catalog([present(draining, 1)]), ms(0));
    let mut detector = Detector::default();
    let id = "h-1".into();
    detector.suspect(&id, ms(0), ms(10));
    detector.due(ms(10));
    detector.found(&id, Finding::Silent, ms(50));
    let before = roster.snapshot(&detector, ms(50));

    assert_eq!(before.servers[0].standing, Standing::Draining);
    let due = roster.next_change(ms(50));
    assert_eq!(due, Some(ms(550)));
    let snapshot = roster.snapshot(&detector, ms(50 + after));
    assert_eq!(snapshot.servers[0].standing, expected);
}

/// Two of 21,000 servers have the same cookie. Without an alternative cookie, half of the packets
/// of their flows would reach the other server, which ends these flows.
#[test]
fn servers_that_share_a_cookie_use_different_ones_for_new_flows() {
    let (one, other) = names_with_same_cookie();

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

/// A balancer opens flows at a server before another one with the same cookie starts. Packets of
/// these flows must still be forwarded to the first server.
#[test]
fn a_shared_cookie_identifies_the_older_server() {
    let (one, other) = names_with_same_cookie();
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

/// Guards against a balancer that has just started, and knows only the last change of each entry, which
/// takes the older of two servers with one cookie for the newer once its entry has changed, and sends its
/// open flows to the other.
#[test]
fn a_balancer_that_starts_late_keeps_a_shared_cookie_at_the_older_server() {
    let (one, other) = names_with_same_cookie();
    let older = acacia_catalog::server::Server {
        created: 1,
        ..server(&one, "live")
    };
    let draining = acacia_catalog::server::Server {
        state: State::Draining,
        ..older.clone()
    };
    let newer = acacia_catalog::server::Server {
        created: 2,
        ..server(&other, "live")
    };
    let opened = snapshot([present(older, 1)]).servers[0].cookie;

    let late = snapshot([present(newer, 2), present(draining, 3)]);

    let found = late.server(opened).map(|server| &*server.id);
    assert_eq!(found, Some(one.as_str()));
}

/// Servers that were shut down one after the other remain known by their cookies for a minute.
/// Reports of peers that they are silent must not cause examinations during that time.
#[test]
fn a_server_that_has_left_is_not_examined() {
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

/// What a snapshot says of each server: its name, standing, weight and whether new flows go there.
fn facts(
    snapshot: &acacia_cookie::Snapshot,
) -> std::collections::BTreeMap<String, (Standing, u64, bool)> {
    let open: Vec<u32> = snapshot
        .pools
        .iter()
        .flat_map(|pool| pool.open.iter())
        .collect();
    let servers = (0..).zip(&snapshot.servers);
    let facts = servers.map(|(position, server)| {
        let named = snapshot.cookies.get(&server.cookie) == Some(&position);
        assert!(named, "the cookie of {} leads to it", server.id);
        let weight = (server.weight * 1_000.0) as u64;
        (
            server.id.to_string(),
            (server.standing, weight, open.contains(&position)),
        )
    });
    facts.collect()
}

proptest::proptest! {
    /// A snapshot takes over what the one before had of servers that did not change. Whenever snapshots
    /// are taken, the last one must be the same as if none had been taken before.
    #[test]
    fn earlier_snapshots_make_no_difference(
        steps in proptest::collection::vec((0..12u64, 0..5u8, 0..4_000u64), 1..60),
    ) {
        let (mut often, mut once) = (Roster::default(), Roster::default());
        let mut catalog = catalog([routed(&["live"], 1)]);
        let (mut now, mut revision) = (0, 1);
        for (number, kind, pause) in steps {
            revision += 1;
            now += pause;
            let mut entry = server(&format!("h-{number}"), "live");
            entry.warmup_ms = if kind == 1 { 3_000 } else { 0 };
            entry.state = if kind == 2 { State::Draining } else { State::Ready };
            let change = if kind >= 3 {
                absent(&entry.id, revision)
            } else {
                present(entry, revision)
            };
            catalog.apply(change);
            often.update(&catalog, ms(now));
            once.update(&catalog, ms(now));
            let _ = often.snapshot(&Detector::default(), ms(now));
        }

        let (often, once) = (
            often.snapshot(&Detector::default(), ms(now)),
            once.snapshot(&Detector::default(), ms(now)),
        );

        proptest::prop_assert_eq!(facts(&often), facts(&once));
        let pool = |snapshot: &acacia_cookie::Snapshot| {
            let pool = &snapshot.pools[0];
            (pool.slots, pool.lapsed)
        };
        proptest::prop_assert_eq!(pool(&often), pool(&once));
    }

    /// The traffic threads keep a snapshot until something happens or until [`Roster::next_change`]. Guards
    /// against a server that is used, or left out, for longer than that.
    #[test]
    fn nothing_changes_before_the_announced_time(
        steps in proptest::collection::vec((0..6u64, 0..5u8, 0..4_000u64), 1..60),
    ) {
        let mut roster = Roster::default();
        let mut catalog = catalog([routed(&["live"], 1)]);
        let (mut now, mut revision) = (0, 1);
        for (number, kind, pause) in steps {
            revision += 1;
            now += pause;
            let entry = server(&format!("h-{number}"), "live");
            let change = if kind >= 3 {
                absent(&entry.id, revision)
            } else {
                present(entry, revision)
            };
            catalog.apply(change);
            roster.update(&catalog, ms(now));
            let before = roster.snapshot(&Detector::default(), ms(now));

            let end = roster.next_change(ms(now)).unwrap_or(ms(now + 100_000));
            let after = roster.clone().snapshot(&Detector::default(), end - ms(1));

            proptest::prop_assert_eq!(facts(&before), facts(&after));
            proptest::prop_assert_eq!(before.pools[0].lapsed, after.pools[0].lapsed);
        }
    }
}
