use crate::Settings;

/// Bytes of a heartbeat's frame without its payload when all is well: 8 of its length, 18 of
/// envelope, 16 of authenticator, 15 of addressing and transport echo, one that tells the kind of
/// message, and 27 of heartbeat. A test of `acacia-peer` holds it against a sealed frame.
pub const FRAME_BYTES: usize = 85;
/// Bytes of TCP and IP headers around a frame (20 + 20, 12 of timestamps).
pub const HEADER_BYTES: usize = 52;

/// What heartbeats cost one balancer, in bytes a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Sent, headers included.
    pub sent: f64,
    /// Acknowledgements that its host's TCP sends for the heartbeats it receives.
    pub acknowledgements: f64,
}

/// The cost in a group of `group` balancers whose payload has `payload` bytes. It stays constant
/// beyond [`Settings::full_rate_peers`] peers: the interval grows instead.
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
