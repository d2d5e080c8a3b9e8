//! Servers that have just started can handle few requests. The bound on new flows to them applies
//! to the sum over all balancers.

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
    cold::{Limit, Limiter},
    roster,
    silence::Detector,
};
use acacia_wire::flow::mix;
use proptest::prelude::*;

use crate::fixture::{catalog, evacuation, ms, opening, present, routed, sent, server};

/// How long the servers are cold, in milliseconds.
const COLD_MS: u64 = 4_000;
/// The interval to which the bound applies.
const WINDOW: Duration = Duration::from_secs(1);

/// A fleet of balancers in front of some cold servers, without any warm ones.
#[derive(Debug, Clone)]
struct Scene {
    /// Number of balancers.
    balancers: u32,
    /// Number of balancers that each balancer knows, including itself.
    known: Vec<u32>,
    /// Whether each balancer has just started and does not know the size of the fleet.
    just_started: Vec<bool>,
    servers: usize,
    /// New flows per second, over all balancers.
    demand: u32,
    bound: f64,
    seed: u64,
}

/// Decides which cold server gets a new flow that arrives at a balancer, if any.
type Placement<'a> = dyn FnMut(usize, u64, Duration) -> Option<usize> + 'a;

/// The maximum number of new flows that a server gets within [`WINDOW`].
fn max_in_window(scene: &Scene, place: &mut Placement<'_>) -> usize {
    let mut recent: Vec<VecDeque<Duration>> = vec![VecDeque::new(); scene.servers];
    let flows = u64::from(scene.demand) * COLD_MS / 1_000;
    let mut max = 0;
    for number in 0..flows {
        let draw = mix(number ^ mix(scene.seed));
        let now = ms(number * COLD_MS / flows.max(1));
        let balancer = (draw >> 20) as usize % scene.balancers as usize;
        let Some(server) = place(balancer, draw, now) else {
            continue;
        };
        let recent = &mut recent[server];
        recent.push_back(now);
        while recent.front().is_some_and(|at| *at + WINDOW <= now) {
            recent.pop_front();
        }
        max = max.max(recent.len());
    }
    max
}

fn name(server: usize) -> Arc<str> {
    format!("i-{server}").into()
}

/// The maximum where each balancer samples its new flows at random.
fn max_with_sampling(scene: &Scene) -> usize {
    let service: Arc<str> = "live".into();
    let names: Vec<Arc<str>> = (0..scene.servers).map(name).collect();
    let mut limiters: Vec<Limiter> = (0..scene.balancers).map(|_| Limiter::default()).collect();
    max_in_window(scene, &mut |balancer, flow, now| {
        if scene.just_started[balancer] {
            return None;
        }
        let limit = Limit {
            bound: scene.bound,
            balancers: scene.known[balancer],
        };
        let limiter = &mut limiters[balancer];
        if !limiter.samples(&service, &limit, scene.servers, flow, now) {
            return None;
        }
        let first = mix(flow) as usize % scene.servers;
        let mut order = (0..scene.servers).map(|step| (first + step) % scene.servers);
        let server = order.find(|server| limiter.has_room(&names[*server], &limit, now))?;
        limiter.add(&names[server], now);
        Some(server)
    })
}

/// The maximum where each balancer has an equal quota of at least one flow.
fn max_with_quotas(scene: &Scene) -> usize {
    let mut sent: BTreeMap<(usize, usize), VecDeque<Duration>> = BTreeMap::new();
    max_in_window(scene, &mut |balancer, flow, now| {
        let server = mix(flow) as usize % scene.servers;
        let quota = scene.bound / f64::from(scene.known[balancer]);
        let sent = sent.entry((balancer, server)).or_default();
        while sent.front().is_some_and(|at| *at + WINDOW <= now) {
            sent.pop_front();
        }
        if sent.len() as f64 >= quota.floor().max(1.0) {
            return None;
        }
        sent.push_back(now);
        Some(server)
    })
}

/// Fleets of 1 to 300 balancers. Their lists of balancers lack up to a quarter of the fleet, and
/// some of them have just started.
fn scenes() -> impl Strategy<Value = Scene> {
    let sizes = (1u32..=300, 1usize..=60, 0u32..=20_000, any::<u64>());
    let bounds = prop_oneof![Just(6.5), Just(14.0), Just(35.0)];
    (sizes, bounds, 0.75f64..=1.0, 0.0f64..=0.6).prop_map(
        |((balancers, servers, demand, seed), bound, known, just_started)| {
            let draw = |balancer: u32, salt: u64| {
                mix(seed ^ mix(u64::from(balancer) ^ salt)) as f64 / u64::MAX as f64
            };
            let know = |balancer| {
                let fraction = known + (1.0 - known) * draw(balancer, 1);
                ((f64::from(balancers) * fraction).ceil() as u32).max(1)
            };
            Scene {
                balancers,
                known: (0..balancers).map(know).collect(),
                just_started: (0..balancers)
                    .map(|balancer| draw(balancer, 2) < just_started)
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

    /// Guards against overload of cold servers: no balancer sees how much the others send to them.
    #[test]
    fn the_rate_of_the_whole_fleet_to_a_cold_server_stays_within_the_bound(scene in scenes()) {
        let max = max_with_sampling(&scene);
        prop_assert!(max as f64 <= scene.bound, "{max} of {}", scene.bound);
    }
}

fn scene(balancers: u32, servers: usize, demand: u32, bound: f64) -> Scene {
    Scene {
        balancers,
        known: vec![balancers; balancers as usize],
        just_started: vec![false; balancers as usize],
        servers,
        demand,
        bound,
        seed: 7,
    }
}

/// In a large fleet, an equal quota for each balancer is less than one flow. Rounded up to one
/// flow, the quotas exceed the bound together.
#[test]
fn equal_quotas_for_all_balancers_exceed_the_bound() {
    let scene = scene(67, 40, 20_000, 14.0);

    assert!(max_with_quotas(&scene) as f64 > scene.bound);
    assert!(max_with_sampling(&scene) as f64 <= scene.bound);
}

/// A network partition separates two halves of the fleet. After some seconds, the balancers of each
/// half no longer hear from the other, and must not claim the whole bound for themselves.
#[test]
fn partitioned_halves_of_a_fleet_keep_the_bound_together() {
    let mut halves = scene(66, 40, 8_000, 14.0);
    let mut sizes = acacia_catalog::member::Peak::default();
    sizes.follow(66, ms(0));
    let known = sizes.follow(33, ms(30_000)) as u32;
    halves.known = vec![known; 66];

    assert!(max_with_sampling(&halves) as f64 <= halves.bound);
}

/// If all servers are cold, callers are still served at the rate that these servers can handle.
#[test]
fn cold_servers_are_used_if_there_are_no_others() {
    let scene = scene(9, 14, 2_000, 35.0);
    let service: Arc<str> = "live".into();
    let limit = Limit {
        bound: scene.bound,
        balancers: scene.balancers,
    };
    let mut limiters: Vec<Limiter> = (0..scene.balancers).map(|_| Limiter::default()).collect();

    let flows = (0..8_000u64).filter(|flow| {
        let balancer = *flow as usize % limiters.len();
        limiters[balancer].samples(&service, &limit, scene.servers, mix(*flow), ms(flow / 2))
    });

    let mean = flows.count() as f64 / 4.0 / scene.servers as f64;
    assert!((5.0..=14.0).contains(&mean), "{mean} a second");
}

/// How long a server of the service is cold, in milliseconds.
const WARMUP_MS: u32 = 2_000;

/// A configuration that limits cold servers of the service to 6 requests per second.
fn warmup_config(revision: u64) -> Change {
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

/// Six servers, of which the first `cold` have just started.
fn servers(cold: u64) -> Vec<Change> {
    let server = |number: u64| {
        let mut server = server(&format!("h-{number}"), "live");
        server.warmup_ms = if number <= cold { WARMUP_MS } else { 0 };
        present(server, number)
    };
    (1..=6).map(server).collect()
}

/// A roster to which the changes were applied at time 0, in a fleet of `balancers` balancers.
fn roster(changes: Vec<Change>, balancers: Option<u32>) -> Roster {
    let mut roster = Roster::default();
    roster.set_warmup_limits(roster::Warmup {
        overshoot: 1.5,
        slack: 5.0,
        balancers,
    });
    roster.update(&catalog(changes), ms(0));
    roster
}

/// Names of the cold servers, sorted.
fn cold(snapshot: &Snapshot) -> Vec<&str> {
    let cold = snapshot.pools[0].cold.iter();
    let mut cold: Vec<&str> = cold
        .map(|position| &*snapshot.servers[position as usize].id)
        .collect();
    cold.sort_unstable();
    cold
}

/// Number of openings that each server gets; refused openings are counted by their code.
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
    changes.push(warmup_config(9));
    let mut roster = roster(changes, Some(3));

    let before = roster.snapshot(&Detector::default(), ms(1_999));
    let after = roster.snapshot(&Detector::default(), ms(2_000));

    assert_eq!(cold(&before), ["h-1", "h-2"]);
    assert_eq!(
        before.pools[0].cold_limit.map(|limit| limit.bound),
        Some(14.0)
    );
    assert!(cold(&after).is_empty());
    assert_eq!(after.pools[0].open.len(), 6);
}

/// A service without a limit must not lose its cold servers while they warm up.
#[test]
fn a_service_without_a_limit_uses_its_cold_servers() {
    let mut changes = servers(2);
    changes.push(routed(&["live"], 9));

    let snapshot = roster(changes, Some(3)).snapshot(&Detector::default(), ms(1));

    assert!(cold(&snapshot).is_empty());
    assert_eq!(snapshot.pools[0].open.len(), 6);
}

/// Servers become cold while their data centre is evacuated. When the evacuation ends, all its
/// flows return at once.
#[test]
fn servers_count_as_cold_after_an_evacuation_of_their_data_centre() {
    let mut changes = servers(0);
    changes.push(warmup_config(9));
    changes.push(evacuation("a", 10, true));
    let mut roster = roster(changes.clone(), Some(3));
    changes.push(evacuation("a", 11, false));

    roster.update(&catalog(changes), ms(30_000));
    let during = roster.snapshot(&Detector::default(), ms(31_999));
    let after = roster.snapshot(&Detector::default(), ms(32_000));

    assert_eq!(cold(&during).len(), 6);
    assert!(cold(&after).is_empty());
}

/// A server crashes and restarts, and answers probes before its new entry is known.
#[test]
fn a_server_that_was_silent_counts_as_cold() {
    let mut changes = servers(0);
    changes.push(warmup_config(9));
    let mut roster = roster(changes, Some(3));

    roster.suspect_restart("h-4", ms(30_000));
    let during = roster.snapshot(&Detector::default(), ms(31_999));

    assert_eq!(cold(&during), ["h-4"]);
    assert_eq!(roster.next_change(ms(30_000)), Some(ms(32_000)));
}

/// Guards against overload of cold servers in a burst: if they got an equal share of it, they would
/// fail these requests.
#[test]
fn warm_servers_take_all_flows_if_they_are_at_least_half() {
    let mut changes = servers(3);
    changes.push(warmup_config(9));
    let snapshot = roster(changes, Some(3)).snapshot(&Detector::default(), ms(1));

    let placed = placed(&snapshot, 300);

    let used: Vec<_> = placed.keys().map(|outcome| outcome.as_deref()).collect();
    assert_eq!(used, [Ok("h-4"), Ok("h-5"), Ok("h-6")]);
}

/// Guards against sending all flows of a service to its only warm server.
#[test]
fn cold_servers_take_some_flows_if_they_are_the_majority() {
    let mut changes = servers(5);
    changes.push(warmup_config(9));
    let snapshot = roster(changes, Some(3)).snapshot(&Detector::default(), ms(1));

    let placed = placed(&snapshot, 300);

    assert!(placed[&Ok("h-6".into())] < 300, "{placed:?}");
    for server in ["h-1", "h-2", "h-3", "h-4", "h-5"] {
        let max = 3 * 14 / 3;
        let got = placed.get(&Ok(server.into())).copied().unwrap_or(0);
        assert!(got <= max, "{server}: {got}");
    }
}

/// A balancer that has just started does not know how many others there are, and cannot compute its
/// share of the limit.
#[test]
fn a_balancer_that_does_not_know_the_fleet_size_uses_no_cold_server() {
    let mut changes = servers(6);
    changes.push(warmup_config(9));
    let snapshot = roster(changes, None).snapshot(&Detector::default(), ms(1));

    let placed = placed(&snapshot, 100);

    assert_eq!(placed, BTreeMap::from([(Err(Code::ServersCold), 100)]));
}
