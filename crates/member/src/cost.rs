use crate::Settings;

/// Size of a heartbeat's frame without its payload when all members are heard: 8 bytes for the
/// length, 18 for the envelope, 16 for the authenticator, 15 for addressing and the transport's
/// echo, one for the kind of message, and 27 for the heartbeat. A test of `acacia-peer` compares it
/// with a sealed frame.
pub const FRAME_BYTES: usize = 85;
/// Size of the TCP and IP headers of a segment: 20 bytes each, and 12 for TCP timestamps.
pub const HEADER_BYTES: usize = 52;

/// Traffic that heartbeats cause at one balancer, in bytes per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Heartbeats sent, headers included.
    pub sent: f64,
    /// TCP acknowledgements that its host sends for received heartbeats.
    pub acknowledgements: f64,
}

/// The traffic per balancer in a group of `group` balancers with payloads of `payload` bytes. Beyond
/// [`Settings::full_rate_peers`] peers it stays constant, because the interval grows instead.
///
/// ```
/// use acacia_member::{Settings, cost};
/// let settings = Settings::default();
/// assert_eq!(cost(&settings, 9, 16), cost(&settings, 64, 16));
/// assert!(cost(&settings, 9, 16).sent < 2500.0);
/// ```
#[must_use]
pub fn cost(settings: &Settings, group: usize, payload: usize) -> Cost {
    let peers = group.saturating_sub(1);
    let rate = peers as f64 / settings.interval_for(peers).as_secs_f64();
    Cost {
        sent: rate * (FRAME_BYTES + payload + HEADER_BYTES) as f64,
        acknowledgements: rate * HEADER_BYTES as f64,
    }
}
