//! Which server an opening goes to.

use std::{sync::Arc, time::Duration};

use acacia_catalog::route::Front;
use acacia_code::Code;
use acacia_load::overload::{self, Prospect, Terms};
use acacia_wire::{flow::mix, packet::Packet};

use super::{Action, Busy, Opening, Resolver};
use crate::{
    cookie::Cookie,
    place::{Candidate, choose},
    snapshot::{Pool, Route, Server, Snapshot, Standing},
};

/// A copy of an opening that follows it within less has waited somewhere before this balancer.
const PATIENCE: Duration = Duration::from_millis(120);

impl Resolver {
    /// Decides on an opening.
    pub(super) fn open(
        &mut self,
        snapshot: &Snapshot,
        packet: &Packet,
        isn: u32,
        now: Duration,
    ) -> Action {
        self.sweep(now);
        let front = Front {
            address: packet.key.service,
            port: packet.key.service_port,
        };
        let Some(route) = snapshot.routes.get(&front) else {
            return Action::Reset {
                code: Code::ServiceUnknown,
            };
        };
        let before = self
            .openings
            .get(&packet.key)
            .filter(|opening| opening.isn == isn)
            .cloned();
        let position = match &before {
            Some(opening) => self.open_again(snapshot, route, packet, opening, now),
            None => self.place(snapshot, route, packet.key.hash(), None, now),
        };
        let mut position = match position {
            Ok(position) => position,
            Err(code) => return Action::Reset { code },
        };
        if before.is_none() {
            let flow = packet.key.hash();
            position = match self.admit(snapshot, route, flow, position, now) {
                Ok(position) => position,
                Err(busy) => return Action::Refuse { busy },
            };
        }
        let server = &snapshot.servers[position as usize];
        let at = before.map_or(now, |opening| opening.at);
        let opening = Opening {
            isn,
            at,
            server: Arc::clone(&server.id),
        };
        self.unopened.sent(packet.key, now);
        self.openings.insert(packet.key, opening);
        self.flows.opened(packet, server.cookie, &server.id, now);
        Action::Forward {
            server: position,
            cookie: server.cookie,
        }
    }

    /// Where a copy of an opening goes: to the same server, so that no two answer it, unless that
    /// one has shown no life since the opening was sent there, takes flows no more, or belongs to a
    /// service that the route has left meanwhile.
    fn open_again(
        &mut self,
        snapshot: &Snapshot,
        route: &Route,
        packet: &Packet,
        opening: &Opening,
        now: Duration,
    ) -> Result<u32, Code> {
        let same = position(snapshot, &opening.server)
            .filter(|position| serves(snapshot, route, &snapshot.servers[*position as usize]));
        let waited = now >= opening.at + PATIENCE;
        let lives = self
            .answered
            .get(&opening.server)
            .is_some_and(|at| *at > opening.at);
        if waited && !lives {
            self.notice(&opening.server, now);
        }
        let usable = same.filter(|position| {
            matches!(
                snapshot.servers[*position as usize].standing,
                Standing::Ready | Standing::Missing
            )
        });
        if let Some(usable) = usable.filter(|_| lives || !waited) {
            return Ok(usable);
        }
        let other = self.place(
            snapshot,
            route,
            packet.key.hash(),
            Some(&opening.server),
            now,
        );
        let is_evacuated =
            |position: &u32| snapshot.servers[*position as usize].standing == Standing::Evacuated;
        let same = same.filter(|position| !is_evacuated(position));
        other.or_else(|code| same.ok_or(code))
    }

    /// The server for a new flow, another than `except` where there is one.
    ///
    /// # Errors
    /// Why there is none.
    fn place(
        &mut self,
        snapshot: &Snapshot,
        route: &Route,
        flow: u64,
        except: Option<&Arc<str>>,
        now: Duration,
    ) -> Result<u32, Code> {
        let pool = split(snapshot, route, flow).ok_or(Code::ServerNone)?;
        let cold = self.place_cold(snapshot, pool, flow, except, now);
        let placed = cold.or_else(|| self.least_loaded(snapshot, &pool.open, flow, except, now));
        placed.ok_or(match pool.cold.is_empty() {
            true => Code::ServerNone,
            false => Code::ServersCold,
        })
    }

    /// The cold server that is to take a new flow, if one is.
    ///
    /// While half of a service's servers are warm, they take all: its cold ones warm up by time, not by
    /// requests.
    fn place_cold(
        &mut self,
        snapshot: &Snapshot,
        pool: &Pool,
        flow: u64,
        except: Option<&Arc<str>>,
        now: Duration,
    ) -> Option<u32> {
        let ration = pool.ration?;
        let cold = pool.cold.len();
        let draws = self.warming.draws(&pool.service, &ration, cold, flow, now);
        if !draws || pool.open.len() >= cold {
            return None;
        }
        let has_room = |position: &u32| {
            let server = &snapshot.servers[*position as usize];
            self.warming.has_room(&server.id, &ration, now)
        };
        let free: Vec<u32> = pool.cold.iter().copied().filter(has_room).collect();
        let placed = self.least_loaded(snapshot, &free, flow, except, now)?;
        let server = &snapshot.servers[placed as usize];
        self.warming.add(&server.id, now);
        Some(placed)
    }

    fn least_loaded(
        &self,
        snapshot: &Snapshot,
        positions: &[u32],
        flow: u64,
        except: Option<&Arc<str>>,
        now: Duration,
    ) -> Option<u32> {
        let server = |position: u32| &snapshot.servers[position as usize];
        let others = positions.iter().copied();
        let others = others.filter(|position| Some(&server(*position).id) != except);
        let candidates = others.map(|position| candidate(snapshot, position));
        choose(flow, candidates, |position| {
            self.load(server(position), now)
        })
    }

    /// The server for a new flow of a route that was placed at one, see [`overload::admit`].
    ///
    /// # Errors
    /// By what the flow is to be refused.
    fn admit(
        &mut self,
        snapshot: &Snapshot,
        route: &Route,
        flow: u64,
        placed: u32,
        now: Duration,
    ) -> Result<u32, Busy> {
        let Some(demand) = route.demand else {
            return Ok(placed);
        };
        let service = &snapshot.servers[placed as usize].service;
        let pool = |(position, _): &(u32, u32)| &snapshot.pools[*position as usize];
        let pool = route
            .pools
            .iter()
            .map(pool)
            .find(|pool| pool.service == *service);
        let rank = self.rank(service, &demand, now);
        if rank.yields {
            self.make_room(snapshot, service, flow, placed, now)?;
        }
        let quiet = self.delays.since_last_answer(service, now);
        let limit = self.limits.entry(Arc::clone(service)).or_default();
        if !rank.urgent {
            let mean = self.delays.usual(service, now) - quiet;
            limit.follow(mean, demand.latency, now);
        }
        let part = limit.part();
        let terms = Terms {
            objective: demand,
            urgent: rank.urgent,
            part,
        };
        let prospect = |position: u32| {
            let server = &snapshot.servers[position as usize];
            Prospect {
                expected: self.delays.expected(&server.id, &server.service, now) - quiet,
                idle: server.idle.map(|idle| idle.whole()),
            }
        };
        let others = pool.map_or(&[][..], |pool| &pool.open).iter().copied();
        overload::admit(&terms, placed, others, prospect).map_err(|refusal| Busy {
            code: Code::ServersBusy,
            server: refusal.server,
            expected: seconds(refusal.expected),
            limit: seconds(refusal.limit),
        })
    }

    /// What a server has to do, in proportion to its weight.
    ///
    /// Requests in hand count, by how long an answer takes at present and by how many were given up on
    /// lately. By flows in hand alone, an idle flow would count like a request at work, a full queue like
    /// an empty one, and a server that answers nothing like one that does.
    fn load(&self, server: &Server, now: Duration) -> f64 {
        let pending = self.flows.held(&server.id).pending;
        let expected = self.delays.expected(&server.id, &server.service, now);
        let given_up = self.delays.given_up(&server.id, now);
        f64::from(pending + 1) * (given_up + 1.0) * expected / server.weight
    }
}

/// As a duration; nothing of what is estimated is negative or endless.
pub(super) fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

fn candidate(snapshot: &Snapshot, position: u32) -> Candidate {
    let server = &snapshot.servers[position as usize];
    Candidate {
        position,
        name: server.hash,
        weight: server.weight,
        near: server.data_centre == snapshot.data_centre,
    }
}

fn position(snapshot: &Snapshot, id: &Arc<str>) -> Option<u32> {
    let position = *snapshot.cookies.get(&Cookie::of(id, 0))?;
    let server = snapshot.servers.get(position as usize)?;
    (server.id == *id).then_some(position)
}

/// Whether a route sends flows to the service of a server.
fn serves(snapshot: &Snapshot, route: &Route, server: &Server) -> bool {
    let mut pools = route.pools.iter();
    pools.any(|(position, weight)| {
        *weight > 0 && snapshot.pools[*position as usize].service == server.service
    })
}

/// The pool that takes the flow by the route's weights, among those that have a server open.
fn split<'a>(snapshot: &'a Snapshot, route: &Route, flow: u64) -> Option<&'a Pool> {
    let pool = |position: u32| &snapshot.pools[position as usize];
    let open = || {
        let pools = route.pools.iter();
        pools.filter(|(position, weight)| *weight > 0 && !pool(*position).is_empty())
    };
    let total: u64 = open().map(|(_, weight)| u64::from(*weight)).sum();
    let mut draw = mix(flow) % total.max(1);
    for (position, weight) in open() {
        if draw < u64::from(*weight) {
            return Some(pool(*position));
        }
        draw -= u64::from(*weight);
    }
    None
}
