//! An outage of the store ends all leases, and the servers register again within seconds.

use std::{collections::BTreeMap, sync::Arc};

use acacia_catalog::{
    Catalog, Change,
    route::{Config, Warmup},
    server::{Server, State},
};
use acacia_cookie::{
    Resolver, Roster, Snapshot,
    cookie::Cookie,
    roster::{Limits, lapse::Event},
    silence::{Detector, Finding},
    snapshot::{Pool, Standing},
};
use acacia_wire::packet::{Kind, Packet};
use rstest::rstest;

use crate::fixture::{
    absent, catalog, evacuation, middle, ms, opening, present, routed, sent, server,
};

fn id(number: u64) -> String {
    format!("h-{number}")
}

/// A server in one of three data centres.
fn backend(number: u64) -> Server {
    Server {
        data_centre: ["a", "b", "c"][number as usize % 3].into(),
        ..server(&id(number), "live")
    }
}

/// A balancer's view of servers numbered from 1.
struct Scene {
    catalog: Catalog,
    roster: Roster,
    detector: Detector,
    now: u64,
}

impl Scene {
    /// A view of `count` servers that have entries at time 0.
    fn new(count: u64) -> Self {
        let servers = (1..=count).map(|number| present(backend(number), number));
        let mut scene = Scene {
            catalog: catalog(servers.chain([routed(&["live"], count + 1)])),
            roster: Roster::new(Limits::default()),
            detector: Detector::default(),
            now: 0,
        };
        scene.apply([]);
        scene
    }

    /// Applies changes that are read at once.
    fn apply(&mut self, changes: impl IntoIterator<Item = Change>) {
        for change in changes {
            self.catalog.apply(change);
        }
        self.roster.update(&self.catalog, ms(self.now));
    }

    fn revision(&self) -> u64 {
        self.catalog
            .servers_edited_since(0)
            .map(|(_, item)| item.revision)
            .max()
            .unwrap_or_default()
            + 100
    }

    /// Removes the entries of servers, as a store that comes back has lost their leases.
    fn lapse(&mut self, servers: impl IntoIterator<Item = u64>) {
        self.roster.set_last_outage(Some(ms(self.now)));
        self.run_out(servers);
    }

    /// Removes the entries of servers, while the store answers.
    fn run_out(&mut self, servers: impl IntoIterator<Item = u64>) {
        let first = self.revision();
        let servers = servers.into_iter().zip(first..);
        let changes: Vec<Change> = servers
            .map(|(number, revision)| absent(&id(number), revision))
            .collect();
        self.apply(changes);
    }

    /// Writes a server's entry.
    fn register(&mut self, server: Server) {
        let change = present(server, self.revision());
        self.apply([change]);
    }

    /// Lets a server's entry come back as it was.
    fn come_back(&mut self, number: u64) {
        self.register(backend(number));
    }

    fn snapshot(&mut self) -> Snapshot {
        let mut snapshot = self.roster.snapshot(&self.detector, ms(self.now));
        snapshot.data_centre = "a".into();
        snapshot
    }

    fn pool(&mut self) -> Pool {
        self.snapshot().pools[0].clone()
    }

    /// The numbers of the servers that take new flows, in order.
    fn used(&mut self) -> Vec<u64> {
        let snapshot = self.snapshot();
        let open = snapshot.pools[0].open.iter();
        let number = |at: u32| snapshot.servers[at as usize].id[2..].parse();
        let mut used: Vec<u64> = open.map(|at| number(at).expect("a number")).collect();
        used.sort_unstable();
        used
    }

    fn standing(&mut self, number: u64) -> Standing {
        let snapshot = self.snapshot();
        let server = snapshot.server(Cookie::of(&id(number), 0));
        server.expect("a known server").standing
    }

    /// Finds a server silent.
    fn silence(&mut self, number: u64) {
        let (server, now): (Arc<str>, _) = (id(number).into(), ms(self.now));
        self.detector.suspect(&server, ms(0), now);
        for _ in 0..10 {
            self.detector.due(now);
            self.detector.found(&server, Finding::Silent, now);
        }
        assert!(self.detector.is_silent(&server));
    }
}

/// The flows of one balancer's callers, of which each sends one request that is answered after 40 ms.
#[derive(Default)]
struct Callers {
    resolver: Resolver,
    port: u16,
    /// Flows by the time of their answer.
    open: BTreeMap<(u64, u16), Cookie>,
}

impl Callers {
    /// Opens a flow and returns its server.
    fn call(&mut self, snapshot: &Snapshot, now: u64) -> Arc<str> {
        while let Some(entry) = self.open.first_entry()
            && entry.key().0 <= now
        {
            let ((at, port), cookie) = entry.remove_entry();
            let closing = Packet {
                kind: Kind::Closing,
                ..middle(port, 301, 0, 1_250)
            };
            self.resolver
                .resolve(snapshot, &closing, Some(cookie), ms(at));
        }
        self.port += 1;
        let port = self.port;
        let action = self
            .resolver
            .resolve(snapshot, &opening(port), None, ms(now));
        let (server, cookie) = sent(&action, snapshot).expect("a server");
        let request = middle(port, 101, 200, 50);
        self.resolver
            .resolve(snapshot, &request, Some(cookie), ms(now + 1));
        self.open.insert((now + 40, port), cookie);
        server
    }
}

/// 150 servers' leases lapse at one moment, and their entries come back one after the other within 2 s. The
/// first that was back used to get all new flows, and the first six within 80 ms, until they were full.
#[test]
fn new_flows_stay_spread_while_entries_come_back() {
    const SERVERS: u64 = 150;
    const FLOWS_PER_MS: u64 = 4;
    let mut scene = Scene::new(SERVERS);
    let mut callers = Callers::default();
    scene.now = 1_000;
    scene.lapse(1..=SERVERS);

    let mut counts: BTreeMap<Arc<str>, u64> = BTreeMap::new();
    let mut most_in_window = 0;
    for at in 0..2_000 {
        scene.now = 1_000 + at;
        if at % 13 == 12 && at / 13 < SERVERS {
            scene.come_back(at / 13 + 1);
        }
        let snapshot = scene.snapshot();
        for _ in 0..FLOWS_PER_MS {
            *counts
                .entry(callers.call(&snapshot, scene.now))
                .or_default() += 1;
        }
        if at % 200 == 199 {
            most_in_window = most_in_window.max(*counts.values().max().expect("a server"));
            counts.clear();
        }
    }

    let share = 200 * FLOWS_PER_MS / SERVERS;
    assert!(
        most_in_window <= 4 * share,
        "{most_in_window} flows in 200 ms, {share} are the share"
    );
    assert_eq!(scene.used(), Vec::from_iter(1..=SERVERS));
    assert!(!scene.pool().lapsed);
}

/// A server dies while the leases are gone. It gets flows like the others until it is found silent, and none
/// afterwards, although others without entries still do.
#[test]
fn a_server_that_died_in_the_lapse_gets_no_flow_once_it_is_silent() {
    let mut scene = Scene::new(30);
    let mut callers = Callers::default();
    scene.now = 1_000;
    scene.lapse(1..=30);
    scene.now = 1_050;
    scene.come_back(1);
    let flows_of = |callers: &mut Callers, scene: &mut Scene, number: u64| {
        let snapshot = scene.snapshot();
        let flows = (0..600).map(|_| callers.call(&snapshot, scene.now));
        flows.filter(|server| **server == *id(number)).count()
    };

    let before = flows_of(&mut callers, &mut scene, 7);
    scene.now = 1_250;
    scene.silence(7);
    let after = flows_of(&mut callers, &mut scene, 7);
    let other = flows_of(&mut callers, &mut scene, 8);

    assert!(before > 0 && other > 0, "{before} {other}");
    assert_eq!(after, 0);
    assert_eq!(scene.standing(7), Standing::Gone);
}

/// Servers drop out of the lapse one by one. Guards against new flows to those that can't answer them or are
/// not meant to get them.
#[rstest]
#[case::replaced_at_its_address(|scene: &mut Scene| {
    let address = backend(7).address;
    scene.register(Server { address, ..server("h-99", "maps") });
}, Standing::Gone)]
#[case::draining_after_its_return(|scene: &mut Scene| {
    scene.register(Server { state: State::Draining, ..backend(7) });
}, Standing::Draining)]
#[case::silent(|scene: &mut Scene| scene.silence(7), Standing::Gone)]
fn a_server_that_drops_out_of_the_lapse_gets_no_new_flow(
    #[case] change: fn(&mut Scene),
    #[case] expected: Standing,
) {
    let mut scene = Scene::new(30);
    scene.lapse(1..=30);
    scene.now = 100;
    scene.come_back(1);

    scene.now = 200;
    change(&mut scene);

    let others = (1..=30).filter(|number| *number != 7);
    assert_eq!(scene.used(), Vec::from_iter(others));
    assert_eq!(scene.standing(7), expected);
    assert!(scene.pool().lapsed);
}

/// A data centre is cut off or evacuated during the lapse. Guards against sending flows there because their
/// servers belong to the lapse.
#[rstest]
#[case::lost(true, Standing::Unreachable)]
#[case::evacuated(false, Standing::Evacuated)]
fn a_data_centre_that_drops_out_of_the_lapse_gets_no_new_flow(
    #[case] lost: bool,
    #[case] expected: Standing,
) {
    let mut scene = Scene::new(30);
    scene.lapse(1..=30);
    scene.now = 100;
    scene.come_back(1);

    if lost {
        scene.roster.set_lost(["c".into()].into());
    } else {
        let revision = scene.revision();
        scene.apply([evacuation("c", revision, true)]);
    }

    let others = (1..=30).filter(|number| number % 3 != 2);
    assert_eq!(scene.used(), Vec::from_iter(others));
    assert_eq!(scene.standing(2), expected);
    // What an evacuated server without an entry may still get ends after 2 s, also while others come back.
    scene.now = 1_900;
    scene.come_back(3);
    scene.now = 2_000;
    let after = if lost {
        Standing::Unreachable
    } else {
        Standing::Lost
    };
    assert_eq!(scene.standing(2), after);
}

/// Fewer than half of the servers lose their entries, because they crashed or can't reach the store alone.
/// Guards against new flows to servers that are most likely down.
#[rstest]
#[case::one_of_many(1, 150)]
#[case::one_of_two(1, 2)]
#[case::a_third(50, 150)]
#[case::half(75, 150)]
fn fewer_missing_than_ready_servers_are_no_lapse(#[case] missing: u64, #[case] all: u64) {
    let mut scene = Scene::new(all);
    scene.now = 1_000;
    scene.lapse(1..=missing);

    assert_eq!(scene.used(), Vec::from_iter(missing + 1..=all));
    assert!(!scene.pool().lapsed);
    scene.now = 1_500;
    scene.come_back(1);
    assert_eq!(scene.roster.take_lapses(), []);
    // No return prolongs the time of the others.
    scene.now = 2_999;
    if missing > 1 {
        assert_eq!(scene.standing(missing), Standing::Missing);
        scene.now = 3_000;
        assert_eq!(scene.standing(missing), Standing::Lost);
    }
}

/// A single server with more slots than all others loses its entry. It has most likely crashed, and must get
/// no new flows while others have entries.
#[test]
fn a_single_large_server_is_no_lapse() {
    let mut scene = Scene::new(3);
    scene.register(Server {
        slots: 64,
        ..backend(4)
    });

    scene.lapse([4]);

    assert_eq!(scene.used(), [1, 2, 3]);
    assert!(!scene.pool().lapsed);
}

/// The servers that lapse have more slots than those that don't, though they are fewer. Counted by servers,
/// the small ones would get the flows of all.
#[test]
fn slots_decide_whether_a_service_has_lapsed() {
    let mut scene = Scene::new(5);
    for number in [6, 7] {
        scene.register(Server {
            slots: 16,
            ..backend(number)
        });
    }

    scene.lapse([6, 7]);

    assert_eq!(scene.used(), [1, 2, 3, 4, 5, 6, 7]);
    assert_eq!(scene.pool().slots, 5 * 2 + 2 * 16);
    assert!(scene.pool().lapsed);
}

/// Thousands of servers can't write their entries within 2 s. Those that still wait for their turn must remain
/// in use while others come back.
#[test]
fn servers_remain_in_use_while_entries_come_back_over_ten_seconds() {
    const SERVERS: u64 = 60;
    let mut scene = Scene::new(SERVERS);
    scene.lapse(1..=SERVERS);
    for number in 1..=SERVERS {
        scene.now = number * 10_000 / SERVERS;
        let next = scene.roster.next_change(ms(scene.now - 1));

        assert_eq!(
            scene.used(),
            Vec::from_iter(1..=SERVERS),
            "at {}",
            scene.now
        );
        assert!(scene.pool().lapsed);
        assert!(next.is_some_and(|at| at <= ms(scene.now + 2_000)));
        scene.come_back(number);
    }
    assert!(!scene.pool().lapsed);
}

/// No further entry comes back. The servers that are still missing are most likely down and must get no flows
/// 2 s after the last one that came back.
#[test]
fn a_lapse_ends_two_seconds_after_the_last_return() {
    let mut scene = Scene::new(30);
    scene.lapse(1..=30);
    for number in 1..=20 {
        scene.now = number * 150;
        scene.come_back(number);
    }

    scene.now = 4_999;
    let before = scene.used();
    let due = scene.roster.next_change(ms(4_999));
    scene.now = 5_000;

    assert_eq!(before, Vec::from_iter(1..=30));
    assert_eq!(due, Some(ms(5_000)));
    assert_eq!(scene.used(), Vec::from_iter(1..=20));
    assert!(!scene.pool().lapsed);
    assert_eq!(scene.standing(30), Standing::Lost);
    assert_eq!(
        scene.roster.take_lapses(),
        [
            Event::Lapsed {
                service: "live".into(),
                missing: 30,
                ready: 0
            },
            Event::Restored {
                service: "live".into(),
                ready: 20,
                lost: 10
            }
        ]
    );
}

/// Entries keep coming back, perhaps because a server loses and regains its lease again and again. A server
/// whose own entry is missing for 30 s is down and must get no flows.
#[test]
fn a_server_is_given_up_thirty_seconds_after_its_entry_went_missing() {
    let mut scene = Scene::new(10);
    scene.lapse(1..=10);
    while scene.now < 30_000 {
        assert_eq!(scene.used(), Vec::from_iter(1..=10), "at {}", scene.now);
        scene.now += 500;
        scene.come_back(1);
        scene.lapse([1]);
    }

    assert_eq!(scene.used(), [1]);
    scene.come_back(2);
    assert_eq!(scene.used(), [2]);
}

/// A server crashed before the lapse and was given up. An entry that comes back in the lapse says nothing
/// about it.
#[test]
fn a_server_that_was_given_up_before_the_lapse_stays_so() {
    let mut scene = Scene::new(30);
    scene.lapse([30]);
    scene.now = 2_500;
    scene.lapse(1..=29);
    scene.now = 2_600;
    scene.come_back(1);
    scene.silence(30);
    scene.snapshot();
    scene.detector.forget("h-30");

    assert_eq!(scene.standing(30), Standing::Lost);
    assert_eq!(scene.used(), Vec::from_iter(1..=29));
}

/// Servers that come back have just started. Guards against new flows to them beyond the limit on cold
/// servers because those without entries are used beside them.
#[test]
fn cold_servers_remain_limited_in_a_lapse() {
    let mut scene = Scene::new(30);
    let config = Config {
        version: 2,
        warmups: vec![Warmup {
            service: "live".into(),
            time_ms: 5_000,
            requests: 1_000,
        }],
        ..Config::default()
    };
    let revision = scene.revision();
    scene.apply([Change::Config {
        revision,
        config: Arc::new(config),
    }]);
    scene.lapse(1..=30);

    scene.now = 100;
    scene.register(Server {
        warmup_ms: 5_000,
        ..backend(1)
    });

    assert_eq!(scene.used(), Vec::from_iter(2..=30));
    assert_eq!(scene.pool().cold.len(), 1);
}

/// A server that was given up before the lapse is started again. That says nothing about those that lapsed
/// later, whose 2 s must not be prolonged by it.
#[test]
fn the_return_of_a_server_that_was_given_up_before_the_lapse_prolongs_nothing() {
    let mut scene = Scene::new(30);
    scene.lapse([30]);
    scene.now = 2_500;
    scene.lapse(1..=29);
    scene.now = 4_000;
    scene.come_back(30);

    assert_eq!(scene.used(), Vec::from_iter(1..=30));
    scene.now = 4_500;
    assert_eq!(scene.used(), [30]);
}

/// Guards against new flows to servers that can't reach the store, as most entries of a service that run out while
/// the store answers were taken for an outage.
#[test]
fn entries_that_run_out_while_the_store_answers_are_no_lapse() {
    let mut scene = Scene::new(5);
    scene.now = 10_000;
    scene.run_out(1..=4);
    let others = scene.used();

    for at in [11_000, 12_500, 14_000] {
        scene.now = at;
        scene.come_back(at / 1_000 % 4 + 1);
        scene.run_out([at / 1_000 % 4 + 1]);
    }

    assert_eq!(others, [5]);
    assert_eq!(scene.used(), [5]);
    assert!(!scene.pool().lapsed);
    assert_eq!(scene.roster.take_lapses(), []);
}

/// Guards against a lapse that goes unnoticed as the outage was too short to be.
#[test]
fn entries_of_several_services_that_go_at_once_are_a_lapse() {
    let mut scene = Scene::new(6);
    for number in 1..=2 {
        scene.register(server(&format!("m-{number}"), "maps"));
    }
    scene.now = 10_000;
    let first = scene.revision();
    let names = ["h-1", "h-2", "h-3", "h-4", "m-1"];
    let gone = names.iter().zip(first..);
    let gone: Vec<Change> = gone.map(|(id, revision)| absent(id, revision)).collect();

    scene.apply(gone);

    assert_eq!(scene.used(), [1, 2, 3, 4, 5, 6]);
    assert!(scene.pool().lapsed);
}

/// Guards against a lapse that is recognised long after the store was away, when servers crash one by one.
#[test]
fn entries_that_go_long_after_an_outage_are_no_lapse() {
    let mut scene = Scene::new(5);
    scene.roster.set_last_outage(Some(ms(1_000)));
    scene.now = 7_000;

    scene.run_out(1..=4);

    assert!(!scene.pool().lapsed);
}
