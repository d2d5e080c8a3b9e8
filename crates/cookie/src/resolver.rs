//! From a packet to what is done with it.

use std::{sync::Arc, time::Duration};

use acacia_catalog::route::Front;
use acacia_code::Code;
use acacia_wire::{
    collections::Map,
    flow::{Key, mix},
    packet::{Kind, Packet},
};

use crate::{
    cookie::{self, Cookie},
    place::{Candidate, choose},
    snapshot::{Pool, Route, Server, Snapshot, Standing},
};

/// What to do with a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send it to the server at this position; an opening with this cookie written into it.
    Forward {
        /// The server's position in the snapshot.
        server: u32,
        /// The flow's cookie.
        cookie: Cookie,
    },
    /// Tell the caller that the flow has ended, or will not open.
    Reset {
        /// Why.
        code: Code,
    },
    /// Nothing; the caller's transport sends it again.
    Drop {
        /// Why.
        code: Code,
    },
}

/// How long an opening is remembered: its copies come 200 and 600 ms after it and the caller waits
/// 1.4 s for an answer.
const OPENING: Duration = Duration::from_secs(3);

/// An opening that was passed on here.
#[derive(Debug, Clone)]
struct Opening {
    isn: u32,
    at: Duration,
    server: Arc<str>,
}

/// Resolves packets, one for each traffic thread.
#[derive(Debug, Default)]
pub struct Resolver {
    openings: Map<Key, Opening>,
    swept: Duration,
    /// Flows that were opened here and are not known to have ended, by server.
    placed: Map<Arc<str>, u32>,
}

impl Resolver {
    /// Decides on a caller's packet that carries `cookie`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::{Action, Resolver, Snapshot};
    /// use acacia_code::Code;
    /// use acacia_wire::{flow::{Key, Protocol}, packet::{Kind, Packet}};
    /// let key = Key {
    ///     client: [192, 0, 2, 1].into(), service: [198, 51, 100, 1].into(),
    ///     client_port: 40_000, service_port: 443, protocol: Protocol::Tcp,
    /// };
    /// let packet = Packet {
    ///     key, kind: Kind::Opening { isn: 1 }, payload: 0, sequence: 1, acknowledgement: 0,
    /// };
    /// let action = Resolver::default().resolve(&Snapshot::default(), &packet, None, Duration::ZERO);
    /// assert_eq!(action, Action::Reset { code: Code::ServiceUnknown });
    /// ```
    pub fn resolve(
        &mut self,
        snapshot: &Snapshot,
        packet: &Packet,
        cookie: Option<Cookie>,
        now: Duration,
    ) -> Action {
        match packet.kind {
            Kind::Opening { isn } => self.open(snapshot, packet, isn, now),
            _ => follow(snapshot, packet, cookie),
        }
    }

    fn open(&mut self, snapshot: &Snapshot, packet: &Packet, isn: u32, now: Duration) -> Action {
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
        if let Some((server, cookie)) = self.remembered(snapshot, &packet.key, isn) {
            return Action::Forward { server, cookie };
        }
        let Some(position) = self.place(snapshot, route, packet.key.hash()) else {
            return Action::Reset {
                code: Code::ServerNone,
            };
        };
        let server = &snapshot.servers[position as usize];
        let opening = Opening {
            isn,
            at: now,
            server: Arc::clone(&server.id),
        };
        self.openings.insert(packet.key, opening);
        Action::Forward {
            server: position,
            cookie: server.cookie,
        }
    }

    /// The server that an earlier copy of the opening was sent to, if it still takes flows.
    fn remembered(&self, snapshot: &Snapshot, key: &Key, isn: u32) -> Option<(u32, Cookie)> {
        let opening = self
            .openings
            .get(key)
            .filter(|opening| opening.isn == isn)?;
        let server = snapshot.server(Cookie::of(&opening.server, 0))?;
        let position = *snapshot.cookies.get(&server.cookie)?;
        let usable = server.standing != Standing::Gone && server.id == opening.server;
        usable.then_some((position, server.cookie))
    }

    fn place(&self, snapshot: &Snapshot, route: &Route, flow: u64) -> Option<u32> {
        let pool = split(snapshot, route, flow)?;
        let candidates: Vec<Candidate> = pool
            .open
            .iter()
            .map(|position| self.candidate(&snapshot.servers[*position as usize], *position))
            .collect();
        choose(flow, &candidates)
    }

    fn candidate(&self, server: &Server, position: u32) -> Candidate {
        let placed = self.placed.get(&server.id).copied().unwrap_or(0);
        Candidate {
            position,
            name: cookie::hash(&server.id),
            weight: server.weight,
            load: f64::from(placed) / server.weight,
        }
    }

    fn sweep(&mut self, now: Duration) {
        if now < self.swept + OPENING {
            return;
        }
        self.swept = now;
        self.openings
            .retain(|_, opening| opening.at + OPENING > now);
    }
}

/// The pool that takes the flow by the route's weights, among those that have a server open.
fn split<'a>(snapshot: &'a Snapshot, route: &Route, flow: u64) -> Option<&'a Pool> {
    let pool = |position: u32| &snapshot.pools[position as usize];
    let open = || {
        route
            .pools
            .iter()
            .filter(|(position, weight)| *weight > 0 && !pool(*position).open.is_empty())
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

/// A packet of a flow that is open.
fn follow(snapshot: &Snapshot, packet: &Packet, cookie: Option<Cookie>) -> Action {
    let Some(cookie) = cookie else {
        return Action::Drop {
            code: Code::FlowUnknown,
        };
    };
    let Some(position) = snapshot.cookies.get(&cookie).copied() else {
        return Action::Drop {
            code: Code::FlowServerUnknown,
        };
    };
    let server = &snapshot.servers[position as usize];
    if server.standing == Standing::Gone && packet.kind != Kind::Reset {
        return Action::Reset {
            code: Code::FlowServerGone,
        };
    }
    Action::Forward {
        server: position,
        cookie,
    }
}
