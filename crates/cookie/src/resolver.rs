//! From a packet to what is done with it.

mod open;
mod unopened;
mod urgency;

use std::{sync::Arc, time::Duration};

use acacia_code::Code;
use acacia_load::{
    arrival::Rate, delay::Delays, overload::Limit, throttle::Throttle, urgency::Priorities,
};
use acacia_wire::{
    collections::Map,
    flow::Key,
    packet::{Kind, Packet},
};

use unopened::Unopened;

use crate::{
    cold,
    cookie::Cookie,
    flow::{Flow, Sign, Table},
    snapshot::{Server, Snapshot, Standing},
    speed::{Counts, Seen},
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
    /// Tell the caller that the flow will not open, as no server would answer it in time.
    Refuse {
        /// What was known of the server that would answer first.
        busy: Busy,
    },
    /// Nothing; the caller's transport sends it again.
    Drop {
        /// Why.
        code: Code,
    },
}

/// What an opening was refused by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Busy {
    /// Why.
    pub code: Code,
    /// The position in the snapshot of the server that would answer first.
    pub server: u32,
    /// How long its answer would take.
    pub expected: Duration,
    /// How long it may take for a new flow of the route to be let in.
    pub limit: Duration,
}

/// How long an opening is remembered: its copies come 200 and 600 ms after it and the caller waits
/// 1.4 s for an answer.
const OPENING: Duration = Duration::from_secs(3);
/// Between two notices of one server. A probe takes that long, and more notices say nothing more.
const NOTICE: Duration = Duration::from_millis(100);

/// How long a flow without a packet is remembered: callers that are silent for longer are told by
/// the server when they come back.
const IDLE: Duration = Duration::from_secs(20);

/// Between two sweeps of what is too old to matter. Each goes through all flows.
const SWEEP: Duration = Duration::from_secs(1);

/// An opening that was passed on here.
#[derive(Debug, Clone)]
struct Opening {
    isn: u32,
    at: Duration,
    server: Arc<str>,
}

/// What a traffic thread tells the control thread.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
    /// A packet to the server went unanswered.
    Unanswered(Arc<str>),
    /// What the servers were seen to do.
    Seen(Vec<Seen>),
}

/// A time that packets have shown, for the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Timing {
    /// From an opening to the caller's next packet.
    Opening {
        /// The server.
        server: Arc<str>,
        /// How long.
        took: Duration,
    },
    /// From a caller's data to the first acknowledgement of the answer.
    Answer {
        /// The server.
        server: Arc<str>,
        /// How long.
        took: Duration,
    },
}

/// A flow that was ended as its server is lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The flow.
    pub key: Key,
    /// Its server.
    pub server: Arc<str>,
    /// What its caller acknowledged last.
    pub acknowledged: u32,
}

/// Resolves packets, one for each traffic thread.
#[derive(Debug, Default)]
pub struct Resolver {
    openings: Map<Key, Opening>,
    unopened: Unopened,
    flows: Table,
    counts: Counts,
    delays: Delays,
    /// How much is expected of each service's servers before they are given a new flow.
    limits: Map<Arc<str>, Limit>,
    /// Requests of each service that pass here.
    requests: Map<Arc<str>, Rate>,
    /// How urgent each service's callers are of late.
    priorities: Map<Arc<str>, Priorities>,
    /// How many of each service's less urgent callers are refused.
    throttles: Map<Arc<str>, Throttle>,
    /// What cold servers were sent lately.
    warming: cold::Sent,
    swept: Duration,
    /// When each server last answered something here.
    answered: Map<Arc<str>, Duration>,
    /// When each server was last noticed for not answering.
    noticed: Map<Arc<str>, Duration>,
    notices: Vec<Notice>,
    timings: Vec<Timing>,
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
            _ => self.follow(snapshot, packet, cookie, now),
        }
    }

    /// What the control thread is to be told since the last time.
    pub fn take_notices(&mut self, now: Duration) -> Vec<Notice> {
        self.notice_unopened(now);
        let seen = self.counts.take(now);
        if !seen.is_empty() {
            self.notices.push(Notice::Seen(seen));
        }
        std::mem::take(&mut self.notices)
    }

    /// The times that were seen since the last time.
    pub fn take_timings(&mut self) -> Vec<Timing> {
        std::mem::take(&mut self.timings)
    }

    /// The flows of servers that are gone: their callers are told at once.
    ///
    /// A caller whose flow has ended opens another at once, where it would else wait out its deadline.
    pub fn end_lost(&mut self, snapshot: &Snapshot) -> Vec<Ended> {
        let is_gone = |server: &Arc<str>| {
            let server = snapshot.server(Cookie::of(server, 0));
            server.is_some_and(|server| server.standing == Standing::Gone)
        };
        let lost = self.flows.take_lost(is_gone);
        let ended = |(key, flow): (Key, Flow)| Ended {
            key,
            server: flow.server,
            acknowledged: flow.acknowledged,
        };
        lost.into_iter().map(ended).collect()
    }

    /// Forgets what was learned of servers and services that a new snapshot doesn't hold.
    pub fn forget(&mut self, snapshot: &Snapshot) {
        let is_server = |id: &Arc<str>| snapshot.server(Cookie::of(id, 0)).is_some();
        let is_service = |name: &Arc<str>| snapshot.pools.iter().any(|pool| pool.service == *name);
        self.delays.retain(is_server, is_service);
        self.limits.retain(|name, _| is_service(name));
        self.throttles.retain(|name, _| is_service(name));
        self.priorities.retain(|name, _| is_service(name));
        self.requests.retain(|name, _| is_service(name));
        self.warming.retain(is_service);
    }

    /// A packet of a flow that is open.
    fn follow(
        &mut self,
        snapshot: &Snapshot,
        packet: &Packet,
        cookie: Option<Cookie>,
        now: Duration,
    ) -> Action {
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
        if server.standing == Standing::Gone {
            return match packet.kind {
                Kind::Reset => Action::Drop {
                    code: Code::FlowServerGone,
                },
                _ => Action::Reset {
                    code: Code::FlowServerGone,
                },
            };
        }
        let sign = self.flows.passed(packet, cookie, &server.id, now);
        if packet.payload > 0 && sign != Sign::Unanswered {
            let requests = self.requests.entry(Arc::clone(&server.service));
            requests.or_insert_with(|| Rate::new(now)).add(now);
        }
        self.learn(sign, server, now);
        Action::Forward {
            server: position,
            cookie,
        }
    }

    /// Takes in what a packet has shown of its server.
    fn learn(&mut self, sign: Sign, server: &Server, now: Duration) {
        match sign {
            Sign::None => {}
            Sign::Asked => {
                self.counts.asked(&server.id);
                self.delays.asked(&server.id, now);
            }
            Sign::Unanswered => self.notice(&server.id, now),
            Sign::Abandoned => self.failed(&server.id, now),
            Sign::Answered => self.lives(&server.id, now),
            Sign::Opened(took) => {
                self.lives(&server.id, now);
                self.counts.opened(&server.id, took);
                self.unopened.opened(took);
                let server = Arc::clone(&server.id);
                self.timings.push(Timing::Opening { server, took });
            }
            Sign::Timed(took)
                if server
                    .idle
                    .is_some_and(|idle| idle.is_implausibly_fast(took)) =>
            {
                self.lives(&server.id, now);
                self.failed(&server.id, now);
            }
            Sign::Timed(took) => {
                self.lives(&server.id, now);
                self.counts.answered(&server.id, took);
                self.delays.answered(&server.id, &server.service, took, now);
                let server = Arc::clone(&server.id);
                self.timings.push(Timing::Answer { server, took });
            }
        }
    }

    fn failed(&mut self, server: &Arc<str>, now: Duration) {
        self.delays.unanswered(server, now);
        self.counts.failed(server);
    }

    fn lives(&mut self, server: &Arc<str>, now: Duration) {
        self.delays.responded(server);
        self.answered.insert(Arc::clone(server), now);
    }

    fn notice(&mut self, server: &Arc<str>, now: Duration) {
        let recent = self
            .noticed
            .get(server)
            .is_some_and(|at| now < *at + NOTICE);
        if !recent {
            self.noticed.insert(Arc::clone(server), now);
            self.notices.push(Notice::Unanswered(Arc::clone(server)));
        }
    }

    /// Takes note of the servers whose openings nothing has followed. A server that refuses connections
    /// answers callers directly, and they open anew: no packet is ever sent again here.
    fn notice_unopened(&mut self, now: Duration) {
        for (sent, key) in self.unopened.due(now) {
            let server = self.flows.unopened(&key, sent).map(Arc::clone);
            if let Some(server) = server {
                self.notice(&server, now);
            }
        }
    }

    /// Forgets what is too old to matter, now and then.
    fn sweep(&mut self, now: Duration) {
        if now < self.swept + SWEEP {
            return;
        }
        self.swept = now;
        self.openings
            .retain(|_, opening| opening.at + OPENING > now);
        for server in self.flows.sweep(IDLE, now) {
            self.failed(&server, now);
        }
        self.answered.retain(|_, at| *at + IDLE > now);
        self.noticed.retain(|_, at| *at + IDLE > now);
        self.warming.sweep(now);
    }
}
