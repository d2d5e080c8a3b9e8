//! Selection of a server for a SYN, and admission of new flows under load.

use std::{sync::Arc, time::Duration};

use acacia_catalog::route::Front;
use acacia_code::Code;
use acacia_load::overload::{self, Prospect, Terms};
use acacia_wire::packet::Packet;

use super::{Action, Opening, Refusal, Resolver, Selection};
use crate::{
    place::{Candidate, choose},
    ring::Draw,
    snapshot::{Pool, Route, Server, Snapshot, Standing},
};

/// Number of servers that are compared if the one at which a flow was placed is too busy. If all of these
/// are busy, so are nearly all of a large service.
const MAX_PROSPECTS: usize = 64;
/// Least time after a SYN at which its retransmission counts as a sign that the server did not answer.
/// If less has passed, both were queued before this balancer.
const MIN_RETRANSMISSION_GAP: Duration = Duration::from_millis(120);

impl Resolver {
    /// Decides on a SYN with the initial sequence number `isn`.
    pub(super) fn open(
        &mut self,
        snapshot: &Snapshot,
        packet: &Packet,
        isn: u32,
        now: Duration,
    ) -> Action {
        self.expire(now);
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
        let placed = match &before {
            Some(opening) => self.place_retransmission(snapshot, route, packet, opening, now),
            None => self.place(snapshot, route, packet.key.hash(), None, now),
        };
        let (mut position, mut selection) = match placed {
            Ok(placed) => placed,
            Err(code) => return Action::Reset { code },
        };
        if before.is_none() {
            let placed = position;
            position = match self.admit(snapshot, route, packet, placed, now) {
                Ok(position) => position,
                Err(refusal) => return Action::Refuse { refusal },
            };
            let centre = |position: u32| &snapshot.servers[position as usize].data_centre;
            if selection == Selection::Spilled && centre(position) != centre(placed) {
                selection = Selection::New;
            }
        } else {
            selection = Selection::Known;
        }
        let server = &snapshot.servers[position as usize];
        let at = before.map_or(now, |opening| opening.at);
        let opening = Opening {
            isn,
            at,
            server: Arc::clone(&server.id),
        };
        self.half_open.sent(packet.key, now);
        self.openings.insert(packet.key, opening);
        self.flows
            .record_opening(packet, server.cookie, &server.id, now);
        Action::Forward {
            server: position,
            cookie: server.cookie,
            selection,
        }
    }

    /// Selects the server for a retransmitted SYN. It is the same one as for the original, so that no
    /// two servers answer, unless that server has not been seen to answer anything since the original
    /// was forwarded, no longer takes new flows, or belongs to a service that the route no longer
    /// targets. If there is no other server, one that still belongs to a target and is not evacuated
    /// gets the retransmission all the same.
    ///
    /// # Errors
    /// If there is no server for the flow.
    fn place_retransmission(
        &mut self,
        snapshot: &Snapshot,
        route: &Route,
        packet: &Packet,
        opening: &Opening,
        now: Duration,
    ) -> Result<(u32, Selection), Code> {
        let same = snapshot
            .position(&opening.server)
            .filter(|position| serves(snapshot, route, &snapshot.servers[*position as usize]));
        let had_time = now >= opening.at + MIN_RETRANSMISSION_GAP;
        let has_answered = self
            .answered
            .get(&opening.server)
            .is_some_and(|at| *at > opening.at);
        if had_time && !has_answered {
            self.notice(&opening.server, now);
        }
        let usable = same.filter(|position| {
            matches!(
                snapshot.servers[*position as usize].standing,
                Standing::Ready | Standing::Missing
            )
        });
        if let Some(usable) = usable.filter(|_| has_answered || !had_time) {
            return Ok((usable, Selection::Known));
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
        other.or_else(|code| Ok((same.ok_or(code)?, Selection::Known)))
    }

    /// Selects the server for a new flow, other than `except`, and tells how.
    ///
    /// # Errors
    /// If there is no such server.
    fn place(
        &mut self,
        snapshot: &Snapshot,
        route: &Route,
        flow: u64,
        except: Option<&Arc<str>>,
        now: Duration,
    ) -> Result<(u32, Selection), Code> {
        let pool = snapshot.target(route, flow).ok_or(Code::ServerNone)?;
        let mut placed = self.place_cold(snapshot, pool, flow, except, now);
        let mut selection = Selection::New;
        if placed.is_none()
            && route.objective.is_some()
            && let Some(centre) = self.spill(snapshot, pool, flow, now)
        {
            let draw = pool.open.draw_within(&centre, flow);
            placed = self.least_loaded(snapshot, &draw, flow, except, now);
            if placed.is_some() {
                selection = Selection::Spilled;
            }
        }
        let placed = placed.or_else(|| {
            let draw = pool.open.draw(&snapshot.data_centre, flow);
            self.least_loaded(snapshot, &draw, flow, except, now)
        });
        let position = placed.ok_or(match pool.cold.is_empty() {
            true => Code::ServerNone,
            false => Code::ServersCold,
        })?;
        Ok((position, selection))
    }

    /// Selects a cold server for a new flow, or none if a warm one is to take it.
    ///
    /// While at least half of a service's servers are warm, these take all new flows, as cold servers warm
    /// up with time and not with requests.
    fn place_cold(
        &mut self,
        snapshot: &Snapshot,
        pool: &Pool,
        flow: u64,
        except: Option<&Arc<str>>,
        now: Duration,
    ) -> Option<u32> {
        let limit = pool.cold_limit?;
        let cold = pool.cold.len();
        let draws = self.warming.samples(&pool.service, &limit, cold, flow, now);
        if !draws || pool.open.len() >= cold {
            return None;
        }
        let has_room = |position: &u32| {
            let server = &snapshot.servers[*position as usize];
            self.warming.has_room(&server.id, &limit, now)
        };
        let mut draw = pool.cold.draw(&snapshot.data_centre, flow);
        draw.near.retain(has_room);
        draw.far.retain(has_room);
        let placed = self.least_loaded(snapshot, &draw, flow, except, now)?;
        let server = &snapshot.servers[placed as usize];
        self.warming.add(&server.id, now);
        Some(placed)
    }

    /// Selects one of the drawn servers for a new flow by [`choose`].
    fn least_loaded(
        &self,
        snapshot: &Snapshot,
        draw: &Draw,
        flow: u64,
        except: Option<&Arc<str>>,
        now: Duration,
    ) -> Option<u32> {
        let server = |position: u32| &snapshot.servers[position as usize];
        let near = draw.near.iter().map(|position| (*position, 1.0));
        let far = draw.far.iter().map(|position| (*position, draw.far_scale));
        let others = near.chain(far);
        let others = others.filter(|(position, _)| Some(&server(*position).id) != except);
        let candidates = others.map(|(position, scale)| candidate(snapshot, position, scale));
        choose(flow, candidates, |position| {
            self.load(server(position), now)
        })
    }

    /// Checks that a new flow can be answered within the route's latency objective by the server at which
    /// it was placed, and returns that server or a less loaded one, see [`overload::admit`].
    ///
    /// # Errors
    /// If the flow is to be refused.
    fn admit(
        &mut self,
        snapshot: &Snapshot,
        route: &Route,
        packet: &Packet,
        placed: u32,
        now: Duration,
    ) -> Result<u32, Refusal> {
        let Some(objective) = route.objective else {
            return Ok(placed);
        };
        let service = &snapshot.servers[placed as usize].service;
        let pool = |(position, _): &(u32, u32)| &snapshot.pools[*position as usize];
        let pool = route
            .pools
            .iter()
            .map(pool)
            .find(|pool| pool.service == *service);
        let rank = self.rank(service, &objective, now);
        self.enforce_quota(snapshot, &objective, packet.key.client, placed, now)?;
        if self.delays.baseline(service).is_none() {
            // Without an answer so far, nothing is known of the servers' load.
            return Ok(placed);
        }
        let quiet = self.delays.since_last_answer(service, now);
        let limit = self.limits.entry(Arc::clone(service)).or_default();
        if !rank.urgent {
            let mean = self.delays.usual(service, now) - quiet;
            limit.follow(mean, objective.latency, now);
        }
        let part = limit.part();
        let terms = Terms {
            objective,
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
        let others = pool.into_iter();
        let others = others.flat_map(|pool| pool.open.sample(packet.key.hash(), MAX_PROSPECTS));
        let refusal = match overload::admit(&terms, placed, others, prospect) {
            Ok(server) => return Ok(server),
            Err(refusal) => refusal,
        };
        let (demand, capacity) = self.demand_and_capacity(snapshot, service);
        Err(Refusal {
            code: Code::ServersBusy,
            server: refusal.server,
            expected: seconds(refusal.expected),
            limit: seconds(refusal.limit),
            demand,
            capacity,
        })
    }

    /// The load of a server relative to its weight.
    ///
    /// It is the number of pending requests, multiplied by the expected response time and by the number of
    /// requests recently given up. With the number of open flows instead, an idle flow would count as much
    /// as a request in progress, a full queue as much as an empty one, and a server that answers nothing
    /// as much as one that does.
    fn load(&self, server: &Server, now: Duration) -> f64 {
        let pending = self.flows.counts(&server.id).pending;
        let expected = self.delays.expected(&server.id, &server.service, now);
        let given_up = self.delays.given_up(&server.id, now);
        f64::from(pending + 1) * (given_up + 1.0) * expected / server.weight
    }
}

/// Converts seconds to a duration. Estimates are neither negative nor infinite; those would give 0.
pub(super) fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

fn candidate(snapshot: &Snapshot, position: u32, scale: f64) -> Candidate {
    let server = &snapshot.servers[position as usize];
    Candidate {
        position,
        hash: server.hash,
        weight: server.weight * scale,
        local: server.data_centre == snapshot.data_centre,
    }
}

/// Whether the service of `server` is a target of `route` with a weight above 0.
fn serves(snapshot: &Snapshot, route: &Route, server: &Server) -> bool {
    let mut pools = route.pools.iter();
    pools.any(|(position, weight)| {
        *weight > 0 && snapshot.pools[*position as usize].service == server.service
    })
}
