//! Placement under load: which servers get new flows when some are busy or answer nothing.

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

/// Opens a flow with one request; gives its server.
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

/// The caller acknowledges the answer with its FIN.
fn answer(resolver: &mut Resolver, fleet: &Snapshot, port: u16, cookie: Option<Cookie>, at: u64) {
    let closing = Packet {
        kind: Kind::Closing,
        ..middle(port, 301, 0, 1_250)
    };
    resolver.resolve(fleet, &closing, cookie, ms(at));
}

/// Opens a flow with one request every 10 ms for twenty seconds; `takes` tells how many milliseconds
/// a server needs for its answer, or nothing if it gives none and the caller leaves after 2 s. How
/// many flows each server got in the last ten seconds.
fn play(takes: impl Fn(&str, u16) -> Option<u64>) -> BTreeMap<Arc<str>, u32> {
    play_with(None, takes)
}

/// The same with what is known of all servers' answers when nothing waits.
fn play_with(
    idle: Option<Idle>,
    takes: impl Fn(&str, u16) -> Option<u64>,
) -> BTreeMap<Arc<str>, u32> {
    let mut fleet = fleet();
    for server in &mut fleet.servers {
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

fn part(counts: &BTreeMap<Arc<str>, u32>, is_one: impl Fn(&str) -> bool) -> f64 {
    let of = counts.iter().filter(|(server, _)| is_one(server));
    let all: u32 = counts.values().sum();
    f64::from(of.map(|(_, count)| count).sum::<u32>()) / f64::from(all)
}

fn is_quarter(server: &str) -> bool {
    ["i-0", "i-1", "i-2", "i-3"].contains(&server)
}

/// Four of fourteen servers accept flows and take in requests, and answer one of ten. They hold
/// connections like any other, and no probe finds fault with them. Their callers wait out their
/// deadlines; by flows in hand alone these servers got a quarter of all new ones.
#[test]
fn servers_that_leave_requests_unanswered_get_few_new_flows() {
    let counts = play(|server, port| {
        let mute = is_quarter(server) && !port.is_multiple_of(10);
        (!mute).then_some(40)
    });

    assert!(part(&counts, is_quarter) < 0.02, "{counts:?}");
}

/// Four of fourteen servers turn five times slower than the others. A new flow that goes there waits
/// where others would answer at once.
#[test]
fn servers_whose_answers_take_long_get_few_new_flows() {
    let counts = play(|server, _| Some(if is_quarter(server) { 200 } else { 40 }));

    assert!(part(&counts, is_quarter) < 0.05, "{counts:?}");
}

/// A server answered nothing for a while and is well again. It must get its part again without
/// anybody's help.
#[test]
fn a_server_that_answers_again_gets_flows_again() {
    let counts = play(|server, port| {
        let mute = is_quarter(server) && port < 500;
        (!mute).then_some(40)
    });

    assert!(part(&counts, is_quarter) > 0.15, "{counts:?}");
}

/// Flows at equal servers: none may starve and none may be crowded.
#[test]
fn equal_servers_get_equal_parts() {
    let counts = play(|_, port| Some(u64::from(port % 7) * 10 + 10));

    let (least, most) = (counts.values().min(), counts.values().max());
    assert_eq!(counts.len() as u64, SERVERS);
    assert!(least > Some(&40) && most < Some(&110), "{counts:?}");
}

/// Four of fourteen servers fail nearly all requests at once, without working on them. By its answer
/// times such a server is the fastest of all; it got more and more flows, and their callers' errors.
#[test]
fn servers_that_answer_too_soon_get_few_new_flows() {
    let takes = |server: &str, port: u16| {
        let fails = is_quarter(server) && !port.is_multiple_of(10);
        Some(if fails { 7 } else { 40 })
    };
    let idle = Idle {
        network: 0.006,
        work: 0.04,
    };
    let counts = play_with(Some(idle), takes);

    assert!(part(&counts, is_quarter) < 0.03, "{counts:?}");
}
