use std::collections::BTreeMap;

use acacia_config::{Config, State};
use proptest::prelude::*;

use crate::fixture::{add_server, add_service};

/// What an operator does. Servers and services go by the last number of their addresses.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    /// A server is added, or moved to another service.
    Place(u8, u8),
    Remove(u8),
    /// A server is drained, with seconds to its deadline.
    Drain(u8, Option<u64>),
    Activate(u8),
    /// A service is created or removed.
    Toggle(u8),
}

pub fn change() -> impl Strategy<Value = Change> {
    let (host, place) = (|| 1_u8..8, || 1_u8..3);
    prop_oneof![
        3 => (host(), place()).prop_map(|(host, place)| Change::Place(host, place)),
        2 => host().prop_map(Change::Remove),
        2 => (host(), prop::option::of(0_u64..20)).prop_map(|(at, end)| Change::Drain(at, end)),
        1 => host().prop_map(Change::Activate),
        3 => place().prop_map(Change::Toggle),
    ]
}

/// What operators want, in a form that is easy to change.
#[derive(Debug, Default)]
pub struct Wish {
    services: [bool; 3],
    servers: BTreeMap<u8, (u8, State)>,
}

impl Wish {
    pub fn change(&mut self, change: Change, now: u64) {
        let mut set = |host, state| {
            self.servers
                .entry(host)
                .and_modify(|server| server.1 = state);
        };
        match change {
            Change::Place(host, place) => _ = self.servers.insert(host, (place, State::Active)),
            Change::Remove(host) => _ = self.servers.remove(&host),
            Change::Drain(host, seconds) => {
                let deadline = seconds.map(|seconds| now + seconds);
                set(host, State::Drain { deadline });
            }
            Change::Activate(host) => set(host, State::Active),
            Change::Toggle(place) => self.services[usize::from(place)] ^= true,
        }
    }

    pub fn config(&self) -> Config {
        let mut config = Config::default();
        let is_there = |place: u8| self.services[usize::from(place)];
        for place in (1..3).filter(|&place| is_there(place)) {
            add_service(&mut config, &format!("s{place}"), place);
        }
        for (&host, &(place, state)) in self.servers.iter().filter(|(_, (at, _))| is_there(*at)) {
            add_server(&mut config, &format!("s{place}"), host);
            let name = format!("server-{host}");
            assert!(config.update_server(&name, |server| server.state = state));
        }
        config
    }
}
