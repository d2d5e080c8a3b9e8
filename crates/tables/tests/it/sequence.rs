//! Random sequences of what operators, time and balancers do.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use acacia_config::{Config, State as Wanted};
use acacia_tables::{Document, NOBODY, Service, State};
use proptest::prelude::*;

use crate::fixture::{Chain, add_server, add_service, front};

#[derive(Debug, Clone)]
enum Event {
    /// A server is added, or moved to another service.
    Place {
        host: u8,
        service: u8,
    },
    Remove {
        host: u8,
    },
    Drain {
        host: u8,
        seconds: Option<u64>,
    },
    Activate {
        host: u8,
    },
    /// A service is created or removed.
    Toggle {
        service: u8,
    },
    Weigh {
        host: u8,
        weight: u32,
    },
    /// Every balancer gets the tables, or all but the last few versions.
    Spread {
        behind: u64,
    },
    Wait {
        seconds: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let (host, service) = (|| 1_u8..9, || 1_u8..4);
    prop_oneof![
        3 => (host(), service()).prop_map(|(host, service)| Event::Place { host, service }),
        2 => host().prop_map(|host| Event::Remove { host }),
        2 => (host(), prop::option::of(0_u64..100))
            .prop_map(|(host, seconds)| Event::Drain { host, seconds }),
        1 => host().prop_map(|host| Event::Activate { host }),
        1 => service().prop_map(|service| Event::Toggle { service }),
        2 => (host(), 0_u32..4_000).prop_map(|(host, weight)| Event::Weigh { host, weight }),
        4 => (0_u64..3).prop_map(|behind| Event::Spread { behind }),
        2 => (1_u64..20_000).prop_map(|seconds| Event::Wait { seconds }),
    ]
}

/// What operators want, in a form that is easy to change.
#[derive(Default)]
struct Wish {
    services: [bool; 4],
    servers: BTreeMap<u8, (u8, Wanted)>,
    weights: BTreeMap<String, u32>,
}

impl Wish {
    fn config(&self) -> Config {
        let mut config = Config::default();
        for place in (1..4).filter(|&place| self.services[usize::from(place)]) {
            add_service(&mut config, &format!("s{place}"), place);
        }
        for (&host, &(place, state)) in &self.servers {
            if self.services[usize::from(place)] {
                add_server(&mut config, &format!("s{place}"), host);
                let server = config.server_mut(&format!("server-{host}"));
                server.expect("a server").state = state;
            }
        }
        config
    }

    fn change(&mut self, event: &Event, chain: &mut Chain) {
        let now = chain.now;
        let mut set = |host, state| {
            if let Some(server) = self.servers.get_mut(&host) {
                server.1 = state;
            }
        };
        match *event {
            Event::Place { host, service } => {
                self.servers.insert(host, (service, Wanted::Active));
            }
            Event::Remove { host } => _ = self.servers.remove(&host),
            Event::Drain { host, seconds } => {
                let deadline = seconds.map(|seconds| now + seconds);
                set(host, Wanted::Drain { deadline });
            }
            Event::Activate { host } => set(host, Wanted::Active),
            Event::Toggle { service } => self.services[usize::from(service)] ^= true,
            Event::Weigh { host, weight } => {
                _ = self.weights.insert(format!("server-{host}"), weight);
            }
            Event::Spread { behind } => {
                let version = chain.document.as_ref().map_or(0, |tables| tables.version);
                chain.known = chain.known.max(version.saturating_sub(behind));
            }
            Event::Wait { seconds } => chain.now += seconds,
        }
    }
}

/// Who ever had a number at an address, and whether it was seen to lose it.
type Numbers = BTreeMap<(u8, u16), (std::net::SocketAddr, u64)>;

fn check_numbers(used: &mut Numbers, document: &Document) -> Result<(), TestCaseError> {
    for place in 1..4 {
        let servers = document.service(&front(place)).map(|s| &s.servers);
        for server in servers.into_iter().flatten() {
            let fresh = (server.address, document.version);
            let seen = used.entry((place, server.number)).or_insert(fresh);
            let is_same = seen.0 == server.address && document.version - seen.1 <= 1;
            prop_assert!(is_same, "number {} used again", server.number);
            seen.1 = document.version;
        }
    }
    Ok(())
}

/// A bucket's base moves only away from nobody, or from a server that takes no new flows in any
/// tables that some balancer may still have, and that is gone.
pub fn check_base(
    old: &Service,
    new: &Service,
    known: u64,
    history: &[Arc<Document>],
) -> Result<(), TestCaseError> {
    let moved = old
        .base
        .iter()
        .zip(new.base.iter())
        .filter(|(from, to)| from != to);
    let moved: BTreeSet<u16> = moved.map(|(from, _)| *from).collect();
    for from in moved.into_iter().filter(|&from| from != NOBODY) {
        prop_assert!(
            new.server(from)
                .is_none_or(|server| server.state == State::Gone)
        );
        for document in history
            .iter()
            .filter(|document| document.version >= known.max(1))
        {
            let service = document
                .service(&old.address)
                .filter(|s| s.since == old.since);
            let server = service.and_then(|service| service.server(from));
            prop_assert!(
                server.is_some_and(|server| server.state != State::Up),
                "{from}"
            );
        }
    }
    Ok(())
}

fn check_shares(service: &Service) -> Result<(), TestCaseError> {
    let total: u64 = service.servers.iter().map(|s| u64::from(s.weight)).sum();
    for server in service.servers.iter().filter(|_| total > 0) {
        let buckets = service.next.iter().filter(|&&n| n == server.number).count() as u64;
        let fair = service.next.len() as u64 * u64::from(server.weight) / total;
        prop_assert!((fair..=fair + 1).contains(&buckets), "{buckets} for {fair}");
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Operators add, drain, remove and move servers, and re-create services, while balancers lag
    /// and clocks run. A base that moves under a live flow, or a number that comes to mean another
    /// server, sends an open feed to a server that resets it.
    #[test]
    fn any_sequence_keeps_the_invariants(events in prop::collection::vec(event(), 1..40)) {
        let (mut chain, mut wish) = (Chain::default(), Wish::default());
        let (mut used, mut history) = (Numbers::new(), Vec::new());
        wish.services = [false, true, true, false];
        for event in &events {
            wish.change(event, &mut chain);
            let config = wish.config();
            let is_config = !matches!(event, Event::Spread { .. } | Event::Wait { .. });
            if is_config || chain.document.is_none() {
                chain.operator.apply(&config);
            }
            let weights = wish.weights.clone();
            let weigh = |_: &str, server: &str| weights.get(server).copied();
            let before = chain.document.clone();
            if !chain.step_weighed(&weigh) {
                continue;
            }
            let after = chain.tables().clone();
            prop_assert_eq!(after.version, before.as_ref().map_or(0, |b| b.version) + 1);
            check_numbers(&mut used, &after)?;
            for service in &after.services {
                check_shares(service)?;
                let old = before.as_ref().and_then(|b| b.service(&service.address));
                if let Some(old) = old.filter(|old| old.instance == service.instance) {
                    check_base(old, service, chain.known, &history)?;
                }
            }
            history.push(Arc::new(after.clone()));
            prop_assert_eq!(Document::decode(&after.encode().expect("text")), Ok(after.clone()));
            prop_assert!(!chain.step_weighed(&weigh), "a second step without news");
        }
    }
}
