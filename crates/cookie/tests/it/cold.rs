//! Servers that have just started bear few requests, and the bound holds for the sum over all balancers.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use acacia_catalog::{
    Change,
    route::{Config, Warmup},
};
use acacia_code::Code;
use acacia_cookie::{
    Action, Resolver, Roster, Snapshot,
    cold::{Limiter, Ration},
    roster::WarmupLimits,
    silence::Detector,
};
use acacia_wire::flow::mix;
use proptest::prelude::*;

use crate::fixture::{catalog, evacuation, ms, opening, present, routed, sent, server};

/// For how long the servers are cold, in milliseconds.
const COLD_MS: u64 = 4_000;
/// The window of the bound.
const WINDOW: Duration = Duration::from_secs(1);

/// A fleet before some cold servers and none that is warm.
#[derive(Debug, Clone)]
struct Scene {
    /// Balancers that are there.
    balancers: u32,
    /// How many each balancer knows, itself included.
    known: Vec<u32>,
    /// Balancers that have just started and can't know how many there are.
    newborn: Vec<bool>,
    servers: usize,
    /// New flows a second at all balancers together.
    demand: u32,
    bound: f64,
    seed: u64,
}

/// How a balancer decides whether a cold server gets a new flow; gives which.
type Way<'a> = dyn FnMut(usize, u64, Duration) -> Option<usize> + 'a;

/// The most new flows that a server gets within [`WINDOW`].
fn most(scene: &Scene, way: &mut Way<'_>) -> usize {
    let mut recent: Vec<VecDeque<Duration>> = vec![VecDeque::new(); scene.servers];
    let flows = u64::from(scene.demand) * COLD_MS / 1_000;
    let mut most = 0;
    for number in 0..flows {
        let draw = mix(number ^ mix(scene.seed));
        let now = ms(number * COLD_MS / flows.max(1));
        let balancer = (draw >> 20) as usize % scene.balancers as usize;
        let Some(server) = way(balancer, draw, now) else {
            continue;
        };
        let recent = &mut recent[server];
        recent.push_back(now);
        while recent.front().is_some_and(|at| *at + WINDOW <= now) {
            recent.pop_front();
        }
        most = most.max(recent.len());
    }
    most
}

fn name(server: usize) -> Arc<str> {
    format!("i-{server}").into()
}

/// The most that a server gets where each balancer sends its random part.
fn most_by_part(scene: &Scene) -> usize {
    let service: Arc<str> = "live".into();
    let names: Vec<Arc<str>> = (0..scene.servers).map(name).collect();
    let mut sent: Vec<Limiter> = (0..scene.balancers).map(|_| Limiter::default()).collect();
    most(scene, &mut |balancer, flow, now| {
        if scene.newborn[balancer] {
            return None;
        }
        let ration = Ration {
            bound: scene.bound,
            balancers: scene.known[balancer],
        };
        let sent = &mut sent[balancer];
        if !sent.samples(&service, &ration, scene.servers, flow, now) {
            return None;
        }
        let first = mix(flow) as usize % scene.servers;
        let mut order = (0..scene.servers).map(|step| (first + step) % scene.servers);
        let server = order.find(|server| sent.has_room(&names[*server], &ration, now))?;
        sent.add(&names[server], now);
        Some(server)
    })
}

/// The most that a server gets where each balancer has an equal share, of one flow at least.
fn most_by_share(scene: &Scene) -> usize {
    let mut sent: BTreeMap<(usize, usize), VecDeque<Duration>> = BTreeMap::new();
    most(scene, &mut |balancer, flow, now| {
        let server = mix(flow) as usize % scene.servers;
        let share = scene.bound / f64::from(scene.known[balancer]);
        let sent = sent.entry((balancer, server)).or_default();
        while sent.front().is_some_and(|at| *at + WINDOW <= now) {
            sent.pop_front();
        }
        if sent.len() as f64 >= share.floor().max(1.0) {
            return None;
        }
        sent.push_back(now);
        Some(server)
    })
}

/// Fleets of 1 to 300 in which lists of balancers lack up to a quarter, and some have just started.
fn scenes() -> impl Strategy<Value = Scene> {
    let sizes = (1u32..=300, 1usize..=60, 0u32..=20_000, any::<u64>());
    let bounds = prop_oneof![Just(6.5), Just(14.0), Just(35.0)];
    (sizes, bounds, 0.75f64..=1.0, 0.0f64..=0.6).prop_map(
        |((balancers, servers, demand, seed), bound, known, newborn)| {
            let draw = |balancer: u32, salt: u64| {
                mix(seed ^ mix(u64::from(balancer) ^ salt)) as f64 / u64::MAX as f64
            };
            let know = |balancer| {
                let part = known + (1.0 - known) * draw(balancer, 1);
                ((f64::from(balancers) * part).ceil() as u32).max(1)
            };
            Scene {
                balancers,
                known: (0..balancers).map(know).collect(),
                newborn: (0..balancers)
                    .map(|balancer| draw(balancer, 2) < newborn)
                    .collect(),
                servers,
                demand,
                bound,
                seed,
            }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Servers that come back cold get more than they bear, as no balancer sees what the others send.
    #[test]
    fn cold_servers_get_no_more_than_they_bear_from_the_whole_fleet(scene in scenes()) {
        let most = most_by_part(&scene);
        prop_assert!(most as f64 <= scene.bound, "{most} of {}", scene.bound);
    }
}

fn scene(balancers: u32, servers: usize, demand: u32, bound: f64) -> Scene {
    Scene {
        balancers,
        known: vec![balancers; balancers as usize],
        newborn: vec![false; balancers as usize],
        servers,
        demand,
        bound,
        seed: 7,
    }
}

/// An equal share for each balancer is less than one flow in a large fleet.
#[test]
fn an_equal_share_for_each_balancer_would_not_keep_the_bound() {
    let scene = scene(67, 40, 20_000, 14.0);

    assert!(most_by_share(&scene) as f64 > scene.bound);
    assert!(most_by_part(&scene) as f64 <= scene.bound);
}

/// A data centre is cut off from the others; after some seconds its balancers hear of nobody there, and
/// would take the whole bound for their own.
#[test]
fn two_halves_that_lost_each_other_keep_the_bound_together() {
    let mut halves = scene(66, 40, 8_000, 14.0);
    let mut sizes = acacia_catalog::member::Peak::default();
    sizes.follow(66, ms(0));
    let known = sizes.follow(33, ms(30_000)) as u32;
    halves.known = vec![known; 66];

    assert!(most_by_part(&halves) as f64 <= halves.bound);
}

/// Where all servers are cold, callers are served as far as these bear it.
#[test]
fn cold_servers_that_are_the_only_ones_are_used() {
    let scene = scene(9, 14, 2_000, 35.0);
    let service: Arc<str> = "live".into();
    let ration = Ration {
        bound: scene.bound,
        balancers: scene.balancers,
    };
    let mut sent: Vec<Limiter> = (0..scene.balancers).map(|_| Limiter::default()).collect();

    let flows = (0..8_000u64).filter(|flow| {
        let balancer = *flow as usize % sent.len();
        sent[balancer].samples(&service, &ration, scene.servers, mix(*flow), ms(flow / 2))
    });

    let mean = flows.count() as f64 / 4.0 / scene.servers as f64;
    assert!((5.0..=14.0).contains(&mean), "{mean} a second");
}

/// For how long a server of the service is cold, in milliseconds.
const WARMUP_MS: u32 = 2_000;

/// A configuration whose service bears 6 requests a second on a cold server.
fn limited(revision: u64) -> Change {
    let Change::Config { config, .. } = routed(&["live"], revision) else {
        unreachable!("a configuration");
    };
    let warmup = Warmup {
        service: "live".into(),
        time_ms: WARMUP_MS,
        requests: 6_000,
    };
    let config = Config {
        warmups: vec![warmup],
        ..Config::clone(&config)
    };
    Change::Config {
        revision,
        config: Arc::new(config),
    }
}

/// Six servers, of which those with a number up to `cold` have just started.
fn servers(cold: u64) -> Vec<Change> {
    let server = |number: u64| {
        let mut server = server(&format!("h-{number}"), "live");
        server.warmup_ms = if number <= cold { WARMUP_MS } else { 0 };
        present(server, number)
    };
    (1..=6).map(server).collect()
}

/// A roster that has taken in the changes at time 0, in a fleet of so many balancers.
fn roster(changes: Vec<Change>, balancers: Option<u32>) -> Roster {
    let mut roster = Roster::default();
    roster.set_warmup_limits(WarmupLimits {
        overshoot: 1.5,
        slack: 5.0,
        balancers,
    });
    roster.update(&catalog(changes), ms(0));
    roster
}

fn cold(snapshot: &Snapshot) -> Vec<&str> {
    let cold = snapshot.pools[0].cold.iter();
    let mut cold: Vec<&str> = cold
        .map(|position| &*snapshot.servers[*position as usize].id)
        .collect();
    cold.sort_unstable();
    cold
}

/// The servers that openings go to, by number of openings; those that are refused count under their code.
fn placed(snapshot: &Snapshot, openings: u16) -> BTreeMap<Result<Arc<str>, Code>, usize> {
    let mut resolver = Resolver::default();
    let mut placed = BTreeMap::new();
    for port in 1..=openings {
        let now = ms(u64::from(port) * 10);
        let action = resolver.resolve(snapshot, &opening(port), None, now);
        let outcome = match &action {
            Action::Reset { code } => Err(*code),
            _ => Ok(sent(&action, snapshot).expect("forwarded").0),
        };
        *placed.entry(outcome).or_default() += 1;
    }
    placed
}

#[test]
fn a_server_is_limited_until_it_is_warm() {
    let mut changes = servers(2);
    changes.push(limited(9));
    let roster = roster(changes, Some(3));

    let before = roster.snapshot(&Detector::default(), ms(1_999));
    let after = roster.snapshot(&Detector::default(), ms(2_000));

    assert_eq!(cold(&before), ["h-1", "h-2"]);
    assert_eq!(
        before.pools[0].ration.map(|ration| ration.bound),
        Some(14.0)
    );
    assert!(cold(&after).is_empty());
    assert_eq!(after.pools[0].open.len(), 6);
}

/// A service without a limit would lose its servers for as long as they are slow.
#[test]
fn a_service_without_a_limit_uses_its_cold_servers() {
    let mut changes = servers(2);
    changes.push(routed(&["live"], 9));

    let snapshot = roster(changes, Some(3)).snapshot(&Detector::default(), ms(1));

    assert!(cold(&snapshot).is_empty());
    assert_eq!(snapshot.pools[0].open.len(), 6);
}

/// Servers become cold while their data centre is evacuated, and all of its flows come back at once.
#[test]
fn servers_are_taken_for_cold_when_the_evacuation_of_their_data_centre_ends() {
    let mut changes = servers(0);
    changes.push(limited(9));
    changes.push(evacuation("a", 10, true));
    let mut roster = roster(changes.clone(), Some(3));
    changes.push(evacuation("a", 11, false));

    roster.update(&catalog(changes), ms(30_000));
    let during = roster.snapshot(&Detector::default(), ms(31_999));
    let after = roster.snapshot(&Detector::default(), ms(32_000));

    assert_eq!(cold(&during).len(), 6);
    assert!(cold(&after).is_empty());
}

/// A server crashes and starts again, and answers probes before its new entry is known.
#[test]
fn a_server_that_was_silent_is_taken_for_cold() {
    let mut changes = servers(0);
    changes.push(limited(9));
    let mut roster = roster(changes, Some(3));

    roster.suspect_restart("h-4", ms(30_000));
    let during = roster.snapshot(&Detector::default(), ms(31_999));

    assert_eq!(cold(&during), ["h-4"]);
    assert_eq!(roster.next_change(ms(30_000)), Some(ms(32_000)));
}

/// A server that has just started gets its share of a burst and fails it.
#[test]
fn while_half_of_the_servers_are_warm_they_take_all_flows() {
    let mut changes = servers(3);
    changes.push(limited(9));
    let snapshot = roster(changes, Some(3)).snapshot(&Detector::default(), ms(1));

    let placed = placed(&snapshot, 300);

    let used: Vec<_> = placed.keys().map(|outcome| outcome.as_deref()).collect();
    assert_eq!(used, [Ok("h-4"), Ok("h-5"), Ok("h-6")]);
}

/// One warm server among cold ones gets all flows of the service.
#[test]
fn where_most_servers_are_cold_they_take_a_part() {
    let mut changes = servers(5);
    changes.push(limited(9));
    let snapshot = roster(changes, Some(3)).snapshot(&Detector::default(), ms(1));

    let placed = placed(&snapshot, 300);

    assert!(placed[&Ok("h-6".into())] < 300, "{placed:?}");
    for server in ["h-1", "h-2", "h-3", "h-4", "h-5"] {
        let most = 3 * 14 / 3;
        let got = placed.get(&Ok(server.into())).copied().unwrap_or(0);
        assert!(got <= most, "{server}: {got}");
    }
}

/// A balancer that has just started doesn't know how many others there are.
#[test]
fn a_balancer_that_cannot_know_the_size_of_the_fleet_sends_nothing_to_cold_servers() {
    let mut changes = servers(6);
    changes.push(limited(9));
    let snapshot = roster(changes, None).snapshot(&Detector::default(), ms(1));

    let placed = placed(&snapshot, 100);

    assert_eq!(placed, BTreeMap::from([(Err(Code::ServersCold), 100)]));
}
