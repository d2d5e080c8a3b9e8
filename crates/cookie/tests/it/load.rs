//! Distribution of new flows over servers of which some are slow, fail or do not answer.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use acacia_cookie::{Resolver, Snapshot, cookie::Cookie};
use acacia_load::delay::Idle;
use acacia_wire::packet::{Kind, Packet};

use crate::fixture::{middle, ms, opening, present, routed, sent, server, snapshot};

const SERVERS: u64 = 14;

fn fleet() -> Snapshot {
    let servers =
        (0..SERVERS).map(|number| present(server(&format!("i-{number:x}"), "live"), number + 1));
    snapshot(servers.chain([routed(&["live"], SERVERS + 1)]))
}

/// Opens a flow and sends one request on it; returns the flow's server and cookie.
fn ask(
    resolver: &mut Resolver,
    fleet: &Snapshot,
    port: u16,
    now: Duration,
) -> (Arc<str>, Option<Cookie>) {
    let action = resolver.resolve(fleet, &opening(port), None, now);
    let (server, cookie) = sent(&action, fleet).expect("a server");
    let request = middle(port, 101, 200, 50);
    resolver.resolve(fleet, &request, Some(cookie), now + ms(4));
    (server, Some(cookie))
}

/// Acknowledges the answer with the caller's FIN.
fn answer(resolver: &mut Resolver, fleet: &Snapshot, port: u16, cookie: Option<Cookie>, at: u64) {
    let closing = Packet {
        kind: Kind::Closing,
        ..middle(port, 301, 0, 1_250)
    };
    resolver.resolve(fleet, &closing, cookie, ms(at));
}

/// Opens a flow with one request every 10 ms for 20 s; `takes` gives the response time of a server in
/// milliseconds, or `None` if it doesn't answer and the caller resets the flow after 2 s. Returns the
/// number of flows that each server got in the last 10 s.
fn simulate(takes: impl Fn(&str, u16) -> Option<u64>) -> BTreeMap<Arc<str>, u32> {
    simulate_with(None, takes)
}

/// Like [`simulate`], with `idle` as the known response time of all servers without queueing.
fn simulate_with(
    idle: Option<Idle>,
    takes: impl Fn(&str, u16) -> Option<u64>,
) -> BTreeMap<Arc<str>, u32> {
    let mut fleet = fleet();
    for server in fleet.servers.iter_mut() {
        server.idle = idle;
    }
    let mut resolver = Resolver::default();
    let mut ends: BTreeMap<(u64, u16), (Option<Cookie>, bool)> = BTreeMap::new();
    let mut counts = BTreeMap::new();
    for port in 1..2_000u16 {
        let now = u64::from(port) * 10;
        while let Some(entry) = ends.first_entry()
            && entry.key().0 <= now
        {
            let ((at, ended), (cookie, answered)) = entry.remove_entry();
            if answered {
                answer(&mut resolver, &fleet, ended, cookie, at);
            } else {
                let reset = Packet {
                    kind: Kind::Reset,
                    ..middle(ended, 301, 0, 50)
                };
                resolver.resolve(&fleet, &reset, cookie, ms(at));
            }
        }
        let (server, cookie) = ask(&mut resolver, &fleet, port, ms(now));
        let takes = takes(&server, port);
        ends.insert(
            (now + 4 + takes.unwrap_or(2_000), port),
            (cookie, takes.is_some()),
        );
        if now >= 10_000 {
            *counts.entry(server).or_default() += 1;
        }
    }
    counts
}

/// Share of the flows that went to the servers for which `is_one` holds.
fn share(counts: &BTreeMap<Arc<str>, u32>, is_one: impl Fn(&str) -> bool) -> f64 {
    let of = counts.iter().filter(|(server, _)| is_one(server));
    let all: u32 = counts.values().sum();
    f64::from(of.map(|(_, count)| count).sum::<u32>()) / f64::from(all)
}

/// Whether a server is one of the four of the fleet that a test makes misbehave.
fn is_impaired(server: &str) -> bool {
    ["i-0", "i-1", "i-2", "i-3"].contains(&server)
}

/// Four of 14 servers accept flows and requests but answer only one request in ten. They keep their
/// connections open and pass every probe, while their callers wait until their deadlines. When
/// placement went by the number of open flows alone, these servers got a quarter of all new flows.
#[test]
fn servers_that_leave_requests_unanswered_get_few_new_flows() {
    let counts = simulate(|server, port| {
        let mute = is_impaired(server) && !port.is_multiple_of(10);
        (!mute).then_some(40)
    });

    assert!(share(&counts, is_impaired) < 0.02, "{counts:?}");
}

/// Four of 14 servers are five times slower than the others. A new flow that is placed there waits,
/// although others would answer at once.
#[test]
fn slow_servers_get_few_new_flows() {
    let counts = simulate(|server, _| Some(if is_impaired(server) { 200 } else { 40 }));

    assert!(share(&counts, is_impaired) < 0.05, "{counts:?}");
}

/// Four of 14 servers answer only one request in ten for 5 s, and then all. They must get their share of
/// new flows again without intervention.
#[test]
fn servers_that_answer_again_get_flows_again() {
    let counts = simulate(|server, port| {
        let mute = is_impaired(server) && port < 500;
        (!mute).then_some(40)
    });

    assert!(share(&counts, is_impaired) > 0.15, "{counts:?}");
}

/// Among servers that answer alike, none may get far fewer or far more flows than the others.
#[test]
fn equal_servers_get_similar_numbers_of_flows() {
    let counts = simulate(|_, port| Some(u64::from(port % 7) * 10 + 10));

    let (least, most) = (counts.values().min(), counts.values().max());
    assert_eq!(counts.len() as u64, SERVERS);
    assert!(least > Some(&40) && most < Some(&110), "{counts:?}");
}

/// Four of 14 servers fail nearly all requests immediately, without processing them. By its response
/// times, such a server is the fastest of all: it got more and more flows, whose callers saw errors.
#[test]
fn servers_that_fail_requests_immediately_get_few_new_flows() {
    let takes = |server: &str, port: u16| {
        let fails = is_impaired(server) && !port.is_multiple_of(10);
        Some(if fails { 7 } else { 40 })
    };
    let idle = Idle {
        network: 0.006,
        work: 0.04,
    };
    let counts = simulate_with(Some(idle), takes);

    assert!(share(&counts, is_impaired) < 0.03, "{counts:?}");
}
