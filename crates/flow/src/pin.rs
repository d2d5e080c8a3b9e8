use acacia_wire::flow::Protocol;

/// Milliseconds for which a balancer may use a server learned from a hint without asking an owner.
///
/// A longer time saves redirects for busy flows. But the ports of an ended flow may be reused, and
/// a balancer with a stale cache entry would send the new flow's packets to the old server. Owners
/// therefore reject a new flow on the same ports until every such entry has expired.
pub const HINT_TTL: u64 = 3_000;
/// Milliseconds after which the pin of a flow that was never established expires. A server stops
/// retransmitting its SYN-ACK after 63 s (RFC 6298 timers, 5 retransmissions).
pub const OPENING_TIMEOUT: u64 = 75_000;
/// Milliseconds between queries about an expiring pin: three fit before the pin expires.
const QUERY_INTERVAL: u64 = OPENING_TIMEOUT / 6;
/// Milliseconds for which a flow placed on its base keeps a pin, so that a retransmitted opening
/// gets the same decision even if the table changes in between. Openings are retransmitted after
/// 1 and 3 s.
pub const SHORT_LIVED_TIMEOUT: u64 = 8_000;
/// Milliseconds after which the pin of an idle TCP flow expires. RFC 5382 requires middleboxes to
/// wait more than two hours; feeds may be idle for longer than that.
pub const IDLE_TIMEOUT: u64 = 4 * 3_600_000;
/// Milliseconds after which an idle UDP flow is considered ended (RFC 4787 requires two minutes).
pub const UDP_IDLE_TIMEOUT: u64 = 120_000;
/// Milliseconds for which the pin of a closing flow is kept, so that late packets still reach the
/// right server and until no balancer has it cached ([`HINT_TTL`]). With short flows most pins are
/// of this kind, and all of them are copied when owners change; hence no longer.
pub const CLOSING_TIMEOUT: u64 = 8_000;
/// Milliseconds after which the pin of a half-closed flow expires if its caller sends nothing, not
/// even acknowledgements of what the server still sends. Linux gives up retransmitting an answer
/// after about 15 minutes.
pub const HALF_CLOSED_TIMEOUT: u64 = 900_000;
/// Milliseconds after the caller's FIN from which further packets mean that the server has not
/// closed its side.
pub const HALF_CLOSED_DELAY: u64 = 2_000;

/// Connection state of a pinned flow, as seen from the caller's packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// Only the opening packet was seen.
    Opening = 0,
    /// Packets after the opening were seen.
    Open = 1,
    /// The caller sent FIN at least [`HALF_CLOSED_DELAY`] ago and still acknowledges what the
    /// server sends.
    HalfClosed = 2,
    /// The caller sent FIN.
    Closing = 3,
    /// The caller, or somebody who forged its address and ports, sent RST.
    Reset = 4,
}

impl Phase {
    /// Converts a discriminant back to its [`Phase`]; unknown numbers give [`Phase::Reset`].
    #[must_use]
    pub fn from_number(number: u8) -> Phase {
        match number {
            0 => Phase::Opening,
            1 => Phase::Open,
            2 => Phase::HalfClosed,
            3 => Phase::Closing,
            _ => Phase::Reset,
        }
    }
}

/// Per-flow record of an owner. 12 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pin {
    /// When all owners were last told of the flow, in seconds of the monotonic clock.
    pub synced_at: u32,
    /// Low 16 bits of the opening's initial sequence number, or 0 if unknown. Only used to tell a
    /// retransmitted opening from a new flow on ports that have just closed. One new flow in 65,536
    /// is mistaken for a retransmission and goes to the old server, which answers it.
    pub isn: u16,
    /// The flow's backend server.
    pub server: u16,
    /// The connection state.
    pub phase: Phase,
    /// Whether the flow is on its base, and the pin only serves retransmitted openings.
    pub short_lived: bool,
    /// How many times the other owners were asked whether the flow was established.
    pub queries: u8,
}

impl Pin {
    /// Milliseconds after [`Pin::synced_at`] at which the pin expires.
    #[must_use]
    pub fn lifetime(&self, protocol: Protocol) -> u64 {
        match (protocol, self.short_lived, self.phase) {
            (Protocol::Udp, ..) => UDP_IDLE_TIMEOUT,
            (_, true, _) => SHORT_LIVED_TIMEOUT,
            (_, _, Phase::Opening) => OPENING_TIMEOUT,
            (_, _, Phase::Open) => IDLE_TIMEOUT,
            (_, _, Phase::HalfClosed) => HALF_CLOSED_TIMEOUT,
            (_, _, Phase::Closing | Phase::Reset) => CLOSING_TIMEOUT,
        }
    }

    /// Whether the pin of an opening has passed half its lifetime. The packet that established the
    /// flow may have been lost on its way to this owner, or dropped while the owner was suspended,
    /// so it asks the other owners before the pin expires.
    #[must_use]
    pub fn is_expiring(&self, now: u64) -> bool {
        self.phase == Phase::Opening && !self.short_lived && self.age(now) > OPENING_TIMEOUT / 2
    }

    /// Whether to ask the other owners now, for the first time or again. A query or its answer is
    /// dropped when the handover restarts or the receiver is suspected dead.
    #[must_use]
    pub fn is_query_due(&self, now: u64) -> bool {
        let queried = u64::from(self.queries) * QUERY_INTERVAL;
        self.is_expiring(now) && self.age(now) > OPENING_TIMEOUT / 2 + queried
    }

    /// Keeps an expiring pin from expiring, and resets its query count.
    pub(crate) fn extend_expiring(&mut self, now: u64) {
        // Times are kept in whole seconds: one more keeps the age above half the lifetime, so that
        // the pin still counts as expiring.
        let half_expired = now.saturating_sub(OPENING_TIMEOUT / 2) / 1_000;
        self.synced_at = half_expired.saturating_sub(1) as u32;
        self.queries = 0;
    }

    /// Whether the other owners must be told of the flow again. They see none of its packets while
    /// the first owner answers, and their pins would expire.
    #[must_use]
    pub fn is_stale(&self, now: u64, protocol: Protocol) -> bool {
        self.age(now) > self.lifetime(protocol) / 4
    }

    /// Milliseconds since all owners were last told of the flow.
    #[must_use]
    pub fn age(&self, now: u64) -> u64 {
        now.saturating_sub(u64::from(self.synced_at) * 1_000)
    }
}
