use std::time::Duration;

/// The largest group of balancers that serves one address.
///
/// A fleet may have 3,900 balancers; without a limit each would send heartbeats to 3,899 peers and
/// keep state for them. At 64 members the byte budget already requires an interval of 3.9 s, which
/// delays failure detection; groups of 8 to 16 work better.
pub const MAX_GROUP: usize = 64;

/// Timing of the membership protocol. All balancers of a group must use the same values, because
/// each relies on when the others stop trusting its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time between two calls of [`Group::tick`](crate::Group::tick). 50 ms is a tenth of the
    /// heartbeat interval, which spreads heartbeats evenly, and cheap enough for a control thread.
    pub tick: Duration,
    /// Time between two heartbeats to a peer, in a group with up to [`Settings::full_rate_peers`]
    /// peers. At 500 ms and [`Settings::fresh_intervals`] intervals a silent peer is noticed after
    /// 2 s, while 8 peers cost about 2 KB/s.
    pub interval: Duration,
    /// Up to this many heard peers the interval stays the same; beyond it, the interval grows in
    /// proportion, so that the traffic per balancer stays constant. 8 covers the largest group in
    /// use, which has 9 balancers.
    pub full_rate_peers: usize,
    /// Intervals after which a member counts as unheard, and its echo as stale. 4, because an echo is
    /// up to two intervals old without any failure, one lost heartbeat adds a third, and one is left
    /// for delays. With fewer, every lost heartbeat would flag all buckets.
    pub fresh_intervals: u32,
    /// Intervals without a sign of life after which a member that no other member hears is dead. 10
    /// is two and a half times the freshness timeout, which gives every peer that is asked whether
    /// it hears the member two rounds to answer. More would delay the takeover of its flows.
    pub death_intervals: u32,
    /// Intervals between two attempts to reach a dead member. With 4, a healed partition is noticed
    /// within the freshness timeout, at a quarter of the traffic of a live member.
    pub probe_intervals: u32,
    /// Minimum time between two heartbeats to one peer, even for immediate answers. With 100 ms a
    /// change of flags is acknowledged within two ticks and two one-way delays, and a peer that keeps
    /// asking for immediate answers raises the traffic fivefold at most.
    pub min_gap: Duration,
    /// How long the record of a dead member is kept, so that frames of its old incarnation are
    /// recognised. 10 min is far longer than a frame stays in any queue.
    pub dead_retention: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            tick: Duration::from_millis(50),
            interval: Duration::from_millis(500),
            full_rate_peers: 8,
            fresh_intervals: 4,
            death_intervals: 10,
            probe_intervals: 4,
            min_gap: Duration::from_millis(100),
            dead_retention: Duration::from_secs(600),
        }
    }
}

impl Settings {
    /// The heartbeat interval with `peers` peers.
    ///
    /// ```
    /// use std::time::Duration;
    /// let settings = acacia_member::Settings::default();
    /// assert_eq!(settings.interval_for(8), Duration::from_millis(500));
    /// assert_eq!(settings.interval_for(16), Duration::from_millis(1000));
    /// ```
    #[must_use]
    pub fn interval_for(&self, peers: usize) -> Duration {
        let full_rate_peers = self.full_rate_peers.max(1);
        let peers = peers.clamp(full_rate_peers, MAX_GROUP);
        self.interval.mul_f64(peers as f64 / full_rate_peers as f64)
    }

    /// The time after which a member is unheard, and an echo stale.
    #[must_use]
    pub fn freshness_timeout(&self, peers: usize) -> Duration {
        self.interval_for(peers) * self.fresh_intervals
    }

    /// The time after which a member that no other member hears is dead.
    #[must_use]
    pub fn death_timeout(&self, peers: usize) -> Duration {
        self.interval_for(peers) * self.death_intervals
    }

    /// The time between two ticks beyond which this process counts as suspended: one interval less
    /// than the freshness timeout, after which a peer may have stopped trusting it.
    #[must_use]
    pub fn suspension_threshold(&self, peers: usize) -> Duration {
        self.suspension_threshold_at(self.interval_for(peers))
    }

    pub(crate) fn suspension_threshold_at(&self, interval: Duration) -> Duration {
        interval * self.fresh_intervals.saturating_sub(1).max(1)
    }

    /// The time after which a change needs no acknowledgement, because no peer still trusts a
    /// heartbeat without it. A peer's view may have more members than ours, so this is the freshness
    /// timeout of the largest group, plus a sixteenth for clocks that run at different rates.
    #[must_use]
    pub fn settle_timeout(&self) -> Duration {
        self.freshness_timeout(MAX_GROUP).mul_f64(1.0 + 1.0 / 16.0)
    }
}
