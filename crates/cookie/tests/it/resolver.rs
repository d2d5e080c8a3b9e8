use std::sync::Arc;

use acacia_catalog::Change;
use acacia_code::Code;
use acacia_cookie::{
    Action, Notice, Resolver, Roster,
    silence::{Detector, Finding, Verdict},
};
use proptest::prelude::*;

use crate::fixture::{
    absent, catalog, middle, ms, opening, present, routed, sent, server, snapshot, unrouted,
};

fn fleet(count: u64) -> Vec<Change> {
    let servers =
        (0..count).map(|number| present(server(&format!("i-{number:x}"), "live"), number + 1));
    servers.chain([routed(&["live"], count + 1)]).collect()
}

#[test]
fn a_flow_goes_on_at_a_balancer_that_has_never_seen_it() {
    let snapshot = snapshot(fleet(14));
    let action = Resolver::default().resolve(&snapshot, &opening(1), None, ms(0));
    let (server, cookie) = sent(&action, &snapshot).expect("a server");

    let action =
        Resolver::default().resolve(&snapshot, &middle(1, 101, 50, 7), Some(cookie), ms(5));

    assert_eq!(sent(&action, &snapshot), Some((server, cookie)));
}

/// An operator removes a route while flows are open, and adds it again later. Callers in mid-answer
/// must get the rest of it; new ones are told at once that nobody serves the address.
#[test]
fn a_removed_route_takes_no_new_flows_and_leaves_open_ones() {
    let (routed, unrouted) = (
        snapshot(fleet(3)),
        snapshot(fleet(3).into_iter().chain([unrouted(9)])),
    );
    let mut resolver = Resolver::default();
    let action = resolver.resolve(&routed, &opening(1), None, ms(0));
    let (server, cookie) = sent(&action, &routed).expect("a server");

    let new = resolver.resolve(&unrouted, &opening(2), None, ms(10));
    let open = resolver.resolve(&unrouted, &middle(1, 101, 50, 7), Some(cookie), ms(10));
    let again = resolver.resolve(&routed, &opening(2), None, ms(20));

    assert_eq!(
        new,
        Action::Reset {
            code: Code::ServiceUnknown
        }
    );
    assert_eq!(sent(&open, &unrouted), Some((server, cookie)));
    assert!(sent(&again, &routed).is_some());
}

/// A route moves to another service. An opening that was answered under the old configuration must
/// stay where it is, and new ones must not reach the old service.
#[test]
fn a_moved_route_sends_new_flows_to_the_new_service_alone() {
    let servers = || {
        [
            present(server("i-1", "live"), 1),
            present(server("i-2", "maps"), 2),
        ]
    };
    let before = snapshot(servers().into_iter().chain([routed(&["live"], 3)]));
    let after = snapshot(servers().into_iter().chain([routed(&["maps"], 4)]));
    let mut resolver = Resolver::default();
    let old = resolver.resolve(&before, &opening(1), None, ms(0));
    let (server, cookie) = sent(&old, &before).expect("a server");

    let open = resolver.resolve(&after, &middle(1, 101, 50, 7), Some(cookie), ms(5));
    for port in 2..200 {
        let new = resolver.resolve(&after, &opening(port), None, ms(5));
        let (server, _) = sent(&new, &after).expect("a server");
        assert_eq!(&*server, "i-2");
    }

    assert_eq!(sent(&open, &after).map(|(server, _)| server), Some(server));
}

/// The answer to an opening is lost, and the caller sends it again. Two servers that both answer it
/// would leave the flow half open at one of them.
#[test]
fn a_copy_of_an_opening_goes_to_the_same_server_while_that_one_lives() {
    let snapshot = snapshot(fleet(14));
    let mut resolver = Resolver::default();
    let first = resolver.resolve(&snapshot, &opening(1), None, ms(0));
    let (server, cookie) = sent(&first, &snapshot).expect("a server");
    // Another flow shows meanwhile that the server answers.
    resolver.resolve(&snapshot, &middle(2, 10, 50, 1), Some(cookie), ms(100));

    let copy = resolver.resolve(&snapshot, &opening(1), None, ms(200));

    assert_eq!(sent(&copy, &snapshot), Some((server, cookie)));
}

/// A server has just died and its entry still stands. Were the copies of an opening all sent there,
/// the caller would wait 1.4 s to learn that nothing ran.
#[test]
fn a_copy_of_an_opening_goes_elsewhere_when_the_server_shows_no_life() {
    let snapshot = snapshot(fleet(14));
    let mut resolver = Resolver::default();
    let first = resolver.resolve(&snapshot, &opening(1), None, ms(0));
    let (silent, _) = sent(&first, &snapshot).expect("a server");

    let copy = resolver.resolve(&snapshot, &opening(1), None, ms(200));

    let (other, _) = sent(&copy, &snapshot).expect("a server");
    assert_ne!(other, silent);
    assert_eq!(resolver.take_notices(ms(210)), [Notice::Unanswered(silent)]);
    assert_eq!(resolver.take_notices(ms(400)), [Notice::Unanswered(other)]);
}

/// A route moves to another service between an opening and its copy, and the copy still reaches the old
/// one: the change seems to be taken back.
#[test]
fn a_copy_of_an_opening_follows_a_route_that_has_moved() {
    let servers = || {
        [
            present(server("i-1", "live"), 1),
            present(server("i-2", "maps"), 2),
        ]
    };
    let before = snapshot(servers().into_iter().chain([routed(&["live"], 3)]));
    let after = snapshot(servers().into_iter().chain([routed(&["maps"], 4)]));
    let mut resolver = Resolver::default();
    resolver.resolve(&before, &opening(1), None, ms(0));

    let copy = resolver.resolve(&after, &opening(1), None, ms(100));

    let (server, _) = sent(&copy, &after).expect("a server");
    assert_eq!(&*server, "i-2");
}

/// A server drains. Copies of an opening that had reached it before must not reach it any more:
/// within seconds no new work may.
#[test]
fn a_copy_of_an_opening_goes_to_no_server_that_drains() {
    let before = snapshot(fleet(14));
    let mut resolver = Resolver::default();
    let first = resolver.resolve(&before, &opening(1), None, ms(0));
    let (id, _) = sent(&first, &before).expect("a server");
    let draining = acacia_catalog::server::Server {
        state: acacia_catalog::server::State::Draining,
        ..server(&id, "live")
    };
    let after = snapshot(fleet(14).into_iter().chain([present(draining, 99)]));

    let copy = resolver.resolve(&after, &opening(1), None, ms(100));

    assert_ne!(sent(&copy, &after).map(|(server, _)| server), Some(id));
}

/// A server falls silent with flows open. Their callers would wait out their deadlines one by one;
/// told at once, they open another flow. Nobody else's flow may end.
#[test]
fn the_flows_of_a_silent_server_and_no_others_are_ended() {
    let mut roster = Roster::default();
    roster.update(&catalog(fleet(4)), ms(0));
    let before = roster.snapshot(&Detector::default(), ms(0));
    let mut resolver = Resolver::default();
    let mut flows = Vec::new();
    for port in 1..=40 {
        let action = resolver.resolve(&before, &opening(port), None, ms(0));
        let (server, cookie) = sent(&action, &before).expect("a server");
        resolver.resolve(&before, &middle(port, 101, 50, 7), Some(cookie), ms(5));
        flows.push((port, server));
    }
    let silent = Arc::clone(&flows[0].1);
    let mut detector = Detector::default();
    detector.suspect(&silent, ms(0), ms(10));
    detector.due(ms(10));
    assert_eq!(
        detector.found(&silent, Finding::Silent, ms(95)),
        Verdict::Silent
    );

    let after = roster.snapshot(&detector, ms(100));
    let mut ended: Vec<u16> = resolver
        .end_flows_of_gone_servers(&after)
        .iter()
        .map(|ended| ended.key.client_port)
        .collect();
    ended.sort_unstable();

    let expected: Vec<u16> = flows
        .iter()
        .filter(|(_, server)| *server == silent)
        .map(|(port, _)| *port)
        .collect();
    assert_eq!(ended, expected);
    assert!(!expected.is_empty());
}

/// A balancer is behind the store and gets a packet of a flow at a server that it has not heard of.
/// A reset would end a flow that is well; the caller sends the packet again in a moment.
#[test]
fn a_packet_for_a_server_that_is_not_known_yet_is_dropped_and_not_reset() {
    let ahead = snapshot(fleet(14));
    let mut resolver = Resolver::default();
    let action = resolver.resolve(&ahead, &opening(1), None, ms(0));
    let (_, cookie) = sent(&action, &ahead).expect("a server");
    let behind = snapshot([routed(&["live"], 1)]);

    let action = resolver.resolve(&behind, &middle(1, 101, 50, 7), Some(cookie), ms(5));

    assert_eq!(
        action,
        Action::Drop {
            code: Code::FlowServerUnknown
        }
    );
}

#[test]
fn a_packet_in_mid_flow_without_a_cookie_reaches_nobody() {
    let snapshot = snapshot(fleet(3));

    let action = Resolver::default().resolve(&snapshot, &middle(1, 101, 50, 7), None, ms(0));

    assert_eq!(
        action,
        Action::Drop {
            code: Code::FlowUnknown
        }
    );
}

/// Each server's entry is known to a balancer or not, and it drains or not.
fn views(servers: u64) -> impl Strategy<Value = Vec<Vec<bool>>> {
    let view = prop::collection::vec(any::<bool>(), servers as usize);
    prop::collection::vec(view, 2..6)
}

proptest! {
    /// Updates reach balancers at different times, and each packet of a flow may reach any of them.
    /// Whatever they know, every packet goes to the server that the flow was opened at, or, where
    /// that one isn't known, to nobody: never to another server.
    #[test]
    fn balancers_whose_views_differ_never_send_a_flow_to_another_server(
        views in views(12),
        ports in prop::collection::vec(1..500u16, 1..30),
    ) {
        let known = |view: &Vec<bool>| {
            let entries = view.iter().enumerate().map(|(number, is_known)| {
                let id = format!("i-{number:x}");
                let revision = number as u64 + 1;
                if *is_known { present(server(&id, "live"), revision) } else { absent(&id, revision) }
            });
            snapshot(entries.chain([routed(&["live"], 99)]).collect::<Vec<_>>())
        };
        let snapshots: Vec<_> = views.iter().map(known).collect();
        let mut resolvers: Vec<Resolver> = snapshots.iter().map(|_| Resolver::default()).collect();
        for (number, port) in ports.iter().enumerate() {
            let at = number % snapshots.len();
            let action = resolvers[at].resolve(&snapshots[at], &opening(*port), None, ms(0));
            let Some((opened, cookie)) = sent(&action, &snapshots[at]) else { continue };
            for (resolver, snapshot) in resolvers.iter_mut().zip(&snapshots) {
                let action = resolver.resolve(snapshot, &middle(*port, 101, 50, 7), Some(cookie), ms(5));
                match sent(&action, snapshot) {
                    Some((server, _)) => prop_assert_eq!(&server, &opened),
                    None => prop_assert_eq!(action, Action::Drop { code: Code::FlowServerUnknown }),
                }
            }
        }
    }

    /// Packets of every kind in any order, with any cookie: nothing panics, and nothing but an
    /// opening or a cookie of a server that is known reaches a server.
    #[test]
    fn any_packets_in_any_order_are_borne(
        packets in prop::collection::vec((0..6u8, 1..5u16, any::<u32>(), any::<u32>(), 0..1_200u16, any::<u32>()), 0..80),
    ) {
        use acacia_cookie::cookie::Cookie;
        use acacia_wire::packet::Kind;
        let snapshot = snapshot(fleet(5));
        let mut resolver = Resolver::default();
        for (at, (kind, port, sequence, acknowledgement, payload, cookie)) in packets.into_iter().enumerate() {
            let mut packet = middle(port, sequence, payload, acknowledgement);
            packet.kind = match kind {
                0 => Kind::Opening { isn: sequence },
                1 => Kind::Closing,
                2 => Kind::Reset,
                _ => Kind::Middle,
            };
            let cookie = if kind > 4 { Some(Cookie::of("i-1", 0)) } else { Cookie::from_bits(cookie) };
            let action = resolver.resolve(&snapshot, &packet, cookie, ms(at as u64 * 50));
            if let Some((server, carried)) = sent(&action, &snapshot) {
                prop_assert_eq!(snapshot.server(carried).map(|found| &found.id), Some(&server));
            }
        }
    }
}
