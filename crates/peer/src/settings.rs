use std::net::SocketAddr;
use std::time::Duration;

/// Where a mesh listens, and every number of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// This balancer's number.
    pub id: u16,
    /// Where it listens for control traffic.
    pub listen: SocketAddr,
    /// This balancer's incarnation.
    pub incarnation: u64,
    /// How often the application sends to each peer. 500 ms: the heartbeats of a small group. The
    /// other times follow from it, see [`Settings::keepalive`] and [`Settings::silence_timeout`].
    pub send_interval: Duration,
    /// Longest wait between two attempts to replace a silent connection. 30 s: a peer that is
    /// dead costs next to nothing, and one that comes back dials us itself.
    pub max_silence_timeout: Duration,
    /// Messages that wait for one peer. 256: a burst of table changes; more means that the peer
    /// doesn't take them, and what waits longer is out of date.
    pub queue_messages: usize,
    /// Bytes that wait for one peer. 2 MiB: one whole configuration (1 MB) and as much again. At
    /// 63 peers that would be 126 MiB, hence configurations should go to few peers at a time.
    pub queue_bytes: usize,
    /// Received messages that wait for the control thread. 1,024: two seconds' worth from 63
    /// peers at four times the usual rate.
    pub inbox: usize,
    /// Control bytes a second that bulk messages wait for. 4,000: half of the 8 KB/s that a
    /// balancer may spend; heartbeats and TCP have the other half.
    pub rate: u32,
    /// Bytes that may be sent at once after a quiet time. 16,000: two seconds of the whole budget.
    pub burst: u32,
}

impl Settings {
    /// Settings with the usual numbers.
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

    /// After this long without anything to send, an empty frame carries the echo. Twice the
    /// send interval: it costs nothing while the application sends as it says.
    #[must_use]
    pub fn keepalive(&self) -> Duration {
        self.send_interval * 2
    }

    /// A connection is silent when what was sent over it has not been echoed for this long. Four
    /// times the send interval: the peer's next frame comes within one or, at worst, two.
    #[must_use]
    pub fn silence_timeout(&self) -> Duration {
        self.send_interval * 4
    }
}
