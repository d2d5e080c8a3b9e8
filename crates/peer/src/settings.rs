use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a mesh: its id, address, times and limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// This balancer's id.
    pub id: u16,
    /// The address on which it listens for control traffic.
    pub listen: SocketAddr,
    /// This balancer's incarnation.
    pub incarnation: u64,
    /// How often the application sends to each peer. 500 ms: the heartbeat interval of a small
    /// group. [`Settings::keepalive`] and [`Settings::silence_timeout`] are multiples of it.
    pub send_interval: Duration,
    /// Upper bound of the silence timeout, which doubles with each replacement that brings no echo.
    /// Also how long an accepted connection may go without a valid frame. 30 s: at that interval,
    /// dialling a dead peer costs next to nothing, and a peer that comes back dials us itself.
    pub max_silence_timeout: Duration,
    /// Maximum number of messages in the queue of one peer. 256: a burst of table changes. A longer
    /// queue means that the peer doesn't read, and messages that wait longer are out of date.
    pub queue_messages: usize,
    /// Maximum number of bytes in the queue of one peer. 2 MiB: a whole configuration (1 MB) and as
    /// much again. With 63 peers the queues could hold 126 MiB, so send configurations to few peers
    /// at a time.
    pub queue_bytes: usize,
    /// Maximum number of received messages that wait for the control thread. 1,024: those of two
    /// seconds from 63 peers at four times the usual rate.
    pub inbox: usize,
    /// Rate of the token bucket that delays bulk messages, in bytes per second. 4,000: half of the
    /// 8 KB/s budget of a balancer; the other half is left for heartbeats and TCP.
    pub rate: u32,
    /// Size of that token bucket in bytes. 16,000: two seconds of the whole budget.
    pub burst: u32,
}

impl Settings {
    /// Settings with the default times and limits.
    ///
    /// ```
    /// use std::time::Duration;
    /// let settings = acacia_peer::Settings::new(1, "127.0.0.1:7000".parse().unwrap(), 1);
    /// assert_eq!(settings.silence_timeout(), Duration::from_secs(2));
    /// ```
    #[must_use]
    pub fn new(id: u16, listen: SocketAddr, incarnation: u64) -> Self {
        Settings {
            id,
            listen,
            incarnation,
            send_interval: Duration::from_millis(500),
            max_silence_timeout: Duration::from_secs(30),
            queue_messages: 256,
            queue_bytes: 2 << 20,
            inbox: 1024,
            rate: 4_000,
            burst: 16_000,
        }
    }

    /// How long after the last frame to a peer an empty one is sent, so that the echo reaches it.
    /// Twice the send interval: no keepalive is sent while the application keeps to that interval.
    #[must_use]
    pub fn keepalive(&self) -> Duration {
        self.send_interval * 2
    }

    /// How long frames may stay without an echo before their connection counts as silent. Four
    /// times the send interval: the peer's next frame arrives within one interval or, at worst,
    /// two.
    #[must_use]
    pub fn silence_timeout(&self) -> Duration {
        self.send_interval * 4
    }
}
