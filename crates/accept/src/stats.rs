use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of one listener since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Connections accepted.
    pub accepted: u64,
    /// Pending connections closed to make room for newer ones.
    pub displaced: u64,
    /// Active connections closed because they were stalled when another one became active.
    pub stalled: u64,
    /// Connections closed at their deadline.
    pub expired: u64,
    /// Connections closed at their first valid message because the listener had as many active ones
    /// as it may have and none of them was stalled.
    pub refused: u64,
    /// Failed calls of `accept`.
    pub failed: u64,
    /// Connections whose task panicked.
    pub panicked: u64,
}

impl Stats {
    /// The counters of connections that the listener closed early, failed to accept or lost to a
    /// panic, with the names of their metrics.
    ///
    /// ```
    /// let stats = acacia_accept::Stats { expired: 3, ..Default::default() };
    /// assert!(stats.closed().contains(&("connections_expired", 3)));
    /// ```
    #[must_use]
    pub fn closed(&self) -> [(&'static str, u64); 6] {
        [
            ("connections_displaced", self.displaced),
            ("connections_stalled", self.stalled),
            ("connections_expired", self.expired),
            ("connections_refused", self.refused),
            ("connections_failed", self.failed),
            ("connections_panicked", self.panicked),
        ]
    }
}

/// The counters behind [`Stats`].
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) accepted: AtomicU64,
    pub(crate) displaced: AtomicU64,
    pub(crate) stalled: AtomicU64,
    pub(crate) expired: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) failed: AtomicU64,
    pub(crate) panicked: AtomicU64,
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Counters {
    pub(crate) fn snapshot(&self) -> Stats {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Stats {
            accepted: read(&self.accepted),
            displaced: read(&self.displaced),
            stalled: read(&self.stalled),
            expired: read(&self.expired),
            refused: read(&self.refused),
            failed: read(&self.failed),
            panicked: read(&self.panicked),
        }
    }
}
