//! Entries at servers' keys that another writer has written.

use std::{net::SocketAddrV4, sync::Arc};

use acacia_catalog::{
    Catalog, Change,
    server::{Server, State},
};
use acacia_cookie::{
    Roster, cookie::Cookie, roster::claim::Claim, silence::Detector, snapshot::Standing,
};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixture::{absent, ms, present, routed, server};

const SERVERS: usize = 5;
/// Time between a server's writes to its entry, in milliseconds.
const HEARTBEAT: u64 = 1_200;

fn id(number: usize) -> String {
    format!("h-{number}")
}

fn backend(number: usize, state: State) -> Server {
    Server {
        state,
        ..server(&id(number), "live")
    }
}

fn unreadable(id: &str) -> Server {
    Server::unreadable(id.into())
}

/// A readable entry, at a server's key, of a service that no configuration has named.
fn unnamed(id: &str) -> Server {
    Server {
        id: id.into(),
        ..server("elsewhere", "unnamed")
    }
}

/// A balancer's view of the servers.
struct Scene {
    catalog: Catalog,
    roster: Roster,
    revision: u64,
    now: u64,
}

impl Scene {
    fn new(state: State) -> Self {
        let mut scene = Scene {
            catalog: Catalog::default(),
            roster: Roster::default(),
            revision: 0,
            now: 0,
        };
        scene.apply(|revision| routed(&["live"], revision));
        for number in 0..SERVERS {
            scene.write(backend(number, state));
        }
        scene
    }

    fn apply(&mut self, change: impl FnOnce(u64) -> Change) {
        self.revision += 1;
        self.catalog.apply(change(self.revision));
        self.catalog.complete(self.revision);
        self.roster.update(&self.catalog, ms(self.now));
    }

    fn write(&mut self, server: Server) {
        self.apply(|revision| present(server, revision));
    }

    fn remove(&mut self, id: &str) {
        self.apply(|revision| absent(id, revision));
    }

    /// Where a server stands, and its address.
    fn found(&mut self, number: usize) -> (Standing, SocketAddrV4) {
        let snapshot = self.roster.snapshot(&Detector::default(), ms(self.now));
        let server = snapshot.server(Cookie::of(&id(number), 0));
        let server = server.expect("a known server");
        (server.standing, server.address)
    }

    /// The addresses to which new flows go.
    fn used(&mut self) -> Vec<SocketAddrV4> {
        let snapshot = self.roster.snapshot(&Detector::default(), ms(self.now));
        let open = snapshot.pools[0].open.iter();
        let address = |at: u32| snapshot.servers[at as usize].address;
        open.map(address).collect()
    }
}

/// Guards against resets of a living server's flows while another writer's entry stands at its key, as if the
/// server had left or moved.
#[rstest]
#[case::ready_and_unreadable(State::Ready, unreadable, Standing::Missing)]
#[case::ready_and_unnamed(State::Ready, unnamed, Standing::Missing)]
#[case::draining_and_unreadable(State::Draining, unreadable, Standing::Draining)]
#[case::draining_and_unnamed(State::Draining, unnamed, Standing::Draining)]
fn a_foreign_entry_ends_no_flow_of_the_server_at_whose_key_it_stands(
    #[case] state: State,
    #[case] foreign: fn(&str) -> Server,
    #[case] meanwhile: Standing,
) {
    let mut scene = Scene::new(state);
    let before = scene.found(0);

    scene.write(foreign(&id(0)));
    let overwritten = scene.found(0);
    scene.now = 500;
    scene.remove(&id(0));
    let removed = scene.found(0);
    scene.now = HEARTBEAT;
    scene.write(backend(0, state));

    assert_eq!(overwritten, (meanwhile, before.1));
    assert_eq!(removed, (meanwhile, before.1));
    assert_eq!(scene.found(0), before);
    assert_eq!(scene.roster.take_overwritten(), [Arc::from(id(0))]);
}

/// Guards against a server that is kept for good, as the removal of its own entry counts for nothing after a
/// foreign one.
#[test]
fn a_draining_server_whose_own_entry_is_removed_has_left() {
    let mut scene = Scene::new(State::Draining);
    scene.write(unreadable(&id(0)));
    scene.write(backend(0, State::Draining));

    scene.remove(&id(0));

    assert_eq!(scene.found(0).0, Standing::Gone);
}

/// Guards against a server that stays without flows, as its entry came before the configuration that names its
/// new service.
#[test]
fn an_entry_counts_once_a_configuration_names_its_service() {
    let mut scene = Scene::new(State::Ready);
    let moved = unnamed(&id(0));
    scene.write(moved.clone());

    scene.apply(|revision| routed(&["live", "unnamed"], revision));

    assert_eq!(scene.found(0), (Standing::Ready, moved.address));
}

/// Guards against a balancer that takes a claim to the cookie of an overwritten server for news of its departure.
#[test]
fn a_claim_of_an_overwritten_server_is_no_departure() {
    let claim = Claim {
        server: Arc::new(backend(SERVERS, State::Draining)),
        created: 1,
        missing: None,
    };
    let mut scene = Scene::new(State::Ready);

    scene.roster.adopt(vec![claim], ms(0));

    assert_eq!(scene.found(SERVERS).0, Standing::Draining);
}

/// A step in which something is written to the store.
#[derive(Debug, Clone, Copy)]
enum Step {
    Unreadable(usize),
    Unnamed(usize),
    /// Another writer's entry is removed.
    Remove(usize),
    Drain(usize),
    /// An entry of an unnamed service, at the address of this server.
    Stranger(usize),
}

fn steps() -> impl Strategy<Value = Vec<(Step, u64)>> {
    let step = (0..SERVERS).prop_flat_map(|number| {
        prop_oneof![
            Just(Step::Unreadable(number)),
            Just(Step::Unnamed(number)),
            Just(Step::Remove(number)),
            Just(Step::Drain(number)),
            Just(Step::Stranger(number)),
        ]
    });
    proptest::collection::vec((step, 0..900u64), 1..40)
}

proptest! {
    /// Guards against foreign entries, in any order and at any time, that end or redirect flows of living servers,
    /// or get new flows.
    #[test]
    fn no_foreign_entry_ends_or_redirects_a_flow(steps in steps()) {
        let mut scene = Scene::new(State::Ready);
        let mut states = [State::Ready; SERVERS];
        let mut overwritten = [None; SERVERS];
        let own: Vec<SocketAddrV4> = (0..SERVERS).map(|number| scene.found(number).1).collect();
        for (step, pause) in steps {
            scene.now += pause;
            for number in 0..SERVERS {
                if overwritten[number].take_if(|at| *at + HEARTBEAT <= scene.now).is_some() {
                    scene.write(backend(number, states[number]));
                }
            }
            match step {
                Step::Unreadable(number) => {
                    scene.write(unreadable(&id(number)));
                    overwritten[number].get_or_insert(scene.now);
                }
                Step::Unnamed(number) => {
                    scene.write(unnamed(&id(number)));
                    overwritten[number].get_or_insert(scene.now);
                }
                Step::Remove(number) if overwritten[number].is_some() => scene.remove(&id(number)),
                Step::Remove(_) => {}
                Step::Drain(number) => {
                    states[number] = State::Draining;
                    overwritten[number] = None;
                    scene.write(backend(number, State::Draining));
                }
                Step::Stranger(number) => {
                    let stranger = Server { address: own[number], ..unnamed("x-1") };
                    scene.write(stranger);
                }
            }

            for (number, address) in own.iter().enumerate() {
                let (standing, known) = scene.found(number);
                prop_assert_ne!(standing, Standing::Gone);
                prop_assert_eq!(known, *address);
                let drains = states[number] == State::Draining;
                prop_assert!(!drains || standing == Standing::Draining);
            }
            let used = scene.used();
            prop_assert!(used.iter().all(|address| own.contains(address)), "{:?}", used);
        }
    }
}
