use std::sync::Arc;

use acacia_catalog::{
    Change,
    server::{Server, State},
};
use acacia_code::Code;
use acacia_cookie::{
    Action, Notice, Resolver, Roster,
    silence::{Detector, Finding, Verdict},
};
use proptest::prelude::*;

use crate::fixture::{
    absent, catalog, middle, ms, names_with_same_cookie, opening, present, routed, sent, server,
    snapshot, unrouted,
};

fn fleet(count: u64) -> Vec<Change> {
    let servers =
        (0..count).map(|number| present(server(&format!("i-{number:x}"), "live"), number + 1));
    servers.chain([routed(&["live"], count + 1)]).collect()
}

#[test]
fn a_flow_continues_through_a_balancer_that_has_no_state_of_it() {
    let snapshot = snapshot(fleet(14));
    let action = Resolver::default().resolve(&snapshot, &opening(1), None, ms(0));
    let (server, cookie) = sent(&action, &snapshot).expect("a server");

    let action =
        Resolver::default().resolve(&snapshot, &middle(1, 101, 50, 7), Some(cookie), ms(5));

    assert_eq!(sent(&action, &snapshot), Some((server, cookie)));
}

/// An operator removes a route while flows are open, and adds it again later. Open flows must go on;
/// new ones must be reset at once while there is no route for the address.
#[test]
fn a_removed_route_takes_no_new_flows_and_keeps_open_ones() {
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

/// A route is changed to target another service. A flow that was opened under the old configuration must
/// stay at its server, and new ones must not reach the old service.
#[test]
fn a_changed_route_sends_new_flows_to_the_new_service_only() {
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

/// The answer to a SYN is lost, and the caller retransmits the SYN. If two servers answered it, the flow
/// would stay half open at one of them.
#[test]
fn a_retransmitted_syn_goes_to_the_same_server_if_that_one_answers_other_flows() {
    let snapshot = snapshot(fleet(14));
    let mut resolver = Resolver::default();
    let first = resolver.resolve(&snapshot, &opening(1), None, ms(0));
    let (server, cookie) = sent(&first, &snapshot).expect("a server");
    // Meanwhile, a packet of another flow shows that the server answers.
    resolver.resolve(&snapshot, &middle(2, 10, 50, 1), Some(cookie), ms(100));

    let retransmitted = resolver.resolve(&snapshot, &opening(1), None, ms(200));

    assert_eq!(sent(&retransmitted, &snapshot), Some((server, cookie)));
}

/// A server has just failed, and its entry is still in the store. If all retransmissions of a SYN went
/// there, the caller would give up after 1.4 s.
#[test]
fn a_retransmitted_syn_goes_to_another_server_if_the_first_one_answers_nothing() {
    let snapshot = snapshot(fleet(14));
    let mut resolver = Resolver::default();
    let first = resolver.resolve(&snapshot, &opening(1), None, ms(0));
    let (silent, _) = sent(&first, &snapshot).expect("a server");

    let retransmitted = resolver.resolve(&snapshot, &opening(1), None, ms(200));

    let (other, _) = sent(&retransmitted, &snapshot).expect("a server");
    assert_ne!(other, silent);
    assert_eq!(resolver.take_notices(ms(210)), [Notice::Unanswered(silent)]);
    assert_eq!(resolver.take_notices(ms(400)), [Notice::Unanswered(other)]);
}

/// A route is changed to target another service between a SYN and its retransmission. Guards against
/// opening a flow at the old service, as if the change had been reverted.
#[test]
fn a_retransmitted_syn_follows_a_changed_route() {
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

    let retransmitted = resolver.resolve(&after, &opening(1), None, ms(100));

    let (server, _) = sent(&retransmitted, &after).expect("a server");
    assert_eq!(&*server, "i-2");
}

/// A server starts to drain between a SYN and its retransmission. The retransmission must go to another
/// server, as no new work may reach a draining server after a few seconds.
#[test]
fn a_retransmitted_syn_does_not_go_to_a_draining_server() {
    let before = snapshot(fleet(14));
    let mut resolver = Resolver::default();
    let first = resolver.resolve(&before, &opening(1), None, ms(0));
    let (id, _) = sent(&first, &before).expect("a server");
    let draining = acacia_catalog::server::Server {
        state: acacia_catalog::server::State::Draining,
        ..server(&id, "live")
    };
    let after = snapshot(fleet(14).into_iter().chain([present(draining, 99)]));

    let retransmitted = resolver.resolve(&after, &opening(1), None, ms(100));

    assert_ne!(
        sent(&retransmitted, &after).map(|(server, _)| server),
        Some(id)
    );
}

/// Guards against flows that are ended because another server with the same cookie has left.
#[test]
fn flows_of_a_server_outlast_another_with_the_same_cookie() {
    let (one, other) = names_with_same_cookie();
    let older = Server {
        state: State::Draining,
        ..server(&one, "live")
    };
    let entries = [
        routed(&["live"], 1),
        present(older, 2),
        present(server(&other, "live"), 3),
    ];
    let mut roster = Roster::default();
    roster.update(&catalog(entries.clone()), ms(0));
    let before = roster.snapshot(&Detector::default(), ms(0));
    let mut resolver = Resolver::default();
    let action = resolver.resolve(&before, &opening(1), None, ms(0));
    let (opened, cookie) = sent(&action, &before).expect("a server");
    resolver.resolve(&before, &middle(1, 101, 50, 7), Some(cookie), ms(5));

    let left = entries.into_iter().chain([absent(&one, 4)]);
    roster.update(&catalog(left), ms(10));
    let after = roster.snapshot(&Detector::default(), ms(10));
    let ended = resolver.end_flows_of_gone_servers(&after);

    assert_eq!(&*opened, other.as_str());
    assert_eq!(ended, []);
}

/// Guards against a server that is treated like one of unknown speed, or not at all, because another has
/// the same cookie.
#[test]
fn servers_with_the_same_cookie_are_found_by_name() {
    let (one, other) = names_with_same_cookie();

    let snapshot = snapshot([
        present(server(&one, "live"), 1),
        present(server(&other, "maps"), 2),
    ]);

    let service = |id: &str| snapshot.named(id).map(|server| &*server.service);
    assert_eq!(
        (service(&one), service(&other)),
        (Some("live"), Some("maps"))
    );
}

/// A server with open flows stops answering. Its callers would wait until their deadlines; when their
/// flows are ended, they open others at once. No flow of another server may be ended.
#[test]
fn only_the_flows_of_a_silent_server_are_ended() {
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

/// A balancer lags behind the store and receives a packet of a flow at a server that it doesn't know yet.
/// A reset would end a working flow; after a drop, the caller retransmits the packet.
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
fn a_packet_of_an_open_flow_without_a_cookie_is_dropped() {
    let snapshot = snapshot(fleet(3));

    let action = Resolver::default().resolve(&snapshot, &middle(1, 101, 50, 7), None, ms(0));

    assert_eq!(
        action,
        Action::Drop {
            code: Code::FlowUnknown
        }
    );
}

/// Views of several balancers: for each server, whether the balancer knows its entry.
fn views(servers: u64) -> impl Strategy<Value = Vec<Vec<bool>>> {
    let view = prop::collection::vec(any::<bool>(), servers as usize);
    prop::collection::vec(view, 2..6)
}

proptest! {
    /// Updates reach balancers at different times, and each packet of a flow may reach any balancer.
    /// Each packet must go to the server at which the flow was opened, or be dropped by a balancer that
    /// doesn't know that server, and never go to another server.
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

    /// Packets of every kind in any order, with any cookie, must not cause a panic, and a packet must
    /// only be forwarded to the server that its cookie names.
    #[test]
    fn any_packets_in_any_order_are_handled(
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
