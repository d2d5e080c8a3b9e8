//! The update of a single service.

use std::sync::Arc;

use acacia_config::{self as config, Config};
use acacia_flow::table;
use acacia_wire::collections::{Map, Set};

use crate::{
    document::{BUCKETS, NO_SERVER, Server, Service, State},
    update::NOMINAL_WEIGHT,
};

impl Service {
    /// Updates the listed servers from the configuration.
    ///
    /// A server that was removed, or whose deadline has passed, is gone. If it is added again
    /// before its buckets have moved to other servers, it keeps its number and its flows.
    pub(super) fn update_servers(
        &mut self,
        config: &Config,
        configured: &config::Service,
        now: u64,
        version: u64,
    ) {
        let wanted: Map<_, _> = config
            .servers_of(&configured.name)
            .iter()
            .map(|server| (server.address, server))
            .collect();
        for server in &mut self.servers {
            let wanted = wanted.get(&server.address);
            server.state = wanted.map_or(State::Gone, |wanted| state(wanted, now));
            if let Some(wanted) = wanted {
                let limit = wanted.limit_in(configured);
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

    /// Adds servers, each under a new number. Servers for which no number is left are skipped.
    pub(super) fn add(&mut self, added: Vec<(&config::Server, config::Limit)>, version: u64) {
        for (server, limit) in added {
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

    /// Sets the weights. A server that gets new flows for the first time, or again, has the nominal
    /// weight unless a weight is given.
    pub(super) fn update_weights(
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

    /// Rebuilds the table for new flows if the servers that get them, or their weights, have
    /// changed.
    ///
    /// A flow that is placed on another server than its bucket's base needs a pin. Each bucket
    /// therefore goes to its base server if that server gets new flows and its weight allows, and
    /// otherwise stays where it is. A server whose drain was cancelled thus gets back the buckets
    /// of which it is the base.
    pub(super) fn rebuild_next(&mut self, before: Option<&Service>) {
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
        let active: Set<u16> = weights.iter().map(|(server, _)| *server).collect();
        let pairs = self.base.iter().zip(self.next.iter());
        let hint: Vec<u16> = pairs
            .map(|(base, next)| if active.contains(base) { *base } else { *next })
            .collect();
        self.next = table::build(BUCKETS, &weights, &hint).into();
    }

    /// Moves the base of buckets whose server is gone, once all balancers are known to place no new
    /// flows on that server, to the server that gets the bucket's new flows, or to [`NO_SERVER`] if
    /// there is none.
    ///
    /// If a balancer still placed flows on the old base, these would break, since other balancers
    /// forward them by the new base. Buckets move to [`NO_SERVER`] because a server that kept them
    /// for lack of a replacement could never be assigned to another service.
    pub(super) fn move_base(&mut self, is_known: impl Fn(u64) -> bool) {
        let is_vacating =
            |server: &&Server| server.state == State::Gone && server.closed.is_some_and(&is_known);
        let vacating = self.servers.iter().filter(is_vacating);
        let mut vacating: Set<u16> = vacating.map(|server| server.number).collect();
        vacating.insert(NO_SERVER);
        if self.next.iter().any(|next| vacating.contains(next)) {
            let next = self.next.iter();
            let next = next.map(|next| {
                if vacating.contains(next) {
                    NO_SERVER
                } else {
                    *next
                }
            });
            self.next = next.collect();
        }
        if self.base.iter().any(|base| vacating.contains(base)) {
            let must_move = |server: u16| vacating.contains(&server);
            self.base = table::rebase(&self.base, &self.next, must_move).into();
        }
    }
}

/// The servers that get new flows, with their weights.
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
