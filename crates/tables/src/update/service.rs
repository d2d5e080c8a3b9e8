//! One service's step.

use std::sync::Arc;

use acacia_config::{self as config, Config};
use acacia_flow::table;
use acacia_wire::collections::{Map, Set};

use crate::{
    document::{BUCKETS, NO_SERVER, Server, Service, State},
    update::NOMINAL_WEIGHT,
};

impl Service {
    /// Takes over what the configuration says of the servers that are there.
    ///
    /// One that was removed, or whose deadline has passed, is gone; if it comes back before its
    /// buckets are others', it keeps its number and its flows.
    pub(super) fn age(&mut self, config: &Config, front: &config::Service, now: u64, version: u64) {
        let wanted: Map<_, _> = config
            .servers_of(&front.name)
            .iter()
            .map(|server| (server.address, server))
            .collect();
        for server in &mut self.servers {
            let wanted = wanted.get(&server.address);
            server.state = wanted.map_or(State::Gone, |wanted| state(wanted, now));
            if let Some(wanted) = wanted {
                let limit = wanted.limit_in(front);
                server.name = Arc::clone(&wanted.name);
                server.data_centre = Arc::clone(&wanted.data_centre);
                (server.slots, server.connections) = (limit.slots, limit.connections);
            }
            server.closed = match server.state {
                State::Up => None,
                State::Draining { .. } | State::Gone => server.closed.or(Some(version)),
            };
        }
    }

    /// Adds servers, each with a number of its own. Those for which none is left stay out.
    pub(super) fn add(&mut self, fresh: Vec<(&config::Server, config::Limit)>, version: u64) {
        for (server, limit) in fresh {
            let Ok(number) = u16::try_from(self.next_number) else {
                return;
            };
            self.next_number += 1;
            let is_active = server.is_active();
            self.servers.push(Server {
                number,
                name: Arc::clone(&server.name),
                address: server.address,
                data_centre: Arc::clone(&server.data_centre),
                state: state(server, 0),
                closed: (!is_active).then_some(version),
                weight: 0,
                slots: limit.slots,
                connections: limit.connections,
            });
        }
    }

    /// Sets the weights. A server that takes new flows again, or for the first time, counts as
    /// average unless more is known.
    pub(super) fn weigh(
        &mut self,
        before: Option<&Service>,
        weight: &dyn Fn(&str, &str) -> Option<u32>,
    ) {
        for server in &mut self.servers {
            let old = before.and_then(|before| before.server(server.number));
            let old = old.filter(|old| old.state == State::Up);
            let kept = || old.map_or(NOMINAL_WEIGHT, |old| old.weight);
            server.weight = match server.state {
                State::Up => weight(&self.name, &server.name).unwrap_or_else(kept),
                State::Draining { .. } | State::Gone => 0,
            };
        }
    }

    /// Says where new flows go, if other servers take them or their weights have changed.
    ///
    /// A flow that is placed off its base costs a pin, so a bucket goes to its base server
    /// wherever that one takes new flows and its weight allows, and stays where it was otherwise.
    /// A server that comes back from a drain thus gets the buckets of which it is the base.
    pub(super) fn place_new(&mut self, before: Option<&Service>) {
        let weights = weights(self);
        match before {
            Some(before) if weights == self::weights(before) => return,
            Some(_) => {}
            None => {
                let first = table::build(BUCKETS, &weights, &[]);
                let is_empty = first.is_empty();
                let first = if is_empty {
                    vec![NO_SERVER; BUCKETS]
                } else {
                    first
                };
                self.base = first.into();
                self.next = Arc::clone(&self.base);
                return;
            }
        }
        let taking: Set<u16> = weights.iter().map(|(server, _)| *server).collect();
        let pairs = self.base.iter().zip(self.next.iter());
        let hint: Vec<u16> = pairs
            .map(|(base, next)| if taking.contains(base) { *base } else { *next })
            .collect();
        self.next = table::build(BUCKETS, &weights, &hint).into();
    }

    /// Moves the base of buckets whose server is gone, where balancers are known to place no new
    /// flows on it, to the server that takes the bucket's new flows, or to nobody if there is none.
    ///
    /// A balancer that still placed flows on the old base would have them cut off: others go by
    /// the new one. A server that kept buckets for want of another could never be given to another
    /// service.
    pub(super) fn move_base(&mut self, is_known: impl Fn(u64) -> bool) {
        let is_leaving =
            |server: &&Server| server.state == State::Gone && server.closed.is_some_and(&is_known);
        let leaving = self.servers.iter().filter(is_leaving);
        let mut leaving: Set<u16> = leaving.map(|server| server.number).collect();
        leaving.insert(NO_SERVER);
        if self.next.iter().any(|next| leaving.contains(next)) {
            let next = self.next.iter();
            let next = next.map(|next| {
                if leaving.contains(next) {
                    NO_SERVER
                } else {
                    *next
                }
            });
            self.next = next.collect();
        }
        if self.base.iter().any(|base| leaving.contains(base)) {
            let leaves = |server: u16| leaving.contains(&server);
            self.base = table::rebase(&self.base, &self.next, leaves).into();
        }
    }
}

/// The servers that get new flows.
fn weights(service: &Service) -> Vec<(u16, u32)> {
    let servers = service.servers.iter();
    let weights = servers.map(|server| (server.number, server.weight));
    weights.filter(|(_, weight)| *weight > 0).collect()
}

fn state(server: &config::Server, now: u64) -> State {
    match server.state {
        config::State::Active => State::Up,
        gone if gone.is_gone(now) => State::Gone,
        config::State::Drain { deadline } => State::Draining { deadline },
    }
}
