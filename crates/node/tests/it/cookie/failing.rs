//! Some servers fail their requests in a large fleet, where each balancer sees only a few of them.

use std::sync::Arc;

use acacia_cookie::speed;
use acacia_load::tally::Count;

use super::fixture::{Fleet, config, ms, server};

const CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];
const BALANCERS: usize = 195;
const SERVERS: u64 = 290;
/// Every fourth server fails nine of ten requests.
const FAILING: u64 = 4;
/// Requests per second to a server from all balancers together.
const REQUESTS: u64 = 4;

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(BALANCERS as u8, &CENTRES);
    let now = fleet.now;
    let servers = (1..=SERVERS).map(|number| server(&name(number), number));
    let all: Vec<_> = [config(SERVERS + 1, 3)]
        .into_iter()
        .chain(servers)
        .collect();
    for core in fleet.cores.values_mut() {
        core.apply_full_read(all.clone(), SERVERS + 1, now, now);
        core.snapshot(now);
    }
    fleet
}

fn name(number: u64) -> String {
    format!("i-{number}")
}

/// One balancer's counts of a server within one second.
fn seen(number: u64, failed: bool) -> speed::Count {
    let count = Count {
        asked: 1,
        answered: u32::from(!failed),
        failed: u32::from(failed),
        ..Count::default()
    };
    let server = name(number).into();
    speed::Count { server, count }
}

/// Sends one second of requests, each through another balancer. At failing servers, nine of ten
/// fail.
fn second(fleet: &mut Fleet, round: u64) {
    let mut outgoing = Vec::new();
    for number in 1..=SERVERS {
        for request in 0..REQUESTS {
            let draw = round * 31 + number * 7 + request * 53;
            let failed = number.is_multiple_of(FAILING) && !draw.is_multiple_of(10);
            let at = (draw * 17) as usize % BALANCERS;
            let now = fleet.now;
            let core = fleet.cores.values_mut().nth(at).expect("a balancer");
            outgoing.extend(core.record_counts(vec![seen(number, failed)], now).outgoing);
        }
    }
    fleet.deliver(outgoing);
    fleet.now += ms(1_000);
}

/// The number of failing and of healthy servers that a balancer in the servers' data centre marks
/// as failing.
fn avoided(fleet: &mut Fleet) -> (usize, usize) {
    let now = fleet.now;
    let near = fleet.cores.values_mut();
    let core = near.filter(|core| &*core.own().data_centre == "a").last();
    let (snapshot, _) = core.expect("a balancer").snapshot(now);
    let is_failing = |id: &Arc<str>| {
        let number: u64 = id[2..].parse().expect("a number");
        number.is_multiple_of(FAILING)
    };
    let avoided = snapshot.servers.iter().filter(|server| server.failing);
    let (right, wrong): (Vec<_>, Vec<_>) = avoided.partition(|server| is_failing(&server.id));
    (right.len(), wrong.len())
}

/// Each balancer sees a request to a failing server about once a minute. Without sharing counts,
/// none would reduce the server's flows.
#[test]
fn failing_servers_are_detected_within_two_seconds() {
    let mut fleet = fleet();

    for round in 0..2 {
        second(&mut fleet, round);
    }

    let (right, wrong) = avoided(&mut fleet);
    assert!(right as u64 >= SERVERS / FAILING * 9 / 10, "{right}");
    assert_eq!(wrong, 0);
}

/// Servers that answer again must not remain excluded from new flows.
#[test]
fn servers_that_recovered_are_used_again() {
    let mut fleet = fleet();
    for round in 0..3 {
        second(&mut fleet, round);
    }

    fleet.rounds(10);

    assert_eq!(avoided(&mut fleet), (0, 0));
}
