use acacia_wire::flow::Protocol;

/// Milliseconds in which a balancer may use a pin it has learned without asking again.
///
/// A longer time saves redirects of busy flows. But the ports of a flow that has ended may be
/// used again, and a balancer that still remembered the old flow would send the new one's packets
/// to the wrong server; owners hold a new flow back until every such memory has lapsed.
pub const HINT_TTL: u64 = 3_000;
/// Milliseconds after which a pin is forgotten if its flow never went beyond its opening: a
/// server gives up resending its answer to an opening after 63 s (RFC 6298 timers, 5 resends).
pub const OPENING_TIMEOUT: u64 = 75_000;
/// Milliseconds from a question about a fading pin to the next: three fit before it lapses.
const QUERY_INTERVAL: u64 = OPENING_TIMEOUT / 6;
/// Milliseconds for which a flow placed on its base is remembered, so that a resent opening meets
/// the same decision even if the table changes in between. Openings are resent after 1 and 3 s.
pub const SHORT_LIVED_TIMEOUT: u64 = 8_000;
/// Milliseconds after which an idle TCP flow is forgotten. RFC 5382 asks middleboxes for over two
/// hours; feeds may be quieter than that.
pub const IDLE_TIMEOUT: u64 = 4 * 3_600_000;
/// Milliseconds after which an idle UDP flow is taken for ended (RFC 4787 asks for two minutes).
pub const UDP_IDLE_TIMEOUT: u64 = 120_000;
/// Milliseconds for which a closing flow is kept, so that late packets still go right, and until
/// no balancer remembers it ([`HINT_TTL`]). Most pins are of this kind when flows are short, and all
/// have to be handed over when owners change; hence no longer.
pub const CLOSING_TIMEOUT: u64 = 8_000;
/// Milliseconds after which a half-closed flow is forgotten if its caller sends nothing: it
/// acknowledges what the server still sends. Linux gives up an answer after about 15 minutes.
pub const HALF_CLOSED_TIMEOUT: u64 = 900_000;
/// Milliseconds after FIN from which traffic means that the server has not ended its side.
pub const HALF_CLOSED_DELAY: u64 = 2_000;

/// How far a pinned flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// Only its opening packet was seen.
    Opening = 0,
    /// Packets beyond the opening were seen.
    Open = 1,
    /// The caller sent FIN long since, and still acknowledges what the server sends.
    HalfClosed = 2,
    /// The caller sent FIN.
    Closing = 3,
    /// The caller, or somebody who guessed its ports, sent RST.
    Reset = 4,
}

impl Phase {
    /// The phase that [`Phase`] as a number stands for.
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

/// What an owner remembers of a flow. 12 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pin {
    /// Seconds of the monotonic clock at which all owners last heard of the flow.
    pub synced_at: u32,
    /// Low half of the opening's initial sequence number, 0 where unknown. It only tells a resent
    /// opening from a new one on ports that have just closed; one new flow of 65,536 that is taken
    /// for resent goes to the old server, which answers it.
    pub isn: u16,
    /// The flow's backend server.
    pub server: u16,
    /// How far the flow has come.
    pub phase: Phase,
    /// Whether the flow is on its base, and the pin there only to meet resent openings.
    pub short_lived: bool,
    /// How often the other owners were asked if the flow got beyond its opening.
    pub queries: u8,
}

impl Pin {
    /// Milliseconds without news after which the pin is forgotten.
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

    /// Whether the pin of an opening is on its way out. The packet that told this owner more may
    /// have been lost, or come while it was frozen: it asks the others before it forgets.
    #[must_use]
    pub fn is_expiring(&self, now: u64) -> bool {
        self.phase == Phase::Opening && !self.short_lived && self.age(now) > OPENING_TIMEOUT / 2
    }

    /// Whether the other owners are to be asked now, for the first time or once more. A question or its
    /// answer is dropped when the handover begins anew, or its receiver is taken for dead.
    #[must_use]
    pub fn is_query_due(&self, now: u64) -> bool {
        let asked = u64::from(self.queries) * QUERY_INTERVAL;
        self.is_expiring(now) && self.age(now) > OPENING_TIMEOUT / 2 + asked
    }

    /// Keeps a fading pin from lapsing, and lets the other owners be asked anew.
    pub(crate) fn extend_expiring(&mut self, now: u64) {
        // A second more, as times are kept in seconds: it must go on fading.
        let faded = now.saturating_sub(OPENING_TIMEOUT / 2) / 1_000;
        self.synced_at = faded.saturating_sub(1) as u32;
        self.queries = 0;
    }

    /// Whether the other owners should hear of the flow again: they see none of its packets while
    /// the first answers, and would forget it.
    #[must_use]
    pub fn is_stale(&self, now: u64, protocol: Protocol) -> bool {
        self.age(now) > self.lifetime(protocol) / 4
    }

    /// Milliseconds since all owners last heard of the flow.
    #[must_use]
    pub fn age(&self, now: u64) -> u64 {
        now.saturating_sub(u64::from(self.synced_at) * 1_000)
    }
}
