use std::time::Duration;

/// The largest group of balancers that serves one address.
///
/// Load: 3,900 balancers in all. Harm without it: each would send and remember 3,899 peers'
/// heartbeats. At 64 the interval that the byte budget allows is already 3.9 s, so that failures
/// are noticed late; 8 to 16 is better.
pub const MAX_GROUP: usize = 64;

/// Every number of the membership. All balancers of a group must hold the same, because each
/// relies on when the others stop trusting it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// How often the caller ticks. 50 ms: a tenth of the interval, so that heartbeats leave
    /// evenly, and cheap enough for a control thread.
    pub tick: Duration,
    /// Between two heartbeats to a peer, in a group with up to [`Settings::full_rate_peers`] peers.
    /// 500 ms: with [`Settings::fresh_intervals`] intervals a silent peer is noticed after 2 s, while 8
    /// peers cost about 2 KB/s.
    pub interval: Duration,
    /// With more heard peers than this the interval grows with their number, so that the cost per
    /// balancer stays constant. 8: today's largest group has 9 balancers.
    pub full_rate_peers: usize,
    /// Intervals after which a member counts as unheard, and its echo as stale. 4: an echo is up
    /// to two intervals old when everything is well, one lost heartbeat adds a third, and one is
    /// left for delays. Fewer would flag all buckets at every lost heartbeat.
    pub fresh_intervals: u32,
    /// Intervals without a sign of life after which a member that nobody hears is dead. 10: two and a
    /// half times the bound for unheard, so that every peer that is asked whether it hears the
    /// member has had two rounds to answer. More would keep its flows waiting for longer.
    pub death_intervals: u32,
    /// Intervals between two attempts to reach a dead member. 4: a healed partition is noticed
    /// within the bound for unheard, at a quarter of the cost of a live member.
    pub probe_intervals: u32,
    /// Least time between two heartbeats to one peer, however urgent. 100 ms: a change of flags
    /// is acknowledged within two ticks and two transits, and a peer that asks for prompt answers
    /// without end can raise the cost fivefold at most.
    pub min_gap: Duration,
    /// How long a dead member is remembered, so that frames of its old incarnation are known as
    /// such. 10 min: far beyond the time frames live in any queue.
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
    /// Time between two heartbeats to one of `peers` peers.
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

    /// The bound after which a member is unheard, and an echo stale.
    #[must_use]
    pub fn freshness_timeout(&self, peers: usize) -> Duration {
        self.interval_for(peers) * self.fresh_intervals
    }

    /// The bound after which a member that nobody hears is dead.
    #[must_use]
    pub fn death_timeout(&self, peers: usize) -> Duration {
        self.interval_for(peers) * self.death_intervals
    }

    /// A jump between two ticks beyond which this process counts as having been suspended: one
    /// interval less than the bound after which a peer may have given it up.
    #[must_use]
    pub fn suspension_threshold(&self, peers: usize) -> Duration {
        self.suspension_threshold_at(self.interval_for(peers))
    }

    pub(crate) fn suspension_threshold_at(&self, interval: Duration) -> Duration {
        interval * self.fresh_intervals.saturating_sub(1).max(1)
    }

    /// Time after which a change needs no acknowledgement: no peer still trusts a heartbeat
    /// without it. The peer may believe in a larger group than we do, hence the bound of the
    /// largest; a sixteenth more covers clocks of different speed.
    #[must_use]
    pub fn settle_timeout(&self) -> Duration {
        self.freshness_timeout(MAX_GROUP).mul_f64(1.0 + 1.0 / 16.0)
    }
}
