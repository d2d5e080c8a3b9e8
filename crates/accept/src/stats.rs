use std::sync::atomic::{AtomicU64, Ordering};

/// Counts of what a listener did since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Connections accepted.
    pub accepted: u64,
    /// Pending connections closed to make room for newer ones.
    pub displaced: u64,
    /// Active connections closed, as they stood still while another became active.
    pub stalled: u64,
    /// Connections closed at their deadline.
    pub expired: u64,
    /// Connections closed when they became active, as all places were taken.
    pub refused: u64,
    /// Connections that could not be accepted.
    pub failed: u64,
    /// Tasks of connections that panicked.
    pub panicked: u64,
}

impl Stats {
    /// The counts of connections that did not end by themselves, by the name of their metric.
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

pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Counters {
    pub(crate) fn read(&self) -> Stats {
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
