//! The flows that pass through this balancer, as far as callers' packets show them.
//!
//! Nothing is resolved by this table: a balancer without it, or with a full one, sends each packet
//! to the same server. It shows which packets went unanswered, how many flows each server has, and
//! which callers to tell when a server is lost.

use std::{sync::Arc, time::Duration};

use acacia_wire::{
    collections::Map,
    flow::Key,
    packet::{Kind, Packet},
};

use crate::cookie::Cookie;

/// Most flows remembered; about 100 bytes each. A balancer of the largest deployment has 10,000
/// open at a time.
const MOST: usize = 32_768;
/// A copy that follows its original within less has waited somewhere before this balancer, which
/// was frozen or overrun; the server had no time to answer. Callers send again after 200 ms.
const PATIENCE: Duration = Duration::from_millis(120);
/// How long a closed flow is remembered. Its last acknowledgements come within some round trips; if
/// they were taken for those of a flow that passed through another balancer so far, every short flow
/// would count among its server's for as long as idle ones are remembered.
const CLOSED: Duration = Duration::from_secs(3);
/// After this long without a packet, a request counts as given up: the caller has left, or the server
/// has ended the flow, which no balancer sees. Callers pause for 1.6 s at most between two copies of a
/// packet.
const GIVEN_UP: Duration = Duration::from_secs(2);

/// One flow.
#[derive(Debug, Clone)]
pub struct Flow {
    /// The cookie of its server.
    pub cookie: Cookie,
    /// The server's name, as the flow counts among the server's.
    pub server: Arc<str>,
    /// What the caller has acknowledged last.
    pub acknowledged: u32,
    /// The sequence number behind the last data that the caller sent.
    end: u32,
    /// When the opening or the data that is not known to be answered first passed.
    sent: Option<Duration>,
    /// Whether that is the opening.
    opening: bool,
    /// Whether the caller has closed it.
    closed: bool,
    /// When the last packet passed.
    pub seen: Duration,
}

/// What a packet shows of its flow's server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// Nothing.
    None,
    /// The server has answered something on this flow since the last packet.
    Answered,
    /// It has answered the opening, after so long.
    Opened(Duration),
    /// It has answered data, after so long.
    AnsweredAfter(Duration),
    /// Data went to it, and nothing was unanswered before.
    RequestSent,
    /// The packet was sent before, and the server had time to answer.
    Unanswered,
    /// The caller ends the flow although its request has not been answered.
    Abandoned,
}

/// The flows of one traffic thread.
#[derive(Debug, Default)]
pub struct Table {
    flows: Map<Key, Flow>,
    counts: Map<Arc<str>, FlowCounts>,
}

/// What this balancer sees of a server's work in hand.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FlowCounts {
    /// Flows that their callers have not closed.
    pub flows: u32,
    /// Those of them on which a request waits for its answer.
    pub pending: u32,
}

impl FlowCounts {
    fn add(&mut self, flow: &Flow) {
        self.flows += 1;
        self.pending += u32::from(flow.is_pending());
    }

    fn remove(&mut self, flow: &Flow) {
        self.flows -= 1;
        self.pending -= u32::from(flow.is_pending());
    }
}

impl Table {
    /// What a server has in hand through here.
    ///
    /// ```
    /// assert_eq!(acacia_cookie::flow::Table::default().counts("host-1").flows, 0);
    /// ```
    #[must_use]
    pub fn counts(&self, server: &str) -> FlowCounts {
        self.counts.get(server).copied().unwrap_or_default()
    }

    /// How many flows are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Takes in an opening that goes to a server; a copy that goes elsewhere takes the place.
    pub fn record_opening(
        &mut self,
        packet: &Packet,
        cookie: Cookie,
        server: &Arc<str>,
        now: Duration,
    ) {
        let flow = Flow {
            cookie,
            server: Arc::clone(server),
            acknowledged: 0,
            end: packet.sequence.wrapping_add(1),
            sent: Some(now),
            opening: true,
            closed: false,
            seen: now,
        };
        self.insert(packet.key, flow);
    }

    /// The server of a flow of which nothing has passed since its opening at `sent`.
    #[must_use]
    pub fn server_of_half_open(&self, key: &Key, sent: Duration) -> Option<&Arc<str>> {
        let flow = self.flows.get(key)?;
        let waits = flow.opening && flow.sent == Some(sent);
        waits.then_some(&flow.server)
    }

    /// Takes in a packet of an open flow and tells what it shows.
    pub fn observe(
        &mut self,
        packet: &Packet,
        cookie: Cookie,
        server: &Arc<str>,
        now: Duration,
    ) -> Observation {
        if packet.kind == Kind::Reset {
            let flow = self.remove(&packet.key);
            let pending = flow.is_some_and(|flow| !flow.closed && flow.is_pending());
            return if pending {
                Observation::Abandoned
            } else {
                Observation::None
            };
        }
        let known = self
            .flows
            .get_mut(&packet.key)
            .filter(|flow| flow.cookie == cookie);
        let Some(flow) = known else {
            self.insert(packet.key, first_seen(packet, cookie, server, now));
            return Observation::Answered;
        };
        flow.seen = now;
        if flow.closed {
            return Observation::None;
        }
        let pending = flow.is_pending();
        let observation = flow.take(packet, now);
        let closes = packet.kind == Kind::Closing;
        let abandons = closes && flow.is_pending();
        flow.closed = closes;
        // Most packets change nothing of this, and looking the server up costs as much as the rest.
        if closes || flow.is_pending() != pending {
            let still = flow.is_pending() && !closes;
            self.recount(server, pending, still, closes);
        }
        if abandons {
            Observation::Abandoned
        } else {
            observation
        }
    }

    /// A flow of the server `was` waiting for an answer and `is` now, and perhaps has been closed.
    fn recount(&mut self, server: &Arc<str>, was: bool, is: bool, closes: bool) {
        let Some(counts) = self.counts.get_mut(server) else {
            return;
        };
        counts.pending = counts.pending - u32::from(was) + u32::from(is);
        counts.flows -= u32::from(closes);
        if counts.flows == 0 {
            self.counts.remove(server);
        }
    }

    fn insert(&mut self, key: Key, flow: Flow) {
        let full = self.flows.len() >= MOST && !self.flows.contains_key(&key);
        if full {
            return;
        }
        if !flow.closed {
            let counts = self.counts.entry(Arc::clone(&flow.server)).or_default();
            counts.add(&flow);
        }
        if let Some(before) = self.flows.insert(key, flow) {
            self.release(&before);
        }
    }

    fn remove(&mut self, key: &Key) -> Option<Flow> {
        let flow = self.flows.remove(key)?;
        self.release(&flow);
        Some(flow)
    }

    fn release(&mut self, flow: &Flow) {
        if flow.closed {
            return;
        }
        if let Some(counts) = self.counts.get_mut(&flow.server) {
            counts.remove(flow);
            if counts.flows == 0 {
                self.counts.remove(&flow.server);
            }
        }
    }

    /// Takes out the flows of the servers that `is_affected` names, so that their callers are told.
    pub fn remove_flows_of(&mut self, is_affected: impl Fn(&Arc<str>) -> bool) -> Vec<(Key, Flow)> {
        let mut lost: Vec<(Key, Flow)> = self
            .flows
            .extract_if(|_, flow| is_affected(&flow.server))
            .collect();
        for (_, flow) in &lost {
            self.release(flow);
        }
        lost.retain(|(_, flow)| !flow.closed);
        lost
    }

    /// Forgets what is too old to matter: flows without a packet for `idle`, closed ones and
    /// requests without an answer sooner. Gives the servers of those requests.
    pub fn expire(&mut self, idle: Duration, now: Duration) -> Vec<Arc<str>> {
        let is_old = |flow: &Flow| {
            let kept = if flow.closed { CLOSED } else { idle };
            flow.seen + kept < now
        };
        let old: Vec<(Key, Flow)> = self.flows.extract_if(|_, flow| is_old(flow)).collect();
        for (_, flow) in &old {
            self.release(flow);
        }
        let mut given_up = Vec::new();
        for flow in self.flows.values_mut() {
            if flow.closed || !flow.is_pending() || flow.seen + GIVEN_UP >= now {
                continue;
            }
            flow.sent = None;
            if let Some(counts) = self.counts.get_mut(&flow.server) {
                counts.pending -= 1;
            }
            given_up.push(Arc::clone(&flow.server));
        }
        given_up
    }
}

/// A flow that passed through another balancer so far.
fn first_seen(packet: &Packet, cookie: Cookie, server: &Arc<str>, now: Duration) -> Flow {
    Flow {
        cookie,
        server: Arc::clone(server),
        acknowledged: packet.acknowledgement,
        end: end(packet),
        sent: (packet.payload > 0).then_some(now),
        opening: false,
        closed: packet.kind == Kind::Closing,
        seen: now,
    }
}

impl Flow {
    /// Whether a request waits for its answer.
    fn is_pending(&self) -> bool {
        self.sent.is_some() && !self.opening
    }

    fn take(&mut self, packet: &Packet, now: Duration) -> Observation {
        let end = end(packet);
        let advanced = self.opening || is_before(self.acknowledged, packet.acknowledgement);
        let fresh = packet.payload > 0 && is_before(self.end, end);
        if advanced {
            return self.advance(packet, end, now);
        }
        if fresh {
            self.end = end;
            let idle = self.sent.is_none();
            self.sent = self.sent.or(Some(now));
            return if idle {
                Observation::RequestSent
            } else {
                Observation::None
            };
        }
        match self.sent {
            Some(sent) if packet.payload > 0 && now >= sent + PATIENCE => Observation::Unanswered,
            _ => Observation::None,
        }
    }

    /// The caller has acknowledged more than before. An acknowledgement that comes with data may
    /// have waited for it, so only a bare one tells the time that the server took.
    fn advance(&mut self, packet: &Packet, end: u32, now: Duration) -> Observation {
        let took = self.sent.map(|sent| now.saturating_sub(sent));
        let opened = std::mem::take(&mut self.opening);
        self.acknowledged = packet.acknowledgement;
        self.sent = None;
        if packet.payload > 0 && is_before(self.end, end) {
            self.end = end;
            self.sent = Some(now);
        }
        match took {
            Some(took) if opened => Observation::Opened(took),
            Some(took) if packet.payload == 0 => Observation::AnsweredAfter(took),
            _ => Observation::Answered,
        }
    }
}

fn end(packet: &Packet) -> u32 {
    packet.sequence.wrapping_add(packet.payload.into())
}

/// Whether sequence number `one` comes before `other`, around the end of the numbers.
fn is_before(one: u32, other: u32) -> bool {
    one != other && other.wrapping_sub(one) < 1 << 31
}
