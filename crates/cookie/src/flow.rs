//! State of the flows that pass through this balancer, as observed from the callers' packets alone.
//!
//! The balancer doesn't see the servers' packets, which go to the callers directly. It infers answers
//! from the callers' acknowledgements.
//!
//! Packets are not routed by this table: with an empty or a full one, a balancer sends each packet to
//! the same server. The table shows which packets went unanswered, how many flows each server has,
//! and which callers to notify when a server is gone.

use std::{sync::Arc, time::Duration};

use acacia_wire::{
    collections::Map,
    flow::Key,
    packet::{Kind, Packet},
};

use crate::cookie::Cookie;

/// Maximum number of flows in the table, of about 100 bytes each. A balancer of the largest deployment
/// has 10,000 open at a time.
const MAX_FLOWS: usize = 32_768;
/// Least time between a packet and its retransmission for the packet to count as unanswered. Callers
/// retransmit after 200 ms; if both arrive within less than this, they were queued before a balancer
/// that was frozen or overloaded, and the server had no time to answer.
const MIN_RETRANSMISSION_GAP: Duration = Duration::from_millis(120);
/// How long a closed flow stays in the table. Its last acknowledgements arrive within a few round
/// trips; without an entry, they would be taken for packets of a flow from another balancer, and
/// every short flow would count as open at its server until the idle timeout.
const CLOSED_TIMEOUT: Duration = Duration::from_secs(3);
/// How long after the flow's last packet an unanswered request counts as given up: the caller has
/// vanished, or the server has reset the flow, which no balancer sees. Callers pause for at most 1.6 s
/// between two retransmissions.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// State of one flow.
#[derive(Debug, Clone)]
pub struct Flow {
    /// The cookie of its server.
    pub cookie: Cookie,
    /// The name of its server, under which the flow is counted.
    pub server: Arc<str>,
    /// The caller's highest acknowledgement number.
    pub acknowledged: u32,
    /// The sequence number after the last byte that the caller has sent.
    next_sequence: u32,
    /// When the SYN or the data that still awaits an answer first arrived.
    unanswered_since: Option<Duration>,
    /// Whether only the SYN has arrived.
    half_open: bool,
    /// Whether the caller has sent its FIN.
    closed: bool,
    /// When the last packet arrived.
    pub seen: Duration,
}

/// What a caller's packet tells about the flow's server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// Nothing.
    None,
    /// The server has answered on this flow; the packet does not tell after what time.
    Answered,
    /// The server has answered the SYN after this time.
    Opened(Duration),
    /// The server has answered a request after this time.
    AnsweredAfter(Duration),
    /// The packet carries a request, and none was unanswered before.
    RequestSent,
    /// The packet is a retransmission, and the server had time to answer the original.
    Unanswered,
    /// The caller ends the flow before its request has been answered.
    Abandoned,
}

/// Flow table of one traffic thread.
#[derive(Debug, Default)]
pub struct Table {
    flows: Map<Key, Flow>,
    counts: Map<Arc<str>, Counts>,
}

/// Flows of one server that pass through this balancer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Flows that their callers have not closed.
    pub flows: u32,
    /// Flows among them with an unanswered request.
    pub pending: u32,
}

impl Counts {
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
    /// Open flows and pending requests of a server.
    ///
    /// ```
    /// assert_eq!(acacia_cookie::flow::Table::default().counts("host-1").flows, 0);
    /// ```
    #[must_use]
    pub fn counts(&self, server: &str) -> Counts {
        self.counts.get(server).copied().unwrap_or_default()
    }

    /// Number of flows in the table, including closed ones that have not expired.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether the table has no flows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Records a SYN that is forwarded to `server`, replacing any earlier state of the flow. A full table
    /// takes no further flows.
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
            next_sequence: packet.sequence.wrapping_add(1),
            unanswered_since: Some(now),
            half_open: true,
            closed: false,
            seen: now,
        };
        self.insert(packet.key, flow);
    }

    /// The server of a flow on which no packet has followed the SYN that arrived at `sent`.
    #[must_use]
    pub fn server_of_half_open(&self, key: &Key, sent: Duration) -> Option<&Arc<str>> {
        let flow = self.flows.get(key)?;
        let half_open = flow.half_open && flow.unanswered_since == Some(sent);
        half_open.then_some(&flow.server)
    }

    /// Updates the flow by a packet other than a SYN, and returns what the packet tells about the server.
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
            self.insert(packet.key, flow_from_elsewhere(packet, cookie, server, now));
            return Observation::Answered;
        };
        flow.seen = now;
        if flow.closed {
            return Observation::None;
        }
        let pending = flow.is_pending();
        let observation = flow.observe(packet, now);
        let closes = packet.kind == Kind::Closing;
        let abandons = closes && flow.is_pending();
        flow.closed = closes;
        // Most packets don't change the counts, and the look-up of the server would double the cost of
        // this function.
        if closes || flow.is_pending() != pending {
            let still = flow.is_pending() && !closes;
            self.update_counts(server, pending, still, closes);
        }
        if abandons {
            Observation::Abandoned
        } else {
            observation
        }
    }

    /// Updates the server's counts for a flow that `was_pending` before a packet and `is_pending`
    /// after it, and that the packet `closes` or not.
    fn update_counts(
        &mut self,
        server: &Arc<str>,
        was_pending: bool,
        is_pending: bool,
        closes: bool,
    ) {
        let Some(counts) = self.counts.get_mut(server) else {
            return;
        };
        counts.pending = counts.pending - u32::from(was_pending) + u32::from(is_pending);
        counts.flows -= u32::from(closes);
        if counts.flows == 0 {
            self.counts.remove(server);
        }
    }

    fn insert(&mut self, key: Key, flow: Flow) {
        let full = self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(&key);
        if full {
            return;
        }
        if !flow.closed {
            let counts = self.counts.entry(Arc::clone(&flow.server)).or_default();
            counts.add(&flow);
        }
        if let Some(replaced) = self.flows.insert(key, flow) {
            self.uncount(&replaced);
        }
    }

    fn remove(&mut self, key: &Key) -> Option<Flow> {
        let flow = self.flows.remove(key)?;
        self.uncount(&flow);
        Some(flow)
    }

    /// Removes a flow from its server's counts.
    fn uncount(&mut self, flow: &Flow) {
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

    /// Removes the flows of the servers for which `is_affected` holds, and returns those that are not
    /// closed, whose callers are to be notified.
    pub fn remove_flows_of(&mut self, is_affected: impl Fn(&Arc<str>) -> bool) -> Vec<(Key, Flow)> {
        let mut removed: Vec<(Key, Flow)> = self
            .flows
            .extract_if(|_, flow| is_affected(&flow.server))
            .collect();
        for (_, flow) in &removed {
            self.uncount(flow);
        }
        removed.retain(|(_, flow)| !flow.closed);
        removed
    }

    /// Removes flows without a packet for `idle`, closed flows sooner. On the flows that remain, gives
    /// up requests that are past `REQUEST_TIMEOUT`. Returns the server of each of these requests.
    pub fn expire(&mut self, idle: Duration, now: Duration) -> Vec<Arc<str>> {
        let is_expired = |flow: &Flow| {
            let timeout = if flow.closed { CLOSED_TIMEOUT } else { idle };
            flow.seen + timeout < now
        };
        let expired: Vec<(Key, Flow)> = self.flows.extract_if(|_, flow| is_expired(flow)).collect();
        for (_, flow) in &expired {
            self.uncount(flow);
        }
        let mut given_up = Vec::new();
        for flow in self.flows.values_mut() {
            if flow.closed || !flow.is_pending() || flow.seen + REQUEST_TIMEOUT >= now {
                continue;
            }
            flow.unanswered_since = None;
            if let Some(counts) = self.counts.get_mut(&flow.server) {
                counts.pending -= 1;
            }
            given_up.push(Arc::clone(&flow.server));
        }
        given_up
    }
}

/// The state of a flow whose earlier packets went through another balancer.
fn flow_from_elsewhere(packet: &Packet, cookie: Cookie, server: &Arc<str>, now: Duration) -> Flow {
    Flow {
        cookie,
        server: Arc::clone(server),
        acknowledged: packet.acknowledgement,
        next_sequence: end_sequence(packet),
        unanswered_since: (packet.payload > 0).then_some(now),
        half_open: false,
        closed: packet.kind == Kind::Closing,
        seen: now,
    }
}

impl Flow {
    /// Whether a request is unanswered.
    fn is_pending(&self) -> bool {
        self.unanswered_since.is_some() && !self.half_open
    }

    fn observe(&mut self, packet: &Packet, now: Duration) -> Observation {
        let end = end_sequence(packet);
        let advanced = self.half_open || is_before(self.acknowledged, packet.acknowledgement);
        let has_new_data = packet.payload > 0 && is_before(self.next_sequence, end);
        if advanced {
            return self.advance(packet, end, now);
        }
        if has_new_data {
            self.next_sequence = end;
            let idle = self.unanswered_since.is_none();
            self.unanswered_since = self.unanswered_since.or(Some(now));
            return if idle {
                Observation::RequestSent
            } else {
                Observation::None
            };
        }
        match self.unanswered_since {
            Some(since) if packet.payload > 0 && now >= since + MIN_RETRANSMISSION_GAP => {
                Observation::Unanswered
            }
            _ => Observation::None,
        }
    }

    /// Updates the flow by a packet that acknowledges more than before. Only an acknowledgement
    /// without data gives the server's response time: one with data may have been delayed until the
    /// caller had data to send.
    fn advance(&mut self, packet: &Packet, end: u32, now: Duration) -> Observation {
        let took = self.unanswered_since.map(|since| now.saturating_sub(since));
        // Where routers spread a flow's packets over balancers, the answer that this packet acknowledges may
        // be to a later request, which another balancer has seen.
        let took = took.filter(|_| packet.sequence == self.next_sequence);
        let opened = std::mem::take(&mut self.half_open);
        self.acknowledged = packet.acknowledgement;
        self.unanswered_since = None;
        if packet.payload > 0 && is_before(self.next_sequence, end) {
            self.next_sequence = end;
            self.unanswered_since = Some(now);
        }
        match took {
            Some(took) if opened => Observation::Opened(took),
            Some(took) if packet.payload == 0 => Observation::AnsweredAfter(took),
            _ => Observation::Answered,
        }
    }
}

/// The sequence number after the last byte of the packet's payload.
fn end_sequence(packet: &Packet) -> u32 {
    packet.sequence.wrapping_add(packet.payload.into())
}

/// Whether the sequence number `first` precedes `second`, modulo 2^32 (RFC 9293).
fn is_before(first: u32, second: u32) -> bool {
    first != second && second.wrapping_sub(first) < 1 << 31
}
