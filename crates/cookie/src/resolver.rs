//! Decides where each packet goes.

mod demand;
mod half_open;
mod open;
pub mod spill;
mod urgency;

use std::{sync::Arc, time::Duration};

use acacia_code::Code;
use acacia_load::{
    delay::{Delays, Idle},
    demand::{self as service_demand, View},
    overload::Limit,
    urgency::Priorities,
};
use acacia_wire::{
    collections::Map,
    flow::Key,
    packet::{Kind, Packet},
};

use crate::{
    cold,
    cookie::Cookie,
    flow::{Flow, Observation, Table},
    snapshot::{Server, Snapshot, Standing},
    speed::{self, Counts},
};

/// What to do with a caller's packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Forward it to a server. In a SYN, write the cookie into it.
    Forward {
        /// The server's index in the snapshot.
        server: u32,
        /// The flow's cookie.
        cookie: Cookie,
        /// How the server was selected.
        selection: Selection,
    },
    /// Reset the flow: it has ended, or cannot be opened.
    Reset {
        /// The reason.
        code: Code,
    },
    /// Refuse the new flow, because its servers are overloaded.
    Refuse {
        /// The decision and the estimates that led to it.
        refusal: Refusal,
    },
    /// Drop the packet; the caller's transport retransmits it.
    Drop {
        /// The reason.
        code: Code,
    },
}

/// How the server of a packet was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// For a packet of a known flow: by its cookie, or for a retransmitted SYN by what followed the original.
    Known,
    /// For a new flow.
    New,
    /// For a new flow, in another data centre, because the callers of the own one ask for more than its
    /// servers can process, see [`acacia_load::spill`].
    Spilled,
}

/// Ratio of demand to capacity below which servers have room for a refused flow. Balancers are not meant to
/// refuse flows below it.
const ROOM: f64 = 0.8;

/// Why a new flow was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// Index in the snapshot of the server that would answer first, or with [`Code::LessUrgent`] of the
    /// one at which the flow was placed.
    pub server: u32,
    /// Expected response time of that server, or with [`Code::LessUrgent`] the mean of its service.
    pub expected: Duration,
    /// Longest expected response time with which a new flow of the route is admitted.
    pub limit: Duration,
    /// Requests and new flows per second for the service from all callers; 0 if unknown.
    pub demand: u32,
    /// Requests per second that its servers can process; 0 if unknown.
    pub capacity: u32,
}

impl Refusal {
    /// Whether the servers of the service are known to have had room for the flow.
    ///
    /// ```
    /// use acacia_cookie::Refusal;
    /// use acacia_code::Code;
    /// let refusal = Refusal {
    ///     code: Code::ServersBusy, server: 0, expected: Default::default(), limit: Default::default(),
    ///     demand: 79, capacity: 100,
    /// };
    /// assert!(refusal.had_room());
    /// assert!(!Refusal { demand: 80, ..refusal }.had_room());
    /// ```
    #[must_use]
    pub fn had_room(&self) -> bool {
        self.demand > 0 && f64::from(self.demand) < ROOM * f64::from(self.capacity)
    }
}

/// How long a SYN is remembered. Callers retransmit it 200 and 600 ms after the original and give up
/// after 1.4 s.
const OPENING_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum interval between two notices about one server. A probe of the server takes this long, and
/// notices during a probe are redundant.
const NOTICE_INTERVAL: Duration = Duration::from_millis(100);

/// How long a flow without a packet is remembered. Callers that are idle for longer than this learn
/// from the server, when they send again, that their flow has ended.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Minimum interval between two removals of expired state, each of which visits all flows.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// A SYN that this traffic thread has forwarded.
#[derive(Debug, Clone)]
struct Opening {
    isn: u32,
    /// When the original SYN was forwarded.
    at: Duration,
    /// The name of the server that was last chosen for it.
    server: Arc<str>,
}

/// Message from a traffic thread to the control thread.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
    /// The server did not answer a packet.
    Unanswered(Arc<str>),
    /// Counts of requests and answers by server.
    Seen(Vec<speed::Count>),
    /// Requests per second by service.
    Rates {
        /// The rates of all services with recent requests.
        rates: Vec<service_demand::Rate>,
        /// Whether one has changed by so much that peers are to learn of it at once.
        changed: bool,
    },
}

/// A response time measured on a flow, for the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Timing {
    /// From a SYN to the caller's next packet.
    Opening {
        /// The server's name.
        server: Arc<str>,
        /// The response time.
        took: Duration,
    },
    /// From a caller's request to the caller's first acknowledgement of the answer.
    Answer {
        /// The server's name.
        server: Arc<str>,
        /// The response time.
        took: Duration,
    },
}

/// A flow that was ended because its server is gone, and whose caller is to be sent a reset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reset {
    /// The flow.
    pub key: Key,
    /// The name of its server.
    pub server: Arc<str>,
    /// The caller's highest acknowledgement number.
    pub acknowledged: u32,
}

/// Decides where packets go. Each traffic thread has its own.
#[derive(Debug, Default)]
pub struct Resolver {
    openings: Map<Key, Opening>,
    half_open: half_open::Tracker,
    flows: Table,
    counts: Counts,
    delays: Delays,
    /// By service, the limit on expected response times for new flows, as a share of the latency objective.
    limits: Map<Arc<str>, Limit>,
    /// By service, the rates of requests and new flows through this thread; `None` before the first one.
    arrivals: Map<Arc<str>, Option<demand::Arrivals>>,
    reported: demand::Reported,
    /// Requests per second by service and data centre, from all balancers.
    demand: Arc<View>,
    /// The difference between the time of day and this thread's clock.
    time_of_day: Duration,
    /// By service, the parts of new flows for other data centres.
    spills: Map<Arc<str>, demand::Spill>,
    spilling: spill::Tracker,
    /// By service, the priorities of recent new flows.
    priorities: Map<Arc<str>, Priorities>,
    /// By service, the part of new flows that is admitted under overload.
    admissions: Map<Arc<str>, demand::Admission>,
    /// Flows recently sent to cold servers.
    warming: cold::Limiter,
    /// When expired state was last removed.
    last_expiry: Duration,
    /// When each server was last seen to answer.
    answered: Map<Arc<str>, Duration>,
    /// When the last [`Notice::Unanswered`] was issued for each server.
    noticed: Map<Arc<str>, Duration>,
    notices: Vec<Notice>,
    timings: Vec<Timing>,
}

impl Resolver {
    /// Decides what to do with a caller's packet that carries `cookie`.
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

    /// Takes the notices for the control thread since the last call.
    pub fn take_notices(&mut self, now: Duration) -> Vec<Notice> {
        self.notice_half_open(now);
        self.notice_rates(now);
        let seen = self.counts.take(now);
        if !seen.is_empty() {
            self.notices.push(Notice::Seen(seen));
        }
        std::mem::take(&mut self.notices)
    }

    /// Takes the response times measured since the last call.
    pub fn take_timings(&mut self) -> Vec<Timing> {
        std::mem::take(&mut self.timings)
    }

    /// Takes the beginnings and ends of spillover since the last call, at most one per second and service.
    pub fn take_spills(&mut self) -> Vec<spill::Event> {
        self.spilling.take()
    }

    /// Removes and returns the flows of servers that are gone, so that their callers can be notified.
    ///
    /// A caller that is notified opens another flow at once; otherwise it would wait until its deadline.
    pub fn end_flows_of_gone_servers(&mut self, snapshot: &Snapshot) -> Vec<Reset> {
        let is_gone = |server: &Arc<str>| {
            let server = snapshot.named(server);
            server.is_some_and(|server| server.standing == Standing::Gone)
        };
        let removed = self.flows.remove_flows_of(is_gone);
        let reset = |(key, flow): (Key, Flow)| Reset {
            key,
            server: flow.server,
            acknowledged: flow.acknowledged,
        };
        removed.into_iter().map(reset).collect()
    }

    /// Removes estimates and rates of servers and services that are not in the snapshot.
    pub fn retain_known(&mut self, snapshot: &Snapshot) {
        let is_server = |id: &Arc<str>| snapshot.position(id).is_some();
        let is_service = |name: &Arc<str>| snapshot.pools.iter().any(|pool| pool.service == *name);
        self.delays.retain(is_server, is_service);
        self.limits.retain(|name, _| is_service(name));
        self.admissions.retain(|name, _| is_service(name));
        self.priorities.retain(|name, _| is_service(name));
        self.retain_arrivals(snapshot);
        self.spills.clear();
        self.spilling.retain(is_service);
        self.warming.retain(is_service);
    }

    /// Decides on a packet other than a SYN.
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
        let observation = self.flows.observe(packet, cookie, &server.id, now);
        let is_request = !matches!(observation, Observation::None | Observation::Unanswered);
        if packet.payload > 0
            && is_request
            && let Some(arrivals) = self.counted(&server.service, now)
        {
            arrivals.requests.add(now);
        }
        self.learn(snapshot, observation, server, now);
        Action::Forward {
            server: position,
            cookie,
            selection: Selection::Known,
        }
    }

    /// Updates what is known of a server by an observation. An answer that came too soon for the request
    /// to have been processed counts as a failure.
    fn learn(
        &mut self,
        snapshot: &Snapshot,
        observation: Observation,
        server: &Server,
        now: Duration,
    ) {
        match observation {
            Observation::None => {}
            Observation::RequestSent => {
                self.counts.asked(&server.id);
                self.delays.asked(&server.id, now);
            }
            Observation::Unanswered => self.notice(&server.id, now),
            Observation::Abandoned => self.failed(&server.id, now),
            Observation::Answered => self.record_answer(&server.id, now),
            Observation::Opened(took) => {
                self.record_answer(&server.id, now);
                self.counts.opened(&server.id, took);
                if let Some(arrivals) = self.counted(&server.service, now) {
                    arrivals.opened.add(now);
                }
                self.half_open.opened(took);
                let server = Arc::clone(&server.id);
                self.timings.push(Timing::Opening { server, took });
            }
            Observation::AnsweredAfter(took)
                if idle(snapshot, server).is_some_and(|idle| idle.is_implausibly_fast(took)) =>
            {
                self.record_answer(&server.id, now);
                self.failed(&server.id, now);
            }
            Observation::AnsweredAfter(took) => {
                self.record_answer(&server.id, now);
                self.counts.answered(&server.id, took);
                self.delays.answered(&server.id, &server.service, took, now);
                let server = Arc::clone(&server.id);
                self.timings.push(Timing::Answer { server, took });
            }
        }
    }

    /// Records a request that the server has failed, or that was given up.
    fn failed(&mut self, server: &Arc<str>, now: Duration) {
        self.delays.unanswered(server, now);
        self.counts.failed(server);
    }

    /// Records that the server has answered.
    fn record_answer(&mut self, server: &Arc<str>, now: Duration) {
        self.delays.responded(server);
        self.answered.insert(Arc::clone(server), now);
    }

    /// Issues a notice about an unanswered packet, unless there was one within [`NOTICE_INTERVAL`].
    fn notice(&mut self, server: &Arc<str>, now: Duration) {
        let recent = self
            .noticed
            .get(server)
            .is_some_and(|at| now < *at + NOTICE_INTERVAL);
        if !recent {
            self.noticed.insert(Arc::clone(server), now);
            self.notices.push(Notice::Unanswered(Arc::clone(server)));
        }
    }

    /// Issues notices about the servers of flows that have remained half open. They are needed for a
    /// server that refuses connections: it resets the flow at the caller directly, and the caller opens
    /// another flow instead of retransmitting.
    fn notice_half_open(&mut self, now: Duration) {
        for (sent, key) in self.half_open.due(now) {
            let server = self.flows.server_of_half_open(&key, sent).map(Arc::clone);
            if let Some(server) = server {
                self.notice(&server, now);
            }
        }
    }

    /// Removes expired state, at most once per [`EXPIRY_INTERVAL`].
    fn expire(&mut self, now: Duration) {
        if now < self.last_expiry + EXPIRY_INTERVAL {
            return;
        }
        self.last_expiry = now;
        self.openings
            .retain(|_, opening| opening.at + OPENING_TIMEOUT > now);
        for server in self.flows.expire(IDLE_TIMEOUT, now) {
            self.failed(&server, now);
        }
        self.answered.retain(|_, at| *at + IDLE_TIMEOUT > now);
        self.noticed.retain(|_, at| *at + IDLE_TIMEOUT > now);
        self.warming.sweep(now);
    }
}

/// The answer time of a server without queueing or, before its speed has been measured, that of its
/// service. Without it, refusals of a full server that has just started would count as its answers.
fn idle(snapshot: &Snapshot, server: &Server) -> Option<Idle> {
    server.idle.or_else(|| snapshot.pool(&server.service)?.idle)
}
